//! How an instance connects to upstreams whose links may be cut.

use entity::{Moment, Span};
use googletest::prelude::*;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use routing::path::{Paths, PeerResult, Way};
use std::net::SocketAddr;

fn at(millis: u64) -> Moment {
    Moment(1_000_000_000) + Span::from_millis(millis)
}

fn upstream(number: usize) -> SocketAddr {
    format!("10.0.0.{number}:80").parse().unwrap()
}

/// Finds the link to an upstream to be cut.
fn cut(paths: &mut Paths, number: usize, now: Moment) {
    paths.choose(upstream(number), now);
    paths.record_own(upstream(number), false, now);
    paths.record_peer(upstream(number), PeerResult::Connected, now);
}

#[gtest]
fn own_link_comes_first() {
    let mut paths = Paths::default();
    let way = Way::Own {
        patience: None,
        then_peer: true,
    };
    expect_that!(paths.choose(upstream(1), at(0)), eq(way));
}

#[gtest]
fn cut_link_is_left_and_tried_again() {
    let mut paths = Paths::default();
    cut(&mut paths, 1, at(0));
    let by_peer = |probes| Way::Peer { probes };
    expect_that!(paths.choose(upstream(1), at(10)), eq(by_peer(false)));
    expect_that!(paths.choose(upstream(1), at(1010)), eq(by_peer(true)));
    // The try of the own link is under way.
    expect_that!(paths.choose(upstream(1), at(1020)), eq(by_peer(false)));
    expect_true!(paths.record_own(upstream(1), true, at(1030)));
    let way = paths.choose(upstream(1), at(1040));
    expect_that!(way, matches_pattern!(Way::Own { .. }));
}

/// An upstream that is down for all must not cost a peer's work for each request.
#[gtest]
fn upstream_that_is_down_is_no_cut() {
    let mut paths = Paths::default();
    paths.choose(upstream(1), at(0));
    paths.record_own(upstream(1), false, at(0));
    paths.record_peer(upstream(1), PeerResult::Refused, at(1));
    let way = Way::Own {
        patience: None,
        then_peer: false,
    };
    expect_that!(paths.choose(upstream(1), at(100)), eq(way));
    expect_false!(paths.is_cut_off());
}

#[gtest]
fn instance_is_cut_off_after_two_cuts_without_a_connection() {
    let mut paths = Paths::default();
    cut(&mut paths, 1, at(0));
    expect_false!(paths.is_cut_off());
    paths.record_own(upstream(3), true, at(5));
    cut(&mut paths, 2, at(10));
    expect_false!(paths.is_cut_off());
    cut(&mut paths, 4, at(20));
    expect_true!(paths.is_cut_off());
    // An upstream that wasn't tried yet is reached by a peer at once.
    let way = paths.choose(upstream(5), at(30));
    expect_that!(way, matches_pattern!(Way::Peer { .. }));
    expect_false!(paths.can_carry(upstream(5)));
    paths.record_own(upstream(5), true, at(40));
    expect_false!(paths.is_cut_off());
    expect_true!(paths.can_carry(upstream(5)));
    expect_false!(paths.can_carry(upstream(4)));
}

/// While cut off, an upstream that peers don't reach either fails at once.
#[gtest]
fn nothing_waits_for_an_upstream_that_nobody_reaches() {
    let mut paths = Paths::default();
    cut(&mut paths, 1, at(0));
    cut(&mut paths, 2, at(10));
    paths.choose(upstream(3), at(20));
    paths.record_peer(upstream(3), PeerResult::Refused, at(25));
    expect_that!(paths.choose(upstream(3), at(30)), eq(Way::None));
}

/// Links are cut and heal, upstreams go down, peers are cut off too. A working link is used again soon, an
/// upstream is given up only if neither the link nor a peer reached it lately, and nothing grows.
#[gtest]
fn working_links_are_used_and_reachable_upstreams_reached() {
    for seed in 0..200 {
        let mut random = ChaCha8Rng::seed_from_u64(seed);
        let mut paths = Paths::default();
        let mut links = [true; 6];
        let mut is_up = [true; 6];
        let mut peers_reach = true;
        let mut changed_at = [at(0); 6];
        for step in 0..3000_u64 {
            let now = at(step * 20);
            let number = random.random_range(0..6);
            if random.random_bool(0.004) {
                let cut_all = random.random_bool(0.5);
                for index in 0..6 {
                    if cut_all || index == number {
                        links[index] = !links[index];
                        changed_at[index] = now;
                    }
                }
            }
            if random.random_bool(0.004) {
                is_up[number] = !is_up[number];
                changed_at[number] = now;
            }
            if random.random_bool(0.002) {
                peers_reach = !peers_reach;
                changed_at = [now; 6];
            }
            let own = links[number] && is_up[number];
            let by_peer = |paths: &mut Paths| {
                let result = match (peers_reach, is_up[number]) {
                    (true, true) => PeerResult::Connected,
                    (true, false) => PeerResult::Refused,
                    (false, _) => PeerResult::NoPeer,
                };
                paths.record_peer(upstream(number), result, now);
                result == PeerResult::Connected
            };
            let way = paths.choose(upstream(number), now);
            let reached = match way {
                Way::Own { then_peer, .. } => {
                    paths.record_own(upstream(number), own, now);
                    own || then_peer && by_peer(&mut paths)
                }
                Way::Peer { probes } => {
                    if probes {
                        paths.record_own(upstream(number), own, now);
                    }
                    if !by_peer(&mut paths) && !peers_reach {
                        paths.record_own(upstream(number), own, now);
                        own
                    } else {
                        peers_reach && is_up[number]
                    }
                }
                Way::None => false,
            };
            let is_settled = now.since(changed_at[number]) > Span::from_secs(3);
            if !is_settled {
                continue;
            }
            let can_reach = is_up[number] && (links[number] || peers_reach);
            if can_reach {
                expect_true!(reached, "seed {seed} step {step} {way:?}");
            }
        }
    }
}

/// When there was no room for another address, all that was known was forgotten, and each cut link cost its
/// wait again.
#[gtest]
fn links_in_use_are_kept_when_others_come() {
    let mut paths = Paths::default();
    cut(&mut paths, 1, at(0));
    for number in 1000..4000_u32 {
        let (host, now) = (std::net::Ipv4Addr::from(number), at(u64::from(number)));
        paths.choose(SocketAddr::from((host, 80)), now);
        let way = paths.choose(upstream(1), now);
        expect_that!(way, matches_pattern!(Way::Peer { .. }));
    }
}

#[gtest]
fn known_links_are_bounded() {
    let mut paths = Paths::default();
    for number in 0..5000_u32 {
        let host = std::net::Ipv4Addr::from(number);
        paths.choose(SocketAddr::from((host, 80)), at(u64::from(number)));
    }
    let (_, steps) = entity::work::measure(|| paths.choose(upstream(1), at(5000)));
    expect_that!(steps, le(1024));
}
