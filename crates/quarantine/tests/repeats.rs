//! Exploration of instances that share evidence against requests which end the upstreams that run them.
//!
//! A service has few upstreams, so that many sound requests are in the ends of each. Messages are lost, late
//! and repeated; instances restart, freeze and join; upstreams also end for other reasons. Each guard taken
//! out is caught by a seed. `QUARANTINE_SEEDS=500` explores more.

mod support;
#[path = "repeats/world.rs"]
mod world;

use googletest::prelude::*;
use support::{DEFAULT_SEED_COUNT, seed_count};
use world::{Mutation, World};

/// A plain request ended one upstream after the other whenever it came again.
#[gtest]
fn deadly_requests_stop_and_sound_ones_go_on() {
    for seed in 0..seed_count() {
        let findings = World::new(seed, Mutation::None).run();
        expect_that!(findings, is_empty(), "seed {seed}");
    }
}

#[gtest]
fn missing_guards_are_caught() {
    for mutation in [
        Mutation::NothingTold,
        Mutation::NoRebuttal,
        Mutation::AllProbe,
    ] {
        let caught =
            (0..DEFAULT_SEED_COUNT).filter(|&seed| !World::new(seed, mutation).run().is_empty());
        expect_that!(caught.count(), gt(0), "{mutation:?}");
    }
}
