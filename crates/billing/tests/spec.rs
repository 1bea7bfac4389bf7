//! Explores the model of the commit of a usage record, with all rules and with one rule left out.

mod model;

use googletest::prelude::*;
use model::{Mutation, State};
use pathfinding::directed::bfs::{bfs, bfs_reach};

/// Number of appends sent, over all instances.
const SENDS: u8 = 3;

/// Returns the failed instances of a state: the owner, then each peer.
fn failed_instances(state: &State) -> Vec<&'static str> {
    let running = [state.owner, state.running[0], state.running[1]];
    let names = ["owner", "first holder", "second holder"];
    let failed_instances = names.iter().zip(running).filter(|(_, running)| !running);
    failed_instances.map(|(name, _)| *name).collect()
}

#[gtest]
fn only_the_loss_of_owner_and_all_holders_loses_a_record() {
    let mut states = 0;
    let mut losses = Vec::new();
    for state in bfs_reach(State::start(SENDS), |s| s.steps(Mutation::None)) {
        states += 1;
        assert_that!(
            state.billed(Mutation::None),
            eq(u64::from(state.log.min(1)))
        );
        if state.is_lost() && !losses.contains(&failed_instances(&state)) {
            losses.push(failed_instances(&state));
        }
    }
    println!("{states} states; deaths that lose an answered record: {losses:?}");
    expect_that!(
        losses,
        elements_are![eq(&vec!["owner", "first holder", "second holder"])]
    );
}

/// Returns whether a state violates an invariant of the complete protocol.
fn is_violated(state: &State, mutation: Mutation) -> bool {
    let lost = state.is_lost() && failed_instances(state).len() < 3;
    lost || state.billed(mutation) > 1
}

fn violation_depth(mutation: Mutation) -> Option<usize> {
    let path = bfs(
        &State::start(SENDS),
        |state| state.steps(mutation),
        |state| is_violated(state, mutation),
    )?;
    println!("{mutation:?}: violated after {} steps", path.len() - 1);
    Some(path.len() - 1)
}

#[gtest]
fn missing_dedup_is_caught() {
    expect_that!(violation_depth(Mutation::WithoutDedup), some(gt(0)));
}

#[gtest]
fn answer_before_the_record_is_safe_is_caught() {
    expect_that!(violation_depth(Mutation::AnsweredUnsafe), some(gt(0)));
}

#[gtest]
fn holder_that_drops_early_is_caught() {
    expect_that!(violation_depth(Mutation::DroppedEarly), some(gt(0)));
}

#[gtest]
fn complete_protocol_has_no_violation() {
    expect_that!(violation_depth(Mutation::None), none());
}
