//! Choice of the version that serves a request.
//!
//! The cheapest version whose lower bound meets the service's target serves. A bounded share of
//! requests explores versions that may meet it, the least rated first. Where none is known to meet
//! the target, the rated version with the highest lower bound serves, and where none is rated, the
//! dearest.

use crate::cascade;
use crate::record::Record;
use entity::unit::{Share, Tokens};
use entity::{Moment, Span, id};

/// Share of requests that go to a version in order to rate it.
pub const EXPLORATION: Share = Share::percent(4);

/// Share of requests that go to a dearer version, so that it stays known as a fallback, and least
/// share of those that go to one which seems to fall short, to notice if it recovers.
pub const UPKEEP: Share = Share::percent(1);

/// Ratings below which a version counts as unrated.
pub const MIN_RATINGS: f64 = 5.0;

/// How soon an answer is needed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Class {
    /// Somebody waits for the answer.
    Interactive,
    /// The answer is needed by its deadline only.
    Batch,
}

/// A request, as far as the choice depends on it.
#[derive(Clone, Copy, Debug)]
pub struct Query<'a> {
    /// The service.
    pub service: id::Service,
    /// Versions that are allowed and active, and that some upstream can run.
    pub candidates: &'a [id::Version],
    /// How soon the answer is needed.
    pub class: Class,
    /// Whether the answer is streamed. A streamed answer can't be taken back once it has begun, so
    /// it is never escalated.
    pub streamed: bool,
    /// Estimated length of the prompt.
    pub prompt: Tokens,
    /// Time that is left for the whole answer.
    pub budget: Span,
    /// Where the session falls between nothing and the whole, the same at every instance; sessions
    /// below a roll-out's share begin on the new version.
    pub position: Share,
    /// The moment of the decision.
    pub now: Moment,
}

/// Why a version was chosen.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// The session falls into the share of a roll-out.
    Rollout,
    /// It is the cheapest that meets the target, by itself or in a cascade.
    Cheapest,
    /// It is to be rated.
    Exploration,
    /// None is known to meet the target.
    Fallback,
}

/// When to ask a second version.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Escalation {
    /// The version to ask.
    pub version: id::Version,
    /// It is asked if the rating of the first answer is below this, from 0 to 1.
    pub threshold: f64,
}

/// The versions that serve a request.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Plan {
    /// The version to ask first.
    pub first: id::Version,
    /// Whether to rate its answer before passing it on, and what to do if it is poor. Without a
    /// rating in time the first answer is passed on.
    pub escalate: Option<Escalation>,
    /// Why the first version was chosen.
    pub reason: Reason,
}

/// A version that can serve a request.
#[derive(Clone, Copy, Debug)]
pub struct Offer<'a> {
    /// The version.
    pub version: id::Version,
    /// Expected cost of the request, in credits.
    pub cost: f64,
    /// What is known about it.
    pub record: &'a Record,
}

impl Offer<'_> {
    /// Whether the version is known to meet a target.
    pub fn meets(&self, target: f64, now: Moment) -> bool {
        self.is_rated(now) && self.record.posterior.lower(now) >= target
    }

    /// Whether the version may meet a target.
    pub fn may_meet(&self, target: f64, now: Moment) -> bool {
        self.record.posterior.upper(now) >= target
    }

    /// Whether enough ratings are known.
    pub fn is_rated(&self, now: Moment) -> bool {
        self.record.posterior.count(now) >= MIN_RATINGS
    }
}

/// Chooses among offers without exploration; none if there are no offers.
///
/// `cascades` says whether an answer may be escalated within the time that is left.
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
    let mut cost = offer.cost * cascade::WORTHWHILE;
    for cheap in offers {
        for dear in offers {
            if cheap.cost >= dear.cost || !cascades(cheap, dear) {
                continue;
            }
            let Some(found) = cascade::Cascade::between(cheap, dear, target, now) else {
                continue;
            };
            if found.cost >= cost {
                continue;
            }
            cost = found.cost;
            best = Plan {
                first: cheap.version,
                escalate: Some(Escalation {
                    version: dear.version,
                    threshold: found.threshold,
                }),
                reason: Reason::Cheapest,
            };
        }
    }
    Some(best)
}

/// What a service wants of its versions.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Wanted {
    /// The least mean rating, from 0 to 1.
    pub target: f64,
    /// Whether a version that falls short of it may still serve first in a cascade.
    pub cascade: bool,
}

/// The version to explore for a request that draws a position: the least rated, other than the
/// chosen one, whose share the position is below.
pub fn explore(
    offers: &[Offer<'_>],
    chosen: id::Version,
    wanted: Wanted,
    drawn: Share,
    now: Moment,
) -> Option<id::Version> {
    if drawn >= EXPLORATION {
        return None;
    }
    let chosen = offers.iter().find(|offer| offer.version == chosen)?;
    let count = |offer: &Offer<'_>| offer.record.posterior.count(now);
    let mut least: Option<&Offer<'_>> = None;
    for offer in offers {
        let share = exploration(chosen, offer, wanted, now);
        if offer.version == chosen.version || drawn >= share {
            continue;
        }
        if least.is_none_or(|least| count(offer) < count(least)) {
            least = Some(offer);
        }
    }
    least.map(|offer| offer.version)
}

/// The share of requests that may explore a version.
///
/// One that may meet the target, or whose part in a cascade is unknown, has the whole share, unless
/// it is dearer and rated. One
/// that seems to fall short has a share that costs at most half of the chosen version's margin over
/// the target (Wu, Shariff, Lattimore and Szepesvari, "Conservative bandits", ICML 2016).
fn exploration(chosen: &Offer<'_>, offer: &Offer<'_>, wanted: Wanted, now: Moment) -> Share {
    if offer.cost > chosen.cost && offer.is_rated(now) {
        return UPKEEP;
    }
    let posterior = &offer.record.posterior;
    let cascades = wanted.cascade && posterior.count(now) < cascade::MIN_RATINGS;
    if cascades || !offer.is_rated(now) || offer.may_meet(wanted.target, now) {
        return EXPLORATION;
    }
    let margin = chosen.record.posterior.lower(now) - wanted.target;
    let loss = chosen.record.posterior.mean(now) - posterior.mean(now);
    if loss <= 0.0 {
        return EXPLORATION;
    }
    Share::from_fraction(margin / (2.0 * loss)).clamp(UPKEEP, EXPLORATION)
}

fn cheapest<'a, 'b: 'a>(offers: impl Iterator<Item = &'a Offer<'b>>) -> Option<&'a Offer<'b>> {
    offers.min_by(|a, b| a.cost.total_cmp(&b.cost).then(a.version.cmp(&b.version)))
}

/// The rated version with the highest lower bound, or else the dearest.
fn fallback<'a, 'b>(offers: &'a [Offer<'b>], now: Moment) -> Option<&'a Offer<'b>> {
    let lower = |offer: &Offer<'_>| offer.record.posterior.lower(now);
    let rated = offers
        .iter()
        .filter(|offer| offer.is_rated(now))
        .max_by(|a, b| lower(a).total_cmp(&lower(b)));
    let dearest = offers.iter().max_by(|a, b| a.cost.total_cmp(&b.cost));
    rated.or(dearest)
}
