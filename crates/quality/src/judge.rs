//! The state of one instance: what it knows about versions, and what follows from it.

use crate::cascade;
use crate::choice::{self, Class, Escalation, Offer, Plan, Query, Reason, Wanted};
use crate::evidence::{Evidence, Finding, Tally, window};
use crate::record::Record;
use crate::rollout::{self, Delivery};
use crate::standing::Standing;
use crate::totals::{Hearing, Telling};
use crate::verdict::{self, Brake, Verdict};
use config::model::{self, Config};
use entity::unit::{Share, Tokens};
use entity::{Generation, Map, Moment, Span, id, name};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::hash::{DefaultHasher, Hash, Hasher};

/// Viewers of a roll-out's evidence that are assumed until [`Judge::set_viewers`] says otherwise.
pub const DEFAULT_VIEWERS: u32 = 16;

/// Windows of this instance's own sums that it tells others.
const TOLD_WINDOWS: u64 = 8;

/// Part of the target below which an answer of a version on trial is escalated.
const TRIAL_THRESHOLD: f64 = 0.75;

/// Ratings below which all answers of a version are rated.
const FEW_RATINGS: f64 = 50.0;

/// Share of answers that are rated outside roll-outs.
const SAMPLING: Share = Share::percent(10);

/// One rating of one answer.
#[derive(Clone, Copy, Debug)]
pub struct Rating<'a> {
    /// The service.
    pub service: &'a name::Service,
    /// The version that gave the answer.
    pub version: &'a name::Version,
    /// Whether the request had been escalated to this version.
    pub escalated: bool,
    /// The score, from 0 to 1.
    pub score: f64,
    /// The weight, from 0 to 1; it may not depend on the score.
    pub weight: f64,
    /// When the rating arrived, in microseconds since the Unix epoch.
    pub at: Moment,
}

/// Sums of one instance's ratings of a roll-out in one window, as instances tell each other.
#[derive(Clone, Debug, PartialEq, serde::Serialize, serde::Deserialize)]
pub struct Summary {
    /// The roll-out.
    pub rollout: verdict::Rollout,
    /// The target that the ratings were held against.
    pub target: Share,
    /// The instance, distinct for each of its lives.
    pub source: Box<str>,
    /// The window.
    pub window: u64,
    /// The sums.
    pub tally: Tally,
}

/// A roll-out under way.
#[derive(Clone, Debug)]
struct Trial {
    stated: verdict::Rollout,
    target: Share,
    evidence: Evidence,
    braked: bool,
}

/// What the configuration in force says about a service.
#[derive(Clone, Debug)]
struct Policy {
    target: f64,
    cascade: bool,
    /// Versions in the order of their ids, each with the index of its record.
    versions: Vec<(id::Version, usize)>,
    rollout: Option<Split>,
}

/// The roll-out of a service, with the index of its trial.
#[derive(Clone, Copy, Debug)]
struct Split {
    from: id::Version,
    to: id::Version,
    trial: usize,
}

/// Ratings, verdicts and the decisions that follow from them.
#[derive(Debug)]
pub struct Judge {
    source: Box<str>,
    rng: ChaCha8Rng,
    generation: Generation,
    viewers: u32,
    ratings_out: bool,
    services: Map<id::Service, Policy>,
    prices: Map<id::Version, (f64, f64)>,
    /// By service and version; kept over generations.
    records: Vec<Record>,
    trials: Vec<Trial>,
    hearing: Hearing,
    standing: Standing,
    unpublished: Vec<Verdict>,
}

impl Judge {
    /// A judge that knows nothing.
    ///
    /// `source` names this life of this instance among all instances.
    pub fn new(seed: u64, source: &str) -> Self {
        Self {
            source: source.into(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            generation: Generation::default(),
            viewers: DEFAULT_VIEWERS,
            ratings_out: false,
            services: Map::default(),
            prices: Map::default(),
            records: Vec::new(),
            trials: Vec::new(),
            hearing: Hearing::default(),
            standing: Standing::default(),
            unpublished: Vec::new(),
        }
    }

    /// Sets how many viewers may look at the evidence of a roll-out while it lasts: instances,
    /// counting each restart.
    pub fn set_viewers(&mut self, viewers: u32) {
        self.viewers = viewers;
    }

    /// Sets whether the rating service is out. No answer is then held for its rating, so that there
    /// are no cascades either.
    pub fn set_ratings_out(&mut self, out: bool) {
        self.ratings_out = out;
    }

    /// Takes over a configuration in force.
    pub fn configure(&mut self, config: &Config, generation: Generation) {
        assert!(
            generation >= self.generation,
            "a generation never goes back"
        );
        self.generation = generation;
        let stated: Vec<_> = config
            .rollouts
            .iter()
            .map(|rollout| stated(config, rollout))
            .collect();
        for lift in self.standing.lifts(&stated, generation) {
            self.standing.apply(&lift);
            self.unpublished.push(lift);
        }
        self.start_trials(config, stated);
        self.prices = Map::new(config.versions.values().iter().map(prices).collect());
        self.add_records(config);
        let policies = config
            .services
            .iter()
            .map(|(id, service)| self.policy(config, id, service));
        self.services = Map::new(policies.collect());
    }

    /// Takes over a rating. One of a service or version that isn't in force is dropped.
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
        let trial = self.trials.iter_mut().position(|trial| {
            trial.stated.service == *rating.service && trial.stated.to == *rating.version
        });
        let Some(trial) = trial else {
            return;
        };
        let evidence = &mut self.trials[trial].evidence;
        evidence.add(source, rating.score, rating.weight, rating.at);
        self.decide(trial, rating.at);
    }

    /// Takes over how long a whole answer took and how many tokens it had.
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

    /// The versions that serve a request; none if there are no candidates that may.
    pub fn plan(&mut self, query: &Query<'_>) -> Option<Plan> {
        let drawn = Share::from_ppm(self.rng.random_range(0..Share::WHOLE.ppm()));
        let policy = self.services.get(query.service)?;
        let offers = self.offers(policy, query);
        if let Some(plan) = self.trial_plan(policy, query, &offers) {
            return Some(plan);
        }
        let new = policy.rollout.map(|split| split.to);
        // Where only the new version is allowed, nothing else can serve.
        let mut old = offers.clone();
        if offers.len() > 1 {
            old.retain(|offer| Some(offer.version) != new);
        }
        let plan = choice::choose(&old, policy.target, query.now, |cheap, dear| {
            self.may_hold(policy, query, cheap, dear)
        })?;
        let wanted = Wanted {
            target: policy.target,
            cascade: policy.cascade,
        };
        let Some(first) = choice::explore(&old, plan.first, wanted, drawn, query.now) else {
            return Some(plan);
        };
        Some(Plan {
            first,
            escalate: None,
            reason: Reason::Exploration,
        })
    }

    /// The plan for a request whose session falls into the share of a roll-out.
    fn trial_plan(&self, policy: &Policy, query: &Query<'_>, offers: &[Offer<'_>]) -> Option<Plan> {
        let split = policy.rollout?;
        let to = offers.iter().find(|offer| offer.version == split.to)?;
        let from = offers.iter().find(|offer| offer.version == split.from);
        let guard = from.filter(|from| self.may_hold(policy, query, to, from));
        let delivery = match guard {
            Some(_) => Delivery::Held,
            None if policy.cascade => Delivery::Direct,
            None => Delivery::Bare,
        };
        if query.position >= self.split_share(split, delivery, query.now) {
            return None;
        }
        Some(Plan {
            first: split.to,
            escalate: guard.map(|from| Escalation {
                version: from.version,
                threshold: policy.target * TRIAL_THRESHOLD,
            }),
            reason: Reason::Rollout,
        })
    }

    /// Whether an answer may be held for its rating and be escalated to another version.
    fn may_hold(
        &self,
        policy: &Policy,
        query: &Query<'_>,
        first: &Offer<'_>,
        second: &Offer<'_>,
    ) -> bool {
        policy.cascade && !self.ratings_out && affordable(query, first, second)
    }

    /// The share of a service's new sessions, of those whose answers are held for their rating
    /// where the service allows it, that begin on the new version of its roll-out; nothing without
    /// one.
    pub fn share(&self, service: id::Service, now: Moment) -> Share {
        let Some(policy) = self.services.get(service) else {
            return Share::NONE;
        };
        let delivery = if policy.cascade {
            Delivery::Held
        } else {
            Delivery::Bare
        };
        policy
            .rollout
            .map_or(Share::NONE, |split| self.split_share(split, delivery, now))
    }

    fn split_share(&self, split: Split, delivery: Delivery, now: Moment) -> Share {
        let trial = &self.trials[split.trial];
        if trial.braked {
            return Share::NONE;
        }
        let stated = &trial.stated;
        rollout::share(stated.share, stated.limit, &trial.evidence, delivery, now)
    }

    /// Whether a version is braked for a service: it receives no new work, whatever a session says.
    pub fn braked(&self, service: id::Service, version: id::Version) -> bool {
        let split = self.services.get(service).and_then(|policy| policy.rollout);
        split.is_some_and(|split| split.to == version && self.trials[split.trial].braked)
    }

    /// The share of a version's answers for a service to rate: all of them while it is on trial or
    /// has few ratings. Answers of an exploration are all to be rated.
    pub fn sampling(&self, service: id::Service, version: id::Version, now: Moment) -> Share {
        let Some(policy) = self.services.get(service) else {
            return Share::NONE;
        };
        let on_trial = policy.rollout.is_some_and(|split| split.to == version);
        let found = policy
            .versions
            .binary_search_by_key(&version, |(version, _)| *version);
        let count = found.map_or(0.0, |index| {
            self.records[policy.versions[index].1].posterior.count(now)
        });
        if on_trial || count < FEW_RATINGS {
            return Share::WHOLE;
        }
        SAMPLING
    }

    /// What is known about a version for a service.
    pub fn record(&self, service: &name::Service, version: &name::Version) -> Option<&Record> {
        self.find(service, version)
            .ok()
            .map(|index| &self.records[index])
    }

    /// Takes the verdicts that were reached here since the last call, to be appended to the
    /// `verdicts` stream and told to other instances. Each is an event for the time line.
    pub fn take_verdicts(&mut self) -> Vec<Verdict> {
        std::mem::take(&mut self.unpublished)
    }

    /// All verdicts that are known, reached here or not.
    pub fn verdicts(&self) -> Vec<Verdict> {
        self.standing.all()
    }

    /// A digest of [`Judge::verdicts`]: instances with equal digests know the same.
    pub fn digest(&self) -> u64 {
        let mut hasher = DefaultHasher::new();
        for verdict in self.verdicts() {
            verdict.to_record().hash(&mut hasher);
        }
        hasher.finish()
    }

    /// Takes over a verdict from the log or from another instance; returns whether it was news.
    pub fn apply(&mut self, verdict: &Verdict) -> bool {
        let news = self.standing.apply(verdict);
        self.refresh_brakes();
        news
    }

    /// This instance's own recent sums, to be told to others. Each replaces the one before of the
    /// same roll-out and window.
    pub fn summaries(&self, now: Moment) -> Vec<Summary> {
        let oldest = window(now).saturating_sub(TOLD_WINDOWS);
        let mut summaries = Vec::new();
        for trial in &self.trials {
            for (window, tally) in trial.evidence.sums(&self.source) {
                if window < oldest || tally.ratings == 0 {
                    continue;
                }
                summaries.push(Summary {
                    rollout: trial.stated.clone(),
                    target: trial.target,
                    source: self.source.clone(),
                    window,
                    tally: *tally,
                });
            }
        }
        summaries
    }

    /// Takes over another instance's sums; returns whether they were news. A duplicate, an older
    /// sum, and one of a roll-out that isn't in force change nothing.
    pub fn merge(&mut self, summary: &Summary, now: Moment) -> bool {
        if summary.source == self.source || summary.window > window(now) + 1 {
            return false;
        }
        let trial = self
            .trials
            .iter()
            .position(|trial| trial.stated == summary.rollout && trial.target == summary.target);
        let Some(trial) = trial else {
            return false;
        };
        let evidence = &mut self.trials[trial].evidence;
        if !evidence.merge(&summary.source, summary.window, &summary.tally, now) {
            return false;
        }
        self.decide(trial, now);
        true
    }

    /// The totals of this instance's own ratings, to be told to others: at most `limit`, those with
    /// most news first.
    pub fn tell(&mut self, limit: usize) -> Vec<Telling> {
        let mut news: Vec<usize> = (0..self.records.len()).collect();
        news.retain(|index| self.records[*index].own.ratings > self.records[*index].told);
        let untold = |index: &usize| {
            let record = &self.records[*index];
            std::cmp::Reverse(record.own.ratings - record.told)
        };
        news.sort_by_key(untold);
        news.truncate(limit);
        let mut tellings = Vec::with_capacity(news.len());
        for index in news {
            let record = &mut self.records[index];
            record.told = record.own.ratings;
            tellings.push(Telling {
                service: record.service.clone(),
                version: record.version.clone(),
                source: self.source.clone(),
                totals: record.own.clone(),
            });
        }
        tellings
    }

    /// Takes over another instance's totals; returns whether anything was news.
    pub fn hear(&mut self, telling: &Telling, now: Moment) -> bool {
        if telling.source == self.source {
            return false;
        }
        let Ok(index) = self.find(&telling.service, &telling.version) else {
            return false;
        };
        self.hearing.hear(telling, &mut self.records[index], now)
    }

    /// Brakes a roll-out if its evidence has reached the limit.
    fn decide(&mut self, trial: usize, at: Moment) {
        let trial = &self.trials[trial];
        let limit = rollout::log_limit(trial.stated.false_alarm, self.viewers);
        if trial.braked || trial.evidence.log_value() < limit {
            return;
        }
        let verdict = Verdict::Brake(Brake {
            rollout: trial.stated.clone(),
            generation: self.generation,
            at,
            evidence: Finding::of(&trial.evidence, limit),
        });
        self.apply(&verdict);
        self.unpublished.push(verdict);
    }

    fn refresh_brakes(&mut self) {
        for trial in &mut self.trials {
            let brake = self.standing.brake(&trial.stated, self.generation);
            trial.braked = brake.is_some();
        }
    }

    /// Keeps the evidence of roll-outs that are stated as before, and starts the others afresh.
    fn start_trials(&mut self, config: &Config, stated: Vec<verdict::Rollout>) {
        let mut trials = Vec::new();
        for (rollout, stated) in config.rollouts.iter().zip(stated) {
            let target = config.services[rollout.service].quality;
            let known = self
                .trials
                .iter()
                .find(|trial| trial.stated == stated && trial.target == target);
            trials.push(known.cloned().unwrap_or_else(|| Trial {
                stated,
                target,
                evidence: Evidence::new(target.fraction()),
                braked: false,
            }));
        }
        self.trials = trials;
        self.refresh_brakes();
    }

    /// Makes the records that are missing.
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
            versions.push((*version, index.expect("records were added")));
        }
        versions.sort_unstable();
        let trial = config
            .rollouts
            .iter()
            .position(|rollout| rollout.service == id);
        Policy {
            target: service.quality.fraction(),
            cascade: service.cascade,
            versions,
            rollout: trial.map(|trial| Split {
                from: config.rollouts[trial].from,
                to: config.rollouts[trial].to,
                trial,
            }),
        }
    }

    /// The candidates of a query that aren't braked.
    fn offers(&self, policy: &Policy, query: &Query<'_>) -> Vec<Offer<'_>> {
        let mut offers = Vec::with_capacity(query.candidates.len());
        for version in query.candidates {
            if self.braked(query.service, *version) {
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

/// Whether an answer may be held for its rating and asked for again within the time that is left.
fn affordable(query: &Query<'_>, cheap: &Offer<'_>, dear: &Offer<'_>) -> bool {
    if query.streamed {
        return false;
    }
    match query.class {
        Class::Interactive => cascade::fits(cheap, dear, query.budget),
        Class::Batch => {
            let unknown = cheap.record.latency().is_none() || dear.record.latency().is_none();
            unknown || cascade::fits(cheap, dear, query.budget)
        }
    }
}

/// Prices of a token of prompt and of a generated token, in credits.
fn prices(version: &model::Version) -> (f64, f64) {
    (
        version.price_in.credits() / 1e3,
        version.price_out.credits() / 1e3,
    )
}

/// A roll-out as its text states it, by name.
fn stated(config: &Config, rollout: &model::Rollout) -> verdict::Rollout {
    verdict::Rollout {
        service: config.services[rollout.service].name.clone(),
        from: config.versions[rollout.from].name.clone(),
        to: config.versions[rollout.to].name.clone(),
        share: rollout.share,
        limit: rollout.limit,
        false_alarm: rollout.false_alarm,
    }
}
