//! Tasks over the log's streams: followers, group commit, idempotency claims and usage records.
//!
//! Each task owns its state and is reached through a handle. All appends of an instance go through
//! one [`committer`], which keeps them within the instance's share of the log's append rate.

pub mod backoff;
pub mod claimer;
pub mod committer;
pub mod follower;
mod log;
mod partition;
pub mod usage;

pub use backoff::Backoff;
pub use log::Log;
