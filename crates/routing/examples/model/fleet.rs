//! Runs a load against engines, through instances with one policy.

use super::policy::Policy;
use super::{End, Engine, Load, Request, STEP, Source};
use config::Config;
use entity::time::Span;
use entity::{Generation, Moment, name};
use routing::admission::{Entry, Queue};
use routing::{Outcome, Priority};
use std::sync::Arc;

/// A request that ended and is not retried.
#[derive(Clone, Debug)]
pub struct Record {
    pub organisation: usize,
    pub arrived: Moment,
    /// Time from the arrival at the instance to the first token; none if the request failed or was
    /// shed.
    pub first_token: Option<Span>,
    /// Whether the request failed at an engine, rather than being shed before it ran.
    pub failed: bool,
}

struct Router {
    policy: Box<dyn Policy>,
    queue: Queue<Request>,
}

pub struct Fleet {
    pub now: Moment,
    pub config: Config,
    generation: Generation,
    pub engines: Vec<Engine>,
    routers: Vec<Router>,
    source: Source,
    pub records: Vec<Record>,
    pub tries: usize,
    /// Whether the queues distinguish organisations.
    pub fair: bool,
    /// Whether engines receive lower priorities for requests beyond their organisation's share.
    pub priorities: bool,
}

/// Largest number of queued requests at one instance.
const QUEUE_LIMIT: usize = 64;

impl Fleet {
    /// Creates a fleet without any requests.
    pub fn new(
        config: Config,
        engines: Vec<Engine>,
        policies: Vec<Box<dyn Policy>>,
        load: Load,
        seed: u64,
    ) -> Self {
        let router = |policy| Router {
            policy,
            queue: Queue::new(QUEUE_LIMIT),
        };
        let mut fleet = Self {
            now: Moment(1_000_000_000),
            config: Config::default(),
            generation: Generation(0),
            engines,
            routers: policies.into_iter().map(router).collect(),
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
        let instances = self.routers.len() as u32;
        for router in &mut self.routers {
            router.policy.configure(&config, self.generation, self.now);
            for organisation in config.organisations.values() {
                let reserve = organisation.reserve / instances;
                router
                    .queue
                    .set_organisation(&organisation.name, organisation.weight, reserve);
            }
        }
    }

    /// Runs without load, so that the instances discover each other and the engines.
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
        for router in &mut self.routers {
            router.policy.tick(now);
        }
        for engine in 0..self.engines.len() {
            for (request, end) in self.engines[engine].step(now) {
                self.ended(request, engine, end);
            }
            for report in self.engines[engine].take_due_reports(now) {
                for router in &mut self.routers {
                    router.policy.report(engine, &report, now);
                }
            }
        }
        if loaded {
            for request in self.source.step(now) {
                self.arrive(request);
            }
        }
        for index in 0..self.routers.len() {
            self.serve_queue(index);
        }
    }

    fn organisation(&self, request: &Request) -> name::Organisation {
        let index = if self.fair { request.organisation } else { 0 };
        self.config.organisations.values()[index].name.clone()
    }

    fn arrive(&mut self, request: Request) {
        let organisation = self.organisation(&request);
        let router = &mut self.routers[request.instance];
        let passes = router.queue.can_bypass(&organisation);
        let choose = |policy: &mut Box<dyn Policy>| policy.choose(&request, self.now);
        let engine = passes.then(|| choose(&mut router.policy)).flatten();
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
        let shed = router.queue.push(&organisation, entry, self.now);
        if let Some(shed) = shed {
            self.record(&shed.entry.item, None, false);
        }
    }

    fn serve_queue(&mut self, index: usize) {
        let now = self.now;
        let router = &mut self.routers[index];
        let expired = router.queue.expire(now);
        for shed in expired {
            self.record(&shed.entry.item, None, false);
        }
        loop {
            let router = &mut self.routers[index];
            let policy = &mut router.policy;
            let place = |_: &_, entry: &Entry<Request>| policy.choose(&entry.item, now);
            let Some((_, entry, engine)) = router.queue.pop(now, place) else {
                break;
            };
            self.send(entry.item, engine);
        }
    }

    fn send(&mut self, mut request: Request, engine: usize) {
        self.tries += 1;
        let organisation = self.organisation(&request);
        let queue = &mut self.routers[request.instance].queue;
        queue.record_start(&organisation);
        if self.priorities {
            request.urgency = queue.effective_priority(&organisation, Priority(0)).0;
        }
        for (request, end) in self.engines[engine].send(request, self.now) {
            self.ended(request, engine, end);
        }
    }

    fn ended(&mut self, mut request: Request, engine: usize, end: End) {
        let now = self.now;
        let organisation = self.organisation(&request);
        self.routers[request.instance]
            .queue
            .record_end(&organisation);
        let policy = &mut self.routers[request.instance].policy;
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
