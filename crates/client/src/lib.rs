//! One HTTP call to an outside system, with a time-out and a typed failure.

mod call;

pub use call::{Answer, Client, Error};
