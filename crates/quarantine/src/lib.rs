//! Parts of prompts, and whole requests, that end the upstreams which run them.
//!
//! The crate is pure: time is an argument, and messages between instances are plain values. Each
//! instance owns a [`Quarantine`], records what happens to its own requests, and exchanges
//! [`Crash`]es and [`Rebuttal`]s with its peers.

mod closing;
mod evidence;
mod part;
mod policy;
mod quarantine;
mod soundness;

pub use closing::{Closing, Closings};
pub use evidence::{Crash, Extent, Probe, Progress, Rebuttal, SOUND_TIME, Victim, Weight};
pub use part::{Error, Part};
pub use policy::Policy;
pub use quarantine::{Hold, Quarantine};
