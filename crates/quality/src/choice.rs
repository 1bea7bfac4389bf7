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
    let Some(direct) = direct else {
        return fallback(offers, now);
    };
    let mut best = Plan {
        first: direct.version,
        escalate: None,
        reason: Reason::Cheapest,
    };
    let mut cost = direct.cost * cascade::WORTHWHILE;
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
            best.first = cheap.version;
            best.escalate = Some(Escalation {
                version: dear.version,
                threshold: found.threshold,
            });
        }
    }
    Some(best)
}

/// The version to explore: the least rated that may meet the target, other than the chosen one.
pub fn explore(
    offers: &[Offer<'_>],
    chosen: id::Version,
    target: f64,
    now: Moment,
) -> Option<id::Version> {
    let mut least: Option<&Offer<'_>> = None;
    for offer in offers {
        if offer.version == chosen || !offer.may_meet(target, now) {
            continue;
        }
        let count = |offer: &Offer<'_>| offer.record.posterior.count(now);
        if least.is_none_or(|least| count(offer) < count(least)) {
            least = Some(offer);
        }
    }
    least.map(|offer| offer.version)
}

fn cheapest<'a, 'b: 'a>(offers: impl Iterator<Item = &'a Offer<'b>>) -> Option<&'a Offer<'b>> {
    offers.min_by(|a, b| a.cost.total_cmp(&b.cost).then(a.version.cmp(&b.version)))
}

/// The rated version with the highest lower bound, or else the dearest.
fn fallback(offers: &[Offer<'_>], now: Moment) -> Option<Plan> {
    let lower = |offer: &Offer<'_>| offer.record.posterior.lower(now);
    let rated = offers
        .iter()
        .filter(|offer| offer.is_rated(now))
        .max_by(|a, b| lower(a).total_cmp(&lower(b)));
    let dearest = offers.iter().max_by(|a, b| a.cost.total_cmp(&b.cost));
    rated.or(dearest).map(|offer| Plan {
        first: offer.version,
        escalate: None,
        reason: Reason::Fallback,
    })
}
