//! Evidence against a rollout: a sequential test whose statistics add up over instances.
//!
//! The null hypothesis is that the mean rating of the candidate version, given all earlier ratings,
//! is at least the service's target `q`. For a stake `f` below 1, each rating `x` multiplies a
//! wealth by `1 + f (q - x) / (1 - q)`. This factor is never negative and has a mean of at most 1
//! under the null hypothesis, so the wealth is a supermartingale (testing by betting: Waudby-Smith
//! and Ramdas, "Estimating means of bounded random variables by betting", JRSS B 2024). With fixed
//! stakes the logarithm of the wealth is a sum over ratings, so the sums of several instances can
//! be added.
//!
//! A version may turn bad long after a good start. The test is therefore a mixture over stakes and
//! over the window in which the betting starts, with fixed weights that sum to 1. The mixture over
//! starts is that of e-detectors (Shin, Ramdas and Rinaldo, 2024), but with weights that sum to 1,
//! which bounds the false alarm rate over any horizon. By Ville's inequality the mixture reaches `1
//! / a` with a probability of at most `a` under the null hypothesis, whenever it is evaluated, and
//! for any assignment of ratings to windows that does not depend on their scores.

use crate::posterior::Posterior;
use entity::unit::Share;
use entity::{Moment, Span};
use serde::{Deserialize, Serialize};

/// Length of a window over which an instance sums up ratings.
pub const WINDOW: Span = Span::from_secs(4);

/// Number of windows that accept late tallies; older windows are closed.
pub const OPEN_WINDOWS: u64 = 128;

/// Number of stakes in the mixture.
pub const STAKES: usize = 5;

/// Fractions of the wealth that can be lost on one rating.
const STAKE_FRACTIONS: [f64; STAKES] = [0.05, 0.15, 0.35, 0.6, 0.9];

/// Minimum distance between the target and the best rating that the test assumes, on the scale of
/// ratings from 0 to 1.
const MIN_HEADROOM: f64 = 0.02;

/// Returns the number of the window that contains a point in time.
pub fn window(at: Moment) -> u64 {
    at.0 / WINDOW.as_micros()
}

/// Sums over a set of ratings. Tallies of disjoint sets add up.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Tally {
    /// Logarithm of the wealth for each stake.
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
        for (wealth, stake) in self.wealth.iter_mut().zip(STAKE_FRACTIONS) {
            *wealth += (stake * surplus).ln_1p();
        }
        self.ratings += 1;
        self.scores += score;
        self.squares += score * score;
    }

    /// Adds the tally of a disjoint set of ratings.
    pub fn merge(&mut self, other: &Self) {
        for (wealth, more) in self.wealth.iter_mut().zip(other.wealth) {
            *wealth += more;
        }
        self.ratings += other.ratings;
        self.scores += other.scores;
        self.squares += other.squares;
    }

    /// Subtracts the tally of a subset of the ratings.
    fn remove(&mut self, other: &Self) {
        for (wealth, less) in self.wealth.iter_mut().zip(other.wealth) {
            *wealth -= less;
        }
        self.ratings -= other.ratings;
        self.scores -= other.scores;
        self.squares -= other.squares;
    }

    /// Returns whether every number is finite and possible for the number of ratings.
    pub fn is_valid(&self) -> bool {
        let ratings = f64::from(self.ratings);
        self.wealth.iter().all(|wealth| wealth.is_finite())
            && (0.0..=ratings + 1e-6).contains(&self.scores)
            && (0.0..=self.scores + 1e-6).contains(&self.squares)
    }
}

/// The tally of one instance for one window.
#[derive(Clone, Debug, PartialEq)]
struct WindowTally {
    window: u64,
    source: Box<str>,
    tally: Tally,
}

/// All evidence on one rollout that an instance has.
#[derive(Clone, Debug)]
pub struct Evidence {
    target: f64,
    /// The first window. Earlier ratings count as if they were in it.
    origin: Option<u64>,
    /// Tallies of the open windows, sorted by window and source.
    tallies: Vec<WindowTally>,
    /// Mixture over the closed windows.
    closed: Mixture,
    /// Mixture over all windows before the newest.
    base: Mixture,
    /// Mixture over all windows.
    whole: Mixture,
    /// Tally of all ratings, in closed and open windows.
    all: Tally,
    /// Arrival time of the latest rating or tally.
    at: Moment,
}

/// A summary of the evidence at one time, as a verdict records it.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct Finding {
    /// Number of ratings.
    pub ratings: u32,
    /// Mean rating, as a share of the best rating.
    pub mean: Share,
    /// Natural logarithm of the test value, rounded to thousandths.
    pub log_value: f64,
    /// Natural logarithm of the test value at which the rollout is braked, rounded to thousandths.
    pub log_limit: f64,
}

impl Finding {
    /// Summarises the evidence, together with the logarithm of the value at which to brake.
    ///
    /// The logarithms are rounded so that they are unchanged by encoding and decoding: instances
    /// compare digests of verdicts.
    pub fn new(evidence: &Evidence, log_limit: f64) -> Self {
        let all = evidence.all();
        let mean = all.scores / f64::from(all.ratings.max(1));
        Self {
            ratings: all.ratings,
            mean: Share::from_fraction(mean),
            log_value: round_to_thousandths(evidence.log_value()),
            log_limit: round_to_thousandths(log_limit),
        }
    }
}

fn round_to_thousandths(value: f64) -> f64 {
    (value * 1e3).round() / 1e3
}

impl Evidence {
    /// Returns empty evidence against a target from 0 to 1.
    pub fn new(target: f64) -> Self {
        assert!(
            (0.0..=1.0).contains(&target),
            "target must be between 0 and 1"
        );
        Self {
            target,
            origin: None,
            tallies: Vec::new(),
            closed: Mixture::EMPTY,
            base: Mixture::EMPTY,
            whole: Mixture::EMPTY,
            all: Tally::default(),
            at: Moment::default(),
        }
    }

    /// Returns the target mean rating.
    pub fn target(&self) -> f64 {
        self.target
    }

    /// Returns the tally of all ratings.
    pub fn all(&self) -> &Tally {
        &self.all
    }

    /// Returns the arrival time of the latest rating or tally.
    pub fn latest(&self) -> Moment {
        self.at
    }

    /// Adds a rating that a source received.
    pub fn add(&mut self, source: &str, score: f64, weight: f64, at: Moment) {
        let Some(index) = self.tally_index(source, window(at)) else {
            return;
        };
        let target = self.target;
        self.tallies[index].tally.add(target, score, weight);
        let mut one = Tally::default();
        one.add(target, score, weight);
        self.all.merge(&one);
        self.at = self.at.max(at);
        self.recompute(index);
    }

    /// Replaces a source's tally for a window by one with more ratings. Returns whether it did.
    ///
    /// The tally of a source and window only grows, so keeping the one with the most ratings makes
    /// the operation idempotent and independent of the order of arrival.
    pub fn merge(&mut self, source: &str, window: u64, tally: &Tally, at: Moment) -> bool {
        if !tally.is_valid() || tally.ratings == 0 {
            return false;
        }
        let Some(index) = self.tally_index(source, window) else {
            return false;
        };
        let entry = &mut self.tallies[index];
        if entry.tally.ratings >= tally.ratings {
            return false;
        }
        self.all.remove(&entry.tally);
        self.all.merge(tally);
        entry.tally = *tally;
        self.at = self.at.max(at);
        self.recompute(index);
        true
    }

    /// Returns the tallies of a source for the open windows, each with its window.
    pub fn sums<'a>(&'a self, source: &'a str) -> impl Iterator<Item = (u64, &'a Tally)> {
        self.tallies
            .iter()
            .filter(move |entry| &*entry.source == source)
            .map(|entry| (entry.window, &entry.tally))
    }

    /// Returns the natural logarithm of the test value, which is 0 without ratings.
    pub fn log_value(&self) -> f64 {
        let stakes = (STAKES as f64).ln();
        // The weight of starts that are still to come is kept as it is.
        let mut value = (1.0 - start_weight(self.whole.windows)).ln();
        for wealth in self.whole.wealth {
            value = log_sum(value, wealth - stakes);
        }
        value
    }

    /// Returns the natural logarithm of the largest wealth over all stakes and starts, which is 0
    /// without ratings.
    ///
    /// This is the CUSUM statistic (Page, 1954). It reacts sooner than the test value but does not
    /// bound the false alarm rate over a rollout, so only reversible decisions may depend on it.
    pub fn cusum(&self) -> f64 {
        self.whole.cusum.iter().copied().fold(0.0, f64::max)
    }

    /// Returns the posterior of the mean over all ratings.
    pub fn posterior(&self) -> Posterior {
        self.posterior_of(&self.all)
    }

    /// Returns the posterior of the mean over the ratings of the open windows.
    pub fn recent(&self) -> Posterior {
        let mut tally = Tally::default();
        for entry in &self.tallies {
            tally.merge(&entry.tally);
        }
        self.posterior_of(&tally)
    }

    fn posterior_of(&self, tally: &Tally) -> Posterior {
        let ratings = f64::from(tally.ratings);
        Posterior::from_sums(ratings, tally.scores, tally.squares, self.at)
    }

    /// Returns the index of the tally of a source and window, which is added if missing. Returns
    /// `None` if the window is closed.
    fn tally_index(&mut self, source: &str, window: u64) -> Option<usize> {
        let origin = *self.origin.get_or_insert(window);
        let window = window.max(origin);
        if window < origin + self.closed.windows {
            return None;
        }
        self.close_windows(origin, window);
        let key = (window, source);
        let found = self
            .tallies
            .binary_search_by(|entry| (entry.window, &*entry.source).cmp(&key));
        Some(found.unwrap_or_else(|index| {
            let entry = WindowTally {
                window,
                source: source.into(),
                tally: Tally::default(),
            };
            self.tallies.insert(index, entry);
            index
        }))
    }

    /// Closes the windows that are too old once there is a tally for the window `newest`.
    fn close_windows(&mut self, origin: u64, newest: u64) {
        let open = newest.saturating_sub(OPEN_WINDOWS).max(origin);
        let count = self.tallies.partition_point(|entry| entry.window < open);
        self.closed.extend(&self.tallies[..count], origin);
        self.closed.start(open - origin);
        self.tallies.drain(..count);
    }

    /// Recomputes the mixtures after the tally at an index has changed.
    fn recompute(&mut self, index: usize) {
        let origin = self
            .origin
            .expect("recompute is called after a tally was added");
        let newest = self
            .tallies
            .last()
            .expect("recompute is called after a tally was added")
            .window;
        let first = self.tallies.partition_point(|entry| entry.window < newest);
        // The base changes only if an earlier window changed or a new window began.
        if index < first || self.base.newest != newest {
            self.base = self.closed;
            self.base.extend(&self.tallies[..first], origin);
            self.base.newest = newest;
        }
        self.whole = self.base;
        self.whole.extend(&self.tallies[first..], origin);
    }
}

/// Mixture over starts for the windows from the origin on.
#[derive(Clone, Copy, Debug)]
struct Mixture {
    /// Logarithm of the summed, weighted wealth of all starts, by stake.
    wealth: [f64; STAKES],
    /// Logarithm of the largest wealth of any start, by stake.
    cusum: [f64; STAKES],
    /// Number of windows covered.
    windows: u64,
    /// The newest window at the time when this mixture was computed as a base.
    newest: u64,
}

impl Mixture {
    /// The mixture over no windows.
    const EMPTY: Self = Self {
        wealth: [f64::NEG_INFINITY; STAKES],
        cusum: [0.0; STAKES],
        windows: 0,
        newest: 0,
    };

    /// Adds sorted tallies of windows that are not before the last one covered.
    fn extend(&mut self, tallies: &[WindowTally], origin: u64) {
        for entry in tallies {
            self.start(entry.window - origin + 1);
            for (stake, more) in entry.tally.wealth.iter().enumerate() {
                self.wealth[stake] += more;
                self.cusum[stake] += more;
            }
        }
    }

    /// Adds the starts in further windows, so that `windows` windows are covered.
    fn start(&mut self, windows: u64) {
        if windows <= self.windows {
            return;
        }
        let weight = (start_weight(windows) - start_weight(self.windows)).ln();
        for stake in 0..STAKES {
            self.wealth[stake] = log_sum(self.wealth[stake], weight);
            self.cusum[stake] = self.cusum[stake].max(0.0);
        }
        self.windows = windows;
    }
}

/// Returns the weight of all starts in the first `windows` windows: half on the first one, and the
/// rest with a slowly falling density, so that the weights sum to 1 over any horizon.
fn start_weight(windows: u64) -> f64 {
    if windows == 0 {
        return 0.0;
    }
    1.0 - 0.5 / (1.0 + (windows as f64).ln())
}

/// Returns the logarithm of the sum of two numbers given by their logarithms.
fn log_sum(a: f64, b: f64) -> f64 {
    let (low, high) = if a < b { (a, b) } else { (b, a) };
    if low == f64::NEG_INFINITY {
        return high;
    }
    high + (low - high).exp().ln_1p()
}
