//! How the share of a roll-out grows, and when it is braked.

use crate::evidence::Evidence;
use entity::unit::Share;
use entity::{Moment, Span};

/// Ratings of the new version, over all instances, for which its share doubles.
pub const DOUBLING_RATINGS: u32 = 40;

/// Part of the limit, in logarithms, beyond which the share falls back to its beginning.
const SUSPICION: f64 = 1.0 / 3.0;

/// Time without any rating of the new version after which its share falls back to its beginning.
pub const SILENCE: Span = Span::from_secs(60);

/// The least rate of false alarms that is kept to.
const MIN_FALSE_ALARM: f64 = 1e-6;

/// The share of new sessions that begin on the new version.
///
/// It begins at `share` and doubles with every [`DOUBLING_RATINGS`] ratings up to `limit`, for as
/// long as the lower bound of the mean rating meets the target, over all ratings and over the recent
/// ones. Evidence against the version takes it back before it suffices for a brake, and so does an
/// outage of the rating service, during which a bad version can't be noticed.
pub fn share(
    share: Share,
    limit: Share,
    evidence: &Evidence,
    log_limit: f64,
    now: Moment,
) -> Share {
    let start = share.min(limit);
    let silent = now.since(evidence.latest()) > SILENCE;
    if silent || evidence.log_value() > log_limit * SUSPICION {
        return start;
    }
    let target = evidence.target();
    let all = evidence.posterior().lower(now);
    let recent = evidence.recent().lower(now);
    if all < target || recent < target {
        return start;
    }
    let doublings = (evidence.all().ratings / DOUBLING_RATINGS).min(20);
    let grown = start.fraction() * f64::from(1_u32 << doublings);
    Share::from_fraction(grown).min(limit)
}

/// Natural logarithm of the test's value at which a roll-out is braked.
///
/// Each viewer looks at the evidence in its own order of arrival, so each has a false alarm with a
/// probability of at most its own limit; the sum over viewers bounds the rate that any of them has
/// one, however their views overlap.
pub fn log_limit(false_alarm: Share, viewers: u32) -> f64 {
    let rate = false_alarm.fraction().max(MIN_FALSE_ALARM);
    (f64::from(viewers.max(1)) / rate).ln()
}
