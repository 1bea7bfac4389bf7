//! Guards against upstreams that fail for many instances while each of them sees too little of it, and
//! against ones that are taken out by mistake, by a lie or in too great a number.

mod common;
mod fleet;

use common::{START, engine, instance, millis, query, secs};
use entity::id::Id;
use entity::{Moment, Span};
use fleet::{DONE, ERROR, Fleet, Links};
use googletest::prelude::*;
use routing::evidence::{Counts, Sum};
use routing::evidence::{Stamp, Tried};
use routing::judgement::Word;
use routing::outlier::{
    Admission, Cause, Change, ChangeKind, GRACE, Member, Outliers, PROBES_PER_SLOT, SLOT, is_thin,
    judge,
};
use routing::restriction::Incarnation;
use routing::{Balancer, Outcome, Query};

const INSTANCES: usize = 80;

/// Time from the first bad ends until all instances leave the upstream alone: a second of tries, and
/// two rounds of gossip.
const EJECT_TIME: u64 = 2000;

/// Time from when an upstream is well until all instances use it again: the longest pause, a slot, and
/// two rounds of gossip, six times, as owners have a request in one slot of two.
const RETURN_TIME: u64 = 12_000;

fn incarnation(index: usize) -> Incarnation {
    Incarnation {
        upstream: engine(index),
        number: 1,
    }
}

fn member(ended: u32, failed: u32, unreachable: u32, reporters: u32) -> Member {
    Member {
        sum: Sum {
            counts: Counts {
                ended,
                failed,
                unreachable,
            },
            failing: reporters,
            unreachable: if unreachable > 0 { reporters } else { 0 },
            answered: 0,
        },
        limit: 10,
        running: 0.0,
        is_out: false,
        is_eligible: true,
    }
}

/// Returns the largest number of tries at an upstream in one slot for probes.
fn most_per_slot(fleet: &Fleet, upstream: usize, from: Moment, to: Moment) -> usize {
    let mut slots: Vec<u64> = Vec::new();
    for one in &fleet.tries {
        if one.upstream == upstream && one.at >= from && one.at < to {
            slots.push(one.at.0 / SLOT.as_micros());
        }
    }
    slots.sort_unstable();
    let runs = slots.chunk_by(|left, right| left == right);
    runs.map(<[u64]>::len).max().unwrap_or_default()
}

#[gtest]
fn one_of_three_plain_servers_fails() {
    for (seed, is_repeatable) in [(1, true), (2, true), (3, false), (4, false)] {
        let mut fleet = Fleet::new(INSTANCES, 3, true, seed).with_repeatable(is_repeatable);
        fleet.run(3000, 1.5, |_, _| DONE);
        let begun = fleet.now;
        let fails = |upstream, _| if upstream == 0 { ERROR } else { DONE };
        fleet.run(6500, 1.5, fails);
        let all = fleet.bad_tries(begun, |_| true);
        let late = fleet.bad_tries(begun + millis(EJECT_TIME), |_| true);
        let mut alone = Fleet::new(INSTANCES, 3, true, seed).with_repeatable(is_repeatable);
        alone.links.lost = 1.0;
        alone.run(3000, 1.5, |_, _| DONE);
        alone.run(6500, 1.5, fails);
        let before = alone.bad_tries(begun, |_| true);
        println!("seed {seed}: {all} failed, {late} after {EJECT_TIME} ms; {before} without words");
        expect_that!(all, lt(before / 2));
        let slots = (6500 - EJECT_TIME) / 500;
        expect_that!(late, le(slots as usize * PROBES_PER_SLOT));
        let probes = most_per_slot(&fleet, 0, begun + millis(EJECT_TIME), fleet.now);
        expect_that!(probes, le(PROBES_PER_SLOT));
        expect_that!(fleet.ejections(|upstream| upstream > 0), eq(0));
        fleet.run(RETURN_TIME, 1.5, |_, _| DONE);
        let well = fleet.now;
        fleet.run(4000, 1.5, |_, _| DONE);
        let mut users: Vec<usize> = Vec::new();
        for one in &fleet.tries {
            if one.at > well && one.upstream == 0 {
                users.push(one.instance);
            }
        }
        users.sort_unstable();
        users.dedup();
        // Each instance sends six requests in that time, a third of them here.
        expect_that!(users.len(), gt(INSTANCES * 3 / 4));
    }
}

#[gtest]
fn half_of_the_engines_end_at_once() {
    const ENGINES: usize = 90;
    let is_down = |upstream: usize| upstream < ENGINES / 2;
    let mut bad = Vec::new();
    for lost in [0.0, 1.0] {
        let mut fleet = Fleet::new(INSTANCES, ENGINES, false, 5);
        fleet.links.lost = lost;
        fleet.run(2000, 5.0, |_, _| DONE);
        let begun = fleet.now;
        let ends = |upstream, _| {
            if is_down(upstream) {
                Outcome::Unreachable
            } else {
                DONE
            }
        };
        fleet.run(10_000, 5.0, ends);
        bad.push(fleet.bad_tries(begun, |_| true));
        expect_that!(fleet.ejections(|upstream| !is_down(upstream)), eq(0));
        if lost > 0.0 {
            continue;
        }
        for upstream in 0..ENGINES / 2 {
            let from = begun + millis(2 * EJECT_TIME);
            let probes = most_per_slot(&fleet, upstream, from, fleet.now);
            expect_that!(probes, le(PROBES_PER_SLOT));
        }
    }
    println!(
        "tries without a connection: {} by all, {} by own evidence",
        bad[0], bad[1]
    );
    expect_that!(bad[0], lt(bad[1]));
}

#[gtest]
fn requests_that_fail_anywhere_are_no_outlier() {
    for (seed, upstreams, is_plain) in [(1, 3, true), (2, 3, true), (3, 16, false), (4, 90, false)]
    {
        let mut fleet = Fleet::new(INSTANCES, upstreams, is_plain, seed);
        let fails = |_, random| if random < 0.14 { ERROR } else { DONE };
        fleet.run(60_000, 2.0, fails);
        expect_that!(fleet.ejections(|_| true), eq(0));
        let all = |_, _| ERROR;
        fleet.run(5000, 2.0, all);
        expect_that!(fleet.ejections(|_| true), eq(0));
    }
}

#[gtest]
fn cut_links_are_not_told() {
    let mut fleet = Fleet::new(INSTANCES, 3, true, 6);
    fleet.cut_off = (0..20).collect();
    fleet.run(10_000, 2.0, |_, _| DONE);
    expect_that!(fleet.ejections(|_| true), eq(0));
}

#[gtest]
fn few_liars_take_nothing_out() {
    let mut fleet = Fleet::new(INSTANCES, 3, true, 7);
    fleet.run(3000, 2.0, |_, _| DONE);
    for round in 0..20_u64 {
        for liar in [1, 2] {
            let lie = Tried {
                incarnation: incarnation(0),
                counts: Counts {
                    ended: 1_000_000,
                    failed: 500_000,
                    unreachable: 500_000,
                },
                answered: None,
                failed: Some(fleet.now),
            };
            let word = Word {
                peer: instance(liar),
                stamp: Stamp {
                    run: 99,
                    sent: Moment(round + 1),
                },
                sent_at: fleet.now,
                tried: vec![lie; 32],
                returns: Vec::new(),
            };
            let now = fleet.now;
            for balancer in &mut fleet.balancers {
                balancer.record_evidence(word.clone(), now);
            }
        }
        fleet.run(100, 2.0, |_, _| DONE);
    }
    expect_that!(fleet.ejections(|_| true), eq(0));
}

#[gtest]
fn a_liar_brings_nothing_back_for_long() {
    let mut fleet = Fleet::new(INSTANCES, 3, true, 8);
    let fails = |upstream, _| if upstream == 0 { ERROR } else { DONE };
    fleet.run(3000, 1.5, fails);
    let begun = fleet.now;
    for round in 0..120_u64 {
        let now = fleet.now;
        let word = Word {
            peer: instance(1),
            stamp: Stamp {
                run: 99,
                sent: Moment(round + 1),
            },
            sent_at: now,
            tried: Vec::new(),
            returns: vec![(incarnation(0), now + secs(1000))],
        };
        for balancer in &mut fleet.balancers {
            balancer.record_evidence(word.clone(), now);
        }
        fleet.run(100, 1.5, fails);
    }
    let bad = fleet.bad_tries(begun, |_| true);
    // Without any ejection a third of all tries would fail.
    let all = fleet.tries.iter().filter(|one| one.at >= begun).count();
    println!("{bad} of {all} tries failed under a liar");
    expect_that!(bad, lt(all / 3 * 3 / 4));
}

#[gtest]
fn evidence_of_others_counts_only_where_own_is_thin() {
    let ends = |ended| Counts {
        ended,
        ..Counts::default()
    };
    expect_true!(is_thin(ends(7), 3, 32));
    expect_false!(is_thin(ends(8), 32, 32));
    expect_true!(is_thin(ends(1000), 33, 32));
}

#[gtest]
fn the_worst_is_taken_out_and_never_the_last() {
    let good = member(40, 1, 0, 1);
    let bad = member(20, 20, 0, 5);
    expect_that!(judge(&[bad, good, good]), eq(&[(0, Cause::Failing)]));
    // Two instances are too few, whatever they saw.
    let two = member(20, 20, 0, 2);
    expect_that!(judge(&[two, good, good]), is_empty());
    // Three ends are too few.
    expect_that!(judge(&[member(3, 3, 0, 3), good, good]), is_empty());
    // Nothing is known of the others.
    let unknown = member(0, 0, 0, 0);
    expect_that!(judge(&[bad, unknown, unknown]), is_empty());
    expect_that!(judge(&[bad]), is_empty());
    let gone = Member {
        is_out: true,
        ..good
    };
    expect_that!(judge(&[bad, gone]), is_empty());
    let resting = Member { limit: 0, ..good };
    expect_that!(judge(&[bad, resting]), is_empty());
    let fresh = Member {
        is_eligible: false,
        ..bad
    };
    expect_that!(judge(&[fresh, good, good]), is_empty());
    // All bad: nothing stands out.
    expect_that!(judge(&[bad, bad, bad]), is_empty());
}

#[gtest]
fn the_rest_carries_the_load() {
    let good = Member {
        running: 4.0,
        ..member(40, 1, 0, 1)
    };
    let bad = Member {
        running: 4.0,
        ..member(40, 40, 0, 5)
    };
    expect_that!(
        judge(&[bad, good, good]),
        elements_are![eq(&(0, Cause::Failing))]
    );
    // Two good ones of 10 requests each hold 16, and 12 run: one of three bad ones too many is kept.
    let full = Member {
        running: 7.0,
        ..good
    };
    expect_that!(judge(&[bad, full, full]), is_empty());
    // One that can't be reached carries nothing.
    let down = Member {
        running: 4.0,
        ..member(40, 0, 40, 5)
    };
    expect_that!(
        judge(&[down, full, full]),
        elements_are![eq(&(0, Cause::Unreachable))]
    );
    let down = member(40, 0, 40, 5);
    let judged = judge(&[down, down, down]);
    expect_that!(judged.len(), eq(2));
}

#[gtest]
fn an_upstream_that_some_reach_is_not_down() {
    let mut some = member(40, 0, 3, 3);
    some.sum.answered = 3;
    let good = member(40, 1, 0, 1);
    expect_that!(judge(&[some, good]), is_empty());
    some.sum.answered = 2;
    expect_that!(
        judge(&[some, good]),
        elements_are![eq(&(0, Cause::Unreachable))]
    );
    let few = member(3, 0, 3, 2);
    expect_that!(judge(&[few, good]), is_empty());
}

/// Ejects an incarnation at instances that know each other, and returns the probes of each slot over
/// `time`, as often as they may be sent.
fn probes(count: usize, is_repeatable: bool, time: Span) -> Vec<(u64, usize)> {
    let live: Vec<_> = {
        let mut names: Vec<_> = (0..count).map(instance).collect();
        names.sort();
        names
    };
    let mut views: Vec<Outliers> = vec![Outliers::default(); count];
    let evidence = (Sum::default(), Counts::default(), Span::ZERO);
    // Each learns of it at another time, and has another clock.
    let skew = |index: usize| millis(index as u64 % 5 * 80);
    for (index, view) in views.iter_mut().enumerate() {
        view.eject(
            &incarnation(0),
            Cause::Failing,
            evidence,
            START + skew(index),
        );
    }
    let mut sent: Vec<u64> = Vec::new();
    for step in 0..time.as_micros() / 20_000 {
        for (index, view) in views.iter_mut().enumerate() {
            let now = START + secs(1) + millis(step * 20) + skew(index);
            view.review(&live[index], &live, |_| Some(true), now);
            let admission = view.admit((&engine(0), 1), is_repeatable, now);
            if admission == Admission::Probe {
                view.record_probe(&incarnation(0));
                sent.push(now.0 / SLOT.as_micros());
            }
        }
    }
    sent.sort_unstable();
    let runs = sent.chunk_by(|left, right| left == right);
    runs.map(|run| (run[0], run.len())).collect()
}

#[gtest]
fn probes_of_all_instances_are_bounded() {
    for is_repeatable in [true, false] {
        let probes = probes(INSTANCES, is_repeatable, secs(40));
        expect_true!(probes.iter().all(|(_, count)| *count <= PROBES_PER_SLOT));
        let first = START.0 / SLOT.as_micros();
        // After four seconds, one slot in four.
        let late = probes.iter().filter(|(slot, _)| slot - first >= 10);
        let late: Vec<u64> = late.map(|(slot, _)| *slot).collect();
        expect_true!(late.windows(2).all(|pair| pair[1] - pair[0] == 4));
        expect_that!(late.len(), ge(15));
        let early = probes.iter().filter(|(slot, _)| slot - first < 10).count();
        expect_that!(early, ge(4));
    }
}

fn kinds(changes: &[Change]) -> Vec<ChangeKind> {
    changes.iter().map(|change| change.kind).collect()
}

#[gtest]
fn one_answer_ends_it_everywhere() {
    let evidence = (Sum::default(), Counts::default(), Span::ZERO);
    let mut own = Outliers::default();
    let mut other = Outliers::default();
    own.eject(&incarnation(0), Cause::Failing, evidence, START);
    other.eject(
        &incarnation(0),
        Cause::Failing,
        evidence,
        START + millis(900),
    );
    // A request from before says nothing.
    let sent = START - millis(10);
    expect_false!(own.record_answer(&incarnation(0), sent, START + millis(500)));
    let answered = START + secs(1);
    expect_true!(own.record_answer(&incarnation(0), START + millis(800), answered));
    expect_that!(
        kinds(&own.take_changes()),
        contains(eq(&ChangeKind::Answered))
    );
    let told: Vec<_> = own.returns(answered).collect();
    expect_that!(told.len(), eq(1));
    let heard = answered + millis(400);
    expect_true!(other.record_return(&incarnation(0), told[0].1, heard));
    expect_that!(
        kinds(&other.take_changes()),
        contains(eq(&ChangeKind::Told))
    );
    // It is passed on, ends, and is no news a second time.
    expect_that!(other.returns(heard).count(), eq(1));
    expect_that!(other.returns(heard + secs(3)).count(), eq(0));
    expect_false!(other.record_return(&incarnation(0), told[0].1 + millis(30), heard));
    expect_false!(other.is_eligible(&incarnation(0), answered + GRACE - millis(1)));
    expect_true!(other.is_eligible(&incarnation(0), answered + GRACE));
    // A return of an own probe is no news either.
    expect_false!(own.record_return(&incarnation(0), told[0].1 + millis(30), heard));
    // A return of before another ejection says nothing.
    let again = answered + secs(10);
    other.eject(&incarnation(0), Cause::Failing, evidence, again);
    expect_false!(other.record_return(&incarnation(0), again - GRACE, again));
    expect_true!(other.is_ejected(&incarnation(0)));
}

#[gtest]
fn pauses_are_longer_after_a_relapse() {
    let evidence = (Sum::default(), Counts::default(), Span::ZERO);
    let mut own = Outliers::default();
    let names = [instance(0)];
    let mut now = START;
    let mut waits = Vec::new();
    for _ in 0..4 {
        own.eject(&incarnation(0), Cause::Failing, evidence, now);
        let since = now;
        loop {
            now = now + millis(20);
            own.review(&names[0], &names, |_| Some(true), now);
            if own.admit((&engine(0), 1), true, now) == Admission::Probe {
                break;
            }
        }
        waits.push(now.since(since));
        own.record_answer(&incarnation(0), now, now + millis(1));
        now = now + GRACE;
    }
    expect_that!(waits[0], le(SLOT));
    let slots = |wait: &Span| wait.as_micros().div_ceil(SLOT.as_micros());
    let total: u64 = waits.iter().map(slots).sum();
    expect_that!(total, gt(5));
    // Later, it begins anew.
    now = now + secs(31);
    own.eject(&incarnation(0), Cause::Failing, evidence, now);
    own.review(&names[0], &names, |_| Some(true), now + SLOT);
    let admission = own.admit((&engine(0), 1), true, now + SLOT);
    expect_that!(admission, eq(Admission::Probe));
}

#[gtest]
fn an_ejection_without_evidence_ends() {
    let evidence = (Sum::default(), Counts::default(), Span::ZERO);
    let mut own = Outliers::default();
    own.eject(&incarnation(0), Cause::Failing, evidence, START);
    let names = [instance(0)];
    own.review(&names[0], &names, |_| Some(true), START + secs(30));
    own.review(&names[0], &names, |_| Some(false), START + secs(89));
    expect_true!(own.is_ejected(&incarnation(0)));
    own.review(&names[0], &names, |_| Some(false), START + secs(90));
    expect_false!(own.is_ejected(&incarnation(0)));
    expect_that!(
        kinds(&own.take_changes()),
        contains(eq(&ChangeKind::Expired))
    );
    // An incarnation that has ended leaves no record.
    own.eject(&incarnation(0), Cause::Failing, evidence, START);
    own.review(&names[0], &names, |_| None, START);
    expect_true!(own.is_empty());
}

#[gtest]
fn words_that_are_lost_late_or_repeated_and_restarts() {
    for seed in 0..12_u64 {
        let mut fleet = Fleet::new(INSTANCES, 3, true, seed);
        fleet.links = Links {
            lost: 0.3,
            late: 0.2,
            repeated: 0.2,
        };
        let fails = |upstream, random| match upstream {
            0 => ERROR,
            _ if random < 0.05 => ERROR,
            _ => DONE,
        };
        fleet.run(2000, 1.5, |_, _| DONE);
        let begun = fleet.now;
        for round in 0..16 {
            fleet.restart((seed as usize + round * 7) % INSTANCES);
            fleet.run(500, 1.5, fails);
        }
        expect_that!(fleet.ejections(|upstream| upstream > 0), eq(0));
        // An instance that restarts has a request or two before it has heard of others.
        let late = fleet.bad_tries(begun + millis(2 * EJECT_TIME), |upstream| upstream == 0);
        println!("seed {seed}: {late} bad tries after {} ms", 2 * EJECT_TIME);
        expect_that!(late, le(8 * (PROBES_PER_SLOT + 2)));
        fleet.run(RETURN_TIME, 1.5, |_, _| DONE);
        let well = fleet.now;
        fleet.run(4000, 1.5, |_, _| DONE);
        let used = fleet
            .tries
            .iter()
            .filter(|one| one.at > well && one.upstream == 0);
        // A third of 480 requests.
        expect_that!(used.count(), gt(100));
        expect_that!(fleet.ejections(|upstream| upstream > 0), eq(0));
    }
}

/// Upstreams of one region are all taken out, and a request may not go to another one.
#[gtest]
fn the_last_in_its_regions_is_not_refused() {
    let mut fleet = Fleet::new(INSTANCES, 4, true, 9);
    let far = "petra".parse().unwrap();
    for (id, zone) in fleet.config.zones.iter_mut() {
        // Upstreams alternate between the zones.
        if id.index() == 1 {
            zone.region = far;
            break;
        }
    }
    for index in 0..INSTANCES {
        fleet.restart(index);
    }
    let fails = |upstream, _| if upstream % 2 == 0 { ERROR } else { DONE };
    fleet.run(4000, 1.5, fails);
    expect_that!(fleet.ejections(|upstream| upstream % 2 == 0), gt(INSTANCES));
    let near = ["amman".parse().unwrap()];
    let mut chosen = 0;
    for balancer in &mut fleet.balancers {
        let asked = Query {
            version: None,
            regions: Some(&near),
            ..query(fleet.now)
        };
        let Ok(choice) = balancer.choose(&asked, fleet.now) else {
            continue;
        };
        chosen += 1;
        balancer.finish(choice, Outcome::Cancelled, fleet.now);
    }
    expect_that!(chosen, eq(INSTANCES));
}

/// Returns the word of a peer after five bad ends at the first of three upstreams.
fn failures(peer: usize, now: Moment) -> Word {
    let tried = |index, failed| Tried {
        incarnation: incarnation(index),
        counts: Counts {
            ended: 5,
            failed,
            unreachable: 0,
        },
        answered: None,
        failed: None,
    };
    Word {
        peer: instance(peer),
        stamp: Stamp { run: 0, sent: now },
        sent_at: now,
        tried: vec![tried(0, 5), tried(1, 0), tried(2, 0)],
        returns: Vec::new(),
    }
}

/// Returns the bad ends at the first upstream that an instance tells.
fn bad_ends_told(balancer: &mut Balancer, now: Moment) -> u32 {
    let tried = balancer.evidence(false, now).tried;
    let told = tried
        .iter()
        .filter(|tried| tried.incarnation == incarnation(0));
    told.map(|tried| tried.counts.bad()).sum()
}

/// Sends a request to the first upstream, if it may take one that may go nowhere else.
fn send_to_first(balancer: &mut Balancer, outcome: Outcome, now: Moment) -> bool {
    let excluded = [engine(1), engine(2)];
    let asked = Query {
        version: None,
        excluded: &excluded,
        ..query(now)
    };
    let Ok(choice) = balancer.choose(&asked, now) else {
        return false;
    };
    balancer.finish(choice, outcome, now + millis(1));
    true
}

/// Failures of before a return are not told any more.
#[gtest]
fn a_return_clears_the_record() {
    for is_own in [true, false] {
        let mut fleet = Fleet::new(1, 3, true, 10);
        let balancer = &mut fleet.balancers[0];
        let mut now = START + secs(1);
        expect_true!(send_to_first(balancer, ERROR, now));
        expect_that!(bad_ends_told(balancer, now), eq(1));
        for peer in 1..=4 {
            balancer.record_evidence(failures(peer, now), now);
        }
        now = now + millis(150);
        expect_false!(send_to_first(balancer, DONE, now));
        if is_own {
            // This instance is alone, and owns all slots for probes.
            now = now + millis(600);
            expect_true!(send_to_first(balancer, DONE, now));
        } else {
            now = now + millis(100);
            let word = Word {
                returns: vec![(incarnation(0), now)],
                ..failures(5, now)
            };
            balancer.record_evidence(word, now);
        }
        now = now + millis(1);
        let news = balancer.evidence(false, now);
        expect_that!(news.returns.len(), eq(1));
        expect_that!(bad_ends_told(balancer, now), eq(0));
        expect_true!(send_to_first(balancer, DONE, now + millis(10)));
    }
}

/// An idle upstream among many is probed though the choice among so many would seldom take it.
#[gtest]
fn probes_are_sent_where_many_others_are() {
    let mut fleet = Fleet::new(INSTANCES, 16, false, 11);
    let fails = |upstream, _| if upstream == 0 { ERROR } else { DONE };
    fleet.run(6000, 5.0, fails);
    let begun = fleet.now;
    fleet.run(16_000, 5.0, fails);
    // Two owners in each slot of 2 s, with 2.5 requests each.
    let probes = fleet.bad_tries(begun, |upstream| upstream == 0);
    expect_that!(probes, ge(10));
    expect_that!(probes, le(9 * PROBES_PER_SLOT));
}

/// A request that can't be repeated is the probe of a failing upstream only if no other one came.
#[gtest]
fn requests_that_can_be_repeated_probe_first() {
    let evidence = (Sum::default(), Counts::default(), Span::ZERO);
    let names = [instance(0)];
    let begin = Moment((START.0 / SLOT.as_micros() + 1) * SLOT.as_micros());
    for (cause, at_first) in [
        (Cause::Failing, Admission::Closed),
        (Cause::Unreachable, Admission::Probe),
    ] {
        let mut own = Outliers::default();
        own.eject(&incarnation(0), cause, evidence, START);
        own.review(&names[0], &names, |_| Some(true), begin);
        let admit = |is_repeatable, now| own.admit((&engine(0), 1), is_repeatable, now);
        expect_that!(admit(true, begin), eq(Admission::Probe));
        expect_that!(admit(false, begin), eq(at_first));
        expect_that!(admit(false, begin + SLOT.scaled(0.5)), eq(Admission::Probe));
        expect_that!(admit(true, begin + SLOT), eq(Admission::Closed));
    }
}
