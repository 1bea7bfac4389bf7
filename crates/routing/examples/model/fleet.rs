//! Runs a load against engines through instances with one policy.

use super::policy::Policy;
use super::{End, Engine, Load, Request, STEP, Source};
use config::Config;
use entity::time::Span;
use entity::{Generation, Moment, name};
use routing::admission::{Entry, Queue};
use routing::{Outcome, Priority};
use std::sync::Arc;

/// A request that ended, for good.
#[derive(Clone, Debug)]
pub struct Record {
    pub organisation: usize,
    pub arrived: Moment,
    /// From arrival at the instance to the first token; none if it failed or was shed.
    pub first_token: Option<Span>,
    /// Whether it failed at an engine, rather than being shed before it ran.
    pub failed: bool,
}

struct Entrance {
    policy: Box<dyn Policy>,
    queue: Queue<Request>,
}

pub struct Fleet {
    pub now: Moment,
    pub config: Config,
    generation: Generation,
    pub engines: Vec<Engine>,
    entrances: Vec<Entrance>,
    source: Source,
    pub records: Vec<Record>,
    pub tries: usize,
    /// Whether organisations are told apart in the queues.
    pub fair: bool,
    /// Whether engines are told which requests are beyond their organisation's share.
    pub priorities: bool,
}

/// Requests that wait at one instance at most.
const QUEUE: usize = 64;

impl Fleet {
    /// A fleet at rest.
    pub fn new(
        config: Config,
        engines: Vec<Engine>,
        policies: Vec<Box<dyn Policy>>,
        load: Load,
        seed: u64,
    ) -> Self {
        let entrance = |policy| Entrance {
            policy,
            queue: Queue::new(QUEUE),
        };
        let mut fleet = Self {
            now: Moment(1_000_000_000),
            config: Config::default(),
            generation: Generation(0),
            engines,
            entrances: policies.into_iter().map(entrance).collect(),
            source: Source::new(load, seed),
            records: Vec::new(),
            tries: 0,
            fair: true,
            priorities: false,
        };
        fleet.configure(config);
        fleet
    }

    pub fn configure(&mut self, config: Config) {
        self.generation = Generation(self.generation.0 + 1);
        self.config = config;
        let config = Arc::new(self.config.clone());
        let instances = self.entrances.len() as u32;
        for entrance in &mut self.entrances {
            entrance
                .policy
                .configure(&config, self.generation, self.now);
            for organisation in config.organisations.values() {
                let reserve = organisation.reserve / instances;
                entrance
                    .queue
                    .set(&organisation.name, organisation.weight, reserve);
            }
        }
    }

    /// Runs without load, so that the instances know each other and the engines.
    pub fn settle(&mut self, span: Span) {
        let end = self.now + span;
        while self.now < end {
            self.step(false);
        }
    }

    pub fn run(&mut self, span: Span) {
        let end = self.now + span;
        while self.now < end {
            self.step(true);
        }
    }

    fn step(&mut self, loaded: bool) {
        self.now = self.now + STEP;
        let now = self.now;
        for entrance in &mut self.entrances {
            entrance.policy.tick(now);
        }
        for engine in 0..self.engines.len() {
            for (request, end) in self.engines[engine].step(now) {
                self.ended(request, engine, end);
            }
            for report in self.engines[engine].arrived(now) {
                for entrance in &mut self.entrances {
                    entrance.policy.report(engine, &report, now);
                }
            }
        }
        if loaded {
            for request in self.source.step(now) {
                self.arrive(request);
            }
        }
        for index in 0..self.entrances.len() {
            self.serve_queue(index);
        }
    }

    fn organisation(&self, request: &Request) -> name::Organisation {
        let index = if self.fair { request.organisation } else { 0 };
        self.config.organisations.values()[index].name.clone()
    }

    fn arrive(&mut self, request: Request) {
        let organisation = self.organisation(&request);
        let entrance = &mut self.entrances[request.instance];
        let passes = entrance.queue.passes(&organisation);
        let choose = |policy: &mut Box<dyn Policy>| policy.choose(&request, self.now);
        let engine = passes.then(|| choose(&mut entrance.policy)).flatten();
        if let Some(engine) = engine {
            self.send(request, engine);
            return;
        }
        let entry = Entry {
            priority: Priority(1),
            cost: 1,
            deadline: request.deadline,
            item: request,
        };
        let shed = entrance.queue.push(&organisation, entry, self.now);
        if let Some(shed) = shed {
            self.record(&shed.entry.item, None, false);
        }
    }

    fn serve_queue(&mut self, index: usize) {
        let now = self.now;
        let entrance = &mut self.entrances[index];
        let expired = entrance.queue.expire(now);
        for shed in expired {
            self.record(&shed.entry.item, None, false);
        }
        loop {
            let entrance = &mut self.entrances[index];
            let policy = &mut entrance.policy;
            let place = |_: &_, entry: &Entry<Request>| policy.choose(&entry.item, now);
            let Some((_, entry, engine)) = entrance.queue.pop(now, place) else {
                break;
            };
            self.send(entry.item, engine);
        }
    }

    fn send(&mut self, mut request: Request, engine: usize) {
        self.tries += 1;
        let organisation = self.organisation(&request);
        let queue = &mut self.entrances[request.instance].queue;
        queue.began(&organisation);
        if self.priorities {
            request.urgency = queue.urgency(&organisation, Priority(0)).0;
        }
        for (request, end) in self.engines[engine].send(request, self.now) {
            self.ended(request, engine, end);
        }
    }

    fn ended(&mut self, mut request: Request, engine: usize, end: End) {
        let now = self.now;
        let organisation = self.organisation(&request);
        self.entrances[request.instance].queue.ended(&organisation);
        let policy = &mut self.entrances[request.instance].policy;
        let outcome = match end {
            End::Done { first_token, .. } => Outcome::Done {
                first_token: Some(first_token),
            },
            End::Failed => Outcome::Failed,
            End::Refused => Outcome::Refused,
        };
        policy.finish(&request, engine, outcome, now);
        if let End::Done { first, .. } = end {
            self.record(&request, Some(first.since(request.arrived)), false);
            return;
        }
        if now < request.deadline && policy.may_retry(&request, now) {
            request.tries += 1;
            self.arrive(request);
            return;
        }
        self.record(&request, None, true);
    }

    fn record(&mut self, request: &Request, first_token: Option<Span>, failed: bool) {
        self.records.push(Record {
            organisation: request.organisation,
            arrived: request.arrived,
            first_token,
            failed,
        });
    }
}
