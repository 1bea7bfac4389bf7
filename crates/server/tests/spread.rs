//! Beacons to other zones are few and small. Whatever instances act on at once must still reach all of
//! them as soon as if every beacon went whole to a random sample of all peers, and evidence on a trial
//! must not take much longer, or a bad release would run on in the other zones.
//!
//! 80 instances in 3 zones; times are in rounds.

use entity::unit::Share;
use entity::{Moment, Span, name};
use googletest::prelude::*;
use peer::message::{Beacon, Counted, Ruling};
use quality::trial::{Answer, Evidence, Measure, Side, Tally, Trial};
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use routing::membership::{Membership, Peer};
use server::forward::reach;

const COUNT: usize = 80;
const ZONE_COUNT: usize = 3;
const START: Moment = Moment(1_000_000_000);
/// Incarnations whose evidence one report has, besides the sender's.
const REPORTED_COUNT: usize = 23;
/// Rounds for which a record is announced after an instance has learned of it.
const ANNOUNCE_ROUNDS: usize = 6;
/// Sessions of others in one beacon, and those that are under way.
const RELAYED_COUNT: usize = 24;
const SESSION_COUNT: usize = 200;
/// Runs of each measurement.
const RUNS: u64 = 40;

/// Peers to which each round goes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Fanout {
    /// Ten of the zone and four of all peers, with whole beacons.
    Whole,
    /// As the router does it.
    Bounded,
    /// The build before at every other instance, in the middle of an upgrade.
    Mixed,
}

fn name(number: usize) -> name::Instance {
    format!("entry-{number:03}").parse().unwrap()
}

fn zone(number: usize) -> name::Zone {
    format!("zone-{}", number % ZONE_COUNT).parse().unwrap()
}

fn memberships() -> Vec<Membership> {
    let mut all = Vec::new();
    for own in 0..COUNT {
        let mut membership = Membership::new(name(own), zone(own));
        for number in (0..COUNT).filter(|number| *number != own) {
            membership.observe(Peer {
                name: name(number),
                address: format!("10.0.0.1:{}", 9000 + number).parse().unwrap(),
                zone: Some(zone(number)),
                last_seen: START,
            });
        }
        all.push(membership);
    }
    all
}

/// Returns who sends to whom in a round, and whether the receiver is in another zone.
fn round(all: &[Membership], fanout: Fanout, random: &mut StdRng) -> Vec<(usize, usize, bool)> {
    let mut sent = Vec::new();
    for (from, membership) in all.iter().enumerate() {
        let is_bounded = match fanout {
            Fanout::Whole => false,
            Fanout::Bounded => true,
            Fanout::Mixed => from.is_multiple_of(2),
        };
        if is_bounded {
            for target in membership.gossip_targets(random) {
                let to = usize::from(target.address.port()) - 9000;
                sent.push((from, to, target.is_far));
            }
            continue;
        }
        let others: Vec<usize> = (0..COUNT).filter(|to| *to != from).collect();
        let is_near = |to: &&usize| **to % ZONE_COUNT == from % ZONE_COUNT;
        let near: Vec<usize> = others.iter().filter(is_near).copied().collect();
        let mut chosen: Vec<usize> = near.sample(random, 10).copied().collect();
        chosen.extend(others.sample(random, 4).copied());
        chosen.sort_unstable();
        chosen.dedup();
        sent.extend(chosen.into_iter().map(|to| (from, to, false)));
    }
    sent
}

/// Returns the rounds until all instances know of what one of them begins to tell, each for
/// `told_rounds` rounds after it has learned of it.
fn rumour_rounds(fanout: Fanout, told_rounds: usize, seed: u64) -> usize {
    let mut random = StdRng::seed_from_u64(seed);
    let all = memberships();
    let mut known_since: Vec<Option<usize>> = vec![None; COUNT];
    known_since[seed as usize % COUNT] = Some(0);
    for now in 0..200 {
        let before = known_since.clone();
        for (from, to, _) in round(&all, fanout, &mut random) {
            if before[from].is_some_and(|since| now < since + told_rounds) {
                known_since[to].get_or_insert(now + 1);
            }
        }
        if known_since.iter().all(Option::is_some) {
            return now + 1;
        }
    }
    panic!("not all instances know of it");
}

/// Returns the rounds until all instances know of a session, which its instance tells in each beacon and
/// those that heard of it from that one as one of a random sample.
fn session_rounds(fanout: Fanout, seed: u64) -> usize {
    let mut random = StdRng::seed_from_u64(seed);
    let all = memberships();
    let origin = seed as usize % COUNT;
    let mut told = [false; COUNT];
    let mut known = [false; COUNT];
    known[origin] = true;
    for now in 0..1000 {
        let before = told;
        for (from, to, _) in round(&all, fanout, &mut random) {
            if from == origin {
                told[to] = true;
                known[to] = true;
            }
            // An instance has heard of about this many sessions from theirs.
            let is_drawn = random.random_range(0..SESSION_COUNT) < RELAYED_COUNT;
            known[to] |= before[from] && is_drawn;
        }
        if known.iter().all(|known| *known) {
            return now + 1;
        }
    }
    panic!("not all instances know of it");
}

fn answered(count: u32) -> Evidence {
    let tally = Tally {
        old: count,
        ..Tally::default()
    };
    vec![(7, tally)]
}

fn beacon(evidence: Vec<(name::Instance, Evidence)>) -> Beacon {
    let mut counted = Vec::new();
    for (life, tallies) in evidence {
        let tallies = tallies.iter().map(|(kind, tally)| {
            let (old, new) = (tally.old as i32, tally.new as i32);
            peer::message::Tally::new(*kind as i64, old, 0, new, 0)
        });
        counted.push(Counted::new(life.to_string(), tallies.collect()));
    }
    let trial = peer::message::Trial::new(
        "advice".into(),
        "advice/v2".into(),
        0,
        Ruling::OPEN,
        false,
        counted,
        Vec::new(),
        None,
        None,
        None,
    );
    Beacon {
        instance: "entry-000".into(),
        address: "10.0.0.1:9000".into(),
        leaving: false,
        trials: vec![trial],
        loads: Vec::new(),
        sights: Vec::new(),
        told: Vec::new(),
        zone: None,
        acquaintances: None,
        sent_us: None,
        run: None,
        departures: None,
        suspects: None,
        rebuttals: None,
        limits: None,
        requests: None,
        request_rebuttals: None,
        cut_off: None,
        build: None,
        tried: None,
        newcomer: None,
        answered_run: None,
        paces: None,
    }
}

/// Returns the rounds until all instances count one more answer: of an instance itself, or of one that
/// has ended and told only that instance.
fn evidence_rounds(fanout: Fanout, of_ended: bool, seed: u64) -> usize {
    let mut random = StdRng::seed_from_u64(seed);
    let all = memberships();
    let releases = ("advice/v1".parse().unwrap(), "advice/v2".parse().unwrap());
    let mut trials: Vec<Trial> = Vec::new();
    for own in 0..COUNT {
        let duration = Span::from_secs(24);
        let mut trial = Trial::new(releases.clone(), START, duration, Share::percent(15));
        trial.record(answer());
        for number in (0..=COUNT).filter(|number| *number != own) {
            trial.receive(name(number), answered(1));
        }
        // Instances are at different places in the order of the incarnations that they report.
        for _ in 0..random.random_range(0..COUNT) {
            trial.evidence(&name(own), 1);
        }
        trials.push(trial);
    }
    let origin = seed as usize % COUNT;
    if of_ended {
        trials[origin].receive(name(COUNT), answered(2));
    } else {
        trials[origin].record(answer());
    }
    let expected = trials[origin].sum();
    for now in 0..1000 {
        let mut sent: Vec<(Beacon, Beacon)> = Vec::new();
        for (own, trial) in trials.iter_mut().enumerate() {
            let whole = beacon(trial.evidence(&name(own), REPORTED_COUNT));
            let far = reach::for_other_zones(&whole, &mut random);
            sent.push((whole, far));
        }
        for (from, to, is_far) in round(&all, fanout, &mut random) {
            let (near, far) = &sent[from];
            let beacon = if is_far { far } else { near };
            for counted in &beacon.trials[0].evidence {
                let life: name::Instance = counted.life.parse().unwrap();
                if life != name(to) {
                    trials[to].receive(life, answered(counted.tallies[0].old_count as u32));
                }
            }
        }
        if trials.iter().all(|trial| trial.sum() == expected) {
            return now + 1;
        }
    }
    panic!("not all instances count it");
}

fn answer() -> Answer {
    Answer {
        kind: 7,
        side: Side::Old,
        failed: false,
        time: None,
        measure: Measure::Start,
    }
}

/// Returns the mean and the largest of the rounds over all runs.
fn measure(rounds: impl Fn(u64) -> usize) -> (f64, usize) {
    let all: Vec<usize> = (0..RUNS).map(rounds).collect();
    let mean = all.iter().sum::<usize>() as f64 / all.len() as f64;
    (mean, all.into_iter().max().unwrap_or_default())
}

#[gtest]
fn records_and_rulings_spread_no_slower() {
    for told_rounds in [ANNOUNCE_ROUNDS, usize::MAX / 2] {
        let whole = measure(|seed| rumour_rounds(Fanout::Whole, told_rounds, seed));
        for fanout in [Fanout::Bounded, Fanout::Mixed] {
            let bounded = measure(|seed| rumour_rounds(fanout, told_rounds, seed));
            expect_that!(bounded.0, le(whole.0), "{fanout:?}");
            expect_that!(bounded.1, le(whole.1), "{fanout:?}");
        }
    }
}

#[gtest]
fn sessions_spread_at_most_a_quarter_slower() {
    let whole = measure(|seed| session_rounds(Fanout::Whole, seed));
    let bounded = measure(|seed| session_rounds(Fanout::Bounded, seed));
    expect_that!(bounded.0, le(1.25 * whole.0));
}

#[gtest]
fn evidence_spreads_at_most_half_as_slow() {
    for of_ended in [false, true] {
        let whole = measure(|seed| evidence_rounds(Fanout::Whole, of_ended, seed));
        for fanout in [Fanout::Bounded, Fanout::Mixed] {
            let bounded = measure(|seed| evidence_rounds(fanout, of_ended, seed));
            expect_that!(bounded.0, le(1.5 * whole.0), "{fanout:?}");
        }
    }
}
