//! Ids, names, units and dense maps that all other packages share.
//!
//! This package holds plain data only: it reads no clock and opens no socket.

pub mod id;
pub mod map;
pub mod name;
pub mod offset;
pub mod place;
pub mod request;
pub mod sorted;
pub mod time;
pub mod unit;
pub mod work;

pub use map::Map;
pub use offset::{Era, Generation, Offset};
pub use place::{Finding, Findings, Place};
pub use time::{Moment, Span};
