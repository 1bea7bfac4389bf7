//! The time between events of one stream.

use entity::{Moment, Span};
use googletest::prelude::*;
use quality::pace::Pace;

fn at(millis: u64) -> Moment {
    Moment(1_000_000) + Span::from_millis(millis)
}

#[gtest]
fn pace_is_measured_once_and_early() {
    let mut pace = Pace::start(1, at(0));
    for event in 2..7 {
        expect_that!(pace.observe(event, at(event as u64 * 50)), none());
    }
    let measured = pace.observe(7, at(300));
    expect_that!(measured, some(eq(Span::from_millis(50))));
    expect_that!(pace.observe(20, at(900)), none());
    expect_that!(pace.finish(), none());
}

/// The whole stream of a slow release lasts longer than its trial.
#[gtest]
fn slow_stream_is_noticed_before_its_end() {
    let mut pace = Pace::start(1, at(0));
    expect_that!(pace.observe(2, at(800)), none());
    let measured = pace.observe(3, at(1600));
    expect_that!(measured, some(eq(Span::from_millis(800))));
}

#[gtest]
fn short_stream_is_measured_at_its_end() {
    let mut pace = Pace::start(1, at(0));
    expect_that!(pace.observe(4, at(120)), none());
    expect_that!(pace.finish(), some(eq(Span::from_millis(40))));
    let mut pace = Pace::start(1, at(0));
    pace.observe(2, at(120));
    expect_that!(pace.finish(), none());
}
