//! Speeds of engines in relation to their service, from the times to first events.

use crate::estimate::length::decay;
use crate::restriction::Incarnation;
use entity::time::Span;
use entity::{Moment, name, work};
use std::collections::VecDeque;

/// Time after which an observation counts half.
const HALF_LIFE: Span = Span::from_secs(2);

/// Time for which what a peer told counts.
const PEER_TTL: Span = Span::from_secs(4);

/// Time for which an observation is told to peers.
const TELL_TIME: Span = Span::from_secs(2);

/// Weight of the assumption that an engine is as fast as its service, in observations.
const PRIOR_WEIGHT: f64 = 2.0;

/// Largest weight of what one peer tells of an engine, in observations.
const MAX_PEER_WEIGHT: f64 = 1.0;

/// Largest factor by which one observation may differ from the usual time.
const MAX_FACTOR: f64 = 4.0;

/// Work of a first event besides that of prompts, in tokens.
const FIXED_WORK_TOKENS: f64 = 150.0;

/// Largest number of observations that count towards the usual time of a service: later ones
/// replace earlier ones at this rate.
const MAX_SERVICE_COUNT: f64 = 100.0;

/// Largest number of engines with observations of this instance.
const MAX_OWN: usize = 256;

/// Largest number of engines in one message to a peer.
pub const MAX_TOLD: usize = 24;

/// What an instance observed of one engine within the last seconds.
#[derive(Clone, Debug, PartialEq)]
pub struct Pace {
    /// The engine.
    pub incarnation: Incarnation,
    /// Work before the first events, in tokens.
    pub work: f64,
    /// Time until they arrived.
    pub time: Span,
}

/// Sum of weighted logarithms of relative times.
#[derive(Clone, Copy, Debug, Default)]
struct Sum {
    weight: f64,
    log: f64,
}

#[derive(Clone, Debug)]
struct Own {
    incarnation: Incarnation,
    sum: Sum,
    /// Decayed sums, to be told to peers.
    work: f64,
    seconds: f64,
    at: Moment,
}

/// Usual times of services, as logarithms of seconds with the number of observations; sorted by
/// service.
#[derive(Clone, Debug, Default)]
struct Usual(Vec<(name::Service, f64, f64)>);

impl Usual {
    /// Adds an observation, and returns it in relation to the usual time.
    fn learn(&mut self, service: &name::Service, log: f64) -> f64 {
        let found = self.0.binary_search_by(|(name, ..)| name.cmp(service));
        let index = found.unwrap_or_else(|index| {
            self.0.insert(index, (service.clone(), log, 0.0));
            index
        });
        let (_, usual, count) = &mut self.0[index];
        let relative = bounded(log - *usual);
        *count = (*count + 1.0).min(MAX_SERVICE_COUNT);
        *usual += relative / *count;
        relative
    }

    /// Returns the usual time in seconds; none before the first observation.
    fn get(&self, service: &name::Service) -> Option<f64> {
        let found = self.0.binary_search_by(|(name, ..)| name.cmp(service));
        found.ok().map(|index| self.0[index].1.exp())
    }
}

/// What one peer told last.
#[derive(Clone, Debug)]
struct Told {
    peer: name::Instance,
    at: Moment,
    entries: Vec<(Incarnation, Sum)>,
}

/// Speeds of all engines, as this instance knows them.
#[derive(Clone, Debug, Default)]
pub struct Paces {
    /// Seconds for a token of work.
    reading: Usual,
    /// Seconds for a generated token.
    generating: Usual,
    /// Sorted by incarnation.
    own: Vec<Own>,
    /// Sorted by peer.
    told: Vec<Told>,
    /// Messages by the time at which they were received, the oldest first.
    order: VecDeque<(Moment, name::Instance)>,
    /// Sums of what peers told, sorted by incarnation.
    sums: Vec<(Incarnation, Sum)>,
}

impl Own {
    fn decay(&mut self, now: Moment) {
        let factor = decay(now.since(self.at), HALF_LIFE);
        self.sum.weight *= factor;
        self.sum.log *= factor;
        self.work *= factor;
        self.seconds *= factor;
        self.at = self.at.max(now);
    }
}

impl Paces {
    /// Records that the first event of an answer, with `ahead` tokens of work before it, took `time`.
    pub fn observe(
        &mut self,
        service: &name::Service,
        incarnation: &Incarnation,
        (ahead, time): (f64, Span),
        now: Moment,
    ) {
        let ahead = ahead.max(0.0) + FIXED_WORK_TOKENS;
        let seconds = time.as_secs_f64().max(1e-4);
        let log = self.reading.learn(service, (seconds / ahead).ln());
        let found = self
            .own
            .binary_search_by(|own| own.incarnation.cmp(incarnation));
        let index = found.unwrap_or_else(|_| {
            if self.own.len() == MAX_OWN {
                let oldest = (0..MAX_OWN).min_by_key(|&index| self.own[index].at);
                self.own.remove(oldest.unwrap_or_default());
            }
            let index = self
                .own
                .partition_point(|own| own.incarnation < *incarnation);
            let own = Own {
                incarnation: incarnation.clone(),
                sum: Sum::default(),
                work: 0.0,
                seconds: 0.0,
                at: now,
            };
            self.own.insert(index, own);
            index
        });
        let own = &mut self.own[index];
        own.decay(now);
        own.sum.weight += 1.0;
        own.sum.log += log;
        own.work += ahead;
        own.seconds += seconds;
    }

    /// Records that an engine generated `tokens` tokens of work in `time`.
    pub fn observe_output(&mut self, service: &name::Service, tokens: f64, time: Span) {
        if tokens > 0.0 {
            let seconds = time.as_secs_f64().max(1e-4);
            self.generating.learn(service, (seconds / tokens).ln());
        }
    }

    /// Returns the seconds that the engines of a service usually take for a token of work; none
    /// before the first answer.
    pub fn usual(&self, service: &name::Service) -> Option<f64> {
        self.reading.get(service)
    }

    /// Returns the seconds that the engines of a service usually take to generate a token of the
    /// largest model; none before the first complete answer.
    pub fn usual_output(&self, service: &name::Service) -> Option<f64> {
        self.generating.get(service)
    }

    /// Returns the expected time to the first event at an engine with a slowness; none before the
    /// first answer.
    pub fn first_event(&self, service: &name::Service, ahead: f64, slowness: f64) -> Option<Span> {
        let seconds = self.usual(service)? * slowness * (ahead + FIXED_WORK_TOKENS);
        Some(Span::from_micros((seconds * 1e6) as u64))
    }

    /// Returns the time of an engine in relation to the usual one; 1 where it is not known.
    pub fn slowness(&self, upstream: &name::Upstream, number: u64, now: Moment) -> f64 {
        let wanted = (upstream, number);
        let mut sum = Sum::default();
        if let Ok(index) = self
            .own
            .binary_search_by(|own| own.incarnation.key().cmp(&wanted))
        {
            let own = &self.own[index];
            let factor = decay(now.since(own.at), HALF_LIFE);
            sum.weight += own.sum.weight * factor;
            sum.log += own.sum.log * factor;
        }
        if let Ok(index) = self
            .sums
            .binary_search_by(|(known, _)| known.key().cmp(&wanted))
        {
            sum.weight += self.sums[index].1.weight;
            sum.log += self.sums[index].1.log;
        }
        (sum.log / (sum.weight + PRIOR_WEIGHT)).exp()
    }

    /// Returns what this instance observed lately, the newest first, to be told to peers.
    pub fn told(&self, now: Moment) -> Vec<Pace> {
        let mut recent: Vec<&Own> = Vec::new();
        for own in &self.own {
            if now.since(own.at) < TELL_TIME {
                recent.push(own);
            }
        }
        recent.sort_by_key(|own| std::cmp::Reverse(own.at));
        recent.truncate(MAX_TOLD);
        let pace = |own: &&Own| Pace {
            incarnation: own.incarnation.clone(),
            work: own.work,
            time: Span::from_micros((own.seconds * 1e6) as u64),
        };
        recent.iter().map(pace).collect()
    }

    /// Records what a peer told of the engines that `service_of` knows.
    pub fn record_peer<'a>(
        &mut self,
        peer: &name::Instance,
        paces: &[Pace],
        service_of: impl Fn(&name::Upstream) -> Option<&'a name::Service>,
        now: Moment,
    ) {
        self.expire(now);
        let mut entries: Vec<(Incarnation, Sum)> = Vec::new();
        work::count(paces.len().min(MAX_TOLD));
        for pace in paces.iter().take(MAX_TOLD) {
            let usual = service_of(&pace.incarnation.upstream).and_then(|name| self.usual(name));
            let Some(usual) = usual else {
                continue;
            };
            let is_repeated = entries.iter().any(|(known, _)| *known == pace.incarnation);
            if is_repeated || pace.work < FIXED_WORK_TOKENS {
                continue;
            }
            let weight = (pace.work / FIXED_WORK_TOKENS / 2.0).min(MAX_PEER_WEIGHT);
            let relative = pace.time.as_secs_f64().max(1e-4) / (pace.work * usual);
            let sum = Sum {
                weight,
                log: weight * bounded(relative.ln()),
            };
            entries.push((pace.incarnation.clone(), sum));
        }
        self.remove(peer);
        for (incarnation, sum) in &entries {
            self.add(incarnation, *sum);
        }
        let told = Told {
            peer: peer.clone(),
            at: now,
            entries,
        };
        let index = self.told.partition_point(|known| known.peer < *peer);
        self.told.insert(index, told);
        self.order.push_back((now, peer.clone()));
    }

    /// Drops what no longer counts.
    pub fn expire(&mut self, now: Moment) {
        let is_over = |(at, _): &mut (Moment, _)| now.since(*at) >= PEER_TTL;
        while let Some((at, peer)) = self.order.pop_front_if(is_over) {
            let found = self.told.binary_search_by(|told| told.peer.cmp(&peer));
            if found.is_ok_and(|index| self.told[index].at == at) {
                self.remove(&peer);
            }
        }
    }

    fn remove(&mut self, peer: &name::Instance) {
        let Ok(index) = self.told.binary_search_by(|told| told.peer.cmp(peer)) else {
            return;
        };
        let told = self.told.remove(index);
        for (incarnation, sum) in told.entries {
            let taken = Sum {
                weight: -sum.weight,
                log: -sum.log,
            };
            self.add(&incarnation, taken);
        }
    }

    /// Adds to the sum of an engine, which is dropped once nobody tells of it.
    fn add(&mut self, incarnation: &Incarnation, sum: Sum) {
        let wanted = incarnation.key();
        let found = self
            .sums
            .binary_search_by(|(known, _)| known.key().cmp(&wanted));
        let index = found.unwrap_or_else(|index| {
            self.sums
                .insert(index, (incarnation.clone(), Sum::default()));
            index
        });
        let known = &mut self.sums[index].1;
        known.weight += sum.weight;
        known.log += sum.log;
        if known.weight < 1e-6 {
            self.sums.remove(index);
        }
    }

    /// Returns the number of entries that are kept.
    pub fn len(&self) -> usize {
        self.own.len() + self.sums.len()
    }

    /// Returns whether nothing is kept.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }
}

/// Limits the logarithm of a relative time.
fn bounded(log: f64) -> f64 {
    log.clamp(-MAX_FACTOR.ln(), MAX_FACTOR.ln())
}
