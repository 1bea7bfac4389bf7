//! Choice among registered upstreams, which report no load, for requests whose demand is unknown.

use super::Balancer;
use super::candidates::Candidate;
use crate::demand::Demand;
use crate::filter::{Grant, Request};
use crate::outlier::Admission;
use crate::placement::{self, Place};
use crate::query::Query;
use crate::room::{self, Coverage, Room, Sight};
use crate::state::Readiness;
use entity::Moment;
use entity::id;
use entity::time::Span;
use rand::Rng;

impl Balancer {
    /// Returns the room that other instances leave in the pool of a request; none if the request
    /// has a known demand or prefix, by which its upstream is chosen otherwise.
    pub(super) fn room(
        &self,
        request: &Request,
        (prefix, demand): (Option<u64>, Option<Demand>),
        now: Moment,
    ) -> Option<Room> {
        if prefix.is_some() || demand.is_some() {
            return None;
        }
        let pool = self.pools.pool(request.service, request.version);
        let sharers = pool.used.first().map_or(1, |&first| self.sharers(first));
        let sharers = u32::try_from(sharers).unwrap_or(u32::MAX);
        let sights = pool.used.iter();
        let sights = sights.filter_map(|&upstream| self.sight(upstream, request, now));
        Some(Room::new(self.peer_loads.coverage(now), sharers, sights))
    }

    /// Returns the least time between two requests that this instance can send to the upstreams of a
    /// request, if it has all that it may ever borrow; none if their service times aren't known, or
    /// the request is not chosen for by them.
    pub fn pace(&self, query: &Query, now: Moment) -> Option<Span> {
        if query.generation != self.generation || query.prefix.is_some() || query.demand.is_some() {
            return None;
        }
        let pool = self.pools.pool(query.service, query.version);
        let (mut shares, mut limits, mut service_time) = (0, 0, None);
        for &upstream in &pool.used {
            let registered = &self.config.upstreams[upstream];
            registered.registration.as_ref()?;
            let sharers = u32::try_from(self.sharers(upstream)).unwrap_or(u32::MAX);
            shares += (registered.warm / sharers).max(1);
            limits += registered.warm;
            let known = self.states.in_use(upstream).service_time.get(now);
            service_time = service_time.into_iter().chain(known).min_by(f64::total_cmp);
        }
        let sharers = pool.used.first().map_or(1, |&first| self.sharers(first));
        let sharers = u32::try_from(sharers).unwrap_or(u32::MAX);
        let runs = shares + room::loan_bound(f64::from(limits), sharers);
        let seconds = service_time? / f64::from(runs.min(limits).max(1));
        Some(Span::from_micros((seconds * 1e6) as u64))
    }

    /// Returns what is known of an upstream; none unless it registered itself.
    pub(super) fn sight(
        &self,
        upstream: id::Upstream,
        request: &Request,
        now: Moment,
    ) -> Option<Sight> {
        self.config.upstreams[upstream].registration.as_ref()?;
        let state = self.states.in_use(upstream);
        let sharers = u32::try_from(self.sharers(upstream)).unwrap_or(u32::MAX);
        let (share, limit) = self
            .filter(now)
            .limits(request.priority, upstream, state, sharers);
        let admission = self
            .judgement
            .admit(&self.config, upstream, request.is_repeatable, now);
        let is_warm = matches!(state.readiness(now), Readiness::Warm { .. });
        Some(Sight {
            limit,
            share,
            own: state.running,
            crowd: self.peer_loads.crowd(upstream),
            usable: is_warm
                && admission == Admission::Open
                && state.breaker.allows(now)
                && !state.has_failed_lately(now)
                && self.restriction(upstream, now).is_none()
                && self.limit_wait(upstream, now).is_none(),
        })
    }

    /// Returns the evidence of room at an upstream that other instances leave for one more request.
    pub(super) fn lent(
        &self,
        room: &Room,
        upstream: id::Upstream,
        request: &Request,
        now: Moment,
    ) -> Option<Coverage> {
        let sight = self.sight(upstream, request, now)?;
        room.lends(&sight).then(|| room.coverage())
    }

    /// Returns what the choice by expected wait needs to know of a candidate; none if it isn't
    /// chosen by its wait, for which the requests of the peers must be known.
    pub(super) fn place(
        &self,
        room: Option<&Room>,
        candidate: &Candidate,
        request: &Request,
        now: Moment,
    ) -> Option<Place> {
        let room = room.filter(|room| room.is_known() && candidate.grant == Grant::Warm)?;
        let sight = self.sight(candidate.upstream, request, now)?;
        let state = self.states.in_use(candidate.upstream);
        let limit = f64::from(sight.limit);
        // A full upstream has requests beyond its limit; one that fails looks empty to all.
        let refused = if state.has_failed_lately(now) {
            limit
        } else {
            0.0
        };
        Some(Place {
            limit,
            running: (room.others(&sight) + f64::from(sight.own)).max(refused) + refused,
            service_time: state.service_time.get(now),
            is_local: candidate.is_local,
            is_doubtful: state.is_doubtful,
            was_refused: state.was_refused(),
        })
    }

    /// Returns the candidate with the least expected wait; none unless it is known for all.
    pub(super) fn least_wait<'a>(&mut self, candidates: &'a [Candidate]) -> Option<&'a Candidate> {
        let places: Option<Vec<Place>> = candidates.iter().map(|one| one.place).collect();
        let index = placement::choose(&places?, self.random.next_u64())?;
        candidates.get(index)
    }
}
