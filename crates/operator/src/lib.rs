//! Operations of the command line, as a library over the platform's log.
//!
//! Each operation returns a report that implements `Display` for operators and `Serialize` for
//! scripts.

pub mod bill;
pub mod check;
pub mod diff;
mod error;
mod header;
pub mod publish;
mod reader;
pub mod show;

pub use bill::bill;
pub use check::check;
pub use diff::diff;
pub use error::Error;
pub use header::{generation_of, with_generation, without_generation};
pub use publish::publish;
pub use show::show;
