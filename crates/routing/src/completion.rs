//! Comparison of engines by when they are likely to complete a request.

use crate::demand::{Demand, RUNNING_COST_TOKENS, Work};
use crate::estimate::length::{Length, Lengths};
use crate::estimate::pace::Paces;
use crate::restriction::Incarnation;
use crate::runs::{Run, Runs};
use crate::score::Affinity;
use entity::time::Span;
use entity::{Moment, name};

/// Work of a generated token before the first complete answer, in prompt tokens: engines price them
/// like this.
const GENERATED_TOKEN_WORK: f64 = 4.0;

/// Share by which each other running request lengthens the generation of a token.
const SHARED_STEP_SHARE: f64 = 0.02;

/// Length that is assumed of an answer of which nothing is said, in tokens.
const UNKNOWN_LENGTH_TOKENS: f64 = 100.0;

/// Ratio of a waited to an expected time below which a first event is not overdue.
const OVERDUE_TOLERANCE: f64 = 2.0;

/// By what engines are compared.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Basis {
    /// By the prompt tokens that are queued.
    #[default]
    Prompt,
    /// By the expected end of the request.
    Work,
}

/// What an instance has learned of requests and engines.
#[derive(Clone, Debug, Default)]
pub struct Learned {
    /// Output lengths of requests.
    pub lengths: Lengths,
    /// Speeds of engines.
    pub paces: Paces,
}

/// An engine as seen by one instance.
#[derive(Clone, Copy, Debug)]
pub struct Engine<'a> {
    /// Its service.
    pub service: &'a name::Service,
    /// Its name.
    pub upstream: &'a name::Upstream,
    /// Number of its incarnation.
    pub incarnation: u64,
    /// Tokens that its memory holds, where known.
    pub memory: Option<u32>,
    /// Requests of this instance.
    pub runs: &'a Runs,
    /// Work of the peers.
    pub others: Work,
    /// Tokens that a request of a peer is taken to hold.
    pub mean_held: f64,
}

/// Expected cost of a request at one engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cost {
    /// Work before the first event, in tokens.
    pub queued: f64,
    /// The same in tokens that an engine of usual speed reads in that time.
    pub ahead: f64,
    /// Work until the end of the answer, likewise.
    pub total: f64,
    /// Expected time to the first event, where something is known of the service.
    pub first_event: Option<Span>,
    /// Whether the request is likely to exceed the engine's memory.
    pub exceeds_memory: bool,
}

impl Learned {
    /// Returns the expected length of the answer to a request.
    pub fn length(&self, demand: &Demand, now: Moment) -> Length {
        match &demand.output {
            Some(claim) => self.lengths.expect(claim, now),
            None => Length {
                median: UNKNOWN_LENGTH_TOKENS,
                high: UNKNOWN_LENGTH_TOKENS,
            },
        }
    }

    /// Returns the expected cost of a request at an engine.
    pub fn cost(
        &self,
        engine: &Engine<'_>,
        (demand, affinity, length): (&Demand, Affinity, Length),
        now: Moment,
    ) -> Cost {
        let known = self
            .paces
            .slowness(engine.upstream, engine.incarnation, now);
        let slowness = known.max(engine.runs.overdue(now) / OVERDUE_TOLERANCE);
        let usual = self.paces.usual(engine.service);
        let pending = engine
            .runs
            .pending(usual.map(|usual| usual * slowness), now);
        let step = self.paces.usual_output(engine.service);
        let step_work = match (step, usual) {
            (Some(step), Some(usual)) => step / usual,
            _ => GENERATED_TOKEN_WORK,
        };
        let own = length.median * demand.weight;
        let running = match step {
            Some(step) => engine.runs.concurrent(own * step, step, now),
            None => engine.runs.len() as f64,
        };
        let running = running + engine.others.running;
        let before = demand.work(affinity) + pending + engine.others.pending;
        let queued = before + RUNNING_COST_TOKENS * running;
        let ahead = slowness * queued;
        let output = own * step_work * (1.0 + SHARED_STEP_SHARE * running);
        let tokens = f64::from(demand.own) + f64::from(demand.shared) + length.high;
        let held = engine.runs.held() + engine.others.running * engine.mean_held;
        Cost {
            queued,
            ahead,
            total: ahead + slowness * output,
            first_event: self.paces.first_event(engine.service, queued, slowness),
            exceeds_memory: engine
                .memory
                .is_some_and(|memory| held + tokens > f64::from(memory)),
        }
    }

    /// Learns from a first event, or from a request that ended without one after more than the
    /// expected time.
    pub fn observe_first_event(
        &mut self,
        service: &name::Service,
        incarnation: &Incarnation,
        run: &Run,
        now: Moment,
    ) {
        let seen = (run.ahead, now.since(run.sent));
        self.paces.observe(service, incarnation, seen, now);
    }
}
