//! Exploration of a stream whose upstreams fall silent, refuse, and go on late. A silent stream was ended
//! before another upstream had a place for it, so that its caller got neither.

use entity::{Moment, Span};
use forward::handover::{MAX_OVERLAP, Silence, Step};
use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const SEEDS: u64 = 2_000;
const PATIENCE: Span = Span::from_millis(1_600);
const TICK: Span = Span::from_millis(10);
/// Time for which an upstream may work on a request that another one has taken over.
const TWICE_LIMIT: Span = Span::from_millis(400);

fn at(millis: u64) -> Moment {
    Moment(1_000_000_000) + Span::from_millis(millis)
}

/// What the relay has asked for.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Search {
    None,
    /// A place is sought until this time.
    Seeking(Moment),
    /// Another upstream was asked, and the silent run is kept.
    Asked(Moment),
}

/// A stream that ends after its last event, at any time, and upstreams that may have a place for it.
fn run(seed: u64, tries: u32) {
    let mut random = ChaCha8Rng::seed_from_u64(seed);
    let mut now = at(0);
    let mut silence = Silence::start(Some(PATIENCE), now);
    let (mut heard, mut left, mut search) = (now, tries, Search::None);
    let mut silent_until = now;
    for _ in 0..2_000 {
        now = now + TICK;
        if random.random_range(0..300) == 0 {
            silent_until = now + Span::from_micros(random.random_range(0..6_000_000));
        }
        let speaks = now >= silent_until && random.random_range(0..10) == 0;
        match search {
            Search::Asked(since) if now.since(since) >= MAX_OVERLAP => {
                // The silent run is ended: the other one is waited for alone.
                assert!(now.since(since) < TWICE_LIMIT);
                return;
            }
            Search::Asked(_) if random.random_range(0..20) == 0 => {
                if random.random_bool(0.5) {
                    return;
                }
                silence.record_no_place(now);
                search = Search::None;
            }
            Search::Asked(_) => continue,
            _ if speaks => {
                silence.record_event(now);
                (heard, search) = (now, Search::None);
            }
            Search::Seeking(until) if now >= until => {
                search = if left == 0 {
                    silence.record_last();
                    Search::None
                } else if random.random_bool(0.5) {
                    left -= 1;
                    Search::Asked(now)
                } else {
                    silence.record_no_place(now);
                    Search::None
                };
            }
            Search::Seeking(_) => {}
            Search::None => match silence.step(now) {
                Step::Seek => {
                    assert!(
                        now.since(heard) >= PATIENCE,
                        "sought after {}",
                        now.since(heard)
                    );
                    search = Search::Seeking(now + Span::from_millis(random.random_range(0..900)));
                }
                Step::Wait(until) => assert!(until > now),
                Step::Keep => assert_eq!(left, 0),
            },
        }
    }
}

#[gtest]
fn silent_run_is_kept_until_another_upstream_was_asked() {
    for seed in 0..SEEDS {
        run(seed, (seed % 4) as u32);
    }
}

#[gtest]
fn place_is_sought_again_after_a_while() {
    let mut silence = Silence::start(Some(PATIENCE), at(0));
    expect_that!(silence.step(at(0)), eq(Step::Wait(at(1_600))));
    expect_that!(silence.step(at(1_600)), eq(Step::Seek));
    silence.record_no_place(at(1_600));
    let Step::Wait(until) = silence.step(at(1_600)) else {
        panic!("a place is sought without a pause");
    };
    expect_that!(until, all!(ge(at(1_900)), le(at(2_600))));
    expect_that!(silence.step(until), eq(Step::Seek));
    silence.record_event(at(3_000));
    expect_that!(silence.step(at(4_599)), eq(Step::Wait(at(4_600))));
    // An old answer makes no search earlier.
    silence.record_no_place(at(3_000));
    expect_that!(silence.step(at(4_599)), eq(Step::Wait(at(4_600))));
}

/// A stream that no other upstream can go on with was ended for its silence.
#[gtest]
fn stream_without_another_upstream_is_kept() {
    let silence = Silence::start(None, at(0));
    expect_that!(silence.step(at(60_000)), eq(Step::Keep));
    let mut silence = Silence::start(Some(PATIENCE), at(0));
    silence.record_last();
    silence.record_event(at(1));
    expect_that!(silence.step(at(60_000)), eq(Step::Keep));
}
