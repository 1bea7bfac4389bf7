//! Requests of this instance that an engine has, from their dispatch to their end.

use crate::demand::Demand;
use crate::estimate::length::Length;
use entity::Moment;
use entity::time::Span;

/// Largest part of a prompt that is taken as read before its first event.
const MAX_READ_SHARE: f64 = 0.9;

/// Smallest part of the expected output that is left while an answer goes on.
const MIN_REST_SHARE: f64 = 0.1;

/// One request at an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Run {
    /// Number of its choice.
    pub ticket: u64,
    /// Number of the engine's incarnation.
    pub incarnation: u64,
    /// Work of its prompt, in tokens.
    pub work: f64,
    /// Work before its first event, including its own, in tokens.
    pub ahead: f64,
    /// Expected time to its first event.
    pub expected: Option<Span>,
    /// Its size.
    pub demand: Demand,
    /// Expected length of its answer.
    pub length: Length,
    /// Time of its dispatch.
    pub sent: Moment,
    /// Time of its first event.
    pub begun: Option<Moment>,
}

/// All requests at one engine, the oldest first.
#[derive(Clone, Debug, Default)]
pub struct Runs {
    runs: Vec<Run>,
    /// Time of the last first event.
    last_first: Option<Moment>,
}

impl Runs {
    /// Adds a request.
    pub fn add(&mut self, run: Run) {
        self.runs.push(run);
    }

    /// Records the first event of an answer, and returns its request; none if it is not known.
    pub fn begin(&mut self, ticket: u64, now: Moment) -> Option<Run> {
        let run = self.runs.iter_mut().find(|run| run.ticket == ticket)?;
        if run.begun.is_some() {
            return None;
        }
        run.begun = Some(now);
        self.last_first = Some(now);
        Some(*run)
    }

    /// Removes a request and returns it.
    pub fn remove(&mut self, ticket: u64) -> Option<Run> {
        let index = self.runs.iter().position(|run| run.ticket == ticket)?;
        Some(self.runs.remove(index))
    }

    /// Returns the work of the prompts whose first event is still to come, in tokens. An engine that
    /// takes `seconds` for a token has read part of the first one.
    pub fn pending(&self, seconds: Option<f64>, now: Moment) -> f64 {
        let mut pending = 0.0;
        let mut first = None;
        for run in &self.runs {
            if run.begun.is_none() {
                pending += run.work;
                first = first.or(Some(run));
            }
        }
        let (Some(first), Some(seconds)) = (first, seconds) else {
            return pending;
        };
        let since = self.last_first.map_or(first.sent, |at| at.max(first.sent));
        let read = now.since(since).as_secs_f64() / seconds;
        pending - read.min(MAX_READ_SHARE * first.work)
    }

    /// Returns the largest ratio of the time that a first event is waited for to the expected time;
    /// 0 without one.
    pub fn overdue(&self, now: Moment) -> f64 {
        let mut overdue = 0.0_f64;
        for run in &self.runs {
            let (None, Some(expected)) = (run.begun, run.expected) else {
                continue;
            };
            let waited = now.since(run.sent).as_secs_f64();
            overdue = overdue.max(waited / expected.as_secs_f64().max(1e-3));
        }
        overdue
    }

    /// Returns the mean number of requests that run within the next `horizon` seconds, where a token
    /// of the largest model takes `seconds`.
    pub fn concurrent(&self, horizon: f64, seconds: f64, now: Moment) -> f64 {
        let mut sum = 0.0;
        for run in &self.runs {
            let whole = run.length.median * run.demand.weight * seconds;
            let passed = run.begun.map_or(0.0, |at| now.since(at).as_secs_f64());
            let rest = (whole - passed).max(MIN_REST_SHARE * whole);
            sum += (rest / horizon.max(1e-3)).min(1.0);
        }
        sum
    }

    /// Returns the tokens that the requests are likely to hold in the engine's memory.
    pub fn held(&self) -> f64 {
        let held = |run: &Run| f64::from(run.demand.own) + run.length.high;
        self.runs.iter().map(held).sum()
    }

    /// Returns the number of requests.
    pub fn len(&self) -> usize {
        self.runs.len()
    }

    /// Returns whether there are no requests.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }
}
