//! An instance that forwards requests unchanged.
//!
//! It uses the same decider and the same tries as the chat front. Its configuration and the set of
//! upstreams come from a store instead of the log.

mod aftermath;
pub mod builds;
mod dispatcher;
mod evidence;
mod feed;
mod fingerprint;
mod freshness;
mod front;
mod holds;
mod instance;
mod key_validity;
mod notices;
mod paths;
mod payload;
mod peers;
mod place;
mod probe;
pub mod reach;
mod relay;
mod run;
mod trial_log;
mod tunnels;

pub use instance::{Addresses, Instance};
pub use run::timeline_id;
