//! Builds of peers: each is logged once, whatever a peer names and however often.

use entity::name;
use googletest::prelude::*;
use server::forward::builds::{Builds, MAX_BUILDS_PER_PEER, MAX_NAME_BYTES, MAX_PEER_COUNT};

fn peer(number: usize) -> name::Instance {
    format!("entry-{number}").parse().unwrap()
}

#[gtest]
fn another_build_is_logged_once_for_each_peer() {
    let mut builds = Builds::new("0.1.0 aa".into());
    expect_false!(builds.record(&peer(1), "0.1.0 aa"));
    expect_true!(builds.record(&peer(1), "0.1.0 bb"));
    expect_false!(builds.record(&peer(1), "0.1.0 bb"));
    expect_true!(builds.record(&peer(2), "0.1.0 bb"));
    // It was replaced, and is replaced back.
    expect_false!(builds.record(&peer(1), "0.1.0 aa"));
    expect_false!(builds.record(&peer(1), "0.1.0 bb"));
}

#[gtest]
fn a_lying_peer_causes_few_lines_and_takes_little_space() {
    let mut builds = Builds::new("0.1.0 aa".into());
    let logged = (0..1000).filter(|number| builds.record(&peer(1), &format!("{number}")));
    expect_that!(logged.count(), eq(MAX_BUILDS_PER_PEER));
    expect_false!(builds.record(&peer(2), &"x".repeat(MAX_NAME_BYTES + 1)));
    let names = (0..2 * MAX_PEER_COUNT).filter(|number| builds.record(&peer(*number), "0.1.0 bb"));
    expect_that!(names.count(), le(MAX_PEER_COUNT));
}

#[gtest]
fn a_peer_that_is_forgotten_is_logged_again() {
    let mut builds = Builds::new("0.1.0 aa".into());
    expect_true!(builds.record(&peer(1), "0.1.0 bb"));
    builds.retain(|name| *name != peer(1));
    expect_true!(builds.record(&peer(1), "0.1.0 bb"));
}
