//! Book, fences and tenure on single cases.

use engine::Book;
use engine::order::{self, Command, Fence, Order, Record};
use engine::tenure::{Bounds, Tenure, sender};
use entity::{Moment, Offset, Span, name, request};
use googletest::prelude::*;

fn order(id: u128, upstream: &str, command: Command) -> Record {
    Record::Order(Order {
        id: request::Id(id),
        upstream: upstream.parse().expect("a name"),
        command,
    })
}

fn load(version: &str) -> Command {
    Command::Load(version.parse().expect("a name"))
}

fn unload(version: &str) -> Command {
    Command::Unload(version.parse().expect("a name"))
}

fn book() -> Book {
    Book::open(Span::from_secs(10), Offset(1))
}

fn head(book: &Book, upstream: &str) -> Option<(u128, u64)> {
    let entry = book.head(upstream)?;
    Some((entry.order.id.0, entry.start_ms))
}

#[gtest]
fn loads_over_all_engines_start_an_interval_apart() {
    let mut book = book();
    let batch = [
        order(1, "gpu-1", load("a/1")),
        order(2, "gpu-2", load("a/1")),
    ];
    book.apply(Offset(1), 5_000, &batch);
    book.apply(Offset(2), 6_000, &[order(3, "gpu-3", load("a/1"))]);
    book.apply(Offset(3), 90_000, &[order(4, "gpu-4", load("a/1"))]);
    expect_that!(head(&book, "gpu-1"), some(eq((1, 5_000))));
    expect_that!(head(&book, "gpu-2"), some(eq((2, 15_000))));
    expect_that!(head(&book, "gpu-3"), some(eq((3, 25_000))));
    expect_that!(head(&book, "gpu-4"), some(eq((4, 90_000))));
}

#[gtest]
fn unloads_do_not_wait_for_the_weight_store() {
    let mut book = book();
    book.apply(Offset(1), 5_000, &[order(1, "gpu-1", load("a/1"))]);
    book.apply(Offset(2), 5_000, &[order(2, "gpu-2", unload("a/1"))]);
    expect_that!(head(&book, "gpu-2"), some(eq((2, 5_000))));
}

#[gtest]
fn copy_of_an_order_changes_nothing() {
    let mut book = book();
    book.apply(Offset(1), 5_000, &[order(1, "gpu-1", load("a/1"))]);
    let first = book.head("gpu-1").cloned();
    book.apply(Offset(2), 9_000, &[order(1, "gpu-1", load("a/1"))]);
    expect_that!(book.head("gpu-1").cloned(), eq(&first));
    let upstream = "gpu-1".parse().expect("a name");
    let id = request::Id(1);
    book.apply(Offset(3), 9_000, &[Record::Done { id, upstream }]);
    book.apply(Offset(4), 9_000, &[order(1, "gpu-1", load("a/1"))]);
    expect_that!(book.head("gpu-1"), none());
}

#[gtest]
fn later_order_about_a_version_overtakes_and_others_keep_their_turn() {
    let mut book = book();
    let batch = [
        order(1, "gpu-1", load("a/1")),
        order(2, "gpu-1", load("b/1")),
        order(3, "gpu-1", unload("a/1")),
    ];
    book.apply(Offset(1), 5_000, &batch);
    expect_that!(head(&book, "gpu-1"), some(eq((2, 15_000))));
    let upstream = "gpu-1".parse().expect("a name");
    let id = request::Id(2);
    book.apply(Offset(2), 5_000, &[Record::Done { id, upstream }]);
    expect_that!(head(&book, "gpu-1"), some(eq((3, 5_000))));
}

#[gtest]
fn fences_grow_with_the_place_on_the_log() {
    let fences = [
        Fence::new(Offset(1), 0),
        Fence::new(Offset(1), 1),
        Fence::new(Offset(1), order::BATCH_ORDERS - 1),
        Fence::new(Offset(2), 0),
    ];
    expect_true!(fences.is_sorted_by(|a, b| a < b));
}

#[gtest]
fn command_is_satisfied_by_what_the_engine_has() {
    let versions: Vec<name::Version> = vec!["a/1".parse().expect("a name")];
    expect_true!(load("a/1").is_satisfied(&versions));
    expect_false!(unload("a/1").is_satisfied(&versions));
    expect_true!(unload("b/1").is_satisfied(&versions));
}

#[gtest]
fn only_upstreams_of_a_lost_instance_move() {
    let names = |range: std::ops::Range<u32>| {
        let names = range.map(|number| format!("entry-{number}").parse().expect("a name"));
        names.collect::<Vec<name::Instance>>()
    };
    let (all, fewer) = (names(0..9), names(0..8));
    let mut moved = 0;
    for number in 0..100 {
        let upstream = format!("gpu-{number}").parse().expect("a name");
        let (before, after) = (sender(&upstream, &all), sender(&upstream, &fewer));
        if before != after {
            expect_that!(before, eq(all.last()));
            moved += 1;
        }
    }
    expect_that!(moved, all!(gt(0), lt(30)));
}

#[gtest]
fn tenure_lapses_with_the_age_of_its_list() {
    let second = Span::from_secs(1);
    let mut tenure = Tenure::new(Bounds {
        list_lag: second,
        list_age: second,
        pause: second,
        timeout: second,
    });
    let at = |seconds: u64| Moment(seconds * 1_000_000);
    for seconds in 10..=15 {
        tenure.list(true, at(seconds));
        let expected = seconds == 15;
        expect_that!(tenure.may_send(at(seconds), at(seconds)), eq(expected));
    }
    expect_false!(tenure.may_send(at(15), at(14)));
    expect_false!(tenure.may_send(at(17), at(16)));
    tenure.list(true, at(17));
    expect_false!(tenure.may_send(at(17), at(17)));
    expect_true!(tenure.is_named(at(17)));
    tenure.list(false, at(18));
    expect_false!(tenure.is_named(at(18)));
}

#[gtest]
fn batches_survive_encoding() {
    let record = order(1, "gpu-1", load("a/1"));
    let mut data = vec![b'['];
    data.extend(order::encode_one(&record));
    data.push(b']');
    expect_that!(order::decode(&data), ok(elements_are![eq(&record)]));
}
