//! Explores all states of the model of orders, with all rules and with one rule left out.

mod model;

use config::model::Fencing;
use googletest::prelude::*;
use model::{Mutation, Spec, State};
use pathfinding::directed::bfs::{bfs, bfs_reach};

const IGNORED: Spec = Spec {
    mutation: Mutation::None,
    fencing: Fencing::Ignored,
    ticks: 7,
};

const CHECKED: Spec = Spec {
    fencing: Fencing::Checked,
    ticks: 2,
    ..IGNORED
};

/// Returns the property that a state violates. Two senders may send the same order twice to an
/// engine that checks fences, because loading a loaded version has no effect there.
fn violation(spec: &Spec, state: &State) -> Option<&'static str> {
    if state.executed_out_of_order {
        return Some("an old order acted after a later one");
    }
    let executed_twice = state.executions.iter().any(|executions| *executions > 1);
    if spec.fencing == Fencing::Ignored && executed_twice {
        return Some("an order acted twice");
    }
    None
}

fn explore(name: &str, spec: &Spec) -> (usize, usize) {
    let (mut states, mut all_executed) = (0, 0);
    for state in bfs_reach(spec.start(), |state| spec.steps(state)) {
        states += 1;
        all_executed += usize::from(state.executions.iter().all(|executions| *executions > 0));
        let violation = violation(spec, &state);
        assert!(violation.is_none(), "{name}: {violation:?} in {state:#?}");
    }
    println!(
        "{name}: {states} states, {all_executed} of them with both orders acted, 0 violations"
    );
    (states, all_executed)
}

fn steps_to_violation(spec: &Spec) -> Option<usize> {
    let path = bfs(
        &spec.start(),
        |state| spec.steps(state),
        |state| violation(spec, state).is_some(),
    )?;
    let last = path.last().and_then(|state| violation(spec, state));
    println!(
        "{:?}: {last:?} after {} steps",
        spec.mutation,
        path.len() - 1
    );
    Some(path.len() - 1)
}

#[gtest]
fn quarantine_preserves_the_order_if_fences_are_ignored() {
    expect_that!(explore("fences ignored", &IGNORED).1, gt(0));
}

#[gtest]
fn fences_preserve_the_order_after_any_pause() {
    expect_that!(explore("fences checked", &CHECKED).1, gt(0));
}

#[gtest]
fn missing_quarantine_is_detected() {
    let mutation = Mutation::NoQuarantine;
    expect_that!(
        steps_to_violation(&Spec {
            mutation,
            ..IGNORED
        }),
        some(gt(0))
    );
}

#[gtest]
fn sender_with_orders_unread_since_its_quarantine_is_detected() {
    let mutation = Mutation::UnreadOrders;
    expect_that!(
        steps_to_violation(&Spec {
            mutation,
            ..IGNORED
        }),
        some(gt(0))
    );
}

#[gtest]
fn engine_that_ignores_fences_unannounced_is_detected() {
    let mutation = Mutation::FenceIgnoredByEngine;
    expect_that!(
        steps_to_violation(&Spec {
            mutation,
            ..CHECKED
        }),
        some(gt(0))
    );
}

#[gtest]
fn resend_without_an_inspection_is_detected() {
    let mutation = Mutation::ResentWithoutInspection;
    expect_that!(
        steps_to_violation(&Spec {
            mutation,
            ..IGNORED
        }),
        some(gt(0))
    );
}
