//! Cascades: a cheap version answers first, and a poor answer is escalated to a dearer one.
//!
//! The threshold is worked out from the distribution of the cheap version's ratings, as in
//! FrugalGPT (Chen, Zaharia and Zou, 2023): the lowest threshold at which the expected rating of
//! what is passed on still meets the target.

use crate::choice::Offer;
use crate::histogram::{BINS, Split};
use crate::posterior::BOUND_DEVIATIONS;
use entity::{Moment, Span};

/// A cascade is used where it costs at most this part of the cheapest version by itself.
pub const WORTHWHILE: f64 = 0.95;

/// Ratings of the cheap version without which no cascade is used.
pub(crate) const MIN_RATINGS: f64 = 30.0;

/// Ratings of escalated answers above which they stand for the dear version in a cascade.
const MIN_ESCALATED: f64 = 20.0;

/// The part of a difference between ratings that is assumed to be one of quality and not noise.
const RELIABILITY: f64 = 0.95;

/// Time that is set aside for rating the first answer.
const RATING: Span = Span::from_millis(500);

/// A cascade from one version to another.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Cascade {
    /// Answers of the cheap version with a rating below this are escalated, from 0 to 1.
    pub threshold: f64,
    /// Expected cost in credits.
    pub cost: f64,
    /// Expected mean rating of what is passed on, from 0 to 1.
    pub quality: f64,
}

impl Cascade {
    /// The cheapest cascade between two versions that meets a target, if there is one.
    pub fn between(cheap: &Offer<'_>, dear: &Offer<'_>, target: f64, now: Moment) -> Option<Self> {
        let histogram = &cheap.record.histogram;
        if cheap.record.posterior.count(now) < MIN_RATINGS || !dear.is_rated(now) {
            return None;
        }
        let second = escalated(dear, now);
        for bin in 1..BINS {
            let split = histogram.split(bin);
            let quality = expected(cheap, &split, second, now);
            if quality < target {
                continue;
            }
            return Some(Self {
                threshold: split.threshold,
                cost: cheap.cost + split.below * dear.cost,
                quality,
            });
        }
        None
    }
}

/// Whether two answers and a rating fit into the time that is left; unknown times don't.
pub fn fits(cheap: &Offer<'_>, dear: &Offer<'_>, budget: Span) -> bool {
    let (Some(first), Some(second)) = (cheap.record.latency(), dear.record.latency()) else {
        return false;
    };
    first + RATING.as_secs_f64() + second <= budget.as_secs_f64()
}

/// A lower bound of the mean rating of answers that were escalated to a version.
///
/// Escalated requests are harder than the average, so their own ratings count once there are some.
fn escalated(dear: &Offer<'_>, now: Moment) -> f64 {
    let record = dear.record;
    if record.escalated.count(now) >= MIN_ESCALATED {
        return record.escalated.lower(now).min(record.posterior.upper(now));
    }
    record.posterior.lower(now)
}

/// A lower bound of the mean rating of what is passed on: its mean, less 1.645 standard errors.
///
/// Selection by a noisy rating overstates the quality of what it keeps, so the gain over the mean
/// is shrunk.
fn expected(cheap: &Offer<'_>, split: &Split, second: f64, now: Moment) -> f64 {
    let posterior = &cheap.record.posterior;
    let part = 1.0 - split.below;
    let gain = (split.sum - part * posterior.mean(now)).max(0.0);
    let kept = split.sum - (1.0 - RELIABILITY) * gain;
    let mean = split.sum + split.below * second;
    let square = split.squares + split.below * second * second;
    let error = ((square - mean * mean).max(0.0) / posterior.count(now)).sqrt();
    kept + split.below * second - BOUND_DEVIATIONS * error
}
