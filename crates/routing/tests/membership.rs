//! Tests of liveness, departures and sampling in the gossip membership.

use entity::{Moment, Span, name};
use googletest::prelude::*;
use rand::SeedableRng;
use rand_chacha::ChaCha8Rng;
use routing::membership::{Membership, Peer};

const START: Moment = Moment(1_000_000_000);
const ZONES: usize = 4;
/// Peers that a beacon to another zone mentions.
const FAR_MENTIONS: usize = 2;

fn after(millis: u64) -> Moment {
    START + Span::from_millis(millis)
}

fn name(number: usize) -> name::Instance {
    format!("entry-{number:03}").parse().unwrap()
}

fn zone(number: usize) -> name::Zone {
    format!("zone-{}", number % ZONES).parse().unwrap()
}

fn peer(number: usize, last_seen: Moment) -> Peer {
    Peer {
        name: name(number),
        address: format!("10.0.0.1:{}", 9000 + number).parse().unwrap(),
        zone: Some(zone(number)),
        last_seen,
    }
}

fn local_membership() -> Membership {
    Membership::new(name(0), zone(0))
}

fn live(membership: &Membership, now: Moment) -> usize {
    membership.live(now).count()
}

#[gtest]
fn a_peer_without_heartbeats_expires() {
    let mut membership = local_membership();
    membership.observe(peer(1, START));
    expect_that!(live(&membership, after(7900)), eq(2));
    expect_that!(live(&membership, after(8000)), eq(1));
    // A mention of an earlier heartbeat changes nothing; one of a later heartbeat does.
    membership.record_mention(peer(1, START));
    expect_that!(live(&membership, after(8000)), eq(1));
    membership.record_mention(peer(1, after(500)));
    expect_that!(live(&membership, after(8000)), eq(2));
}

/// During a rolling restart, peers still mention an instance that has left.
#[gtest]
fn a_departed_peer_returns_only_by_a_heartbeat_or_a_later_mention() {
    let mut membership = local_membership();
    membership.observe(peer(1, START));
    membership.record_departure(&name(1), after(100));
    membership.record_mention(peer(1, after(90)));
    membership.record_mention(peer(1, after(1500)));
    expect_that!(live(&membership, after(1600)), eq(1));
    membership.record_mention(peer(1, after(2500)));
    expect_that!(live(&membership, after(2600)), eq(2));
    membership.record_departure(&name(1), after(3000));
    membership.observe(peer(1, after(3001)));
    expect_that!(live(&membership, after(3002)), eq(2));
}

#[gtest]
fn a_known_zone_is_kept_when_a_heartbeat_has_none() {
    let mut membership = local_membership();
    membership.observe(peer(1, START));
    membership.observe(Peer {
        zone: None,
        ..peer(1, after(1))
    });
    let mut random = ChaCha8Rng::seed_from_u64(1);
    let sampled = membership.sample(4, after(1), &mut random);
    expect_that!(sampled[0].zone, some(eq(&zone(1))));
}

#[gtest]
fn small_rounds_reach_all_peers_and_large_ones_mostly_the_local_zone() {
    let mut random = ChaCha8Rng::seed_from_u64(2);
    let mut few = local_membership();
    for number in 1..10 {
        few.observe(peer(number, START));
    }
    expect_that!(few.gossip_targets(&mut random).len(), eq(9));
    let mut many = local_membership();
    for number in 1..80 {
        many.observe(peer(number, START));
    }
    let mut other_zone_count = 0;
    for _ in 0..100 {
        let sampled = many.gossip_targets(&mut random);
        expect_that!(sampled.len(), le(14));
        other_zone_count += sampled
            .iter()
            .filter(|target| !(target.address.port() as usize - 9000).is_multiple_of(ZONES))
            .count();
        for target in &sampled {
            let number = target.address.port() as usize - 9000;
            expect_that!(target.is_far, eq(!number.is_multiple_of(ZONES)));
        }
    }
    expect_that!(other_zone_count, le(200));
    expect_that!(other_zone_count, gt(100));
}

/// A zone of one instance gets no more beacons than any other instance, and with two other zones both
/// get one each round.
#[gtest]
fn rounds_to_other_zones_are_spread_over_them() {
    let mut random = ChaCha8Rng::seed_from_u64(5);
    let mut counts = [0; 81];
    let mut membership = Membership::new(name(80), "home".parse().unwrap());
    for number in 0..80 {
        membership.observe(Peer {
            zone: Some(if number < 40 { zone(0) } else { zone(1) }),
            ..peer(number, START)
        });
    }
    for _ in 0..4000 {
        let targets = membership.gossip_targets(&mut random);
        let numbers: Vec<usize> = targets
            .iter()
            .map(|target| target.address.port() as usize - 9000)
            .collect();
        expect_that!(numbers.len(), eq(2));
        expect_that!(numbers.iter().filter(|number| **number < 40).count(), eq(1));
        for number in numbers {
            counts[number] += 1;
        }
    }
    // The mean is 100.
    expect_that!(counts[..80].iter().min(), some(gt(&60)));
    expect_that!(counts[..80].iter().max(), some(lt(&150)));
}

/// 80 instances in 4 zones, each of which sends its beacon to 13 peers in a round.
#[gtest]
fn no_live_peer_expires_under_sampled_gossip() {
    let mut random = ChaCha8Rng::seed_from_u64(3);
    let count = 80;
    let mut all: Vec<Membership> = (0..count)
        .map(|own| {
            let mut membership = Membership::new(name(own), zone(own));
            for number in 0..count {
                membership.record_mention(Peer {
                    zone: None,
                    ..peer(number, START)
                });
            }
            membership
        })
        .collect();
    for round in 1..60 {
        let now = after(400 * round);
        let mut sent = Vec::new();
        for (own, membership) in all.iter().enumerate() {
            let sample = membership.sample(8, now, &mut random);
            let mentioned: Vec<Peer> = sample.into_iter().cloned().collect();
            for target in membership.gossip_targets(&mut random) {
                let to = target.address.port() as usize - 9000;
                let limit = if target.is_far { FAR_MENTIONS } else { 8 };
                sent.push((own, to, mentioned[..limit.min(mentioned.len())].to_vec()));
            }
        }
        for (from, to, mentioned) in sent {
            all[to].observe(peer(from, now));
            for one in mentioned {
                all[to].record_mention(one);
            }
        }
        for membership in &all {
            expect_that!(live(membership, now), eq(count));
        }
    }
}

/// After a pause of its own an instance found all peers silent for longer than the time after which
/// they count as gone, and took all cold slots for its own.
#[gtest]
fn silence_in_a_pause_of_the_instance_itself_says_nothing_about_its_peers() {
    let mut membership = local_membership();
    for number in 1..4 {
        membership.observe(peer(number, after(0)));
    }
    membership.begin_round(after(100));
    membership.begin_round(after(9100));
    expect_that!(live(&membership, after(9100)), eq(4));
    // From then on, silence counts.
    for millis in (9500..17_500).step_by(400) {
        membership.begin_round(after(millis));
    }
    expect_that!(live(&membership, after(17_100)), eq(1));
}

#[gtest]
fn peers_that_have_long_been_silent_are_forgotten() {
    let mut membership = local_membership();
    for number in 1..5 {
        membership.observe(peer(number, START));
    }
    for millis in (0..700_000).step_by(400) {
        for number in 2..5 {
            membership.observe(peer(number, after(millis)));
        }
        membership.begin_round(after(millis));
    }
    expect_that!(membership.len(), eq(3));
}

/// An instance that is cut off from most of its peers has to find them again afterwards.
#[gtest]
fn instance_that_is_cut_off_keeps_the_addresses_of_its_peers() {
    let mut membership = local_membership();
    for number in 1..5 {
        membership.observe(peer(number, START));
    }
    for millis in (0..700_000).step_by(400) {
        membership.observe(peer(1, after(millis)));
        membership.begin_round(after(millis));
    }
    expect_that!(membership.len(), eq(4));
}
