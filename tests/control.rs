//! Configuration, roll-outs and retries over whole processes, under outages and races.

mod support;

use anyhow::{Context, Result, ensure};
use googletest::prelude::*;
use harness::{Http, Signal, System, key};
use serde_json::{Value, json};
use std::time::Duration;
use support::{edited, events, system};

/// Requests that go out at once.
const PARALLEL: usize = 8;

/// Sends chats at all instances in turn, and counts the versions that answered.
async fn ask_many(system: &System, organisation: &str, count: usize) -> Result<Vec<(String, u64)>> {
    let callers: Vec<_> = system
        .instances
        .iter()
        .map(|instance| instance.caller)
        .collect();
    let mut versions: Vec<(String, u64)> = Vec::new();
    for first in (0..count).step_by(PARALLEL) {
        let mut asked = tokio::task::JoinSet::new();
        for number in first..(first + PARALLEL).min(count) {
            let caller = callers[number % callers.len()];
            let http = Http::new(&key(organisation));
            asked.spawn(async move {
                http.chat(caller, "advice", false, &[], "Renew at what rate?")
                    .await
            });
        }
        while let Some(answer) = asked.join_next().await {
            let answer = answer??;
            ensure!(answer.status.as_u16() == 200, "{}", answer.text());
            let version = answer.json()["model"]
                .as_str()
                .unwrap_or_default()
                .to_owned();
            match versions.binary_search_by(|(known, _)| known.cmp(&version)) {
                Ok(index) => versions[index].1 += 1,
                Err(index) => versions.insert(index, (version, 1)),
            }
        }
    }
    Ok(versions)
}

fn answers_of(versions: &[(String, u64)], version: &str) -> u64 {
    versions
        .iter()
        .find(|(known, _)| known == version)
        .map_or(0, |(_, count)| *count)
}

fn braked(status: &Value) -> bool {
    status["rollouts"][0]["braked"] == true
}

async fn brakes_a_bad_version(test: &str, log_out: bool) -> Result<()> {
    let mut system = system(test, 3).await?;
    let text = system.text.replace("share = 10%", "share = 50%");
    system.publish(&text).await?;
    system
        .fault(
            &system.rating,
            &json!({ "bad": { "advice-large/4": 0.1 }, "delay_ms": 5 }),
        )
        .await?;
    if log_out {
        system.fault(&system.log, &json!({ "down": true })).await?;
    }
    let mut exposed = 0;
    for _ in 0..10 {
        let versions = ask_many(&system, "vermeulen-gent", 24).await?;
        exposed += answers_of(&versions, "advice-large/4");
        if braked(&system.status(0).await?) {
            break;
        }
    }
    for instance in 0..3 {
        system
            .wait_for(instance, "the roll-out to be braked", braked)
            .await?;
    }
    expect_that!(exposed, gt(0));
    // A braked version receives no new work at any instance.
    let after = ask_many(&system, "vermeulen-gent", 48).await?;
    expect_that!(answers_of(&after, "advice-large/4"), eq(0));
    let judged = events(&system, "judged")?;
    expect_that!(judged.len(), ge(1), "the brake is on the time line");
    expect_that!(judged[0].to_string(), contains_substring("evidence"));
    // Only an operator's text undoes it.
    system.fault(&system.log, &json!({ "down": false })).await?;
    system.fault(&system.rating, &json!({ "bad": {} })).await?;
    let text = system.text.replace("share = 50%", "share = 40%");
    system.publish(&text).await?;
    for instance in 0..3 {
        system
            .wait_for(instance, "the brake to be lifted", |status| !braked(status))
            .await?;
    }
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_bad_version_is_braked_everywhere() -> Result<()> {
    brakes_a_bad_version("brake", false).await
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_bad_version_is_braked_everywhere_with_the_log_out() -> Result<()> {
    brakes_a_bad_version("brake-log-out", true).await
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn of_racing_operators_one_wins_and_the_others_are_told() -> Result<()> {
    let system = system("race", 2).await?;
    // Replies are lost too, so that the publishers have to settle what became of their texts.
    system
        .fault(&system.log, &json!({ "lose_replies": 0.5, "delay_ms": 50 }))
        .await?;
    let log = system.log.address.to_string();
    let base = system.generation().to_string();
    let mut accepted = Vec::new();
    let mut moved = 0;
    let texts: Vec<_> = (3..8)
        .map(|price| {
            let price = format!("0.0{price}5cr");
            (
                price.clone(),
                edited(&system, "[version advisory-small/1]", "0.02cr", &price),
            )
        })
        .collect();
    let runs = texts.iter().map(|(price, text)| {
        let arguments = [
            "publish", "--log", &log, "--author", price, "--base", &base, "--json",
        ];
        let system = &system;
        async move { system.command(&arguments, text).await }
    });
    for ((price, _), run) in texts.iter().zip(support::join_all(runs).await) {
        let (code, output) = run?;
        let report: Value = serde_json::from_str(&output).with_context(|| output.clone())?;
        match report["result"].as_str() {
            Some("accepted") => accepted.push((price.clone(), report["generation"].clone())),
            Some("moved") => moved += 1,
            _ => anyhow::bail!("{code}: {output}"),
        }
    }
    expect_that!(accepted.len(), eq(1), "{accepted:?}");
    expect_that!(moved, eq(4));
    system
        .fault(&system.log, &json!({ "lose_replies": 0.0, "delay_ms": 0 }))
        .await?;
    let (price, generation) = accepted.remove(0);
    for instance in 0..2 {
        let status = system
            .wait_for(instance, "the winner to be in force", |status| {
                status["generation"] == generation
            })
            .await?;
        expect_that!(status["author"].as_str(), some(eq(&*price)));
    }
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_fresh_instance_learns_from_fellows_or_serves_nothing_and_says_so() -> Result<()> {
    let mut system = system("fresh", 2).await?;
    system.fault(&system.log, &json!({ "down": true })).await?;
    let third = system.start_instance().await?;
    let generation = system.generation();
    let known = |status: &Value| status["generation"].as_u64() == Some(generation);
    system
        .wait_for(third, "the text to come from a fellow", known)
        .await?;
    // With its fellows frozen, the next one can reach neither the log nor a fellow.
    for fellow in 0..third + 1 {
        system.instances[fellow].process.signal(Signal::Stop)?;
    }
    let fourth = system.start_instance().await?;
    tokio::time::sleep(Duration::from_secs(2)).await;
    let http = Http::new(&key("wadi-clinics"));
    let caller = system.instances[fourth].caller;
    let refused = http.chat(caller, "advisory", false, &[], "?").await?;
    expect_that!(refused.code(), eq("no-configuration"), "{}", refused.text());
    expect_that!(refused.run(), eq("not-run"));
    expect_that!(refused.header("retry-after"), not(eq("")));
    let ready = http
        .send(hyper::Method::GET, caller, "/readyz", &[], "")
        .await?;
    expect_that!(ready.status.as_u16(), eq(503));
    for fellow in 0..third + 1 {
        system.instances[fellow].process.signal(Signal::Continue)?;
    }
    system
        .wait_for(fourth, "the text to come from a fellow", known)
        .await?;
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_short_outage_of_engines_is_no_retry_storm() -> Result<()> {
    let system = system("storm", 2).await?;
    let engines = ["advice-1", "advice-2"];
    for engine in engines {
        system
            .fault(system.upstream(engine), &json!({ "down": true }))
            .await?;
    }
    let mut asked = tokio::task::JoinSet::new();
    for number in 0..200 {
        let caller = system.instances[number % 2].caller;
        asked.spawn(async move {
            tokio::time::sleep(Duration::from_millis(5 * number as u64)).await;
            let http = Http::new(&key("vermeulen-gent"));
            http.chat(caller, "advice", false, &[("x-timeout-ms", "1500")], "?")
                .await
        });
    }
    let mut refused = 0;
    while let Some(answer) = asked.join_next().await {
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
    let sent = events(&system, "sent")?.len();
    // The budget: a tenth of the requests, with what two instances begin with.
    expect_that!(sent, le(200 + 20 + 2 * 5 + 2 * 3), "tries of 200 requests");
    for engine in engines {
        system
            .fault(system.upstream(engine), &json!({ "down": false }))
            .await?;
    }
    Ok(())
}

#[gtest]
#[tokio::test(flavor = "multi_thread")]
async fn a_session_keeps_its_version_through_edits_that_leave_it_alone() -> Result<()> {
    let mut system = system("edits", 2).await?;
    let callers: Vec<_> = system
        .instances
        .iter()
        .map(|instance| instance.caller)
        .collect();
    let http = Http::new(&key("vermeulen-namur"));
    let first = http
        .chat(callers[0], "advice", false, &[], "Renew at what rate?")
        .await?;
    let version = first.json()["model"].clone();
    let token = first.header("x-session-token").to_owned();
    let done = std::sync::Arc::new(std::sync::atomic::AtomicBool::new(false));
    let mut asking = tokio::task::JoinSet::new();
    for number in 0..PARALLEL {
        let (http, token, version, done) =
            (http.clone(), token.clone(), version.clone(), done.clone());
        let caller = callers[number % callers.len()];
        asking.spawn(async move {
            let mut asked = 0;
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
                asked += 1;
            }
            Ok(asked)
        });
    }
    for price in 10..40 {
        let from = system.text.clone();
        let line = from
            .lines()
            .find(|line| line.starts_with("price-in"))
            .context("a price")?;
        let text = from.replacen(line, &format!("price-in = 0.{price}cr"), 1);
        system.publish(&text).await?;
    }
    done.store(true, std::sync::atomic::Ordering::Relaxed);
    let mut asked = 0;
    while let Some(result) = asking.join_next().await {
        asked += result??;
    }
    expect_that!(asked, gt(PARALLEL));
    system.stop().await
}
