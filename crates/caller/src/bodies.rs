//! Memory that the bodies of all callers take together.

pub mod ledger;

use entity::{Moment, unit};
use ledger::{Full, Id, Ledger};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Memory for bodies, with a handle for each body that takes some of it.
#[derive(Clone, Debug)]
pub struct Bodies {
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    begun: Instant,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    ledger: Ledger,
    /// Tokens of the bodies that are held, sorted by id.
    evictions: Vec<(Id, CancellationToken)>,
}

/// Memory of one body, which is returned when this is dropped.
#[derive(Debug)]
pub struct Lease {
    bodies: Bodies,
    id: Id,
    evicted: CancellationToken,
}

impl Bodies {
    /// Creates memory of so many bytes.
    pub fn new(limit: unit::Bytes) -> Self {
        let state = State {
            ledger: Ledger::new(limit),
            evictions: Vec::new(),
        };
        Self {
            shared: Arc::new(Shared {
                begun: Instant::now(),
                state: Mutex::new(state),
            }),
        }
    }

    /// Begins to hold a body.
    pub fn open(&self) -> Lease {
        let evicted = CancellationToken::new();
        let now = self.now();
        let mut state = self.state();
        let id = state.ledger.open(now);
        state.evictions.push((id, evicted.clone()));
        Lease {
            bodies: self.clone(),
            id,
            evicted,
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        let state = self.shared.state.lock();
        state.unwrap_or_else(PoisonError::into_inner)
    }

    fn now(&self) -> Moment {
        Moment(self.shared.begun.elapsed().as_micros() as u64)
    }
}

impl State {
    fn position(&self, id: Id) -> Option<usize> {
        let found = self
            .evictions
            .binary_search_by_key(&id, |(known, _)| *known);
        found.ok()
    }
}

impl Lease {
    /// Takes memory for more bytes of the body, of which the configuration allows `largest` in all.
    ///
    /// # Errors
    ///
    /// Returns an error if there is none.
    pub fn grow(&self, bytes: usize, largest: unit::Bytes) -> Result<(), Full> {
        let now = self.bodies.now();
        let mut state = self.bodies.state();
        let evicted = state.ledger.grow(self.id, bytes as u64, largest, now)?;
        for id in evicted {
            if let Some(index) = state.position(id) {
                state.evictions[index].1.cancel();
            }
        }
        Ok(())
    }

    /// Records that the body is whole, so that it makes no room for others any more.
    pub fn complete(&self) {
        self.bodies.state().ledger.complete(self.id);
    }

    /// Waits until the body has to make room for others.
    pub async fn evicted(&self) {
        self.evicted.cancelled().await;
    }
}

impl Drop for Lease {
    fn drop(&mut self) {
        let mut state = self.bodies.state();
        state.ledger.close(self.id);
        if let Some(index) = state.position(self.id) {
            state.evictions.remove(index);
        }
    }
}
