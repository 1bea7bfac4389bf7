//! Client of the platform's append-only log.

mod client;
mod page;

pub use client::{Client, Error};
pub use page::{Page, Record};
