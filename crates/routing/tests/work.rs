//! The work of one event at one instance, as the number of instances grows: a roll-out on a large
//! fleet, where half of the upstreams are cold and all instances tell their work.

mod common;

use common::{START, config, query};
use config::{Config, Registration};
use entity::unit::Frequency;
use entity::{Moment, Span, name, work};
use googletest::prelude::*;
use routing::demand::{Demand, Work};
use routing::limit::Limit;
use routing::restriction::Incarnation;
use routing::{Balancer, Members, Outcome, Query};
use std::sync::Arc;

/// Instances of the deployments.
const SIZES: [usize; 3] = [8, 75, 320];
const UPSTREAM_COUNT: usize = 16;

fn names(instances: usize) -> Vec<name::Instance> {
    let name = |index| format!("north-{index}").parse().unwrap();
    (1..=instances).map(name).collect()
}

fn cold_config() -> Config {
    let mut config = config(UPSTREAM_COUNT);
    for (id, upstream) in config.upstreams.iter_mut() {
        let cold = entity::id::Id::index(id).is_multiple_of(2);
        upstream.registration = Some(Registration {
            incarnation: 1,
            cold_until: if cold {
                START + Span::from_secs(9)
            } else {
                Moment(0)
            },
            cold_rate: 40,
            memory: None,
        });
    }
    config
}

fn loads(config: &Config) -> Vec<(name::Upstream, Work)> {
    let work = Work {
        pending: 900.0,
        running: 2.0,
    };
    let upstreams = config.upstreams.values().iter();
    upstreams.map(|one| (one.name.clone(), work)).collect()
}

fn balancer(instances: usize) -> (Balancer, Config) {
    let config = cold_config();
    let mut balancer = common::balancer(&config, 7);
    balancer.set_members(Members::new(1, names(instances)), START, START);
    for name in names(instances).iter().skip(1) {
        balancer.record_peer_loads(name, loads(&config), instances - 1, START);
    }
    (balancer, config)
}

fn chat() -> Query<'static> {
    Query {
        demand: Some(Demand {
            own: 600,
            shared: 200,
            weight: 1.0,
            output: None,
        }),
        ..query(START)
    }
}

/// Returns the steps of a function at each size.
fn steps(mut run: impl FnMut(&mut Balancer, &Config, usize)) -> Vec<u64> {
    let mut steps = Vec::new();
    for instances in SIZES {
        let (mut balancer, config) = balancer(instances);
        let ((), taken) = work::measure(|| run(&mut balancer, &config, instances));
        steps.push(taken);
    }
    steps
}

/// Each choice hashed the names of all instances for each cold upstream, and added up the work that
/// all peers had announced.
#[gtest]
fn work_of_a_choice_does_not_grow_with_the_instances() {
    let steps = steps(|balancer, _, _| {
        if let Ok(choice) = balancer.choose(&chat(), START) {
            balancer.finish(choice, Outcome::Cancelled, START);
        }
        let _ = balancer.least_pending_work(&chat(), START);
    });
    expect_that!(steps[2], le(steps[0] + 10), "{steps:?}");
    expect_that!(steps[2], lt(100), "{steps:?}");
}

#[gtest]
fn work_of_an_announcement_does_not_grow_with_the_instances() {
    let steps = steps(|balancer, config, instances| {
        let name = &names(2)[1];
        balancer.record_peer_loads(name, loads(config), instances - 1, START);
    });
    expect_that!(steps[2], le(steps[0] + 10), "{steps:?}");
    expect_that!(steps[2], le(2 * UPSTREAM_COUNT as u64), "{steps:?}");
}

/// A list of instances without a change causes no work, and a changed one at most that of each
/// upstream in cold start.
#[gtest]
fn work_of_a_list_of_instances_is_bounded() {
    let same = steps(|balancer, _, instances| {
        balancer.set_members(Members::new(2, names(instances)), START, START);
    });
    expect_that!(same, each(eq(&0)));
    let changed = steps(|balancer, _, instances| {
        balancer.set_members(Members::new(2, names(instances - 1)), START, START);
    });
    let bound = SIZES[2] * UPSTREAM_COUNT;
    expect_that!(changed[2], le(bound as u64), "{changed:?}");
}

/// Limits are divided among all instances, which must not be done again for each request or for each
/// change of the configuration.
#[gtest]
fn work_of_named_limits_does_not_grow_with_the_instances() {
    let limit = |config: &Config, balancer: &mut Balancer| {
        for upstream in config.upstreams.values() {
            let incarnation = Incarnation {
                upstream: upstream.name.clone(),
                number: 1,
            };
            let limit = Limit {
                frequency: Some(Frequency(2000)),
                as_of: START,
            };
            balancer.record_limit(&incarnation, limit, START);
        }
    };
    let choices = steps(|balancer, config, _| {
        limit(config, balancer);
        let ((), taken) = work::measure(|| {
            for _ in 0..8 {
                if let Ok(choice) = balancer.choose(&chat(), START) {
                    balancer.finish(choice, Outcome::Cancelled, START);
                }
            }
        });
        expect_that!(taken, lt(100));
    });
    // Naming the limits costs one step for each instance and limit, once.
    let bound = SIZES[2] * UPSTREAM_COUNT;
    expect_that!(choices[2], le(bound as u64 + 100), "{choices:?}");
    // The configuration is taken again with its cold rates, as without limits.
    let plain = steps(configure);
    let limited = steps(|balancer, config, instances| {
        limit(config, balancer);
        let ((), taken) = work::measure(|| configure(balancer, config, instances));
        expect_that!(taken, le(plain.iter().copied().max().unwrap()));
    });
    expect_that!(limited, len(eq(SIZES.len())));
}

fn configure(balancer: &mut Balancer, config: &Config, _instances: usize) {
    balancer.configure(&Arc::new(config.clone()), entity::Generation(9), START);
}

/// The sums must be those of the announcements that count, whatever was replaced, expired or
/// renumbered by a configuration.
#[gtest]
fn sums_of_announced_work_stay_exact() {
    let (mut balancer, config) = balancer(40);
    let expected = balancer.least_pending_work(&chat(), START).unwrap();
    for round in 0..50 {
        for name in names(40).iter().skip(1) {
            balancer.record_peer_loads(name, loads(&config), 39, START);
        }
        let generation = entity::Generation(100 + round);
        balancer.configure(&Arc::new(config.clone()), generation, START);
    }
    let query = Query {
        generation: entity::Generation(149),
        ..chat()
    };
    expect_that!(
        balancer.least_pending_work(&query, START).unwrap(),
        eq(expected)
    );
    let later = START + Span::from_millis(1600);
    let query = Query {
        deadline: later + Span::from_secs(5),
        ..query
    };
    let alone = balancer.least_pending_work(&query, later).unwrap();
    expect_that!(alone, lt(expected));
}
