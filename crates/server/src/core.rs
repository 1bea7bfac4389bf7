//! What every request is decided with, whichever front took it.

use crate::clock::Clock;
use crate::decider;
use adoption::Snapshot;
use entity::{Generation, Span};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use timeline::{Metric, Recorder};
use tokio::sync::watch;
use tokio_util::task::TaskTracker;

/// Longest wait for a configuration that the decider had before it was in force.
const SETTLE: Duration = Duration::from_millis(5);

/// What every request is decided with, whichever front took it.
pub struct Core {
    /// The clock.
    pub clock: Clock,
    /// What is in force; none until it was read.
    pub in_force: watch::Receiver<Option<Arc<Snapshot>>>,
    /// Decisions on versions and upstreams.
    pub decider: decider::Handle,
    /// Longest time between a choice and its dispatch.
    pub slack: Span,
    /// Streams that are passed on to callers.
    pub streams: TaskTracker,
    /// Events of the time line.
    pub recorder: Recorder,
    /// Counters and timers.
    pub metric: Metric,
    /// Set when the instance is being shut down.
    pub draining: AtomicBool,
    /// Set when no new request is taken any more.
    pub closing: AtomicBool,
}

impl Core {
    /// What requests are decided with from now on, with time and records by `observed`.
    pub fn new(
        observed: (Clock, Recorder, Metric),
        in_force: watch::Receiver<Option<Arc<Snapshot>>>,
        decider: decider::Handle,
        slack: Span,
    ) -> Self {
        let (clock, recorder, metric) = observed;
        Self {
            clock,
            in_force,
            decider,
            slack,
            streams: TaskTracker::new(),
            recorder,
            metric,
            draining: AtomicBool::new(false),
            closing: AtomicBool::new(false),
        }
    }

    /// What is in force; none until the log, the store or a fellow told.
    pub fn snapshot(&self) -> Option<Arc<Snapshot>> {
        self.in_force.borrow().clone()
    }

    /// The generation in force; 0 where none is.
    pub fn generation(&self) -> Generation {
        self.snapshot()
            .map_or(Generation(0), |snapshot| snapshot.generation)
    }

    /// Waits until a newer configuration is in force, or for a moment: the decider can have it a little
    /// earlier.
    pub async fn settle(&self, snapshot: &Snapshot) {
        let mut in_force = self.in_force.clone();
        let newer = in_force.wait_for(|now| {
            now.as_ref()
                .is_some_and(|now| now.generation > snapshot.generation)
        });
        // The request is resolved again, whether or not there is a newer configuration.
        let _ = tokio::time::timeout(SETTLE, newer).await;
    }

    /// Whether no new request is taken any more.
    pub fn is_closing(&self) -> bool {
        self.closing.load(Ordering::Relaxed)
    }

    /// Whether the instance is being shut down.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }
}
