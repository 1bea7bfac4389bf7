//! Simulation of requests, answers and ratings on a virtual clock.

use crate::common::{self, BAD, INSTANCES, exponential};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::fmt;

/// Maximum time for which a complete answer is held for its rating, in seconds.
const MAX_HOLD: f64 = 10.0;

/// Time between two ticks of a policy, in seconds.
pub const TICK: f64 = 0.5;

/// Time that a run continues after the version turned bad, in seconds.
const DURATION_AFTER_CHANGE: f64 = 900.0;

/// Length of a run in which the version doesn't change, in seconds.
const STEADY_DURATION: f64 = 3600.0;

/// Range of the random time at which the version turns bad, in seconds.
const CHANGE_TIME: (f64, f64) = (600.0, 2700.0);

/// Start and end of the rating service outage, in seconds from the time at which the version turns
/// bad.
const OUTAGE: (f64, f64) = (-60.0, 300.0);

/// The organisation that sends the requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum User {
    /// Wadi Clearwater Systems.
    Wadi,
    /// Vermeulen Spaarnet Franchise NV.
    Vermeulen,
}

impl fmt::Display for User {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::Wadi => "Wadi",
            Self::Vermeulen => "Vermeulen",
        })
    }
}

/// A kind of request.
#[derive(Clone, Copy, Debug)]
pub struct RequestKind {
    /// Share of all requests.
    share: f64,
    /// Whether the answer is streamed.
    pub streamed: bool,
    /// Latency of a complete answer, in seconds.
    pub latency: f64,
}

impl User {
    fn rate(self) -> f64 {
        match self {
            Self::Wadi => 6.0,
            Self::Vermeulen => 10.0,
        }
    }

    fn kinds(self) -> &'static [RequestKind] {
        const fn kind(share: f64, streamed: bool, latency: f64) -> RequestKind {
            RequestKind {
                share,
                streamed,
                latency,
            }
        }
        match self {
            Self::Wadi => &const { [kind(0.6, true, 2.0), kind(0.4, false, 8.0)] },
            Self::Vermeulen => {
                &const {
                    [
                        kind(0.3, true, 2.0),
                        kind(0.4, false, 8.0),
                        kind(0.3, false, 1.0),
                    ]
                }
            }
        }
    }
}

/// A policy's decision about a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// The baseline version answers.
    Old,
    /// The candidate version answers.
    New,
    /// The candidate version answers, and the baseline version replaces the answer if its rating is
    /// below this threshold.
    Held(f64),
}

/// A rollout policy.
pub trait Policy {
    /// Decides about a request at an instance.
    fn decide(&mut self, at: f64, instance: usize, kind: &RequestKind, position: f64) -> Decision;
    /// Records a rating that arrives at an instance.
    fn rate(&mut self, at: f64, instance: usize, score: f64);
    /// Called every [`TICK`].
    fn tick(&mut self, at: f64);
    /// Returns the time at which the first instance braked, in seconds.
    fn braked(&self) -> Option<f64>;
}

/// A simulation run of one organisation's requests.
#[derive(Clone, Copy, Debug)]
pub struct Run {
    user: User,
    before: f64,
    after: f64,
    changes: bool,
    from_start: bool,
    outage: bool,
}

/// Results of a run.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Number of bad answers of the candidate version passed on after it turned bad.
    pub passed: u32,
    /// Number of requests that the candidate version served.
    pub served: u32,
    /// Time of the brake, in seconds.
    pub braked: Option<f64>,
    /// Time at which the version turned bad, in seconds.
    changed_at: f64,
    /// Times at which bad answers were passed on, in seconds since the version turned bad.
    pub times: Vec<f64>,
}

impl Outcome {
    /// Returns the time from the version turning bad to the brake, in seconds.
    pub fn delay(&self) -> Option<f64> {
        self.braked.map(|at| at - self.changed_at)
    }
}

/// An event of the simulation.
#[derive(Clone, Copy, Debug)]
enum Event {
    Request,
    Tick,
    /// The answer of the candidate version is complete.
    Answer {
        instance: usize,
        quality: f64,
        held: Option<f64>,
    },
    /// A rating arrives.
    Rating {
        instance: usize,
        score: f64,
    },
    /// A bad answer is passed on.
    Pass,
}

struct ScheduledEvent(f64, u64, Event);

impl PartialEq for ScheduledEvent {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for ScheduledEvent {}

impl PartialOrd for ScheduledEvent {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for ScheduledEvent {
    fn cmp(&self, other: &Self) -> Ordering {
        self.0.total_cmp(&other.0).then(self.1.cmp(&other.1))
    }
}

/// Events in order of time.
#[derive(Default)]
struct Queue {
    heap: BinaryHeap<Reverse<ScheduledEvent>>,
    count: u64,
}

impl Queue {
    fn push(&mut self, at: f64, event: Event) {
        self.count += 1;
        self.heap
            .push(Reverse(ScheduledEvent(at, self.count, event)));
    }

    fn pop(&mut self) -> Option<(f64, Event)> {
        self.heap
            .pop()
            .map(|Reverse(ScheduledEvent(at, _, event))| (at, event))
    }
}

impl Run {
    /// Returns a run in which the fraction of bad answers doesn't change.
    pub fn steady(user: User, bad: f64) -> Self {
        Self {
            user,
            before: bad,
            after: bad,
            changes: false,
            from_start: false,
            outage: false,
        }
    }

    /// Returns a run in which the version turns bad.
    pub fn turning(user: User, before: f64, after: f64) -> Self {
        Self {
            user,
            before,
            after,
            changes: true,
            from_start: false,
            outage: false,
        }
    }

    /// Returns the same run with the version treated as bad from the beginning.
    pub fn bad_from_start(self) -> Self {
        Self {
            changes: true,
            from_start: true,
            ..self
        }
    }

    /// Returns the same run with an outage of the rating service from a minute before the version
    /// turns bad to five minutes after it.
    pub fn with_outage(self) -> Self {
        Self {
            outage: true,
            ..self
        }
    }

    /// Returns the mean number of requests in a run of constant quality.
    pub fn requests(&self) -> f64 {
        STEADY_DURATION * self.user.rate()
    }

    /// Simulates the run with a seed.
    pub fn simulate<P: Policy>(&self, seed: u64, policy: P) -> Outcome {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let changed_at = if self.from_start {
            0.0
        } else {
            rng.random_range(CHANGE_TIME.0..CHANGE_TIME.1)
        };
        let end = if self.changes {
            changed_at + DURATION_AFTER_CHANGE
        } else {
            STEADY_DURATION
        };
        let mut simulation = Simulation {
            run: self,
            policy,
            rng,
            queue: Queue::default(),
            changed_at: if self.changes {
                changed_at
            } else {
                f64::INFINITY
            },
            outcome: Outcome {
                passed: 0,
                served: 0,
                braked: None,
                changed_at,
                times: Vec::new(),
            },
        };
        simulation.queue.push(0.0, Event::Request);
        simulation.queue.push(0.0, Event::Tick);
        while let Some((at, event)) = simulation.queue.pop() {
            if at > end {
                break;
            }
            simulation.handle(at, event);
        }
        simulation.outcome.braked = simulation.policy.braked();
        simulation.outcome
    }
}

struct Simulation<'a, P> {
    run: &'a Run,
    policy: P,
    rng: ChaCha8Rng,
    queue: Queue,
    changed_at: f64,
    outcome: Outcome,
}

impl<P: Policy> Simulation<'_, P> {
    fn handle(&mut self, at: f64, event: Event) {
        match event {
            Event::Tick => {
                self.policy.tick(at);
                self.queue.push(at + TICK, Event::Tick);
            }
            Event::Request => {
                let gap = exponential(&mut self.rng, 1.0 / self.run.user.rate());
                self.queue.push(at + gap, Event::Request);
                self.request(at);
            }
            Event::Answer {
                instance,
                quality,
                held,
            } => self.answer(at, instance, quality, held),
            Event::Rating { instance, score } => self.policy.rate(at, instance, score),
            Event::Pass => {
                self.outcome.passed += 1;
                self.outcome.times.push(at - self.changed_at);
            }
        }
    }

    fn request(&mut self, at: f64) {
        let instance = self.rng.random_range(0..INSTANCES);
        let position = self.rng.random::<f64>();
        let mut draw = self.rng.random::<f64>();
        let kinds = self.run.user.kinds();
        let mut kind = &kinds[0];
        for candidate in kinds {
            kind = candidate;
            draw -= candidate.share;
            if draw < 0.0 {
                break;
            }
        }
        let held = match self.policy.decide(at, instance, kind, position) {
            Decision::Old => return,
            Decision::New => None,
            Decision::Held(threshold) => Some(threshold),
        };
        self.outcome.served += 1;
        let bad = if at < self.changed_at {
            self.run.before
        } else {
            self.run.after
        };
        let quality = common::quality(&mut self.rng, bad);
        self.queue.push(
            at + kind.latency,
            Event::Answer {
                instance,
                quality,
                held,
            },
        );
    }

    fn answer(&mut self, at: f64, instance: usize, quality: f64, held: Option<f64>) {
        let delay = common::rating_delay(&mut self.rng);
        let score = common::score(&mut self.rng, quality);
        let rated = !self.is_out(at + delay);
        if rated {
            self.queue
                .push(at + delay, Event::Rating { instance, score });
        }
        let known = held.filter(|_| rated && delay <= MAX_HOLD);
        // A held answer with a poor rating is replaced by one of the baseline version.
        if known.is_some_and(|threshold| score < threshold) {
            return;
        }
        let wait = if known.is_some() { delay } else { 0.0 };
        if quality < BAD && at >= self.changed_at {
            self.queue.push(at + wait, Event::Pass);
        }
    }

    fn is_out(&self, at: f64) -> bool {
        let since = at - self.changed_at;
        self.run.outage && (OUTAGE.0..OUTAGE.1).contains(&since)
    }
}
