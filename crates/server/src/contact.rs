//! Whom this instance has heard from lately.

use crate::clock::Clock;
use adoption::{Contact, Isolation, Verdict};
use entity::{Moment, Span};
use std::collections::VecDeque;
use std::sync::Mutex;

/// Most offers that are remembered.
const MAX_OFFERS: usize = 256;

#[derive(Debug, Default)]
struct State {
    /// When the log was last read to the end of the configuration stream, by anybody heard of.
    log: Option<Moment>,
    /// Digests offered to fellows, the oldest first, and whether they were answered.
    offers: VecDeque<(Moment, bool)>,
    listed: u32,
}

/// Keeps what the isolation rule needs.
#[derive(Debug)]
pub struct Tracker {
    clock: Clock,
    bound: Span,
    state: Mutex<State>,
}

impl Tracker {
    /// A tracker that has heard from nobody.
    pub fn new(clock: Clock, bound: Span) -> Self {
        Self {
            clock,
            bound,
            state: Mutex::default(),
        }
    }

    fn state(&self) -> std::sync::MutexGuard<'_, State> {
        self.state.lock().expect("no holder of this lock panics")
    }

    /// The log was read to the end of the configuration stream, by a read begun at `begun`.
    pub fn heard_log(&self, begun: Moment) {
        let mut state = self.state();
        state.log = state.log.max(Some(begun));
    }

    /// A digest was offered to a fellow.
    pub fn offered(&self, answered: bool) {
        let now = self.clock.now();
        let mut state = self.state();
        state.offers.push_back((now, answered));
        let old = now - self.bound;
        while state.offers.len() > MAX_OFFERS
            || state.offers.front().is_some_and(|(at, _)| *at < old)
        {
            state.offers.pop_front();
        }
    }

    /// How many live instances the list has, this one included.
    pub fn listed(&self, listed: u32) {
        self.state().listed = listed;
    }

    /// The age of the newest read of the log that was heard of.
    pub fn log_age(&self) -> Option<Span> {
        self.state().log.map(|at| self.clock.now().since(at))
    }

    /// Whether this instance may go on serving.
    pub fn verdict(&self) -> Verdict {
        let now = self.clock.now();
        let state = self.state();
        let recent = state
            .offers
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
