//! Sessions keep their version: signed tokens, and the split of new sessions in a roll-out.
//!
//! A token names the version that a session began on, so that any instance can honour it and none
//! has to remember it. A session without a token is assigned by a hash of its id, so that all
//! instances with one configuration agree.

pub mod split;
pub mod token;

pub use split::{Resolution, assign, resolve};
pub use token::{Error, Signer, Token};
