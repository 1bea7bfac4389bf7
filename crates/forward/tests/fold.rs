//! The fold of the store's records.

use config::Progress;
use entity::{Era, Moment, Offset, Span};
use forward::catalog::{Entry, Publication, Registration, Rollout, State};
use forward::source::{Item, Listing, Page, Position, Topic};
use forward::{Change, Fold};
use googletest::prelude::*;

const NOW: Moment = Moment(1_000_000_000);

fn publication(version: u64) -> Entry {
    Entry::Publication(Publication {
        version,
        ..Publication::default()
    })
}

fn registration(state: State, cold: Span) -> Registration {
    Registration {
        service: "advice".parse().unwrap(),
        address: "10.0.0.1:8000".parse().unwrap(),
        zone: "north-a".parse().unwrap(),
        release: "v1".into(),
        slots: 4,
        state,
        cold,
        incarnation: 1,
    }
}

fn upstream(name: &str, registration: Registration) -> Entry {
    Entry::Registration(name.parse().unwrap(), registration)
}

fn item(key: &str, offset: u64, entry: Option<Entry>) -> Item {
    Item {
        key: key.into(),
        position: Position {
            offset: Offset(offset),
            ..Position::default()
        },
        entry: Ok(entry),
        value: Box::default(),
    }
}

fn list(fold: &mut Fold, topic: Topic, items: Vec<Item>, lapsing: bool) -> Change {
    let listing = Listing {
        items,
        end: Offset(100),
        era: Era::default(),
    };
    fold.apply_listing(topic, &listing, NOW, lapsing)
}

fn page(fold: &mut Fold, topic: Topic, items: Vec<Item>, now: Moment, lapsing: bool) -> Change {
    let page = Page {
        items,
        next: Offset(100),
        end: Offset(100),
        era: Era::default(),
    };
    fold.apply_page(topic, &page, now, lapsing)
}

fn ready(name: &str, offset: u64) -> Item {
    let entry = upstream(name, registration(State::Ready, Span::ZERO));
    item(name, offset, Some(entry))
}

fn names(fold: &Fold) -> Vec<&str> {
    fold.upstreams()
        .iter()
        .map(|upstream| upstream.name.as_str())
        .collect()
}

/// Returns a fold with two registered upstreams.
fn two_upstreams() -> Fold {
    let mut fold = Fold::default();
    let both = vec![ready("i-1", 1), ready("i-2", 2)];
    list(&mut fold, Topic::Upstreams, both, false);
    fold
}

#[gtest]
fn fold_is_incomplete_until_all_topics_are_listed() {
    let mut fold = Fold::default();
    list(
        &mut fold,
        Topic::Operator,
        vec![item("config", 1, Some(publication(3)))],
        false,
    );
    expect_false!(fold.is_complete());
    list(&mut fold, Topic::Upstreams, Vec::new(), false);
    expect_false!(fold.is_complete());
    list(&mut fold, Topic::Progress, Vec::new(), false);
    expect_true!(fold.is_complete());
}

#[gtest]
fn older_publication_is_ignored() {
    let mut fold = Fold::default();
    list(
        &mut fold,
        Topic::Operator,
        vec![item("config", 5, Some(publication(9)))],
        false,
    );
    let older = vec![item("config", 4, Some(publication(7)))];
    let change = page(&mut fold, Topic::Operator, older, NOW, false);
    expect_false!(change.routing);
    expect_that!(fold.publication().unwrap().version, eq(9));
}

#[gtest]
fn heartbeat_changes_nothing() {
    let mut fold = Fold::default();
    list(&mut fold, Topic::Upstreams, vec![ready("i-1", 1)], false);
    let change = page(
        &mut fold,
        Topic::Upstreams,
        vec![ready("i-1", 2)],
        NOW,
        false,
    );
    expect_true!(change.is_empty());
}

#[gtest]
fn draining_upstream_leaves_at_once() {
    let mut fold = Fold::default();
    list(&mut fold, Topic::Upstreams, vec![ready("i-1", 1)], false);
    let entry = upstream("i-1", registration(State::Draining, Span::ZERO));
    let draining = vec![item("i-1", 2, Some(entry))];
    let change = page(&mut fold, Topic::Upstreams, draining, NOW, false);
    expect_true!(change.routing);
    expect_that!(change.left.len(), eq(1));
    expect_false!(fold.upstreams()[0].is_ready());
}

#[gtest]
fn removed_upstream_is_dropped_at_once_while_the_store_is_available() {
    let mut fold = Fold::default();
    list(&mut fold, Topic::Upstreams, vec![ready("i-1", 1)], false);
    page(
        &mut fold,
        Topic::Upstreams,
        vec![item("i-1", 2, None)],
        NOW,
        false,
    );
    expect_that!(names(&fold), is_empty());
}

#[gtest]
fn upstream_that_lapsed_in_a_store_outage_is_used_until_its_grace_period_ends() {
    let mut fold = two_upstreams();
    let gone = vec![item("i-1", 3, None), item("i-2", 4, None)];
    page(&mut fold, Topic::Upstreams, gone, NOW, true);
    expect_that!(names(&fold), container_eq(["i-1", "i-2"]));
    // One registers again before its grace period ends.
    page(
        &mut fold,
        Topic::Upstreams,
        vec![ready("i-2", 5)],
        NOW,
        false,
    );
    let end = fold.next_expiry().unwrap();
    expect_that!(end.since(NOW), le(Span::from_secs(2)));
    let change = fold.expire(end);
    expect_true!(change.routing);
    expect_that!(names(&fold), container_eq(["i-2"]));
}

#[gtest]
fn new_listing_removes_upstreams_that_it_does_not_contain() {
    let mut fold = two_upstreams();
    let change = list(&mut fold, Topic::Upstreams, vec![ready("i-2", 9)], false);
    expect_true!(change.routing);
    expect_that!(names(&fold), container_eq(["i-2"]));
}

#[gtest]
fn undecodable_entry_removes_its_upstream_and_no_other() {
    let mut fold = two_upstreams();
    let torn = Item {
        key: "i-1".into(),
        position: Position {
            offset: Offset(3),
            ..Position::default()
        },
        entry: Err("torn".into()),
        value: Box::default(),
    };
    let change = page(&mut fold, Topic::Upstreams, vec![torn], NOW, false);
    expect_that!(names(&fold), container_eq(["i-2"]));
    expect_that!(change.unreadable.len(), eq(1));
}

#[gtest]
fn older_record_of_an_upstream_is_ignored() {
    let mut fold = Fold::default();
    let entry = upstream("i-1", registration(State::Draining, Span::ZERO));
    list(
        &mut fold,
        Topic::Upstreams,
        vec![item("i-1", 8, Some(entry))],
        false,
    );
    page(
        &mut fold,
        Topic::Upstreams,
        vec![ready("i-1", 7)],
        NOW,
        false,
    );
    expect_false!(fold.upstreams()[0].is_ready());
    page(
        &mut fold,
        Topic::Upstreams,
        vec![item("i-1", 7, None)],
        NOW,
        false,
    );
    expect_that!(names(&fold), container_eq(["i-1"]));
}

#[gtest]
fn heartbeats_do_not_prolong_a_cold_start() {
    let mut fold = Fold::default();
    let cold = |left| upstream("i-1", registration(State::Ready, Span::from_millis(left)));
    list(
        &mut fold,
        Topic::Upstreams,
        vec![item("i-1", 1, Some(cold(3000)))],
        false,
    );
    let until = fold.upstreams()[0].cold_until;
    let later = NOW + Span::from_millis(1200);
    page(
        &mut fold,
        Topic::Upstreams,
        vec![item("i-1", 2, Some(cold(2500)))],
        later,
        false,
    );
    expect_that!(fold.upstreams()[0].cold_until, eq(until));
    // A new cold start after the upstream was warm.
    let again = NOW + Span::from_secs(10);
    let change = page(
        &mut fold,
        Topic::Upstreams,
        vec![item("i-1", 3, Some(cold(3000)))],
        again,
        false,
    );
    expect_true!(change.routing);
    expect_that!(
        fold.upstreams()[0].cold_until,
        eq(again + Span::from_secs(3))
    );
}

#[gtest]
fn upstream_that_restarts_under_its_name_has_joined() {
    let mut fold = Fold::default();
    list(&mut fold, Topic::Upstreams, vec![ready("i-1", 1)], false);
    let restarted = Registration {
        incarnation: 2,
        ..registration(State::Ready, Span::ZERO)
    };
    let items = vec![item("i-1", 2, Some(upstream("i-1", restarted)))];
    let change = page(&mut fold, Topic::Upstreams, items, NOW, false);
    expect_that!(change.joined.len(), eq(1));
    expect_true!(change.routing);
}

#[gtest]
fn zone_is_evacuated_until_its_record_is_deleted() {
    let mut fold = Fold::default();
    let zone = Entry::Evacuation("north-a".parse().unwrap());
    let key = "evacuate/north-a";
    page(
        &mut fold,
        Topic::Operator,
        vec![item(key, 1, Some(zone))],
        NOW,
        false,
    );
    expect_that!(fold.evacuated().count(), eq(1));
    let change = page(
        &mut fold,
        Topic::Operator,
        vec![item(key, 2, None)],
        NOW,
        false,
    );
    expect_true!(change.routing);
    expect_that!(fold.evacuated().count(), eq(0));
}

#[gtest]
fn rollout_that_is_read_again_keeps_the_time_of_its_first_read() {
    let mut fold = Fold::default();
    let order = || {
        Entry::Rollout(Rollout {
            service: "advice".parse().unwrap(),
            target: "v2".into(),
            duration: Span::from_secs(24),
        })
    };
    let key = "rollout/advice";
    page(
        &mut fold,
        Topic::Operator,
        vec![item(key, 1, Some(order()))],
        NOW,
        false,
    );
    let later = NOW + Span::from_secs(4);
    let change = page(
        &mut fold,
        Topic::Operator,
        vec![item(key, 1, Some(order()))],
        later,
        false,
    );
    expect_false!(change.routing);
    expect_that!(fold.orders()[0].read, eq(NOW));
}

#[gtest]
fn verdict_on_a_release_is_final() {
    let mut fold = Fold::default();
    let service = "advice".parse().unwrap();
    let mut change = Change::default();
    fold.apply_progress(&service, "v2", Progress::RolledBack, &mut change);
    fold.apply_progress(&service, "v2", Progress::Completed, &mut change);
    expect_that!(
        fold.rollout_progress()[0].progress,
        eq(Progress::RolledBack)
    );
    fold.apply_progress(&service, "v3", Progress::Running, &mut change);
    expect_that!(fold.rollout_progress()[0].progress, eq(Progress::Running));
}

/// After a listing, a peer can still announce the entry of an upstream that is no longer listed. The
/// entry must not bring the upstream back: no later record would ever remove it.
#[gtest]
fn late_announcement_does_not_bring_back_an_upstream_that_a_listing_lacks() {
    let mut fold = two_upstreams();
    list(&mut fold, Topic::Upstreams, vec![ready("i-1", 50)], false);
    expect_that!(names(&fold), elements_are![eq(&"i-1")]);
    let change = fold.apply_record(Topic::Upstreams, &ready("i-2", 60), NOW, false);
    expect_false!(change.routing);
    expect_that!(names(&fold), elements_are![eq(&"i-1")]);
    // Records after the listing register it again.
    fold.apply_record(Topic::Upstreams, &ready("i-2", 100), NOW, false);
    expect_that!(names(&fold), elements_are![eq(&"i-1"), eq(&"i-2")]);
}
