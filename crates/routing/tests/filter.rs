//! Tests of every reason of the filter, at the choice and again before dispatch.

mod common;

use common::{FIRST, START, balancer, config, engine, millis, query, secs, settle, warm, warm_all};
use config::{AdminState, Config, Stage};
use entity::id::{self, Id};
use entity::{Generation, Moment};
use googletest::prelude::*;
use routing::state::State;
use routing::{Balancer, Grant, Outcome, Query, Reason};
use std::sync::Arc;

const SECOND: Generation = Generation(2);

/// Returns the balancer of the only live instance, with one warm upstream.
fn ready(config: &Config) -> Balancer {
    let mut balancer = balancer(config, 1);
    balancer.set_members(common::members(1, &[0]), START, START);
    warm_all(&mut balancer, 1, START);
    balancer
}

fn reason(balancer: &mut Balancer, query: &Query, now: Moment) -> Option<Reason> {
    balancer
        .choose(query, now)
        .err()
        .map(|refusal| refusal.reason)
}

/// Returns the refusal after an edit of a new request, and of one that was chosen before the edit.
fn after(edit: impl Fn(&mut Config)) -> (Option<Reason>, Option<Reason>) {
    let mut config = config(1);
    let mut balancer = ready(&config);
    let choice = balancer.choose(&query(START), START).unwrap();
    edit(&mut config);
    balancer.configure(&Arc::new(config), SECOND, START);
    let query = Query {
        generation: SECOND,
        ..query(START)
    };
    let fresh = reason(&mut balancer, &query, START);
    let queued = balancer.recheck(&choice, START).err();
    balancer.finish(choice, Outcome::Cancelled, START);
    (fresh, queued.map(|refusal| refusal.reason))
}

#[gtest]
fn an_unchanged_configuration_refuses_nothing() {
    expect_that!(after(|_| ()), eq((None, None)));
}

#[gtest]
fn edits_refuse_new_and_queued_requests() {
    let version = id::Version::new(0);
    let upstream = id::Upstream::new(0);
    let zone = id::Zone::new(0);
    let organisation = id::Organisation::new(0);
    let both = |reason| (Some(reason), Some(reason));
    let withdrawn = after(|config| config.versions[version].stage = Stage::Withdrawn);
    expect_that!(withdrawn, eq(both(Reason::Withdrawn)));
    let out = after(|config| config.zones[zone].state = AdminState::Out);
    expect_that!(out, eq(both(Reason::ZoneOut)));
    let leaving = after(|config| config.upstreams[upstream].state = AdminState::Out);
    expect_that!(leaving, eq(both(Reason::Leaving)));
    let version_taken = after(|config| config.organisations[organisation].versions.clear());
    expect_that!(version_taken, eq(both(Reason::NotAllowed)));
    let service_taken = after(|config| config.organisations[organisation].services.clear());
    expect_that!(service_taken, eq(both(Reason::NotAllowed)));
    let unloaded = after(|config| config.upstreams[upstream].versions.clear());
    expect_that!(
        unloaded,
        eq((Some(Reason::NoUpstream), Some(Reason::NotServed)))
    );
}

#[gtest]
fn a_removed_upstream_refuses_queued_requests() {
    let removed = after(|config| config.upstreams = entity::Map::default());
    expect_that!(
        removed,
        eq((Some(Reason::NoUpstream), Some(Reason::NoUpstream)))
    );
}

#[gtest]
fn ids_of_an_old_configuration_are_refused() {
    let config = config(1);
    let mut balancer = ready(&config);
    balancer.configure(&Arc::new(config), SECOND, START);
    expect_that!(
        reason(&mut balancer, &query(START), START),
        some(eq(Reason::Generation))
    );
}

#[gtest]
fn a_passed_deadline_is_refused() {
    let mut balancer = ready(&config(1));
    let choice = balancer.choose(&query(START), START).unwrap();
    let late = START + secs(30);
    expect_that!(
        reason(&mut balancer, &query(START), late),
        some(eq(Reason::Deadline))
    );
    expect_that!(balancer.recheck(&choice, late), err(anything()));
    balancer.finish(choice, Outcome::Cancelled, late);
}

#[gtest]
fn an_upstream_that_was_tried_is_excluded() {
    let mut balancer = ready(&config(1));
    let tried = [engine(0)];
    let query = Query {
        excluded: &tried,
        ..query(START)
    };
    expect_that!(
        reason(&mut balancer, &query, START),
        some(eq(Reason::Excluded))
    );
}

#[gtest]
fn an_unknown_upstream_is_cold() {
    let mut balancer = balancer(&config(1), 1);
    expect_that!(
        reason(&mut balancer, &query(START), START),
        some(eq(Reason::Cold))
    );
}

#[gtest]
fn a_stale_report_counts_as_cold() {
    let mut balancer = ready(&config(1));
    let choice = balancer.choose(&query(START), START).unwrap();
    let late = START + secs(6);
    expect_that!(
        reason(&mut balancer, &query(late), late),
        some(eq(Reason::Cold))
    );
    expect_that!(balancer.recheck(&choice, late), err(anything()));
    balancer.finish(choice, Outcome::Cancelled, late);
}

#[gtest]
fn failures_open_the_circuit_and_a_successful_probe_closes_it() {
    let mut balancer = ready(&config(1));
    for _ in 0..3 {
        let choice = balancer.choose(&query(START), START).unwrap();
        balancer.finish(choice, Outcome::Failed, START);
    }
    expect_that!(
        reason(&mut balancer, &query(START), START),
        some(eq(Reason::Failing))
    );
    let later = START + secs(2);
    balancer.record_load(&engine(0), warm(later), later);
    let probe = balancer.choose(&query(later), later).unwrap();
    expect_that!(
        reason(&mut balancer, &query(later), later),
        some(eq(Reason::Failing))
    );
    let first_token = Some(millis(100));
    balancer.finish(probe, Outcome::Done { first_token }, later);
    expect_that!(reason(&mut balancer, &query(later), later), none());
}

#[gtest]
fn a_single_instance_owns_all_slots_after_the_clear_time() {
    let mut balancer = balancer(&config(1), 1);
    balancer.set_members(common::members(1, &[0]), START, START);
    expect_that!(
        reason(&mut balancer, &query(START), START),
        some(eq(Reason::Cold))
    );
    let now = settle(&mut balancer, &[0], START);
    let first = balancer.choose(&query(now), now).unwrap();
    let second = balancer.choose(&query(now), now).unwrap();
    expect_that!(first.grant, eq(Grant::Cold { slot: 0 }));
    expect_that!(second.grant, eq(Grant::Cold { slot: 1 }));
    expect_that!(
        reason(&mut balancer, &query(now), now),
        some(eq(Reason::Cold))
    );
    expect_that!(balancer.recheck(&first, now), ok(anything()));
    // The list was not read for longer than agreed, so nothing is sent on any slot.
    let late = now + secs(4);
    expect_that!(balancer.recheck(&first, late), err(anything()));
    balancer.finish(first, Outcome::Cancelled, late);
    balancer.finish(second, Outcome::Cancelled, late);
}

#[gtest]
fn requests_from_before_cold_start_count_against_the_slots() {
    let mut balancer = ready(&config(1));
    let now = settle(&mut balancer, &[0], START);
    warm_all(&mut balancer, 1, now);
    let later = now + secs(1);
    balancer.set_members(common::members(1, &[0]), later, later);
    let before = balancer.choose(&query(now), now).unwrap();
    expect_that!(before.grant, eq(Grant::Warm));
    let cold = routing::Load {
        cold: true,
        ..warm(later)
    };
    balancer.record_load(&engine(0), cold, later);
    let slot = balancer.choose(&query(later), later).unwrap();
    expect_that!(slot.grant, eq(Grant::Cold { slot: 0 }));
    expect_that!(
        reason(&mut balancer, &query(later), later),
        some(eq(Reason::Cold))
    );
    expect_that!(balancer.recheck(&before, later), err(anything()));
    balancer.finish(before, Outcome::Cancelled, later);
    balancer.finish(slot, Outcome::Cancelled, later);
}

#[gtest]
fn a_request_longer_than_the_run_bound_gets_no_slot() {
    let mut balancer = balancer(&config(1), 1);
    let now = settle(&mut balancer, &[0], START);
    let long = Query {
        deadline: now + secs(61),
        ..query(now)
    };
    expect_that!(reason(&mut balancer, &long, now), some(eq(Reason::Cold)));
}

#[gtest]
fn a_refusal_under_light_load_raises_a_suspicion_until_a_newer_report() {
    let mut balancer = ready(&config(1));
    let choice = balancer.choose(&query(START), START).unwrap();
    let suspicion = balancer.finish(choice, Outcome::Refused, START);
    expect_that!(suspicion, some(anything()));
    expect_that!(balancer.suspicions().len(), eq(1));
    let soon = START + millis(400);
    balancer.record_load(&engine(0), warm(soon), soon);
    expect_that!(
        reason(&mut balancer, &query(soon), soon),
        some(eq(Reason::Cold))
    );
    let later = START + secs(1);
    balancer.record_load(&engine(0), warm(later), later);
    expect_that!(reason(&mut balancer, &query(later), later), none());
    expect_that!(balancer.suspicions().len(), eq(0));
}

#[gtest]
fn a_suspicion_of_a_peer_counts() {
    let mut balancer = ready(&config(1));
    let upstream = engine(0);
    let since = START;
    balancer.record_suspicion(&routing::Suspicion { upstream, since });
    expect_that!(
        reason(&mut balancer, &query(START), START),
        some(eq(Reason::Cold))
    );
}

#[gtest]
fn a_returning_zone_is_unknown() {
    let mut config = config(1);
    let mut balancer = ready(&config);
    let zone = id::Zone::new(0);
    config.zones[zone].state = AdminState::Out;
    balancer.configure(&Arc::new(config.clone()), SECOND, START);
    config.zones[zone].state = AdminState::In;
    balancer.configure(&Arc::new(config), Generation(3), START);
    let query = Query {
        generation: Generation(3),
        ..query(START)
    };
    expect_that!(reason(&mut balancer, &query, START), some(eq(Reason::Cold)));
}

#[gtest]
fn a_full_upstream_refuses() {
    let mut config = config(1);
    config.upstreams[id::Upstream::new(0)].warm = 2;
    let mut balancer = ready(&config);
    let now = START;
    let one = balancer.choose(&query(now), now).unwrap();
    let two = balancer.choose(&query(now), now).unwrap();
    expect_that!(
        reason(&mut balancer, &query(now), now),
        some(eq(Reason::Full))
    );
    balancer.finish(one, Outcome::Cancelled, now);
    expect_that!(reason(&mut balancer, &query(now), now), none());
    balancer.finish(two, Outcome::Cancelled, now);
}

#[gtest]
fn a_choice_survives_an_unrelated_edit() {
    let mut config = config(1);
    let mut balancer = ready(&config);
    let choice = balancer.choose(&query(START), START).unwrap();
    let mut first = config.organisations.values()[0].clone();
    first.name = "an-earlier-one".parse().unwrap();
    let mut all = vec![first];
    all.extend_from_slice(config.organisations.values());
    config.organisations = entity::Map::new(all);
    balancer.configure(&Arc::new(config), SECOND, START);
    expect_that!(balancer.recheck(&choice, START), ok(anything()));
    balancer.finish(choice, Outcome::Cancelled, START);
    expect_that!(FIRST, lt(SECOND));
}

#[gtest]
fn one_refusal_without_load_reports_raises_no_suspicion() {
    let later = START + secs(60);
    let mut state = State::new(engine(0), false, START);
    let mut refused = |ticket| {
        state.begin(Grant::Warm, ticket, 1.0, later);
        state.end((Grant::Warm, ticket), Outcome::Refused, 32, later)
    };
    expect_that!(refused(1), eq(false));
    expect_that!(refused(2), eq(true));
}
