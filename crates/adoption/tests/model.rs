//! Exhaustive exploration of the adoption protocol in small worlds, and of its mutations.
//!
//! Each test prints how many states it reached. `ADOPTION_MODEL=large` also explores a world of some
//! millions of states, which takes minutes.

mod world;

use googletest::prelude::*;
use pathfinding::directed::bfs::bfs_reach;
use world::{Limits, Mutation, World};

/// Two publishers race, each with a copy that can be lost or late and a retry.
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

/// The race, with a reader that starts fresh at any moment and learns from the other.
const DIGEST: Limits = Limits { readers: 2, ..RACE };

/// Two racing publishers, a late checkpoint of a paused writer, and expiry of the past.
const CHECKPOINT: Limits = Limits {
    copies: 1,
    checkpoints: 1,
    expiries: 1,
    ..DIGEST
};

/// Retries with two late checkpoints, which can land in either order, and expiry of all the past.
const EXPIRY: Limits = Limits {
    publishers: 1,
    checkpoints: 2,
    expiries: 2,
    ..DIGEST
};

/// The race and a late checkpoint together.
const LARGE: Limits = Limits {
    checkpoints: 1,
    ..DIGEST
};

/// The number of states reached, and the first violation, at which the exploration ends.
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
        violation = world.violation.or(world.is_stuck().then_some("no answer"));
        if violation.is_some() {
            break;
        }
    }
    println!("{name}: {states} states, violation: {violation:?}");
    violation
}

#[gtest]
fn racing_publishers_get_true_answers() {
    expect_that!(explore("race", RACE, None), none());
}

#[gtest]
fn an_invalid_text_never_goes_into_force() {
    let limits = Limits {
        invalid: true,
        ..RACE
    };
    expect_that!(explore("invalid", limits, None), none());
}

#[gtest]
fn a_reader_that_learns_by_digest_never_goes_back() {
    expect_that!(explore("digest", DIGEST, None), none());
}

#[gtest]
fn a_late_checkpoint_brings_nothing_back() {
    expect_that!(explore("checkpoint", CHECKPOINT, None), none());
}

#[gtest]
fn expiry_is_bridged_by_checkpoints_only() {
    expect_that!(explore("expiry", EXPIRY, None), none());
}

#[gtest]
fn a_replaced_reader_starts_anew() {
    let limits = Limits {
        publishers: 1,
        copies: 1,
        restarts: 1,
        ..CHECKPOINT
    };
    expect_that!(explore("replaced", limits, None), none());
}

#[gtest]
fn the_large_world_holds_too() {
    if std::env::var("ADOPTION_MODEL").as_deref() != Ok("large") {
        println!("large: not run");
        return;
    }
    expect_that!(explore("large", LARGE, None), none());
}

#[gtest]
fn accepting_a_stale_base_is_caught() {
    let found = explore("stale base", RACE, Some(Mutation::StaleBase));
    expect_that!(
        found,
        some(eq("something is in force that was never accepted"))
    );
}

#[gtest]
fn accepting_a_checkpoint_with_a_gap_is_caught() {
    let found = explore("gap", EXPIRY, Some(Mutation::GapCheckpoint));
    expect_that!(found, some(eq("a reader disagrees about a prefix")));
}

#[gtest]
fn adopting_a_lower_generation_is_caught() {
    let found = explore("lower", DIGEST, Some(Mutation::LowerLearned));
    expect_that!(found, some(eq("a generation went down")));
}

#[gtest]
fn answering_from_a_later_copy_is_caught() {
    let found = explore("later copy", RACE, Some(Mutation::LaterCopy));
    expect_that!(found, some(eq("a publisher was told a wrong answer")));
}

#[gtest]
fn taking_a_late_checkpoint_is_caught() {
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
