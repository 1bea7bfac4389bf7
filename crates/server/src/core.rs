//! State that the decisions on requests need at every kind of front.

use crate::clock::Clock;
use crate::decider;
use adoption::Snapshot;
use entity::{Generation, Span};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;
use timeline::{Metrics, Recorder};
use tokio::sync::watch;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Longest wait for a configuration that the decider has applied before it is in force here.
const MAX_CONFIGURATION_LAG: Duration = Duration::from_millis(5);

/// State that the decisions on requests need at every kind of front.
pub struct Core {
    /// The clock.
    pub clock: Clock,
    /// The configuration in force; none until the first was read.
    pub in_force: watch::Receiver<Option<Arc<Snapshot>>>,
    /// Handle of the task that chooses versions and upstreams.
    pub decider: decider::Handle,
    /// Longest time between a choice and its dispatch.
    pub slack: Span,
    /// Tasks that relay streams to callers.
    pub streams: TaskTracker,
    /// Recorder of the event log.
    pub recorder: Recorder,
    /// Counters and timers.
    pub metric: Arc<Metrics>,
    /// Set when the instance is shutting down.
    pub draining: AtomicBool,
    /// Set when no new request is accepted any more.
    pub closing: AtomicBool,
    /// Cancelled when requests that still run are given up.
    pub giving_up: CancellationToken,
}

impl Core {
    /// Creates the state, with the clock, the recorder and the metrics in `observed`.
    pub fn new(
        observed: (Clock, Recorder, Arc<Metrics>),
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
            giving_up: CancellationToken::new(),
        }
    }

    /// Returns the configuration in force; none until one was received from the log, the store or a
    /// peer.
    pub fn snapshot(&self) -> Option<Arc<Snapshot>> {
        self.in_force.borrow().clone()
    }

    /// Returns the generation in force; 0 if there is none.
    pub fn generation(&self) -> Generation {
        self.snapshot()
            .map_or(Generation(0), |snapshot| snapshot.generation)
    }

    /// Waits for a configuration that is newer than `snapshot`, or for a few milliseconds: the
    /// decider may apply it a little earlier than it is in force here.
    pub async fn wait_for_newer(&self, snapshot: &Snapshot) {
        let mut in_force = self.in_force.clone();
        let newer = in_force.wait_for(|now| {
            now.as_ref()
                .is_some_and(|now| now.generation > snapshot.generation)
        });
        // After a timeout, the request is resolved again with the same configuration.
        let _ = tokio::time::timeout(MAX_CONFIGURATION_LAG, newer).await;
    }

    /// Returns whether no new request is accepted any more.
    pub fn is_closing(&self) -> bool {
        self.closing.load(Ordering::Relaxed)
    }

    /// Returns whether the instance is shutting down.
    pub fn is_draining(&self) -> bool {
        self.draining.load(Ordering::Relaxed)
    }
}
