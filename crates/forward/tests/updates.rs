//! Records that instances announce to each other.

use entity::{Moment, Offset, Span};
use forward::catalog::{Entry, Registration, State};
use forward::delta::Error;
use forward::source::{Item, Position, Topic};
use forward::updates::{Content, Updates};
use googletest::prelude::*;

const START: Moment = Moment(1_000_000_000);

/// Builds a record of a configuration with a version and a length in bytes.
fn item(version: u64, bytes: usize) -> Item {
    let mut value: Vec<u8> = (0..bytes)
        .map(|index| (index * index % 251) as u8)
        .collect();
    value[..8].copy_from_slice(&version.to_be_bytes());
    Item {
        key: "config".into(),
        position: Position {
            offset: Offset(version),
            ..Position::default()
        },
        entry: Ok(None),
        value: value.into(),
    }
}

/// Operators revoke keys while some instances can't reach the store: these must get the new
/// configuration from their peers.
#[gtest]
fn long_configuration_is_transferred_by_deltas() {
    let (mut reader, mut cut_off) = (Updates::default(), Updates::default());
    reader.record_base(Topic::Operator, &item(1, 13_000));
    cut_off.record_base(Topic::Operator, &item(1, 13_000));
    for version in 2..5 {
        reader.announce(Topic::Operator, &item(version, 13_000), START);
    }
    let announced = reader.announced(START);
    expect_that!(announced.len(), eq(3));
    for record in &announced {
        let Content::Delta(delta) = &record.content else {
            panic!("a long value is announced as a delta");
        };
        expect_that!(delta.bytes.len(), lt(300));
    }
    let values = cut_off.decode(&announced);
    let last = values.last().unwrap().as_ref().unwrap();
    expect_that!(last.position.offset, eq(Offset(4)));
    expect_that!(last.bytes, eq(&item(4, 13_000).value));
}

#[gtest]
fn delta_against_an_unknown_base_is_skipped() {
    let mut reader = Updates::default();
    reader.record_base(Topic::Operator, &item(1, 13_000));
    reader.announce(Topic::Operator, &item(2, 13_000), START);
    let announced = reader.announced(START);
    expect_that!(Updates::default().decode(&announced).len(), eq(0));
    let mut other = Updates::default();
    other.record_base(Topic::Operator, &item(7, 13_000));
    expect_that!(other.decode(&announced).len(), eq(0));
}

#[gtest]
fn reader_with_a_later_base_applies_the_later_deltas() {
    let (mut reader, mut late) = (Updates::default(), Updates::default());
    reader.record_base(Topic::Operator, &item(1, 13_000));
    late.record_base(Topic::Operator, &item(2, 13_000));
    // This older record must not replace the newer base.
    late.record_base(Topic::Operator, &item(1, 13_000));
    for version in 2..4 {
        reader.announce(Topic::Operator, &item(version, 13_000), START);
    }
    let values = late.decode(&reader.announced(START));
    expect_that!(values.len(), eq(1));
    expect_that!(values[0].as_ref().unwrap().position.offset, eq(Offset(3)));
}

#[gtest]
fn short_record_is_announced_whole_for_a_limited_time() {
    let mut updates = Updates::default();
    updates.announce(Topic::Upstreams, &item(1, 100), START);
    let announced = updates.announced(START + Span::from_secs(2));
    let values = Updates::default().decode(&announced);
    expect_that!(values[0].as_ref().unwrap().bytes, eq(&item(1, 100).value));
    expect_that!(updates.announced(START + Span::from_secs(3)).len(), eq(0));
}

#[gtest]
fn long_value_without_a_base_is_not_announced() {
    let mut updates = Updates::default();
    updates.announce(Topic::Operator, &item(1, 13_000), START);
    expect_that!(updates.announced(START).len(), eq(0));
}

#[gtest]
fn corrupt_delta_is_an_error_of_its_record_only() {
    let mut updates = Updates::default();
    updates.record_base(Topic::Operator, &item(1, 13_000));
    updates.announce(Topic::Operator, &item(2, 13_000), START);
    updates.announce(Topic::Upstreams, &item(1, 100), START);
    let mut announced = updates.announced(START);
    if let Content::Delta(delta) = &mut announced[0].content {
        delta.bytes = Box::default();
    }
    let mut receiver = Updates::default();
    receiver.record_base(Topic::Operator, &item(1, 13_000));
    let values = receiver.decode(&announced);
    expect_that!(values[0], err(matches_pattern!(Error::Damaged(_))));
    expect_true!(values[1].is_ok());
}

/// Many upstreams crash while operators revoke keys: the records of the upstreams must not displace
/// the configuration.
#[gtest]
fn records_of_upstreams_do_not_displace_the_configuration() {
    let mut updates = Updates::default();
    updates.record_base(Topic::Operator, &item(1, 13_000));
    updates.announce(Topic::Operator, &item(2, 13_000), START);
    for upstream in 0..100 {
        let record = Item {
            key: format!("i-{upstream}").into(),
            ..item(upstream, 100)
        };
        updates.announce(Topic::Upstreams, &record, START);
    }
    let announced = updates.announced(START);
    expect_that!(announced.len(), eq(25));
    expect_true!(
        announced
            .iter()
            .any(|record| record.topic == Topic::Operator)
    );
}

/// Many instances announce the same record in many rounds: it must be decoded once.
#[gtest]
fn received_record_is_not_decoded_again() {
    let mut updates = Updates::default();
    updates.announce(Topic::Upstreams, &item(1, 100), START);
    let announced = updates.announced(START);
    let mut receiver = Updates::default();
    expect_that!(receiver.decode(&announced).len(), eq(1));
    expect_that!(receiver.decode(&announced).len(), eq(0));
    updates.announce(Topic::Upstreams, &item(2, 100), START);
    expect_that!(receiver.decode(&updates.announced(START)).len(), eq(1));
}

/// Many upstreams leave and join at once in a release. Records that don't fit into one beacon must
/// follow in the next ones, departures first: what no beacon carries is learned too late.
#[gtest]
fn departures_are_announced_within_two_rounds_of_a_mass_drain() {
    let record = |offset: u64, entry| Item {
        key: format!("i-{offset:03}").into(),
        position: Position {
            offset: Offset(offset),
            ..Position::default()
        },
        entry: Ok(entry),
        value: Box::default(),
    };
    let registration = |state| Registration {
        service: "advice".parse().unwrap(),
        address: "10.0.0.1:8000".parse().unwrap(),
        zone: "north-a".parse().unwrap(),
        release: "v1".into(),
        slots: 4,
        state,
        cold: Span::ZERO,
        incarnation: 1,
    };
    let entry = |state| {
        Some(Entry::Registration(
            "i-1".parse().unwrap(),
            registration(state),
        ))
    };
    let mut updates = Updates::default();
    for offset in 0..60 {
        updates.announce(
            Topic::Upstreams,
            &record(offset, entry(State::Ready)),
            START,
        );
    }
    for offset in 60..80 {
        updates.announce(Topic::Upstreams, &record(offset, None), START);
    }
    for offset in 80..91 {
        updates.announce(
            Topic::Upstreams,
            &record(offset, entry(State::Draining)),
            START,
        );
    }
    let round = Span::from_millis(400);
    let mut announced = updates.announced(START);
    announced.extend(updates.announced(START + round));
    for offset in 60..91 {
        let found = announced
            .iter()
            .any(|one| one.position.offset == Offset(offset));
        expect_true!(found, "record {offset}");
    }
}

/// An upstream that is removed and registers again must not be announced as removed: the two records
/// can travel in different beacons, and the second may be lost.
#[gtest]
fn later_record_replaces_the_announcement_of_an_earlier_one() {
    let record = |key: &str, offset| Item {
        key: key.into(),
        ..item(offset, 100)
    };
    let mut updates = Updates::default();
    updates.announce(Topic::Upstreams, &record("i-1", 1), START);
    updates.announce(Topic::Upstreams, &record("i-2", 2), START);
    updates.announce(Topic::Upstreams, &record("i-1", 3), START);
    let announced = updates.announced(START);
    let offsets: Vec<u64> = announced.iter().map(|one| one.position.offset.0).collect();
    expect_that!(offsets, elements_are![eq(&2), eq(&3)]);
}
