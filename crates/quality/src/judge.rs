//! State of one instance: ratings and measurements of versions, and the decisions based on them.

use crate::cascade;
use crate::choice::{self, Class, Escalation, Offer, Plan, Query, Reason, Requirement};
use crate::evidence::{Evidence, Finding, Tally, window};
use crate::record::Record;
use crate::rollout::{self, Delivery};
use crate::totals::{ReceivedTotals, TotalsUpdate};
use crate::verdict::{self, Brake, Verdict};
use crate::verdict_set::VerdictSet;
use config::model::{self, Config};
use entity::unit::{Share, Tokens};
use entity::{Generation, Map, Moment, Span, id, name};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Number of observers of a rollout's evidence that is assumed until [`Judge::set_observers`] sets
/// another.
pub const DEFAULT_OBSERVERS: u32 = 16;

/// Number of recent windows whose own tallies an instance sends to its peers.
const SENT_WINDOWS: u64 = 8;

/// Factor applied to the target that gives the rating below which an answer of a candidate version
/// is escalated.
const ROLLOUT_THRESHOLD_FACTOR: f64 = 0.75;

/// Number of ratings below which all answers of a version are rated.
const MIN_RATINGS_FOR_SAMPLING: f64 = 50.0;

/// Share of answers that are rated outside rollouts.
const SAMPLING_SHARE: Share = Share::percent(10);

/// A rating of one answer.
#[derive(Clone, Copy, Debug)]
pub struct Rating<'a> {
    /// The rated service.
    pub service: &'a name::Service,
    /// The version that produced the answer.
    pub version: &'a name::Version,
    /// Whether the request had been escalated to this version.
    pub escalated: bool,
    /// The score, from 0 to 1.
    pub score: f64,
    /// The weight, from 0 to 1. It must not depend on the score.
    pub weight: f64,
    /// Time at which the rating arrived, in microseconds since the Unix epoch.
    pub at: Moment,
}

/// Sums over one instance's ratings of a rollout in one window, as exchanged between peers.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Summary {
    /// The rollout that the ratings belong to.
    pub rollout: verdict::Rollout,
    /// The target mean rating that the tally was computed against.
    pub target: Share,
    /// Name of the sending instance, distinct for each of its incarnations.
    pub source: Box<str>,
    /// Number of the window; see [`window`].
    pub window: u64,
    /// Sums over the ratings of the window.
    pub tally: Tally,
}

/// State of an ongoing rollout.
#[derive(Clone, Debug)]
struct Canary {
    spec: verdict::Rollout,
    target: Share,
    evidence: Evidence,
    braked: bool,
}

/// Settings of a service in the configuration in force.
#[derive(Clone, Debug)]
struct Policy {
    target: f64,
    cascade: bool,
    /// Versions in the order of their ids, each with the index of its record.
    versions: Vec<(id::Version, usize)>,
    rollout: Option<Split>,
}

/// The rollout of a service and the index of its state in `canaries`.
#[derive(Clone, Copy, Debug)]
struct Split {
    from: id::Version,
    to: id::Version,
    canary: usize,
}

/// Ratings, verdicts and the decisions that follow from them.
#[derive(Debug)]
pub struct Judge {
    source: Box<str>,
    rng: ChaCha8Rng,
    generation: Generation,
    observers: u32,
    rating_outage: bool,
    services: Map<id::Service, Policy>,
    prices: Map<id::Version, (f64, f64)>,
    /// Sorted by service and version; kept across generations.
    records: Vec<Record>,
    canaries: Vec<Canary>,
    received_totals: ReceivedTotals,
    verdict_set: VerdictSet,
    pending_verdicts: Vec<Verdict>,
}

impl Judge {
    /// Returns a judge without ratings or configuration.
    ///
    /// `source` identifies this incarnation of the instance among all instances.
    pub fn new(seed: u64, source: &str) -> Self {
        Self {
            source: source.into(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            generation: Generation::default(),
            observers: DEFAULT_OBSERVERS,
            rating_outage: false,
            services: Map::default(),
            prices: Map::default(),
            records: Vec::new(),
            canaries: Vec::new(),
            received_totals: ReceivedTotals::default(),
            verdict_set: VerdictSet::default(),
            pending_verdicts: Vec::new(),
        }
    }

    /// Sets how many observers may evaluate the evidence of a rollout during its lifetime: the
    /// number of instances, counting each restart as another one.
    pub fn set_observers(&mut self, observers: u32) {
        self.observers = observers;
    }

    /// Sets whether the rating service is unavailable. During an outage no answer is held for its
    /// rating, so there are no cascades either.
    pub fn set_rating_outage(&mut self, out: bool) {
        self.rating_outage = out;
    }

    /// Adopts a configuration that has come into force.
    pub fn configure(&mut self, config: &Config, generation: Generation) {
        assert!(
            generation >= self.generation,
            "the generation must not decrease"
        );
        self.generation = generation;
        let specs: Vec<_> = config
            .rollouts
            .iter()
            .map(|rollout| spec(config, rollout))
            .collect();
        for lift in self.verdict_set.lifts(&specs, generation) {
            self.verdict_set.apply(&lift);
            self.pending_verdicts.push(lift);
        }
        self.start_canaries(config, specs);
        self.prices = Map::new(config.versions.values().iter().map(prices).collect());
        self.add_records(config);
        let policies = config
            .services
            .iter()
            .map(|(id, service)| self.policy(config, id, service));
        self.services = Map::new(policies.collect());
    }

    /// Records a rating. A rating of a service or version that is not in force is dropped.
    pub fn rate(&mut self, rating: &Rating<'_>) {
        let Ok(index) = self.find(rating.service, rating.version) else {
            return;
        };
        let record = &mut self.records[index];
        if rating.escalated {
            record.escalated.add(rating.score, rating.weight, rating.at);
            return;
        }
        record.rate(rating.score, rating.weight, rating.at);
        let source = &self.source;
        let canary = self.canaries.iter_mut().position(|canary| {
            canary.spec.service == *rating.service && canary.spec.to == *rating.version
        });
        let Some(canary) = canary else {
            return;
        };
        let evidence = &mut self.canaries[canary].evidence;
        evidence.add(source, rating.score, rating.weight, rating.at);
        self.check_brake(canary, rating.at);
    }

    /// Records the latency of a complete answer and the number of its generated tokens.
    pub fn measure(
        &mut self,
        service: &name::Service,
        version: &name::Version,
        latency: Span,
        output: Tokens,
    ) {
        if let Ok(index) = self.find(service, version) {
            self.records[index].measure(latency, output);
        }
    }

    /// Chooses the versions that serve a request. Returns `None` if no candidate may serve it.
    pub fn plan(&mut self, query: &Query<'_>) -> Option<Plan> {
        let draw = Share::from_ppm(self.rng.random_range(0..Share::WHOLE.ppm()));
        let policy = self.services.get(query.service)?;
        let offers = self.offers(policy, query);
        if let Some(plan) = self.canary_plan(policy, query, &offers) {
            return Some(plan);
        }
        let new = policy.rollout.map(|split| split.to);
        // If only the candidate version is allowed, no other version can serve the request.
        let mut old = offers.clone();
        if offers.len() > 1 {
            old.retain(|offer| Some(offer.version) != new);
        }
        let plan = choice::choose(&old, policy.target, query.now, |cheap, expensive| {
            self.can_cascade(policy, query, cheap, expensive)
        })?;
        let requirement = Requirement {
            target: policy.target,
            cascade: policy.cascade,
        };
        let Some(first) = choice::explore(&old, plan.first, requirement, draw, query.now) else {
            return Some(plan);
        };
        Some(Plan {
            first,
            escalate: None,
            reason: Reason::Exploration,
        })
    }

    /// Returns the plan for a request whose session falls into the canary share of a rollout.
    fn canary_plan(
        &self,
        policy: &Policy,
        query: &Query<'_>,
        offers: &[Offer<'_>],
    ) -> Option<Plan> {
        let split = policy.rollout?;
        let to = offers.iter().find(|offer| offer.version == split.to)?;
        let from = offers.iter().find(|offer| offer.version == split.from);
        let fallback = from.filter(|from| self.can_cascade(policy, query, to, from));
        let delivery = match fallback {
            Some(_) => Delivery::Held,
            None if policy.cascade => Delivery::Direct,
            None => Delivery::NeverHeld,
        };
        if query.position >= self.split_share(split, delivery, query.now) {
            return None;
        }
        Some(Plan {
            first: split.to,
            escalate: fallback.map(|from| Escalation {
                version: from.version,
                threshold: policy.target * ROLLOUT_THRESHOLD_FACTOR,
            }),
            reason: Reason::Rollout,
        })
    }

    /// Returns whether an answer may be held for its rating and be escalated to another version.
    fn can_cascade(
        &self,
        policy: &Policy,
        query: &Query<'_>,
        first: &Offer<'_>,
        second: &Offer<'_>,
    ) -> bool {
        policy.cascade && !self.rating_outage && fits_budget(query, first, second)
    }

    /// Returns the share of new sessions of a service that start on the candidate version of its
    /// rollout. Where the service allows cascades, this is the share for answers that are held for
    /// their rating. Without a rollout the share is zero.
    pub fn canary_share(&self, service: id::Service, now: Moment) -> Share {
        let Some(policy) = self.services.get(service) else {
            return Share::NONE;
        };
        let delivery = if policy.cascade {
            Delivery::Held
        } else {
            Delivery::NeverHeld
        };
        policy
            .rollout
            .map_or(Share::NONE, |split| self.split_share(split, delivery, now))
    }

    fn split_share(&self, split: Split, delivery: Delivery, now: Moment) -> Share {
        let canary = &self.canaries[split.canary];
        if canary.braked {
            return Share::NONE;
        }
        let spec = &canary.spec;
        rollout::share(spec.share, spec.limit, &canary.evidence, delivery, now)
    }

    /// Returns whether a version is braked for a service. A braked version receives no new work,
    /// not even from sessions that are pinned to it.
    pub fn is_braked(&self, service: id::Service, version: id::Version) -> bool {
        let split = self.services.get(service).and_then(|policy| policy.rollout);
        split.is_some_and(|split| split.to == version && self.canaries[split.canary].braked)
    }

    /// Returns the share of a version's answers for a service that should be rated: all of them
    /// while the version is the candidate of a rollout or has few ratings. Answers to exploration
    /// requests should always be rated.
    pub fn sampling_share(&self, service: id::Service, version: id::Version, now: Moment) -> Share {
        let Some(policy) = self.services.get(service) else {
            return Share::NONE;
        };
        let is_candidate = policy.rollout.is_some_and(|split| split.to == version);
        let found = policy
            .versions
            .binary_search_by_key(&version, |(version, _)| *version);
        let count = found.map_or(0.0, |index| {
            self.records[policy.versions[index].1].posterior.count(now)
        });
        if is_candidate || count < MIN_RATINGS_FOR_SAMPLING {
            return Share::WHOLE;
        }
        SAMPLING_SHARE
    }

    /// Returns the record of a version for a service.
    pub fn record(&self, service: &name::Service, version: &name::Version) -> Option<&Record> {
        self.find(service, version)
            .ok()
            .map(|index| &self.records[index])
    }

    /// Returns and clears the verdicts that this instance reached since the last call. The caller
    /// appends them to the `verdicts` stream, sends them to peers and logs each as an event of the
    /// event log.
    pub fn take_verdicts(&mut self) -> Vec<Verdict> {
        std::mem::take(&mut self.pending_verdicts)
    }

    /// Returns all known verdicts, whether reached by this instance or received.
    pub fn verdicts(&self) -> Vec<Verdict> {
        self.verdict_set.all()
    }

    /// Returns a digest of [`Judge::verdicts`]. Instances with equal digests hold the same
    /// verdicts.
    pub fn verdicts_digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        for verdict in self.verdicts() {
            verdict.to_record().hash(&mut hasher);
        }
        hasher.finish()
    }

    /// Applies a verdict from the log or from a peer. Returns whether it changed the set of
    /// verdicts.
    pub fn apply(&mut self, verdict: &Verdict) -> bool {
        let changed = self.verdict_set.apply(verdict);
        self.refresh_brakes();
        changed
    }

    /// Returns this instance's own tallies of the recent windows, to be sent to peers. Each
    /// replaces the previous one for the same rollout and window.
    pub fn summaries(&self, now: Moment) -> Vec<Summary> {
        let oldest = window(now).saturating_sub(SENT_WINDOWS);
        let mut summaries = Vec::new();
        for canary in &self.canaries {
            for (window, tally) in canary.evidence.sums(&self.source) {
                if window < oldest || tally.ratings == 0 {
                    continue;
                }
                summaries.push(Summary {
                    rollout: canary.spec.clone(),
                    target: canary.target,
                    source: self.source.clone(),
                    window,
                    tally: *tally,
                });
            }
        }
        summaries
    }

    /// Merges a peer's tally. Returns whether it changed the evidence. A duplicate, an older tally,
    /// and one of a rollout that is not in force change nothing.
    pub fn merge(&mut self, summary: &Summary, now: Moment) -> bool {
        if summary.source == self.source || summary.window > window(now) + 1 {
            return false;
        }
        let canary = self
            .canaries
            .iter()
            .position(|canary| canary.spec == summary.rollout && canary.target == summary.target);
        let Some(canary) = canary else {
            return false;
        };
        let evidence = &mut self.canaries[canary].evidence;
        if !evidence.merge(&summary.source, summary.window, &summary.tally, now) {
            return false;
        }
        self.check_brake(canary, now);
        true
    }

    /// Returns totals of this instance's own ratings that are to be sent to peers, and marks them
    /// as sent. Returns at most `limit` updates, those with the most unsent ratings first.
    pub fn take_unsent_totals(&mut self, limit: usize) -> Vec<TotalsUpdate> {
        let mut changed: Vec<usize> = (0..self.records.len()).collect();
        changed.retain(|index| self.records[*index].own.ratings > self.records[*index].sent);
        let unsent = |index: &usize| {
            let record = &self.records[*index];
            std::cmp::Reverse(record.own.ratings - record.sent)
        };
        changed.sort_by_key(unsent);
        changed.truncate(limit);
        let mut updates = Vec::with_capacity(changed.len());
        for index in changed {
            let record = &mut self.records[index];
            record.sent = record.own.ratings;
            updates.push(TotalsUpdate {
                service: record.service.clone(),
                version: record.version.clone(),
                source: self.source.clone(),
                totals: record.own.clone(),
            });
        }
        updates
    }

    /// Merges a peer's totals. Returns whether they contained new ratings.
    pub fn receive(&mut self, update: &TotalsUpdate, now: Moment) -> bool {
        if update.source == self.source {
            return false;
        }
        let Ok(index) = self.find(&update.service, &update.version) else {
            return false;
        };
        self.received_totals
            .receive(update, &mut self.records[index], now)
    }

    /// Brakes a rollout if its evidence has reached the limit.
    fn check_brake(&mut self, canary: usize, at: Moment) {
        let canary = &self.canaries[canary];
        let limit = rollout::log_limit(canary.spec.false_alarm, self.observers);
        if canary.braked || canary.evidence.log_value() < limit {
            return;
        }
        let verdict = Verdict::Brake(Brake {
            rollout: canary.spec.clone(),
            generation: self.generation,
            at,
            evidence: Finding::new(&canary.evidence, limit),
        });
        self.apply(&verdict);
        self.pending_verdicts.push(verdict);
    }

    fn refresh_brakes(&mut self) {
        for canary in &mut self.canaries {
            let brake = self.verdict_set.brake(&canary.spec, self.generation);
            canary.braked = brake.is_some();
        }
    }

    /// Keeps the evidence of rollouts whose statement and target are unchanged, and starts the
    /// others without evidence.
    fn start_canaries(&mut self, config: &Config, specs: Vec<verdict::Rollout>) {
        let mut canaries = Vec::new();
        for (rollout, spec) in config.rollouts.iter().zip(specs) {
            let target = config.services[rollout.service].quality;
            let existing = self
                .canaries
                .iter()
                .find(|canary| canary.spec == spec && canary.target == target);
            canaries.push(existing.cloned().unwrap_or_else(|| Canary {
                spec,
                target,
                evidence: Evidence::new(target.fraction()),
                braked: false,
            }));
        }
        self.canaries = canaries;
        self.refresh_brakes();
    }

    /// Adds the missing records of services and versions.
    fn add_records(&mut self, config: &Config) {
        for service in config.services.values() {
            for version in &service.versions {
                let version = &config.versions[*version].name;
                if let Err(index) = self.find(&service.name, version) {
                    let record = Record::new(service.name.clone(), version.clone());
                    self.records.insert(index, record);
                }
            }
        }
    }

    fn policy(&self, config: &Config, id: id::Service, service: &model::Service) -> Policy {
        let mut versions = Vec::new();
        for version in &service.versions {
            let index = self.find(&service.name, &config.versions[*version].name);
            versions.push((
                *version,
                index.expect("add_records adds a record for every version"),
            ));
        }
        versions.sort_unstable();
        let canary = config
            .rollouts
            .iter()
            .position(|rollout| rollout.service == id);
        Policy {
            target: service.quality.fraction(),
            cascade: service.cascade,
            versions,
            rollout: canary.map(|canary| Split {
                from: config.rollouts[canary].from,
                to: config.rollouts[canary].to,
                canary,
            }),
        }
    }

    /// Returns offers for the candidates of a query, except for braked versions.
    fn offers(&self, policy: &Policy, query: &Query<'_>) -> Vec<Offer<'_>> {
        let mut offers = Vec::with_capacity(query.candidates.len());
        for version in query.candidates {
            if self.is_braked(query.service, *version) {
                continue;
            }
            let found = policy
                .versions
                .binary_search_by_key(version, |(version, _)| *version);
            let Ok(found) = found else {
                continue;
            };
            let record = &self.records[policy.versions[found].1];
            let (price_in, price_out) = self.prices[*version];
            offers.push(Offer {
                version: *version,
                cost: price_in * query.prompt.0 as f64 + price_out * record.output(),
                record,
            });
        }
        offers
    }

    fn find(&self, service: &name::Service, version: &name::Version) -> Result<usize, usize> {
        self.records
            .binary_search_by(|record| (&record.service, &record.version).cmp(&(service, version)))
    }
}

/// Returns whether there is time to hold an answer for its rating and to ask a second version.
fn fits_budget(query: &Query<'_>, cheap: &Offer<'_>, expensive: &Offer<'_>) -> bool {
    if query.streamed {
        return false;
    }
    match query.class {
        Class::Interactive => cascade::fits(cheap, expensive, query.budget),
        Class::Batch => {
            let unknown = cheap.record.latency().is_none() || expensive.record.latency().is_none();
            unknown || cascade::fits(cheap, expensive, query.budget)
        }
    }
}

/// Returns the prices of a prompt token and of a generated token, in credits.
fn prices(version: &model::Version) -> (f64, f64) {
    (
        version.price_in.credits() / 1e3,
        version.price_out.credits() / 1e3,
    )
}

/// Returns a rollout as the configuration states it, with names instead of ids.
fn spec(config: &Config, rollout: &model::Rollout) -> verdict::Rollout {
    verdict::Rollout {
        service: config.services[rollout.service].name.clone(),
        from: config.versions[rollout.from].name.clone(),
        to: config.versions[rollout.to].name.clone(),
        share: rollout.share,
        limit: rollout.limit,
        false_alarm: rollout.false_alarm,
    }
}
