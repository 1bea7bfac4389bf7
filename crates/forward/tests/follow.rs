//! When a topic is read, and what counts as an outage of the store.

use entity::{Moment, Span};
use forward::follow::{Follow, Timing};
use googletest::prelude::*;

const START: Moment = Moment(1_000_000_000);

fn at(millis: u64) -> Moment {
    START + Span::from_millis(millis)
}

/// Returns the state after a read at the start.
fn read_once() -> Follow {
    let mut follow = Follow::new(Timing::for_upstreams(Span::from_secs(3)));
    follow.record_read(START, at(4));
    follow.confirm(START);
    follow
}

/// An instance that learns from its peers seldom reads the store itself. It must not take that for
/// an outage, after which removed upstreams stay in use for a grace period.
#[gtest]
fn rare_reads_are_no_outage() {
    let mut follow = read_once();
    for millis in (400..9600).step_by(400) {
        follow.record_sight(0, at(millis - 300), at(millis));
    }
    expect_false!(follow.record_read(at(11_400), at(11_404)));
}

/// Returns the state after reads failed for four seconds in which peers had no news either.
fn after_failures() -> Follow {
    let mut follow = read_once();
    for _ in 0..5 {
        follow.record_failure();
    }
    follow
}

#[gtest]
fn failed_reads_without_news_are_an_outage() {
    let mut follow = after_failures();
    expect_true!(follow.record_read(at(4000), at(4004)));
    expect_true!(follow.record_read(at(5000), at(5004)));
    expect_false!(follow.record_read(at(5600), at(5604)));
}

/// A peer can learn of the store's return first. Its news must not hide the outage.
#[gtest]
fn outage_is_noticed_if_a_peer_reads_first() {
    let mut follow = after_failures();
    follow.record_sight(1, at(4000 - 20), at(4000));
    expect_true!(follow.record_read(at(4100), at(4104)));
}

/// The store can turn away one instance and serve the others: what they read is missing is gone.
#[gtest]
fn instance_that_is_turned_away_alone_sees_no_outage() {
    let mut follow = read_once();
    for millis in (400..6000).step_by(400) {
        follow.record_failure();
        // The digest differs, so that the news confirms nothing here.
        follow.record_sight(1, at(millis - 300), at(millis));
    }
    expect_false!(follow.record_read(at(6000), at(6004)));
}

/// A process that was paused has read nothing for long, although the store answered all the while.
#[gtest]
fn pause_of_the_process_is_no_outage() {
    let mut follow = read_once();
    expect_false!(follow.record_read(at(8000), at(8004)));
}

/// The records of a read take time to apply. The topic must not be read once more meanwhile.
#[gtest]
fn topic_is_not_read_again_while_a_read_is_applied() {
    let mut follow = read_once();
    let jitter = 0.5;
    expect_that!(
        follow.read_delay(false, START, jitter, at(2050)),
        eq(Span::ZERO)
    );
    follow.record_read(at(2050), at(2060));
    let delay = follow.read_delay(false, at(2050), jitter, at(2060));
    expect_that!(delay, eq(Span::from_millis(2040)));
    follow.record_failure();
    let delay = follow.read_delay(false, at(2060), jitter, at(2070));
    expect_that!(delay, eq(Span::ZERO));
}

/// Whatever the bound is, an instance must read a state anew before it is too old to dispatch by.
#[gtest]
fn state_is_read_anew_before_it_is_too_old_to_dispatch_by() {
    for millis in [500, 1000, 2000, 3000, 8000] {
        let timing = Timing::for_upstreams(Span::from_millis(millis));
        let due = timing.max_age + timing.max_jitter;
        expect_that!(due, lt(timing.max_dispatch_age), "bound of {millis} ms");
        expect_that!(
            timing.reader_interval,
            lt(timing.max_age),
            "bound of {millis} ms"
        );
    }
}

/// The readers are silent, so that each instance reads the store itself once its state has reached the
/// largest age. If that read fails at once, another one has to follow within the bound: a connection
/// that the store has just closed must not keep a new configuration from being in force in time.
#[gtest]
fn a_failed_read_is_repeated_within_the_bound_where_nobody_else_confirms() {
    const BOUND: Span = Span::from_millis(2000);
    let mut follow = Follow::new(Timing::for_operators(BOUND));
    follow.record_read(START, START);
    follow.confirm(START);
    let due = follow.read_delay(false, START, 1.0, START);
    follow.record_failure();
    let retry = START + due + follow.retry_delay(true, START + due);
    expect_that!(retry, lt(START + BOUND));
}

/// All instances share the calls that the store takes: those that the readers serve wait long between
/// their own tries, and so do all while the store is away.
#[gtest]
fn repeated_failures_leave_the_store_to_the_readers() {
    const BOUND: Span = Span::from_millis(2000);
    let mut follow = Follow::new(Timing::for_operators(BOUND));
    follow.confirm(START);
    expect_that!(
        follow.retry_delay(true, at(100)),
        ge(Span::from_millis(1000))
    );
    expect_that!(
        follow.retry_delay(false, at(5000)),
        ge(Span::from_millis(1000))
    );
}
