//! The settings of a process.
//!
//! [`parse`] reads an INI text with the same checks as a configuration text and reports all findings
//! together. The addresses and the availability zone of an instance are defined only here.

pub mod forward;
mod model;
mod parse;

pub use model::{
    Instance, Instances, Limits, Log, MIN_SECRET_CHARS, Secret, SecretError, Settings, Sink,
};
pub use parse::parse;
