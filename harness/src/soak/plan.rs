//! Which faults are caused, and when: a pure function of the seed.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::fmt;
use std::time::Duration;

/// Engines of the demo configuration.
pub const ENGINES: [&str; 4] = ["advisory-1", "advisory-2", "advice-1", "advice-2"];
/// Plain services of the demo configuration.
pub const PLAIN: [&str; 3] = ["notices-1", "notices-2", "deposits-1"];
/// Edits that there are.
pub const EDITS: usize = 6;

/// Offset of the seed, so that plans and loads are drawn from different streams.
const STREAM: u64 = 0x5eed_fa17;
/// When the first fault may begin, in milliseconds.
const FIRST_MS: u64 = 1000;
/// Time between the beginnings of faults, in milliseconds.
const GAP_MS: std::ops::Range<u64> = 700..2200;
/// How long a fault lasts, in milliseconds.
const LENGTH_MS: std::ops::Range<u64> = 500..6000;
/// How long an edit stays: longer than instances may take to follow, in milliseconds.
const EDIT_MS: std::ops::Range<u64> = 7000..10_000;
/// Probability that two faults begin together.
const PAIR: f64 = 0.4;

/// Draws of a kind; those beyond the listed ones are edits, which need the longest to be seen.
const KINDS: usize = 21;

/// A fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Fault {
    /// SIGKILL of the instance of a slot, and a replacement.
    Kill(usize),
    /// SIGSTOP of the instance of a slot, then SIGCONT.
    Stop(usize),
    /// A replacement, and SIGTERM of the instance of a slot.
    Terminate(usize),
    /// The log refuses everything.
    LogDown,
    /// The log is slow.
    LogSlow,
    /// The log loses replies of appends.
    LogLosesReplies,
    /// The log refuses appends.
    LogRefuses,
    /// The instance list is down.
    ListDown,
    /// The instance list lags.
    ListLags,
    /// An engine gives answers of other requests.
    WrongId(usize),
    /// An engine ends answers early.
    EndEarly(usize),
    /// An engine refuses.
    Refuse(usize),
    /// An engine turns cold.
    Cold(usize),
    /// A plain service runs calls and loses the replies.
    LosesReplies(usize),
    /// The rating service is down.
    RatingDown,
    /// Two operators race with an edit and another one.
    Edit(usize),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Debug::fmt(self, f)
    }
}

impl Fault {
    /// Whether instances can't follow the log during the fault. A log that is slow, or fails
    /// appends only, can still be read in time.
    pub fn cuts_log(self) -> bool {
        self == Self::LogDown
    }

    fn random(rng: &mut ChaCha8Rng, slots: usize) -> Self {
        let slot = rng.random_range(0..slots);
        let engine = rng.random_range(0..ENGINES.len());
        match rng.random_range(0..KINDS) {
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
            15 => Self::LosesReplies(rng.random_range(0..PLAIN.len())),
            16 => Self::RatingDown,
            _ => Self::Edit(rng.random_range(0..EDITS)),
        }
    }
}

/// A fault with its time, counted from the beginning of the load.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Step {
    /// When it begins.
    pub begin: Duration,
    /// When it is lifted.
    pub end: Duration,
    /// The fault.
    pub fault: Fault,
}

/// A fault as it was caused, with times in milliseconds since the Unix epoch.
#[derive(Clone, Debug)]
pub struct Caused {
    /// When it was caused.
    pub begin: u64,
    /// When it was lifted.
    pub end: u64,
    /// The fault.
    pub fault: Fault,
    /// The instance that was signalled.
    pub instance: Option<String>,
}

/// The faults of a seed, in the order of their beginnings.
pub fn plan(seed: u64, slots: usize, time: Duration) -> Vec<Step> {
    let mut rng = ChaCha8Rng::seed_from_u64(seed ^ STREAM);
    let mut steps = Vec::new();
    let mut at = FIRST_MS;
    while Duration::from_millis(at) < time {
        let count = 1 + usize::from(rng.random_bool(PAIR));
        for _ in 0..count {
            let fault = Fault::random(&mut rng, slots);
            let length = match fault {
                Fault::Edit(_) => rng.random_range(EDIT_MS),
                _ => rng.random_range(LENGTH_MS),
            };
            steps.push(Step {
                begin: Duration::from_millis(at),
                end: Duration::from_millis(at + length),
                fault,
            });
        }
        at += rng.random_range(GAP_MS);
    }
    steps
}
