//! An entry instance that passes requests on unchanged.
//!
//! It decides and tries requests as the chat front does, by the same decider; what it goes by is
//! read from a store instead of the log.

mod belief;
mod feed;
mod freshness;
mod front;
mod instance;
mod open;
mod payload;
mod peers;
mod probe;
mod relay;
mod run;

pub use instance::{Addresses, Instance};
pub use run::timeline_id;
