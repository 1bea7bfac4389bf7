//! Admission to the batch: free slots go to the most urgent request that waits.

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
    /// By priority and arrival, the most urgent first.
    waiting: BTreeMap<(u8, u64), oneshot::Sender<Permit>>,
}

/// A slot, which is handed on when it is dropped.
pub(super) struct Permit {
    batch: Arc<Batch>,
}

/// Takes a request that is no longer awaited out of the queue.
struct Place<'a> {
    batch: &'a Batch,
    key: (u8, u64),
}

impl Drop for Place<'_> {
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

    /// Requests that hold a slot.
    pub(super) fn running(&self) -> usize {
        self.lock().running
    }

    /// Requests that wait for a slot.
    pub(super) fn queued(&self) -> usize {
        self.lock().waiting.len()
    }

    /// Waits for a slot; none is given where the queue is full.
    pub(super) async fn enter(self: &Arc<Self>, priority: u8) -> Option<Permit> {
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
        let _place = Place { batch: self, key };
        receiver.await.ok()
    }
}

impl Drop for Permit {
    /// The slot travels inside the message, so that a receiver that is gone drops it and the next
    /// one gets it.
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
