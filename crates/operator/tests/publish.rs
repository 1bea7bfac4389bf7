//! Tests of publishing to a log that loses replies, refuses appends or has other publishers.

mod fake;

use entity::{Generation, Span};
use fake::{AppendOutcome, FakeLog, checkpoint, published};
use googletest::prelude::*;
use operator::Error;
use operator::publish::{Base, Report, Request, publish};
use rand_chacha::ChaCha8Rng;
use rand_chacha::rand_core::SeedableRng;

const ONE: &str = "[zone z1]\nregion = r\n";
const TWO: &str = "[zone z1]\nregion = r\nstate = out\n";
const THREE: &str = "[zone z1]\nregion = r\n[zone z2]\nregion = r\n";

fn request(text: &str, base: Base) -> Request {
    Request {
        text: text.into(),
        base,
        author: "bob".into(),
        time_limit: Span::from_secs(30),
    }
}

async fn run(log: &FakeLog, request: &Request) -> std::result::Result<Report, Error> {
    let mut rng = ChaCha8Rng::seed_from_u64(1);
    publish(log, request, &mut rng).await
}

fn base(generation: u64) -> Base {
    Base::Generation(Generation(generation))
}

fn generation(report: &Report) -> Option<u64> {
    match report {
        Report::Accepted { generation, .. } => Some(generation.0),
        _ => None,
    }
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn first_publication_has_base_0() -> Result<()> {
    let log = FakeLog::new(1, Vec::new());
    let report = run(&log, &request(ONE, base(0))).await?;
    expect_that!(generation(&report), some(eq(1)));
    expect_that!(
        report.to_string(),
        eq("accepted: generation 1\n+ [zone z1]")
    );
    Ok(())
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn report_lists_the_changes() -> Result<()> {
    let log = FakeLog::new(1, vec![published(0, "ada", ONE)]);
    let text = format!("; generation 1\n{TWO}");
    let report = run(&log, &request(&text, Base::Header)).await?;
    expect_that!(
        report.to_string(),
        eq("accepted: generation 2\n~ [zone z1]\n    state: in -> out")
    );
    expect_that!(
        serde_json::to_string(&report)?,
        eq(concat!(
            r#"{"result":"accepted","generation":2,"changes":{"changes":[{"section":"zone z1","#,
            r#""change":"changed","keys":[{"key":"state","before":"in","after":"out"}]}]}}"#
        ))
    );
    Ok(())
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn invalid_text_is_reported_without_an_append() -> Result<()> {
    let log = FakeLog::new(1, Vec::new());
    let report = run(&log, &request("[zone z1]", base(0))).await?;
    let Report::Invalid { findings } = report else {
        return fail!("not invalid: {report:?}");
    };
    expect_that!(findings.0.len(), eq(1));
    expect_that!(log.len(), eq(0));
    Ok(())
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn outdated_base_is_reported_without_an_append() -> Result<()> {
    let log = FakeLog::new(1, vec![published(0, "ada", ONE), published(1, "ada", TWO)]);
    let report = run(&log, &request(THREE, base(1))).await?;
    expect_that!(
        report.to_string(),
        eq(
            "rejected: edited from generation 1, but 2 by ada is in force\nchanged since:\n\
             ~ [zone z1]\n    state: in -> out"
        )
    );
    expect_that!(log.len(), eq(2));
    Ok(())
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn lost_race_reports_the_author_in_force() -> Result<()> {
    let log = FakeLog::new(1, vec![published(0, "ada", ONE)]);
    let log = log.script(
        &[AppendOutcome::Race(published(1, "cid", TWO))],
        AppendOutcome::Apply,
    );
    let report = run(&log, &request(THREE, base(1))).await?;
    expect_that!(
        report.to_string(),
        starts_with("rejected: edited from generation 1, but 2 by cid is in force")
    );
    Ok(())
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn outcome_is_read_from_the_stream_after_a_lost_reply() -> Result<()> {
    let log = FakeLog::new(1, vec![published(0, "ada", ONE)]);
    let log = log.script(&[AppendOutcome::LoseReply], AppendOutcome::Drop);
    let report = run(&log, &request(TWO, base(1))).await?;
    expect_that!(generation(&report), some(eq(2)));
    expect_that!(log.len(), eq(2));
    Ok(())
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn dropped_append_is_retried() -> Result<()> {
    let log = FakeLog::new(1, vec![published(0, "ada", ONE)]);
    let log = log.script(
        &[
            AppendOutcome::Drop,
            AppendOutcome::Refuse,
            AppendOutcome::Drop,
        ],
        AppendOutcome::Apply,
    );
    let report = run(&log, &request(TWO, base(1))).await?;
    expect_that!(generation(&report), some(eq(2)));
    Ok(())
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn refusal_until_the_deadline_is_an_error() -> Result<()> {
    let log = FakeLog::new(1, Vec::new()).script(&[], AppendOutcome::Refuse);
    let report = run(&log, &request(ONE, base(0))).await;
    expect_that!(report, err(matches_pattern!(Error::Log(anything()))));
    expect_that!(log.len(), eq(0));
    Ok(())
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn missing_replies_until_the_deadline_leave_the_outcome_unknown() -> Result<()> {
    let log = FakeLog::new(1, Vec::new()).script(&[], AppendOutcome::Drop);
    let report = run(&log, &request(ONE, base(0))).await?;
    expect_that!(report, matches_pattern!(Report::Unknown { .. }));
    Ok(())
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn unreadable_log_is_an_error() -> Result<()> {
    let log = FakeLog::new(1, Vec::new());
    log.stop();
    let report = run(&log, &request(ONE, base(0))).await;
    expect_that!(report, err(matches_pattern!(Error::Log(anything()))));
    Ok(())
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn missing_base_and_future_base_are_errors() -> Result<()> {
    let log = FakeLog::new(1, vec![published(0, "ada", ONE)]);
    let missing = run(&log, &request(TWO, Base::Header)).await;
    expect_that!(missing, err(eq(&Error::Base)));
    let ahead = run(&log, &request(TWO, base(9))).await;
    expect_that!(ahead, err(matches_pattern!(Error::Publisher(anything()))));
    let current = run(&log, &request(TWO, Base::InForce)).await?;
    expect_that!(generation(&current), some(eq(2)));
    Ok(())
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn empty_and_overlong_authors_are_errors() -> Result<()> {
    let log = FakeLog::new(1, Vec::new());
    for author in [String::new(), "x".repeat(129)] {
        let request = Request {
            author: author.into(),
            ..request(ONE, base(0))
        };
        expect_that!(run(&log, &request).await, err(eq(&Error::Author)));
    }
    Ok(())
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn stream_with_an_expired_beginning_is_read_from_its_checkpoint() -> Result<()> {
    let log = FakeLog::new(8, vec![checkpoint(5, 7, ONE)]);
    let report = run(&log, &request(TWO, base(5))).await?;
    expect_that!(generation(&report), some(eq(9)));
    expect_that!(report.to_string(), contains_substring("state: in -> out"));
    let log = FakeLog::new(8, vec![checkpoint(5, 6, ONE)]);
    let report = run(&log, &request(TWO, base(5))).await;
    expect_that!(report, err(matches_pattern!(Error::Publisher(anything()))));
    Ok(())
}
