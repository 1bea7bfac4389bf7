//! The load tool plans the same arrivals for a seed, and tells wrong and lost answers.

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

/// An engine that answers for the service itself takes the place of an instance.
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
async fn whole_answers_are_counted() {
    for streamed in [0.0, 1.0] {
        let (report, _engine) = run(engine::Faults::default(), streamed).await;
        let summary = &report.summaries()["residents"];
        expect_that!(summary.sent, gt(0));
        expect_that!(summary.answered, eq(summary.sent));
        expect_that!(summary.whole_ms.count, eq(summary.sent));
        let streams = if streamed > 0.0 { summary.sent } else { 0 };
        expect_that!(summary.first_ms.count, eq(streams));
        expect_that!(report.wrong(), eq(0));
        expect_that!(report.session_moves(), eq(0));
    }
}

#[gtest]
#[tokio::test]
async fn crossed_answers_are_wrong() {
    let faults = engine::Faults {
        wrong_id: 1.0,
        ..engine::Faults::default()
    };
    let (report, _engine) = run(faults, 0.5).await;
    expect_that!(report.wrong(), gt(0));
    expect_that!(report.summaries()["residents"].answered, eq(0));
}

#[gtest]
#[tokio::test]
async fn answers_that_break_off_are_lost_and_asked_for_again() {
    let faults = engine::Faults {
        end_early: 0.5,
        ..engine::Faults::default()
    };
    let (report, _engine) = run(faults, 0.5).await;
    let summary = &report.summaries()["residents"];
    expect_that!(summary.retried, gt(0));
    expect_that!(report.wrong(), eq(0));
    for exchange in report.exchanges() {
        expect_that!(exchange.attempts.len(), le(4));
    }
}

#[gtest]
fn a_seed_gives_the_same_arrivals() {
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
fn the_workloads_that_come_with_the_tool_are_valid() {
    for name in ["wadi", "vermeulen", "demo"] {
        expect_that!(
            Workload::named(name).map(|workload| workload.classes.is_empty()),
            some(eq(false))
        );
    }
}
