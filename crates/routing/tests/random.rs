//! Long randomised runs of three balancers with cold and warm engines.
//!
//! Instances join, leave, crash, pause and read a lagging list; engines turn cold and warm;
//! operators take zones out of service and back and withdraw versions. In every case a request must
//! be sent only where the sender's configuration allows it, and the slots in use of an upstream
//! must not exceed its limit. `ROUTING_SEEDS=n` sets the number of seeds.

mod common;

use common::{START, config, engine, instance, members, millis, query, secs};
use config::{AdminState, Config, Stage};
use entity::id::{self, Id};
use entity::time::Span;
use entity::{Generation, Moment};
use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use routing::{Balancer, Bounds, Choice, Grant, Load, Outcome, Query};
use std::sync::Arc;

const INSTANCES: usize = 3;
const UPSTREAMS: usize = 4;
const STEP: Span = Span::from_millis(250);
const STEPS: usize = 2400;

/// Shortest time that a name stays on the list, or off it.
const DWELL: Span = Span::from_secs(10);

/// Bounds with shorter requests than the default, so that slots change owners often.
const BOUNDS: Bounds = Bounds {
    lag: Span::from_secs(2),
    max_list_age: Span::from_secs(2),
    slack: Span::from_secs(1),
    run: Span::from_secs(5),
};

struct Instance {
    balancer: Balancer,
    generation: Generation,
    config: Arc<Config>,
    running: Vec<Choice>,
    paused_until: Moment,
}

struct World {
    now: Moment,
    random: ChaCha8Rng,
    config: Config,
    generation: Generation,
    /// Past lists, newest last, each with the time from which it was true.
    lists: Vec<(Moment, Vec<usize>)>,
    moved: [Moment; INSTANCES],
    cold: [bool; UPSTREAMS],
    instances: Vec<Instance>,
    cold_sent: u32,
    warm_sent: u32,
}

impl World {
    fn new(seed: u64) -> Self {
        let config = config(UPSTREAMS);
        let mut world = Self {
            now: START,
            random: ChaCha8Rng::seed_from_u64(seed),
            config,
            generation: Generation(1),
            lists: vec![(Moment(0), (0..INSTANCES).collect())],
            moved: [START; INSTANCES],
            cold: [true; UPSTREAMS],
            instances: Vec::new(),
            cold_sent: 0,
            warm_sent: 0,
        };
        world.instances = (0..INSTANCES).map(|index| world.node(index)).collect();
        world
    }

    fn node(&self, index: usize) -> Instance {
        let zone = "amman-a".parse().unwrap();
        let mut balancer = Balancer::new(instance(index), zone, BOUNDS, index as u64);
        let config = Arc::new(self.config.clone());
        balancer.configure(&config, self.generation, self.now);
        Instance {
            balancer,
            generation: self.generation,
            config,
            running: Vec::new(),
            paused_until: self.now,
        }
    }

    fn step(&mut self) {
        self.now = self.now + STEP;
        self.inject_faults();
        for index in 0..INSTANCES {
            self.end_overdue(index);
            if self.instances[index].paused_until > self.now {
                continue;
            }
            self.observe(index);
            self.work(index);
            self.check();
        }
    }

    fn inject_faults(&mut self) {
        let index = self.random.random_range(0..INSTANCES);
        if self.random.random_bool(0.02) && self.now.since(self.moved[index]) > DWELL {
            self.moved[index] = self.now;
            let (_, mut live) = self.lists.last().unwrap().clone();
            let present = live.contains(&index);
            live.retain(|&other| other != index);
            if !present {
                live.push(index);
            }
            self.lists.push((self.now, live));
        }
        if self.random.random_bool(0.005) {
            // A crash closes the instance's connections, which ends its requests.
            self.instances[index] = self.node(index);
        }
        if self.random.random_bool(0.01) {
            let pause = secs(self.random.random_range(0..15));
            self.instances[index].paused_until = self.now + pause;
        }
        let upstream = self.random.random_range(0..UPSTREAMS);
        if self.random.random_bool(0.02) {
            self.cold[upstream] = !self.cold[upstream];
        }
        if self.random.random_bool(0.01) {
            self.edit();
        }
    }

    fn edit(&mut self) {
        let zone = id::Zone::new(self.random.random_range(0..2));
        let version = id::Version::new(0);
        let withdraw = self.random.random_bool(0.1);
        self.config.versions[version].stage = match withdraw {
            true => Stage::Withdrawn,
            false => Stage::Active,
        };
        self.config.zones[zone].state = match self.config.zones[zone].state {
            AdminState::In => AdminState::Out,
            AdminState::Out => AdminState::In,
        };
        self.generation = Generation(self.generation.0 + 1);
    }

    /// Ends requests at their deadline, including those of a paused instance, as the upstream
    /// would.
    fn end_overdue(&mut self, index: usize) {
        let node = &mut self.instances[index];
        for choice in node.running.extract_if(.., |choice| choice.end < self.now) {
            node.balancer.finish(choice, Outcome::Cancelled, self.now);
        }
    }

    fn observe(&mut self, index: usize) {
        let now = self.now;
        let node = &mut self.instances[index];
        if node.generation != self.generation && self.random.random_bool(0.2) {
            node.generation = self.generation;
            node.config = Arc::new(self.config.clone());
            node.balancer.configure(&node.config, self.generation, now);
        }
        if self.random.random_bool(0.7) {
            let lag = millis(self.random.random_range(0..=2000));
            let seen = self.lists.partition_point(|&(from, _)| from <= now - lag);
            let (_, live) = &self.lists[seen - 1];
            node.balancer
                .set_members(members(seen as u64, live), now, now);
        }
        for upstream in 0..UPSTREAMS {
            if self.random.random_bool(0.7) {
                continue;
            }
            let load = Load {
                as_of: now,
                cold: self.cold[upstream],
                ..Load::default()
            };
            node.balancer.record_load(&engine(upstream), load, now);
        }
    }

    fn work(&mut self, index: usize) {
        let now = self.now;
        let node = &mut self.instances[index];
        while !node.running.is_empty() && self.random.random_bool(0.2) {
            let ended = self.random.random_range(0..node.running.len());
            let choice = node.running.swap_remove(ended);
            let first_token = millis(300);
            let outcome = match self.random.random_range(0..20) {
                0 => Outcome::Failed,
                1 => Outcome::Refused,
                _ => Outcome::Done {
                    first_token: Some(first_token),
                },
            };
            node.balancer.finish(choice, outcome, now);
        }
        for _ in 0..2 {
            let asked = Query {
                generation: node.generation,
                deadline: now + millis(self.random.random_range(1..=5000)),
                ..query(now)
            };
            let Ok(choice) = node.balancer.choose(&asked, now) else {
                continue;
            };
            if node.balancer.recheck(&choice, now).is_err() {
                node.balancer.finish(choice, Outcome::Cancelled, now);
                continue;
            }
            let upstream = node.config.upstream(choice.upstream.as_str()).unwrap();
            assert!(node.config.is_in_service(upstream));
            assert!(
                node.config
                    .allows(asked.organisation, asked.service, id::Version::new(0))
            );
            match choice.grant {
                Grant::Warm => self.warm_sent += 1,
                Grant::Cold { .. } => self.cold_sent += 1,
                Grant::RateLimited => unreachable!("no upstream registered itself"),
            }
            node.running.push(choice);
        }
    }

    /// Checks for each upstream that each slot is used at most once over all instances.
    fn check(&self) {
        for upstream in 0..UPSTREAMS {
            let mut slots = Vec::new();
            for node in &self.instances {
                for choice in &node.running {
                    let Grant::Cold { slot } = choice.grant else {
                        continue;
                    };
                    if choice.upstream == engine(upstream) {
                        slots.push(slot);
                    }
                }
            }
            slots.sort_unstable();
            let used = slots.len();
            slots.dedup();
            assert_eq!(used, slots.len(), "two requests on one slot of {upstream}");
            assert!(used <= 2, "more slots than the limit on {upstream}");
        }
    }
}

#[gtest]
fn invariants_hold_over_long_runs() {
    let seeds = std::env::var("ROUTING_SEEDS").map_or(200, |seeds| seeds.parse().unwrap());
    let (mut cold, mut warm) = (0, 0);
    for seed in 0..seeds {
        let mut world = World::new(seed);
        for _ in 0..STEPS {
            world.step();
        }
        cold += world.cold_sent;
        warm += world.warm_sent;
    }
    println!("{seeds} seeds: {cold} requests on slots, {warm} on warm upstreams");
    expect_that!(cold, gt(0));
    expect_that!(warm, gt(0));
}
