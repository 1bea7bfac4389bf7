//! The settings of one process.
//!
//! [`parse`] reads an INI text with the same checks as the configuration has and reports all
//! findings together. Addresses and the availability zone come from here only.

pub mod forward;
mod model;
mod parse;

pub use model::{
    Instance, Instances, Limits, Log, MIN_SECRET_CHARS, Secret, SecretError, Settings, Sink,
};
pub use parse::parse;
