//! Tests that the checker finds each kind of violation in a history, and none in a valid one.

use googletest::prelude::*;
use serde_json::{Value, json};
use standins::check::{Call, History, Rule, Sources, Usage, gather, violations};
use standins::client::Client;
use standins::load::report::Exchange;
use standins::{log, plain};
use tokio_util::sync::CancellationToken;

fn exchange(attempts: &Value) -> Exchange {
    let exchange = json!({
        "class": "bookings", "organisation": "gent", "service": "deposits", "key": "k",
        "session": null, "path": "POST /rollovers", "digest": "d", "attempts": attempts,
    });
    serde_json::from_value(exchange).unwrap()
}

fn answered(request: &str, ran: &str) -> Value {
    let answer = json!({"outcome": "answered", "request": request, "ran": ran, "version": ""});
    answer
}

fn refused(request: &str, run: &str) -> Value {
    json!({"outcome": "refused", "request": request, "code": "full", "run": run})
}

fn call(request: &str, organisation: &str, count: u64) -> Call {
    Call {
        request: request.into(),
        key: "k".into(),
        organisation: organisation.into(),
        path: "POST /rollovers".into(),
        digest: "".into(),
        count,
    }
}

fn usage(request: &str, organisation: &str, text: &str) -> Usage {
    Usage {
        request: request.into(),
        organisation: organisation.into(),
        service: "deposits".into(),
        text: text.into(),
    }
}

fn violated_rules(attempts: &Value, calls: Vec<Call>, usage: Vec<Usage>) -> Vec<Rule> {
    let history = History {
        exchanges: vec![exchange(attempts)],
        calls,
        usage,
    };
    violations(&history)
        .iter()
        .map(|violation| violation.rule)
        .collect()
}

#[gtest]
fn a_valid_history_has_no_violation() {
    let first =
        json!([{"outcome": "lost", "request": "", "reason": "no reply"}, answered("2", "1")]);
    let copies = vec![usage("1", "gent", "a"), usage("1", "gent", "a")];
    expect_that!(
        violated_rules(&first, vec![call("1", "gent", 1)], copies),
        eq(&[])
    );
    let second = json!([refused("1", "not-run"), answered("2", "2")]);
    let billed = vec![usage("2", "gent", "a")];
    expect_that!(
        violated_rules(&second, vec![call("2", "gent", 1)], billed),
        eq(&[])
    );
    let third = json!([refused("1", "may-have-run")]);
    expect_that!(
        violated_rules(&third, vec![call("1", "gent", 1)], vec![]),
        eq(&[])
    );
}

#[gtest]
fn a_second_execution_is_found() {
    let attempts = json!([answered("1", "1")]);
    let billed = vec![usage("1", "gent", "a")];
    let twice = vec![call("1", "gent", 1), call("2", "gent", 1)];
    expect_that!(
        violated_rules(&attempts, twice, billed.clone()),
        eq(&[Rule::RanTwice])
    );
    let twice = vec![call("1", "gent", 2)];
    expect_that!(
        violated_rules(&attempts, twice, billed),
        eq(&[Rule::RanTwice])
    );
}

#[gtest]
fn an_execution_after_a_not_run_refusal_is_found() {
    let attempts = json!([refused("1", "not-run")]);
    let found = violated_rules(
        &attempts,
        vec![call("1", "gent", 1)],
        vec![usage("1", "gent", "a")],
    );
    expect_that!(
        found,
        eq(&[Rule::NotRunRan, Rule::NotRunRan, Rule::NotRunBilled])
    );
    let attempts = json!([refused("1", "not-run"), answered("2", "2")]);
    let calls = vec![call("1", "gent", 1)];
    let found = violated_rules(&attempts, calls, vec![usage("2", "gent", "a")]);
    expect_that!(found, eq(&[Rule::NotRunRan]));
}

#[gtest]
fn billing_violations_are_found() {
    let attempts = json!([answered("1", "1")]);
    let calls = || vec![call("1", "gent", 1)];
    expect_that!(
        violated_rules(&attempts, calls(), vec![]),
        eq(&[Rule::NotBilled])
    );
    let differing = vec![usage("1", "gent", "a"), usage("1", "gent", "b")];
    expect_that!(
        violated_rules(&attempts, calls(), differing),
        eq(&[Rule::BilledTwice])
    );
    let other = vec![usage("1", "namur", "a")];
    expect_that!(
        violated_rules(&attempts, calls(), other),
        eq(&[Rule::WrongOrganisation])
    );
    let attempts = json!([answered("1", "1"), answered("2", "1")]);
    let both = vec![usage("1", "gent", "a"), usage("2", "gent", "b")];
    expect_that!(
        violated_rules(&attempts, calls(), both),
        eq(&[Rule::BilledTwice])
    );
}

#[gtest]
fn executions_for_another_organisation_and_wrong_answers_are_found() {
    let attempts = json!([answered("1", "1")]);
    let billed = vec![usage("1", "gent", "a")];
    let found = violated_rules(&attempts, vec![call("1", "namur", 1)], billed);
    expect_that!(found, eq(&[Rule::WrongOrganisation]));
    let attempts = json!([{"outcome": "wrong", "request": "1", "reason": "another body"}]);
    expect_that!(
        violated_rules(&attempts, vec![], vec![]),
        eq(&[Rule::WrongAnswer])
    );
}

#[gtest]
#[tokio::test]
async fn a_history_is_gathered_from_stand_ins() {
    let cancel = CancellationToken::new();
    let plain = plain::spawn(plain::Options::default(), &cancel)
        .await
        .unwrap();
    let log = log::spawn(log::Options::default(), &cancel).await.unwrap();
    let client = Client::default();
    client
        .post(plain.address, "/rollovers", &json!({}))
        .await
        .unwrap();
    let batch = json!([
        {"request": {"request": "1", "organisation": "gent", "service": "deposits", "steps": []}},
        {"reserve": {"id": "2"}},
    ]);
    client
        .post(log.address, "/streams/usage/records", &batch)
        .await
        .unwrap();
    let report = serde_json::to_vec(&json!({"requests": [exchange(&json!([answered("1", "1")]))]}));
    let sources = Sources {
        upstreams: vec![plain.address],
        log: log.address,
    };
    let history = gather(&report.unwrap(), &sources).await.unwrap();
    expect_that!(history.exchanges.len(), eq(1));
    expect_that!(history.calls.len(), eq(1));
    expect_that!(history.usage.len(), eq(1));
    expect_that!(&*history.usage[0].organisation, eq("gent"));
}
