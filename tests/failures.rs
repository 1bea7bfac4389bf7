//! Tests of failures of whole processes, caused by signals and by faults of the stand-ins.
//!
//! The stand-ins run in the test process, the instances as separate processes.

mod support;

use anyhow::{Context, Result, ensure};
use googletest::prelude::*;
use harness::{HttpClient, Response, Signal, System, bearer_key};
use hyper::Method;
use serde_json::{Value, json};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};
use support::{edit_section, start_system};

/// Longest wait for usage records, and limit on the duration of refusals.
const WAIT_TIMEOUT: Duration = Duration::from_secs(30);
/// Time between two polls.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

fn uuid(number: u64) -> String {
    let now = SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_millis();
    format!(
        "{:08x}-{:04x}-7000-8000-{number:012x}",
        now >> 16,
        now & 0xffff
    )
}

/// Sends the given attempt of a rollover with an idempotency key.
async fn rollover(
    system: &System,
    instance: usize,
    key_text: &str,
    attempt: u32,
) -> Result<Response> {
    let http = HttpClient::new(&bearer_key("vermeulen-gent"));
    let attempt = attempt.to_string();
    let headers = [
        ("idempotency-key", key_text),
        ("idempotency-attempt", &attempt),
    ];
    let path = "/services/deposits/rollovers";
    let caller = system.instances[instance].caller;
    http.send(Method::POST, caller, path, &headers, r#"{"file":7}"#)
        .await
}

/// Returns the number of times the service ran the call with an idempotency key.
async fn runs(system: &System, key_text: &str) -> Result<u64> {
    let calls = system
        .read_json(system.upstream("deposits-1"), "/calls")
        .await?;
    let calls = calls.as_array().context("the calls are not a list")?;
    let of_key = calls.iter().filter(|call| call["key"] == key_text);
    Ok(of_key.filter_map(|call| call["count"].as_u64()).sum())
}

/// Returns the sorted ids of the requests on the usage stream.
async fn billed_requests(system: &System) -> Result<Vec<String>> {
    let mut ids = Vec::new();
    for entry in system.stream_entries("usage").await? {
        if let Some(id) = entry["request"]["request"].as_str() {
            ids.push(id.to_owned());
        }
    }
    ids.sort();
    Ok(ids)
}

async fn wait_until_billed(system: &System, ids: &[String]) -> Result<Vec<String>> {
    let end = Instant::now() + WAIT_TIMEOUT;
    loop {
        let billed_requests = billed_requests(system).await?;
        if ids
            .iter()
            .all(|id| billed_requests.binary_search(id).is_ok())
        {
            return Ok(billed_requests);
        }
        ensure!(
            Instant::now() < end,
            "timed out waiting for {ids:?} to be billed: {billed_requests:?}"
        );
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_call_of_a_killed_holder_runs_at_most_once() -> Result<()> {
    let system = start_system("killed-holder", 2).await?;
    let deposits = system.upstream("deposits-1");
    system
        .set_faults(deposits, &json!({ "delay_ms": 1500 }))
        .await?;
    let id = uuid(1);
    let call = rollover(&system, 0, &id, 1);
    let kill = async {
        tokio::time::sleep(Duration::from_millis(700)).await;
        system.instances[0].process.signal(Signal::Kill)
    };
    let (first, killed) = tokio::join!(call, kill);
    killed?;
    expect_that!(
        first,
        err(anything()),
        "the caller of a killed instance gets no answer"
    );
    system
        .set_faults(deposits, &json!({ "delay_ms": 0 }))
        .await?;
    for attempt in 2..5 {
        let repeat = rollover(&system, 1, &id, attempt).await?;
        expect_that!(repeat.status.as_u16(), eq(409), "{}", repeat.text());
        expect_that!(repeat.run(), eq("may-have-run"));
    }
    expect_that!(runs(&system, &id).await?, le(1));
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_resumed_holder_does_not_run_its_call_again() -> Result<()> {
    let system = start_system("frozen-holder", 2).await?;
    // The log answers slowly, so that the holder is frozen between its claim and its dispatch.
    system
        .set_faults(&system.log, &json!({ "delay_ms": 300 }))
        .await?;
    let id = uuid(2);
    let call = rollover(&system, 0, &id, 1);
    let freeze = async {
        tokio::time::sleep(Duration::from_millis(150)).await;
        system.instances[0].process.signal(Signal::Stop)?;
        tokio::time::sleep(Duration::from_millis(800)).await;
        system
            .set_faults(&system.log, &json!({ "delay_ms": 0 }))
            .await?;
        let repeat = rollover(&system, 1, &id, 2).await?;
        tokio::time::sleep(Duration::from_millis(1500)).await;
        system.instances[0].process.signal(Signal::Continue)?;
        Ok::<_, anyhow::Error>(repeat)
    };
    let (first, repeat) = tokio::join!(call, freeze);
    let (first, repeat) = (first?, repeat?);
    let runs = runs(&system, &id).await?;
    expect_that!(runs, le(1), "{} / {}", first.text(), repeat.text());
    for response in [&first, &repeat] {
        if response.run() == "not-run" {
            expect_that!(
                runs,
                eq(0),
                "the call ran although it was refused as not-run"
            );
        }
    }
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_log_outage_refuses_only_keyed_calls() -> Result<()> {
    let system = start_system("log-outage", 3).await?;
    let done = rollover(&system, 0, &uuid(3), 1).await?;
    expect_that!(done.status.as_u16(), eq(200), "{}", done.text());
    system
        .set_faults(&system.log, &json!({ "down": true }))
        .await?;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let id = uuid(4);
    let start = Instant::now();
    let first = rollover(&system, 1, &id, 1).await?;
    expect_that!(first.run(), eq("not-run"), "{}", first.text());
    expect_that!(first.header("retry-after"), not(eq("")));
    let second = rollover(&system, 2, &id, 2).await?;
    expect_that!(second.run(), eq("may-have-run"), "{}", second.text());
    expect_that!(start.elapsed(), lt(WAIT_TIMEOUT));
    let mut answered = Vec::new();
    let http = HttpClient::new(&bearer_key("wadi-clinics"));
    for instance in [0, 1, 2] {
        for stream in [false, true] {
            let caller = system.instances[instance].caller;
            let answer = http
                .chat(caller, "advisory", stream, &[], "Is my tap safe?")
                .await?;
            expect_that!(answer.status.as_u16(), eq(200), "{}", answer.text());
            answered.push(answer.header("x-request-id").to_owned());
        }
    }
    expect_that!(runs(&system, &id).await?, eq(0));
    system
        .set_faults(&system.log, &json!({ "down": false }))
        .await?;
    let billed_requests = wait_until_billed(&system, &answered).await?;
    for id in &answered {
        let copies = billed_requests.iter().filter(|other| *other == id).count();
        expect_that!(copies, eq(1), "{id}");
    }
    system.stop().await
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn usage_of_an_instance_killed_in_a_log_outage_is_billed_once() -> Result<()> {
    let system = start_system("killed-in-outage", 3).await?;
    system
        .set_faults(&system.log, &json!({ "down": true }))
        .await?;
    tokio::time::sleep(Duration::from_secs(1)).await;
    let http = HttpClient::new(&bearer_key("vermeulen-gent"));
    let mut answered = Vec::new();
    for _ in 0..4 {
        let caller = system.instances[0].caller;
        let answer = http
            .chat(caller, "advice", false, &[], "Renew at what rate?")
            .await?;
        expect_that!(answer.status.as_u16(), eq(200), "{}", answer.text());
        answered.push(answer.header("x-request-id").to_owned());
    }
    system.instances[0].process.signal(Signal::Kill)?;
    system.remove_from_list("entry-1").await?;
    system
        .set_faults(&system.log, &json!({ "down": false }))
        .await?;
    wait_until_billed(&system, &answered).await?;
    // The fold drops copies of a record. Here each record has to be present, for the right
    // organisation.
    for entry in system.stream_entries("usage").await? {
        let record = &entry["request"];
        let id = record["request"].as_str().unwrap_or_default().to_owned();
        if answered.contains(&id) {
            expect_that!(record["organisation"].as_str(), some(eq("vermeulen-gent")));
        }
    }
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_graceful_shutdown_completes_open_streams() -> Result<()> {
    let mut system = start_system("shutdown", 2).await?;
    for engine in ["advisory-1", "advisory-2"] {
        system
            .set_faults(system.upstream(engine), &json!({ "token_ms": 100.0 }))
            .await?;
    }
    let caller = system.instances[0].caller;
    let mut streams = tokio::task::JoinSet::new();
    for _ in 0..4 {
        streams.spawn(async move {
            let http = HttpClient::new(&bearer_key("wadi-clinics"));
            http.chat(caller, "advisory", true, &[], "What is my advisory?")
                .await
        });
    }
    tokio::time::sleep(Duration::from_millis(600)).await;
    system.instances[0].process.signal(Signal::Terminate)?;
    let mut answered = Vec::new();
    while let Some(stream) = streams.join_next().await {
        let answer = stream??;
        expect_that!(answer.text(), ends_with("data: [DONE]\n\n"));
        answered.push(answer.header("x-request-id").to_owned());
    }
    let ended = system.instances[0].process.wait().await?;
    expect_that!(ended.code(), some(eq(0)));
    wait_until_billed(&system, &answered).await?;
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_withdrawn_version_gets_no_new_work_and_moves_its_sessions() -> Result<()> {
    let mut system = start_system("withdrawn", 2).await?;
    let http = HttpClient::new(&bearer_key("vermeulen-namur"));
    let ask = async |system: &System, instance: usize, token: &str| {
        let caller = system.instances[instance].caller;
        let mut headers = vec![("x-session-id", "file-1")];
        if !token.is_empty() {
            headers.push(("x-session-token", token));
        }
        http.chat(caller, "advice", false, &headers, "Renew at what rate?")
            .await
    };
    let first = ask(&system, 0, "").await?;
    let version = first.json()["model"]
        .as_str()
        .unwrap_or_default()
        .to_owned();
    let token = first.header("x-session-token").to_owned();
    for instance in [1, 0, 1] {
        let kept = ask(&system, instance, &token).await?;
        expect_that!(kept.json()["model"].as_str(), some(eq(&*version)));
        let by_id = ask(&system, instance, "").await?;
        expect_that!(by_id.json()["model"].as_str(), some(eq(&*version)));
    }
    let section = format!("[version {version}]");
    let text = edit_section(&system, &section, "price-in", "state = withdrawn\nprice-in");
    let text = if version == "advice-large/3" {
        // A rollout may not start from a withdrawn version.
        text.split("\n[rollout")
            .next()
            .unwrap_or_default()
            .to_owned()
    } else {
        text
    };
    system.publish(&text).await?;
    for instance in [0, 1] {
        let moved = ask(&system, instance, &token).await?;
        expect_that!(moved.status.as_u16(), eq(200), "{}", moved.text());
        expect_that!(moved.json()["model"].as_str(), some(not(eq(&*version))));
        expect_that!(moved.header("x-session-moved"), eq("true"));
    }
    system.stop().await
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_zone_out_of_service_and_a_leaving_upstream_get_no_new_work() -> Result<()> {
    let mut system = start_system("zone-out", 2).await?;
    let http = HttpClient::new(&bearer_key("wadi-clinics"));
    let text = edit_section(&system, "[zone amman-a]", "region", "state = out\nregion");
    system.publish(&text).await?;
    let before = system
        .read_json(system.upstream("advisory-1"), "/calls")
        .await?;
    for call in 0..10 {
        let caller = system.instances[call % 2].caller;
        let answer = http
            .chat(caller, "advisory", call % 3 == 0, &[], "Boil or not?")
            .await?;
        expect_that!(answer.status.as_u16(), eq(200), "{}", answer.text());
    }
    expect_that!(
        system
            .read_json(system.upstream("advisory-1"), "/calls")
            .await?,
        eq(&before)
    );
    let text = edit_section(
        &system,
        "[upstream advisory-2]",
        "zone",
        "state = leaving\nzone",
    );
    system.publish(&text).await?;
    let refused = http
        .chat(system.instances[0].caller, "advisory", false, &[], "?")
        .await?;
    expect_that!(refused.run(), eq("not-run"), "{}", refused.text());
    expect_that!(refused.header("retry-after"), not(eq("")));
    system.stop().await
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_answer_is_complete_and_for_its_own_request_or_an_error() -> Result<()> {
    let system = start_system("answers", 1).await?;
    for (engine, fault) in [("advisory-1", "wrong_id"), ("advisory-2", "end_early")] {
        system
            .set_faults(system.upstream(engine), &json!({ fault: 0.3 }))
            .await?;
    }
    let http = HttpClient::new(&bearer_key("wadi-clinics"));
    let caller = system.instances[0].caller;
    let (mut complete, mut refused) = (0, 0);
    for call in 0..30 {
        // A circuit breaker that opened after failures closes again between two calls.
        tokio::time::sleep(POLL_INTERVAL).await;
        let stream = call % 2 == 0;
        let Ok(answer) = http
            .chat(caller, "advisory", stream, &[], "Boil or not?")
            .await
        else {
            // The connection was closed because the stream was truncated after its first events.
            refused += 1;
            continue;
        };
        let id = answer.header("x-request-id").to_owned();
        if answer.status.as_u16() != 200 {
            expect_that!(answer.code(), not(eq("")), "{}", answer.text());
            refused += 1;
            continue;
        }
        let text = answer.text();
        for part in text.split("\"id\":\"chatcmpl-").skip(1) {
            expect_that!(part, starts_with(&*id), "another request's answer: {text}");
        }
        let ended = text.ends_with("data: [DONE]\n\n");
        expect_that!(ended || !stream, eq(true), "{text}");
        complete += 1;
    }
    expect_that!(complete, gt(0));
    expect_that!(complete + refused, eq(30));
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn an_isolated_instance_refuses_requests_as_not_run() -> Result<()> {
    let system = start_system("isolated", 3).await?;
    for other in [1, 2] {
        system.instances[other].process.signal(Signal::Stop)?;
    }
    system
        .set_faults(&system.log, &json!({ "down": true }))
        .await?;
    system
        .wait_for(0, "serving to stop", |status| status["serving"] == false)
        .await?;
    let http = HttpClient::new(&bearer_key("wadi-clinics"));
    let refused = http
        .chat(system.instances[0].caller, "advisory", false, &[], "?")
        .await?;
    expect_that!(refused.code(), eq("isolated"), "{}", refused.text());
    expect_that!(refused.run(), eq("not-run"));
    for other in [1, 2] {
        system.instances[other].process.signal(Signal::Continue)?;
    }
    system
        .wait_for(0, "serving to resume", |status| status["serving"] == true)
        .await?;
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_publication_accepted_before_a_log_outage_spreads_by_gossip() -> Result<()> {
    let mut system = start_system("spread", 3).await?;
    // Two instances are frozen while the third one reads the text; then the log goes down.
    for other in [1, 2] {
        system.instances[other].process.signal(Signal::Stop)?;
    }
    let text = edit_section(&system, "[version advisory-small/1]", "0.02cr", "0.03cr");
    let generation = system.append_text(&text).await?;
    let newer = |status: &Value| status["generation"].as_u64() >= Some(generation);
    system
        .wait_for(0, "the text to be in force at one instance", newer)
        .await?;
    system
        .set_faults(&system.log, &json!({ "down": true }))
        .await?;
    for other in [1, 2] {
        system.instances[other].process.signal(Signal::Continue)?;
    }
    for other in [1, 2] {
        system.wait_for(other, "the text to spread", newer).await?;
    }
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn instances_beyond_the_writer_limit_append_through_writers() -> Result<()> {
    // There are more instances than there are writers, which append to the log themselves.
    let system = start_system("writers", 18).await?;
    let mut answered = Vec::new();
    for instance in 0..18 {
        let id = uuid(100 + instance as u64);
        let done = rollover(&system, instance, &id, 1).await?;
        expect_that!(done.status.as_u16(), eq(200), "{}", done.text());
        answered.push(done.header("x-request-id").to_owned());
        let repeat = rollover(&system, (instance + 7) % 18, &id, 2).await?;
        expect_that!(
            repeat.header("idempotency-replayed"),
            eq("true"),
            "{}",
            repeat.text()
        );
        expect_that!(runs(&system, &id).await?, eq(1));
    }
    let billed_requests = wait_until_billed(&system, &answered).await?;
    for id in &answered {
        expect_that!(
            billed_requests.iter().filter(|other| *other == id).count(),
            ge(1)
        );
    }
    Ok(())
}
