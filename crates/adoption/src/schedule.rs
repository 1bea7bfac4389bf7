//! When a checkpoint is due.

use entity::unit::Share;
use entity::{Moment, Span};

/// Checkpoints are due this many times within the retention.
const CHECKPOINTS_PER_RETENTION: u64 = 4;

/// A checkpoint is due after so many records too, since a fresh reader holds all records before the
/// first checkpoint that it can use.
const RECORDS_BETWEEN: u64 = 64;

/// The schedule of one instance.
///
/// Every instance waits until the last checkpoint on the log is a quarter of the retention old, and
/// then for a random part of another eighth. Whoever is first writes, and the others begin anew
/// when they read it. With `n` instances that see a record within a time `d`, about `1 + n d / w` of
/// them write, where `w` is an eighth of the retention; checkpoints that say the same do no harm.
///
/// What counts is the age of the record and not how long this instance has known it: otherwise a
/// fleet whose instances are all replaced often would never write one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Schedule {
    retention: Span,
    /// When the last checkpoint was written; nothing where none has been seen.
    last: Option<Moment>,
    begun: Moment,
    records: u64,
    jitter: Share,
}

impl Schedule {
    /// A schedule that begins now and has seen no checkpoint: one is due after the random part alone.
    /// `jitter` is drawn at random from nothing to the whole.
    pub fn new(retention: Span, now: Moment, jitter: Share) -> Self {
        Self {
            retention,
            last: None,
            begun: now,
            records: 0,
            jitter,
        }
    }

    /// Counts a folded record that is no checkpoint.
    pub fn record(&mut self) {
        self.records += 1;
    }

    /// Begins anew after a checkpoint that was written at `written`, the own or another's, with
    /// another random `jitter`. For one that is read, that is now less its age by the log's time.
    pub fn checkpoint(&mut self, written: Moment, jitter: Share) {
        // Records of the log come in order, so that a later call is about a later checkpoint.
        self.last = self.last.max(Some(written));
        self.records = 0;
        self.jitter = jitter;
    }

    /// When the next checkpoint is due.
    pub fn due(&self) -> Moment {
        let period = self.retention.as_micros() / CHECKPOINTS_PER_RETENTION;
        let jitter = (period as f64 / 2.0 * self.jitter.fraction()) as u64;
        let Some(last) = self.last else {
            return self.begun + Span::from_micros(jitter);
        };
        if self.records < RECORDS_BETWEEN {
            return last + Span::from_micros(period + jitter);
        }
        // Many records: due at once, but for a jitter that still lets the others see the first.
        last + Span::from_micros(jitter / RECORDS_BETWEEN)
    }

    /// Whether a checkpoint is due now.
    pub fn is_due(&self, now: Moment) -> bool {
        now >= self.due()
    }
}
