//! The upstreams that may take a request, and the best of them.

use super::{Balancer, FULL_COMPARISON_MAX_SHARERS, refusal};
use crate::completion::Cost;
use crate::demand::{Demand, OTHER_ZONE_COST_TOKENS};
use crate::estimate::length::Length;
use crate::filter::{Grant, Reason, Request};
use crate::hash;
use crate::limit::Wait;
use crate::outlier::Admission;
use crate::peer_loads::Others;
use crate::placement::Place;
use crate::query::Refusal;
use crate::restriction::Restriction;
use crate::room::Coverage;
use crate::score::{self, Affinity, Placement};
use entity::Moment;
use entity::id;
use entity::time::Span;
use rand::RngExt;

/// Number of upstreams of a pool that are the homes of a prefix.
const HOMES_PER_PREFIX: usize = 2;

/// Smallest number of upstreams in the local zone for which most of those that are compared are picked
/// there.
const MIN_LOCAL_UPSTREAMS: usize = 4;

/// Upstreams that are picked at random, in addition to the first one, for comparison where many
/// instances share them.
const RANDOM_PICK_COUNT: usize = 2;

/// The same where the local zone has enough upstreams to pick from. The more of them are compared, the
/// less often one in another zone has less work.
const LOCAL_PICK_COUNT: usize = 3;

/// Longest time for which a request waits for room in the limit that an upstream named.
const MAX_LIMIT_WAIT: Span = Span::from_secs(1);

/// An upstream that passed the filter.
pub(super) struct Candidate {
    pub(super) upstream: id::Upstream,
    pub(super) grant: Grant,
    pub(super) affinity: Affinity,
    pub(super) ahead: Option<f64>,
    /// Expected cost; none where engines are not compared by it.
    pub(super) cost: Option<Cost>,
    pub(super) score: f64,
    pub(super) has_affinity: bool,
    pub(super) is_local: bool,
    /// The peers whose announcements show the room that it lends.
    pub(super) lent: Option<Coverage>,
    /// What is known of an upstream that reports no load, where the demand is unknown.
    pub(super) place: Option<Place>,
    /// Whether the request would be a probe of an upstream that is taken out.
    pub(super) is_probe: bool,
}

/// What a request asks of its upstream, and what is known of it.
pub(super) struct Asked<'a> {
    pub(super) prefix: Option<u64>,
    pub(super) demand: Option<Demand>,
    /// Homes of the prefix.
    pub(super) homes: Vec<id::Upstream>,
    /// Work of the peers at each upstream.
    pub(super) others: Others<'a>,
    /// Expected length of the answer.
    pub(super) length: Length,
    /// Mean tokens that a request of this instance holds at an engine.
    pub(super) mean_held: f64,
}

impl Balancer {
    /// Returns the upstreams that may take the request now, or the reason that is the likeliest to
    /// pass.
    pub(super) fn candidates(
        &self,
        request: &Request,
        (prefix, demand): (Option<u64>, Option<Demand>),
        now: Moment,
    ) -> Result<Vec<Candidate>, Refusal> {
        let filter = self.filter(now);
        let pool = self.pools.pool(request.service, request.version);
        let asked = self.asked((prefix, demand), &pool.used, now);
        let mut candidates = Vec::with_capacity(pool.used.len());
        let mut closed = Vec::new();
        let mut has_other = false;
        let mut most_transient = self.unavailable_reason(request);
        let mut rest_end: Option<Moment> = None;
        let mut limit_end: Option<Moment> = None;
        let room = self.room(request, (prefix, demand), now);
        let room = room.as_ref();
        for &upstream in &pool.used {
            if let Some(restriction) = self.restriction(upstream, now) {
                most_transient = most_transient.max(match restriction {
                    Restriction::Leaving => Reason::Leaving,
                    Restriction::Resting { until } => {
                        rest_end = Some(rest_end.map_or(until, |end| end.min(until)));
                        Reason::Resting
                    }
                });
                continue;
            }
            if let Some(wait) = self.limit_wait(upstream, now) {
                if let Wait::Until(end) = wait {
                    limit_end = Some(limit_end.map_or(end, |known| known.min(end)));
                }
                let soon = (now + MAX_LIMIT_WAIT).min(request.deadline);
                most_transient = most_transient.max(limited(wait, soon));
                has_other = true;
                continue;
            }
            let admission =
                self.judgement
                    .admit(&self.config, upstream, request.is_repeatable, now);
            let is_closed = admission == Admission::Closed;
            let state = self.states.in_use(upstream);
            let sharers = self.sharers(upstream);
            let checked = filter.check(request, upstream, state, sharers, None);
            let is_full = checked == Err(Reason::Full);
            let lent = room.filter(|_| is_full);
            let lent = lent.and_then(|room| self.lent(room, upstream, request, now));
            let grant = match checked {
                Err(Reason::Full) if lent.is_some() => Grant::Warm,
                Ok(grant) => grant,
                Err(reason) => {
                    most_transient = most_transient.max(reason);
                    has_other |= !is_closed && reason != Reason::Region;
                    continue;
                }
            };
            let mut candidate = self.candidate(upstream, (grant, sharers), &asked, now);
            candidate.lent = lent;
            candidate.place = self.place(room, &candidate, request, now);
            candidate.is_probe = admission == Admission::Probe;
            if is_closed {
                most_transient = most_transient.max(Reason::Failing);
                closed.push(candidate);
            } else {
                candidates.push(candidate);
            }
        }
        // The last upstream that may serve a request, as in its regions, is not refused to it.
        if candidates.is_empty() && !has_other {
            candidates = closed;
        }
        // The capacity of cold upstreams is used only if no warm one has room.
        if candidates.iter().any(|one| one.grant != Grant::RateLimited) {
            candidates.retain(|one| one.grant != Grant::RateLimited);
        }
        let exceeds = |one: &Candidate| one.cost.is_some_and(|cost| cost.exceeds_memory);
        if candidates.iter().any(|one| !exceeds(one)) {
            candidates.retain(|one| !exceeds(one));
        }
        if !candidates.is_empty() {
            return Ok(candidates);
        }
        let end = match most_transient {
            Reason::Resting => rest_end,
            Reason::Limited => limit_end,
            _ => None,
        };
        Err(refusal_until(most_transient, end, now))
    }

    fn asked(
        &self,
        (prefix, demand): (Option<u64>, Option<Demand>),
        used: &[id::Upstream],
        now: Moment,
    ) -> Asked<'_> {
        let has_costs = demand.is_some() && self.compares_by_work();
        Asked {
            prefix,
            demand,
            homes: prefix.map_or_else(Vec::new, |prefix| self.homes(prefix, used)),
            others: match demand {
                Some(_) => self.peer_loads.work(now),
                None => Others::default(),
            },
            length: demand
                .filter(|_| has_costs)
                .map_or_else(Length::default, |demand| self.learned.length(&demand, now)),
            mean_held: if has_costs { self.mean_held() } else { 0.0 },
        }
    }

    /// Returns an upstream that passed the filter, with its score.
    fn candidate(
        &self,
        upstream: id::Upstream,
        (grant, sharers): (Grant, usize),
        asked: &Asked<'_>,
        now: Moment,
    ) -> Candidate {
        let state = self.states.in_use(upstream);
        let affinity = match asked.prefix {
            Some(prefix)
                if state.has_cached_prefix(prefix) || state.has_sent_prefix(prefix, now) =>
            {
                Affinity::Cached
            }
            _ if asked.homes.contains(&upstream) => Affinity::Home,
            _ => Affinity::None,
        };
        let placement = Placement {
            upstream,
            sharers,
            affinity,
        };
        let cost = asked
            .demand
            .and_then(|demand| self.cost(upstream, affinity, (&demand, asked), now));
        let by_prompt = asked.demand.map(|demand| {
            let mut work = state.work();
            let others = asked.others.at(upstream);
            work.pending += others.pending;
            work.running += others.running;
            demand.ahead(affinity, work)
        });
        let zone = self.config.zone(self.zone.as_str());
        let is_local = zone == Some(self.config.upstreams[upstream].zone);
        let ahead = cost.map_or(by_prompt, |cost| Some(cost.ahead));
        let reread = asked.demand.map_or(0.0, |demand| demand.reread(affinity));
        let score = match cost.map_or(by_prompt, |cost| Some(cost.total)) {
            Some(tokens) if is_local => tokens + reread,
            Some(tokens) => tokens + reread + OTHER_ZONE_COST_TOKENS,
            None => score::score(&self.config, zone, placement, state, now),
        };
        Candidate {
            upstream,
            grant,
            affinity,
            ahead,
            cost,
            score,
            has_affinity: affinity != Affinity::None,
            is_local,
            lent: None,
            place: None,
            is_probe: false,
        }
    }

    /// Returns why a registered upstream must get no request now; none if it may get one.
    pub(super) fn restriction(&self, upstream: id::Upstream, now: Moment) -> Option<Restriction> {
        let upstream = &self.config.upstreams[upstream];
        let registration = upstream.registration.as_ref()?;
        let number = registration.incarnation;
        self.restrictions.find(&upstream.name, number, now)
    }

    /// Returns how long this instance has to wait for room in the limit that a registered upstream
    /// named; none if there is room.
    pub(super) fn limit_wait(&self, upstream: id::Upstream, now: Moment) -> Option<Wait> {
        let upstream = &self.config.upstreams[upstream];
        let number = upstream.registration.as_ref()?.incarnation;
        self.limits.wait(&upstream.name, number, now)
    }

    /// Returns the reason for which a pool has no upstreams.
    fn unavailable_reason(&self, request: &Request) -> Reason {
        let mut reason = Reason::NoUpstream;
        for (id, upstream) in self.config.upstreams.iter() {
            let serves = match request.version {
                Some(version) => upstream.versions.binary_search(&version).is_ok(),
                None => upstream.services.binary_search(&request.service).is_ok(),
            };
            if !serves || self.config.is_in_service(id) {
                continue;
            }
            let zone = &self.config.zones[upstream.zone];
            let out = zone.state == config::AdminState::Out;
            reason = reason.max(if out {
                Reason::ZoneOut
            } else {
                Reason::Leaving
            });
        }
        reason
    }

    /// Returns the homes of a prefix among the upstreams of a pool, by rendezvous hashing.
    fn homes(&self, prefix: u64, pool: &[id::Upstream]) -> Vec<id::Upstream> {
        let mut ranked: Vec<(u64, id::Upstream)> = Vec::with_capacity(pool.len());
        for &upstream in pool {
            let name = hash::text(self.config.upstreams[upstream].name.as_str());
            ranked.push((hash::weight(prefix, name), upstream));
        }
        ranked.sort_unstable_by(|left, right| right.cmp(left));
        ranked.truncate(HOMES_PER_PREFIX);
        ranked.into_iter().map(|(_, upstream)| upstream).collect()
    }

    /// Returns the candidate with the lowest score.
    ///
    /// All candidates are compared where few instances share the upstreams. Where many do, hardly
    /// any of an upstream's load comes from this instance, and all instances would choose the same
    /// upstream. Then the comparison is limited to candidates picked at random, most of them in the
    /// local zone if it has enough, and to those with affinity to the prefix. Of equal scores the one
    /// in the local zone is taken, as traffic between zones is billed.
    pub(super) fn best<'a>(
        &mut self,
        candidates: &'a [Candidate],
        sharers: usize,
    ) -> &'a Candidate {
        let count = candidates.len();
        let first = self.random.random_range(0..count);
        let local: Vec<usize> = (0..count).filter(|&one| candidates[one].is_local).collect();
        let mut picked = vec![first];
        if local.len() < MIN_LOCAL_UPSTREAMS {
            picked.extend((0..RANDOM_PICK_COUNT).map(|_| self.random.random_range(0..count)));
        } else {
            let mut pick = |_| local[self.random.random_range(0..local.len())];
            picked.extend((0..LOCAL_PICK_COUNT).map(&mut pick));
        }
        let are_all_compared = sharers <= FULL_COMPARISON_MAX_SHARERS;
        let mut best = &candidates[first];
        // Other ties are resolved in favour of the first candidate after a random offset.
        for offset in 0..count {
            let index = (first + offset) % count;
            let candidate = &candidates[index];
            let compared = are_all_compared || candidate.has_affinity || picked.contains(&index);
            let is_nearer = !are_all_compared && candidate.is_local && !best.is_local;
            let is_better = candidate.score < best.score
                || is_nearer && candidate.score.total_cmp(&best.score).is_eq();
            if compared && is_better {
                best = candidate;
            }
        }
        best
    }
}

/// Returns a refusal for a reason that passes at a known time, if there is one.
fn refusal_until(reason: Reason, end: Option<Moment>, now: Moment) -> Refusal {
    let known = end.map(|end| end.since(now));
    let refusal = refusal(reason);
    Refusal {
        retry_after: known.or(refusal.retry_after),
        ..refusal
    }
}

/// Returns the reason of an upstream whose limit leaves no room, which may have some `soon`.
fn limited(wait: Wait, soon: Moment) -> Reason {
    match wait {
        Wait::Until(end) if end < soon => Reason::Full,
        Wait::Until(_) | Wait::Unknown => Reason::Limited,
    }
}
