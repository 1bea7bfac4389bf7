//! Group commit: batches, retries, the rate limit, and behaviour in an outage.

mod fake;

use bytes::Bytes;
use entity::unit::Rate;
use fake::{FakeLog, Faults};
use googletest::prelude::*;
use journal::committer::{self, Handle, Health, Policy};
use std::time::Duration;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};
use tokio_util::sync::CancellationToken;

fn spawn(log: &FakeLog, policy: Policy) -> Handle {
    committer::spawn(log.clone(), policy, CancellationToken::new())
}

fn append(tasks: &mut JoinSet<()>, committer: &Handle, number: usize) {
    let committer = committer.clone();
    tasks.spawn(async move {
        let data = Bytes::from(number.to_string());
        committer.append("usage", data).await.expect("it runs");
    });
}

/// Returns all numbers on the stream, including duplicates.
fn numbers(log: &FakeLog) -> Vec<usize> {
    let records = log.records("usage");
    let batches = records.iter().map(|(_, data)| {
        let batch: Vec<usize> = serde_json::from_slice(data).expect("an array of numbers");
        batch
    });
    batches.flatten().collect()
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn concurrent_records_share_an_append() {
    let log = FakeLog::open(1);
    let committer = spawn(&log, Policy::default());
    let mut tasks = JoinSet::new();
    for number in 0..100 {
        append(&mut tasks, &committer, number);
    }
    tasks.join_all().await;
    expect_that!(log.append_times().len(), eq(1));
    expect_that!(numbers(&log), len(eq(100)));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn batches_are_bounded_in_size() {
    let log = FakeLog::open(1);
    let policy = Policy {
        batch_bytes: 64,
        ..Policy::default()
    };
    let committer = spawn(&log, policy);
    let mut tasks = JoinSet::new();
    for number in 1000..1100 {
        append(&mut tasks, &committer, number);
    }
    tasks.join_all().await;
    for (_, data) in log.records("usage") {
        expect_that!(data.len(), le(64));
    }
    expect_that!(numbers(&log), len(eq(100)));
}

/// Returns the times of the appends that 16 busy streams cause in 20 s at 10 appends a second.
async fn busy_streams(burst: u32) -> Vec<Instant> {
    let log = FakeLog::open(1);
    let policy = Policy {
        rate: Rate(10),
        burst,
        ..Policy::default()
    };
    let committer = spawn(&log, policy);
    let end = Instant::now() + Duration::from_secs(20);
    let mut tasks = JoinSet::new();
    for stream in 0..16 {
        let committer = committer.clone();
        tasks.spawn(async move {
            while Instant::now() < end {
                let stream = format!("claims-{stream}");
                committer
                    .append(&stream, "1".into())
                    .await
                    .expect("it runs");
            }
        });
    }
    tasks.join_all().await;
    log.append_times()
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn all_streams_together_keep_to_the_rate() {
    expect_that!(busy_streams(1).await.len(), all!(ge(190), le(220)));
    for burst in [1, 10] {
        let calls = busy_streams(burst).await;
        for (index, from) in calls.iter().enumerate() {
            let second = calls[index..]
                .iter()
                .take_while(|at| **at - *from < Duration::from_secs(1));
            expect_that!(second.count(), le(10 + burst as usize));
        }
    }
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn sparse_appends_are_not_held_back_by_the_rate() {
    let log = FakeLog::open(1);
    let policy = Policy {
        rate: Rate(1),
        burst: 3,
        ..Policy::default()
    };
    let committer = spawn(&log, policy);
    let mut took = Vec::new();
    for _ in 0..4 {
        let began = Instant::now();
        committer
            .append("usage", "1".into())
            .await
            .expect("it runs");
        took.push(began.elapsed() > Duration::from_millis(20));
    }
    expect_that!(
        took,
        elements_are![eq(&false), eq(&false), eq(&false), eq(&true)]
    );
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn lost_replies_and_late_appends_lose_no_record() {
    for seed in 0..20 {
        let log = FakeLog::open(seed);
        log.set_faults(Faults {
            lose_replies: 20,
            late: 20,
            ..Faults::default()
        });
        let committer = spawn(&log, Policy::default());
        let mut tasks = JoinSet::new();
        for number in 0..200 {
            append(&mut tasks, &committer, number);
            sleep(Duration::from_millis(5)).await;
        }
        tasks.join_all().await;
        let mut appended = numbers(&log);
        appended.sort_unstable();
        appended.dedup();
        expect_that!(appended, len(eq(200)), "seed {seed}");
    }
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn long_outage_is_probed_slowly_however_many_records_wait() {
    let log = FakeLog::open(1);
    let committer = spawn(&log, Policy::default());
    log.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    let mut tasks = JoinSet::new();
    for number in 0..20_000 {
        append(&mut tasks, &committer, number);
    }
    sleep(Duration::from_secs(300)).await;
    let calls = log.append_times().len();
    println!("20000 records waited through 300 s of outage: {calls} appends");
    expect_that!(calls, all!(ge(100), le(310)));
    expect_that!(*committer.health().borrow(), eq(Health::Down));
    log.set_faults(Faults::default());
    tasks.join_all().await;
    expect_that!(numbers(&log), len(eq(20_000)));
    expect_that!(*committer.health().borrow(), eq(Health::Up));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn abandoned_record_is_not_retried() {
    let log = FakeLog::open(1);
    let committer = spawn(&log, Policy::default());
    log.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    let waited = timeout(
        Duration::from_secs(5),
        committer.append("usage", "1".into()),
    )
    .await;
    expect_true!(waited.is_err());
    log.set_faults(Faults::default());
    sleep(Duration::from_secs(5)).await;
    expect_that!(numbers(&log), is_empty());
    expect_that!(*committer.health().borrow(), eq(Health::Up));
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn cancelled_committer_appends_waiting_records() {
    let (log, cancel) = (FakeLog::open(1), CancellationToken::new());
    let committer = committer::spawn(log.clone(), Policy::default(), cancel.clone());
    let mut tasks = JoinSet::new();
    append(&mut tasks, &committer, 7);
    sleep(Duration::from_millis(1)).await;
    cancel.cancel();
    tasks.join_all().await;
    expect_that!(numbers(&log), elements_are![eq(&7)]);
    expect_true!(committer.append("usage", "8".into()).await.is_err());
}
