//! A store that comes back from a copy of itself: offsets are given out again, and what was written
//! after the copy is gone until operators and upstreams write it again.

#[path = "restore/world.rs"]
mod world;

use entity::{Era, Moment, Offset, Span};
use forward::Fold;
use forward::catalog::{Entry, Publication, Registration, State};
use forward::cursor::Cursor;
use forward::follow::{Follow, Timing};
use forward::source::{Error, Item, Listing, Page, Position, Topic};
use googletest::prelude::*;
use world::{Mutation, World};

const NOW: Moment = Moment(1_000_000_000);
/// Number of seeds that the exploration runs.
const SEED_COUNT: u64 = 200;

fn item(key: &str, (era, offset): (u64, u64), entry: Option<Entry>) -> Item {
    Item {
        key: key.into(),
        position: Position {
            era: Era(era),
            offset: Offset(offset),
        },
        entry: Ok(entry),
        value: Box::default(),
    }
}

fn listing(era: u64, end: u64, items: Vec<Item>) -> Listing {
    Listing {
        items,
        end: Offset(end),
        era: Era(era),
    }
}

fn upstream(state: State) -> Option<Entry> {
    let registration = Registration {
        service: "advice".parse().unwrap(),
        address: "10.0.0.1:8000".parse().unwrap(),
        zone: "north-a".parse().unwrap(),
        release: "v1".into(),
        slots: 4,
        state,
        cold: Span::ZERO,
        incarnation: 1,
    };
    Some(Entry::Registration("i-1".parse().unwrap(), registration))
}

fn evacuation() -> Option<Entry> {
    Some(Entry::Evacuation("north-a".parse().unwrap()))
}

fn publication(version: u64) -> Option<Entry> {
    Some(Entry::Publication(Publication {
        version,
        ..Publication::default()
    }))
}

/// Returns a fold that has applied one listing of a topic in era 1.
fn listed(topic: Topic, item: Item) -> Fold {
    let mut fold = Fold::default();
    fold.apply_listing(topic, &listing(1, 50, vec![item]), NOW, false);
    fold
}

fn ready(fold: &Fold) -> bool {
    matches!(fold.upstreams(), [first, ..] if first.is_ready())
}

#[gtest]
fn draining_upstream_is_not_brought_back_by_a_copy() {
    let mut fold = listed(
        Topic::Upstreams,
        item("i-1", (1, 40), upstream(State::Draining)),
    );
    let copy = listing(2, 30, vec![item("i-1", (2, 20), upstream(State::Ready))]);
    fold.apply_listing(Topic::Upstreams, &copy, NOW, true);
    expect_false!(ready(&fold));
    // Its next entry says the same; a new start under the name is another incarnation.
    let again = item("i-1", (2, 31), upstream(State::Draining));
    fold.apply_record(Topic::Upstreams, &again, NOW, false);
    expect_false!(ready(&fold));
}

#[gtest]
fn removed_upstream_is_not_brought_back_by_a_copy() {
    let mut fold = listed(
        Topic::Upstreams,
        item("i-1", (1, 40), upstream(State::Ready)),
    );
    fold.apply_record(Topic::Upstreams, &item("i-1", (1, 51), None), NOW, false);
    let copy = listing(2, 30, vec![item("i-1", (2, 20), upstream(State::Ready))]);
    fold.apply_listing(Topic::Upstreams, &copy, NOW, true);
    expect_false!(ready(&fold));
}

/// The copy is older than the registration. The upstream writes its entry again.
#[gtest]
fn upstream_that_the_copy_lacks_stays_in_use_for_a_grace_period() {
    let mut fold = listed(
        Topic::Upstreams,
        item("i-1", (1, 40), upstream(State::Ready)),
    );
    fold.apply_listing(Topic::Upstreams, &listing(2, 30, Vec::new()), NOW, true);
    expect_true!(ready(&fold));
    let again = item("i-1", (2, 31), upstream(State::Ready));
    fold.apply_record(Topic::Upstreams, &again, NOW, false);
    fold.expire(NOW + Span::from_secs(60));
    expect_true!(ready(&fold));
}

#[gtest]
fn evacuation_that_the_copy_lacks_stays_in_force_until_it_is_written_again() {
    let mut fold = listed(Topic::Operator, item("evacuate/a", (1, 40), evacuation()));
    let copy = listing(2, 30, Vec::new());
    fold.apply_listing(Topic::Operator, &copy, NOW, false);
    expect_that!(fold.evacuated().count(), eq(1));
    let mut forgotten = fold.clone();
    let end = forgotten.next_expiry().unwrap();
    expect_true!(forgotten.expire(end).routing);
    expect_that!(forgotten.evacuated().count(), eq(0));
    let again = item("evacuate/a", (2, 31), evacuation());
    fold.apply_record(Topic::Operator, &again, NOW, false);
    expect_that!(fold.next_expiry(), none());
    // A later listing of the same era shows that it was lifted.
    fold.apply_listing(Topic::Operator, &listing(2, 40, Vec::new()), NOW, false);
    expect_that!(fold.evacuated().count(), eq(0));
}

#[gtest]
fn configuration_in_force_is_not_replaced_by_the_older_one_of_a_copy() {
    let mut fold = listed(Topic::Operator, item("config", (1, 40), publication(9)));
    let copy = listing(2, 30, vec![item("config", (2, 20), publication(7))]);
    fold.apply_listing(Topic::Operator, &copy, NOW, false);
    expect_that!(fold.publication().unwrap().version, eq(9));
}

/// A peer that has not noticed the return relays records with higher offsets.
#[gtest]
fn record_of_an_older_era_never_wins() {
    let mut fold = listed(
        Topic::Upstreams,
        item("i-1", (2, 10), upstream(State::Draining)),
    );
    let late = item("i-1", (1, 900), upstream(State::Ready));
    fold.apply_record(Topic::Upstreams, &late, NOW, false);
    expect_false!(ready(&fold));
    let mut fold = listed(Topic::Operator, item("evacuate/a", (1, 40), evacuation()));
    fold.apply_record(
        Topic::Operator,
        &item("evacuate/a", (2, 5), None),
        NOW,
        false,
    );
    fold.apply_record(
        Topic::Operator,
        &item("evacuate/a", (1, 45), evacuation()),
        NOW,
        false,
    );
    expect_that!(fold.evacuated().count(), eq(0));
}

/// A relayed record that arrives late brought back an evacuation that was lifted.
#[gtest]
fn late_record_of_an_operator_does_not_undo_a_later_one() {
    let mut fold = listed(Topic::Operator, item("evacuate/a", (1, 40), evacuation()));
    fold.apply_record(
        Topic::Operator,
        &item("evacuate/a", (1, 60), None),
        NOW,
        false,
    );
    let late = item("evacuate/a", (1, 40), evacuation());
    expect_false!(
        fold.apply_record(Topic::Operator, &late, NOW, false)
            .routing
    );
    expect_that!(fold.evacuated().count(), eq(0));
    // The same holds where only a listing showed that it was lifted.
    let mut fold = listed(Topic::Operator, item("evacuate/a", (1, 40), evacuation()));
    fold.apply_listing(Topic::Operator, &listing(1, 70, Vec::new()), NOW, false);
    fold.apply_record(Topic::Operator, &late, NOW, false);
    expect_that!(fold.evacuated().count(), eq(0));
}

#[gtest]
fn offsets_of_another_era_are_not_read_from() {
    let mut cursor = Cursor::default();
    cursor.accept_listing(&listing(1, 50, Vec::new())).unwrap();
    let page = |era| Page {
        items: Vec::new(),
        next: Offset(50),
        end: Offset(50),
        era: Era(era),
    };
    expect_that!(cursor.accept_page(&page(2)), err(eq(&Error::Expired)));
    cursor.reset();
    cursor.accept_listing(&listing(2, 30, Vec::new())).unwrap();
    // An answer of the store from before its return.
    expect_that!(
        cursor.accept_page(&page(1)),
        err(eq(&Error::Outdated(Era(1))))
    );
    let fallen = cursor.accept_listing(&listing(1, 50, Vec::new()));
    expect_that!(fallen, err(eq(&Error::Outdated(Era(1)))));
    expect_that!(cursor.next(), some(eq(Offset(30))));
}

#[gtest]
fn entries_may_be_missing_for_a_while_after_the_store_came_back() {
    let mut follow = Follow::new(Timing::for_upstreams(Span::from_secs(3)));
    expect_false!(follow.record_era(Era(4), NOW));
    expect_false!(follow.record_read(NOW, NOW));
    expect_true!(follow.record_era(Era(5), NOW));
    expect_true!(follow.record_read(NOW, NOW));
    let later = NOW + Span::from_secs(2);
    expect_false!(follow.record_era(Era(4), later));
    expect_false!(follow.record_read(later, later));
    expect_that!(follow.era(), eq(Era(5)));
}

/// Several returns in a row, instances that sleep through some, peers in different eras.
#[gtest]
fn nothing_that_was_known_is_undone_by_a_return_of_the_store() {
    for seed in 0..SEED_COUNT {
        let findings = World::new(seed, Mutation::None).run();
        expect_that!(findings.first(), none(), "seed {seed}");
    }
}

/// Each guard that is taken out must be noticed.
#[gtest]
fn missing_guards_are_caught() {
    for mutation in [
        Mutation::RelayWithoutEra,
        Mutation::ListingWithoutEra,
        Mutation::NoGrace,
    ] {
        let caught = (0..SEED_COUNT).filter(|&seed| !World::new(seed, mutation).run().is_empty());
        expect_that!(caught.count(), gt(0), "{mutation:?}");
    }
}
