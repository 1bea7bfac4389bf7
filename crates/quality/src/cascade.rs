//! Cascades: a cheap version answers first, and a poor answer is escalated to a more expensive one.
//!
//! The threshold is computed from the distribution of the cheap version's ratings, as in FrugalGPT
//! (Chen, Zaharia and Zou, 2023): the lowest threshold at which the expected rating of the
//! delivered answers still meets the target.

use crate::choice::Offer;
use crate::histogram::{BINS, Split};
use crate::posterior::BOUND_DEVIATIONS;
use entity::{Moment, Span};

/// Maximum cost of a cascade relative to the cheapest single version that could serve instead.
pub const MAX_COST_FACTOR: f64 = 0.95;

/// Number of ratings of the cheap version that a cascade requires.
pub(crate) const MIN_RATINGS: f64 = 30.0;

/// Number of ratings of escalated answers from which they replace the ratings of first answers in
/// estimating the expensive version.
const MIN_ESCALATED_RATINGS: f64 = 20.0;

/// Share of a difference between ratings that is attributed to quality rather than to noise.
const RELIABILITY: f64 = 0.95;

/// Time reserved for rating the first answer.
const RATING_TIME: Span = Span::from_millis(500);

/// A cascade from one version to another.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cascade {
    /// Rating from 0 to 1 below which an answer of the cheap version is escalated.
    pub threshold: f64,
    /// Expected cost of a request, in credits.
    pub cost: f64,
    /// Expected mean rating of the delivered answers, from 0 to 1.
    pub quality: f64,
}

impl Cascade {
    /// Returns the cheapest cascade between two versions that meets a target, if there is one.
    pub fn between(
        cheap: &Offer<'_>,
        expensive: &Offer<'_>,
        target: f64,
        now: Moment,
    ) -> Option<Self> {
        let histogram = &cheap.record.histogram;
        if cheap.record.posterior.count(now) < MIN_RATINGS || !expensive.is_rated(now) {
            return None;
        }
        let second = escalated_bound(expensive, now);
        for bin in 1..BINS {
            let split = histogram.split(bin);
            let quality = expected_quality(cheap, &split, second, now);
            if quality < target {
                continue;
            }
            return Some(Self {
                threshold: split.threshold,
                cost: cheap.cost + split.below * expensive.cost,
                quality,
            });
        }
        None
    }
}

/// Returns whether two answers and a rating fit into the time budget. Unmeasured latencies never
/// fit.
pub fn fits(cheap: &Offer<'_>, expensive: &Offer<'_>, budget: Span) -> bool {
    let (Some(first), Some(second)) = (cheap.record.latency(), expensive.record.latency()) else {
        return false;
    };
    first + RATING_TIME.as_secs_f64() + second <= budget.as_secs_f64()
}

/// Returns a lower bound of the mean rating of answers that were escalated to a version.
///
/// Escalated requests are harder than the average, so their own ratings are used once there are
/// enough of them.
fn escalated_bound(expensive: &Offer<'_>, now: Moment) -> f64 {
    let record = expensive.record;
    if record.escalated.count(now) >= MIN_ESCALATED_RATINGS {
        return record.escalated.lower(now).min(record.posterior.upper(now));
    }
    record.posterior.lower(now)
}

/// Returns a lower bound of the mean rating of the delivered answers: the mean less 1.645 standard
/// errors.
///
/// Selection by a noisy rating overstates the quality of the selected answers, so the gain over the
/// mean is scaled by [`RELIABILITY`].
fn expected_quality(cheap: &Offer<'_>, split: &Split, second: f64, now: Moment) -> f64 {
    let posterior = &cheap.record.posterior;
    let part = 1.0 - split.below;
    let gain = (split.sum - part * posterior.mean(now)).max(0.0);
    let kept = split.sum - (1.0 - RELIABILITY) * gain;
    let mean = split.sum + split.below * second;
    let square = split.squares + split.below * second * second;
    let error = ((square - mean * mean).max(0.0) / posterior.count(now)).sqrt();
    kept + split.below * second - BOUND_DEVIATIONS * error
}
