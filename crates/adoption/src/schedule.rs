//! Schedule of the checkpoints that an instance writes.

use entity::unit::Share;
use entity::{Moment, Span};

/// Number of checkpoints that are due within one retention period.
const CHECKPOINTS_PER_RETENTION: u64 = 4;

/// Number of records after which a checkpoint is due regardless of time. A fresh reader buffers all
/// records before the first checkpoint that it can use.
const MAX_RECORDS_BETWEEN_CHECKPOINTS: u64 = 64;

/// The checkpoint schedule of one instance.
///
/// Every instance waits until the last checkpoint on the log is a quarter of the retention old, and
/// then for a random part of another eighth. The first instance whose wait ends writes a
/// checkpoint, and the others restart their wait when they read it. With `n` instances that see a
/// record within a time `d`, about `1 + n d / w` of them write, where `w` is an eighth of the
/// retention; duplicate checkpoints are harmless.
///
/// The wait is measured from the time at which the checkpoint was written, not from when this
/// instance read it: otherwise a fleet whose instances are all replaced often would never write
/// one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Schedule {
    retention: Span,
    /// Time at which the last checkpoint was written; `None` if none has been read.
    last: Option<Moment>,
    started_at: Moment,
    records: u64,
    jitter: Share,
}

impl Schedule {
    /// Creates a schedule that starts now and has read no checkpoint: one is due after the jitter
    /// alone. The caller draws `jitter` uniformly from 0 to 1.
    pub fn new(retention: Span, now: Moment, jitter: Share) -> Self {
        Self {
            retention,
            last: None,
            started_at: now,
            records: 0,
            jitter,
        }
    }

    /// Counts a folded record that is no checkpoint.
    pub fn record(&mut self) {
        self.records += 1;
    }

    /// Restarts the wait after a checkpoint that this instance or a peer wrote at `written`, with a
    /// new random `jitter`. For a checkpoint that was read, `written` is the current time less the
    /// age of the record on the log's clock.
    pub fn checkpoint(&mut self, written: Moment, jitter: Share) {
        // Records are read in log order, so a later call concerns a later checkpoint.
        self.last = self.last.max(Some(written));
        self.records = 0;
        self.jitter = jitter;
    }

    /// Returns the time at which the next checkpoint is due.
    pub fn due(&self) -> Moment {
        let period = self.retention.as_micros() / CHECKPOINTS_PER_RETENTION;
        let jitter = (period as f64 / 2.0 * self.jitter.fraction()) as u64;
        let Some(last) = self.last else {
            return self.started_at + Span::from_micros(jitter);
        };
        if self.records < MAX_RECORDS_BETWEEN_CHECKPOINTS {
            return last + Span::from_micros(period + jitter);
        }
        // After many records a checkpoint is due at once, apart from a short jitter that lets the
        // other instances read the first one before they write their own.
        last + Span::from_micros(jitter / MAX_RECORDS_BETWEEN_CHECKPOINTS)
    }

    /// Whether a checkpoint is due at `now`.
    pub fn is_due(&self, now: Moment) -> bool {
        now >= self.due()
    }
}
