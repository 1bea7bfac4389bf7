//! The balancer of one instance: what it knows about upstreams, and the choice of one for each
//! dispatch.

use crate::demand::{Demand, Loads, OTHER_ZONE};
use crate::filter::{ASSUMED_LIVE, Filter, Grant, Reason, Work};
use crate::hash;
use crate::load::Load;
use crate::neighbours::Neighbours;
use crate::pool::Pools;
use crate::query::{Choice, Outcome, Query, Refusal, Suspicion};
use crate::retry;
use crate::score::{self, Affinity, Place};
use crate::slots::{Bounds, Ceased, Claim, Members, Views};
use crate::states::States;
use config::Config;
use entity::id;
use entity::name;
use entity::time::Span;
use entity::unit::Bytes;
use entity::{Generation, Map, Moment};
use rand::{Rng, RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::sync::Arc;

/// Instances that share an upstream up to which all upstreams are compared.
const FEW_SHARERS: usize = 32;

/// Upstreams of a pool that a prefix belongs to.
const HOMES: usize = 2;

/// Upstreams of the own zone from which on a prefix belongs to some of them: its prompts come from one
/// session, whose caller stays in a zone, and need not cross to another.
const ENOUGH_NEAR: usize = 2 * HOMES;

/// Upstreams picked at random, beside the first one, that are compared where many instances share them.
const PICKED: usize = 2;

/// Weight of the newest prompt in the moving average of sizes.
const NEWEST_PROMPT: f64 = 0.01;

/// Largest prompt, in mean prompts, that counts.
const LARGEST_PROMPT: f64 = 50.0;

/// When a caller may try again after a refusal for lack of room.
const ROOM_WAIT: Span = Span::from_secs(1);

/// When a caller may try again where upstreams are cold or failing.
const RECOVERY_WAIT: Span = Span::from_secs(2);

/// When a caller may try again where zones or upstreams are out.
const RETURN_WAIT: Span = Span::from_secs(10);

/// Chooses upstreams for one instance; owned by one task or behind a mutex.
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
    neighbours: Neighbours,
    /// Moving average of the sizes of prompts, in bytes.
    mean_prompt: f64,
}

/// An upstream that the filter lets through.
struct Candidate {
    upstream: id::Upstream,
    grant: Grant,
    affinity: Affinity,
    ahead: Option<f64>,
    score: f64,
    tied: bool,
    near: bool,
}

impl Balancer {
    /// A balancer without configuration or instance list. `bounds` are the same at all instances.
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
            neighbours: Neighbours::default(),
            mean_prompt: 0.0,
        }
    }

    /// Puts a configuration in force. What is known of upstreams is kept by their names; those that
    /// were out of service are unknown again.
    pub fn configure(&mut self, config: &Arc<Config>, generation: Generation, now: Moment) {
        debug_assert!(generation >= self.generation);
        let old = std::mem::replace(&mut self.config, Arc::clone(config));
        self.generation = generation;
        for state in self.states.iter_mut() {
            let name = state.name.as_str();
            let was = old.upstream(name).is_some_and(|id| old.in_service(id));
            let is = config
                .upstream(name)
                .is_some_and(|id| config.in_service(id));
            if is && !was {
                state.reset(now);
            }
        }
        self.rebuild(now);
    }

    /// Takes in the instance list, whose read began at `begun` and ended at `now`.
    pub fn members(&mut self, members: Members, begun: Moment, now: Moment) {
        if self.views.read(members, begun, now) {
            self.rebuild(now);
        }
    }

    /// Takes in the word of a leaving instance that it takes no slots any more.
    pub fn ceased(&mut self, word: Ceased, now: Moment) {
        if self.views.ceased(word) {
            self.rebuild(now);
        }
    }

    /// Gives up all slots for good, at the begin of a graceful shutdown.
    pub fn leave(&mut self, now: Moment) {
        self.views.leave();
        self.rebuild(now);
    }

    /// What a leaving instance tells the others; none while it is not leaving.
    pub fn word(&self) -> Option<Ceased> {
        if !self.views.leaving() {
            return None;
        }
        let mut running = Vec::new();
        for state in self.states.iter() {
            let held = state.slots.held.iter();
            running.extend(held.map(|held| (state.name.clone(), held.number)));
        }
        Some(Ceased {
            instance: self.own.clone(),
            running,
        })
    }

    /// Takes in a load report of an upstream.
    pub fn load(&mut self, upstream: &name::Upstream, load: Load, now: Moment) {
        if let Some(state) = self.states.named_mut(upstream) {
            state.report(load, now);
        }
    }

    /// Upstreams whose load reports this instance needs.
    pub fn watched(&self) -> Vec<id::Upstream> {
        let reports = |id: &id::Upstream| {
            let upstream = &self.config.upstreams[*id];
            upstream.registration.is_none() && !upstream.versions.is_empty()
        };
        self.pools.used().into_iter().filter(reports).collect()
    }

    /// How many upstreams this instance keeps state of.
    pub fn kept(&self) -> usize {
        self.states.len()
    }

    /// Suspicions of cold start that no load report has settled yet, of this and other instances.
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

    /// Takes in a suspicion of another instance.
    pub fn suspect(&mut self, suspicion: &Suspicion) {
        if let Some(state) = self.states.named_mut(&suspicion.upstream) {
            state.suspect(suspicion.since);
        }
    }

    /// Chooses an upstream for a request.
    ///
    /// The score weighs what this instance sent itself, lagging load reports and caches. Among many
    /// instances only a few upstreams are compared, picked at random ("the power of two choices",
    /// Mitzenmacher, 2001).
    pub fn choose(&mut self, query: &Query, now: Moment) -> Result<Choice, Refusal> {
        let candidates = self.allowed(query, now)?;
        let sharers = self.sharers(candidates[0].upstream);
        let best = self.best(&candidates, sharers);
        Ok(self.begin(best, query, now))
    }

    /// Work before the first event of the answer at the upstream where it is least, in tokens. Nothing
    /// is chosen.
    ///
    /// # Errors
    ///
    /// No upstream can take the request now.
    pub fn outlook(&self, query: &Query, now: Moment) -> Result<f64, Refusal> {
        let candidates = self.allowed(query, now)?;
        let ahead = candidates.iter().filter_map(|candidate| candidate.ahead);
        Ok(ahead.min_by(f64::total_cmp).unwrap_or_default())
    }

    /// The upstreams that may take a request of the configuration in force.
    fn allowed(&self, query: &Query, now: Moment) -> Result<Vec<Candidate>, Refusal> {
        if query.generation != self.generation {
            return Err(refusal(Reason::Generation));
        }
        let work = Work {
            service: query.service,
            version: query.version,
            organisation: query.organisation,
            excluded: query.excluded,
            regions: query.regions,
            deadline: query.deadline,
            priority: query.priority,
        };
        self.filter(now).permitted(&work).map_err(refusal)?;
        let asked = (query.prefix, query.demand);
        self.candidates(&work, asked, now).map_err(refusal)
    }

    /// Applies every filter to a choice again, immediately before its dispatch.
    pub fn recheck(&self, choice: &Choice, now: Moment) -> Result<(), Refusal> {
        let (work, upstream) = self.translate(choice).map_err(refusal)?;
        let state = self
            .states
            .named(&choice.upstream)
            .expect("a state is kept while choices of it are unfinished");
        let held = Some((choice.grant, choice.ticket));
        let sharers = self.sharers(upstream);
        let grant = self
            .filter(now)
            .check(&work, upstream, state, sharers, held)
            .map_err(refusal)?;
        assert_eq!(grant, choice.grant, "a choice keeps its grant");
        assert!(self.config.in_service(upstream));
        if let Some(version) = work.version {
            assert!(self.config.allows(work.organisation, work.service, version));
        }
        Ok(())
    }

    /// Notes that the first event of a choice has come.
    pub fn started(&mut self, upstream: &name::Upstream, ticket: u64) {
        if let Some(state) = self.states.named_mut(upstream) {
            state.started(ticket);
        }
    }

    /// What this instance has running at each upstream, to tell the others.
    pub fn loads(&self) -> Loads {
        let mut loads = Loads::new();
        for state in self.states.iter() {
            if state.running > 0 {
                loads.push((state.name.clone(), state.work()));
            }
        }
        loads
    }

    /// Takes in what another instance has running. `instances` is how many others there are.
    pub fn hear_loads(
        &mut self,
        instance: &name::Instance,
        loads: Loads,
        instances: usize,
        now: Moment,
    ) {
        self.neighbours.hear(instance, loads, instances, now);
    }

    /// Takes back a choice. Returns a suspicion of cold start, if the outcome raises one.
    pub fn finish(&mut self, choice: Choice, outcome: Outcome, now: Moment) -> Option<Suspicion> {
        let config = Arc::clone(&self.config);
        let id = config.upstream(choice.upstream.as_str());
        let limit = id.map_or(0, |id| config.upstreams[id].warm);
        let state = self
            .states
            .named_mut(&choice.upstream)
            .expect("a state is kept while choices of it are unfinished");
        let suspected = state.end((choice.grant, choice.ticket), outcome, limit, now);
        suspected.then_some(Suspicion {
            upstream: choice.upstream,
            since: now,
        })
    }

    /// Counts a request, not its retries, in the retry budget.
    pub fn request(&mut self, now: Moment) {
        self.budget.request(now);
    }

    /// The delay before retry number `retry`, counted from 0, of a request that is due at
    /// `deadline`; none if it may not be retried.
    pub fn retry(&mut self, retry: u32, deadline: Moment, now: Moment) -> Option<Span> {
        let delay = retry::delay(retry, self.random.next_u64());
        if now + delay >= deadline || !self.budget.retry(now) {
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

    /// The upstreams that may take the request now, or the reason that is the likeliest to pass.
    fn candidates(
        &self,
        work: &Work,
        (prefix, demand): (Option<u64>, Option<Demand>),
        now: Moment,
    ) -> Result<Vec<Candidate>, Reason> {
        let others = match demand {
            Some(_) => self.neighbours.work(&self.config, now),
            None => Map::default(),
        };
        let filter = self.filter(now);
        let pool = self.pools.pool(work.service, work.version);
        let homes = prefix.map(|prefix| self.homes(prefix, &pool.used));
        let zone = self.config.zone(self.zone.as_str());
        let mut candidates = Vec::with_capacity(pool.used.len());
        let mut strongest = self.absence(work);
        for &upstream in &pool.used {
            let state = self.states.used(upstream);
            let sharers = self.sharers(upstream);
            let grant = match filter.check(work, upstream, state, sharers, None) {
                Ok(grant) => grant,
                Err(reason) => {
                    strongest = strongest.max(reason);
                    continue;
                }
            };
            let home = homes
                .as_ref()
                .is_some_and(|homes| homes.contains(&upstream));
            let affinity = match prefix {
                Some(prefix) if state.caches(prefix) || state.was_sent(prefix, now) => {
                    Affinity::Cached
                }
                _ if home => Affinity::Home,
                _ => Affinity::None,
            };
            let place = Place {
                upstream,
                sharers,
                affinity,
            };
            let ahead = demand.map(|demand| {
                let mut work = state.work();
                if let Some(others) = others.get(upstream) {
                    work.pending += others.pending;
                    work.running += others.running;
                }
                demand.ahead(affinity, work)
            });
            let near = zone == Some(self.config.upstreams[upstream].zone);
            let score = match ahead {
                Some(ahead) if near => ahead,
                Some(ahead) => ahead + OTHER_ZONE,
                None => score::score(&self.config, zone, place, state, now),
            };
            candidates.push(Candidate {
                upstream,
                grant,
                affinity,
                ahead,
                score,
                tied: affinity != Affinity::None,
                near,
            });
        }
        // What a cold upstream bears is kept for when no warm one has room.
        if candidates.iter().any(|one| one.grant != Grant::Paced) {
            candidates.retain(|one| one.grant != Grant::Paced);
        }
        if candidates.is_empty() {
            return Err(strongest);
        }
        Ok(candidates)
    }

    /// Why a pool without upstreams has none.
    fn absence(&self, work: &Work) -> Reason {
        let mut reason = Reason::NoUpstream;
        for (id, upstream) in self.config.upstreams.iter() {
            let serves = match work.version {
                Some(version) => upstream.versions.binary_search(&version).is_ok(),
                None => upstream.services.binary_search(&work.service).is_ok(),
            };
            if !serves || self.config.in_service(id) {
                continue;
            }
            let zone = &self.config.zones[upstream.zone];
            let out = zone.state == config::Presence::Out;
            reason = reason.max(if out {
                Reason::ZoneOut
            } else {
                Reason::Leaving
            });
        }
        reason
    }

    /// The upstreams of a pool that a prefix belongs to, by rendezvous hashing.
    fn homes(&self, prefix: u64, pool: &[id::Upstream]) -> Vec<id::Upstream> {
        let mut ranked: Vec<(u64, id::Upstream)> = Vec::with_capacity(pool.len());
        for &upstream in pool {
            let name = hash::text(self.config.upstreams[upstream].name.as_str());
            ranked.push((hash::weight(prefix, name), upstream));
        }
        let zone = self.config.zone(self.zone.as_str());
        let near = |upstream: id::Upstream| Some(self.config.upstreams[upstream].zone) == zone;
        if ranked
            .iter()
            .filter(|(_, upstream)| near(*upstream))
            .count()
            >= ENOUGH_NEAR
        {
            ranked.retain(|(_, upstream)| near(*upstream));
        }
        ranked.sort_unstable_by(|left, right| right.cmp(left));
        ranked.truncate(HOMES);
        ranked.into_iter().map(|(_, upstream)| upstream).collect()
    }

    /// The best of all where few instances share the upstreams. Where many do, hardly anything of an
    /// upstream's load is this instance's own, and all instances would take the same: then the best
    /// of three picked at random, two of them in the own zone if it has enough, and of those that the
    /// prefix is tied to.
    fn best<'a>(&mut self, candidates: &'a [Candidate], sharers: usize) -> &'a Candidate {
        let count = candidates.len();
        let first = self.random.random_range(0..count);
        let near: Vec<usize> = (0..count).filter(|&one| candidates[one].near).collect();
        let mut picked = vec![first];
        for _ in 0..PICKED {
            picked.push(match near.len() {
                0..ENOUGH_NEAR => self.random.random_range(0..count),
                enough => near[self.random.random_range(0..enough)],
            });
        }
        let mut best = &candidates[first];
        // Equal scores go to the first in a random rotation.
        for offset in 0..count {
            let index = (first + offset) % count;
            let candidate = &candidates[index];
            let compared = sharers <= FEW_SHARERS || candidate.tied || picked.contains(&index);
            if compared && candidate.score < best.score {
                best = candidate;
            }
        }
        best
    }

    fn begin(&mut self, candidate: &Candidate, query: &Query, now: Moment) -> Choice {
        self.tickets += 1;
        let ticket = self.tickets;
        let prompt = self.relative(query.prompt);
        self.states
            .used_mut(candidate.upstream)
            .begin(candidate.grant, ticket, prompt, now);
        if let Some(demand) = query.demand {
            let work = demand.work(candidate.affinity);
            self.states
                .used_mut(candidate.upstream)
                .expect(ticket, work, query.prefix, now);
        }
        let upstream = &self.config.upstreams[candidate.upstream];
        Choice {
            made: now,
            upstream: upstream.name.clone(),
            address: upstream.address,
            grant: candidate.grant,
            end: query.deadline,
            ahead: candidate.ahead,
            ticket,
            config: Arc::clone(&self.config),
            generation: self.generation,
            service: query.service,
            version: query.version,
            organisation: query.organisation,
            priority: query.priority,
        }
    }

    /// The size of a prompt in relation to the mean.
    fn relative(&mut self, prompt: Bytes) -> f64 {
        let bytes = (prompt.0 as f64).max(1.0);
        if self.mean_prompt == 0.0 {
            self.mean_prompt = bytes;
        }
        self.mean_prompt += NEWEST_PROMPT * (bytes - self.mean_prompt);
        (bytes / self.mean_prompt).min(LARGEST_PROMPT)
    }

    /// A choice's work and upstream in the ids of the configuration in force.
    fn translate(&self, choice: &Choice) -> Result<(Work<'static>, id::Upstream), Reason> {
        let old = &choice.config;
        let new = &self.config;
        let upstream = new
            .upstream(choice.upstream.as_str())
            .filter(|&id| new.upstreams[id].address == choice.address)
            .ok_or(Reason::NoUpstream)?;
        let mut work = Work {
            service: choice.service,
            version: choice.version,
            organisation: choice.organisation,
            excluded: &[],
            // A choice was made within the regions of its request, and upstreams stay in theirs.
            regions: None,
            deadline: choice.end,
            priority: choice.priority,
        };
        if choice.generation == self.generation {
            return Ok((work, upstream));
        }
        let service = old.services[choice.service].name.as_str();
        let organisation = old.organisations[choice.organisation].name.as_str();
        work.service = new.service(service).ok_or(Reason::NotAllowed)?;
        work.organisation = new.organisation(organisation).ok_or(Reason::NotAllowed)?;
        if let Some(version) = choice.version {
            let version = new.version(old.versions[version].name.as_str());
            work.version = Some(version.ok_or(Reason::Withdrawn)?);
        }
        Ok((work, upstream))
    }

    fn sharers(&self, upstream: id::Upstream) -> usize {
        let live = match self.views.live().len() {
            0 => ASSUMED_LIVE,
            live => live,
        };
        self.pools.sharers(&self.config, upstream, live)
    }

    /// Brings pools, states and claims in line with the configuration and the instance list.
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
        self.states.keep(&config, &self.pools.used(), now);
        for state in self.states.iter_mut() {
            state.slots.claims.clear();
        }
        for (id, owned) in claims {
            // An upstream out of service has slots, but no state.
            if let Some(state) = self.states.get_mut(id) {
                state.slots.claims = owned;
            }
        }
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
        Reason::Excluded | Reason::Full => Some(ROOM_WAIT),
        Reason::Cold | Reason::Failing => Some(RECOVERY_WAIT),
        Reason::ZoneOut | Reason::Leaving => Some(RETURN_WAIT),
    };
    Refusal {
        reason,
        retry_after,
    }
}
