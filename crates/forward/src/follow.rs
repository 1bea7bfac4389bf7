//! How one instance follows a topic of the store: how old its state is, when it has to read the
//! topic, and whether the store has just been unavailable.
//!
//! A few instances, the readers, read the store all the time. Their peers learn the records and the
//! age of the read behind them from beacons, and read the store themselves only when those are
//! missing. All times are in boot time, which counts suspensions of the machine.

use entity::{Era, Moment, Span};

/// Time without a successful read of any instance from which the store counts as having had an
/// outage, if a read of this instance failed as well.
const OUTAGE_GAP: Span = Span::from_millis(2600);
/// Time after an outage of the store during which entries may be missing only because of it.
const RECOVERY_PERIOD: Span = Span::from_millis(1500);

/// Delay after a failed read of an instance that is not a reader, while the readers keep retrying for
/// all.
const NON_READER_RETRY_DELAY: Span = Span::from_millis(1200);

/// Delay after the first failed read of such an instance if its state is too old already.
const OVERDUE_RETRY_DELAY: Span = Span::from_millis(50);

/// Share of the bound at which a state is read anew that no peer confirms.
const MAX_AGE_SHARE: f64 = 0.65;
/// Longest random delay added to that age, so that not all instances read at once, and the largest
/// share of the bound that it takes.
const MAX_JITTER: (Span, f64) = (Span::from_millis(200), 0.1);
/// Time for which peers with later reads may report another digest of the operators' topic. A
/// change reaches every instance within two rounds of datagrams.
const OPERATOR_DISAGREEMENT_LIMIT: Span = Span::from_millis(900);
/// The same time for the upstreams' topic, and the largest share of the bound that it takes.
const UPSTREAMS_DISAGREEMENT_LIMIT: (Span, f64) = (Span::from_millis(450), 0.225);
/// Interval between a reader's reads of the upstreams' topic, which always has new records, and the
/// largest share of the bound that it takes.
const UPSTREAMS_INTERVAL: (Span, f64) = (Span::from_millis(600), 0.3);
/// Longest time from the check of the upstreams' state to the arrival of a request, and the largest
/// share of the bound that it takes: a connection is opened, and the processor is shared.
const ARRIVAL_ALLOWANCE: (Span, f64) = (Span::from_millis(400), 0.2);

/// Intervals at which a topic is read.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Timing {
    /// Time between the starts of two reads of a reader.
    pub reader_interval: Span,
    /// Age of the state at which an instance that is not a reader reads the topic itself.
    pub max_age: Span,
    /// Longest random delay that is added to that age.
    pub max_jitter: Span,
    /// Time for which peers with later reads may report another digest before the topic is read.
    pub disagreement_limit: Span,
    /// Oldest state by which a request may be dispatched while the store answers.
    pub max_dispatch_age: Span,
}

impl Timing {
    /// Returns the timing of the operators' topic, if a new configuration has to be in force within
    /// `bound`. A reader's reads wait for new records instead of following at an interval.
    pub fn for_operators(bound: Span) -> Self {
        Self {
            reader_interval: Span::ZERO,
            max_age: bound.scaled(MAX_AGE_SHARE),
            max_jitter: at_most(MAX_JITTER, bound),
            disagreement_limit: OPERATOR_DISAGREEMENT_LIMIT,
            max_dispatch_age: bound,
        }
    }

    /// Returns the timing of the upstreams' topic, if an upstream that leaves may receive requests
    /// for at most `bound`.
    pub fn for_upstreams(bound: Span) -> Self {
        let allowance = at_most(ARRIVAL_ALLOWANCE, bound);
        Self {
            reader_interval: at_most(UPSTREAMS_INTERVAL, bound),
            max_age: bound.scaled(MAX_AGE_SHARE),
            max_jitter: at_most(MAX_JITTER, bound),
            disagreement_limit: at_most(UPSTREAMS_DISAGREEMENT_LIMIT, bound),
            max_dispatch_age: Span::from_micros(bound.as_micros() - allowance.as_micros()),
        }
    }
}

/// Limits a span to a share of the bound.
fn at_most((span, share): (Span, f64), bound: Span) -> Span {
    span.min(bound.scaled(share))
}

/// What one instance knows of one topic.
#[derive(Clone, Debug, Default)]
pub struct Follow {
    timing: Timing,
    digest: u64,
    /// Start of the last read that confirmed the digest.
    confirmed: Option<Moment>,
    /// Time since which peers with later reads have reported another digest.
    differs_since: Option<Moment>,
    /// Start of the last read that the store is known to have answered, of this instance or of a
    /// peer, whatever its digest.
    answered: Option<Moment>,
    /// Whether the last read of this instance failed, or has not been answered for long.
    failing: bool,
    /// Time at which this instance learned that an outage was over, or that the store had come back
    /// from a copy.
    recovered: Option<Moment>,
    /// Newest era of the store that any instance is known to have read in.
    era: Option<Era>,
}

impl Follow {
    /// Creates the state before the first read.
    pub fn new(timing: Timing) -> Self {
        Self {
            timing,
            ..Self::default()
        }
    }

    /// Returns the digest of the topic's contents.
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Sets the digest of the topic's contents.
    pub fn set_digest(&mut self, digest: u64) {
        self.digest = digest;
    }

    /// Records that a read which was sent at `sent` confirmed the digest.
    pub fn confirm(&mut self, sent: Moment) {
        self.confirmed = self.confirmed.max(Some(sent));
    }

    /// Returns the time since the last confirmed read was sent; `None` before the first.
    pub fn age(&self, now: Moment) -> Option<Span> {
        self.confirmed.map(|confirmed| now.since(confirmed))
    }

    /// Returns whether a request may be dispatched by this state. Without an answer of the store, an
    /// old state is the best there is.
    pub fn allows_dispatch(&self, now: Moment) -> bool {
        let age = self.age(now);
        self.failing || age.is_some_and(|age| age <= self.timing.max_dispatch_age)
    }

    /// Records a peer's digest, which a read confirmed that was not sent before `read`. An equal
    /// digest confirms that of this instance. Returns whether the topic has to be read now, because
    /// peers with later reads keep reporting another digest.
    pub fn record_sight(&mut self, digest: u64, read: Moment, now: Moment) -> bool {
        self.record_answer(read, now);
        if digest == self.digest {
            self.differs_since = None;
            self.confirm(read);
            return false;
        }
        if self.confirmed.is_none_or(|confirmed| read <= confirmed) {
            return false;
        }
        let since = *self.differs_since.get_or_insert(now);
        let overdue = now.since(since) > self.timing.disagreement_limit;
        if overdue {
            self.differs_since = Some(now);
        }
        overdue
    }

    /// Records a successful read that was sent at `sent` and answered now. Returns whether entries
    /// may be missing from it only because the store had an outage.
    pub fn record_read(&mut self, sent: Moment, now: Moment) -> bool {
        self.record_answer(sent, now);
        self.failing = false;
        self.recovered
            .is_some_and(|at| now.since(at) < RECOVERY_PERIOD)
    }

    /// Records that this instance or a peer read in an era of the store. Returns whether the store
    /// has come back from a copy since the newest era that was known here.
    pub fn record_era(&mut self, era: Era, now: Moment) -> bool {
        let is_newer = self.era.is_some_and(|known| era > known);
        if is_newer {
            self.recovered = Some(now);
        }
        self.era = self.era.max(Some(era));
        is_newer
    }

    /// Returns the newest era of the store that any instance is known to have read in.
    pub fn era(&self) -> Era {
        self.era.unwrap_or_default()
    }

    /// Records a read that failed, or that the store has not answered for long.
    pub fn record_failure(&mut self) {
        self.failing = true;
    }

    /// Records that the store answered a read which was sent at `sent`. The time since this
    /// instance's own last read tells nothing, since peers read in its place.
    fn record_answer(&mut self, sent: Moment, now: Moment) {
        let gap = self.answered.map(|last| sent.since(last));
        if self.failing && gap.is_some_and(|gap| gap > OUTAGE_GAP) {
            self.recovered = Some(now);
        }
        self.answered = self.answered.max(Some(sent));
    }

    /// Returns the delay after the first failed read, or a later one, of an instance that is not a
    /// reader. Where no peer confirms the state either, the first failure leaves hardly any of the
    /// bound, and is repeated soon.
    pub fn retry_delay(&self, first: bool, now: Moment) -> Span {
        let age = self.age(now);
        if first && age.is_none_or(|age| age >= self.timing.max_age) {
            return OVERDUE_RETRY_DELAY;
        }
        NON_READER_RETRY_DELAY
    }

    /// Returns the time until the topic has to be read, after a read that was sent at `sent`.
    /// `jitter`, from 0 to 1, spreads the reads of instances that are not readers.
    pub fn read_delay(&self, reader: bool, sent: Moment, jitter: f64, now: Moment) -> Span {
        if reader {
            return (sent + self.timing.reader_interval).since(now);
        }
        let due = self.timing.max_age + self.timing.max_jitter.scaled(jitter);
        let mut age = self.age(now).unwrap_or(due);
        // The records of a successful read confirm the state once they are applied.
        if !self.failing {
            age = age.min(now.since(sent));
        }
        Span::from_micros(due.as_micros().saturating_sub(age.as_micros()))
    }
}
