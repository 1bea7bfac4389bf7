//! Event logs of processes, ordered by a hybrid logical clock, and metrics.
//!
//! A process records [`Event`]s through a [`Recorder`], which timestamps them with a hybrid logical
//! clock and writes them as JSON lines without blocking its callers. [`reader`] reads the lines of
//! many processes, [`Timeline`] puts them into one order and [`render`] displays them. [`Metrics`]
//! sends and accumulates counters and timers.

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
pub use metric::{Counter, Metrics, Timer};
pub use recorder::{EventBuilder, Recorder};
pub use sink::Sink;
pub use timeline::Timeline;
