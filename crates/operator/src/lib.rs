//! What the command line does, as a library over the platform's log.
//!
//! Each operation returns a report that prints itself for people and serialises for machines.

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
