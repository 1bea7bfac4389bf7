//! Comparisons of the clocks of two instances.

use entity::{Moment, Span, name};
use forward::clocks::{Clocks, Run, Stamp};
use googletest::prelude::*;

/// Time by which the peer's clock is ahead.
const AHEAD: Span = Span::from_secs(5000);

fn peer() -> name::Instance {
    "front-2".parse().unwrap()
}

fn at(millis: u64) -> Moment {
    Moment(1_000_000_000) + Span::from_millis(millis)
}

/// Returns the peer's stamp at a time on the own clock.
fn stamp(millis: u64) -> Stamp {
    Stamp {
        run: Run(1),
        time: at(millis) + AHEAD,
    }
}

/// Returns clocks after one exchange: a question sent at `asked` that the peer answered at `answered`.
fn compared(asked: u64, answered: u64, arrived: u64) -> Clocks {
    let mut clocks = Clocks::default();
    expect_true!(clocks.record_message(&peer(), Run(1), at(asked)));
    clocks.record_answer(&peer(), stamp(answered), at(asked), at(arrived));
    clocks
}

#[gtest]
fn nothing_is_known_before_an_answer() {
    let mut clocks = Clocks::default();
    expect_true!(clocks.record_message(&peer(), Run(1), at(0)));
    expect_that!(clocks.earliest_send(&peer(), stamp(0), at(10)), none());
}

/// However long a message takes, it must not seem younger than it is.
#[gtest]
fn time_of_sending_is_never_later_than_it_was() {
    for (asked, answered, arrived) in [(0, 1, 2), (0, 400, 401), (0, 1, 900), (0, 300, 900)] {
        let clocks = compared(asked, answered, arrived);
        for (sent, received) in [(1000, 1001), (1000, 5000), (1, 2000)] {
            let earliest = clocks.earliest_send(&peer(), stamp(sent), at(received));
            let earliest = earliest.unwrap();
            expect_that!(earliest, le(at(sent)));
            // The way of the question is all that makes the result too early.
            let exact = at(sent) - Span::from_millis(answered - asked + 2);
            expect_that!(earliest, ge(exact));
        }
    }
}

#[gtest]
fn best_exchange_is_kept_until_the_next_comparison_is_due() {
    let mut clocks = compared(0, 2, 4);
    expect_false!(clocks.record_message(&peer(), Run(1), at(500)));
    let due = 121_000;
    expect_true!(clocks.record_message(&peer(), Run(1), at(due)));
    expect_false!(clocks.record_message(&peer(), Run(1), at(due + 100)));
    expect_true!(clocks.record_message(&peer(), Run(1), at(due + 600)));
    clocks.record_answer(&peer(), stamp(due + 900), at(due + 600), at(due + 901));
    let earliest = clocks.earliest_send(&peer(), stamp(due + 1000), at(due + 1001));
    expect_that!(earliest.unwrap(), le(at(due + 700)));
}

/// Clocks run at slightly different speeds. An old comparison must allow for that.
#[gtest]
fn old_comparison_allows_for_drift() {
    let clocks = compared(0, 0, 0);
    let earliest = clocks.earliest_send(&peer(), stamp(100_000), at(100_001));
    expect_that!(earliest.unwrap(), le(at(100_000) - Span::from_millis(20)));
}

/// A machine that booted anew has another clock.
#[gtest]
fn restarted_peer_is_asked_again() {
    let mut clocks = compared(0, 1, 2);
    let restarted = Stamp {
        run: Run(2),
        time: at(50),
    };
    expect_that!(clocks.earliest_send(&peer(), restarted, at(60)), none());
    expect_true!(clocks.record_message(&peer(), Run(2), at(60)));
    clocks.record_answer(&peer(), stamp(70), at(60), at(71));
    expect_that!(clocks.earliest_send(&peer(), stamp(80), at(81)), none());
}

#[gtest]
fn answer_to_a_question_that_was_not_asked_is_ignored() {
    let mut clocks = Clocks::default();
    clocks.record_answer(&peer(), stamp(1), at(0), at(2));
    expect_true!(clocks.is_empty());
    clocks.record_message(&peer(), Run(1), at(10));
    clocks.record_answer(&peer(), stamp(21), at(20), at(22));
    clocks.record_answer(&peer(), stamp(21), at(300), at(22));
    expect_that!(clocks.earliest_send(&peer(), stamp(30), at(31)), none());
}

#[gtest]
fn silent_peers_are_forgotten() {
    let mut clocks = compared(0, 1, 2);
    let other = "front-3".parse().unwrap();
    clocks.record_message(&other, Run(7), at(601_000));
    expect_that!(clocks.len(), eq(1));
}
