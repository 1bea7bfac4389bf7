//! The task that owns the fold of the configuration stream.

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

/// Records of one read.
const READ_LIMIT: usize = 32;
/// Shortest and longest pause after a failed read.
const PAUSES: (Duration, Duration) = (Duration::from_millis(200), Duration::from_secs(5));
/// Texts of fellows that wait to be taken.
const QUEUE: usize = 16;

/// What the task tells the rest of the instance.
#[derive(Clone, Debug)]
pub struct Handle {
    /// What is in force; none until the log or a fellow told.
    pub in_force: watch::Receiver<Option<Arc<Snapshot>>>,
    /// Takes texts that fellows told.
    pub learned: mpsc::Sender<Checkpoint>,
    /// Why the fold can't go on, if it can't.
    pub fault: watch::Receiver<Option<Box<str>>>,
}

/// What the task needs.
pub struct Parts {
    /// The log.
    pub log: logs::Client,
    /// How long a read waits for a record.
    pub poll: Span,
    /// How long the log keeps records.
    pub retention: Span,
    /// The clock.
    pub clock: Clock,
    /// Is told of reads.
    pub contact: Arc<Tracker>,
    /// Is told what the fold did.
    pub notes: Box<dyn Fn(&Step) + Send>,
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
    let (in_force, force) = watch::channel(None);
    let (fault, faults) = watch::channel(None);
    let (learned, texts) = mpsc::channel(QUEUE);
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
            () = task.run(texts) => {}
        }
    });
    Handle {
        in_force: force,
        learned,
        fault: faults,
    }
}

impl Task {
    async fn run(mut self, mut texts: mpsc::Receiver<Checkpoint>) {
        let mut pause = PAUSES.0;
        loop {
            let begun = self.parts.clock.now();
            let log = self.parts.log.clone();
            let (from, poll) = (self.fold.next_offset(), self.wait(begun));
            let read = log.read(STREAM, from, READ_LIMIT, poll);
            // A text of a fellow goes in force while a read waits; the read is then begun again.
            let read = tokio::select! {
                Some(text) = texts.recv() => {
                    self.learn(&text);
                    continue;
                }
                read = read => read,
            };
            let folded = match read {
                Ok(page) => self.fold_page(&page, begun),
                Err(_) => false,
            };
            if folded {
                pause = PAUSES.0;
                self.write_checkpoint(&log).await;
            } else {
                // A record that can't be folded will not change, no more than an outage ends at once.
                self.pause(pause, &mut texts).await;
                pause = (pause * 2).min(PAUSES.1);
            }
        }
    }

    /// How long a read may wait: until the next checkpoint is due, at most the long poll.
    fn wait(&self, now: Moment) -> Span {
        let due = self.schedule.due().since(now);
        self.parts.poll.min(due.max(Span::from_millis(50)))
    }

    /// Waits with jitter, so that instances don't come back together; fellows are heard meanwhile.
    async fn pause(&mut self, pause: Duration, texts: &mut mpsc::Receiver<Checkpoint>) {
        let pause = pause.mul_f64(rand::rng().random_range(0.5..1.0));
        let end = tokio::time::Instant::now() + pause;
        loop {
            tokio::select! {
                () = tokio::time::sleep_until(end) => return,
                Some(text) = texts.recv() => self.learn(&text),
            }
        }
    }

    /// Folds a page that was read since `begun`. Returns whether all of it could be folded.
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
        self.note(&steps, Some(page));
        let whole = read.is_ok();
        let fault = read.err().map(|error| error.to_string().into());
        self.fault.send_replace(fault);
        // In this order, so that nobody sees the age of this read with what was in force before it.
        self.publish();
        if self.fold.position().is_some() && self.fold.next_offset() == page.next {
            self.parts.contact.heard_log(begun);
        }
        whole
    }

    fn learn(&mut self, text: &Checkpoint) {
        let mut steps = Vec::new();
        // A text of another release stays out of force here; the fold will say so at its record.
        let _ = self.fold.learn(text, &mut steps);
        self.note(&steps, None);
        self.publish();
    }

    fn note(&mut self, steps: &[Step], page: Option<&logs::Page>) {
        for step in steps {
            match step {
                Step::Checkpoint { offset } => {
                    let written = self.written(*offset, page);
                    self.schedule.checkpoint(written, jitter());
                }
                Step::Accepted { .. } | Step::Rejected { .. } | Step::Malformed { .. } => {
                    self.schedule.record();
                }
                _ => {}
            }
            (self.parts.notes)(step);
        }
    }

    /// When the log took a record, by the log's clock.
    fn written(&self, offset: Offset, page: Option<&logs::Page>) -> Moment {
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
            assert!(new >= old, "what is in force never reverts");
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
        // Whether it took effect is seen when it is read; if it did not, the next one is written
        // after the same time again.
        let record = Bytes::from(Record::Checkpoint(checkpoint).encode());
        let _ = log.append(STREAM, record).await;
        self.schedule.checkpoint(now, jitter());
    }
}

fn generation(snapshot: Option<&Arc<Snapshot>>) -> entity::Generation {
    snapshot.map_or(entity::Generation(0), |snapshot| snapshot.generation)
}
