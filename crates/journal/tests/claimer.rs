//! Claims over a faulty log: at most one dispatch per key, and correct refusals.

mod fake;

use claims::digest::Digest;
use claims::key::{AttemptNumber, Created, Key};
use claims::record::Answer;
use claims::window::Window;
use entity::request::Ran;
use entity::{Span, request};
use fake::{FakeLog, Faults, epoch_ms};
use googletest::prelude::*;
use journal::claimer::{self, Attempt, Handle, Permit, Policy, Resolution};
use journal::committer;
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};
use tokio_util::sync::CancellationToken;

fn policy() -> Policy {
    Policy {
        window: Window::new(
            Span::from_secs(24 * 3600),
            Span::from_secs(600),
            Span::from_secs(60),
        ),
        claim_timeout: Span::from_secs(3),
        retry_after: Span::from_secs(1),
    }
}

fn open(log: &FakeLog, instance: &str) -> Handle<FakeLog> {
    let cancel = CancellationToken::new();
    let committer = committer::spawn(log.clone(), committer::Policy::default(), cancel.clone());
    let instance = instance.parse().expect("a valid name");
    claimer::open(log.clone(), committer, instance, policy(), cancel)
}

fn attempt(key: &str, attempt_number: u32, request: u128) -> Attempt {
    Attempt {
        organisation: "water".parse().expect("a valid name"),
        key: key.into(),
        created: Created(epoch_ms()),
        attempt_number: AttemptNumber::new(attempt_number),
        request: request::Id(request),
        fingerprint: Digest::of(&[b"body"]),
    }
}

fn claim_deadline() -> Instant {
    Instant::now() + Duration::from_secs(10)
}

async fn claim_permit(claimer: &Handle<FakeLog>, attempt: Attempt) -> Permit {
    match claimer.claim(attempt, claim_deadline()).await {
        Resolution::Won(permit) => permit,
        other => panic!("expected to win, got {other:?}"),
    }
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn repeat_at_another_instance_is_given_the_answer() {
    let log = FakeLog::open(1);
    let (first, second) = (open(&log, "entry-1"), open(&log, "entry-2"));
    let attempt = attempt("notice-1", 1, 1);
    let run = claim_permit(&first, attempt.clone()).await.dispatch();
    let repeat = Attempt {
        attempt_number: AttemptNumber::new(2),
        request: request::Id(2),
        ..attempt
    };
    let early = second.claim(repeat.clone(), claim_deadline()).await;
    expect_that!(early, matches_pattern!(Resolution::InProgress));
    let answer = Answer::new(201, "application/json", b"{}");
    run.settle(answer.clone()).await.expect("it is appended");
    sleep(Duration::from_millis(100)).await;
    let late = second.claim(repeat.clone(), claim_deadline()).await;
    expect_that!(late, matches_pattern!(Resolution::Done(eq(&answer))));
    let other = Attempt {
        fingerprint: Digest::of(&[b"other"]),
        ..repeat
    };
    let other = second.claim(other, claim_deadline()).await;
    expect_that!(other, matches_pattern!(Resolution::Mismatch));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn claims_are_refused_at_once_during_a_log_outage() {
    let log = FakeLog::open(1);
    let claimer = open(&log, "entry-1");
    claimer.follow_all();
    sleep(Duration::from_secs(1)).await;
    log.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    sleep(Duration::from_secs(1)).await;
    let calls = log.append_times().len();
    for number in 0..1000 {
        let began = Instant::now();
        let attempt_number = if number % 2 == 0 { 1 } else { 2 };
        let key = format!("notice-{number}");
        let resolution = claimer
            .claim(attempt(&key, attempt_number, number), claim_deadline())
            .await;
        let Resolution::Refused { ran, .. } = resolution else {
            panic!("the log is unavailable, but the claim resolved to {resolution:?}");
        };
        let expected = if attempt_number == 1 {
            Ran::No
        } else {
            Ran::Maybe
        };
        expect_that!(ran, eq(expected));
        expect_that!(began.elapsed(), eq(Duration::ZERO));
    }
    expect_that!(log.append_times().len(), eq(calls));
    log.set_faults(Faults::default());
    sleep(Duration::from_secs(5)).await;
    claim_permit(&claimer, attempt("notice-0", 2, 5000)).await;
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn claims_are_refused_promptly_while_the_log_refuses_appends() {
    let log = FakeLog::open(1);
    let claimer = open(&log, "entry-1");
    claimer.follow_all();
    sleep(Duration::from_secs(1)).await;
    log.set_faults(Faults {
        read_only: true,
        ..Faults::default()
    });
    let began = Instant::now();
    let resolution = claimer
        .claim(attempt("notice-1", 2, 1), claim_deadline())
        .await;
    expect_that!(
        resolution,
        matches_pattern!(Resolution::Refused {
            ran: eq(&Ran::Maybe),
            ..
        })
    );
    expect_that!(began.elapsed(), lt(Duration::from_millis(500)));
    log.set_faults(Faults::default());
    sleep(Duration::from_secs(10)).await;
    claim_permit(&claimer, attempt("notice-1", 3, 2)).await;
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn released_key_was_not_run_and_can_be_sent_again() {
    let log = FakeLog::open(1);
    let claimer = open(&log, "entry-1");
    let attempt = attempt("notice-1", 2, 1);
    let permit = claim_permit(&claimer, attempt.clone()).await;
    let ran = permit.dispatch().not_run().release(claim_deadline()).await;
    expect_that!(ran, eq(Ran::No));
    let again = Attempt {
        attempt_number: AttemptNumber::new(3),
        request: request::Id(2),
        ..attempt
    };
    claim_permit(&claimer, again).await;
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn dropped_permit_releases_and_dropped_run_does_not() {
    let log = FakeLog::open(1);
    let claimer = open(&log, "entry-1");
    let first = attempt("notice-1", 0, 1);
    drop(claim_permit(&claimer, first.clone()).await);
    sleep(Duration::from_millis(500)).await;
    let second = Attempt {
        request: request::Id(2),
        ..first.clone()
    };
    drop(claim_permit(&claimer, second).await.dispatch());
    sleep(Duration::from_secs(60)).await;
    let third = Attempt {
        request: request::Id(3),
        ..first
    };
    let resolution = claimer.claim(third, claim_deadline()).await;
    expect_that!(resolution, matches_pattern!(Resolution::InProgress));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn cancelled_claim_does_not_hold_its_key() {
    let log = FakeLog::open(1);
    let claimer = open(&log, "entry-1");
    let first = attempt("notice-1", 0, 1);
    let cancelled = timeout(
        Duration::from_millis(7),
        claimer.claim(first.clone(), claim_deadline()),
    )
    .await;
    expect_true!(cancelled.is_err());
    sleep(Duration::from_secs(1)).await;
    let second = Attempt {
        request: request::Id(2),
        ..first
    };
    claim_permit(&claimer, second).await;
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn old_and_future_keys_are_refused_without_a_claim() {
    let log = FakeLog::open(1);
    let claimer = open(&log, "entry-1");
    for created in [epoch_ms() - 24 * 3_600_000, epoch_ms() + 120_000] {
        let attempt = Attempt {
            created: Created(created),
            ..attempt("notice-1", 1, 1)
        };
        let resolution = claimer.claim(attempt, claim_deadline()).await;
        expect_that!(resolution, matches_pattern!(Resolution::Expired));
    }
    expect_that!(log.append_times(), is_empty());
}

/// Outcomes of the attempts of one key.
#[derive(Default)]
struct Outcomes {
    dispatched: Vec<u32>,
    not_run: Vec<u32>,
    answered: usize,
}

async fn send(claimer: Handle<FakeLog>, attempt: Attempt, seed: u64) -> (u32, Option<Ran>, bool) {
    let attempt_number = (attempt.request.0 % 10) as u32;
    let mut rng = ChaCha8Rng::seed_from_u64(seed);
    sleep(Duration::from_millis(rng.random_range(0..1500))).await;
    let release = rng.random_range(0..4) == 0;
    let deadline = Instant::now() + Duration::from_millis(rng.random_range(5..3000));
    match claimer.claim(attempt, deadline).await {
        Resolution::Won(permit) if release => {
            let ran = permit.release(deadline).await;
            (attempt_number, Some(ran), false)
        }
        Resolution::Won(permit) => {
            let run = permit.dispatch();
            sleep(Duration::from_millis(50)).await;
            let answer = Answer::new(200, "", b"done");
            let _ = timeout(Duration::from_secs(5), run.settle(answer)).await;
            (attempt_number, None, true)
        }
        Resolution::Refused { ran, .. } => (attempt_number, Some(ran), false),
        Resolution::Done(_) => (attempt_number, None, false),
        Resolution::InProgress | Resolution::Mismatch | Resolution::Expired => {
            (attempt_number, None, false)
        }
    }
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn random_attempts_dispatch_at_most_once_and_are_refused_correctly() {
    let (mut dispatches, mut refusals) = (0, 0);
    for seed in 0..200 {
        let log = FakeLog::open(seed);
        log.set_faults(Faults {
            lose_replies: 20,
            late: 20,
            ..Faults::default()
        });
        let claimers = [open(&log, "entry-1"), open(&log, "entry-2")];
        let mut tasks = JoinSet::new();
        let base = attempt("notice-1", 1, 0);
        for attempt_number in 1..=5_u32 {
            let attempt = Attempt {
                attempt_number: AttemptNumber::new(attempt_number),
                request: request::Id(u128::from(attempt_number)),
                ..base.clone()
            };
            let claimer = claimers[attempt_number as usize % 2].clone();
            tasks.spawn(send(
                claimer,
                attempt,
                seed * 10 + u64::from(attempt_number),
            ));
        }
        sleep(Duration::from_millis(700)).await;
        let down = seed % 3 == 0;
        log.set_faults(Faults {
            down,
            lose_replies: 20,
            late: 20,
            read_only: false,
        });
        sleep(Duration::from_millis(500)).await;
        log.set_faults(Faults::default());
        let mut outcomes = Outcomes::default();
        for (attempt_number, ran, dispatched) in tasks.join_all().await {
            if dispatched {
                outcomes.dispatched.push(attempt_number);
            }
            if ran == Some(Ran::No) {
                outcomes.not_run.push(attempt_number);
            }
            outcomes.answered += 1;
        }
        assert_that!(outcomes.dispatched.len(), le(1), "seed {seed}");
        for not_run in &outcomes.not_run {
            for dispatched in &outcomes.dispatched {
                assert_that!(dispatched, gt(not_run), "seed {seed}");
            }
        }
        assert_that!(outcomes.answered, eq(5));
        dispatches += outcomes.dispatched.len();
        refusals += outcomes.not_run.len();
    }
    println!("200 runs of 5 attempts: {dispatches} dispatches, {refusals} refusals as not run");
    expect_that!(dispatches, gt(0));
    expect_that!(refusals, gt(0));
}

#[gtest]
fn partition_of_a_key_is_stable() {
    let organisation = "water".parse().expect("a valid name");
    let key = Key::new(&organisation, "notice-1", Created(1));
    expect_that!(key.partition().index(), lt(16));
    expect_that!(key, eq(Key::new(&organisation, "notice-1", Created(1))));
}
