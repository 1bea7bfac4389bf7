//! Choice of the version that serves a request.
//!
//! The cheapest version whose lower bound meets the service's target serves. A bounded share of
//! requests explores versions that may meet it, the least rated first. If no version is known to
//! meet the target, the rated version with the highest lower bound serves, and if none is rated,
//! the most expensive one.

use crate::cascade;
use crate::record::Record;
use entity::unit::{Share, Tokens};
use entity::{Moment, Span, id};

/// Maximum share of requests that explore a version in order to rate it.
pub const MAX_EXPLORATION: Share = Share::percent(4);

/// Share of requests that explore a more expensive rated version, so that it remains usable as a
/// fallback, and minimum share for a version that seems to miss the target, to detect its recovery.
pub const MIN_EXPLORATION: Share = Share::percent(1);

/// Number of ratings below which a version counts as unrated.
pub const MIN_RATINGS: f64 = 5.0;

/// How soon an answer is needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// A person is waiting for the answer.
    Interactive,
    /// The answer is needed only by its deadline.
    Batch,
}

/// The properties of a request that the choice depends on.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// The requested service.
    pub service: id::Service,
    /// Versions that are allowed and active, and that some upstream can run.
    pub candidates: &'a [id::Version],
    /// How soon the answer is needed.
    pub class: Class,
    /// Whether the answer is streamed. A streamed answer can't be withdrawn once it has begun, so
    /// it is never escalated.
    pub streamed: bool,
    /// Estimated length of the prompt.
    pub prompt: Tokens,
    /// Remaining time budget for the complete answer.
    pub budget: Span,
    /// Position of the session in the split, from none to the whole, the same at every instance.
    /// Sessions with a position below a rollout's canary share start on the candidate version.
    pub position: Share,
    /// Time of the decision.
    pub now: Moment,
}

/// The reason for choosing a version.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The session falls into the canary share of a rollout.
    Rollout,
    /// It is the cheapest choice that meets the target, alone or in a cascade.
    Cheapest,
    /// It needs further ratings.
    Exploration,
    /// No version is known to meet the target.
    Fallback,
}

/// A condition for asking a second version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Escalation {
    /// The version to ask.
    pub version: id::Version,
    /// Rating of the first answer, from 0 to 1, below which the version is asked.
    pub threshold: f64,
}

/// The versions that serve a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Plan {
    /// The version to ask first.
    pub first: id::Version,
    /// Whether to rate the first answer before passing it on, and how to proceed if the rating is
    /// poor. If no rating arrives in time, the first answer is passed on.
    pub escalate: Option<Escalation>,
    /// The reason for choosing the first version.
    pub reason: Reason,
}

/// A version that can serve a request.
#[derive(Clone, Copy, Debug)]
pub struct Offer<'a> {
    /// The offered version.
    pub version: id::Version,
    /// Expected cost of the request, in credits.
    pub cost: f64,
    /// Ratings and measurements of the version.
    pub record: &'a Record,
}

impl Offer<'_> {
    /// Returns whether the version is known to meet a target.
    pub fn meets(&self, target: f64, now: Moment) -> bool {
        self.is_rated(now) && self.record.posterior.lower(now) >= target
    }

    /// Returns whether the version may meet a target.
    pub fn may_meet(&self, target: f64, now: Moment) -> bool {
        self.record.posterior.upper(now) >= target
    }

    /// Returns whether the version has enough ratings.
    pub fn is_rated(&self, now: Moment) -> bool {
        self.record.posterior.count(now) >= MIN_RATINGS
    }
}

/// Chooses among offers without exploration. Returns `None` if there are no offers.
///
/// `cascades` returns whether an answer of the first offer may be escalated to the second within
/// the time budget.
pub fn choose(
    offers: &[Offer<'_>],
    target: f64,
    now: Moment,
    cascades: impl Fn(&Offer<'_>, &Offer<'_>) -> bool,
) -> Option<Plan> {
    let direct = cheapest(offers.iter().filter(|offer| offer.meets(target, now)));
    let (offer, reason) = match direct {
        Some(offer) => (offer, Reason::Cheapest),
        None => (fallback(offers, now)?, Reason::Fallback),
    };
    let mut best = Plan {
        first: offer.version,
        escalate: None,
        reason,
    };
    let mut cost = offer.cost * cascade::MAX_COST_FACTOR;
    for cheap in offers {
        for expensive in offers {
            if cheap.cost >= expensive.cost || !cascades(cheap, expensive) {
                continue;
            }
            let Some(found) = cascade::Cascade::between(cheap, expensive, target, now) else {
                continue;
            };
            if found.cost >= cost {
                continue;
            }
            cost = found.cost;
            best = Plan {
                first: cheap.version,
                escalate: Some(Escalation {
                    version: expensive.version,
                    threshold: found.threshold,
                }),
                reason: Reason::Cheapest,
            };
        }
    }
    Some(best)
}

/// The requirements of a service for its versions.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Requirement {
    /// The minimum mean rating, from 0 to 1.
    pub target: f64,
    /// Whether a version that misses the target may still answer first in a cascade.
    pub cascade: bool,
}

/// Returns the version to explore for a request with the random position `draw`: the least rated
/// one, other than the chosen one, whose exploration share is above the position.
pub fn explore(
    offers: &[Offer<'_>],
    chosen: id::Version,
    requirement: Requirement,
    draw: Share,
    now: Moment,
) -> Option<id::Version> {
    if draw >= MAX_EXPLORATION {
        return None;
    }
    let chosen = offers.iter().find(|offer| offer.version == chosen)?;
    let count = |offer: &Offer<'_>| offer.record.posterior.count(now);
    let mut least: Option<&Offer<'_>> = None;
    for offer in offers {
        let share = exploration_share(chosen, offer, requirement, now);
        if offer.version == chosen.version || draw >= share {
            continue;
        }
        if least.is_none_or(|least| count(offer) < count(least)) {
            least = Some(offer);
        }
    }
    least.map(|offer| offer.version)
}

/// Returns the share of requests that may explore a version.
///
/// A version that may meet the target, or whose role in a cascade is unknown, gets the whole share,
/// unless it is more expensive and rated. A version that seems to miss the target gets a share that
/// costs at most half of the chosen version's margin over the target (Wu, Shariff, Lattimore and
/// Szepesvari, "Conservative bandits", ICML 2016).
fn exploration_share(
    chosen: &Offer<'_>,
    offer: &Offer<'_>,
    requirement: Requirement,
    now: Moment,
) -> Share {
    if offer.cost > chosen.cost && offer.is_rated(now) {
        return MIN_EXPLORATION;
    }
    let posterior = &offer.record.posterior;
    let cascades = requirement.cascade && posterior.count(now) < cascade::MIN_RATINGS;
    if cascades || !offer.is_rated(now) || offer.may_meet(requirement.target, now) {
        return MAX_EXPLORATION;
    }
    let margin = chosen.record.posterior.lower(now) - requirement.target;
    let loss = chosen.record.posterior.mean(now) - posterior.mean(now);
    if loss <= 0.0 {
        return MAX_EXPLORATION;
    }
    Share::from_fraction(margin / (2.0 * loss)).clamp(MIN_EXPLORATION, MAX_EXPLORATION)
}

fn cheapest<'a, 'b: 'a>(offers: impl Iterator<Item = &'a Offer<'b>>) -> Option<&'a Offer<'b>> {
    offers.min_by(|a, b| a.cost.total_cmp(&b.cost).then(a.version.cmp(&b.version)))
}

/// Returns the rated version with the highest lower bound, or the most expensive one if none is
/// rated.
fn fallback<'a, 'b>(offers: &'a [Offer<'b>], now: Moment) -> Option<&'a Offer<'b>> {
    let lower = |offer: &Offer<'_>| offer.record.posterior.lower(now);
    let rated = offers
        .iter()
        .filter(|offer| offer.is_rated(now))
        .max_by(|a, b| lower(a).total_cmp(&lower(b)));
    let most_expensive = offers.iter().max_by(|a, b| a.cost.total_cmp(&b.cost));
    rated.or(most_expensive)
}
