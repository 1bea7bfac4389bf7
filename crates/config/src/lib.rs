//! The configuration text: its model, parser, printer and verifier.
//!
//! [`parse`] reads a text and returns either a [`Config`] with all references resolved, or every
//! finding with its place in the text. [`print()`] writes a configuration as a text that parses to an
//! equal one. [`document`] and [`reader`] form the checked INI layer, which the `settings` package
//! uses as well.

pub mod document;
pub mod forward;
pub mod key;
pub mod model;
mod outline;
mod parse;
mod print;
pub mod reader;
mod verify;

pub use document::{Document, Section};
pub use forward::Forward;
pub use key::Key;
pub use model::{
    AdminState, Config, Fencing, Kind, Model, Move, Organisation, Progress, Registration, Repeat,
    Rollout, Route, Service, Stage, Upstream, Version, Zone,
};
pub use parse::{MAX_ENCODED_BYTES, encoded_bytes, parse};
pub use print::print;
pub use reader::Reader;
