//! Upstreams that say in their answers that they are leaving, or that they want no requests for a
//! while.

mod common;

use common::{START, config, engine, query};
use config::Registration;
use entity::{Moment, Span};
use googletest::prelude::*;
use routing::restriction::{Incarnation, Restriction, Restrictions};
use routing::{Balancer, Members, Outcome, Reason};

fn at(millis: u64) -> Moment {
    START + Span::from_millis(millis)
}

/// Returns a balancer with two engines that registered themselves.
fn balancer(incarnation: u64) -> Balancer {
    let mut config = config(2);
    for (_, upstream) in config.upstreams.iter_mut() {
        upstream.registration = Some(Registration {
            incarnation,
            cold_until: Moment(0),
            cold_rate: 40,
            memory: None,
        });
    }
    let mut balancer = common::balancer(&config, 7);
    let own = vec!["north-1".parse().unwrap()];
    balancer.set_members(Members::new(1, own), START, START);
    balancer
}

fn incarnation(index: usize, number: u64) -> Incarnation {
    Incarnation {
        upstream: engine(index),
        number,
    }
}

/// Chooses many times, and returns which engines were chosen.
fn chosen(balancer: &mut Balancer, now: Moment) -> Vec<bool> {
    let mut used = vec![false; 2];
    for _ in 0..40 {
        let choice = balancer.choose(&query(now), now).unwrap();
        used[usize::from(choice.upstream == engine(1))] = true;
        balancer.finish(choice, Outcome::Cancelled, now);
    }
    used
}

#[gtest]
fn leaving_upstream_is_not_chosen_any_more() {
    let mut balancer = balancer(1);
    expect_that!(chosen(&mut balancer, at(0)), container_eq([true, true]));
    balancer.record_leaving(incarnation(0, 1), at(1));
    for millis in [1, 5000, 60_000] {
        expect_that!(
            chosen(&mut balancer, at(millis)),
            container_eq([false, true])
        );
    }
    balancer.record_leaving(incarnation(1, 1), at(60_000));
    let refusal = balancer.choose(&query(at(60_001)), at(60_001)).unwrap_err();
    expect_that!(refusal.reason, eq(Reason::Leaving));
}

/// An upstream that starts again under its name is another one.
#[gtest]
fn leaving_does_not_bind_the_next_incarnation() {
    let mut balancer = balancer(2);
    balancer.record_leaving(incarnation(0, 1), at(0));
    expect_that!(chosen(&mut balancer, at(1)), container_eq([true, true]));
}

#[gtest]
fn resting_upstream_is_left_alone_until_the_end_of_its_rest() {
    let mut balancer = balancer(1);
    balancer.record_rest(&incarnation(0, 1), at(700), at(0));
    // A shorter wish that arrives later doesn't shorten the rest.
    balancer.record_rest(&incarnation(0, 1), at(300), at(100));
    for millis in [100, 400, 699] {
        expect_that!(
            chosen(&mut balancer, at(millis)),
            container_eq([false, true])
        );
    }
    expect_true!(chosen(&mut balancer, at(700))[0]);
}

/// Callers must be told at once when to come back, and that time must be true.
#[gtest]
fn request_is_refused_at_once_with_the_earliest_end_if_all_upstreams_rest() {
    let mut balancer = balancer(1);
    balancer.record_rest(&incarnation(0, 1), at(900), at(0));
    balancer.record_rest(&incarnation(1, 1), at(650), at(0));
    let refusal = balancer.choose(&query(at(50)), at(50)).unwrap_err();
    expect_that!(refusal.reason, eq(Reason::Resting));
    expect_that!(refusal.retry_after, some(eq(Span::from_millis(600))));
    expect_that!(chosen(&mut balancer, at(650)), container_eq([false, true]));
}

#[gtest]
fn departures_are_announced_for_a_while_and_once_learned() {
    let mut restrictions = Restrictions::default();
    expect_true!(restrictions.record_leaving(incarnation(0, 1), at(0)));
    expect_false!(restrictions.record_leaving(incarnation(0, 1), at(2000)));
    expect_that!(restrictions.recent_departures(at(2400)).count(), eq(1));
    expect_that!(restrictions.recent_departures(at(2600)).count(), eq(0));
    let known = restrictions.find(&engine(0), 1, at(2600));
    expect_that!(known, some(eq(Restriction::Leaving)));
}
