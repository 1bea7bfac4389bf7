//! Ids, units and dense maps that every other package shares.
//!
//! Everything here is plain data: no clock is read and no socket is opened.

pub mod id;
pub mod map;
pub mod name;
pub mod offset;
pub mod place;
pub mod request;
pub mod sorted;
pub mod time;
pub mod unit;

pub use map::Map;
pub use offset::{Generation, Offset};
pub use place::{Finding, Findings, Place};
pub use time::{Moment, Span};
