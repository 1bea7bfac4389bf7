//! Cases for the ledger, the ranking of peers and held records.

use billing::copies::{Copies, Peer, rank};
use billing::held::{Full, Held, Policy};
use billing::ledger::{Checkpoint, Effect, Horizon, Ledger};
use billing::usage::{self, Entry, Interval, Record, Step, Target};
use entity::unit::{Cost, Tokens};
use entity::{Moment, Offset, Span, name, request};
use googletest::prelude::*;

const TIME_MS: u64 = 1_000_000;

/// Horizon of the ledgers below, in milliseconds.
const HORIZON_MS: u64 = 60_000;

fn id(number: u128, millis: u64) -> request::Id {
    request::Id(u128::from(millis) << 80 | number)
}

fn name<T: std::str::FromStr>(text: &str) -> T
where
    T::Err: std::fmt::Debug,
{
    text.parse().expect("a valid name")
}

fn step(version: &str, cost: u64) -> Step {
    Step {
        target: Target::Version(name(version)),
        upstream: name("gpu-1"),
        tokens_in: Tokens(100),
        tokens_out: Tokens(10),
        cost: Cost(cost),
    }
}

fn record(request: request::Id) -> Record {
    Record {
        request,
        organisation: name("water"),
        service: name("advise"),
        target: Target::Version(name("large/1")),
        steps: vec![step("small/1", 2), step("large/1", 9)],
        lender: Some(name("savings")),
    }
}

fn entry(number: u128) -> Entry {
    Entry::Request(record(id(number, TIME_MS)))
}

fn ledger(checkpoint: Checkpoint, first: u64) -> Ledger {
    let horizon = Horizon(Span::from_millis(HORIZON_MS));
    Ledger::open(horizon, checkpoint, Offset(first))
}

#[gtest]
fn all_steps_are_billed_once_and_the_lender_is_named() {
    let mut ledger = ledger(Checkpoint::default(), 1);
    let effects = ledger.apply(Offset(1), TIME_MS, &[entry(1), entry(1)]);
    expect_that!(
        effects,
        elements_are![eq(&Effect::Counted), eq(&Effect::Duplicate)]
    );
    let accounts = &ledger.checkpoint().accounts;
    expect_that!(accounts.len(), eq(2));
    expect_that!(accounts[0].organisation.as_str(), eq("savings"));
    expect_that!(accounts[0].lent, eq(1));
    expect_that!(accounts[1].requests, eq(1));
    expect_that!(accounts[1].cost, eq(Cost(11)));
    expect_that!(accounts[1].tokens_in, eq(Tokens(200)));
    expect_that!(accounts[1].borrowed, eq(1));
}

#[gtest]
fn idle_capacity_is_attributed_to_its_organisation() {
    let mut ledger = ledger(Checkpoint::default(), 1);
    let interval = Entry::Reserve(Interval {
        id: id(9, TIME_MS),
        writer: name("entry-1"),
        organisation: name("savings"),
        length_ms: 1000,
        used_ms: 300,
        lent_ms: 200,
        idle_ms: 500,
    });
    ledger.apply(Offset(1), TIME_MS, &[interval.clone(), interval]);
    let account = &ledger.checkpoint().accounts[0];
    expect_that!(account.organisation.as_str(), eq("savings"));
    expect_that!(
        (account.used_ms, account.lent_ms, account.idle_ms),
        eq((300, 200, 500))
    );
}

#[gtest]
fn copy_after_the_horizon_is_late_and_never_counted_twice() {
    let mut ledger = ledger(Checkpoint::default(), 1);
    ledger.apply(Offset(1), TIME_MS, &[entry(1)]);
    let last = ledger.apply(Offset(2), TIME_MS + HORIZON_MS, &[entry(1)]);
    expect_that!(last, elements_are![eq(&Effect::Duplicate)]);
    let late = ledger.apply(Offset(3), TIME_MS + HORIZON_MS + 1, &[entry(1)]);
    expect_that!(late, elements_are![eq(&Effect::Late)]);
    expect_that!(ledger.recent_count(), eq(0));
    expect_that!(ledger.checkpoint().late, eq(1));
    // The log's clock went back. The id was evicted, so the entry stays late.
    let back = ledger.apply(Offset(4), TIME_MS, &[entry(1)]);
    expect_that!(back, elements_are![eq(&Effect::Late)]);
}

#[gtest]
fn ledger_from_a_checkpoint_agrees_with_one_from_the_start() {
    let mut whole = ledger(Checkpoint::default(), 1);
    for offset in 1..=3 {
        whole.apply(Offset(offset), TIME_MS, &[entry(u128::from(offset))]);
    }
    let checkpoint = whole.checkpoint().clone();
    let mut resumed = ledger(checkpoint.clone(), 2);
    for offset in 2..=3 {
        let covered = resumed.apply(Offset(offset), TIME_MS, &[entry(u128::from(offset))]);
        expect_that!(covered, elements_are![eq(&Effect::Covered)]);
    }
    expect_that!(resumed.checkpoint(), eq(&checkpoint));
    for offset in 4..=5 {
        let batch = [entry(2), entry(u128::from(offset))];
        whole.apply(Offset(offset), TIME_MS, &batch);
        resumed.apply(Offset(offset), TIME_MS, &batch);
    }
    expect_that!(resumed.checkpoint(), eq(whole.checkpoint()));
}

#[gtest]
fn ledger_that_starts_too_late_is_not_exact() {
    let checkpoint = |clock_ms| Checkpoint {
        through: Offset(7),
        clock_ms,
        ..Checkpoint::default()
    };
    let skew = Span::from_millis(500);
    let mut short = ledger(checkpoint(TIME_MS), 5);
    expect_false!(short.is_exact(&checkpoint(TIME_MS), skew));
    short.apply(Offset(5), TIME_MS, &[]);
    expect_false!(short.is_exact(&checkpoint(TIME_MS + HORIZON_MS + 499), skew));
    expect_true!(short.is_exact(&checkpoint(TIME_MS + HORIZON_MS + 500), skew));
    expect_true!(ledger(checkpoint(TIME_MS), 1).is_exact(&checkpoint(TIME_MS), skew));
}

fn peer(instance: &str, zone: &str) -> Peer {
    Peer {
        name: name(instance),
        zone: name(zone),
    }
}

#[gtest]
fn holders_are_in_different_zones_while_there_are_any() {
    let peers = [
        peer("e1", "a"),
        peer("e2", "a"),
        peer("e3", "b"),
        peer("e4", "b"),
        peer("e5", "c"),
    ];
    let own_zone: name::Zone = name("a");
    for number in 0..50 {
        let ranked = rank(&peers, &own_zone, id(number, TIME_MS));
        let zones: Vec<&str> = ranked.iter().map(|f| f.zone.as_str()).collect();
        expect_that!(zones[..2], unordered_elements_are![eq(&"b"), eq(&"c")]);
        expect_that!(zones[3..], elements_are![eq(&"a"), eq(&"a")]);
    }
}

#[gtest]
fn lone_instance_needs_the_log() {
    let mut copies = Copies::new(0);
    expect_false!(copies.is_safe());
    copies.record_append();
    expect_true!(copies.is_safe());
}

#[gtest]
fn lost_holder_makes_a_record_unsafe_again() {
    let mut copies = Copies::new(5);
    for peer in ["e2", "e3"] {
        copies.record_request(name(peer));
        copies.record_hold(name(peer));
    }
    expect_true!(copies.is_safe());
    copies.remove_peer(&name("e3"));
    expect_that!(copies.missing(), eq(1));
    expect_false!(copies.is_safe());
    expect_that!(copies.drop_targets(), is_empty());
}

#[gtest]
fn held_records_are_bounded_replayed_and_expire() {
    let mut held = Held::new(Policy {
        replay_delay: Span::from_secs(1),
        max_hold: Span::from_secs(10),
        capacity: 1,
    });
    let (first, second) = (record(id(1, TIME_MS)), record(id(2, TIME_MS)));
    expect_that!(held.hold(first.clone(), name("e1"), Moment(0)), ok(()));
    expect_that!(held.hold(second, name("e1"), Moment(0)), err(eq(Full)));
    expect_that!(held.replay(Moment(999_999), 10), is_empty());
    expect_that!(held.replay(Moment(1_000_000), 10).len(), eq(1));
    expect_that!(held.replay(Moment(1_500_000), 10), is_empty());
    held.orphan(&name("e1"), Moment(1_600_000));
    expect_that!(held.replay(Moment(1_600_000), 10).len(), eq(1));
    expect_that!(held.expire(Moment(10_000_000)), is_empty());
    expect_that!(held.expire(Moment(10_000_001)), elements_are![eq(&first)]);
}

#[gtest]
fn batches_survive_encoding() {
    let batch = vec![entry(1)];
    expect_that!(usage::decode(&usage::encode(&batch)), ok(eq(&batch)));
}

#[gtest]
fn unreadable_entry_does_not_hide_the_others() {
    let mut data = br#"[{"refund":{"request":"x"}},"#.to_vec();
    data.extend(usage::encode_one(&entry(1)));
    data.push(b']');
    let batch = usage::decode(&data).expect("an array");
    let mut ledger = ledger(Checkpoint::default(), 1);
    let effects = ledger.apply(Offset(1), TIME_MS, &batch);
    expect_that!(
        effects,
        elements_are![eq(&Effect::Foreign), eq(&Effect::Counted)]
    );
    expect_that!(ledger.checkpoint().foreign, eq(1));
    expect_that!(usage::decode(b"{}"), err(anything()));
}
