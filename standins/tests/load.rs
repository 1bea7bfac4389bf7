//! Tests of the load tool: reproducible arrivals, and the detection of wrong and lost answers.

use googletest::prelude::*;
use standins::engine;
use standins::load::workload::{self, Workload};
use standins::load::{self, Options};
use standins::server::Handle;
use std::time::Duration;
use tokio_util::sync::CancellationToken;

const WORKLOAD: &str = r#"{"classes": [{
    "name": "residents", "service": "answers", "per_s": 40, "turns": 2, "timeout_ms": 5000,
    "prefix_bytes": 100, "tokens": 5, "organisations": ["wadi-households"]
}]}"#;

/// Runs the load against an engine in place of an instance; the engine serves a version with the
/// name of the service.
async fn run(faults: engine::Faults, streamed: f64) -> (load::report::Report, Handle) {
    let options = engine::Options {
        versions: vec!["answers".into()],
        faults,
        ..engine::Options::default()
    };
    let engine = engine::spawn(options, &CancellationToken::new())
        .await
        .unwrap();
    let options = Options {
        instances: vec![engine.address],
        workload: Workload::parse(WORKLOAD).unwrap(),
        seed: 3,
        time: Duration::from_millis(500),
        scale: 1.0,
        streamed,
    };
    (load::run(options).await, engine)
}

#[gtest]
#[tokio::test]
async fn complete_answers_are_counted() {
    for streamed in [0.0, 1.0] {
        let (report, _engine) = run(engine::Faults::default(), streamed).await;
        let summary = &report.summaries()["residents"];
        expect_that!(summary.sent, gt(0));
        expect_that!(summary.answered, eq(summary.sent));
        expect_that!(summary.whole_ms.count, eq(summary.sent));
        let streams = if streamed > 0.0 { summary.sent } else { 0 };
        expect_that!(summary.first_ms.count, eq(streams));
        expect_that!(report.wrong_count(), eq(0));
        expect_that!(report.session_moves(), eq(0));
    }
}

#[gtest]
#[tokio::test]
async fn answers_to_other_requests_are_wrong() {
    let faults = engine::Faults {
        wrong_id: 1.0,
        ..engine::Faults::default()
    };
    let (report, _engine) = run(faults, 0.5).await;
    expect_that!(report.wrong_count(), gt(0));
    expect_that!(report.summaries()["residents"].answered, eq(0));
}

#[gtest]
#[tokio::test]
async fn truncated_answers_count_as_lost_and_are_retried() {
    let faults = engine::Faults {
        end_early: 0.5,
        ..engine::Faults::default()
    };
    let (report, _engine) = run(faults, 0.5).await;
    let summary = &report.summaries()["residents"];
    expect_that!(summary.retried, gt(0));
    expect_that!(report.wrong_count(), eq(0));
    for exchange in report.exchanges() {
        expect_that!(exchange.attempts.len(), le(4));
    }
}

#[gtest]
fn equal_seeds_give_equal_arrivals() {
    let mut options = Options {
        instances: Vec::new(),
        workload: Workload::named("wadi").unwrap(),
        seed: 7,
        time: Duration::from_secs(30),
        scale: 1.0,
        streamed: 0.5,
    };
    let first = workload::plan(&options);
    expect_that!(workload::plan(&options), eq(&first));
    options.seed = 8;
    expect_that!(workload::plan(&options), not(eq(&first)));
    for pair in first.windows(2) {
        assert_that!(pair[0].at, le(pair[1].at));
    }
    let burst = options
        .workload
        .classes
        .iter()
        .position(|class| &*class.name == "burst")
        .unwrap();
    for arrival in first.iter().filter(|arrival| arrival.class == burst) {
        expect_that!(arrival.at.as_secs_f64(), all![ge(10.0), lt(20.0)]);
    }
}

#[gtest]
fn built_in_workloads_are_valid() {
    for name in ["wadi", "vermeulen", "demo"] {
        expect_that!(
            Workload::named(name).map(|workload| workload.classes.is_empty()),
            some(eq(false))
        );
    }
}
