//! Starts a whole system as processes on this machine, for the demo and for failure tests.

mod http;
mod process;
pub mod soak;
mod system;

pub use http::{Http, Response};
pub use process::{Process, Signal};
pub use system::{Instance, Stage, Standin, System, key};
