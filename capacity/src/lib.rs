//! Slopes of one machine, measured with many instances in one process before stand-ins, and the
//! load at the target size that follows from them.

pub mod adoption;
pub mod change;
pub mod fit;
pub mod gauge;
pub mod instances;
pub mod meter;
pub mod process;
pub mod requests;
pub mod stage;
pub mod text;
pub mod upstreams;
