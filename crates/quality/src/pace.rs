//! The time between events of one stream, measured while it goes on.

use entity::{Moment, Span};

/// Number of pauses between events that are measured.
const MEASURED_PAUSES: usize = 6;
/// Time after which fewer pauses are enough, so that a slow stream is noticed early.
const MAX_MEASURING_TIME: Span = Span::from_millis(700);
/// Least number of pauses after that time.
const MIN_PAUSES_OF_SLOW: usize = 2;
/// Least number of pauses of a stream that has ended.
const MIN_PAUSES_OF_ENDED: usize = 3;

/// The pace of one stream, which is measured once.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    started_at: Moment,
    /// Number of events at the start.
    first: usize,
    last_at: Moment,
    last: usize,
    is_measured: bool,
}

impl Pace {
    /// Starts at the first events of a stream, of which there are `count`.
    pub fn start(count: usize, now: Moment) -> Self {
        Self {
            started_at: now,
            first: count,
            last_at: now,
            last: count,
            is_measured: false,
        }
    }

    /// Observes that the stream has had `count` events. Returns the mean time between two of them once
    /// it is known.
    pub fn observe(&mut self, count: usize, now: Moment) -> Option<Span> {
        (self.last, self.last_at) = (count, now);
        let is_long = now.since(self.started_at) >= MAX_MEASURING_TIME;
        let needed = if is_long {
            MIN_PAUSES_OF_SLOW
        } else {
            MEASURED_PAUSES
        };
        self.measure(needed)
    }

    /// Returns the mean time between two events of a stream that has ended, if it was not measured
    /// before.
    pub fn finish(&mut self) -> Option<Span> {
        self.measure(MIN_PAUSES_OF_ENDED)
    }

    fn measure(&mut self, needed: usize) -> Option<Span> {
        let pauses = self.last.saturating_sub(self.first);
        if self.is_measured || pauses < needed {
            return None;
        }
        self.is_measured = true;
        let total = self.last_at.since(self.started_at);
        Some(Span::from_micros(total.as_micros() / pauses as u64))
    }
}
