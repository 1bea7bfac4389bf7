//! Many instances before the same upstreams, that tell each other how their tries ended.
#![allow(dead_code, reason = "each test binary uses a part")]

use crate::common::{FIRST, START, config, instance, millis, query};
use config::{Config, Registration};
use entity::id::{self, Id};
use entity::{Moment, name};
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use routing::evidence::Stamp;
use routing::judgement::Word;
use routing::outlier::{Change, ChangeKind};
use routing::{Balancer, Bounds, Members, Outcome, Query};
use std::sync::Arc;

/// Step of the loop, in milliseconds.
pub const STEP: u64 = 20;
/// Steps between two words of an instance.
const ROUND: u64 = 20;
/// Peers that hear a word.
const FANOUT: usize = 14;

/// How messages go, as shares of 1.
#[derive(Clone, Copy, Default)]
pub struct Links {
    pub lost: f64,
    pub late: f64,
    pub repeated: f64,
}

/// A try that was made.
#[derive(Clone, Copy)]
pub struct Try {
    pub at: Moment,
    pub instance: usize,
    pub upstream: usize,
    pub outcome: Outcome,
}

pub struct Fleet {
    pub config: Config,
    pub balancers: Vec<Balancer>,
    pub now: Moment,
    pub links: Links,
    /// Instances whose links to upstreams are cut.
    pub cut_off: Vec<usize>,
    pub tries: Vec<Try>,
    pub changes: Vec<(usize, Change)>,
    /// Words that arrive later, with their receivers.
    in_flight: Vec<(Moment, usize, Word)>,
    runs: Vec<u64>,
    random: ChaCha8Rng,
    is_repeatable: bool,
}

pub fn name(index: usize) -> name::Upstream {
    format!("engine-{index:03}").parse().unwrap()
}

pub const DONE: Outcome = Outcome::Done { first_token: None };
pub const ERROR: Outcome = Outcome::ErrorStatus { first_token: None };

/// Returns a configuration of upstreams that register themselves.
fn registered(upstreams: usize, is_plain: bool) -> Config {
    let mut config = config(upstreams);
    for (_, upstream) in config.upstreams.iter_mut() {
        upstream.registration = Some(Registration {
            incarnation: 1,
            memory: None,
            cold_until: Moment(0),
            cold_rate: 40,
        });
        upstream.warm = 200;
        if is_plain {
            upstream.services = vec![id::Service::new(0)];
            upstream.versions = Vec::new();
        }
    }
    config
}

impl Fleet {
    pub fn new(instances: usize, upstreams: usize, is_plain: bool, seed: u64) -> Self {
        let mut fleet = Self {
            config: registered(upstreams, is_plain),
            balancers: Vec::new(),
            now: START,
            links: Links::default(),
            cut_off: Vec::new(),
            tries: Vec::new(),
            changes: Vec::new(),
            in_flight: Vec::new(),
            runs: vec![0; instances],
            random: ChaCha8Rng::seed_from_u64(seed),
            is_repeatable: true,
        };
        for index in 0..instances {
            let balancer = fleet.balancer(index);
            fleet.balancers.push(balancer);
        }
        fleet
    }

    pub fn with_repeatable(mut self, is_repeatable: bool) -> Self {
        self.is_repeatable = is_repeatable;
        self
    }

    fn balancer(&self, index: usize) -> Balancer {
        let zone = "amman-a".parse().unwrap();
        let mut balancer = Balancer::new(instance(index), zone, Bounds::default(), index as u64);
        balancer.configure(&Arc::new(self.config.clone()), FIRST, self.now);
        let names = (0..self.runs.len()).map(instance).collect();
        balancer.set_members(Members::new(1, names), self.now, self.now);
        balancer
    }

    /// Starts an instance again, which forgets all.
    pub fn restart(&mut self, index: usize) {
        self.runs[index] += 1;
        self.balancers[index] = self.balancer(index);
    }

    /// Runs for so many milliseconds with `rate` requests a second at each instance. A try ends as
    /// `end` says of an upstream and a random number.
    pub fn run(&mut self, time: u64, rate: f64, end: impl Fn(usize, f64) -> Outcome) {
        let chance = rate * STEP as f64 / 1000.0;
        for _ in 0..time / STEP {
            self.now = self.now + millis(STEP);
            self.deliver();
            for index in 0..self.balancers.len() {
                if self.random.random_bool(chance) {
                    self.send(index, &end);
                }
                let step = self.now.0 / millis(STEP).as_micros();
                if (step + index as u64).is_multiple_of(ROUND) {
                    self.tell(index);
                }
            }
        }
    }

    fn send(&mut self, index: usize, end: &impl Fn(usize, f64) -> Outcome) {
        let version =
            (!self.config.upstreams.values()[0].versions.is_empty()).then(|| id::Version::new(0));
        let asked = Query {
            version,
            is_repeatable: self.is_repeatable,
            ..query(self.now)
        };
        let Ok(choice) = self.balancers[index].choose(&asked, self.now) else {
            return;
        };
        let upstream = self.config.upstream(choice.upstream.as_str()).unwrap();
        let outcome = match self.cut_off.contains(&index) {
            true => Outcome::Unreachable,
            false => end(upstream.index(), self.random.random()),
        };
        self.tries.push(Try {
            at: self.now,
            instance: index,
            upstream: upstream.index(),
            outcome,
        });
        self.balancers[index].finish(choice, outcome, self.now);
    }

    fn tell(&mut self, index: usize) {
        let is_cut_off = self.cut_off.contains(&index);
        let news = self.balancers[index].evidence(is_cut_off, self.now);
        let changes = news.changes.into_iter().map(|change| (index, change));
        self.changes.extend(changes);
        let word = Word {
            peer: instance(index),
            stamp: Stamp {
                run: self.runs[index],
                sent: self.now,
            },
            sent_at: self.now,
            tried: news.tried,
            returns: news.returns,
        };
        let peers: Vec<usize> = (0..self.balancers.len())
            .filter(|&one| one != index)
            .collect();
        let heard: Vec<usize> = peers.sample(&mut self.random, FANOUT).copied().collect();
        for peer in heard {
            if self.random.random_bool(self.links.lost) {
                continue;
            }
            let mut copies = 1;
            copies += usize::from(self.random.random_bool(self.links.repeated));
            for _ in 0..copies {
                let mut delay = 1;
                if self.random.random_bool(self.links.late) {
                    delay = self.random.random_range(1..3000);
                }
                let at = self.now + millis(delay);
                self.in_flight.push((at, peer, word.clone()));
            }
        }
    }

    fn deliver(&mut self) {
        let now = self.now;
        let due = |one: &mut (Moment, usize, Word)| one.0 <= now;
        let due: Vec<_> = self.in_flight.extract_if(.., due).collect();
        for (_, peer, word) in due {
            self.balancers[peer].record_evidence(word, now);
        }
    }

    /// Returns the number of bad tries at some upstreams since a time.
    pub fn bad_tries(&self, since: Moment, is_meant: impl Fn(usize) -> bool) -> usize {
        let is_bad = |one: &&Try| one.at >= since && is_meant(one.upstream) && one.outcome != DONE;
        self.tries.iter().filter(is_bad).count()
    }

    /// Returns the number of times that instances took an upstream out.
    pub fn ejections(&self, is_meant: impl Fn(usize) -> bool) -> usize {
        let is_out = |(_, change): &&(usize, Change)| {
            let id = self.config.upstream(change.incarnation.upstream.as_str());
            let is_meant = id.is_some_and(|id| is_meant(id.index()));
            matches!(change.kind, ChangeKind::Out(_)) && is_meant
        };
        self.changes.iter().filter(is_out).count()
    }
}
