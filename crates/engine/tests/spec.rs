//! Explores the specification of orders, whole and with one rule left out.

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

/// What a state violates. An engine that checks fences can be given an order twice by two senders;
/// loading what is loaded changes nothing there.
fn violation(spec: &Spec, state: &State) -> Option<&'static str> {
    if state.overtaken {
        return Some("an old order acted after a later one");
    }
    let doubled = state.acts.iter().any(|acts| *acts > 1);
    if spec.fencing == Fencing::Ignored && doubled {
        return Some("an order acted twice");
    }
    None
}

fn explore(name: &str, spec: &Spec) -> (usize, usize) {
    let (mut states, mut acted) = (0, 0);
    for state in bfs_reach(spec.start(), |state| spec.steps(state)) {
        states += 1;
        acted += usize::from(state.acts.iter().all(|acts| *acts > 0));
        let violation = violation(spec, &state);
        assert!(violation.is_none(), "{name}: {violation:?} in {state:#?}");
    }
    println!("{name}: {states} states, {acted} of them with both orders acted, 0 violations");
    (states, acted)
}

fn caught(spec: &Spec) -> Option<usize> {
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
fn quarantine_keeps_the_order_where_fences_are_ignored() {
    expect_that!(explore("fences ignored", &IGNORED).1, gt(0));
}

#[gtest]
fn fences_keep_the_order_through_any_pause() {
    expect_that!(explore("fences checked", &CHECKED).1, gt(0));
}

#[gtest]
fn missing_quarantine_is_caught() {
    let mutation = Mutation::NoQuarantine;
    expect_that!(
        caught(&Spec {
            mutation,
            ..IGNORED
        }),
        some(gt(0))
    );
}

#[gtest]
fn sender_that_did_not_read_the_orders_after_its_quarantine_is_caught() {
    let mutation = Mutation::UnreadOrders;
    expect_that!(
        caught(&Spec {
            mutation,
            ..IGNORED
        }),
        some(gt(0))
    );
}

#[gtest]
fn engine_that_only_seems_to_check_fences_is_caught() {
    let mutation = Mutation::FenceIgnoredByEngine;
    expect_that!(
        caught(&Spec {
            mutation,
            ..CHECKED
        }),
        some(gt(0))
    );
}

#[gtest]
fn resend_without_a_look_is_caught() {
    let mutation = Mutation::ResentWithoutLook;
    expect_that!(
        caught(&Spec {
            mutation,
            ..IGNORED
        }),
        some(gt(0))
    );
}
