//! The plan of the faults to inject, as a pure function of the seed.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::fmt;
use std::time::Duration;

/// Engines of the demo configuration that can be made faulty.
pub const ENGINES: [&str; 4] = ["advisory-1", "advisory-2", "advice-1", "advice-2"];
/// Plain services of the demo configuration that can be made faulty.
pub const PLAIN_SERVICES: [&str; 3] = ["notices-1", "notices-2", "deposits-1"];
/// Number of edits of the configuration text; see `edit::EDITS`.
pub const EDIT_COUNT: usize = 6;

/// Combined with the seed, so that plans and loads are drawn from different random streams.
const SEED_MASK: u64 = 0x5eed_fa17;
/// Time of the first fault, in milliseconds from the beginning of the load.
const FIRST_FAULT_MS: u64 = 1000;
/// Time between the beginnings of consecutive faults or pairs, in milliseconds.
const FAULT_INTERVAL_MS: std::ops::Range<u64> = 700..2200;
/// Duration of a fault other than an edit, in milliseconds.
const FAULT_DURATION_MS: std::ops::Range<u64> = 500..6000;
/// Duration of an edit, in milliseconds: longer than instances may take to adopt it.
const EDIT_DURATION_MS: std::ops::Range<u64> = 7000..10_000;
/// Probability that two faults begin at the same time.
const PAIR_PROBABILITY: f64 = 0.4;

/// Number of equally likely draws for the kind of a fault. Draws without a kind of their own are
/// edits, which take the longest to have an effect.
const DRAW_COUNT: usize = 21;

/// A fault that a run can inject.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// SIGKILL to the instance of a slot, which is then replaced.
    Kill(usize),
    /// SIGSTOP to the instance of a slot, and SIGCONT at the end of the fault.
    Stop(usize),
    /// Replacement of the instance of a slot, which then gets SIGTERM.
    Terminate(usize),
    /// The log refuses every request.
    LogDown,
    /// The log delays its answers.
    LogSlow,
    /// The log loses some replies to appends.
    LogLosesReplies,
    /// The log refuses some appends.
    LogRefuses,
    /// The instance list refuses every request.
    ListDown,
    /// The instance list answers with outdated entries.
    ListLags,
    /// An engine gives some answers the id of another request.
    WrongId(usize),
    /// An engine truncates some answers.
    EndEarly(usize),
    /// An engine refuses some requests.
    Refuse(usize),
    /// An engine goes into cold start.
    Cold(usize),
    /// A plain service runs calls and loses some of the replies.
    LosesReplies(usize),
    /// The rating service refuses every request.
    RatingDown,
    /// Two operators concurrently publish this edit and another one.
    Edit(usize),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(self, f)
    }
}

impl Fault {
    /// Returns whether instances can't follow the log during the fault. A log that is slow, or
    /// fails only appends, can still be read in time.
    pub fn blocks_log_reads(self) -> bool {
        self == Self::LogDown
    }

    fn random(rng: &mut ChaCha8Rng, slots: usize) -> Self {
        let slot = rng.random_range(0..slots);
        let engine = rng.random_range(0..ENGINES.len());
        match rng.random_range(0..DRAW_COUNT) {
            0 => Self::Kill(slot),
            1 | 2 => Self::Stop(slot),
            3 | 4 => Self::Terminate(slot),
            5 => Self::LogDown,
            6 => Self::LogSlow,
            7 => Self::LogLosesReplies,
            8 => Self::LogRefuses,
            9 => Self::ListDown,
            10 => Self::ListLags,
            11 => Self::WrongId(engine),
            12 => Self::EndEarly(engine),
            13 => Self::Refuse(engine),
            14 => Self::Cold(engine),
            15 => Self::LosesReplies(rng.random_range(0..PLAIN_SERVICES.len())),
            16 => Self::RatingDown,
            _ => Self::Edit(rng.random_range(0..EDIT_COUNT)),
        }
    }
}

/// A planned fault, with its times relative to the beginning of the load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// Time at which the fault begins.
    pub begin: Duration,
    /// Time at which the fault ends.
    pub end: Duration,
    /// Kind of the fault.
    pub fault: Fault,
}

/// A fault that was injected, with its times in milliseconds since the Unix epoch.
#[derive(Clone, Debug)]
pub struct InjectedFault {
    /// Time at which the fault began.
    pub begin: u64,
    /// Time at which the fault ended; `u64::MAX` while it lasts.
    pub end: u64,
    /// Kind of the fault.
    pub fault: Fault,
    /// Name of the instance that was signalled, for faults of instances.
    pub instance: Option<String>,
}

/// Returns the faults of a seed for a load of the given duration on `slots` instances, in the order
/// of their beginnings.
pub fn plan(seed: u64, slots: usize, time: Duration) -> Vec<Step> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ SEED_MASK);
    let mut steps = Vec::new();
    let mut at = FIRST_FAULT_MS;
    while Duration::from_millis(at) < time {
        let count = 1 + usize::from(rng.random_bool(PAIR_PROBABILITY));
        for _ in 0..count {
            let fault = Fault::random(&mut rng, slots);
            let length = match fault {
                Fault::Edit(_) => rng.random_range(EDIT_DURATION_MS),
                _ => rng.random_range(FAULT_DURATION_MS),
            };
            steps.push(Step {
                begin: Duration::from_millis(at),
                end: Duration::from_millis(at + length),
                fault,
            });
        }
        at += rng.random_range(FAULT_INTERVAL_MS);
    }
    steps
}
