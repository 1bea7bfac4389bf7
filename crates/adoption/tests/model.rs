//! Exhaustive exploration of the adoption protocol in small models, and of mutations of it.
//!
//! Each test prints the number of states reached. `ADOPTION_MODEL=large` also explores a model of
//! several million states, which takes minutes.

mod world;

use googletest::prelude::*;
use pathfinding::directed::bfs::bfs_reach;
use world::{Limits, Mutation, World};

/// Two concurrent publishers, each with a copy that can be lost or late, and one retry.
const RACE: Limits = Limits {
    publishers: 2,
    readers: 1,
    copies: 2,
    publications: 1,
    checkpoints: 0,
    expiries: 0,
    restarts: 0,
    history: 1,
    invalid: false,
};

/// As `RACE`, with a second reader: each can start at any time and learn from the other.
const DIGEST: Limits = Limits { readers: 2, ..RACE };

/// Two concurrent publishers, a late checkpoint of a paused writer, and expiry of old records.
const CHECKPOINT: Limits = Limits {
    copies: 1,
    checkpoints: 1,
    expiries: 1,
    ..DIGEST
};

/// Retries with two late checkpoints, which can be appended in either order, and expiry of all old
/// records.
const EXPIRY: Limits = Limits {
    publishers: 1,
    checkpoints: 2,
    expiries: 2,
    ..DIGEST
};

/// Concurrent publishers with retries and a late checkpoint together.
const LARGE: Limits = Limits {
    checkpoints: 1,
    ..DIGEST
};

/// Explores all states and prints their number. Stops at the first violation and returns it.
fn explore(name: &str, limits: Limits, mutation: Option<Mutation>) -> Option<&'static str> {
    let successors = |world: &World| {
        let actions = world.actions();
        let after: Vec<_> = actions.iter().map(|action| world.after(*action)).collect();
        after
    };
    let mut states = 0;
    let mut violation = None;
    for world in bfs_reach(World::new(limits, mutation), successors) {
        states += 1;
        violation = world.violation.or(world.is_stuck().then_some("no verdict"));
        if violation.is_some() {
            break;
        }
    }
    println!("{name}: {states} states, violation: {violation:?}");
    violation
}

#[gtest]
fn concurrent_publishers_get_correct_verdicts() {
    expect_that!(explore("race", RACE, None), none());
}

#[gtest]
fn invalid_text_never_goes_into_force() {
    let limits = Limits {
        invalid: true,
        ..RACE
    };
    expect_that!(explore("invalid", limits, None), none());
}

#[gtest]
fn generation_never_decreases_when_readers_learn_from_digests() {
    expect_that!(explore("digest", DIGEST, None), none());
}

#[gtest]
fn late_checkpoint_does_not_restore_an_old_generation() {
    expect_that!(explore("checkpoint", CHECKPOINT, None), none());
}

#[gtest]
fn readers_recover_from_expiry_only_through_checkpoints() {
    expect_that!(explore("expiry", EXPIRY, None), none());
}

#[gtest]
fn replaced_reader_starts_fresh() {
    let limits = Limits {
        publishers: 1,
        copies: 1,
        restarts: 1,
        ..CHECKPOINT
    };
    expect_that!(explore("replaced", limits, None), none());
}

#[gtest]
fn large_model_has_no_violation() {
    if std::env::var("ADOPTION_MODEL").as_deref() != Ok("large") {
        println!("large: not run");
        return;
    }
    expect_that!(explore("large", LARGE, None), none());
}

#[gtest]
fn accepting_a_stale_base_is_detected() {
    let found = explore("stale base", RACE, Some(Mutation::StaleBase));
    expect_that!(
        found,
        some(eq("something is in force that was never accepted"))
    );
}

#[gtest]
fn starting_from_a_checkpoint_with_a_gap_is_detected() {
    let found = explore("gap", EXPIRY, Some(Mutation::GapCheckpoint));
    expect_that!(found, some(eq("a reader disagrees about a prefix")));
}

#[gtest]
fn adopting_a_lower_generation_is_detected() {
    let found = explore("lower", DIGEST, Some(Mutation::LowerLearned));
    expect_that!(found, some(eq("a generation went down")));
}

#[gtest]
fn reporting_the_verdict_on_a_later_copy_is_detected() {
    let found = explore("later copy", RACE, Some(Mutation::LaterCopy));
    expect_that!(found, some(eq("a publisher reported a wrong verdict")));
}

#[gtest]
fn adopting_a_late_checkpoint_is_detected() {
    let found = explore(
        "late checkpoint",
        CHECKPOINT,
        Some(Mutation::LateCheckpoint),
    );
    expect_that!(
        found,
        some(any![
            eq("a reader disagrees about a prefix"),
            eq("a generation went down")
        ])
    );
}
