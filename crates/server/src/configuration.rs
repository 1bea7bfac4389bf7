//! The task that folds the configuration stream.

use crate::clock::Clock;
use crate::contact::Tracker;
use adoption::{Checkpoint, Fold, Page, Record, STREAM, Schedule, Snapshot, Step};
use bytes::Bytes;
use entity::unit::Share;
use entity::{Moment, Offset, Span};
use rand::RngExt;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;

/// Largest number of records of one read.
const MAX_RECORDS_PER_READ: usize = 32;
/// Shortest and longest backoff after a failed read.
const BACKOFF_RANGE: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(5));
/// Capacity of the channel from peers, in checkpoints.
const CHECKPOINT_CAPACITY: usize = 16;

/// The channels between the task and the rest of the instance.
#[derive(Clone, Debug)]
pub struct Handle {
    /// The configuration in force; none until one was received from the log or a peer.
    pub in_force: watch::Receiver<Option<Arc<Snapshot>>>,
    /// Sender for checkpoints that were received from peers.
    pub peer_checkpoints: mpsc::Sender<Checkpoint>,
    /// Fault that stops the fold, if any.
    pub fault: watch::Receiver<Option<Box<str>>>,
}

/// The dependencies and parameters of the task.
pub struct Parts {
    /// Client of the log.
    pub log: logs::Client,
    /// Longest time that a read waits for a record.
    pub poll: Span,
    /// Time for which the log keeps records.
    pub retention: Span,
    /// The clock.
    pub clock: Clock,
    /// Tracker that records successful reads of the log.
    pub contact: Arc<Tracker>,
    /// Callback for each step of the fold.
    pub on_step: Box<dyn Fn(&Step) + Send>,
}

struct Task {
    parts: Parts,
    fold: Fold,
    schedule: Schedule,
    in_force: watch::Sender<Option<Arc<Snapshot>>>,
    fault: watch::Sender<Option<Box<str>>>,
}

fn jitter() -> Share {
    Share::from_ppm(rand::rng().random_range(0..=Share::WHOLE.ppm()))
}

/// Starts the task.
pub fn spawn(parts: Parts, cancel: CancellationToken) -> Handle {
    let (in_force, in_force_receiver) = watch::channel(None);
    let (fault, fault_receiver) = watch::channel(None);
    let (peer_checkpoints, checkpoints) = mpsc::channel(CHECKPOINT_CAPACITY);
    let schedule = Schedule::new(parts.retention, parts.clock.now(), jitter());
    let task = Task {
        parts,
        fold: Fold::new(),
        schedule,
        in_force,
        fault,
    };
    tokio::spawn(async move {
        tokio::select! {
            () = cancel.cancelled() => {}
            () = task.run(checkpoints) => {}
        }
    });
    Handle {
        in_force: in_force_receiver,
        peer_checkpoints,
        fault: fault_receiver,
    }
}

impl Task {
    async fn run(mut self, mut checkpoints: mpsc::Receiver<Checkpoint>) {
        let mut backoff = BACKOFF_RANGE.0;
        loop {
            let begun = self.parts.clock.now();
            let log = self.parts.log.clone();
            let (from, timeout) = (self.fold.next_offset(), self.read_timeout(begun));
            let read = log.read(STREAM, from, MAX_RECORDS_PER_READ, timeout);
            // A checkpoint from a peer takes effect while a read waits; the read then starts again.
            let read = tokio::select! {
                Some(checkpoint) = checkpoints.recv() => {
                    self.apply_checkpoint(&checkpoint);
                    continue;
                }
                read = read => read,
            };
            let folded = match read {
                Ok(page) => self.fold_page(&page, begun),
                Err(_) => false,
            };
            if folded {
                backoff = BACKOFF_RANGE.0;
                self.write_checkpoint(&log).await;
            } else {
                // A record that can't be folded will not change, and an outage rarely ends at once.
                self.backoff(backoff, &mut checkpoints).await;
                backoff = (backoff * 2).min(BACKOFF_RANGE.1);
            }
        }
    }

    /// Returns how long a read may wait: until the next checkpoint is due, at least 50 ms and at
    /// most the poll interval.
    fn read_timeout(&self, now: Moment) -> Span {
        let due = self.schedule.due().since(now);
        self.parts.poll.min(due.max(Span::from_millis(50)))
    }

    /// Waits with jitter, so that instances don't retry at the same time. Checkpoints from peers
    /// are applied meanwhile.
    async fn backoff(&mut self, backoff: Duration, checkpoints: &mut mpsc::Receiver<Checkpoint>) {
        let backoff = backoff.mul_f64(rand::rng().random_range(0.5..1.0));
        let end = tokio::time::Instant::now() + backoff;
        loop {
            tokio::select! {
                () = tokio::time::sleep_until(end) => return,
                Some(checkpoint) = checkpoints.recv() => self.apply_checkpoint(&checkpoint),
            }
        }
    }

    /// Folds a page whose read started at `begun`. Returns whether all of it could be folded.
    fn fold_page(&mut self, page: &logs::Page, begun: Moment) -> bool {
        let records = page
            .records
            .iter()
            .map(|record| (record.offset, record.data()))
            .collect();
        let folded = Page {
            first: page.first,
            next: page.next,
            records,
        };
        let mut steps = Vec::new();
        let read = self.fold.read(&folded, &mut steps);
        self.record_steps(&steps, Some(page));
        let whole = read.is_ok();
        let fault = read.err().map(|error| error.to_string().into());
        self.fault.send_replace(fault);
        // The configuration is published before the read is recorded, so that the age of this read
        // is never seen with an older configuration.
        self.publish();
        if self.fold.position().is_some() && self.fold.next_offset() == page.next {
            self.parts.contact.record_log_read(begun);
        }
        whole
    }

    fn apply_checkpoint(&mut self, checkpoint: &Checkpoint) {
        let mut steps = Vec::new();
        // A configuration for another release doesn't take effect here; the fold reports that when
        // it reaches its record.
        let _ = self.fold.learn(checkpoint, &mut steps);
        self.record_steps(&steps, None);
        self.publish();
    }

    fn record_steps(&mut self, steps: &[Step], page: Option<&logs::Page>) {
        for step in steps {
            match step {
                Step::Checkpoint { offset } => {
                    let appended = self.append_time(*offset, page);
                    self.schedule.checkpoint(appended, jitter());
                }
                Step::Accepted { .. } | Step::Rejected { .. } | Step::Malformed { .. } => {
                    self.schedule.record();
                }
                _ => {}
            }
            (self.parts.on_step)(step);
        }
    }

    /// Returns when the log appended a record, by the log's clock and at most the present.
    fn append_time(&self, offset: Offset, page: Option<&logs::Page>) -> Moment {
        let now = self.parts.clock.now();
        let records = page.map_or(&[][..], |page| &page.records);
        let record = records.iter().find(|record| record.offset == offset);
        record.map_or(now, |record| {
            Moment(record.time_ms.saturating_mul(1000)).min(now)
        })
    }

    fn publish(&self) {
        let now = self.fold.in_force();
        self.in_force.send_if_modified(|known| {
            let (old, new) = (generation(known.as_ref()), generation(now));
            assert!(new >= old, "the generation in force never decreases");
            let changed = new > old;
            if changed {
                *known = now.cloned();
            }
            changed
        });
    }

    async fn write_checkpoint(&mut self, log: &logs::Client) {
        let now = self.parts.clock.now();
        if !self.schedule.is_due(now) {
            return;
        }
        let Some(checkpoint) = self.fold.checkpoint() else {
            return;
        };
        // Whether the append took effect is seen when the record is read; if it failed, the next
        // checkpoint is written after another interval.
        let record = Bytes::from(Record::Checkpoint(checkpoint).encode());
        let _ = log.append(STREAM, record).await;
        self.schedule.checkpoint(now, jitter());
    }
}

fn generation(snapshot: Option<&Arc<Snapshot>>) -> entity::Generation {
    snapshot.map_or(entity::Generation(0), |snapshot| snapshot.generation)
}
