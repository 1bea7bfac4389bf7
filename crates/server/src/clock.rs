//! The clock of an instance: the wall clock when it started, then monotonic.

use entity::{Moment, Span};
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// Microseconds since the Unix epoch that never go back, whatever is done to the wall clock.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    epoch: Moment,
}

impl Clock {
    /// A clock set by the wall clock.
    pub fn start() -> Self {
        let wall = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            started: Instant::now(),
            epoch: Moment(wall.as_micros() as u64),
        }
    }

    /// The present moment.
    pub fn now(&self) -> Moment {
        self.moment(Instant::now())
    }

    /// The moment of an instant.
    pub fn moment(&self, instant: Instant) -> Moment {
        self.epoch + Span::from(instant.saturating_duration_since(self.started))
    }

    /// The instant of a moment.
    pub fn instant(&self, moment: Moment) -> Instant {
        self.started + moment.since(self.epoch).duration()
    }
}
