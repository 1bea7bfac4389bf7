//! Client of the answer-rating service.
//!
//! Ratings don't delay requests beyond a bound: answers wait in bounded queues and are dropped if
//! these are full, and while the service is unavailable, all calls except probes fail immediately.

mod breaker;
mod client;
mod error;
mod http;
mod sample;
mod task;

pub use breaker::Breaker;
pub use client::{Answer, Client, Score};
pub use error::Error;
pub use sample::is_sampled;
