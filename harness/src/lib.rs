//! Runs a complete system of local processes, for the demo and for failure tests.

mod http;
mod process;
pub mod soak;
mod system;

pub use http::{HttpClient, Response};
pub use process::{Process, Signal};
pub use system::{Instance, Standin, StandinHost, System, bearer_key};
