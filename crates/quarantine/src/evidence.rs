//! Evidence against one part.

use crate::part::Part;
use crate::policy::Policy;
use entity::{Moment, Span};

/// Largest number of victims that are kept for one part.
const MAX_VICTIMS: usize = 16;
/// Factor by which each probe that ends an upstream lengthens the hold time.
const HOLD_FACTOR: u32 = 3;
/// Largest number of times that the hold time is lengthened.
const MAX_LENGTHENINGS: u32 = 5;

/// Time after the head of an answer from which it has gone on, so that its prompt doesn't end upstreams early
/// in the answer.
pub const SOUND_TIME: Span = Span::from_secs(2);

/// A hash of one incarnation of an upstream that ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Victim(pub u64);

/// How far an upstream had come with a request when it ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// No head of an answer had arrived.
    Waiting {
        /// Time since the request was sent.
        since_sent: Span,
        /// Whether the answer is a stream, whose upstream may keep many requests waiting.
        is_stream: bool,
    },
    /// The head of the answer had arrived.
    Begun {
        /// Time since the head.
        since_head: Span,
        /// Whether anything of the body had arrived.
        delivered: bool,
    },
    /// The whole answer had arrived, and the upstream ended right after it.
    Whole {
        /// Time since the head.
        since_head: Span,
    },
}

impl Progress {
    /// Returns the time for which the upstream had certainly had the request.
    pub fn elapsed(self) -> Span {
        match self {
            Self::Waiting { since_sent, .. } => since_sent,
            Self::Begun { since_head, .. } | Self::Whole { since_head } => since_head,
        }
    }

    /// Returns whether the end came late in the answer or after it, so that another answer that only goes on
    /// doesn't show its prompt to be sound.
    pub fn is_late(self) -> bool {
        match self {
            Self::Waiting { .. } => false,
            Self::Begun { since_head, .. } => since_head >= SOUND_TIME,
            Self::Whole { .. } => true,
        }
    }
}

/// How much the end of an upstream tells against a request that it had.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Weight(u32);

impl Weight {
    /// Many requests that have nothing to do with the end are as far as that.
    pub const WEAK: Self = Self(1);
    /// Few requests are as far as that at a time.
    pub const STRONG: Self = Self(2);
    /// Sum from which a part is held back.
    pub(crate) const ENOUGH: Self = Self(4);

    /// Returns the weight of an upstream's end at a moment of a run. A plain request is run and answered at
    /// once, so that it has no head before the end; one with a streamed answer may have waited all the while.
    pub fn of(progress: Progress) -> Self {
        match progress {
            Progress::Waiting { is_stream, .. } if is_stream => Self::WEAK,
            Progress::Begun { delivered, .. } if delivered => Self::WEAK,
            Progress::Whole { .. } => Self::WEAK,
            Progress::Waiting { .. } | Progress::Begun { .. } => Self::STRONG,
        }
    }
}

/// The end of an upstream that had a request with the part.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Crash {
    /// The part.
    pub part: Part,
    /// The upstream that ended.
    pub victim: Victim,
    /// How much it tells.
    pub weight: Weight,
    /// Time of the end, on the clock of this instance.
    pub at: Moment,
    /// Time from the head of the answer to the end; from the dispatch where no head had arrived.
    pub since_begun: Span,
    /// Whether it came late in the answer or after it.
    pub is_late: bool,
}

/// A request with a held part that was sent nevertheless, to find out whether it still ends upstreams.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Probe {
    /// The part.
    pub part: Part,
    /// When it was sent, on the clock of this instance.
    pub at: Moment,
}

/// How far an answer came, of which the upstream didn't end.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Extent {
    /// It went on for [`SOUND_TIME`], or to its end.
    Begun,
    /// It came to its end, and the upstream outlived it.
    Outlived,
}

impl Extent {
    /// Returns whether such an answer voids a crash.
    pub(crate) fn refutes(self, crash: &Crash) -> bool {
        self == Self::Outlived || !crash.is_late
    }
}

/// An answer to a request with the part of which the upstream didn't end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Rebuttal {
    /// The part.
    pub part: Part,
    /// When the answer had come that far, on the clock of this instance.
    pub at: Moment,
    /// How far it came.
    pub extent: Extent,
}

/// The crashes of one part.
#[derive(Clone, Debug)]
pub(crate) struct Evidence {
    policy: Policy,
    /// Sorted by victim.
    crashes: Vec<Crash>,
}

impl Evidence {
    /// Creates evidence without crashes.
    pub fn new(policy: Policy) -> Self {
        Self {
            policy,
            crashes: Vec::new(),
        }
    }

    /// Adds a crash. Returns whether it tells something new.
    pub fn add(&mut self, crash: Crash) -> bool {
        let found = self
            .crashes
            .binary_search_by_key(&crash.victim, |known| known.victim);
        match found {
            Ok(index) => {
                let known = &mut self.crashes[index];
                known.at = known.at.min(crash.at);
                let stronger = crash.weight > known.weight;
                known.weight = known.weight.max(crash.weight);
                stronger
            }
            Err(_) if self.crashes.len() == MAX_VICTIMS => self.replace_oldest(crash),
            Err(index) => {
                self.crashes.insert(index, crash);
                true
            }
        }
    }

    /// Replaces the oldest crash by a later one. Returns whether it is later.
    fn replace_oldest(&mut self, crash: Crash) -> bool {
        let oldest = self.crashes.iter_mut().min_by_key(|known| known.at);
        let Some(oldest) = oldest.filter(|oldest| oldest.at < crash.at) else {
            return false;
        };
        *oldest = crash;
        self.crashes.sort_unstable_by_key(|known| known.victim);
        true
    }

    /// Drops the crashes up to a time that an answer voids.
    pub fn clear_until(&mut self, end: Moment, extent: Extent) {
        self.crashes
            .retain(|crash| crash.at > end || !extent.refutes(crash));
    }

    /// Returns the crashes, sorted by victim.
    pub fn crashes(&self) -> &[Crash] {
        &self.crashes
    }

    /// Returns the time of the last crash; none if there is none.
    pub fn last(&self) -> Option<Moment> {
        self.crashes.iter().map(|crash| crash.at).max()
    }

    /// Returns the end of the time for which a part with this evidence, which was probed last at
    /// `probed_at`, is held back everywhere. A probe counts as a crash until it is answered, as the instance
    /// that sent it may have ended before it told of the crash.
    pub fn hold_end(&self, probed_at: Option<Moment>) -> Moment {
        let hold_time = self.policy.hold_time;
        let last = self.last().max(probed_at).unwrap_or_default();
        let count = self.pause_count(hold_time, probed_at);
        let factor = HOLD_FACTOR.pow(count.min(MAX_LENGTHENINGS));
        last + hold_time.scaled(f64::from(factor))
    }

    /// Returns how often neither a crash nor a probe was known for a time that long.
    fn pause_count(&self, pause: Span, probed_at: Option<Moment>) -> u32 {
        let crashes = self.crashes.iter().map(|crash| crash.at);
        let mut times: Vec<Moment> = crashes.chain(probed_at).collect();
        times.sort_unstable();
        let pairs = times.windows(2);
        let pauses = pairs.filter(|pair| pair[1].since(pair[0]) >= pause);
        pauses.count() as u32
    }

    /// Returns whether there is enough evidence to hold a part back.
    pub fn is_enough(&self) -> bool {
        self.weight() >= Weight::ENOUGH
    }

    /// Returns the sum of the weights.
    pub fn weight(&self) -> Weight {
        self.weight_of(|_| true)
    }

    /// Returns the sum of the weights of some crashes. Of those at the same moment, the heaviest
    /// counts.
    pub fn weight_of(&self, counts: impl Fn(&Crash) -> bool) -> Weight {
        let mut crashes: Vec<&Crash> = self.crashes.iter().filter(|crash| counts(crash)).collect();
        crashes.sort_unstable_by_key(|crash| crash.at);
        let (mut sum, mut heaviest, mut since) = (0, 0, None);
        for crash in crashes {
            let is_apart = |since: Moment| {
                let begun = crash.at - crash.since_begun;
                begun > since || crash.at.since(since) >= self.policy.common_cause_time
            };
            if since.is_none_or(is_apart) {
                sum += heaviest;
                (heaviest, since) = (0, Some(crash.at));
            }
            heaviest = heaviest.max(crash.weight.0);
        }
        Weight(sum + heaviest)
    }

    /// Returns whether a victim is one of this part.
    pub fn has_victim(&self, victim: Victim) -> bool {
        let found = self
            .crashes
            .binary_search_by_key(&victim, |known| known.victim);
        found.is_ok()
    }
}
