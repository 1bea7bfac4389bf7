//! Followers through outages and gaps.

mod fake;

use entity::Offset;
use fake::{FakeLog, Faults};
use googletest::prelude::*;
use journal::follower::{self, Event, Follower};
use logs::Page;
use std::time::Duration;
use tokio_util::sync::CancellationToken;

fn follow(log: &FakeLog, cancel: &CancellationToken) -> Follower {
    follower::spawn(log.clone(), "config".into(), Offset(1), cancel)
}

async fn page(follower: &mut Follower) -> Page {
    match follower.next().await {
        Some(Event::Records(page)) => page,
        other => panic!("expected records, got {other:?}"),
    }
}

fn offsets(page: &Page) -> Vec<u64> {
    page.records.iter().map(|record| record.offset.0).collect()
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn records_arrive_in_order_after_an_empty_first_page() {
    let (log, cancel) = (FakeLog::open(1), CancellationToken::new());
    let mut follower = follow(&log, &cancel);
    expect_that!(offsets(&page(&mut follower).await), is_empty());
    for number in 1..=3 {
        log.put("config", format!("{number}").into());
        expect_that!(
            offsets(&page(&mut follower).await),
            elements_are![eq(&number)]
        );
    }
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn outage_and_its_end_are_reported_once() {
    let (log, cancel) = (FakeLog::open(1), CancellationToken::new());
    let mut follower = follow(&log, &cancel);
    page(&mut follower).await;
    log.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    expect_that!(
        follower.next().await,
        some(matches_pattern!(Event::Down(anything())))
    );
    tokio::time::sleep(Duration::from_secs(60)).await;
    log.set_faults(Faults::default());
    expect_that!(offsets(&page(&mut follower).await), is_empty());
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn records_expired_during_an_outage_are_a_gap() {
    let (log, cancel) = (FakeLog::open(1), CancellationToken::new());
    let mut follower = follow(&log, &cancel);
    page(&mut follower).await;
    log.set_faults(Faults {
        down: true,
        ..Faults::default()
    });
    follower.next().await;
    log.put("config", "1".into());
    log.expire_records("config");
    log.put("config", "2".into());
    log.set_faults(Faults::default());
    let Some(Event::Gap { expected, page }) = follower.next().await else {
        panic!("a gap is reported");
    };
    expect_that!(expected, eq(Offset(1)));
    expect_that!(offsets(&page), elements_are![eq(&2)]);
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn first_retained_record_is_no_gap() {
    let (log, cancel) = (FakeLog::open(1), CancellationToken::new());
    log.put("config", "1".into());
    log.expire_records("config");
    log.put("config", "2".into());
    let mut follower = follow(&log, &cancel);
    expect_that!(offsets(&page(&mut follower).await), elements_are![eq(&2)]);
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn cancelled_follower_ends() {
    let (log, cancel) = (FakeLog::open(1), CancellationToken::new());
    let mut follower = follow(&log, &cancel);
    page(&mut follower).await;
    cancel.cancel();
    expect_that!(follower.next().await.is_none(), eq(true));
}
