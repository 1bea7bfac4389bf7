//! Tests of the retry budget, of the backoff bounds and of the circuit breaker's open time.

mod common;

use common::{START, millis, secs};
use entity::Moment;
use entity::time::Span;
use googletest::prelude::*;
use proptest::prelude::{any, proptest};
use routing::breaker::Breaker;
use routing::retry::{Budget, delay};

/// Returns the tries per request in one second of a full outage, at 500 requests per second with up
/// to three retries each.
fn tries_in_outage(mut may_retry: impl FnMut(&mut Budget, Moment) -> bool) -> f64 {
    let mut budget = Budget::new(START);
    let mut now = START;
    for _ in 0..500 {
        now = now + millis(2);
        budget.record_request(now);
    }
    let mut tries = 0;
    for _ in 0..500 {
        now = now + millis(2);
        budget.record_request(now);
        tries += 1;
        for _ in 0..3 {
            if !may_retry(&mut budget, now) {
                break;
            }
            tries += 1;
        }
    }
    f64::from(tries) / 500.0
}

#[gtest]
fn the_retry_budget_bounds_tries_in_an_outage() {
    let without = tries_in_outage(|_, _| true);
    let with = tries_in_outage(Budget::try_retry);
    println!("tries for each request in an outage: {without} without a budget, {with} with it");
    expect_that!(without, eq(4.0));
    // Allows for a tenth of the requests, the trickle of one second, and the saved balance of 20
    // retries.
    expect_that!(with, le(1.0 + 0.1 + 1.0 / 500.0 + 20.0 / 500.0 + 1e-9));
}

#[gtest]
fn a_quiet_instance_can_retry() {
    let mut budget = Budget::new(START);
    while budget.try_retry(START) {}
    expect_that!(budget.try_retry(START + millis(900)), eq(false));
    expect_that!(budget.try_retry(START + secs(1)), eq(true));
}

#[gtest]
fn the_open_time_grows_after_each_failed_probe() {
    let mut breaker = Breaker::default();
    let mut now = START;
    for _ in 0..3 {
        breaker.record_failure(now);
    }
    let mut waits = Vec::new();
    for _ in 0..6 {
        let opened = now;
        while !breaker.allows(now) {
            now = now + millis(100);
        }
        waits.push(now.since(opened));
        breaker.record_dispatch(now);
        breaker.record_failure(now);
    }
    let expected = [500, 1000, 2000, 4000, 8000, 10_000].map(millis);
    expect_that!(waits, eq(&expected.to_vec()));
}

proptest! {
    #![proptest_config(proptest::test_runner::Config {
        rng_seed: proptest::test_runner::RngSeed::Fixed(1),
        failure_persistence: None,
        ..proptest::test_runner::Config::default()
    })]

    #[test]
    fn delays_are_bounded(retry in 0..100u32, random in any::<u64>()) {
        let bound = millis(20).as_micros() << retry.min(16);
        assert!(delay(retry, random) <= Span::from_micros(bound).min(secs(2)));
    }
}
