//! Growth of a rollout's canary share, and the limit at which it is braked.

use crate::evidence::Evidence;
use entity::unit::Share;
use entity::{Moment, Span};

/// Number of ratings of the candidate version, over all instances, after which its share doubles.
pub const DOUBLING_RATINGS: u32 = 40;

/// Value of the CUSUM statistic, a natural logarithm, above which answers that can't be held for
/// their rating stay with the baseline version.
const CUSUM_THRESHOLD: f64 = 1.0;

/// Factor on the initial share for answers that can't be held while the CUSUM statistic is high and
/// other answers of the service are held. Some traffic has to remain: without any held request no
/// further evidence would arrive to decide the rollout.
const UNHELD_FACTOR: f64 = 0.25;

/// Time without a rating of the candidate version after which its share falls back to the initial
/// one.
pub const RATING_TIMEOUT: Span = Span::from_secs(30);

/// Minimum false alarm rate, as a fraction; lower settings are treated as this one.
const MIN_FALSE_ALARM: f64 = 1e-6;

/// The way an answer reaches its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// The answer is held for its rating and escalated if the rating is poor.
    Held,
    /// The answer is passed on unrated, although other answers of the service may be held.
    Direct,
    /// The answer is passed on unrated, as all answers of the service are.
    NeverHeld,
}

/// Returns the share of new sessions that start on the candidate version.
///
/// The share starts at `share` and doubles with every [`DOUBLING_RATINGS`] ratings up to `limit`,
/// as long as the lower bound of the mean rating meets the target, both over all ratings and over
/// recent ones. It falls back to its initial value during an outage of the rating service, when a
/// bad version can't be detected. While the CUSUM statistic is high, only answers that are held
/// continue at the full share: they provide the evidence for or against a brake, and poor ones are
/// not passed on.
pub fn share(
    share: Share,
    limit: Share,
    evidence: &Evidence,
    delivery: Delivery,
    now: Moment,
) -> Share {
    let start = share.min(limit);
    if now.since(evidence.latest()) > RATING_TIMEOUT {
        return start;
    }
    if evidence.cusum() > CUSUM_THRESHOLD {
        match delivery {
            Delivery::Held => {}
            Delivery::Direct => return Share::from_fraction(start.fraction() * UNHELD_FACTOR),
            Delivery::NeverHeld => return start,
        }
    }
    let target = evidence.target();
    let all = evidence.posterior().lower(now);
    let recent = evidence.recent().lower(now);
    if all < target || (recent < target && evidence.cusum() <= CUSUM_THRESHOLD) {
        return start;
    }
    let doublings = (evidence.all().ratings / DOUBLING_RATINGS).min(20);
    let grown = start.fraction() * f64::from(1_u32 << doublings);
    Share::from_fraction(grown).min(limit)
}

/// Returns the natural logarithm of the test value at which a rollout is braked.
///
/// Each observer evaluates the evidence in its own order of arrival. Its false alarm probability is
/// at most the reciprocal of the limit, so by the union bound the probability of a false alarm at
/// any observer is at most `false_alarm`, however much their evidence overlaps.
pub fn log_limit(false_alarm: Share, observers: u32) -> f64 {
    let rate = false_alarm.fraction().max(MIN_FALSE_ALARM);
    (f64::from(observers.max(1)) / rate).ln()
}
