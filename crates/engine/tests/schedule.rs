//! Unit tests of schedule, fences and ownership.

use engine::Schedule;
use engine::order::{self, Command, Fence, Order, Record};
use engine::ownership::{Bounds, Ownership, owner};
use entity::{Moment, Offset, Span, name, request};
use googletest::prelude::*;

fn order(id: u128, upstream: &str, command: Command) -> Record {
    Record::Order(Order {
        id: request::Id(id),
        upstream: upstream.parse().expect("a valid name"),
        command,
    })
}

fn load(version: &str) -> Command {
    Command::Load(version.parse().expect("a valid name"))
}

fn unload(version: &str) -> Command {
    Command::Unload(version.parse().expect("a valid name"))
}

fn schedule() -> Schedule {
    Schedule::open(Span::from_secs(10), Offset(1))
}

fn first_open(schedule: &Schedule, upstream: &str) -> Option<(u128, u64)> {
    let entry = schedule.first_open(upstream)?;
    Some((entry.order.id.0, entry.start_ms))
}

#[gtest]
fn loads_over_all_engines_start_an_interval_apart() {
    let mut schedule = schedule();
    let batch = [
        order(1, "gpu-1", load("a/1")),
        order(2, "gpu-2", load("a/1")),
    ];
    schedule.apply(Offset(1), 5_000, &batch);
    schedule.apply(Offset(2), 6_000, &[order(3, "gpu-3", load("a/1"))]);
    schedule.apply(Offset(3), 90_000, &[order(4, "gpu-4", load("a/1"))]);
    expect_that!(first_open(&schedule, "gpu-1"), some(eq((1, 5_000))));
    expect_that!(first_open(&schedule, "gpu-2"), some(eq((2, 15_000))));
    expect_that!(first_open(&schedule, "gpu-3"), some(eq((3, 25_000))));
    expect_that!(first_open(&schedule, "gpu-4"), some(eq((4, 90_000))));
}

#[gtest]
fn unloads_do_not_wait_for_the_weight_store() {
    let mut schedule = schedule();
    schedule.apply(Offset(1), 5_000, &[order(1, "gpu-1", load("a/1"))]);
    schedule.apply(Offset(2), 5_000, &[order(2, "gpu-2", unload("a/1"))]);
    expect_that!(first_open(&schedule, "gpu-2"), some(eq((2, 5_000))));
}

#[gtest]
fn copy_of_an_order_is_ignored() {
    let mut schedule = schedule();
    schedule.apply(Offset(1), 5_000, &[order(1, "gpu-1", load("a/1"))]);
    let first = schedule.first_open("gpu-1").cloned();
    schedule.apply(Offset(2), 9_000, &[order(1, "gpu-1", load("a/1"))]);
    expect_that!(schedule.first_open("gpu-1").cloned(), eq(&first));
    let upstream = "gpu-1".parse().expect("a valid name");
    let id = request::Id(1);
    schedule.apply(Offset(3), 9_000, &[Record::Done { id, upstream }]);
    schedule.apply(Offset(4), 9_000, &[order(1, "gpu-1", load("a/1"))]);
    expect_that!(schedule.first_open("gpu-1"), none());
}

#[gtest]
fn later_order_for_a_version_supersedes_and_other_orders_keep_their_place() {
    let mut schedule = schedule();
    let batch = [
        order(1, "gpu-1", load("a/1")),
        order(2, "gpu-1", load("b/1")),
        order(3, "gpu-1", unload("a/1")),
    ];
    schedule.apply(Offset(1), 5_000, &batch);
    expect_that!(first_open(&schedule, "gpu-1"), some(eq((2, 15_000))));
    let upstream = "gpu-1".parse().expect("a valid name");
    let id = request::Id(2);
    schedule.apply(Offset(2), 5_000, &[Record::Done { id, upstream }]);
    expect_that!(first_open(&schedule, "gpu-1"), some(eq((3, 5_000))));
}

#[gtest]
fn fences_increase_with_the_position_on_the_log() {
    let fences = [
        Fence::new(Offset(1), 0),
        Fence::new(Offset(1), 1),
        Fence::new(Offset(1), order::MAX_BATCH_ORDERS - 1),
        Fence::new(Offset(2), 0),
    ];
    expect_true!(fences.is_sorted_by(|a, b| a < b));
}

#[gtest]
fn command_is_satisfied_by_the_loaded_versions() {
    let versions: Vec<name::Version> = vec!["a/1".parse().expect("a valid name")];
    expect_true!(load("a/1").is_satisfied(&versions));
    expect_false!(unload("a/1").is_satisfied(&versions));
    expect_true!(unload("b/1").is_satisfied(&versions));
}

#[gtest]
fn only_upstreams_of_a_removed_instance_change_their_owner() {
    let names = |range: std::ops::Range<u32>| {
        let names = range.map(|number| format!("entry-{number}").parse().expect("a valid name"));
        names.collect::<Vec<name::Instance>>()
    };
    let (all, fewer) = (names(0..9), names(0..8));
    let mut moved = 0;
    for number in 0..100 {
        let upstream = format!("gpu-{number}").parse().expect("a valid name");
        let (before, after) = (owner(&upstream, &all), owner(&upstream, &fewer));
        if before != after {
            expect_that!(before, eq(all.last()));
            moved += 1;
        }
    }
    expect_that!(moved, all!(gt(0), lt(30)));
}

#[gtest]
fn ownership_expires_with_the_age_of_the_list() {
    let second = Span::from_secs(1);
    let mut ownership = Ownership::new(Bounds {
        max_list_lag: second,
        max_list_age: second,
        max_pause: second,
        timeout: second,
    });
    let at = |seconds: u64| Moment(seconds * 1_000_000);
    for seconds in 10..=15 {
        ownership.record_list(true, at(seconds));
        let expected = seconds == 15;
        expect_that!(
            ownership.may_send_unfenced(at(seconds), at(seconds)),
            eq(expected)
        );
    }
    expect_false!(ownership.may_send_unfenced(at(15), at(14)));
    expect_false!(ownership.may_send_unfenced(at(17), at(16)));
    ownership.record_list(true, at(17));
    expect_false!(ownership.may_send_unfenced(at(17), at(17)));
    expect_true!(ownership.is_owner(at(17)));
    ownership.record_list(false, at(18));
    expect_false!(ownership.is_owner(at(18)));
}

#[gtest]
fn batches_round_trip_through_json() {
    let record = order(1, "gpu-1", load("a/1"));
    let mut data = vec![b'['];
    data.extend(order::encode_one(&record));
    data.push(b']');
    expect_that!(order::decode(&data), ok(elements_are![eq(&record)]));
}
