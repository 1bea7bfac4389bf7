//! Decisions on versions: ratings, choice of version, cascades and roll-outs.
//!
//! Everything here is pure: moments and seeds are arguments, and verdicts are values that the
//! caller publishes. A [`Judge`] holds the state of one instance.

pub mod cascade;
pub mod choice;
pub mod evidence;
pub mod governor;
pub mod histogram;
pub mod judge;
pub mod posterior;
pub mod record;
pub mod release;
pub mod rollout;
pub mod standing;
pub mod totals;
pub mod trial;
pub mod verdict;

pub use choice::{Class, Escalation, Plan, Query, Reason};
pub use judge::{Judge, Rating, Summary};
pub use posterior::Posterior;
pub use totals::Telling;
pub use verdict::Verdict;
