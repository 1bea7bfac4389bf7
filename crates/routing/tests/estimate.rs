//! What is learned of requests and engines: a kind whose answers are longer or shorter than callers say,
//! an organisation or a peer that misleads, and an instance that knows nothing.

use entity::time::Span;
use entity::{Moment, name, work};
use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use routing::estimate::length::{Claim, Lengths};
use routing::estimate::pace::{MAX_TOLD, Pace, Paces};
use routing::restriction::Incarnation;

const START: Moment = Moment(1_000_000_000);

fn claim(kind: u64, organisation: u64) -> Claim {
    Claim {
        kind,
        organisation,
        max: 2000,
        hint: None,
    }
}

fn at(millis: u64) -> Moment {
    START + Span::from_millis(millis)
}

/// Before the first answer, the caller's words are all there is.
#[gtest]
fn a_hint_is_believed_until_answers_differ() {
    let mut lengths = Lengths::default();
    let hinted = Claim {
        hint: Some(100),
        ..claim(1, 1)
    };
    expect_that!(lengths.expect(&hinted, START).median, near(100.0, 1.0));
    expect_that!(
        lengths.expect(&claim(1, 1), START).median,
        near(1000.0, 300.0)
    );
    for index in 0..50 {
        lengths.record(&hinted, 300, at(index));
    }
    expect_that!(lengths.expect(&hinted, at(50)).median, near(300.0, 40.0));
    // Another kind isn't touched.
    let other = Claim { kind: 2, ..hinted };
    expect_that!(lengths.expect(&other, at(50)).median, near(100.0, 1.0));
}

/// Lengths spread over a factor of thirty.
#[gtest]
fn quantiles_follow_the_answers() {
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let mut lengths = Lengths::default();
    let mut seen = Vec::new();
    for index in 0..2000 {
        let length = (20.0 * 30_f64.powf(random.random::<f64>())) as u32;
        seen.push(length);
        lengths.record(&claim(1, index % 4), length, at(index));
    }
    seen.sort_unstable();
    let expected = lengths.expect(&claim(1, 9), at(2000));
    expect_that!(expected.median / f64::from(seen[1000]), near(1.0, 0.2));
    expect_that!(expected.high / f64::from(seen[1800]), near(1.0, 0.2));
    expect_that!(expected.high, le(2000.0));
}

/// One organisation sends nine of ten requests, all of them odd.
#[gtest]
fn one_organisation_does_not_set_the_estimate_of_others() {
    let mut lengths = Lengths::default();
    for index in 0..1000 {
        let (organisation, length) = match index % 20 {
            0 => (1, 100),
            1 => (2, 110),
            _ => (3, 2000),
        };
        lengths.record(&claim(1, organisation), length, at(index));
    }
    let expected = lengths.expect(&claim(1, 1), at(1000));
    expect_that!(expected.median, near(105.0, 20.0));
}

#[gtest]
fn old_answers_are_forgotten_and_kinds_are_bounded() {
    let mut lengths = Lengths::default();
    for index in 0..100 {
        lengths.record(&claim(1, 1), 1500, at(index));
    }
    let later = START + Span::from_secs(600);
    for index in 0..5 {
        lengths.record(&claim(1, 1), 50, later + Span::from_millis(index));
    }
    expect_that!(lengths.expect(&claim(1, 1), later).median, lt(100.0));
    for kind in 0..1000 {
        for organisation in 0..20 {
            lengths.record(&claim(kind, organisation), 50, later);
        }
    }
    expect_that!(lengths.len(), le(64));
}

fn service() -> name::Service {
    "draft".parse().unwrap()
}

fn incarnation(index: usize) -> Incarnation {
    Incarnation {
        upstream: format!("engine-{index:03}").parse().unwrap(),
        number: 1,
    }
}

fn peer(index: usize) -> name::Instance {
    format!("entry-{index}").parse().unwrap()
}

fn slowness(paces: &Paces, index: usize, now: Moment) -> f64 {
    paces.slowness(&incarnation(index).upstream, 1, now)
}

/// Observes first events of twelve engines, of which the first has the given speed, every 50 ms.
fn observe(paces: &mut Paces, speed: f64, from: u64, until: u64) {
    for millis in (from..until).step_by(50) {
        let engine = (millis / 50 % 12) as usize;
        let speed = if engine == 0 { speed } else { 1.0 };
        let work = 200.0 + (millis % 7) as f64 * 500.0;
        let time = Span::from_micros(((work + 150.0) * 100.0 / speed) as u64);
        paces.observe(&service(), &incarnation(engine), (work, time), at(millis));
    }
}

/// Another program takes 60 % of an engine's time for a while.
#[gtest]
fn a_slowed_engine_is_known_within_two_seconds_of_evidence_and_forgiven() {
    let mut paces = Paces::default();
    observe(&mut paces, 1.0, 0, 10_000);
    expect_that!(slowness(&paces, 0, at(10_000)), near(1.0, 0.05));
    observe(&mut paces, 0.4, 10_000, 12_000);
    expect_that!(slowness(&paces, 0, at(12_000)), gt(1.3));
    expect_that!(slowness(&paces, 1, at(12_000)), near(1.0, 0.1));
    // Without requests it is forgiven by time alone.
    expect_that!(slowness(&paces, 0, at(30_000)), near(1.0, 0.05));
}

/// An incarnation that ended takes its slowness with it.
#[gtest]
fn a_restarted_engine_starts_at_the_usual_speed() {
    let mut paces = Paces::default();
    observe(&mut paces, 0.4, 0, 5000);
    expect_that!(slowness(&paces, 0, at(5000)), gt(1.3));
    let restarted = paces.slowness(&incarnation(0).upstream, 2, at(5000));
    expect_that!(restarted, eq(1.0));
}

fn told(index: usize, work: f64, seconds: f64) -> Pace {
    Pace {
        incarnation: incarnation(index),
        work,
        time: Span::from_micros((seconds * 1e6) as u64),
    }
}

/// Returns speeds after peers told the same of an engine that this instance doesn't use.
fn after_peers(peers: usize, pace: &Pace) -> Paces {
    let mut paces = Paces::default();
    observe(&mut paces, 1.0, 0, 5000);
    let service = service();
    for index in 0..peers {
        let known = |_: &name::Upstream| Some(&service);
        paces.record_peer(&peer(index), std::slice::from_ref(pace), known, at(5000));
    }
    paces
}

#[gtest]
fn peers_tell_of_a_slow_engine_until_it_expires() {
    let slow = told(50, 2000.0, 0.5);
    let mut paces = after_peers(6, &slow);
    expect_that!(slowness(&paces, 50, at(5000)), gt(1.8));
    paces.expire(at(9100));
    expect_that!(slowness(&paces, 50, at(9100)), eq(1.0));
}

/// A peer tells nonsense, in many entries and many times.
#[gtest]
fn one_lying_peer_changes_little() {
    let service = service();
    for (work, seconds) in [
        (1e12, 1e6),
        (1e12, 0.0),
        (f64::MAX, 0.0),
        (0.0, 1e6),
        (-5.0, 1.0),
    ] {
        let lie = told(50, work, seconds);
        let mut paces = after_peers(1, &lie);
        let lies = vec![lie; 1000];
        let known = |_: &name::Upstream| Some(&service);
        for _ in 0..100 {
            paces.record_peer(&peer(0), &lies, known, at(5000));
        }
        let changed = slowness(&paces, 50, at(5000));
        expect_that!(changed, all![ge(1.0 / 1.6), le(1.6)]);
        expect_that!(paces.len(), le(13));
    }
}

#[gtest]
fn told_entries_are_bounded_and_the_newest() {
    let mut paces = Paces::default();
    for index in 0..500 {
        let seen = (500.0, Span::from_millis(60));
        paces.observe(&service(), &incarnation(index), seen, at(index as u64));
    }
    let told = paces.told(at(500));
    expect_that!(told.len(), eq(MAX_TOLD));
    expect_that!(told[0].incarnation, eq(&incarnation(499)));
    expect_that!(paces.len(), le(256));
    expect_that!(paces.told(at(60_000)), is_empty());
}

/// The speed of an engine is one look-up, however many peers told of it.
#[gtest]
fn looking_up_a_speed_does_not_grow_with_peers() {
    let mut steps = Vec::new();
    for peers in [8, 75, 320] {
        let paces = after_peers(peers, &told(50, 2000.0, 0.3));
        let (_, taken) = work::measure(|| slowness(&paces, 50, at(5000)));
        steps.push(taken);
    }
    expect_that!(steps, each(eq(&steps[0].clone())));
}
