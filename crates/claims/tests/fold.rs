//! Single cases of the fold, the window and keys.

use claims::fold::{Decision, Position, Status};
use claims::holder::{NotRun, Pending, Reading, Won};
use claims::key::{AttemptNumber, Created};
use claims::record::{self, Answer, Claim, MAX_BODY_BYTES, Record};
use claims::window::Phase;
use claims::{Digest, Fold, Key, Window};
use entity::request::Ran;
use entity::{Offset, Span, request};
use googletest::prelude::*;

const CREATED: Created = Created(1_000_000);

fn window() -> Window {
    Window::new(
        Span::from_secs(3600),
        Span::from_secs(120),
        Span::from_secs(60),
    )
}

fn claim(attempt: u128, body: &[u8]) -> Claim {
    let organisation = "water".parse().expect("a valid name");
    Claim {
        key: Key::new(&organisation, "notice-1", CREATED),
        attempt: request::Id(attempt),
        attempt_number: AttemptNumber::new(attempt as u32),
        instance: "entry-1".parse().expect("a valid name"),
        fingerprint: Digest::of(&[body]),
    }
}

fn pending(attempt: u128, body: &[u8]) -> Pending {
    Pending::open(claim(attempt, body), CREATED, window())
}

fn apply(fold: &mut Fold, record: &Record, time_ms: u64) {
    let offset = fold.next();
    fold.apply(Position { offset, time_ms }, std::slice::from_ref(record));
}

fn empty() -> Fold {
    Fold::open(Offset(1), Offset(1))
}

fn win(fold: &mut Fold, attempt: u128) -> Won {
    let pending = pending(attempt, b"body");
    apply(fold, &pending.record(), CREATED.0);
    match pending.read(fold) {
        Reading::Won(won) => won,
        other => panic!("expected to win, read {other:?}"),
    }
}

#[gtest]
fn repeated_attempt_gets_the_stored_answer() {
    let mut fold = empty();
    let won = win(&mut fold, 1);
    let answer = Answer::new(201, "application/json", b"{}");
    let settled = won.dispatch().settle(answer.clone());
    apply(&mut fold, &settled.record(), CREATED.0);
    let repeat = pending(2, b"body");
    apply(&mut fold, &repeat.record(), CREATED.0);
    let Reading::Lost(lost) = repeat.read(&fold) else {
        panic!("the key was settled");
    };
    expect_that!(lost.answer(&fold), some(eq(&answer)));
    expect_that!(lost.ran(&fold), eq(Ran::Maybe));
}

#[gtest]
fn attempt_with_another_body_is_a_mismatch() {
    let mut fold = empty();
    win(&mut fold, 1);
    let other = pending(2, b"other");
    apply(&mut fold, &other.record(), CREATED.0);
    let Reading::Lost(lost) = other.read(&fold) else {
        panic!("another body can't win");
    };
    expect_that!(lost.decision(), eq(Decision::Mismatched));
    let key = claim(1, b"").key;
    expect_true!(fold.has_other_fingerprint(key, Digest::of(&[b"other"])));
    expect_false!(fold.has_other_fingerprint(key, Digest::of(&[b"body"])));
}

#[gtest]
fn key_stays_held_after_its_holder_failed() {
    let mut fold = empty();
    drop(win(&mut fold, 1).dispatch());
    let repeat = pending(2, b"body");
    apply(&mut fold, &repeat.record(), CREATED.0 + 3_000_000);
    let released = match repeat.read(&fold) {
        Reading::Lost(lost) => lost,
        other => panic!("the key is held, read {other:?}"),
    };
    expect_that!(released.ran(&fold), eq(Ran::Maybe));
}

#[gtest]
fn release_frees_the_key_for_later_attempt_numbers_only() {
    let mut fold = empty();
    let released = win(&mut fold, 2).dispatch().retract(NotRun).release();
    apply(&mut fold, &released.record(), CREATED.0);
    expect_that!(released.read(&fold), some(eq(Ran::No)));
    let older = pending(1, b"body");
    apply(&mut fold, &older.record(), CREATED.0);
    let Reading::Lost(lost) = older.read(&fold) else {
        panic!("attempt 1 is excluded by the release of attempt 2");
    };
    expect_that!(lost.decision(), eq(Decision::Excluded));
    expect_that!(lost.ran(&fold), eq(Ran::No));
    win(&mut fold, 3);
}

#[gtest]
fn delayed_copy_of_a_released_claim_changes_nothing() {
    let mut fold = empty();
    let released = pending(1, b"body").release();
    apply(&mut fold, &released.record(), CREATED.0);
    apply(&mut fold, &pending(1, b"body").record(), CREATED.0);
    expect_that!(fold.status(claim(1, b"").key), eq(Status::Free));
    win(&mut fold, 2);
}

#[gtest]
fn claim_appended_before_the_fold_was_created_does_not_win() {
    let mut fold = Fold::open(Offset(1), Offset(2));
    let pending = pending(1, b"body");
    apply(&mut fold, &pending.record(), CREATED.0);
    expect_that!(
        pending.read(&fold),
        matches_pattern!(Reading::Expired(anything()))
    );
}

#[gtest]
fn window_opens_with_the_skew_and_closes_before_the_retention_ends() {
    let window = window();
    let at = |seconds: i64| {
        let millis = CREATED.0.checked_add_signed(seconds * 1000);
        window.phase(CREATED, millis.expect("after the epoch"))
    };
    expect_that!(at(-61), eq(Phase::Early));
    expect_that!(at(-60), eq(Phase::Open));
    expect_that!(at(3480), eq(Phase::Open));
    expect_that!(at(3481), eq(Phase::Expired));
    expect_that!(window.entry_ttl(), eq(Span::from_secs(3540)));
}

#[gtest]
fn creation_time_is_read_from_a_uuid_of_version_7() {
    let time = Created::from_uuid("017F22E2-79B0-7CC3-98C4-DC0C0C07398F");
    expect_that!(time, some(eq(Created(0x017f_22e2_79b0))));
    expect_that!(
        Created::from_uuid("017F22E2-79B0-4CC3-98C4-DC0C0C07398F"),
        none()
    );
    expect_that!(Created::from_uuid("notice-1"), none());
}

#[gtest]
fn eviction_drops_only_keys_without_recent_records() {
    let mut fold = empty();
    win(&mut fold, 1);
    fold.evict_before(CREATED.0);
    expect_that!(fold.len(), eq(1));
    fold.evict_before(CREATED.0 + 1);
    expect_true!(fold.is_empty());
}

#[gtest]
fn batches_round_trip_through_their_encoding() {
    let claim = pending(1, b"body");
    let long = Answer::new(200, "text/plain", &[b'a'; MAX_BODY_BYTES + 1]);
    expect_that!(long.body, none());
    let settled = win(&mut empty(), 2).dispatch().settle(long);
    let batch = vec![claim.record(), claim.release().record(), settled.record()];
    let decoded = record::decode(&record::encode(&batch));
    expect_that!(decoded, ok(eq(&batch)));
}

#[gtest]
fn record_of_another_release_prevents_claims_of_its_key() {
    let key = claim(1, b"").key;
    let foreign = format!(r#"[{{"extend":{{"key":"{key}","until":7}}}}]"#);
    let batch = record::decode(foreign.as_bytes()).expect("its key is known");
    expect_that!(batch, elements_are![eq(&Record::Foreign(key))]);
    let mut fold = empty();
    apply(&mut fold, &batch[0], CREATED.0);
    let pending = pending(1, b"body");
    apply(&mut fold, &pending.record(), CREATED.0);
    expect_that!(
        pending.read(&fold),
        matches_pattern!(Reading::Lost(anything()))
    );
    expect_that!(fold.status(key), eq(Status::Foreign));
    for garbage in [
        "{}",
        "7",
        r#"["x"]"#,
        r#"[{}]"#,
        r#"[{"extend":{"until":7}}]"#,
    ] {
        expect_that!(record::decode(garbage.as_bytes()), err(anything()));
    }
}
