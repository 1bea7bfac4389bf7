//! The balancer of one instance, which holds the state of its upstreams and chooses one of them for
//! each dispatch.

use crate::completion::{Basis, Learned};
use crate::demand::Loads;
use crate::filter::{ASSUMED_LIVE_COUNT, Filter, Reason, Request};
use crate::judgement::{Judgement, News, Scene, Word};
use crate::limit::{Limit, Limits};
use crate::load::Load;
use crate::peer_loads::PeerLoads;
use crate::pool::Pools;
use crate::query::{Choice, Outcome, Query, Refusal, Suspicion};
use crate::rate_limit::{self, Sharers};
use crate::restriction::{Incarnation, Restrictions};
use crate::retry;
use crate::runs::Run;
use crate::slots::{Bounds, Claim, DrainNotice, Members, Views};
use crate::states::States;
use config::Config;
use entity::id;
use entity::name;
use entity::time::Span;
use entity::unit::Bytes;
use entity::{Generation, Moment};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::sync::Arc;

mod candidates;
mod learning;
mod plain;

use candidates::Candidate;

/// Largest number of instances per upstream at which all eligible upstreams are compared.
const FULL_COMPARISON_MAX_SHARERS: usize = 32;

/// Weight of the newest prompt in the moving average of prompt sizes.
const PROMPT_SIZE_EWMA_WEIGHT: f64 = 0.01;

/// Upper bound of a prompt's size in relation to the mean.
const MAX_RELATIVE_PROMPT: f64 = 50.0;

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
        // An upstream that is only probed is idle, and takes no other request.
        let open = candidates.iter().filter(|candidate| !candidate.is_probe);
        let ahead = open.filter_map(|candidate| candidate.ahead);
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

fn refusal(reason: Reason) -> Refusal {
    let retry_after = match reason {
        Reason::NoUpstream
        | Reason::NotAllowed
        | Reason::Withdrawn
        | Reason::NotServed
        | Reason::Region
        | Reason::Deadline => None,
        Reason::Generation | Reason::Closing => Some(Span::ZERO),
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
