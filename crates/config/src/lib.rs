//! The configuration text: its model, parser, printer and verifier.
//!
//! [`parse`] reads a text and reports every finding with its place, or yields a [`Config`] whose
//! references are all resolved. [`print()`] writes a configuration so that parsing it gives an equal
//! one. [`document`] and [`reader`] are the checked INI layer, which the settings share.

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
    Config, Fencing, Kind, Model, Move, Organisation, Presence, Progress, Registration, Repeat,
    Rollout, Route, Service, Stage, Upstream, Version, Zone,
};
pub use parse::{MAX_ENCODED_BYTES, encoded_bytes, parse};
pub use print::print;
pub use reader::Reader;
