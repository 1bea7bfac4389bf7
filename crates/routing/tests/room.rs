//! Few servers before many instances: an instance must not let a request wait while other instances
//! leave slots idle, and all instances together must not flood the servers when they borrow at once,
//! when peers are silent, frozen or lie, or when a server goes away.

mod common;
#[path = "common/fleet.rs"]
mod fleet;

use common::{START, millis};
use fleet::{Fleet, Load, SLOTS, Talk};
use googletest::prelude::*;
use proptest::prelude::proptest;
use routing::room::{Coverage, Crowd, Room, Sight, loan_bound};

const INSTANCES: usize = 83;
const SERVERS: usize = 4;
const SEEDS: [u64; 4] = [11, 12, 13, 14];

fn sight(own: u32, running: f64) -> Sight {
    Sight {
        limit: SLOTS,
        share: 1,
        own,
        crowd: Crowd {
            running,
            borrowers: running,
        },
        usable: true,
    }
}

fn coverage(heard: usize) -> Coverage {
    Coverage {
        heard,
        known: INSTANCES - 1,
    }
}

/// Returns how many requests an instance borrows at idle servers until it is refused.
fn borrow(coverage: Coverage, running: f64) -> u32 {
    let mut own = [1; SERVERS];
    loop {
        let sights: Vec<Sight> = own.iter().map(|&own| sight(own, running)).collect();
        let room = Room::new(coverage, INSTANCES as u32, sights.iter().copied());
        let Some(free) = sights.iter().position(|sight| room.lends(sight)) else {
            return own.iter().sum::<u32>() - SERVERS as u32;
        };
        own[free] += 1;
    }
}

/// All instances see the same idle servers and borrow before any announcement passes.
#[gtest]
fn loans_of_all_instances_are_bounded_between_two_announcements() {
    let spare = f64::from(SLOTS) * SERVERS as f64;
    let each = borrow(coverage(INSTANCES - 1), 0.0);
    expect_that!(each, all![ge(1), le(loan_bound(spare, INSTANCES as u32))]);
    let all = f64::from(each) * INSTANCES as f64;
    let bound = (2.0 * INSTANCES as f64).max(2.0 * spare + INSTANCES as f64);
    expect_that!(all, le(bound));
}

#[gtest]
fn nothing_is_lent_where_little_is_known_or_nothing_is_free() {
    expect_that!(borrow(coverage(0), 0.0), eq(0));
    expect_that!(borrow(coverage(INSTANCES / 5), 0.0), eq(0));
    let full = 2.0 * f64::from(SLOTS);
    expect_that!(borrow(coverage(INSTANCES - 1), full), eq(0));
    expect_that!(borrow(coverage(INSTANCES / 2), full), eq(0));
    expect_that!(borrow(Coverage::default(), 0.0), eq(0));
}

proptest! {
    /// Whatever peers tell, an instance has its share, and borrows no more than the bound.
    #[test]
    fn lies_change_nothing_beyond_the_bound(
        heard in 0_usize..200,
        known in 0_usize..200,
        own in 0_u32..12,
        running in 0.0..1e6_f64,
        sharers in 1_u32..200,
    ) {
        let sights = [sight(own, running), sight(0, 0.0)];
        let room = Room::new(Coverage { heard, known }, sharers, sights.into_iter());
        let loans = own.saturating_sub(1);
        let spare = f64::from(2 * SLOTS);
        if room.lends(&sights[0]) {
            assert!(loans < loan_bound(spare, sharers));
            assert!(own < SLOTS);
        }
    }
}

/// Half of the servers are away, and callers are hashed unevenly: few instances are busy.
fn outage_load(seed: u64) -> Load {
    Load {
        instances: INSTANCES,
        servers: SERVERS,
        away: 2,
        rate: 180.0,
        service: millis(50),
        seconds: 20,
        seed,
    }
}

#[gtest]
fn busy_instances_use_slots_that_others_leave_idle() {
    for seed in SEEDS {
        let load = outage_load(seed);
        let today = Fleet::run(&load, Talk::Silent);
        let lent = Fleet::run(&load, Talk::All);
        let best = fleet::shared_queue(&load);
        println!("share alone: {today}\nwith loans: {lent}\none queue: {best}");
        expect_that!(lent.mean_wait_ms, le(today.mean_wait_ms / 10.0));
        expect_that!(lent.p99_total_ms, le(2.0 * best.p99_total_ms));
        expect_that!(lent.refused, le(today.refused));
        expect_that!(lent.failed, eq(0));
    }
}

/// All servers are there and have room: lending must not make it worse.
#[gtest]
fn quiet_times_stay_quiet() {
    for seed in SEEDS {
        let load = Load {
            away: 0,
            ..outage_load(seed)
        };
        let today = Fleet::run(&load, Talk::Silent);
        let lent = Fleet::run(&load, Talk::All);
        println!("share alone: {today}\nwith loans: {lent}");
        expect_that!(lent.mean_total_ms, le(today.mean_total_ms + 1.0));
        expect_that!(lent.p99_total_ms, le(today.p99_total_ms));
        expect_that!(lent.refused, eq(0));
    }
}

/// All instances have requests that waited during an outage, and send them at once. Each borrowed
/// request may be refused once by each server that is left.
#[gtest]
fn a_backlog_after_an_outage_overshoots_by_the_loans_at_most() {
    for seed in SEEDS {
        let load = Load {
            seconds: 6,
            ..outage_load(seed)
        };
        let today = Fleet::start(&load, Talk::Silent).with_backlog(8).end();
        let lent = Fleet::start(&load, Talk::All).with_backlog(8).end();
        println!("share alone: {today}\nwith loans: {lent}");
        let loans = loan_bound(0.0, INSTANCES as u32) as usize * INSTANCES;
        let servers = load.servers - load.away;
        expect_that!(lent.refused, le(today.refused + servers * loans));
    }
}

/// An instance that starts, or comes back from a cut, has heard of nobody.
#[gtest]
fn an_instance_without_peers_sends_its_share_only() {
    let load = outage_load(SEEDS[0]);
    let mut fleet = Fleet::start(&load, Talk::All);
    expect_that!(fleet.lends_anywhere(), eq(false));
    fleet.steps(millis(3000));
    expect_that!(fleet.lends_anywhere(), eq(true));
}

/// A server fails all requests from the start on, while the others have room.
#[gtest]
fn a_server_that_fails_gets_no_loans() {
    for seed in SEEDS {
        let load = Load {
            away: 1,
            ..outage_load(seed)
        };
        let mut today = Fleet::start(&load, Talk::Silent);
        let mut lent = Fleet::start(&load, Talk::All);
        today.failing = Some(SERVERS - 1);
        lent.failing = Some(SERVERS - 1);
        let (today, lent) = (today.end(), lent.end());
        println!("share alone: {today}\nwith loans: {lent}");
        expect_that!(lent.refused, le(today.refused));
        expect_that!(lent.mean_total_ms, le(today.mean_total_ms));
    }
}

/// What failed must be used again soon after it is well, also while the others are loaded.
#[gtest]
fn a_server_that_recovers_gets_its_part_again() {
    for seed in SEEDS {
        let load = Load {
            away: 1,
            ..outage_load(seed)
        };
        let mut fleet = Fleet::start(&load, Talk::All);
        fleet.failing = Some(SERVERS - 1);
        fleet.steps(millis(5000));
        fleet.failing = None;
        fleet.steps(millis(5000));
        let before = fleet.taken.clone();
        fleet.steps(millis(5000));
        let since = |server: usize| fleet.taken[server] - before[server];
        let all: usize = (1..SERVERS).map(since).sum();
        expect_that!(since(SERVERS - 1), ge(all / 6), "of {all}");
    }
}

/// A frozen instance keeps requests at servers and tells nothing; a liar tells that it runs more
/// than there are slots. Neither may cost more than the loans.
#[gtest]
fn frozen_and_lying_instances_cost_at_most_the_loans() {
    let load = outage_load(SEEDS[0]);
    let today = Fleet::run(&load, Talk::Silent);
    for talk in [Talk::Frozen, Talk::Lying] {
        let harmed = Fleet::run(&load, talk);
        println!("share alone: {today}\nwith {talk:?}: {harmed}");
        expect_that!(harmed.mean_total_ms, le(1.1 * today.mean_total_ms));
        expect_that!(harmed.refused, le(today.refused));
    }
}

/// The peers fall silent halfway, as after a cut: what they told must not be used for long.
#[gtest]
fn silent_peers_leave_an_instance_its_share() {
    let load = outage_load(SEEDS[0]);
    let mut fleet = Fleet::start(&load, Talk::All);
    fleet.steps(millis(3000));
    fleet.talk = Talk::Silent;
    fleet.steps(millis(1600));
    expect_that!(fleet.lends_anywhere(), eq(false));
    expect_that!(fleet.now, gt(START));
}
