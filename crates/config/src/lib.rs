//! The configuration text: its model, parser, printer and verifier.

pub mod key;
pub mod model;

pub use key::Key;
pub use model::{
    Config, Fencing, Kind, Model, Organisation, Presence, Repeat, Rollout, Route, Service, Stage,
    Upstream, Version, Zone,
};
