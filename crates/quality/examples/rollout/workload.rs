//! Requests, answers and ratings over a virtual clock.

use crate::common::{self, BAD, INSTANCES, exponential};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::fmt;

/// Time for which a whole answer is held for its rating, in seconds.
const HOLD: f64 = 10.0;

/// Time between two ticks of a policy, in seconds.
pub const TICK: f64 = 0.5;

/// How long a run goes on after the version turned bad, in seconds.
const AFTERMATH: f64 = 900.0;

/// Length of a run in which the version doesn't change, in seconds.
const STEADY: f64 = 3600.0;

/// When the version turns bad: at random between these, in seconds.
const TURNING: (f64, f64) = (600.0, 2700.0);

/// When the outage of the rating service begins and ends, from the turning on, in seconds.
const OUTAGE: (f64, f64) = (-60.0, 300.0);

/// Whose requests they are.
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
pub struct Form {
    /// Its part of all requests.
    part: f64,
    /// Whether the answer is streamed.
    pub streamed: bool,
    /// Time for an answer, in seconds.
    pub latency: f64,
}

impl User {
    fn rate(self) -> f64 {
        match self {
            Self::Wadi => 6.0,
            Self::Vermeulen => 10.0,
        }
    }

    fn forms(self) -> &'static [Form] {
        const fn form(part: f64, streamed: bool, latency: f64) -> Form {
            Form {
                part,
                streamed,
                latency,
            }
        }
        match self {
            Self::Wadi => &const { [form(0.6, true, 2.0), form(0.4, false, 8.0)] },
            Self::Vermeulen => {
                &const {
                    [
                        form(0.3, true, 2.0),
                        form(0.4, false, 8.0),
                        form(0.3, false, 1.0),
                    ]
                }
            }
        }
    }
}

/// What a policy does with a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Decision {
    /// The version in service answers.
    Old,
    /// The new version answers.
    New,
    /// The new version answers, and the old one if the rating is below this.
    Held(f64),
}

/// A way to roll out.
pub trait Policy {
    /// What to do with a request at an instance.
    fn decide(&mut self, at: f64, instance: usize, form: &Form, position: f64) -> Decision;
    /// A rating arrives at an instance.
    fn rate(&mut self, at: f64, instance: usize, score: f64);
    /// Does what is due every [`TICK`].
    fn tick(&mut self, at: f64);
    /// When the first instance braked.
    fn braked(&self) -> Option<f64>;
}

/// A run of one user's requests.
#[derive(Clone, Copy, Debug)]
pub struct Run {
    user: User,
    before: f64,
    after: f64,
    turns: bool,
    from_start: bool,
    outage: bool,
}

/// What came of a run.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Bad answers of the new version passed on after it turned bad.
    pub passed: u32,
    /// Requests that the new version got.
    pub served: u32,
    /// When it was braked, in seconds.
    pub braked: Option<f64>,
    /// When it turned bad.
    turned: f64,
    /// Bad answers passed on, by time since the turning, in seconds.
    pub times: Vec<f64>,
}

impl Outcome {
    /// Time from the turning to the brake, in seconds.
    pub fn delay(&self) -> Option<f64> {
        self.braked.map(|at| at - self.turned)
    }
}

/// Something that happens at a time.
#[derive(Clone, Copy, Debug)]
enum Event {
    Request,
    Tick,
    /// The answer of the new version is complete.
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

struct Due(f64, u64, Event);

impl PartialEq for Due {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other).is_eq()
    }
}

impl Eq for Due {}

impl PartialOrd for Due {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Due {
    fn cmp(&self, other: &Self) -> Ordering {
        self.0.total_cmp(&other.0).then(self.1.cmp(&other.1))
    }
}

/// Events by time.
#[derive(Default)]
struct Queue {
    heap: BinaryHeap<Reverse<Due>>,
    count: u64,
}

impl Queue {
    fn push(&mut self, at: f64, event: Event) {
        self.count += 1;
        self.heap.push(Reverse(Due(at, self.count, event)));
    }

    fn pop(&mut self) -> Option<(f64, Event)> {
        self.heap
            .pop()
            .map(|Reverse(Due(at, _, event))| (at, event))
    }
}

impl Run {
    /// A run in which the fraction of bad answers doesn't change.
    pub fn steady(user: User, bad: f64) -> Self {
        Self {
            user,
            before: bad,
            after: bad,
            turns: false,
            from_start: false,
            outage: false,
        }
    }

    /// A run in which the version turns bad.
    pub fn turning(user: User, before: f64, after: f64) -> Self {
        Self {
            user,
            before,
            after,
            turns: true,
            from_start: false,
            outage: false,
        }
    }

    /// The same run, taken as bad from its beginning.
    pub fn bad_from_start(self) -> Self {
        Self {
            turns: true,
            from_start: true,
            ..self
        }
    }

    /// The same run with an outage of the rating service from a minute before the turning to five
    /// minutes after it.
    pub fn with_outage(self) -> Self {
        Self {
            outage: true,
            ..self
        }
    }

    /// Requests in a steady run, on average.
    pub fn requests(&self) -> f64 {
        STEADY * self.user.rate()
    }

    /// Plays the run with a seed.
    pub fn play<P: Policy>(&self, seed: u64, policy: P) -> Outcome {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let turned = if self.from_start {
            0.0
        } else {
            rng.random_range(TURNING.0..TURNING.1)
        };
        let end = if self.turns {
            turned + AFTERMATH
        } else {
            STEADY
        };
        let mut player = Player {
            run: self,
            policy,
            rng,
            queue: Queue::default(),
            turned: if self.turns { turned } else { f64::INFINITY },
            outcome: Outcome {
                passed: 0,
                served: 0,
                braked: None,
                turned,
                times: Vec::new(),
            },
        };
        player.queue.push(0.0, Event::Request);
        player.queue.push(0.0, Event::Tick);
        while let Some((at, event)) = player.queue.pop() {
            if at > end {
                break;
            }
            player.handle(at, event);
        }
        player.outcome.braked = player.policy.braked();
        player.outcome
    }
}

struct Player<'a, P> {
    run: &'a Run,
    policy: P,
    rng: ChaCha8Rng,
    queue: Queue,
    turned: f64,
    outcome: Outcome,
}

impl<P: Policy> Player<'_, P> {
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
                self.outcome.times.push(at - self.turned);
            }
        }
    }

    fn request(&mut self, at: f64) {
        let instance = self.rng.random_range(0..INSTANCES);
        let position = self.rng.random::<f64>();
        let mut kind = self.rng.random::<f64>();
        let forms = self.run.user.forms();
        let mut form = &forms[0];
        for candidate in forms {
            form = candidate;
            kind -= candidate.part;
            if kind < 0.0 {
                break;
            }
        }
        let held = match self.policy.decide(at, instance, form, position) {
            Decision::Old => return,
            Decision::New => None,
            Decision::Held(threshold) => Some(threshold),
        };
        self.outcome.served += 1;
        let bad = if at < self.turned {
            self.run.before
        } else {
            self.run.after
        };
        let quality = common::quality(&mut self.rng, bad);
        self.queue.push(
            at + form.latency,
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
        let known = held.filter(|_| rated && delay <= HOLD);
        // An answer that is held and poor is replaced by one of the old version.
        if known.is_some_and(|threshold| score < threshold) {
            return;
        }
        let wait = if known.is_some() { delay } else { 0.0 };
        if quality < BAD && at >= self.turned {
            self.queue.push(at + wait, Event::Pass);
        }
    }

    fn is_out(&self, at: f64) -> bool {
        let since = at - self.turned;
        self.run.outage && (OUTAGE.0..OUTAGE.1).contains(&since)
    }
}
