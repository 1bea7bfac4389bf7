//! Admission to the batch: a free slot goes to the most urgent queued request.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::oneshot;

/// The slots of one engine.
pub(super) struct Batch {
    slots: usize,
    queue: usize,
    state: Mutex<State>,
}

#[derive(Default)]
struct State {
    running: usize,
    arrivals: u64,
    /// Queued requests by priority and order of arrival, the most urgent first.
    waiting: BTreeMap<(u8, u64), oneshot::Sender<Permit>>,
}

/// A slot of the batch; dropping it passes the slot to the next queued request.
pub(super) struct Permit {
    batch: Arc<Batch>,
}

/// Guard that removes a request from the queue once it is no longer awaited.
struct QueueEntry<'a> {
    batch: &'a Batch,
    key: (u8, u64),
}

impl Drop for QueueEntry<'_> {
    fn drop(&mut self) {
        self.batch.lock().waiting.remove(&self.key);
    }
}

impl Batch {
    pub(super) fn new(slots: usize, queue: usize) -> Arc<Self> {
        Arc::new(Self {
            slots,
            queue,
            state: Mutex::default(),
        })
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the number of requests that hold a slot.
    pub(super) fn running(&self) -> usize {
        self.lock().running
    }

    /// Returns the number of requests that wait for a slot.
    pub(super) fn queued(&self) -> usize {
        self.lock().waiting.len()
    }

    /// Waits for a slot; returns `None` if the queue is full.
    pub(super) async fn acquire(self: &Arc<Self>, priority: u8) -> Option<Permit> {
        let (sender, receiver) = oneshot::channel();
        let key = {
            let mut state = self.lock();
            if state.running < self.slots {
                state.running += 1;
                return Some(Permit {
                    batch: Arc::clone(self),
                });
            }
            if state.waiting.len() >= self.queue {
                return None;
            }
            state.arrivals += 1;
            let key = (priority, state.arrivals);
            state.waiting.insert(key, sender);
            key
        };
        let _entry = QueueEntry { batch: self, key };
        receiver.await.ok()
    }
}

impl Drop for Permit {
    /// Passes the slot to the next queued request. The message carries the permit itself, so that a
    /// receiver that is gone drops it and the slot passes on to the request after it.
    fn drop(&mut self) {
        let next = {
            let mut state = self.batch.lock();
            debug_assert!(state.running > 0 && state.running <= self.batch.slots);
            let next = state.waiting.pop_first();
            if next.is_none() {
                state.running -= 1;
            }
            next
        };
        if let Some((_, sender)) = next {
            let batch = Arc::clone(&self.batch);
            drop(sender.send(Self { batch }));
        }
    }
}
