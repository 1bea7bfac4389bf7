//! Measures how the load of an instance grows with each quantity, with many instances in one
//! process in front of stand-ins, and extrapolates to the target size.

pub mod adoption;
pub mod change;
pub mod configuration;
pub mod fit;
pub mod gauge;
pub mod instances;
pub mod meter;
pub mod process;
pub mod requests;
pub mod testbed;
pub mod upstreams;
