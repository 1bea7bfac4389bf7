//! How the share of a roll-out grows, and when it is braked.

use crate::evidence::Evidence;
use entity::unit::Share;
use entity::{Moment, Span};

/// Ratings of the new version, over all instances, for which its share doubles.
pub const DOUBLING_RATINGS: u32 = 40;

/// Suspicion, as a natural logarithm, beyond which answers that can't be held for their rating stay
/// with the version in service.
const SUSPICION: f64 = 1.0;

/// Part of the beginning share that answers which can't be held keep under suspicion, where others
/// are held: without any held request the evidence would never settle.
const TRICKLE: f64 = 0.25;

/// Time without any rating of the new version after which its share falls back to its beginning.
pub const SILENCE: Span = Span::from_secs(30);

/// The least rate of false alarms that is kept to.
const MIN_FALSE_ALARM: f64 = 1e-6;

/// How the answer of a request reaches its caller.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Delivery {
    /// It is held for its rating and escalated if that is poor.
    Held,
    /// It is passed on unrated, though other answers of the service may be held.
    Direct,
    /// It is passed on unrated, like all answers of the service.
    Bare,
}

/// The share of new sessions that begin on the new version.
///
/// It begins at `share` and doubles with every [`DOUBLING_RATINGS`] ratings up to `limit`, for as
/// long as the lower bound of the mean rating meets the target, over all ratings and over the recent
/// ones. An outage of the rating service, during which a bad version can't be noticed, takes it back
/// to its beginning. Under suspicion only answers that are held go on at the full share: they give
/// the evidence for a brake, or against one, and poor ones are not passed on.
pub fn share(
    share: Share,
    limit: Share,
    evidence: &Evidence,
    delivery: Delivery,
    now: Moment,
) -> Share {
    let start = share.min(limit);
    if now.since(evidence.latest()) > SILENCE {
        return start;
    }
    if evidence.suspicion() > SUSPICION {
        match delivery {
            Delivery::Held => {}
            Delivery::Direct => return Share::from_fraction(start.fraction() * TRICKLE),
            Delivery::Bare => return start,
        }
    }
    let target = evidence.target();
    let all = evidence.posterior().lower(now);
    let recent = evidence.recent().lower(now);
    if all < target || (recent < target && evidence.suspicion() <= SUSPICION) {
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
