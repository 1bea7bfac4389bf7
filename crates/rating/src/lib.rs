//! Client of the answer-rating service.
//!
//! Ratings never slow a request down: they wait in bounded queues, what doesn't fit is dropped, and
//! while the service is out calls fail at once but for a probe now and then.

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
