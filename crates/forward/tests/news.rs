//! Records that instances tell each other.

use entity::{Moment, Offset, Span};
use forward::delta::Error;
use forward::news::{Content, News};
use forward::source::{Item, Topic};
use googletest::prelude::*;

const START: Moment = Moment(1_000_000_000);

/// A configuration of so many bytes in a version.
fn item(version: u64, bytes: usize) -> Item {
    let mut value: Vec<u8> = (0..bytes)
        .map(|index| (index * index % 251) as u8)
        .collect();
    value[..8].copy_from_slice(&version.to_be_bytes());
    Item {
        key: "config".into(),
        offset: Offset(version),
        entry: Ok(None),
        value: value.into(),
    }
}

/// Pattern: keys are taken away while a part of the instances can't reach the store.
#[gtest]
fn a_long_configuration_follows_by_what_changed() {
    let (mut reader, mut cut_off) = (News::default(), News::default());
    reader.keep(Topic::Operator, &item(1, 13_000));
    cut_off.keep(Topic::Operator, &item(1, 13_000));
    for version in 2..5 {
        reader.tell(Topic::Operator, &item(version, 13_000), START);
    }
    let told = reader.recent(START);
    expect_that!(told.len(), eq(3));
    for one in &told {
        let Content::Delta(delta) = &one.content else {
            panic!("a long value is told by what changed");
        };
        expect_that!(delta.bytes.len(), lt(300));
    }
    let values = cut_off.values(&told);
    let last = values.last().unwrap().as_ref().unwrap();
    expect_that!(last.offset, eq(Offset(4)));
    expect_that!(last.bytes, eq(&item(4, 13_000).value));
}

#[gtest]
fn what_builds_on_an_unknown_value_is_left_out() {
    let mut reader = News::default();
    reader.keep(Topic::Operator, &item(1, 13_000));
    reader.tell(Topic::Operator, &item(2, 13_000), START);
    let told = reader.recent(START);
    expect_that!(News::default().values(&told).len(), eq(0));
    let mut other = News::default();
    other.keep(Topic::Operator, &item(7, 13_000));
    expect_that!(other.values(&told).len(), eq(0));
}

#[gtest]
fn a_base_that_was_passed_over_is_known_again() {
    let (mut reader, mut late) = (News::default(), News::default());
    reader.keep(Topic::Operator, &item(1, 13_000));
    late.keep(Topic::Operator, &item(2, 13_000));
    // An older record does not take the place of a newer one.
    late.keep(Topic::Operator, &item(1, 13_000));
    for version in 2..4 {
        reader.tell(Topic::Operator, &item(version, 13_000), START);
    }
    let values = late.values(&reader.recent(START));
    expect_that!(values.len(), eq(1));
    expect_that!(values[0].as_ref().unwrap().offset, eq(Offset(3)));
}

#[gtest]
fn short_records_are_told_whole_and_for_a_while() {
    let mut news = News::default();
    news.tell(Topic::Upstreams, &item(1, 100), START);
    let told = news.recent(START + Span::from_secs(2));
    let values = News::default().values(&told);
    expect_that!(values[0].as_ref().unwrap().bytes, eq(&item(1, 100).value));
    expect_that!(news.recent(START + Span::from_secs(3)).len(), eq(0));
}

#[gtest]
fn the_first_long_value_is_not_told() {
    let mut news = News::default();
    news.tell(Topic::Operator, &item(1, 13_000), START);
    expect_that!(news.recent(START).len(), eq(0));
}

#[gtest]
fn damage_is_an_error_of_its_record_only() {
    let mut news = News::default();
    news.keep(Topic::Operator, &item(1, 13_000));
    news.tell(Topic::Operator, &item(2, 13_000), START);
    news.tell(Topic::Upstreams, &item(1, 100), START);
    let mut told = news.recent(START);
    if let Content::Delta(delta) = &mut told[0].content {
        delta.bytes = Box::default();
    }
    let mut receiver = News::default();
    receiver.keep(Topic::Operator, &item(1, 13_000));
    let values = receiver.values(&told);
    expect_that!(values[0], err(matches_pattern!(Error::Damaged(_))));
    expect_true!(values[1].is_ok());
}

/// Pattern: many servers crash while keys are taken away.
#[gtest]
fn records_of_upstreams_do_not_crowd_out_the_configuration() {
    let mut news = News::default();
    news.keep(Topic::Operator, &item(1, 13_000));
    news.tell(Topic::Operator, &item(2, 13_000), START);
    for upstream in 0..100 {
        news.tell(Topic::Upstreams, &item(upstream, 100), START);
    }
    let told = news.recent(START);
    expect_that!(told.len(), eq(25));
    expect_true!(told.iter().any(|one| one.topic == Topic::Operator));
}

/// Pattern: each record is told by many instances in many rounds.
#[gtest]
fn a_record_that_was_taken_in_is_not_read_again() {
    let mut news = News::default();
    news.tell(Topic::Upstreams, &item(1, 100), START);
    let told = news.recent(START);
    let mut receiver = News::default();
    expect_that!(receiver.values(&told).len(), eq(1));
    expect_that!(receiver.values(&told).len(), eq(0));
    news.tell(Topic::Upstreams, &item(2, 100), START);
    expect_that!(receiver.values(&news.recent(START)).len(), eq(1));
}
