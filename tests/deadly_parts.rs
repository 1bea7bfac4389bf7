//! Tests of instances, as processes, whose callers send prompts with a part that ends each upstream which runs
//! them. No two requests are alike, so that only the part connects the ends.

#[path = "forward_soak/process.rs"]
mod process;
#[path = "../platform/tests/support/mod.rs"]
mod support;
#[path = "instances/system.rs"]
mod system;
#[path = "deadly_parts/upstream.rs"]
mod upstream;

use googletest::prelude::*;
use std::net::SocketAddr;
use std::time::Duration;
use support::store::FakeStore;
use system::{Setup, System, call};
use tokio::task::JoinSet;
use upstream::{DEADLY_PART, Stage, Upstreams};

const CONFIG: &str = r#"{"version":1,"routes":[
 {"name":"draft","host":"a.example","pathPrefix":"/draft/","kind":"streaming","timeoutMs":8000,
  "targetLatencyMs":2000,"service":"llm","maxAttempts":3,"resumable":true,"gapAimMs":800}],
 "services":[{"name":"llm"}],
 "tenants":[{"name":"clinics","apiKeys":["secret"]}]}"#;
const INSTANCE_COUNT: usize = 3;
const UPSTREAM_COUNT: usize = 12;
const DRAFT_COUNT: usize = 230;
const DRAFT_INTERVAL: Duration = Duration::from_millis(60);
/// One draft of so many has the part.
const DEADLY_PERIOD: usize = 8;
/// Number of other parts that sound drafts share.
const SUBJECT_COUNT: usize = 20;
/// Ends after which the rule of the deployment begins to count, its grace time, and what it allows then.
const COUNTED_END: usize = 5;
const GRACE_TIME: Duration = Duration::from_secs(3);
const ALLOWED_ARRIVALS: usize = 3;

/// What a test saw.
#[derive(Debug)]
struct Outcome {
    ends: usize,
    late_arrivals: usize,
    /// Sound drafts of the second half: all, and those that were answered to the end.
    sound: usize,
    served: usize,
}

/// Sends a draft whose prompt has shared parts and one of its own. Returns the whole answer, up to the end of the
/// connection.
async fn draft(caller: SocketAddr, shared: &str, own: usize) -> String {
    let body = format!("draft {own}");
    let head = format!(
        "POST /draft/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: {own:016x}\r\n\
         Deadline-Ms: 8000\r\nAuthorization: Bearer secret\r\n\
         Token-Counts: 700,80\r\nPrompt-Prefix: {shared},{:x}:50\r\nContent-Length: {}\r\n",
        0x1000 + own,
        body.len()
    );
    call(caller, &head, &body).await
}

async fn run(test: &str, stage: Stage, event_count: u32) -> Outcome {
    let store = FakeStore::default();
    let upstreams = Upstreams::spawn(UPSTREAM_COUNT, stage, event_count, store.clone()).await;
    let setup = Setup {
        test,
        count: INSTANCE_COUNT,
        config: CONFIG,
        limits: "",
        descriptors: None,
    };
    let system = System::spawn(&setup, store).await;
    let mut drafts = JoinSet::new();
    for number in 0..DRAFT_COUNT {
        let caller = system.callers[number % INSTANCE_COUNT];
        let is_deadly = number % DEADLY_PERIOD == DEADLY_PERIOD - 1;
        let subject = match is_deadly {
            true => DEADLY_PART.to_owned(),
            false => format!("5{:x}:200", number * 7 % SUBJECT_COUNT),
        };
        drafts.spawn(async move {
            let answer = draft(caller, &format!("a1:400,{subject}"), number).await;
            let is_counted = !is_deadly && number >= DRAFT_COUNT / 2;
            let is_served = answer.contains(&format!("e{event_count}\n"));
            (is_counted, is_served)
        });
        tokio::time::sleep(DRAFT_INTERVAL).await;
    }
    let results = drafts.join_all().await;
    let counted = results.iter().filter(|(is_counted, _)| *is_counted);
    let outcome = Outcome {
        ends: upstreams.end_count(),
        late_arrivals: upstreams.arrivals_after(COUNTED_END, GRACE_TIME),
        sound: counted.clone().count(),
        served: counted.filter(|(_, is_served)| *is_served).count(),
    };
    println!("{test}: {outcome:?}, logs in {}", system.directory());
    outcome
}

/// Checks that the part was held back in time and that no other drafts were.
fn check(outcome: &Outcome) {
    let ends = outcome.ends;
    expect_that!(outcome.late_arrivals, le(ALLOWED_ARRIVALS), "{ends} ends");
    expect_that!(outcome.served * 2, gt(outcome.sound), "{ends} ends");
}

/// A part went on to end upstreams that had answered it with a head.
#[gtest]
#[tokio::test]
async fn part_that_ends_upstreams_after_the_head_is_held() {
    check(&run("head", Stage::Head, 4).await);
}

/// A part went on to end upstreams that had not answered it yet, as only ends after a head were held against it.
#[gtest]
#[tokio::test]
async fn part_that_ends_upstreams_before_the_head_is_held() {
    check(&run("waiting", Stage::Waiting, 4).await);
}

/// A part went on to end upstreams in the middle of its answer, as only ends at its beginning were held against it.
#[gtest]
#[tokio::test]
async fn part_that_ends_upstreams_within_the_answer_is_held() {
    check(&run("within", Stage::Events(2), 4).await);
}

/// A part went on to end upstreams in the middle of its answer, as the rest of the answer, at another upstream, showed
/// it to be sound.
#[gtest]
#[tokio::test]
async fn part_whose_answers_are_resumed_is_held() {
    check(&run("resumed", Stage::Event(2), 4).await);
}

/// A part went on to end upstreams that had answered it for more than 2 s, as that showed it to be sound.
#[gtest]
#[tokio::test]
async fn part_that_ends_upstreams_late_in_the_answer_is_held() {
    check(&run("late", Stage::Events(16), 20).await);
}

/// A part went on to end upstreams right after its whole answer, as that showed it to be sound.
#[gtest]
#[tokio::test]
async fn part_that_ends_upstreams_after_the_answer_is_held() {
    check(&run("whole", Stage::Whole, 4).await);
}
