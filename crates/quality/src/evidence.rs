//! Evidence against a roll-out: a sequential test that instances can add up.
//!
//! The null hypothesis is that the mean rating of the new version, given all earlier ratings, is at
//! least the service's target `q`. For a stake `f` below 1, each rating `x` multiplies a wealth by
//! `1 + f (q - x) / (1 - q)`, which is never negative and has a mean of at most 1 under the null, so
//! the wealth is a supermartingale (testing by betting: Waudby-Smith and Ramdas, "Estimating means
//! of bounded random variables by betting", JRSS B 2024). With fixed stakes the logarithm of a
//! wealth is a sum over ratings, so that the sums of several instances simply add up.
//!
//! A version may turn bad long after a good start. The test is therefore a mixture, with fixed
//! weights that sum to 1, over stakes and over the window in which the betting starts (the mixture
//! over starts is that of e-detectors: Shin, Ramdas and Rinaldo, 2024, with weights that sum to 1,
//! which bounds the rate of false alarms over any horizon). By Ville's inequality the mixture
//! reaches `1 / a` with a probability of at most `a` under the null, at whatever moments it is
//! looked at, and for any assignment of ratings to windows that does not depend on their scores.

use crate::posterior::Posterior;
use entity::unit::Share;
use entity::{Moment, Span};
use serde::{Deserialize, Serialize};

/// Length of a window in which an instance sums up ratings.
pub const WINDOW: Span = Span::from_secs(4);

/// Windows that stay open for late sums; older ones are settled.
pub const OPEN_WINDOWS: u64 = 128;

/// Number of stakes.
pub const STAKES: usize = 5;

/// Fractions of the wealth that may be lost on one rating.
const STAKE: [f64; STAKES] = [0.05, 0.15, 0.35, 0.6, 0.9];

/// Least distance between the target and the best rating that the test assumes.
const MIN_HEADROOM: f64 = 0.02;

/// The window that a moment is in.
pub fn window(at: Moment) -> u64 {
    at.0 / WINDOW.as_micros()
}

/// Sums over some ratings; sums of disjoint sets of ratings add up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Tally {
    /// Logarithms of the wealth for each stake.
    pub wealth: [f64; STAKES],
    /// Number of ratings.
    pub ratings: u32,
    /// Sum of the scores.
    pub scores: f64,
    /// Sum of the squares of the scores.
    pub squares: f64,
}

impl Tally {
    /// Adds a rating from 0 to 1 with a weight from 0 to 1, against a target from 0 to 1.
    pub fn add(&mut self, target: f64, score: f64, weight: f64) {
        let headroom = (1.0 - target).max(MIN_HEADROOM);
        let surplus = (weight * (target - score) / headroom).max(-1.0);
        for (wealth, stake) in self.wealth.iter_mut().zip(STAKE) {
            *wealth += (stake * surplus).ln_1p();
        }
        self.ratings += 1;
        self.scores += score;
        self.squares += score * score;
    }

    /// Adds the sums of other ratings.
    pub fn merge(&mut self, other: &Self) {
        for (wealth, more) in self.wealth.iter_mut().zip(other.wealth) {
            *wealth += more;
        }
        self.ratings += other.ratings;
        self.scores += other.scores;
        self.squares += other.squares;
    }

    /// Takes away the sums of some of the ratings.
    fn remove(&mut self, other: &Self) {
        for (wealth, less) in self.wealth.iter_mut().zip(other.wealth) {
            *wealth -= less;
        }
        self.ratings -= other.ratings;
        self.scores -= other.scores;
        self.squares -= other.squares;
    }

    /// Whether every number is finite and within what so many ratings can give.
    pub fn is_sound(&self) -> bool {
        let ratings = f64::from(self.ratings);
        self.wealth.iter().all(|wealth| wealth.is_finite())
            && (0.0..=ratings + 1e-6).contains(&self.scores)
            && (0.0..=self.scores + 1e-6).contains(&self.squares)
    }
}

/// The sums of one instance for one window.
#[derive(Clone, Debug, PartialEq)]
struct Part {
    window: u64,
    source: Box<str>,
    tally: Tally,
}

/// All evidence on one roll-out that one instance has seen.
#[derive(Clone, Debug)]
pub struct Evidence {
    target: f64,
    /// The first window; earlier ratings count as if they were in it.
    origin: Option<u64>,
    /// Sums by window and source, sorted; the open windows only.
    parts: Vec<Part>,
    /// What the settled windows add up to.
    settled: Fold,
    /// What all windows before the newest add up to.
    base: Fold,
    /// What all windows add up to.
    whole: Fold,
    /// Sums over all ratings, settled or not.
    all: Tally,
    /// When the latest rating or sum arrived.
    at: Moment,
}

/// The evidence at one moment, as a verdict records it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Finding {
    /// Number of ratings.
    pub ratings: u32,
    /// Their mean, as a share of the best.
    pub mean: Share,
    /// Natural logarithm of the test's value, in whole thousandths.
    pub log_value: f64,
    /// Natural logarithm of the value at which the roll-out is braked, in whole thousandths.
    pub log_limit: f64,
}

impl Finding {
    /// What the evidence says, held against the logarithm of the value at which to brake.
    ///
    /// Logarithms are rounded so that they survive being written and read unchanged: instances
    /// compare digests of verdicts.
    pub fn of(evidence: &Evidence, log_limit: f64) -> Self {
        let all = evidence.all();
        let mean = all.scores / f64::from(all.ratings.max(1));
        Self {
            ratings: all.ratings,
            mean: Share::from_fraction(mean),
            log_value: thousandths(evidence.log_value()),
            log_limit: thousandths(log_limit),
        }
    }
}

fn thousandths(value: f64) -> f64 {
    (value * 1e3).round() / 1e3
}

impl Evidence {
    /// No evidence, against a target from 0 to 1.
    pub fn new(target: f64) -> Self {
        assert!((0.0..=1.0).contains(&target), "a target is from 0 to 1");
        Self {
            target,
            origin: None,
            parts: Vec::new(),
            settled: Fold::START,
            base: Fold::START,
            whole: Fold::START,
            all: Tally::default(),
            at: Moment::default(),
        }
    }

    /// The target that ratings are held against.
    pub fn target(&self) -> f64 {
        self.target
    }

    /// Sums over all ratings.
    pub fn all(&self) -> &Tally {
        &self.all
    }

    /// When the latest rating or sum arrived.
    pub fn latest(&self) -> Moment {
        self.at
    }

    /// Adds a rating that a source saw.
    pub fn add(&mut self, source: &str, score: f64, weight: f64, at: Moment) {
        let Some(index) = self.part(source, window(at)) else {
            return;
        };
        let target = self.target;
        self.parts[index].tally.add(target, score, weight);
        let mut one = Tally::default();
        one.add(target, score, weight);
        self.all.merge(&one);
        self.at = self.at.max(at);
        self.refold(index);
    }

    /// Takes over a source's sums for a window, unless it has later ones; returns whether it did.
    ///
    /// Sums of one source and window only grow, so taking the one with most ratings makes the
    /// operation idempotent and independent of the order of arrival.
    pub fn merge(&mut self, source: &str, window: u64, tally: &Tally, at: Moment) -> bool {
        if !tally.is_sound() || tally.ratings == 0 {
            return false;
        }
        let Some(index) = self.part(source, window) else {
            return false;
        };
        let part = &mut self.parts[index];
        if part.tally.ratings >= tally.ratings {
            return false;
        }
        self.all.remove(&part.tally);
        self.all.merge(tally);
        part.tally = *tally;
        self.at = self.at.max(at);
        self.refold(index);
        true
    }

    /// The sums of a source, by window, of the last few windows.
    pub fn sums<'a>(&'a self, source: &'a str) -> impl Iterator<Item = (u64, &'a Tally)> {
        self.parts
            .iter()
            .filter(move |part| &*part.source == source)
            .map(|part| (part.window, &part.tally))
    }

    /// Natural logarithm of the test's value; 0 without ratings.
    pub fn log_value(&self) -> f64 {
        let stakes = (STAKES as f64).ln();
        // Starts that are still to come keep their weight.
        let mut value = (1.0 - started(self.whole.windows)).ln();
        for wealth in self.whole.wealth {
            value = log_sum(value, wealth - stakes);
        }
        value
    }

    /// Natural logarithm of the largest wealth over all stakes and starts; 0 without ratings.
    ///
    /// This is the CUSUM statistic (Page, 1954). It reacts sooner than the test's value, and has no
    /// bound on its false alarms over a roll-out: only what can be taken back may depend on it.
    pub fn suspicion(&self) -> f64 {
        self.whole.cusum.iter().copied().fold(0.0, f64::max)
    }

    /// The posterior of the mean over all ratings.
    pub fn posterior(&self) -> Posterior {
        self.posterior_of(&self.all)
    }

    /// The posterior of the mean over the ratings of the open windows.
    pub fn recent(&self) -> Posterior {
        let mut tally = Tally::default();
        for part in &self.parts {
            tally.merge(&part.tally);
        }
        self.posterior_of(&tally)
    }

    fn posterior_of(&self, tally: &Tally) -> Posterior {
        let ratings = f64::from(tally.ratings);
        Posterior::of(ratings, tally.scores, tally.squares, self.at)
    }

    /// Index of the sums of a source and window, which are made if need be; none if the window is
    /// settled.
    fn part(&mut self, source: &str, window: u64) -> Option<usize> {
        let origin = *self.origin.get_or_insert(window);
        let window = window.max(origin);
        if window < origin + self.settled.windows {
            return None;
        }
        self.settle(origin, window);
        let key = (window, source);
        let found = self
            .parts
            .binary_search_by(|part| (part.window, &*part.source).cmp(&key));
        Some(found.unwrap_or_else(|index| {
            let part = Part {
                window,
                source: source.into(),
                tally: Tally::default(),
            };
            self.parts.insert(index, part);
            index
        }))
    }

    /// Settles windows that are too old once there are sums for `newest`.
    fn settle(&mut self, origin: u64, newest: u64) {
        let open = newest.saturating_sub(OPEN_WINDOWS).max(origin);
        let count = self.parts.partition_point(|part| part.window < open);
        self.settled.extend(&self.parts[..count], origin);
        self.settled.start(open - origin);
        self.parts.drain(..count);
    }

    /// Works out the wealth anew after the sums at an index changed.
    fn refold(&mut self, index: usize) {
        let origin = self.origin.expect("there are sums");
        let newest = self.parts.last().expect("there are sums").window;
        let first = self.parts.partition_point(|part| part.window < newest);
        // Only a change before the newest window, or a new one, touches the base.
        if index < first || self.base.newest != newest {
            self.base = self.settled;
            self.base.extend(&self.parts[..first], origin);
            self.base.newest = newest;
        }
        self.whole = self.base;
        self.whole.extend(&self.parts[first..], origin);
    }
}

/// What sums of some windows from the origin on add up to.
#[derive(Clone, Copy, Debug)]
struct Fold {
    /// Logarithms of the wealth of all starts, by stake.
    wealth: [f64; STAKES],
    /// Logarithms of the largest wealth of any start, by stake.
    cusum: [f64; STAKES],
    /// Number of windows.
    windows: u64,
    /// The newest window when a base was worked out.
    newest: u64,
}

impl Fold {
    /// No windows.
    const START: Self = Self {
        wealth: [f64::NEG_INFINITY; STAKES],
        cusum: [0.0; STAKES],
        windows: 0,
        newest: 0,
    };

    /// Adds sorted sums of windows that are not before the last one.
    fn extend(&mut self, parts: &[Part], origin: u64) {
        for part in parts {
            self.start(part.window - origin + 1);
            for (stake, more) in part.tally.wealth.iter().enumerate() {
                self.wealth[stake] += more;
                self.cusum[stake] += more;
            }
        }
    }

    /// Adds the starts of all windows up to a number of them.
    fn start(&mut self, windows: u64) {
        if windows <= self.windows {
            return;
        }
        let weight = (started(windows) - started(self.windows)).ln();
        for stake in 0..STAKES {
            self.wealth[stake] = log_sum(self.wealth[stake], weight);
            self.cusum[stake] = self.cusum[stake].max(0.0);
        }
        self.windows = windows;
    }
}

/// Weight of all starts in the first windows: half on the first one, and the rest with a slowly
/// falling density, so that the weights sum to 1 over any horizon.
fn started(windows: u64) -> f64 {
    if windows == 0 {
        return 0.0;
    }
    1.0 - 0.5 / (1.0 + (windows as f64).ln())
}

/// The logarithm of the sum of two numbers that are given by their logarithms.
fn log_sum(a: f64, b: f64) -> f64 {
    let (low, high) = if a < b { (a, b) } else { (b, a) };
    if low == f64::NEG_INFINITY {
        return high;
    }
    high + (low - high).exp().ln_1p()
}
