//! What all bodies of callers may take of an instance's memory together.

use caller::bodies::ledger::{Full, Id, Ledger};
use entity::unit::Bytes;
use entity::{Moment, Span};
use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;

const MIB: u64 = 1 << 20;
const LIMIT: Bytes = Bytes(16 * MIB);
/// Largest body of the configuration.
const LARGEST: Bytes = Bytes(4 * MIB);

fn at(millis: u64) -> Moment {
    Moment(1_000_000) + Span::from_millis(millis)
}

/// Returns a ledger with bodies of a size that began to arrive at once.
fn after(count: u64, bytes: u64) -> (Ledger, Vec<Id>) {
    let mut ledger = Ledger::new(LIMIT);
    let mut ids = Vec::new();
    for _ in 0..count {
        let id = ledger.open(at(0));
        ledger.grow(id, bytes, LARGEST, at(0)).unwrap();
        ids.push(id);
    }
    (ledger, ids)
}

#[gtest]
fn long_bodies_leave_room_for_short_ones() {
    let (mut ledger, _) = after(3, 4 * MIB);
    let long = ledger.open(at(1));
    expect_that!(ledger.grow(long, MIB, LARGEST, at(1)), err(eq(&Full)));
    let short = ledger.open(at(1));
    expect_that!(ledger.grow(short, 60 << 10, LARGEST, at(1)), ok(anything()));
}

/// A machine with little memory refused each long body, though nobody else sent one.
#[gtest]
fn legal_body_has_room_alone() {
    let mut ledger = Ledger::new(Bytes(MIB));
    let id = ledger.open(at(0));
    expect_that!(ledger.grow(id, LARGEST.0, LARGEST, at(0)), ok(anything()));
}

/// Callers that stopped just short of the end of their bodies kept all others out.
#[gtest]
fn largest_stalled_body_makes_room() {
    let (mut ledger, ids) = after(2, 4 * MIB);
    let larger = ids[1];
    ledger.grow(ids[0], MIB, LARGEST, at(0)).unwrap();
    let asks = ledger.open(at(2000));
    let evicted = ledger.grow(asks, 4 * MIB, LARGEST, at(2000));
    expect_that!(evicted, ok(elements_are![eq(&ids[0])]));
    expect_that!(ledger.used(), eq(Bytes(8 * MIB)));
    // It has no room any more.
    expect_that!(ledger.grow(ids[0], 1, LARGEST, at(2000)), err(eq(&Full)));
    expect_that!(ledger.grow(larger, 1, LARGEST, at(2000)), ok(anything()));
}

#[gtest]
fn bodies_that_arrive_and_whole_ones_stay() {
    let (mut ledger, ids) = after(3, 4 * MIB);
    ledger.complete(ids[0]);
    ledger.complete(ids[1]);
    ledger.grow(ids[2], 0, LARGEST, at(2500)).unwrap();
    let asks = ledger.open(at(3000));
    expect_that!(ledger.grow(asks, MIB, LARGEST, at(3000)), err(eq(&Full)));
    ledger.close(ids[0]);
    expect_that!(ledger.grow(asks, MIB, LARGEST, at(3000)), ok(is_empty()));
}

/// A stalled body was forgotten, though it kept its memory, when its bytes were not enough for another one.
#[gtest]
fn no_body_makes_room_in_vain() {
    let (mut ledger, ids) = after(3, 4 * MIB);
    ledger.complete(ids[0]);
    ledger.complete(ids[1]);
    ledger.close(ids[2]);
    let stalls = ledger.open(at(0));
    ledger.grow(stalls, MIB, LARGEST, at(0)).unwrap();
    let asks = ledger.open(at(2000));
    ledger.grow(asks, 3 * MIB, LARGEST, at(2000)).unwrap();
    let used = ledger.used();
    expect_that!(
        ledger.grow(asks, 2 * MIB, LARGEST, at(2000)),
        err(eq(&Full))
    );
    expect_that!(ledger.used(), eq(used));
}

/// Bodies that begin, grow, stall, end and leave in any order never hold more than the limit, and all is free
/// once they have left.
#[gtest]
fn bodies_never_hold_more_than_the_limit() {
    for seed in 0..200 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut ledger = Ledger::new(LIMIT);
        let mut bodies: Vec<Id> = Vec::new();
        for step in 0..600 {
            let now = at(step * random.random_range(1..80));
            match random.random_range(0..10) {
                0 | 1 => bodies.push(ledger.open(now)),
                2 if !bodies.is_empty() => {
                    ledger.close(bodies.swap_remove(random.random_range(0..bodies.len())));
                }
                3 if !bodies.is_empty() => {
                    ledger.complete(bodies[random.random_range(0..bodies.len())]);
                }
                _ if !bodies.is_empty() => {
                    let id = bodies[random.random_range(0..bodies.len())];
                    let bytes = random.random_range(1..MIB);
                    if let Ok(evicted) = ledger.grow(id, bytes, LARGEST, now) {
                        expect_that!(evicted, not(contains(eq(&id))));
                    }
                }
                _ => {}
            }
            expect_that!(ledger.used().0, le(LIMIT.0), "seed {seed}");
        }
        for id in bodies {
            ledger.close(id);
        }
        expect_that!(ledger.used(), eq(Bytes(0)), "seed {seed}");
    }
}
