//! Orders in series: which release is in service when the next order comes.

#[path = "support/releases.rs"]
mod support;

use config::Config;
use entity::Span;
use entity::id::{self, Id};
use entity::unit::Share;
use googletest::prelude::*;
use quality::hearing::Heard;
use quality::release::{Query, Releases};
use quality::trial::Ruling;
use support::{Fleet, START, fleet};

fn releases() -> Releases {
    let own = "north-1/1".parse().unwrap();
    let exposure = Share::from_fraction(0.12);
    Releases::new(own, exposure)
}

/// Returns the release of a request without a session that is outside of any canary share.
fn release(releases: &mut Releases, config: &Config) -> Option<String> {
    let query = Query {
        service: id::Service::new(0),
        in_session: false,
        position: 999_999,
    };
    let id = releases.assign(config, query, START + Span::from_secs(18))?;
    Some(config.versions[id].name.to_string())
}

/// Lets a peer tell that the order was completed.
fn complete(releases: &mut Releases) {
    let mut reports = releases.reports(
        &support::config(None),
        Span::ZERO,
        Heard::default(),
        START + Span::from_secs(14),
    );
    reports[0].ruling = Some(Ruling::Good);
    releases.receive(reports, START + Span::from_secs(14));
}

/// Guards against sessions on another release after two orders in series: an entry of the first old
/// release was still registered when the second order came, and was taken for the one in service.
#[gtest]
fn order_after_a_completed_one_starts_from_its_target() {
    let mut releases = releases();
    releases.configure(&fleet(Fleet::default().with([9, 0, 0])), START);
    releases.configure(
        &fleet(Fleet::default().with([9, 9, 0]).ordered("v2")),
        START,
    );
    complete(&mut releases);
    releases.configure(
        &fleet(Fleet::default().with([1, 9, 0]).ordered("v2")),
        START,
    );
    let next = fleet(Fleet::default().with([1, 9, 9]).ordered("v3"));
    releases.configure(&next, START);
    expect_that!(
        release(&mut releases, &next).as_deref(),
        some(eq("advice/v2"))
    );
    let later = fleet(Fleet::default().with([0, 9, 9]).ordered("v3"));
    releases.configure(&later, START);
    expect_that!(
        release(&mut releases, &later).as_deref(),
        some(eq("advice/v2"))
    );
}

/// The same where the operator removes the completed order before the next one.
#[gtest]
fn completed_release_stays_in_service_once_its_order_is_removed() {
    let mut releases = releases();
    releases.configure(&fleet(Fleet::default().with([9, 0, 0])), START);
    releases.configure(
        &fleet(Fleet::default().with([9, 9, 0]).ordered("v2")),
        START,
    );
    complete(&mut releases);
    let removed = fleet(Fleet::default().with([1, 9, 0]));
    releases.configure(&removed, START);
    expect_that!(
        release(&mut releases, &removed).as_deref(),
        some(eq("advice/v2"))
    );
}

/// Guards against an old release that is taken for the one in service by an instance that has started
/// after an order was completed, while most entries of the old release are still registered.
#[gtest]
fn instance_that_missed_a_completed_order_learns_of_it_from_the_store() {
    let mut releases = releases();
    let ordered = Fleet::default().with([9, 8, 9]).ordered("v3");
    releases.configure(&fleet(ordered), START);
    let read = fleet(ordered.completed("v2"));
    releases.configure(&read, START);
    expect_that!(
        release(&mut releases, &read).as_deref(),
        some(eq("advice/v2"))
    );
    // The entry of the store is older than what the instance learned itself since.
    complete(&mut releases);
    let next = fleet(Fleet::default().with([0, 1, 9]).completed("v2"));
    releases.configure(&next, START);
    expect_that!(
        release(&mut releases, &next).as_deref(),
        some(eq("advice/v3"))
    );
}
