//! Selection of the instances that append to the log for others.

use entity::name;
use entity::unit::Rate;
use googletest::prelude::*;
use server::writers::{MAX_INDEPENDENT_INSTANCES, WRITER_COUNT, entries, rate, writers};

fn live(count: usize) -> Vec<name::Instance> {
    let mut live: Vec<name::Instance> = (0..count)
        .map(|number| format!("entry-{number}").parse().unwrap())
        .collect();
    live.sort();
    live
}

#[gtest]
fn small_system_has_no_writers() {
    let live = live(MAX_INDEPENDENT_INSTANCES);
    expect_that!(writers(&live), is_empty());
    expect_that!(rate(&live[0], &live), eq(Rate(18)));
}

#[gtest]
fn total_append_rate_is_bounded_at_any_size() {
    for count in [
        1,
        9,
        MAX_INDEPENDENT_INSTANCES,
        MAX_INDEPENDENT_INSTANCES + 1,
        80,
        320,
    ] {
        let live = live(count);
        let writers = writers(&live);
        let appending: Vec<_> = if writers.is_empty() {
            live.iter().collect()
        } else {
            writers
        };
        let appends: u64 = appending.iter().map(|own| rate(own, &live).0).sum();
        expect_that!(appends, le(300), "{count} instances");
        expect_that!(appends, ge(200), "{count} instances");
    }
}

#[gtest]
fn departure_of_a_writer_changes_one_rank() {
    let before = live(100);
    let writers_before = writers(&before);
    let gone = writers_before[3].clone();
    let after: Vec<_> = before
        .iter()
        .filter(|instance| **instance != gone)
        .cloned()
        .collect();
    let writers_after = writers(&after);
    let kept = writers_before
        .iter()
        .filter(|writer| writers_after.contains(writer))
        .count();
    expect_that!(kept, eq(WRITER_COUNT - 1));
}

#[gtest]
fn entries_accepts_only_nonempty_arrays() {
    let bytes = |text: &str| text.as_bytes().to_vec();
    expect_that!(entries(bytes("[1,2]")).as_deref(), some(eq(&b"1,2"[..])));
    for text in ["", "[]", "{}", "[1", "1]"] {
        expect_that!(entries(bytes(text)), none(), "{text}");
    }
}
