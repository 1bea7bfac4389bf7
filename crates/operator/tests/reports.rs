//! Tests of the reports of `check`, `diff`, `show` and `bill`.

mod fake;

use billing::ledger::{Checkpoint, Horizon};
use billing::usage::{self, Entry, Record, Step, Target};
use entity::unit::{Cost, Tokens};
use entity::{Generation, Offset, Span, request};
use fake::{FakeLog, published, time_ms};
use googletest::prelude::*;
use operator::{bill, check, diff, show};

const ONE: &str = "[zone z1]\nregion = r\n";
const TWO: &str = "[zone z1]\nregion = r\nstate = out\n";
const TIME_LIMIT: Span = Span::from_secs(5);

#[gtest]
fn check_counts_entities_or_lists_findings() {
    expect_that!(
        check(ONE).to_string(),
        eq(
            "valid: 1 zones, 0 services, 0 versions, 0 upstreams, 0 organisations, 0 routes, 0 \
            roll-outs"
        )
    );
    expect_that!(
        check("[zone z1]\ncolour = red\n").to_string(),
        eq(
            "line 1, [zone z1], region: the key is missing; the name of a region\nline 2, \
            [zone z1], colour: unknown key; the keys of this section are region, state"
        )
    );
}

#[gtest]
fn diff_compares_entities() -> Result<()> {
    let before = config::parse("[zone a]\nregion = r\n[zone b]\nregion = r\n")?;
    let after = config::parse("; moved\n[zone c]\nregion = r\n[zone a]\nregion = s\n")?;
    expect_that!(
        diff(&before, &after).to_string(),
        eq("~ [zone a]\n    region: r -> s\n- [zone b]\n+ [zone c]")
    );
    expect_that!(diff(&after, &after).to_string(), eq("no difference"));
    Ok(())
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn show_returns_the_text_and_the_history() -> Result<()> {
    let text = format!("; generation 7\n{ONE}");
    let records = vec![
        published(0, "ada", &text),
        published(0, "bob", TWO),
        published(1, "cid", "[zone]"),
    ];
    let report = show(&FakeLog::new(1, records), TIME_LIMIT).await?;
    expect_that!(report.generation, eq(Generation(1)));
    expect_that!(&*report.text, eq(format!("; generation 1\n{ONE}")));
    expect_that!(
        report.to_string(),
        eq("; 1 by ada at 1001000 ms: accepted\n\
            ; 2 by bob at 1002000 ms: rejected: edited from 0 while 1 by ada was in force\n\
            ; 3 by cid at 1003000 ms: rejected: 1 findings\n\
            ; in force: generation 1 by ada\n\
            ; generation 1\n[zone z1]\nregion = r")
    );
    Ok(())
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn show_handles_empty_and_expired_streams() -> Result<()> {
    let report = show(&FakeLog::new(1, Vec::new()), TIME_LIMIT).await?;
    expect_that!(report.to_string(), eq("; nothing is in force"));
    let lost = show(&FakeLog::new(5, Vec::new()), TIME_LIMIT).await;
    expect_that!(lost, err(anything()));
    Ok(())
}

fn name<T: std::str::FromStr<Err: std::fmt::Debug>>(text: &str) -> T {
    text.parse().expect("a valid name")
}

fn record(number: u128) -> Entry {
    Entry::Request(Record {
        request: request::Id(u128::from(time_ms(0)) << 80 | number),
        organisation: name("wadi-clinics"),
        service: name("advisory"),
        target: Target::Version(name("small/1")),
        steps: vec![Step {
            target: Target::Version(name("small/1")),
            upstream: name("u1"),
            tokens_in: Tokens(100),
            tokens_out: Tokens(10),
            cost: Cost(250_000),
        }],
        lender: None,
    })
}

fn billing(checkpoint: Checkpoint) -> bill::Request {
    bill::Request {
        checkpoint,
        horizon: Horizon(Span::from_secs(60)),
        skew: Span::from_secs(1),
        time_limit: TIME_LIMIT,
    }
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn bill_counts_each_request_once() -> Result<()> {
    let records = vec![
        usage::encode(&[record(1), record(2)]),
        usage::encode(&[record(2)]),
        b"garbage".to_vec(),
    ];
    let report = bill(&FakeLog::new(1, records), &billing(Checkpoint::default())).await?;
    expect_that!(
        report.to_string(),
        eq(
            "wadi-clinics: 0.5cr, 2 requests, 200tok in, 20tok out; reserve: 0 ms used, 0 ms lent, \
            0 ms idle; 0 requests borrowed, 0 lent\nthrough record 3; 1 records hold no usage"
        )
    );
    let again = bill(
        &FakeLog::new(1, Vec::new()),
        &billing(Checkpoint::default()),
    )
    .await?;
    expect_that!(again.to_string(), eq("through record 0"));
    Ok(())
}

#[gtest]
#[tokio::test(start_paused = true)]
async fn bill_reports_expired_records() -> Result<()> {
    let checkpoint = Checkpoint {
        through: Offset(3),
        ..Checkpoint::default()
    };
    let log = FakeLog::new(7, vec![usage::encode(&[record(1)])]);
    let report = bill(&log, &billing(checkpoint)).await?;
    expect_that!(report.missed, eq(3));
    expect_false!(report.exact);
    Ok(())
}
