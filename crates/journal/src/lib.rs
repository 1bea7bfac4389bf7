//! Tasks over the log's streams: followers, group commit, claims and usage.
//!
//! Each task owns its state and is reached through a handle. All appends of an instance go through
//! one [`committer`], which keeps them within the instance's part of the log's rate.

pub mod backoff;
pub mod claimer;
pub mod committer;
pub mod follower;
mod log;
mod partition;
pub mod usage;

pub use backoff::Backoff;
pub use log::Log;
