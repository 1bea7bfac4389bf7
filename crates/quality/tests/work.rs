//! The work of a trial at one instance, as the number of instances grows.

#[path = "support/releases.rs"]
mod support;

use entity::id::Id;
use entity::unit::Share;
use entity::{Moment, Span, name, work};
use googletest::prelude::*;
use quality::hearing::Heard;
use quality::release::{AnswerOutcome, Query, Releases, Report};
use quality::trial::{Measure, Tally};
use support::{START, before_the_order, config};

/// Kinds of requests, with two models each.
const KIND_COUNT: u64 = 10;
const SESSION_COUNT: u64 = 200;
/// Time within which a report reaches all instances.
const LEAD: Span = Span::from_millis(500);
/// Instances of the deployments.
const SIZES: [u64; 3] = [8, 75, 320];

fn after(millis: u64) -> Moment {
    START + Span::from_millis(millis)
}

fn service() -> name::Service {
    "advice".parse().unwrap()
}

/// Evidence of one instance about a good release.
fn evidence() -> Vec<(u64, Tally)> {
    let tally = Tally {
        old: 40,
        old_bad: 1,
        new: 9,
        new_bad: 0,
    };
    (0..KIND_COUNT).map(|kind| (kind, tally)).collect()
}

fn report(instance: u64) -> Report {
    Report {
        service: service(),
        target: "advice/v2".parse().unwrap(),
        age: Span::from_secs(1),
        ruling: None,
        ruling_era: None,
        evidence: vec![(format!("front-{instance}").parse().unwrap(), evidence())],
        schedule: Vec::new(),
        can_complete: false,
        share: Share::NONE,
        sum: Tally::default(),
    }
}

fn query(session: u64) -> Query {
    Query {
        service: Id::new(0),
        in_session: true,
        position: session * 7919,
    }
}

/// Returns an instance in the second half of a trial, with the evidence of its peers and sessions.
fn releases(instances: u64) -> Releases {
    let own = "front-own".parse().unwrap();
    let exposure = Share::from_fraction(0.12);
    let mut releases = Releases::new(own, exposure);
    releases.configure(&before_the_order(), START);
    let ordered = config(None);
    releases.configure(&ordered, START);
    for instance in 1..instances {
        releases.receive(vec![report(instance)], after(1000));
    }
    for session in 0..SESSION_COUNT {
        releases.assign(&ordered, query(session), after(2000));
    }
    releases
}

/// In the second half of a trial, each request and each session added up the evidence of all
/// instances, so that requests stood in the instances for seconds.
#[gtest]
fn work_of_a_request_in_a_trial_does_not_grow_with_the_instances() {
    let second_half = after(15_000);
    let mut steps = Vec::new();
    for instances in SIZES {
        let mut releases = releases(instances);
        let ordered = config(None);
        let ((), taken) = work::measure(|| {
            releases.assign(&ordered, query(SESSION_COUNT + 1), second_half);
            let version = "advice/v2".parse().unwrap();
            let outcome = AnswerOutcome {
                measure: Measure::Start,
                kind: 1,
                failed: false,
                time: Some(Span::from_millis(20)),
            };
            releases.record_answer(&service(), &version, outcome);
        });
        steps.push(taken);
    }
    expect_that!(steps[2], le(2 * steps[0]), "{steps:?}");
    expect_that!(steps[2], lt(100), "{steps:?}");
}

/// A beacon carries the evidence of few instances; the rest need not be touched for it.
#[gtest]
fn work_of_a_round_in_a_trial_grows_with_what_is_reported() {
    let mut steps = Vec::new();
    for instances in SIZES {
        let mut releases = releases(instances);
        let (reports, taken) = work::measure(|| {
            releases.reports(&config(None), LEAD, Heard::default(), after(15_000))
        });
        expect_that!(reports.len(), eq(1));
        steps.push(taken);
    }
    expect_that!(steps[2], le(2 * SESSION_COUNT + 320), "{steps:?}");
}

/// The news of one peer changes the sums by what it brings.
#[gtest]
fn work_of_a_report_does_not_grow_with_the_instances() {
    let mut steps = Vec::new();
    for instances in SIZES {
        let mut releases = releases(instances);
        let (_, taken) = work::measure(|| releases.receive(vec![report(1)], after(15_000)));
        steps.push(taken);
    }
    expect_that!(steps[2], le(2 * steps[0]), "{steps:?}");
    expect_that!(steps[2], le(4 * KIND_COUNT), "{steps:?}");
}
