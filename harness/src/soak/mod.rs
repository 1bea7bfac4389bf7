//! Randomised soak test: load and faults on a system of processes, then a check of the history.
//!
//! A seed determines the load and the planned faults, but not the scheduling of the processes, so a
//! run with the same seed may take another course.

pub mod audit;
mod balancer;
mod driver;
mod edit;
pub mod plan;
mod run;
mod watch;

pub use audit::Violation;
pub use run::{Options, Outcome, run};
