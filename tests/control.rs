//! Tests of configuration, rollouts, retries and sessions on whole processes, during outages and
//! races.

mod support;

use anyhow::{Context, Result, ensure};
use googletest::prelude::*;
use harness::{HttpClient, Signal, System, bearer_key};
use serde_json::{Value, json};
use std::time::Duration;
use support::{edit_section, read_events, start_system};

/// Number of requests that are sent concurrently.
const CONCURRENT_REQUESTS: usize = 8;

/// Sends chat requests to all instances in turn, and counts the answers of each version.
async fn count_versions(
    system: &System,
    organisation: &str,
    count: usize,
) -> Result<Vec<(String, u64)>> {
    let callers: Vec<_> = system
        .instances
        .iter()
        .map(|instance| instance.caller)
        .collect();
    let mut versions: Vec<(String, u64)> = Vec::new();
    for first in (0..count).step_by(CONCURRENT_REQUESTS) {
        let mut requests = tokio::task::JoinSet::new();
        for number in first..(first + CONCURRENT_REQUESTS).min(count) {
            let caller = callers[number % callers.len()];
            let http = HttpClient::new(&bearer_key(organisation));
            requests.spawn(async move {
                http.chat(caller, "advice", false, &[], "Renew at what rate?")
                    .await
            });
        }
        while let Some(answer) = requests.join_next().await {
            let answer = answer??;
            ensure!(answer.status.as_u16() == 200, "{}", answer.text());
            let version = answer.json()["model"]
                .as_str()
                .unwrap_or_default()
                .to_owned();
            match versions.binary_search_by(|(name, _)| name.cmp(&version)) {
                Ok(index) => versions[index].1 += 1,
                Err(index) => versions.insert(index, (version, 1)),
            }
        }
    }
    Ok(versions)
}

fn answer_count(versions: &[(String, u64)], version: &str) -> u64 {
    versions
        .iter()
        .find(|(name, _)| name == version)
        .map_or(0, |(_, count)| *count)
}

fn is_braked(status: &Value) -> bool {
    status["rollouts"][0]["braked"] == true
}

async fn check_bad_version_is_braked(test: &str, log_is_down: bool) -> Result<()> {
    let mut system = start_system(test, 3).await?;
    let text = system.text.replace("share = 10%", "share = 50%");
    system.publish(&text).await?;
    system
        .set_faults(
            &system.rating,
            &json!({ "bad": { "advice-large/4": 0.1 }, "delay_ms": 5 }),
        )
        .await?;
    if log_is_down {
        system
            .set_faults(&system.log, &json!({ "down": true }))
            .await?;
    }
    let mut exposed = 0;
    for _ in 0..10 {
        let versions = count_versions(&system, "vermeulen-gent", 24).await?;
        exposed += answer_count(&versions, "advice-large/4");
        if is_braked(&system.status(0).await?) {
            break;
        }
    }
    for instance in 0..3 {
        system
            .wait_for(instance, "the rollout to be braked", is_braked)
            .await?;
    }
    expect_that!(exposed, gt(0));
    // A braked version gets no new work at any instance.
    let after = count_versions(&system, "vermeulen-gent", 48).await?;
    expect_that!(answer_count(&after, "advice-large/4"), eq(0));
    let judged = read_events(&system, "judged")?;
    expect_that!(judged.len(), ge(1), "the brake is in the event log");
    expect_that!(judged[0].to_string(), contains_substring("evidence"));
    // Only a publication of an operator lifts the brake.
    system
        .set_faults(&system.log, &json!({ "down": false }))
        .await?;
    system
        .set_faults(&system.rating, &json!({ "bad": {} }))
        .await?;
    let text = system.text.replace("share = 50%", "share = 40%");
    system.publish(&text).await?;
    for instance in 0..3 {
        system
            .wait_for(instance, "the brake to lift", |status| !is_braked(status))
            .await?;
    }
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_bad_version_is_braked_everywhere() -> Result<()> {
    check_bad_version_is_braked("brake", false).await
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_bad_version_is_braked_everywhere_during_a_log_outage() -> Result<()> {
    check_bad_version_is_braked("brake-log-out", true).await
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn one_of_several_racing_publications_is_accepted_and_the_rest_rejected() -> Result<()> {
    let system = start_system("race", 2).await?;
    // Replies are lost too, so the publishers have to find out whether their texts were accepted.
    system
        .set_faults(&system.log, &json!({ "lose_replies": 0.5, "delay_ms": 50 }))
        .await?;
    let log = system.log.address.to_string();
    let base = system.generation().to_string();
    let mut accepted = Vec::new();
    let mut rejected = 0;
    let texts: Vec<_> = (3..8)
        .map(|price| {
            let price = format!("0.0{price}5cr");
            (
                price.clone(),
                edit_section(&system, "[version advisory-small/1]", "0.02cr", &price),
            )
        })
        .collect();
    let runs = texts.iter().map(|(price, text)| {
        let arguments = [
            "publish", "--log", &log, "--author", price, "--base", &base, "--json",
        ];
        let system = &system;
        async move { system.run_command(&arguments, text).await }
    });
    for ((price, _), run) in texts.iter().zip(support::join_all(runs).await) {
        let (code, output) = run?;
        let report: Value = serde_json::from_str(&output).with_context(|| output.clone())?;
        match report["result"].as_str() {
            Some("accepted") => accepted.push((price.clone(), report["generation"].clone())),
            Some("moved") => rejected += 1,
            _ => anyhow::bail!("{code}: {output}"),
        }
    }
    expect_that!(accepted.len(), eq(1), "{accepted:?}");
    expect_that!(rejected, eq(4));
    system
        .set_faults(&system.log, &json!({ "lose_replies": 0.0, "delay_ms": 0 }))
        .await?;
    let (price, generation) = accepted.remove(0);
    for instance in 0..2 {
        let status = system
            .wait_for(instance, "the text to be in force", |status| {
                status["generation"] == generation
            })
            .await?;
        expect_that!(status["author"].as_str(), some(eq(&*price)));
    }
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_new_instance_takes_its_configuration_from_peers_or_refuses_requests() -> Result<()> {
    let mut system = start_system("fresh", 2).await?;
    system
        .set_faults(&system.log, &json!({ "down": true }))
        .await?;
    let third = system.start_instance().await?;
    let generation = system.generation();
    let has_generation = |status: &Value| status["generation"].as_u64() == Some(generation);
    system
        .wait_for(
            third,
            "the configuration to arrive from a peer",
            has_generation,
        )
        .await?;
    // While all other instances are frozen, the next one reaches neither the log nor a peer.
    for peer in 0..third + 1 {
        system.instances[peer].process.signal(Signal::Stop)?;
    }
    let fourth = system.start_instance().await?;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let http = HttpClient::new(&bearer_key("wadi-clinics"));
    let caller = system.instances[fourth].caller;
    let refused = http.chat(caller, "advisory", false, &[], "?").await?;
    expect_that!(refused.code(), eq("no-configuration"), "{}", refused.text());
    expect_that!(refused.run(), eq("not-run"));
    expect_that!(refused.header("retry-after"), not(eq("")));
    let ready = http
        .send(hyper::Method::GET, caller, "/readyz", &[], "")
        .await?;
    expect_that!(ready.status.as_u16(), eq(503));
    for peer in 0..third + 1 {
        system.instances[peer].process.signal(Signal::Continue)?;
    }
    system
        .wait_for(
            fourth,
            "the configuration to arrive from a peer",
            has_generation,
        )
        .await?;
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn the_retry_budget_prevents_a_retry_storm_during_an_engine_outage() -> Result<()> {
    let system = start_system("storm", 2).await?;
    let engines = ["advice-1", "advice-2"];
    for engine in engines {
        system
            .set_faults(system.upstream(engine), &json!({ "down": true }))
            .await?;
    }
    let mut requests = tokio::task::JoinSet::new();
    for number in 0..200 {
        let caller = system.instances[number % 2].caller;
        requests.spawn(async move {
            tokio::time::sleep(Duration::from_millis(5 * number as u64)).await;
            let http = HttpClient::new(&bearer_key("vermeulen-gent"));
            http.chat(caller, "advice", false, &[("x-timeout-ms", "1500")], "?")
                .await
        });
    }
    let mut refused = 0;
    while let Some(answer) = requests.join_next().await {
        let answer = answer??;
        expect_that!(answer.status.as_u16(), ge(400));
        expect_that!(
            answer.header("retry-after"),
            not(eq("")),
            "{}",
            answer.text()
        );
        refused += 1;
    }
    expect_that!(refused, eq(200));
    let sent = read_events(&system, "sent")?.len();
    // The retry budget is a tenth of the requests plus the initial allowances of the 2 instances.
    expect_that!(sent, le(200 + 20 + 2 * 5 + 2 * 3), "tries of 200 requests");
    for engine in engines {
        system
            .set_faults(system.upstream(engine), &json!({ "down": false }))
            .await?;
    }
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_session_keeps_its_version_through_unrelated_edits() -> Result<()> {
    let mut system = start_system("edits", 2).await?;
    let callers: Vec<_> = system
        .instances
        .iter()
        .map(|instance| instance.caller)
        .collect();
    let http = HttpClient::new(&bearer_key("vermeulen-namur"));
    let first = http
        .chat(callers[0], "advice", false, &[], "Renew at what rate?")
        .await?;
    let version = first.json()["model"].clone();
    let token = first.header("x-session-token").to_owned();
    let done = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(false));
    let mut session_callers = tokio::task::JoinSet::new();
    for number in 0..CONCURRENT_REQUESTS {
        let (http, token, version, done) =
            (http.clone(), token.clone(), version.clone(), done.clone());
        let caller = callers[number % callers.len()];
        session_callers.spawn(async move {
            let mut requests = 0;
            while !done.load(std::sync::atomic::Ordering::Relaxed) {
                let headers = [("x-session-token", &*token)];
                let answer = http
                    .chat(caller, "advice", false, &headers, "And now?")
                    .await?;
                ensure!(answer.status.as_u16() == 200, "{}", answer.text());
                ensure!(answer.json()["model"] == version, "the session moved");
                ensure!(
                    answer.header("x-session-moved").is_empty(),
                    "the session moved"
                );
                requests += 1;
            }
            Ok(requests)
        });
    }
    for price in 10..40 {
        let from = system.text.clone();
        let line = from
            .lines()
            .find(|line| line.starts_with("price-in"))
            .context("the text has no price")?;
        let text = from.replacen(line, &format!("price-in = 0.{price}cr"), 1);
        system.publish(&text).await?;
    }
    done.store(true, std::sync::atomic::Ordering::Relaxed);
    let mut requests = 0;
    while let Some(result) = session_callers.join_next().await {
        requests += result??;
    }
    expect_that!(requests, gt(CONCURRENT_REQUESTS));
    system.stop().await
}
