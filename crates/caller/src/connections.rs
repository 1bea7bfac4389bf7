//! Bound on the callers' connections that are kept open.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Open connections of callers.
#[derive(Clone, Debug)]
pub(crate) struct Connections {
    limit: usize,
    state: Arc<Mutex<State>>,
    /// Notified when a connection has been closed.
    closed: Arc<Notify>,
}

#[derive(Debug, Default)]
struct State {
    next: u64,
    /// Number of connections that are open, those that are being closed for others among them.
    open: usize,
    /// Connections that stay open, sorted by id.
    entries: Vec<Entry>,
}

#[derive(Debug)]
struct Entry {
    id: u64,
    /// When the connection was opened, or its last request ended.
    waits_since: Instant,
    /// Number of requests that were read and are not yet answered to the end.
    requests: u32,
    evicted: CancellationToken,
}

/// One open connection, whose place is free when this is dropped.
#[derive(Debug)]
pub(crate) struct Place {
    connections: Connections,
    id: u64,
    evicted: CancellationToken,
}

/// A request that was read, until its answer has been sent.
#[derive(Debug)]
pub(crate) struct Request(Arc<Place>);

impl Connections {
    /// Creates a bound of so many connections.
    pub(crate) fn new(limit: usize) -> Self {
        Self {
            limit,
            state: Arc::default(),
            closed: Arc::default(),
        }
    }

    /// Waits until the connections that are being closed for others are closed.
    pub(crate) async fn wait_for_closed(&self) {
        loop {
            let closed = self.closed.notified();
            if self.state().open <= self.limit {
                return;
            }
            closed.await;
        }
    }

    /// Takes a place for a new connection. Where there is none, the connection that has gone longest without a
    /// request is closed for it. Returns none if there is no such connection.
    pub(crate) fn open(&self) -> Option<Place> {
        let mut state = self.state();
        if state.entries.len() >= self.limit && !state.evict() {
            return None;
        }
        let (id, evicted) = (state.next, CancellationToken::new());
        state.next += 1;
        state.open += 1;
        state.entries.push(Entry {
            id,
            waits_since: Instant::now(),
            requests: 0,
            evicted: evicted.clone(),
        });
        Some(Place {
            connections: self.clone(),
            id,
            evicted,
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn position(&self, id: u64) -> Option<usize> {
        self.entries
            .binary_search_by_key(&id, |entry| entry.id)
            .ok()
    }

    /// Closes the connection that has gone longest without a request. Returns whether there is one.
    fn evict(&mut self) -> bool {
        let entries = self.entries.iter().enumerate();
        let waiting = entries.filter(|(_, entry)| entry.requests == 0);
        let Some((index, _)) = waiting.min_by_key(|(_, entry)| entry.waits_since) else {
            return false;
        };
        self.entries.remove(index).evicted.cancel();
        true
    }
}

impl Place {
    /// Records that a whole request was read. Returns none if the connection is being closed for another one.
    pub(crate) fn begin_request(self: &Arc<Self>) -> Option<Request> {
        let mut state = self.connections.state();
        let index = state.position(self.id)?;
        state.entries[index].requests += 1;
        Some(Request(self.clone()))
    }

    /// Waits until the connection has to be closed for another one.
    pub(crate) async fn evicted(&self) {
        self.evicted.cancelled().await;
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        let mut state = self.connections.state();
        state.open -= 1;
        if let Some(index) = state.position(self.id) {
            state.entries.remove(index);
        }
        drop(state);
        self.connections.closed.notify_waiters();
    }
}

impl Drop for Request {
    fn drop(&mut self) {
        let place = &self.0;
        let mut state = place.connections.state();
        if let Some(index) = state.position(place.id) {
            let entry = &mut state.entries[index];
            entry.requests -= 1;
            entry.waits_since = Instant::now();
        }
    }
}
