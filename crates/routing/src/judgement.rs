//! Judges the upstreams in use by what all instances saw, for the balancer.

use crate::evidence::{self, Evidence, Stamp, Tried};
use crate::outlier::{self, Admission, Change, Member, Outliers};
use crate::peer_loads::Others;
use crate::pool::{Pool, Pools};
use crate::query::{Choice, Outcome};
use crate::restriction::{Incarnation, Restrictions};
use crate::states::States;
use config::Config;
use entity::{Moment, Span, id, name, work};

/// Shortest time between two reviews of all upstreams.
const REVIEW_INTERVAL: Span = Span::from_millis(100);

/// What a peer told of its tries.
#[derive(Clone, Debug)]
pub struct Word {
    /// Name of the peer.
    pub peer: name::Instance,
    /// Which message it was.
    pub stamp: Stamp,
    /// When it was sent, as far as that is known; else when it arrived.
    pub sent_at: Moment,
    /// Its tries.
    pub tried: Vec<Tried>,
    /// Incarnations that were taken out and gave a good answer, with its time.
    pub returns: Vec<(Incarnation, Moment)>,
}

/// What is to be told and logged.
#[derive(Clone, Debug, Default)]
pub struct News {
    /// Own tries, to be told to peers.
    pub tried: Vec<Tried>,
    /// Incarnations that were taken out and gave a good answer, to be told to peers.
    pub returns: Vec<(Incarnation, Moment)>,
    /// Upstreams that were taken out or taken back, to be logged.
    pub changes: Vec<Change>,
}

/// What the balancer knows of upstreams besides how tries ended.
#[derive(Debug)]
pub(crate) struct Scene<'a> {
    pub config: &'a Config,
    pub pools: &'a Pools,
    pub states: &'a States,
    pub restrictions: &'a Restrictions,
    pub others: Others<'a>,
    pub own: &'a name::Instance,
    pub live: &'a [name::Instance],
    /// Largest number of instances that share an upstream whose own evidence may suffice.
    pub max_own_sharers: usize,
}

/// Evidence, and the upstreams that are taken out by it.
#[derive(Clone, Debug, Default)]
pub(crate) struct Judgement {
    evidence: Evidence,
    outliers: Outliers,
    reviewed_at: Moment,
}

fn number(config: &Config, upstream: id::Upstream) -> u64 {
    let registration = config.upstreams[upstream].registration.as_ref();
    registration.map_or(0, |registration| registration.incarnation)
}

impl Judgement {
    /// Translates the evidence to the ids of a configuration.
    pub fn configure(&mut self, config: &Config) {
        self.evidence.configure(config);
    }

    /// Records the end of a choice.
    pub fn record_end(&mut self, config: &Config, choice: &Choice, outcome: Outcome, now: Moment) {
        let Some(end) = outcome.end() else {
            return;
        };
        let incarnation = Incarnation {
            upstream: choice.upstream.clone(),
            number: choice.incarnation_number().unwrap_or_default(),
        };
        let is_answer = end == evidence::End::Well;
        if is_answer
            && self
                .outliers
                .record_answer(&incarnation, choice.chosen_at, now)
        {
            self.evidence.forget(config, &incarnation);
        }
        self.evidence.record(&incarnation, end, now);
    }

    /// Records what a peer told.
    pub fn record_word(&mut self, config: &Config, word: Word, now: Moment) {
        for (incarnation, at) in word.returns.iter().take(evidence::MAX_TOLD) {
            let id = config.upstream(incarnation.upstream.as_str());
            if id.is_none_or(|id| number(config, id) != incarnation.number) {
                continue;
            }
            if self.outliers.record_return(incarnation, *at, now) {
                self.evidence.forget(config, incarnation);
            }
        }
        let sent = (word.stamp, word.sent_at);
        self.evidence
            .record_word(config, &word.peer, sent, word.tried, now);
    }

    /// Returns whether a request may be sent to an upstream.
    pub fn admit(
        &self,
        config: &Config,
        upstream: id::Upstream,
        is_repeatable: bool,
        now: Moment,
    ) -> Admission {
        if self.outliers.is_empty() {
            return Admission::Open;
        }
        let key = (&config.upstreams[upstream].name, number(config, upstream));
        self.outliers.admit(key, is_repeatable, now)
    }

    /// Records that a probe is sent to an upstream.
    pub fn record_probe(&mut self, config: &Config, upstream: id::Upstream) {
        let incarnation = evidence::incarnation(config, upstream);
        self.outliers.record_probe(&incarnation);
    }

    /// Returns what is to be told to peers and logged.
    pub fn news(&mut self, config: &Config, is_cut_off: bool, now: Moment) -> News {
        let is_plain = |incarnation: &Incarnation| {
            let id = config.upstream(incarnation.upstream.as_str());
            id.is_some_and(|id| config.upstreams[id].versions.is_empty())
        };
        let returns = self.outliers.returns(now);
        let returns = returns.map(|(incarnation, at)| (incarnation.clone(), at));
        News {
            returns: returns.take(evidence::MAX_TOLD).collect(),
            tried: self.evidence.told(is_cut_off, is_plain, now),
            changes: self.outliers.take_changes(),
        }
    }

    /// Judges all pools, if that is due.
    pub fn review(&mut self, scene: &Scene<'_>, now: Moment) {
        if now.since(self.reviewed_at) < REVIEW_INTERVAL {
            return;
        }
        self.reviewed_at = now;
        let config = scene.config;
        self.evidence.expire(config, now);
        for pool in scene.pools.all() {
            work::count(pool.used.len());
            let mut used = pool.used.iter();
            let is_suspect = |&id| self.evidence.failing_peers(id) + 1 >= outlier::MIN_REPORTERS;
            if used.any(is_suspect) {
                self.judge(scene, pool, now);
            }
        }
        let evidence = &self.evidence;
        let has_bad_end = |incarnation: &Incarnation| {
            let id = config.upstream(incarnation.upstream.as_str())?;
            let is_current = number(config, id) == incarnation.number;
            is_current.then(|| evidence.sum(id, incarnation, now).counts.bad() > 0)
        };
        self.outliers
            .review(scene.own, scene.live, has_bad_end, now);
    }

    fn judge(&mut self, scene: &Scene<'_>, pool: &Pool, now: Moment) {
        let mut members = Vec::with_capacity(pool.used.len());
        for &id in &pool.used {
            members.push(self.member(scene, id, now));
        }
        for (index, cause) in outlier::judge(&members) {
            let incarnation = evidence::incarnation(scene.config, pool.used[index]);
            let own = self.evidence.own(&incarnation, now);
            let newest = self.evidence.newest_bad_end(&incarnation);
            let age = newest.map_or(Span::ZERO, |at| now.since(at));
            let evidence = (members[index].sum, own, age);
            self.outliers.eject(&incarnation, cause, evidence, now);
        }
    }

    fn member(&self, scene: &Scene<'_>, id: id::Upstream, now: Moment) -> Member {
        let incarnation = evidence::incarnation(scene.config, id);
        let own = self.evidence.own(&incarnation, now);
        let sharers = scene.pools.sharers(scene.config, id, scene.live.len());
        let is_thin = outlier::is_thin(own, sharers, scene.max_own_sharers);
        let state = scene.states.in_use(id);
        let others = scene.others.at(id).running;
        let restriction = scene
            .restrictions
            .find(&incarnation.upstream, incarnation.number, now);
        let limit = scene.config.upstreams[id].warm;
        Member {
            sum: self.evidence.sum(id, &incarnation, now),
            limit: if state.breaker.allows(now) { limit } else { 0 },
            running: f64::from(state.running) + others,
            is_out: restriction.is_some() || self.outliers.is_ejected(&incarnation),
            is_eligible: is_thin && self.outliers.is_eligible(&incarnation, now),
        }
    }
}
