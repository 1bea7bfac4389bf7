//! The instances that one has heard of.

use entity::{Moment, Span, name};
use googletest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use routing::acquaintance::{Acquaintances, Peer};

const START: Moment = Moment(1_000_000_000);
const ZONES: usize = 4;

fn after(millis: u64) -> Moment {
    START + Span::from_millis(millis)
}

fn name(number: usize) -> name::Instance {
    format!("entry-{number:03}").parse().unwrap()
}

fn zone(number: usize) -> name::Zone {
    format!("zone-{}", number % ZONES).parse().unwrap()
}

fn peer(number: usize, heard: Moment) -> Peer {
    Peer {
        name: name(number),
        address: format!("10.0.0.1:{}", 9000 + number).parse().unwrap(),
        zone: Some(zone(number)),
        heard,
    }
}

fn one() -> Acquaintances {
    Acquaintances::new(name(0), zone(0))
}

fn live(known: &Acquaintances, now: Moment) -> usize {
    known.live(now).count()
}

#[gtest]
fn one_that_falls_silent_is_not_live_after_a_while() {
    let mut known = one();
    known.hear(peer(1, START));
    expect_that!(live(&known, after(7900)), eq(2));
    expect_that!(live(&known, after(8000)), eq(1));
    // What others heard of it earlier changes nothing; what they heard later does.
    known.hear_of(peer(1, START));
    expect_that!(live(&known, after(8000)), eq(1));
    known.hear_of(peer(1, after(500)));
    expect_that!(live(&known, after(8000)), eq(2));
}

/// Pattern: a rolling restart, while the others still tell of who has left.
#[gtest]
fn one_that_leaves_is_brought_back_by_itself_only_or_by_later_news() {
    let mut known = one();
    known.hear(peer(1, START));
    known.leave(&name(1), after(100));
    known.hear_of(peer(1, after(90)));
    known.hear_of(peer(1, after(1500)));
    expect_that!(live(&known, after(1600)), eq(1));
    known.hear_of(peer(1, after(2500)));
    expect_that!(live(&known, after(2600)), eq(2));
    known.leave(&name(1), after(3000));
    known.hear(peer(1, after(3001)));
    expect_that!(live(&known, after(3002)), eq(2));
}

#[gtest]
fn a_zone_that_was_heard_of_stays_known() {
    let mut known = one();
    known.hear(peer(1, START));
    known.hear(Peer {
        zone: None,
        ..peer(1, after(1))
    });
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let told = known.sample(4, after(1), &mut random);
    expect_that!(told[0].zone, some(eq(&zone(1))));
}

#[gtest]
fn a_few_are_all_told_and_many_mostly_in_the_own_zone() {
    let mut random = ChaCha8Rng::seed_from_u64(2);
    let mut few = one();
    for number in 1..10 {
        few.hear(peer(number, START));
    }
    expect_that!(few.listeners(&mut random).len(), eq(9));
    let mut many = one();
    for number in 1..80 {
        many.hear(peer(number, START));
    }
    let mut far = 0;
    for _ in 0..100 {
        let told = many.listeners(&mut random);
        expect_that!(told.len(), le(14));
        far += told
            .iter()
            .filter(|address| !(address.port() as usize - 9000).is_multiple_of(ZONES))
            .count();
    }
    expect_that!(far, le(400));
    expect_that!(far, gt(100));
}

/// Pattern: 80 instances in four zones, each of which tells 14 in a round.
#[gtest]
fn nobody_is_taken_for_dead_while_all_are_live() {
    let mut random = ChaCha8Rng::seed_from_u64(3);
    let count = 80;
    let mut all: Vec<Acquaintances> = (0..count)
        .map(|own| {
            let mut known = Acquaintances::new(name(own), zone(own));
            for number in 0..count {
                known.hear_of(Peer {
                    zone: None,
                    ..peer(number, START)
                });
            }
            known
        })
        .collect();
    for round in 1..60 {
        let now = after(400 * round);
        let mut sent = Vec::new();
        for (own, known) in all.iter().enumerate() {
            let sample = known.sample(8, now, &mut random);
            let mentioned: Vec<Peer> = sample.into_iter().cloned().collect();
            for address in known.listeners(&mut random) {
                let to = address.port() as usize - 9000;
                sent.push((own, to, mentioned.clone()));
            }
        }
        for (from, to, mentioned) in sent {
            all[to].hear(peer(from, now));
            for one in mentioned {
                all[to].hear_of(one);
            }
        }
        for known in &all {
            expect_that!(live(known, now), eq(count));
        }
    }
}
