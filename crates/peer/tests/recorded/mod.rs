//! Recorded messages of an earlier build and the reader of definitions.

pub mod definition;
pub mod messages;
