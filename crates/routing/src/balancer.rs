//! The balancer of one instance, which holds the state of its upstreams and chooses one of them for
//! each dispatch.

mod learning;

use crate::completion::{Basis, Cost, Learned};
use crate::demand::{Demand, Loads, OTHER_ZONE_COST_TOKENS};
use crate::estimate::length::Length;
use crate::filter::{ASSUMED_LIVE_COUNT, Filter, Grant, Reason, Request};
use crate::hash;
use crate::judgement::{Judgement, News, Scene, Word};
use crate::limit::{Limit, Limits, Wait};
use crate::load::Load;
use crate::outlier::Admission;
use crate::peer_loads::{Others, PeerLoads};
use crate::placement::Place;
use crate::pool::Pools;
use crate::query::{Choice, Outcome, Query, Refusal, Suspicion};
use crate::rate_limit::{self, Sharers};
use crate::restriction::{Incarnation, Restriction, Restrictions};
use crate::retry;
use crate::room::Coverage;
use crate::runs::Run;
use crate::score::{self, Affinity, Placement};
use crate::slots::{Bounds, Claim, DrainNotice, Members, Views};
use crate::states::States;
use config::Config;
use entity::id;
use entity::name;
use entity::time::Span;
use entity::unit::Bytes;
use entity::{Generation, Moment};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::sync::Arc;

mod plain;

/// Largest number of instances per upstream at which all eligible upstreams are compared.
const FULL_COMPARISON_MAX_SHARERS: usize = 32;

/// Number of upstreams of a pool that are the homes of a prefix.
const HOMES_PER_PREFIX: usize = 2;

/// Smallest number of upstreams in the local zone for which the homes of a prefix are restricted to
/// that zone: the prompts with one prefix come from one session, whose caller stays in a zone, so
/// they need not cross to another.
const MIN_LOCAL_UPSTREAMS: usize = 2 * HOMES_PER_PREFIX;

/// Upstreams that are picked at random, in addition to the first one, for comparison where many
/// instances share them.
const RANDOM_PICK_COUNT: usize = 2;

/// The same where the local zone has enough upstreams to pick from. The more of them are compared, the
/// less often one in another zone has less work.
const LOCAL_PICK_COUNT: usize = 3;

/// Weight of the newest prompt in the moving average of prompt sizes.
const PROMPT_SIZE_EWMA_WEIGHT: f64 = 0.01;

/// Upper bound of a prompt's size in relation to the mean.
const MAX_RELATIVE_PROMPT: f64 = 50.0;

/// Longest time for which a request waits for room in the limit that an upstream named.
const MAX_LIMIT_WAIT: Span = Span::from_secs(1);

/// Retry delay that is suggested after a refusal for lack of capacity.
const CAPACITY_RETRY_AFTER: Span = Span::from_secs(1);

/// Retry delay that is suggested while upstreams are cold or failing.
const RECOVERY_RETRY_AFTER: Span = Span::from_secs(2);

/// Retry delay that is suggested while zones or upstreams are out of service.
const OUTAGE_RETRY_AFTER: Span = Span::from_secs(10);

/// Chooses upstreams for one instance. It is owned by one task, or guarded by a mutex.
#[derive(Debug)]
pub struct Balancer {
    own: name::Instance,
    zone: name::Zone,
    random: ChaCha8Rng,
    config: Arc<Config>,
    generation: Generation,
    views: Views,
    pools: Pools,
    states: States,
    budget: retry::Budget,
    tickets: u64,
    peer_loads: PeerLoads,
    restrictions: Restrictions,
    limits: Limits,
    judgement: Judgement,
    /// Moving average of prompt sizes, in bytes.
    mean_prompt: f64,
    /// By what engines are compared.
    basis: Basis,
    learned: Learned,
}

/// An upstream that passed the filter.
struct Candidate {
    upstream: id::Upstream,
    grant: Grant,
    affinity: Affinity,
    ahead: Option<f64>,
    /// Expected cost; none where engines are not compared by it.
    cost: Option<Cost>,
    score: f64,
    has_affinity: bool,
    is_local: bool,
    /// The peers whose announcements show the room that it lends.
    lent: Option<Coverage>,
    /// What is known of an upstream that reports no load, where the demand is unknown.
    place: Option<Place>,
    /// Whether the request would be a probe of an upstream that is taken out.
    is_probe: bool,
}

/// What a request asks of its upstream, and what is known of it.
struct Asked<'a> {
    prefix: Option<u64>,
    demand: Option<Demand>,
    /// Homes of the prefix.
    homes: Vec<id::Upstream>,
    /// Work of the peers at each upstream.
    others: Others<'a>,
    /// Expected length of the answer.
    length: Length,
    /// Mean tokens that a request of this instance holds at an engine.
    mean_held: f64,
}

impl Balancer {
    /// Creates a balancer without a configuration or an instance list. All instances must have the
    /// same `bounds`.
    pub fn new(own: name::Instance, zone: name::Zone, bounds: Bounds, seed: u64) -> Self {
        Self {
            views: Views::new(own.clone(), bounds),
            own,
            zone,
            random: ChaCha8Rng::seed_from_u64(seed),
            config: Arc::default(),
            generation: Generation::default(),
            pools: Pools::default(),
            states: States::default(),
            budget: retry::Budget::new(Moment(0)),
            tickets: 0,
            peer_loads: PeerLoads::default(),
            restrictions: Restrictions::default(),
            limits: Limits::default(),
            judgement: Judgement::default(),
            mean_prompt: 0.0,
            basis: Basis::default(),
            learned: Learned::default(),
        }
    }

    /// Sets by what engines are compared.
    pub fn set_basis(&mut self, basis: Basis) {
        self.basis = basis;
    }

    /// Puts a configuration in force. The state of an upstream is kept if its name stays, except
    /// that an upstream that returns to service starts as unknown.
    pub fn configure(&mut self, config: &Arc<Config>, generation: Generation, now: Moment) {
        debug_assert!(generation >= self.generation);
        let old = std::mem::replace(&mut self.config, Arc::clone(config));
        self.generation = generation;
        for state in self.states.iter_mut() {
            let name = state.name.as_str();
            let was = old.upstream(name).is_some_and(|id| old.is_in_service(id));
            let is = config
                .upstream(name)
                .is_some_and(|id| config.is_in_service(id));
            if is && !was {
                state.reset(now);
            }
        }
        self.peer_loads.configure(config);
        self.judgement.configure(config);
        self.rebuild(now);
    }

    /// Records the instance list of a read that started at `begun` and ended at `now`.
    pub fn set_members(&mut self, members: Members, begun: Moment, now: Moment) {
        if self.views.update(members, begun, now) {
            self.limits.divide(live_instances(&self.views));
            self.rebuild(now);
        }
    }

    /// Records the notice of a draining peer that it takes no more slots.
    pub fn record_drain(&mut self, drain_notice: DrainNotice, now: Moment) {
        if self.views.record_drain(drain_notice) {
            self.rebuild(now);
        }
    }

    /// Releases all slots permanently, at the start of a graceful shutdown.
    pub fn leave(&mut self, now: Moment) {
        self.views.leave();
        self.rebuild(now);
    }

    /// Returns the notice for the peers if this instance is draining, otherwise none.
    pub fn drain_notice(&self) -> Option<DrainNotice> {
        if !self.views.is_leaving() {
            return None;
        }
        let mut running = Vec::new();
        for state in self.states.iter() {
            let held = state.slots.held.iter();
            running.extend(held.map(|held| (state.name.clone(), held.number)));
        }
        Some(DrainNotice {
            instance: self.own.clone(),
            running,
        })
    }

    /// Records a load report of an upstream.
    pub fn record_load(&mut self, upstream: &name::Upstream, load: Load, now: Moment) {
        if let Some(state) = self.states.by_name_mut(upstream) {
            state.record_load(load, now);
        }
    }

    /// Returns the upstreams whose load reports this instance needs.
    pub fn watched(&self) -> Vec<id::Upstream> {
        let reports = |id: &id::Upstream| {
            let upstream = &self.config.upstreams[*id];
            upstream.registration.is_none() && !upstream.versions.is_empty()
        };
        self.pools.used().into_iter().filter(reports).collect()
    }

    /// Returns the number of upstreams for which this instance keeps state.
    pub fn tracked_count(&self) -> usize {
        self.states.len()
    }

    /// Returns the suspicions of cold start, of this instance and its peers, that no load report
    /// has settled yet.
    pub fn suspicions(&self) -> Vec<Suspicion> {
        let mut suspicions = Vec::new();
        for state in self.states.iter() {
            let Some(since) = state.suspected() else {
                continue;
            };
            suspicions.push(Suspicion {
                upstream: state.name.clone(),
                since,
            });
        }
        suspicions
    }

    /// Records a suspicion that a peer announced.
    pub fn record_suspicion(&mut self, suspicion: &Suspicion) {
        if let Some(state) = self.states.by_name_mut(&suspicion.upstream) {
            state.record_suspicion(suspicion.since);
        }
    }

    /// Chooses an upstream for a request.
    ///
    /// The score combines the requests that this instance sent itself, lagging load reports, and
    /// prefix affinity. Where many instances share the upstreams, only a few randomly picked ones
    /// are compared ("the power of two choices", Mitzenmacher, 2001).
    ///
    /// # Errors
    ///
    /// Returns a refusal if no upstream can take the request now.
    pub fn choose(&mut self, query: &Query, now: Moment) -> Result<Choice, Refusal> {
        self.peer_loads.expire(&self.config, now);
        self.review(now);
        self.learned.paces.expire(now);
        let candidates = self.eligible(query, now)?;
        if let Some(probe) = candidates.iter().find(|candidate| candidate.is_probe) {
            self.judgement.record_probe(&self.config, probe.upstream);
            return Ok(self.begin(probe, query, now));
        }
        let sharers = self.sharers(candidates[0].upstream);
        let best = match self.least_wait(&candidates) {
            Some(best) => best,
            None => self.best(&candidates, sharers),
        };
        Ok(self.begin(best, query, now))
    }

    /// Returns the least work before the first event of an answer over all eligible upstreams, in
    /// tokens of the largest model. Chooses none of them.
    ///
    /// # Errors
    ///
    /// Returns a refusal if no upstream can take the request now.
    pub fn least_pending_work(&self, query: &Query, now: Moment) -> Result<f64, Refusal> {
        let candidates = self.eligible(query, now)?;
        let ahead = candidates.iter().filter_map(|candidate| candidate.ahead);
        Ok(ahead.min_by(f64::total_cmp).unwrap_or_default())
    }

    /// Returns the upstreams that may take a request whose ids belong to the configuration in
    /// force.
    fn eligible(&self, query: &Query, now: Moment) -> Result<Vec<Candidate>, Refusal> {
        if query.generation != self.generation {
            return Err(refusal(Reason::Generation));
        }
        let request = Request {
            service: query.service,
            version: query.version,
            organisation: query.organisation,
            excluded: query.excluded,
            regions: query.regions,
            deadline: query.deadline,
            priority: query.priority,
            is_repeatable: query.is_repeatable,
        };
        self.filter(now)
            .check_permitted(&request)
            .map_err(refusal)?;
        let asked = (query.prefix, query.demand);
        self.candidates(&request, asked, now)
    }

    /// Applies all filters to a choice again, immediately before its dispatch.
    pub fn recheck(&self, choice: &Choice, now: Moment) -> Result<(), Refusal> {
        let (request, upstream) = self.translate(choice).map_err(refusal)?;
        let state = self
            .states
            .by_name(&choice.upstream)
            .expect("the state of an upstream is kept until its last choice is finished");
        let held = Some((choice.grant, choice.ticket));
        let sharers = self.sharers(upstream);
        let grant = self
            .filter(now)
            .check(&request, upstream, state, sharers, held)
            .map_err(refusal)?;
        assert_eq!(
            grant, choice.grant,
            "a choice keeps its grant until it is finished"
        );
        assert!(self.config.is_in_service(upstream));
        if let Some(version) = request.version {
            assert!(
                self.config
                    .allows(request.organisation, request.service, version)
            );
        }
        Ok(())
    }

    /// Records that an upstream said that it is leaving: it is not chosen any more.
    pub fn record_leaving(&mut self, incarnation: Incarnation, now: Moment) {
        self.restrictions.record_leaving(incarnation, now);
    }

    /// Records that an upstream wants no requests until a time.
    pub fn record_rest(&mut self, incarnation: &Incarnation, until: Moment, now: Moment) {
        self.restrictions.record_rest(incarnation, until, now);
    }

    /// Records the limit in an answer of an upstream to this instance or to a peer.
    pub fn record_limit(&mut self, incarnation: &Incarnation, limit: Limit, now: Moment) {
        let sharers = live_instances(&self.views);
        self.limits.record(incarnation, limit, sharers, now);
    }

    /// Returns the limits to tell to peers.
    pub fn limits(&self, now: Moment) -> Vec<(Incarnation, Limit)> {
        let told = self.limits.told(now);
        told.map(|(incarnation, limit)| (incarnation.clone(), limit))
            .collect()
    }

    /// Removes the pending work of a choice once the first event of its answer has arrived.
    pub fn remove_pending(&mut self, upstream: &name::Upstream, ticket: u64) {
        if let Some(state) = self.states.by_name_mut(upstream) {
            state.remove_pending(ticket);
        }
    }

    /// Returns the work that this instance has running at each upstream, to be announced to its
    /// peers.
    pub fn loads(&self) -> Loads {
        let mut loads = Loads::new();
        for state in self.states.iter() {
            if state.running > 0 {
                loads.push((state.name.clone(), state.work()));
            }
        }
        loads
    }

    /// Records the work that a peer announced. `instances` is the number of peers.
    pub fn record_peer_loads(
        &mut self,
        instance: &name::Instance,
        loads: Loads,
        instances: usize,
        now: Moment,
    ) {
        self.peer_loads
            .record(&self.config, instance, loads, instances, now);
    }

    /// Returns what is to be told to peers of own tries, and what to log. `is_cut_off` says that the own
    /// links to upstreams are cut.
    pub fn evidence(&mut self, is_cut_off: bool, now: Moment) -> News {
        self.review(now);
        self.judgement.news(&self.config, is_cut_off, now)
    }

    /// Records what a peer told of its tries.
    pub fn record_evidence(&mut self, word: Word, now: Moment) {
        self.judgement.record_word(&self.config, word, now);
    }

    /// Judges the upstreams in use anew, if that is due.
    fn review(&mut self, now: Moment) {
        let scene = Scene {
            config: &self.config,
            pools: &self.pools,
            states: &self.states,
            restrictions: &self.restrictions,
            others: self.peer_loads.work(now),
            own: &self.own,
            live: self.views.live(),
            max_own_sharers: FULL_COMPARISON_MAX_SHARERS,
        };
        self.judgement.review(&scene, now);
    }

    /// Records the end of a choice. Returns a suspicion of cold start if the outcome raises one.
    pub fn finish(&mut self, choice: Choice, outcome: Outcome, now: Moment) -> Option<Suspicion> {
        let config = Arc::clone(&self.config);
        let id = config.upstream(choice.upstream.as_str());
        self.judgement.record_end(&config, &choice, outcome, now);
        let limit = id.map_or(0, |id| config.upstreams[id].warm);
        let state = self
            .states
            .by_name_mut(&choice.upstream)
            .expect("the state of an upstream is kept until its last choice is finished");
        let suspected = state.end((choice.grant, choice.ticket), outcome, limit, now);
        let run = state.runs.remove(choice.ticket);
        if let Some(run) = run {
            self.observe_end(&choice, &run, outcome, now);
        }
        suspected.then_some(Suspicion {
            upstream: choice.upstream,
            since: now,
        })
    }

    /// Records a request, not counting its retries, in the retry budget.
    pub fn record_request(&mut self, now: Moment) {
        self.budget.record_request(now);
    }

    /// Returns the delay before retry number `retry`, counted from 0, of a request with the given
    /// deadline, and charges the retry budget. Returns none if the request may not be retried.
    pub fn schedule_retry(&mut self, retry: u32, deadline: Moment, now: Moment) -> Option<Span> {
        let delay = retry::delay(retry, self.random.next_u64());
        if now + delay >= deadline || !self.budget.try_retry(now) {
            return None;
        }
        Some(delay)
    }

    fn filter(&self, now: Moment) -> Filter<'_> {
        Filter {
            config: &self.config,
            views: &self.views,
            now,
        }
    }

    /// Returns the upstreams that may take the request now, or the reason that is the likeliest to
    /// pass.
    fn candidates(
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
        Asked {
            prefix,
            demand,
            homes: prefix.map_or_else(Vec::new, |prefix| self.homes(prefix, used)),
            others: match demand {
                Some(_) => self.peer_loads.work(now),
                None => Others::default(),
            },
            length: demand.map_or_else(Length::default, |demand| self.learned.length(&demand, now)),
            mean_held: self.mean_held(),
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
        let score = match cost.map_or(by_prompt, |cost| Some(cost.total)) {
            Some(tokens) if is_local => tokens,
            Some(tokens) => tokens + OTHER_ZONE_COST_TOKENS,
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
    fn restriction(&self, upstream: id::Upstream, now: Moment) -> Option<Restriction> {
        let upstream = &self.config.upstreams[upstream];
        let registration = upstream.registration.as_ref()?;
        let number = registration.incarnation;
        self.restrictions.find(&upstream.name, number, now)
    }

    /// Returns how long this instance has to wait for room in the limit that a registered upstream
    /// named; none if there is room.
    fn limit_wait(&self, upstream: id::Upstream, now: Moment) -> Option<Wait> {
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
        let zone = self.config.zone(self.zone.as_str());
        let is_local = |upstream: id::Upstream| Some(self.config.upstreams[upstream].zone) == zone;
        if ranked
            .iter()
            .filter(|(_, upstream)| is_local(*upstream))
            .count()
            >= MIN_LOCAL_UPSTREAMS
        {
            ranked.retain(|(_, upstream)| is_local(*upstream));
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
    fn best<'a>(&mut self, candidates: &'a [Candidate], sharers: usize) -> &'a Candidate {
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

    fn begin(&mut self, candidate: &Candidate, query: &Query, now: Moment) -> Choice {
        self.tickets += 1;
        let ticket = self.tickets;
        let prompt = self.relative_prompt_size(query.prompt);
        self.states
            .in_use_mut(candidate.upstream)
            .begin(candidate.grant, ticket, prompt, now);
        if let Some(demand) = query.demand {
            let work = demand.work(candidate.affinity);
            self.states
                .in_use_mut(candidate.upstream)
                .add_pending(ticket, work, query.prefix, now);
            let number = self.incarnation(candidate.upstream);
            if let (Some(cost), Some(incarnation)) = (candidate.cost, number) {
                let length = self.learned.length(&demand, now);
                self.states.in_use_mut(candidate.upstream).runs.add(Run {
                    ticket,
                    incarnation,
                    work,
                    ahead: cost.queued,
                    // Without a claim on its length, the answer may arrive as a whole.
                    expected: demand.output.and(cost.first_event),
                    demand,
                    length,
                    sent: now,
                    begun: None,
                });
            }
        }
        let upstream = &self.config.upstreams[candidate.upstream];
        if let Some(registration) = &upstream.registration {
            let number = registration.incarnation;
            self.limits.record_dispatch(&upstream.name, number, now);
        }
        Choice {
            chosen_at: now,
            upstream: upstream.name.clone(),
            address: upstream.address,
            grant: candidate.grant,
            end: query.deadline,
            ahead: candidate.ahead,
            lent: candidate.lent,
            expected: candidate.cost.and_then(|cost| cost.first_event),
            generated: None,
            ticket,
            config: Arc::clone(&self.config),
            generation: self.generation,
            service: query.service,
            version: query.version,
            organisation: query.organisation,
            priority: query.priority,
        }
    }

    /// Returns the size of a prompt in relation to the mean, and adds it to the mean.
    fn relative_prompt_size(&mut self, prompt: Bytes) -> f64 {
        let bytes = (prompt.0 as f64).max(1.0);
        if self.mean_prompt == 0.0 {
            self.mean_prompt = bytes;
        }
        self.mean_prompt += PROMPT_SIZE_EWMA_WEIGHT * (bytes - self.mean_prompt);
        (bytes / self.mean_prompt).min(MAX_RELATIVE_PROMPT)
    }

    /// Translates a choice's request and upstream to the ids of the configuration in force.
    fn translate(&self, choice: &Choice) -> Result<(Request<'static>, id::Upstream), Reason> {
        let old = &choice.config;
        let new = &self.config;
        let upstream = new
            .upstream(choice.upstream.as_str())
            .filter(|&id| new.upstreams[id].address == choice.address)
            .ok_or(Reason::NoUpstream)?;
        let mut request = Request {
            service: choice.service,
            version: choice.version,
            organisation: choice.organisation,
            excluded: &[],
            // A choice complies with the regions of its request, and upstreams don't change their
            // region.
            regions: None,
            deadline: choice.end,
            priority: choice.priority,
            is_repeatable: false,
        };
        if choice.generation == self.generation {
            return Ok((request, upstream));
        }
        let service = old.services[choice.service].name.as_str();
        let organisation = old.organisations[choice.organisation].name.as_str();
        request.service = new.service(service).ok_or(Reason::NotAllowed)?;
        request.organisation = new.organisation(organisation).ok_or(Reason::NotAllowed)?;
        if let Some(version) = choice.version {
            let version = new.version(old.versions[version].name.as_str());
            request.version = Some(version.ok_or(Reason::Withdrawn)?);
        }
        Ok((request, upstream))
    }

    fn sharers(&self, upstream: id::Upstream) -> usize {
        let live = match self.views.live().len() {
            0 => ASSUMED_LIVE_COUNT,
            live => live,
        };
        self.pools.sharers(&self.config, upstream, live)
    }

    /// Divides the rates of the cold upstreams in use among the live instances. Neither changes
    /// between two rebuilds.
    fn divide_cold_rates(&mut self, used: &[id::Upstream], now: Moment) {
        for &id in used {
            let upstream = &self.config.upstreams[id];
            let Some(registration) = &upstream.registration else {
                continue;
            };
            if registration.cold_until <= now {
                continue;
            }
            let sharers = live_instances(&self.views);
            let share = rate_limit::share(&upstream.name, registration.cold_rate, sharers);
            self.states.in_use_mut(id).cold_share = share;
        }
    }

    /// Rebuilds pools, states and claims from the configuration and the instance list.
    fn rebuild(&mut self, now: Moment) {
        let config = Arc::clone(&self.config);
        let mut claims: Vec<(id::Upstream, Vec<Claim>)> = Vec::new();
        for (id, upstream) in config.upstreams.iter() {
            let owned = self.views.claims(&upstream.name, upstream.cold);
            if !owned.is_empty() {
                claims.push((id, owned));
            }
        }
        let slotted: Vec<id::Upstream> = claims.iter().map(|(id, _)| *id).collect();
        self.pools = Pools::new(&self.own, &config, &slotted);
        let used = self.pools.used();
        self.states.sync(&config, &used, now);
        self.divide_cold_rates(&used, now);
        for state in self.states.iter_mut() {
            state.slots.claims.clear();
        }
        for (id, owned) in claims {
            // An upstream that is out of service may have slots, but has no state.
            if let Some(state) = self.states.get_mut(id) {
                state.slots.claims = owned;
            }
        }
    }
}

/// Returns the instances that share the rates of upstreams.
fn live_instances(views: &Views) -> Sharers<'_> {
    Sharers {
        own: views.own(),
        live: views.live(),
        assumed: ASSUMED_LIVE_COUNT,
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

fn refusal(reason: Reason) -> Refusal {
    let retry_after = match reason {
        Reason::NoUpstream
        | Reason::NotAllowed
        | Reason::Withdrawn
        | Reason::NotServed
        | Reason::Region
        | Reason::Deadline => None,
        Reason::Generation => Some(Span::ZERO),
        Reason::Excluded | Reason::Late | Reason::Full | Reason::Resting | Reason::Limited => {
            Some(CAPACITY_RETRY_AFTER)
        }
        Reason::Cold | Reason::Failing => Some(RECOVERY_RETRY_AFTER),
        Reason::ZoneOut | Reason::Leaving => Some(OUTAGE_RETRY_AFTER),
    };
    Refusal {
        reason,
        retry_after,
    }
}
