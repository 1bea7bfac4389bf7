//! Tracks recent contact with the log and with peers.

use crate::clock::Clock;
use adoption::{Contact, Isolation, Verdict};
use entity::{Moment, Span};
use std::collections::VecDeque;
use std::sync::Mutex;

/// Largest number of exchanges that are remembered.
const MAX_EXCHANGES: usize = 256;

#[derive(Debug, Default)]
struct State {
    /// Start of the latest read of the log to the end of the configuration stream, by this instance
    /// or by a peer.
    log: Option<Moment>,
    /// Times of the digests sent to peers, the oldest first, and whether each was answered.
    exchanges: VecDeque<(Moment, bool)>,
    /// Number of live instances in the list, this one included.
    listed: u32,
}

/// Input of the isolation rule, which decides whether an instance may serve.
#[derive(Debug)]
pub struct Tracker {
    clock: Clock,
    bound: Span,
    state: Mutex<State>,
}

impl Tracker {
    /// Creates a tracker without any contact; `bound` is the longest permitted time without.
    pub fn new(clock: Clock, bound: Span) -> Self {
        Self {
            clock,
            bound,
            state: Mutex::default(),
        }
    }

    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("the lock is never poisoned")
    }

    /// Records that the log was read to the end of the configuration stream, by a read that began
    /// at `begun`.
    pub fn record_log_read(&self, begun: Moment) {
        let mut state = self.state();
        state.log = state.log.max(Some(begun));
    }

    /// Records that a digest was sent to a peer, and whether it was answered.
    pub fn record_exchange(&self, answered: bool) {
        let now = self.clock.now();
        let mut state = self.state();
        state.exchanges.push_back((now, answered));
        let old = now - self.bound;
        while state.exchanges.len() > MAX_EXCHANGES
            || state.exchanges.front().is_some_and(|(at, _)| *at < old)
        {
            state.exchanges.pop_front();
        }
    }

    /// Sets the number of live instances in the list, this one included.
    pub fn set_listed(&self, listed: u32) {
        self.state().listed = listed;
    }

    /// Returns the age of the latest known read of the log.
    pub fn log_age(&self) -> Option<Span> {
        self.state().log.map(|at| self.clock.now().since(at))
    }

    /// Returns whether this instance may go on serving.
    pub fn verdict(&self) -> Verdict {
        let now = self.clock.now();
        let state = self.state();
        let recent = state
            .exchanges
            .iter()
            .filter(|(at, _)| now.since(*at) <= self.bound);
        let (mut offered, mut answered) = (0, 0);
        for (_, was_answered) in recent {
            offered += 1;
            answered += u32::from(*was_answered);
        }
        let contact = Contact {
            log: state.log.map(|at| now.since(at)),
            listed: state.listed,
            offered,
            answered,
        };
        Isolation::new(self.bound).evaluate(&contact)
    }
}
