//! Client of the platform's instance list.

mod client;
mod list;

pub use client::Client;
pub use list::{Instance, List, State};
