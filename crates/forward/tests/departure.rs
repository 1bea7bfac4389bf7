//! How soon every instance stops sending to upstreams that leave.
//!
//! `FORWARD_DEPARTURE_SEEDS=1000` runs more seeds than CI does.

#[path = "departure/world.rs"]
mod world;

use entity::Span;
use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use world::{Dating, Rule, Shape, World};

/// Longest time that a datagram takes on a network that is not congested, in milliseconds.
const PROMPT_TRANSIT_MS: u64 = 55;
/// Number of seeds that run in CI.
const DEFAULT_SEED_COUNT: u64 = 24;

fn seeds() -> u64 {
    let count = std::env::var("FORWARD_DEPARTURE_SEEDS").ok();
    count.map_or(DEFAULT_SEED_COUNT, |text| text.parse().expect("a number"))
}

fn shape(random: &mut ChaCha8Rng) -> Shape {
    Shape {
        instances: random.random_range(6..40),
        upstreams: random.random_range(20..120),
        bound: Span::from_secs(random.random_range(2..=3)),
        // Where most datagrams are lost, instances have to read the store themselves.
        loss: if random.random_bool(0.5) {
            random.random_range(0.0..0.1)
        } else {
            random.random_range(0.7..1.0)
        },
        max_transit_ms: PROMPT_TRANSIT_MS,
        max_pause_ms: random.random_range(0..150),
        pause_share: 0.01,
        rule: Rule::AnyState,
        dating: Dating::Clocks,
    }
}

/// Upstreams must not be used past the bound after they leave, however many leave at the same time,
/// whether they say that they are draining or their entries are removed.
#[gtest]
fn upstreams_are_not_used_past_the_bound_after_they_leave() {
    for seed in 0..seeds() {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let shape = shape(&mut random);
        let findings = run(shape, &mut random, seed);
        let first = findings.first();
        expect_that!(first, none(), "seed {seed}: {shape:?}, {}", findings.len());
    }
}

/// Instances that stand still for seconds must not dispatch by what they knew before,
/// so that requests still arrive within the bound.
#[gtest]
fn paused_instances_do_not_dispatch_by_an_old_state() {
    for seed in 0..seeds() {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let shape = long_pauses(&mut random, Rule::RecentState);
        let findings = run(shape, &mut random, seed);
        let first = findings.first();
        expect_that!(first, none(), "seed {seed}: {shape:?}, {}", findings.len());
    }
}

/// Datagrams that wait on a slow link must not make a state seem younger than it is, or requests are
/// dispatched by a state that is too old.
#[gtest]
fn slow_datagrams_do_not_lead_to_late_dispatch() {
    for seed in 0..seeds() {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let shape = Shape {
            max_transit_ms: random.random_range(PROMPT_TRANSIT_MS..300),
            ..long_pauses(&mut random, Rule::RecentState)
        };
        let findings = run(shape, &mut random, seed);
        let first = findings.first();
        expect_that!(first, none(), "seed {seed}: {shape:?}, {}", findings.len());
    }
}

/// Without a comparison of the clocks, the exploration must find states that seem younger than they
/// are.
#[gtest]
fn dating_by_the_arrival_is_caught() {
    let caught = (0..seeds()).filter(|&seed| {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let shape = Shape {
            max_transit_ms: random.random_range(PROMPT_TRANSIT_MS..300),
            dating: Dating::Mutation,
            ..long_pauses(&mut random, Rule::RecentState)
        };
        !run(shape, &mut random, seed).is_empty()
    });
    expect_that!(caught.count(), gt(0));
}

/// Without the rule on the age of the state, the exploration must find dispatches that are too late.
#[gtest]
fn dispatch_by_an_old_state_is_caught() {
    let caught = (0..seeds()).filter(|&seed| {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let shape = long_pauses(&mut random, Rule::Mutation);
        !run(shape, &mut random, seed).is_empty()
    });
    expect_that!(caught.count(), gt(0));
}

fn long_pauses(random: &mut ChaCha8Rng, rule: Rule) -> Shape {
    Shape {
        max_pause_ms: random.random_range(1000..5000),
        pause_share: 0.001,
        rule,
        ..shape(random)
    }
}

/// Lets many upstreams leave and others join, twice. Returns the findings.
fn run(shape: Shape, random: &mut ChaCha8Rng, seed: u64) -> Vec<String> {
    let mut world = World::new(shape, seed);
    let mut findings = Vec::new();
    let mut staying: Vec<usize> = (0..shape.upstreams).collect();
    for _ in 0..2 {
        let calm = Span::from_millis(random.random_range(3000..6000));
        findings.extend(world.run(world.now + calm));
        let count = random.random_range(1..=staying.len().min(60));
        let removed_share = random.random_range(0.0..1.0);
        for _ in 0..count {
            let upstream = staying.swap_remove(random.random_range(0..staying.len()));
            world.leave(upstream, random.random_bool(removed_share));
            if random.random_bool(0.5) {
                world.join();
            }
        }
        if staying.is_empty() {
            break;
        }
    }
    findings.extend(world.run(world.now + shape.bound + Span::from_secs(1)));
    findings
}

/// Entries that lapse during an outage of the store come back with the next entries of their
/// upstreams. Until then the upstreams must stay in use.
#[gtest]
fn lapsed_upstreams_stay_in_use_after_an_outage() {
    for seed in 0..seeds() {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let shape = shape(&mut random);
        let mut world = World::new(shape, seed);
        world.run(world.now + Span::from_millis(random.random_range(3000..6000)));
        world.set_store(false);
        let outage = Span::from_millis(random.random_range(4000..8000));
        world.run(world.now + outage);
        let lapsed: Vec<usize> = (0..shape.upstreams).step_by(2).collect();
        for &upstream in &lapsed {
            world.lapse(upstream);
        }
        world.set_store(true);
        let end = world.now + Span::from_secs(4);
        let mut missing = Vec::new();
        while world.now < end {
            world.run(world.now + Span::from_millis(20));
            for instance in 0..shape.instances {
                let is_missing = |upstream: &&usize| !world.is_ready(instance, **upstream);
                missing.extend(lapsed.iter().find(is_missing).map(|_| instance));
            }
        }
        expect_that!(missing, is_empty(), "seed {seed}: {shape:?}");
    }
}
