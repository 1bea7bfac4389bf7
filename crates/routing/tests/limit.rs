//! Upstreams that name the requests a second that they take of all instances together.

mod common;

use common::{START, config, engine, query};
use config::Registration;
use entity::unit::Frequency;
use entity::{Moment, Span, name};
use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use routing::limit::Limit;
use routing::restriction::Incarnation;
use routing::{Balancer, Members, Outcome, Reason};

/// Window in which the requests of all instances are counted.
const WINDOW: Span = Span::from_secs(4);

fn at(millis: u64) -> Moment {
    START + Span::from_millis(millis)
}

fn incarnation(index: usize) -> Incarnation {
    Incarnation {
        upstream: engine(index),
        number: 1,
    }
}

fn named(thousandths: u64, millis: u64) -> Limit {
    Limit {
        frequency: Some(Frequency(thousandths)),
        as_of: at(millis),
    }
}

/// Returns the balancers of so many instances that know each other, with two engines.
fn balancers(count: usize) -> Vec<Balancer> {
    let mut config = config(2);
    for (_, upstream) in config.upstreams.iter_mut() {
        upstream.registration = Some(Registration {
            incarnation: 1,
            cold_until: Moment(0),
            cold_rate: 40,
            memory: None,
        });
    }
    let names: Vec<name::Instance> = (1..=count)
        .map(|number| format!("north-{number}").parse().unwrap())
        .collect();
    let mut balancers = Vec::new();
    for name in &names {
        let zone = "north-a".parse().unwrap();
        let bounds = routing::Bounds::default();
        let mut balancer = Balancer::new(name.clone(), zone, bounds, balancers.len() as u64);
        let generation = entity::Generation(1);
        balancer.configure(&std::sync::Arc::new(config.clone()), generation, START);
        balancer.set_members(Members::new(1, names.clone()), START, START);
        balancers.push(balancer);
    }
    balancers
}

/// Chooses once and returns the engine, or the reason of the refusal.
fn choose(balancer: &mut Balancer, now: Moment) -> std::result::Result<usize, Reason> {
    let choice = balancer.choose(&query(now), now);
    let choice = choice.map_err(|refusal| refusal.reason)?;
    let index = usize::from(choice.upstream == engine(1));
    balancer.finish(choice, Outcome::Cancelled, now);
    Ok(index)
}

/// Returns the largest number of requests within the window.
fn most(times: &[Moment]) -> usize {
    let in_window = |from: &Moment| {
        let inside = |at: &&Moment| **at >= *from && at.since(*from) < WINDOW;
        times.iter().filter(inside).count()
    };
    times.iter().map(in_window).max().unwrap_or_default()
}

/// Each of many instances took the limit, or its part rounded up, for itself.
#[gtest]
fn limit_holds_over_any_number_of_instances() {
    for count in [1, 3, 9, 75, 295] {
        for thousandths in [0, 300, 1900, 2600, 20_000] {
            let mut random = ChaCha8Rng::seed_from_u64(count as u64 * 31 + thousandths);
            let mut balancers = balancers(count);
            for balancer in &mut balancers {
                balancer.record_limit(&incarnation(0), named(thousandths, 0), at(0));
            }
            let mut times = Vec::new();
            for step in 0..1000 {
                let now = at(10 + step * 10);
                for _ in 0..count.div_ceil(4) {
                    let index = random.random_range(0..count);
                    if choose(&mut balancers[index], now) == Ok(0) {
                        times.push(now);
                    }
                }
            }
            let allowed = 1.5 * (thousandths as f64 / 1e3) * WINDOW.as_secs_f64() + 5.0;
            let case = format!("{count} instances, {thousandths} thousandths");
            expect_that!(most(&times) as f64, le(allowed), "{case}");
            if thousandths > 0 && count > 1 {
                // Half of the limit is used where there is load enough.
                let used = times.len() as f64 / 10.0;
                expect_that!(used, ge(0.5 * thousandths.min(2600) as f64 / 1e3), "{case}");
            }
        }
    }
}

#[gtest]
fn limit_ends_with_a_later_answer_that_names_none() {
    let mut balancers = balancers(9);
    let balancer = &mut balancers[0];
    balancer.record_limit(&incarnation(0), named(0, 100), at(100));
    for step in 0..20 {
        expect_that!(choose(balancer, at(200 + step)), ok(eq(1)));
    }
    let none = |millis| Limit {
        frequency: None,
        as_of: at(millis),
    };
    // The answer is older than the one with the limit.
    balancer.record_limit(&incarnation(0), none(50), at(300));
    expect_that!(choose(balancer, at(301)), ok(eq(1)));
    balancer.record_limit(&incarnation(0), none(400), at(400));
    // A peer's older word doesn't bring it back.
    balancer.record_limit(&incarnation(0), named(0, 100), at(450));
    let chosen: Vec<_> = (0..40)
        .map(|step| choose(balancer, at(500 + step)))
        .collect();
    expect_that!(chosen, contains(ok(eq(&0))));
}

/// An upstream that starts again has named no limit yet.
#[gtest]
fn limit_does_not_bind_the_next_incarnation() {
    let mut balancers = balancers(1);
    let other = Incarnation {
        number: 2,
        ..incarnation(0)
    };
    balancers[0].record_limit(&other, named(0, 0), at(0));
    let chosen: Vec<_> = (0..40)
        .map(|step| choose(&mut balancers[0], at(step)))
        .collect();
    expect_that!(chosen, contains(ok(eq(&0))));
}

/// Requests wait for room that comes soon, and are refused at once where it doesn't.
#[gtest]
fn request_waits_only_for_room_that_comes_soon() {
    let limited = |thousandths| {
        let mut balancer = balancers(1).remove(0);
        for index in 0..2 {
            balancer.record_limit(&incarnation(index), named(thousandths, 0), at(0));
        }
        for _ in 0..2 {
            expect_that!(choose(&mut balancer, at(1)), ok(anything()));
        }
        balancer
    };
    expect_that!(choose(&mut limited(2000), at(2)), err(eq(Reason::Full)));
    let mut slow = limited(200);
    let refusal = slow.choose(&query(at(2)), at(2)).unwrap_err();
    expect_that!(refusal.reason, eq(Reason::Limited));
    let wait = refusal.retry_after.unwrap();
    let after = at(2) + wait;
    expect_that!(choose(&mut slow, after), ok(anything()));
}
