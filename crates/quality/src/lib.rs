//! Decisions about versions: ratings, version choice, cascades and rollouts.
//!
//! This crate does no I/O. Times and random seeds are passed as arguments, and verdicts are
//! returned as values for the caller to publish. A [`Judge`] holds the state of one instance.

pub mod cascade;
pub mod choice;
pub mod escalation;
pub mod evidence;
pub mod governor;
pub mod hearing;
pub mod histogram;
pub mod judge;
pub mod pace;
pub mod posterior;
pub mod record;
pub mod release;
pub mod rollout;
pub mod ruling;
pub mod schedule;
pub mod totals;
pub mod trial;
pub mod verdict;
pub mod verdict_set;

pub use choice::{Class, Escalation, Plan, Query, Reason};
pub use judge::{Judge, Rating, Summary};
pub use posterior::Posterior;
pub use totals::TotalsUpdate;
pub use verdict::Verdict;
