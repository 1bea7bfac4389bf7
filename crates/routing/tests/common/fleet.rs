//! A loop of instances before servers with slots and a queue, in steps of a millisecond.
#![allow(dead_code, reason = "each test binary uses a part")]

use super::common::{FIRST, START, config, instance, members, millis, query};
use config::{AdminState, Config, Registration};
use entity::id::{self, Id};
use entity::{Moment, Span, name};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use routing::demand::Work;
use routing::{Balancer, Bounds, Choice, Outcome, Query, Reason};
use std::collections::VecDeque;
use std::fmt;
use std::sync::Arc;

/// Requests that a server runs at once, and those that wait there.
pub const SLOTS: u32 = 6;
const QUEUE: usize = 24;
/// Time from the arrival to the deadline of a request.
const DEADLINE: Span = Span::from_secs(3);
/// Milliseconds between two rounds of announcements.
const ROUND: u64 = 400;
const PEERS_PER_ROUND: usize = 14;

/// Which instances tell their loads.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Talk {
    All,
    Silent,
    /// The busiest instance tells nothing.
    Frozen,
    /// The busiest instance tells that it runs a million requests at each server.
    Lying,
}

#[derive(Clone, Debug)]
pub struct Load {
    pub instances: usize,
    pub servers: usize,
    /// Servers that are away all the time.
    pub away: usize,
    /// Requests in a second at all instances.
    pub rate: f64,
    /// Mean time of a request in a slot.
    pub service: Span,
    pub seconds: u64,
    pub seed: u64,
}

#[derive(Debug, Default)]
pub struct Result {
    pub mean_wait_ms: f64,
    pub mean_total_ms: f64,
    pub p99_total_ms: f64,
    /// Tries that a full server refused, or that failed at one.
    pub refused: usize,
    /// Requests that all servers refused, or that waited up to their deadline.
    pub failed: usize,
    /// Largest number of requests at one server.
    pub peak: usize,
    pub answered: usize,
}

impl fmt::Display for Result {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(
            formatter,
            "wait {:.1} ms, total {:.1} ms, p99 {:.0} ms, {} refused, {} failed, peak {}, {} answered",
            self.mean_wait_ms,
            self.mean_total_ms,
            self.p99_total_ms,
            self.refused,
            self.failed,
            self.peak,
            self.answered
        )
    }
}

/// A request at an instance.
#[derive(Clone)]
struct Waiting {
    arrived: Moment,
    excluded: Vec<name::Upstream>,
}

impl Waiting {
    fn new(arrived: Moment) -> Self {
        let excluded = Vec::new();
        Self { arrived, excluded }
    }
}

struct Job {
    instance: usize,
    arrived: Moment,
    sent: Moment,
    takes: Span,
    choice: Choice,
}

#[derive(Default)]
struct Server {
    running: Vec<(Moment, Job)>,
    waiting: VecDeque<Job>,
}

impl Server {
    fn len(&self) -> usize {
        self.running.len() + self.waiting.len()
    }

    fn fill(&mut self, now: Moment) {
        while self.running.len() < SLOTS as usize {
            let Some(job) = self.waiting.pop_front() else {
                return;
            };
            self.running.push((now + job.takes, job));
        }
    }
}

pub struct Fleet {
    load: Load,
    pub talk: Talk,
    /// Server at which all requests fail.
    pub failing: Option<usize>,
    pub now: Moment,
    config: Config,
    balancers: Vec<Balancer>,
    queues: Vec<VecDeque<Waiting>>,
    servers: Vec<Server>,
    /// Requests that each server took.
    pub taken: Vec<usize>,
    /// Randomness of the load, the same whatever the instances do.
    arrivals: ChaCha8Rng,
    random: ChaCha8Rng,
    waits: Vec<f64>,
    totals: Vec<f64>,
    refused: usize,
    failed: usize,
    peak: usize,
}

pub fn plain_config(servers: usize, away: usize) -> Config {
    let mut config = config(servers);
    for (id, upstream) in config.upstreams.iter_mut() {
        upstream.services = vec![id::Service::new(0)];
        upstream.warm = SLOTS;
        upstream.registration = Some(Registration {
            incarnation: 1,
            memory: None,
            cold_until: Moment(0),
            cold_rate: 0,
        });
        if id.index() < away {
            upstream.state = AdminState::Out;
        }
    }
    config
}

pub fn plain_query(now: Moment) -> Query<'static> {
    Query {
        version: None,
        deadline: now + Span::from_secs(3),
        ..query(now)
    }
}

/// Returns the arrivals of a step of a millisecond.
fn arrivals(random: &mut ChaCha8Rng, rate: f64) -> usize {
    let mut left = rate / 1e3;
    let mut count = 0;
    while left > 0.0 {
        count += usize::from(random.random::<f64>() < left.min(0.1));
        left -= 0.1;
    }
    count
}

fn takes(random: &mut ChaCha8Rng, service: Span) -> Span {
    Span::from_micros((service.as_secs_f64() * 1e6 * random.random_range(0.5..1.5)) as u64)
}

impl Fleet {
    pub fn run(load: &Load, talk: Talk) -> Result {
        Self::start(load, talk).end()
    }

    pub fn start(load: &Load, talk: Talk) -> Self {
        let config = plain_config(load.servers, load.away);
        let shared = Arc::new(config.clone());
        let live: Vec<usize> = (0..load.instances).collect();
        let balancer = |own: usize| {
            let zone: name::Zone = ["amman-a", "amman-b"][own % 2].parse().unwrap();
            let seed = load.seed + own as u64;
            let mut balancer = Balancer::new(instance(own), zone, Bounds::default(), seed);
            balancer.configure(&shared, FIRST, START);
            balancer.set_members(members(1, &live), START, START);
            balancer
        };
        Self {
            balancers: live.iter().map(|&own| balancer(own)).collect(),
            queues: live.iter().map(|_| VecDeque::new()).collect(),
            servers: (0..load.servers).map(|_| Server::default()).collect(),
            taken: vec![0; load.servers],
            arrivals: ChaCha8Rng::seed_from_u64(load.seed),
            random: ChaCha8Rng::seed_from_u64(load.seed + 1),
            load: load.clone(),
            talk,
            failing: None,
            now: START,
            config,
            waits: Vec::new(),
            totals: Vec::new(),
            refused: 0,
            failed: 0,
            peak: 0,
        }
    }

    /// Lets each instance start with requests that wait, after it has heard of its idle peers.
    pub fn with_backlog(mut self, each: usize) -> Self {
        self.steps_without_load(millis(1500));
        for queue in &mut self.queues {
            queue.extend(vec![Waiting::new(self.now); each]);
        }
        self
    }

    fn steps_without_load(&mut self, time: Span) {
        let rate = std::mem::replace(&mut self.load.rate, 0.0);
        self.steps(time);
        self.load.rate = rate;
    }

    pub fn end(mut self) -> Result {
        self.steps(Span::from_secs(self.load.seconds));
        self.totals.sort_by(f64::total_cmp);
        let mean = |values: &[f64]| values.iter().sum::<f64>() / values.len().max(1) as f64;
        Result {
            mean_wait_ms: mean(&self.waits),
            mean_total_ms: mean(&self.totals),
            p99_total_ms: self.totals[self.totals.len() * 99 / 100],
            refused: self.refused,
            failed: self.failed,
            peak: self.peak,
            answered: self.totals.len(),
        }
    }

    pub fn steps(&mut self, time: Span) {
        let end = self.now + time;
        while self.now < end {
            self.now = self.now + millis(1);
            self.answer();
            self.gossip();
            for _ in 0..arrivals(&mut self.arrivals, self.load.rate) {
                // The cube of a uniform number: a tenth of the instances has almost half of the load.
                let drawn = self.arrivals.random::<f64>().powi(3);
                let own = (drawn * self.load.instances as f64) as usize;
                self.queues[own].push_back(Waiting::new(self.now));
            }
            for own in 0..self.load.instances {
                self.send(own);
            }
        }
    }

    /// Returns whether an instance lends itself a request beyond its shares.
    pub fn lends_anywhere(&mut self) -> bool {
        let now = self.now;
        let mut lends = false;
        for balancer in &mut self.balancers {
            let mut choices = Vec::new();
            while let Ok(choice) = balancer.choose(&plain_query(now), now) {
                lends |= choice.lent.is_some();
                choices.push(choice);
            }
            for choice in choices {
                balancer.finish(choice, Outcome::Cancelled, now);
            }
        }
        lends
    }

    fn answer(&mut self) {
        let now = self.now;
        for server in &mut self.servers {
            let done = |(end, _): &mut (Moment, Job)| *end <= now;
            for (_, job) in server.running.extract_if(.., done) {
                let first_token = Some(now.since(job.sent));
                let balancer = &mut self.balancers[job.instance];
                balancer.finish(job.choice, Outcome::Done { first_token }, now);
                self.totals.push(now.since(job.arrived).as_secs_f64() * 1e3);
            }
            server.fill(now);
        }
    }

    fn gossip(&mut self) {
        let step = self.now.since(START).as_secs_f64() * 1e3;
        for own in 0..self.load.instances {
            let is_mute = match self.talk {
                Talk::Silent => true,
                Talk::Frozen => own == 0,
                Talk::All | Talk::Lying => false,
            };
            // Instances send at different times within a round.
            if is_mute || !(step as u64 + own as u64 * 7).is_multiple_of(ROUND) {
                continue;
            }
            let mut loads = self.balancers[own].loads();
            if self.talk == Talk::Lying && own == 0 {
                let work = Work {
                    pending: 0.0,
                    running: 1e6,
                };
                let upstreams = self.config.upstreams.values().iter();
                loads = upstreams.map(|one| (one.name.clone(), work)).collect();
            }
            for _ in 0..PEERS_PER_ROUND {
                let to = self.random.random_range(0..self.load.instances);
                let others = self.load.instances - 1;
                if to != own {
                    self.balancers[to].record_peer_loads(
                        &instance(own),
                        loads.clone(),
                        others,
                        self.now,
                    );
                }
            }
        }
    }

    fn send(&mut self, own: usize) {
        let now = self.now;
        while let Some(first) = self.queues[own].front_mut() {
            let arrived = first.arrived;
            let asked = Query {
                excluded: &first.excluded,
                deadline: arrived + DEADLINE,
                ..plain_query(now)
            };
            let balancer = &mut self.balancers[own];
            let choice = match balancer.choose(&asked, now) {
                Ok(choice) => choice,
                Err(refusal) if refusal.reason == Reason::Full => return,
                Err(_) => {
                    self.queues[own].pop_front();
                    self.failed += 1;
                    continue;
                }
            };
            let index = self.config.upstream(choice.upstream.as_str()).unwrap();
            let server = &mut self.servers[index.index()];
            let outcome = match index.index() {
                index if self.failing == Some(index) => Some(Outcome::Failed),
                _ if server.len() >= SLOTS as usize + QUEUE => Some(Outcome::Refused),
                _ => None,
            };
            if let Some(outcome) = outcome {
                self.refused += 1;
                first.excluded.push(choice.upstream.clone());
                balancer.finish(choice, outcome, now);
                continue;
            }
            self.taken[index.index()] += 1;
            self.queues[own].pop_front();
            self.waits.push(now.since(arrived).as_secs_f64() * 1e3);
            let takes = takes(&mut self.random, self.load.service);
            server.waiting.push_back(Job {
                instance: own,
                arrived,
                sent: now,
                takes,
                choice,
            });
            server.fill(now);
            self.peak = self.peak.max(server.len());
        }
    }
}

/// The best case: one queue before all slots.
pub fn shared_queue(load: &Load) -> Result {
    let mut random = ChaCha8Rng::seed_from_u64(load.seed);
    let slots = (load.servers - load.away) * SLOTS as usize;
    let mut free = vec![START; slots];
    let (mut waits, mut totals) = (Vec::new(), Vec::new());
    for step in 0..load.seconds * 1000 {
        let now = START + millis(step);
        for _ in 0..arrivals(&mut random, load.rate) {
            let slot = free.iter_mut().min().unwrap();
            let begin = (*slot).max(now);
            *slot = begin + takes(&mut random, load.service);
            waits.push(begin.since(now).as_secs_f64() * 1e3);
            totals.push(slot.since(now).as_secs_f64() * 1e3);
        }
    }
    totals.sort_by(f64::total_cmp);
    let mean = |values: &[f64]| values.iter().sum::<f64>() / values.len() as f64;
    Result {
        mean_wait_ms: mean(&waits),
        mean_total_ms: mean(&totals),
        p99_total_ms: totals[totals.len() * 99 / 100],
        answered: totals.len(),
        ..Result::default()
    }
}
