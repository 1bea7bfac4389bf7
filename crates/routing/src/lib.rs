//! Upstream selection: eligibility filters, scoring, cold-start slots, retries and admission
//! control.
//!
//! The crate is pure: time and random seeds are arguments. One task owns a [`Balancer`], feeds it
//! the state that it observes, and asks it for an upstream before each dispatch.

pub mod admission;
pub mod allowance;
pub mod balancer;
pub mod breaker;
pub mod completion;
pub mod demand;
pub mod estimate;
pub mod evidence;
pub mod filter;
pub mod hash;
pub mod judgement;
pub mod limit;
pub mod load;
pub mod membership;
pub mod outlier;
pub mod path;
mod peer_loads;
pub mod placement;
pub mod pool;
pub mod query;
pub mod rate_limit;
pub mod reserve;
pub mod restriction;
pub mod retry;
pub mod room;
pub mod runs;
pub mod score;
pub mod slots;
pub mod state;
pub mod states;
pub mod subset;
pub mod urgency;

pub use balancer::Balancer;
pub use filter::{Grant, Reason};
pub use load::Load;
pub use query::{Choice, Outcome, Priority, Query, Refusal, Suspicion};
pub use slots::{Bounds, Members};
