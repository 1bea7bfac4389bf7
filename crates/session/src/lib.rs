//! Session affinity to versions: signed tokens, and the split of new sessions in a rollout.
//!
//! A token names the version on which a session began, so that any instance can honour it without
//! stored state. A session without a token is assigned by a hash of its id, so that all instances
//! with the same configuration agree.

pub mod split;
pub mod token;

pub use split::{Resolution, assign, resolve};
pub use token::{Error, Signer, Token};
