//! Exploration of instances that share evidence against parts of prompts.
//!
//! Messages are lost, late and repeated; instances restart, freeze and join; upstreams also end for
//! other reasons. Each guard taken out is caught by a seed. `QUARANTINE_SEEDS=500` explores more.

mod support;
#[path = "exploration/world.rs"]
mod world;

use googletest::prelude::*;
use support::{DEFAULT_SEED_COUNT, seed_count};
use world::{Mutation, World};

/// Bad parts went from one upstream to the next, and sound prompts were refused along with them.
#[gtest]
fn bad_parts_stop_and_sound_prompts_go_on() {
    for seed in 0..seed_count() {
        let findings = World::new(seed, Mutation::None).run();
        expect_that!(findings, is_empty(), "seed {seed}");
    }
}

/// Bad parts that ended upstreams before the head of an answer, late in it or after it were never held.
#[gtest]
fn bad_parts_stop_whenever_they_end_upstreams() {
    for seed in 0..seed_count() {
        let findings = World::with_stages(seed, Mutation::None).run();
        expect_that!(findings, is_empty(), "seed {seed}");
    }
}

#[gtest]
fn missing_guards_against_any_stage_are_caught() {
    for mutation in [Mutation::HeadsOnly, Mutation::NotOutlived] {
        let is_caught = |&seed: &u64| !World::with_stages(seed, mutation).run().is_empty();
        let caught = (0..DEFAULT_SEED_COUNT).filter(is_caught);
        expect_that!(caught.count(), gt(0), "{mutation:?}");
    }
}

#[gtest]
fn missing_guards_are_caught() {
    for mutation in [
        Mutation::NothingTold,
        Mutation::NoRebuttal,
        Mutation::NoExplanation,
    ] {
        let caught =
            (0..DEFAULT_SEED_COUNT).filter(|&seed| !World::new(seed, mutation).run().is_empty());
        expect_that!(caught.count(), gt(0), "{mutation:?}");
    }
}
