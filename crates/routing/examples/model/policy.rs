//! Policies of the instances: the balancer and the baselines.

use super::{COLD_LIMIT, Report, Request, WARM_LIMIT};
use config::{
    AdminState, Config, Fencing, Kind, Organisation, Service, Stage, Upstream, Version, Zone,
};
use entity::id::{self, Id};
use entity::time::Span;
use entity::unit::{Bytes, Cost, Share};
use entity::{Generation, Map, Moment, name};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use routing::{Balancer, Bounds, Choice, Load, Members, Outcome, Priority, Query};
use std::sync::Arc;

/// Returns the configuration of a fleet whose engines alternate between the zones.
pub fn config(zones: usize, engines: usize, organisations: &[(u32, u32)]) -> Config {
    let zone = |index| Zone {
        name: format!("zone-{index}").parse().unwrap(),
        region: "region".parse().unwrap(),
        state: AdminState::In,
    };
    let upstream = |index: usize| Upstream {
        name: format!("engine-{index:04}").parse().unwrap(),
        zone: id::Zone::new(index % zones),
        address: "127.0.0.1:1".parse().unwrap(),
        versions: vec![id::Version::new(0)],
        services: Vec::new(),
        warm: WARM_LIMIT,
        cold: COLD_LIMIT,
        fencing: Fencing::Checked,
        state: AdminState::In,
        registration: None,
    };
    let organisation = |(index, &(weight, reserve)): (usize, &(u32, u32))| Organisation {
        name: format!("organisation-{index:02}").parse().unwrap(),
        services: vec![id::Service::new(0)],
        versions: vec![id::Version::new(0)],
        weight,
        reserve,
        keys: Vec::new(),
        priority: None,
        regions: Vec::new(),
    };
    let service = Service {
        name: "draft".parse().unwrap(),
        kind: Kind::Chat,
        depends: Vec::new(),
        versions: vec![id::Version::new(0)],
        quality: Share::percent(80),
        cascade: false,
        deadline: Span::from_secs(30),
        models: Vec::new(),
    };
    let version = Version {
        name: "draft/1".parse().unwrap(),
        model: "draft".parse().unwrap(),
        price_in: Cost(1),
        price_out: Cost(1),
        stage: Stage::Active,
    };
    Config {
        zones: Map::new((0..zones).map(zone).collect()),
        services: Map::new(vec![service]),
        versions: Map::new(vec![version]),
        upstreams: Map::new((0..engines).map(upstream).collect()),
        organisations: Map::new(organisations.iter().enumerate().map(organisation).collect()),
        ..Config::default()
    }
}

/// Policy by which an instance selects engines.
pub trait Policy {
    fn configure(&mut self, config: &Arc<Config>, generation: Generation, now: Moment);
    fn tick(&mut self, _now: Moment) {}
    fn report(&mut self, _engine: usize, _report: &Report, _now: Moment) {}
    /// Returns an engine for a request, if one may take it now.
    fn choose(&mut self, request: &Request, now: Moment) -> Option<usize>;
    fn finish(&mut self, request: &Request, engine: usize, outcome: Outcome, now: Moment);
    fn may_retry(&mut self, request: &Request, now: Moment) -> bool;
}

/// The balancer of this crate.
pub struct BalancerPolicy {
    balancer: Balancer,
    generation: Generation,
    choices: Vec<(usize, Choice)>,
    members: Members,
    tick: Moment,
}

fn instance(index: usize) -> name::Instance {
    format!("entry-{index}").parse().unwrap()
}

impl BalancerPolicy {
    pub fn new(own: usize, instances: usize, zones: usize, seed: u64) -> Self {
        let zone = format!("zone-{}", own % zones).parse().unwrap();
        let live = (0..instances).map(instance).collect();
        Self {
            balancer: Balancer::new(instance(own), zone, Bounds::default(), seed),
            generation: Generation(0),
            choices: Vec::new(),
            members: Members::new(1, live),
            tick: Moment(0),
        }
    }
}

impl Policy for BalancerPolicy {
    fn configure(&mut self, config: &Arc<Config>, generation: Generation, now: Moment) {
        self.generation = generation;
        self.balancer.configure(config, generation, now);
    }

    fn tick(&mut self, now: Moment) {
        if now.since(self.tick) >= Span::from_secs(1) {
            self.tick = now;
            self.balancer.set_members(self.members.clone(), now, now);
        }
    }

    fn report(&mut self, engine: usize, report: &Report, now: Moment) {
        let name = format!("engine-{engine:04}").parse().unwrap();
        let load = Load {
            as_of: report.as_of,
            running: report.running,
            queued: report.queued,
            cold: report.cold,
            prefixes: report.prefixes.clone(),
        };
        self.balancer.record_load(&name, load, now);
    }

    fn choose(&mut self, request: &Request, now: Moment) -> Option<usize> {
        let query = Query {
            generation: self.generation,
            service: id::Service::new(0),
            version: Some(id::Version::new(0)),
            organisation: id::Organisation::new(request.organisation),
            prompt: Bytes((request.prefill_ms * 100.0) as u64),
            prefix: Some(request.prefix),
            demand: None,
            priority: Priority(0),
            excluded: &[],
            regions: None,
            deadline: request.deadline,
            is_repeatable: true,
        };
        let choice = self.balancer.choose(&query, now).ok()?;
        self.balancer
            .recheck(&choice, now)
            .expect("nothing changed since the choice");
        let engine = choice.upstream.as_str()["engine-".len()..].parse().unwrap();
        self.choices.push((request.id, choice));
        if request.tries == 0 {
            self.balancer.record_request(now);
        }
        Some(engine)
    }

    fn finish(&mut self, request: &Request, _engine: usize, outcome: Outcome, now: Moment) {
        let index = self
            .choices
            .iter()
            .position(|(id, _)| *id == request.id)
            .unwrap();
        let (_, choice) = self.choices.swap_remove(index);
        self.balancer.finish(choice, outcome, now);
    }

    fn may_retry(&mut self, request: &Request, now: Moment) -> bool {
        self.balancer
            .schedule_retry(request.tries, request.deadline, now)
            .is_some()
    }
}

/// Rule by which a baseline selects an engine.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Rule {
    RoundRobin,
    Random,
    LeastConnections,
}

/// A baseline policy over all engines in service, which ignores load reports.
pub struct Baseline {
    rule: Rule,
    random: ChaCha8Rng,
    config: Arc<Config>,
    running: Vec<u32>,
    next: usize,
}

impl Baseline {
    pub fn new(rule: Rule, engines: usize, seed: u64) -> Self {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        Self {
            rule,
            next: random.random_range(0..engines),
            random,
            config: Arc::default(),
            running: vec![0; engines],
        }
    }
}

impl Policy for Baseline {
    fn configure(&mut self, config: &Arc<Config>, _: Generation, _: Moment) {
        self.config = Arc::clone(config);
    }

    fn choose(&mut self, _: &Request, _: Moment) -> Option<usize> {
        let open = |engine: &usize| self.config.is_in_service(id::Upstream::new(*engine));
        let open: Vec<usize> = (0..self.running.len()).filter(open).collect();
        self.next += 1;
        let engine = match self.rule {
            Rule::RoundRobin => open[self.next % open.len()],
            Rule::Random => open[self.random.random_range(0..open.len())],
            Rule::LeastConnections => {
                // Ties are resolved in rotation, as common load balancers do.
                let turn = |engine: &usize| (engine + self.next) % self.running.len();
                let key = |engine: &&usize| (self.running[**engine], turn(engine));
                *open.iter().min_by_key(key).unwrap()
            }
        };
        self.running[engine] += 1;
        Some(engine)
    }

    fn finish(&mut self, _: &Request, engine: usize, _: Outcome, _: Moment) {
        self.running[engine] -= 1;
    }

    fn may_retry(&mut self, request: &Request, _: Moment) -> bool {
        request.tries < 2
    }
}
