//! Decisions on upstreams: filters, choice, cold slots, retries and admission.
//!
//! Everything here is pure: moments and seeds are arguments, and a [`Balancer`] is owned by one
//! task, which passes on what it hears and asks for an upstream for each dispatch.

pub mod acquaintance;
pub mod admission;
pub mod allowance;
pub mod balancer;
pub mod breaker;
pub mod demand;
pub mod filter;
pub mod hash;
pub mod load;
mod neighbours;
pub mod pace;
pub mod pool;
pub mod query;
pub mod reserve;
pub mod retry;
pub mod score;
pub mod slots;
pub mod state;
pub mod states;
pub mod subset;

pub use balancer::Balancer;
pub use filter::{Grant, Reason};
pub use load::Load;
pub use query::{Choice, Outcome, Priority, Query, Refusal, Suspicion};
pub use slots::{Bounds, Members};
