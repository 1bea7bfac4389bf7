//! Events with a clock that orders them over all processes.
//!
//! A process records [`Event`]s through a [`Recorder`], which stamps them with a hybrid logical
//! clock and writes them as JSON lines without blocking its callers. The lines of many processes
//! are read by [`reader`], put into one order by [`Timeline`] and shown by [`render`]. [`Metric`]
//! sends counters and timers.

pub mod clock;
pub mod event;
pub mod metric;
pub mod reader;
mod recorder;
pub mod render;
mod sink;
mod timeline;

pub use clock::{Clock, Timestamp};
pub use event::{Event, Kind, Value};
pub use metric::{Counter, Metric, Timer};
pub use recorder::{Draft, Recorder};
pub use sink::Sink;
pub use timeline::Timeline;
