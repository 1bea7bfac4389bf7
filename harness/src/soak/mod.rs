//! The long randomised run: load and faults over real processes, then a check of the history.
//!
//! A seed decides the load and the plan of faults. The timing of the machine is not replayed.

pub mod audit;
mod balancer;
mod driver;
mod edit;
pub mod plan;
mod run;
mod watch;

pub use audit::Breach;
pub use run::{Options, Outcome, run};
