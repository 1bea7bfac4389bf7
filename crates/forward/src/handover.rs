//! When a silent stream is handed over to another upstream.
//!
//! A run that is silent may go on, and a caller loses both if it is ended before another one has taken
//! over. So a place at another upstream is sought first. The silent run ends once the other one answers, or
//! soon after it was asked: two upstreams must not work on one request for long.

use entity::{Moment, Span};

/// Longest time for which a silent run is kept after another upstream was asked to go on with the stream.
pub const MAX_OVERLAP: Span = Span::from_millis(250);
/// Time after which a place is sought again where there was none.
const SEEK_INTERVAL: Span = Span::from_millis(500);

/// What is to be done about the silence of a stream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// Nothing until this time.
    Wait(Moment),
    /// Nothing: no other upstream can go on with the stream.
    Keep,
    /// Seek a place at another upstream.
    Seek,
}

/// The silence of one run of a stream.
#[derive(Clone, Debug)]
pub struct Silence {
    /// Time without a whole event from which another upstream is sought; none if none can go on.
    patience: Option<Span>,
    /// Time before which none is sought.
    not_before: Moment,
}

impl Silence {
    /// Begins with the head of an answer. `patience` is the time without a whole event from which another
    /// upstream is sought; none if none can go on with the stream.
    pub fn start(patience: Option<Span>, now: Moment) -> Self {
        let mut silence = Self {
            patience,
            not_before: now,
        };
        silence.record_event(now);
        silence
    }

    /// Records a whole event.
    pub fn record_event(&mut self, now: Moment) {
        self.not_before = now + self.patience.unwrap_or_default();
    }

    /// Records that there is no place at another upstream now, or that the one which was asked gave none.
    pub fn record_no_place(&mut self, now: Moment) {
        self.not_before = self.not_before.max(now + SEEK_INTERVAL);
    }

    /// Records that no other upstream can go on with the stream any more.
    pub fn record_last(&mut self) {
        self.patience = None;
    }

    /// Returns what is to be done.
    pub fn step(&self, now: Moment) -> Step {
        match self.patience {
            None => Step::Keep,
            Some(_) if now < self.not_before => Step::Wait(self.not_before),
            Some(_) => Step::Seek,
        }
    }
}
