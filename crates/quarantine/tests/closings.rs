//! Whether an upstream that closed an idle connection has ended.

use entity::{Moment, Span};
use googletest::prelude::*;
use quarantine::{Closing, Closings, Part, Victim};

const UPSTREAM: Victim = Victim(1);

fn at(millis: u64) -> Moment {
    Moment(1_000_000_000) + Span::from_millis(millis)
}

fn closing(victim: Victim, at: Moment) -> Closing {
    Closing {
        victim,
        parts: Box::new([Part(7)]),
        fingerprint: None,
        since_head: Span::from_millis(600),
        at,
    }
}

fn after(closings: &[Closing]) -> Closings {
    let mut known = Closings::default();
    for closing in closings {
        known.add(closing.clone());
    }
    known
}

#[gtest]
fn end_confirms_the_closings_of_its_upstream_once() {
    let mut known = after(&[closing(UPSTREAM, at(0)), closing(Victim(2), at(1))]);
    expect_that!(known.record_end(UPSTREAM, at(900)), len(eq(1)));
    expect_that!(known.record_end(UPSTREAM, at(901)), is_empty());
    expect_that!(known.record_end(Victim(2), at(902)), len(eq(1)));
}

/// An upstream that closes idle connections soon would make a suspect of each prompt that it answers.
#[gtest]
fn upstream_that_answers_later_has_not_ended() {
    let mut known = after(&[closing(UPSTREAM, at(0))]);
    expect_that!(known.record_answer(UPSTREAM, at(100)), len(eq(1)));
    expect_that!(known.record_end(UPSTREAM, at(200)), is_empty());
}

/// The answer to a request that was sent before may have left the upstream before it ended.
#[gtest]
fn answer_to_an_earlier_request_shows_nothing() {
    let mut known = after(&[closing(UPSTREAM, at(100))]);
    expect_that!(known.record_answer(UPSTREAM, at(50)), is_empty());
    expect_that!(known.record_end(UPSTREAM, at(200)), len(eq(1)));
}

/// An upstream that ends a while after it closed an idle connection did so for another reason.
#[gtest]
fn closing_is_forgotten() {
    let mut known = after(&[closing(UPSTREAM, at(0))]);
    expect_that!(known.record_end(UPSTREAM, at(5000)), is_empty());
}

#[gtest]
fn closings_are_bounded() {
    let closings: Vec<Closing> = (0..500).map(|_| closing(UPSTREAM, at(0))).collect();
    expect_that!(after(&closings).record_end(UPSTREAM, at(1)).len(), eq(64));
}
