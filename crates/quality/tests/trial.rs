//! Trials of releases, ordered by operators.

use config::{
    Config, Fencing, Kind, Move, Presence, Progress, Registration, Service, Stage, Upstream,
    Version, Zone,
};
use entity::id::{self, Id};
use entity::unit::{Cost, Share};
use entity::{Map, Moment, Span, name};
use googletest::prelude::*;
use quality::governor::{First, Governor};
use quality::release::{Noted, Query, Releases};
use quality::trial::{Answer, Ruling, Side, Trial};

const START: Moment = Moment(1_000_000_000);
const DURATION: Span = Span::from_secs(24);
const KIND: u64 = 7;

fn after(millis: u64) -> Moment {
    START + Span::from_millis(millis)
}

fn exposure() -> Share {
    Share::from_fraction(0.15)
}

fn trial() -> Trial {
    let releases = ("advice/v1".parse().unwrap(), "advice/v2".parse().unwrap());
    Trial::new(releases, START, DURATION, exposure())
}

fn answer(side: Side, failed: bool, millis: u64) -> Answer {
    Answer {
        kind: KIND,
        side,
        failed,
        time: Some(Span::from_millis(millis)),
    }
}

/// Answers of both releases in the shares that a trial sends them.
fn play(trial: &mut Trial, count: u32, mut bad: impl FnMut(u32) -> bool) {
    for index in 0..count {
        let side = if index % 11 == 10 {
            Side::New
        } else {
            Side::Old
        };
        let failed = side == Side::New && bad(index);
        trial.note(answer(side, failed, 80));
    }
}

#[gtest]
fn the_first_half_stays_below_the_exposure_bound() {
    let mut trial = trial();
    play(&mut trial, 2000, |_| false);
    for millis in (0..12_000).step_by(500) {
        expect_that!(trial.share(after(millis)), lt(exposure()));
        expect_false!(trial.moves_sessions(after(millis)));
    }
}

#[gtest]
fn a_good_release_is_taken_up_in_steps_and_completed_in_time() {
    let mut trial = trial();
    play(&mut trial, 2000, |_| false);
    expect_that!(trial.share(after(12_500)), lt(Share::WHOLE));
    expect_that!(trial.share(after(14_500)), eq(Share::WHOLE));
    expect_false!(trial.complete(after(15_000)));
    expect_true!(trial.complete(after(22_000)));
}

#[gtest]
fn without_evidence_no_step_is_taken() {
    let trial = trial();
    expect_that!(trial.share(after(20_000)), lt(exposure()));
    expect_false!(trial.complete(after(23_000)));
}

#[gtest]
fn a_release_that_fails_half_of_its_requests_is_found_before_fifty() {
    let mut trial = trial();
    let mut bad = 0;
    let mut index = 0;
    while !trial.condemned() {
        trial.note(answer(Side::Old, false, 80));
        index += 1;
        bad += u32::from(index % 2 == 0);
        trial.note(answer(Side::New, index % 2 == 0, 80));
        assert!(index < 200, "never found");
    }
    expect_that!(bad, le(10));
}

#[gtest]
fn a_release_that_fails_one_kind_of_request_is_found() {
    let mut trial = trial();
    for index in 0..60 {
        for kind in [1, 2, 3] {
            let note = |side, failed| Answer {
                kind,
                side,
                failed,
                time: None,
            };
            trial.note(note(Side::Old, false));
            trial.note(note(Side::New, kind == 2 && index % 2 == 0));
        }
    }
    expect_true!(trial.condemned());
}

#[gtest]
fn a_slow_release_is_found_by_the_times_of_the_old_one() {
    let mut trial = trial();
    for index in 0..20 {
        trial.note(answer(Side::Old, false, 70 + index));
    }
    for _ in 0..8 {
        trial.note(answer(Side::New, false, 640));
    }
    expect_true!(trial.condemned());
}

#[gtest]
fn failures_that_both_releases_have_condemn_neither() {
    let mut trial = trial();
    for index in 0..400 {
        let side = if index % 5 == 0 { Side::New } else { Side::Old };
        trial.note(answer(side, index % 7 == 0, 80));
    }
    expect_false!(trial.condemned());
}

#[gtest]
fn evidence_of_many_instances_adds_up_and_is_counted_once() {
    let mut whole = trial();
    let mut part = trial();
    for index in 0..6 {
        part.note(answer(Side::New, index < 3, 80));
    }
    let evidence = part.evidence(&"other/1".parse().unwrap());
    for _ in 0..3 {
        whole.hear("other/1".parse().unwrap(), evidence[0].1.clone());
    }
    expect_false!(whole.condemned());
    whole.hear("third/1".parse().unwrap(), evidence[0].1.clone());
    expect_true!(whole.condemned());
}

#[gtest]
fn a_ruling_is_final() {
    let mut trial = trial();
    trial.rule(Ruling::Bad);
    trial.rule(Ruling::Good);
    expect_that!(trial.ruling(), some(eq(Ruling::Bad)));
    expect_that!(trial.share(after(20_000)), eq(Share::NONE));
}

/// Two releases of one service with an upstream each.
fn config(progress: Option<Progress>) -> Config {
    let version = |name: &str| Version {
        name: name.parse().unwrap(),
        model: "advice".parse().unwrap(),
        price_in: Cost(0),
        price_out: Cost(0),
        stage: Stage::Active,
    };
    let upstream = |name: &str, index: usize| Upstream {
        name: name.parse().unwrap(),
        zone: id::Zone::new(0),
        address: ([127, 0, 0, 1], 9000).into(),
        versions: vec![id::Version::new(index)],
        services: vec![id::Service::new(0)],
        warm: 4,
        cold: 0,
        fencing: Fencing::Ignored,
        state: Presence::In,
        registration: Some(Registration {
            born: 1,
            cold_until: Moment(0),
            cold_rate: 10,
        }),
    };
    let mut config = Config {
        zones: Map::new(vec![Zone {
            name: "a".parse().unwrap(),
            region: "r".parse().unwrap(),
            state: Presence::In,
        }]),
        services: Map::new(vec![Service {
            name: "advice".parse().unwrap(),
            kind: Kind::Plain,
            depends: Vec::new(),
            versions: vec![id::Version::new(0), id::Version::new(1)],
            quality: Share::WHOLE,
            cascade: false,
            deadline: Span::ZERO,
            models: Vec::new(),
        }]),
        versions: Map::new(vec![version("advice/v1"), version("advice/v2")]),
        upstreams: Map::new(vec![upstream("i-1", 0), upstream("i-2", 1)]),
        ..Config::default()
    };
    config.moves = vec![Move {
        service: id::Service::new(0),
        target: id::Version::new(1),
        duration: DURATION,
        read: START,
        progress,
    }];
    config
}

fn before_the_order() -> Config {
    Config {
        moves: Vec::new(),
        upstreams: Map::new(vec![config(None).upstreams.values()[0].clone()]),
        ..config(None)
    }
}

fn releases() -> Releases {
    let begun = START - Span::from_secs(60);
    let own = "north-1/1".parse().unwrap();
    Releases::new(own, Span::from_secs(5), exposure(), begun)
}

fn old() -> id::Version {
    id::Version::new(0)
}

fn new() -> id::Version {
    id::Version::new(1)
}

fn query(session: Option<u64>, position: u64) -> Query {
    Query {
        service: id::Service::new(0),
        session,
        position,
    }
}

#[gtest]
fn without_an_order_a_new_release_gets_nothing() {
    let mut releases = releases();
    releases.configure(&before_the_order());
    let seen = Config {
        moves: Vec::new(),
        ..config(None)
    };
    releases.configure(&seen);
    for position in (0..1_000_000).step_by(50_000) {
        expect_that!(
            releases.assign(&seen, query(None, position), START),
            some(eq(old()))
        );
    }
}

#[gtest]
fn a_session_stays_on_the_old_release_in_the_first_half() {
    let mut releases = releases();
    releases.configure(&before_the_order());
    expect_that!(
        releases.assign(&before_the_order(), query(Some(9), 0), after(0)),
        some(eq(old()))
    );
    let ordered = config(None);
    releases.configure(&ordered);
    for millis in (1000..11_000).step_by(1000) {
        expect_that!(
            releases.assign(&ordered, query(Some(9), 0), after(millis)),
            some(eq(old()))
        );
    }
    // Another session with the same place in the split begins on the new release and stays there.
    expect_that!(
        releases.assign(&ordered, query(Some(8), 0), after(6000)),
        some(eq(new()))
    );
    expect_that!(
        releases.assign(&ordered, query(Some(8), 999_999), after(7000)),
        some(eq(new()))
    );
}

#[gtest]
fn a_young_instance_takes_no_session_for_a_new_one() {
    let own = "north-1/2".parse().unwrap();
    let mut releases = Releases::new(own, Span::from_secs(5), exposure(), START);
    releases.configure(&before_the_order());
    let ordered = config(None);
    releases.configure(&ordered);
    expect_that!(
        releases.assign(&ordered, query(Some(8), 0), after(100)),
        some(eq(old()))
    );
    expect_that!(
        releases.assign(&ordered, query(None, 0), after(100)),
        some(eq(new()))
    );
}

#[gtest]
fn a_bad_release_gets_nothing_more_and_a_completed_one_everything() {
    for (progress, expected) in [(Progress::RolledBack, old()), (Progress::Completed, new())] {
        let mut releases = releases();
        releases.configure(&before_the_order());
        releases.configure(&config(None));
        let ended = config(Some(progress));
        releases.configure(&ended);
        for session in [None, Some(3)] {
            expect_that!(
                releases.assign(&ended, query(session, 0), after(9000)),
                some(eq(expected))
            );
        }
    }
}

#[gtest]
fn an_instance_that_starts_after_the_end_follows_what_was_written() {
    let mut releases = releases();
    let ended = config(Some(Progress::RolledBack));
    releases.configure(&ended);
    expect_that!(
        releases.assign(&ended, query(None, 0), after(30_000)),
        some(eq(old()))
    );
}

#[gtest]
fn a_ruling_of_another_instance_is_followed() {
    let mut first = releases();
    let mut second = releases();
    let ordered = config(None);
    for one in [&mut first, &mut second] {
        one.configure(&before_the_order());
        one.configure(&ordered);
    }
    let (service, version): (name::Service, name::Version) =
        ("advice".parse().unwrap(), "advice/v2".parse().unwrap());
    for _ in 0..12 {
        let noted = Noted {
            kind: KIND,
            failed: true,
            time: None,
        };
        first.answered(&service, &version, noted);
    }
    let reports = first.reports(after(3000));
    expect_that!(reports[0].ruling, some(eq(Ruling::Bad)));
    second.hear(reports, after(3000));
    expect_that!(
        second.assign(&ordered, query(None, 0), after(3000)),
        some(eq(old()))
    );
}

/// A first event of the smallest model, before which 100 tokens for each millisecond were read.
fn first(millis: u64) -> First {
    First {
        time: Span::from_millis(millis),
        objective: Span::from_secs(1),
        ahead: Some(100.0 * millis as f64),
        smallest: true,
        came: true,
    }
}

/// Plays answers that take a share of their objective, for some seconds.
fn load(governor: &mut Governor, from: Moment, seconds: u64, millis: u64) -> Moment {
    let mut now = from;
    for _ in 0..seconds * 20 {
        now = now + Span::from_millis(50);
        governor.observe(first(millis), now);
    }
    now
}

/// Pattern: a burst of all requests, which fills the engines and passes.
#[gtest]
fn burst_of_all_lowers_escalations_and_gives_them_back() {
    let mut governor = Governor::new(true, START);
    let now = load(&mut governor, START, 5, 60);
    expect_that!(governor.level(), eq(1.0));
    let now = load(&mut governor, now, 4, 900);
    expect_that!(governor.level(), lt(0.05));
    expect_that!(governor.threshold(60, false, 0.0), le(3));
    load(&mut governor, now, 5, 60);
    expect_that!(governor.level(), eq(1.0));
}

/// Pattern: engines at the edge of their capacity.
#[gtest]
fn background_work_gives_way_first() {
    let mut governor = Governor::new(true, START);
    let mut now = load(&mut governor, START, 5, 60);
    while governor.level() > 0.7 {
        now = load(&mut governor, now, 1, 400);
    }
    expect_that!(
        governor.threshold(60, true, 0.0),
        lt(governor.threshold(60, false, 0.0))
    );
}

/// Pattern: lost answers on an idle system, and slow ones on a loaded one.
#[gtest]
fn patience_follows_the_load() {
    let mut governor = Governor::new(true, START);
    let now = load(&mut governor, START, 5, 60);
    let objective = Span::from_secs(1);
    let idle = governor.patience(objective, true, None);
    expect_that!(idle, lt(Span::from_millis(600)));
    load(&mut governor, now, 5, 900);
    expect_that!(governor.patience(objective, true, None), gt(objective));
}

/// Pattern: callers that come back together after an outage, while the engines were free.
#[gtest]
fn a_clump_is_neither_escalated_nor_given_up_before_its_turn() {
    let mut governor = Governor::new(false, START);
    load(&mut governor, START, 5, 60);
    expect_that!(governor.level(), eq(1.0));
    // What waits at the engines now takes them two seconds.
    let ahead = 200_000.0;
    let wait = governor.expected(ahead);
    expect_that!(wait, ge(Span::from_millis(1990)));
    expect_that!(wait, le(Span::from_millis(2010)));
    expect_that!(governor.threshold(60, false, wait.as_secs_f64()), eq(0));
    let patience = governor.patience(Span::from_secs(1), true, Some(ahead));
    expect_that!(patience, gt(Span::from_secs(4)));
}

/// Pattern: an engine that hangs, which says nothing about how fast engines read.
#[gtest]
fn answers_that_never_came_do_not_count_as_slow_engines() {
    let mut governor = Governor::new(false, START);
    load(&mut governor, START, 5, 60);
    let before = governor.expected(1000.0);
    for millis in 0..20 {
        let hung = First {
            came: false,
            ..first(5000)
        };
        governor.observe(hung, START + Span::from_millis(6000 + millis));
    }
    expect_that!(governor.expected(1000.0), eq(before));
}

/// Pattern: machines are stopped in turn during a trial, and their callers move to others.
#[gtest]
fn a_session_that_moves_to_another_instance_keeps_its_release() {
    let mut first = releases();
    let mut second = releases();
    let ordered = config(None);
    for one in [&mut first, &mut second] {
        one.configure(&before_the_order());
    }
    first.assign(&before_the_order(), query(Some(9), 0), after(0));
    for one in [&mut first, &mut second] {
        one.configure(&ordered);
    }
    first.assign(&ordered, query(Some(9), 0), after(2000));
    let reports = first.reports(after(2100));
    expect_that!(reports[0].kept, container_eq([9]));
    second.hear(reports, after(2100));
    let moved = second.assign(&ordered, query(Some(9), 0), after(3000));
    expect_that!(moved, some(eq(old())));
    let unseen = second.assign(&ordered, query(Some(8), 0), after(3000));
    expect_that!(unseen, some(eq(new())));
}

/// Pattern: the same among many instances, each of which tells only some of the others.
#[gtest]
fn a_session_is_passed_on_once_to_instances_that_its_own_did_not_tell() {
    let ordered = config(None);
    let mut all = [releases(), releases(), releases(), releases()];
    for one in &mut all {
        one.configure(&before_the_order());
    }
    all[0].assign(&before_the_order(), query(Some(9), 0), after(0));
    for one in &mut all {
        one.configure(&ordered);
    }
    for index in 0..3 {
        let reports = all[index].reports(after(2100));
        all[index + 1].hear(reports, after(2100));
    }
    let passed_on = all[1].reports(after(2200));
    expect_that!(passed_on[0].kept, is_empty());
    expect_that!(passed_on[0].passed_on, container_eq([9]));
    let moved = all[2].assign(&ordered, query(Some(9), 0), after(3000));
    expect_that!(moved, some(eq(old())));
    // It is not passed on for ever: it would never be forgotten.
    let unseen = all[3].assign(&ordered, query(Some(9), 0), after(3000));
    expect_that!(unseen, some(eq(new())));
}
