//! The clock of an instance, which is set by the wall clock once and is monotonic from then on.

use entity::{Moment, Span};
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::time::Instant;

/// A clock in microseconds since the Unix epoch that never goes backwards, even if the wall clock
/// does.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    epoch: Moment,
}

impl Clock {
    /// Starts a clock that is set by the wall clock.
    pub fn start() -> Self {
        let wall = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Self {
            started: Instant::now(),
            epoch: Moment(wall.as_micros() as u64),
        }
    }

    /// Returns the present moment.
    pub fn now(&self) -> Moment {
        self.moment(Instant::now())
    }

    /// Converts an instant into a moment; one before the start becomes the start.
    pub fn moment(&self, instant: Instant) -> Moment {
        self.epoch + Span::from(instant.saturating_duration_since(self.started))
    }

    /// Converts a moment into an instant; one before the start becomes the start.
    pub fn instant(&self, moment: Moment) -> Instant {
        self.started + moment.since(self.epoch).duration()
    }
}
