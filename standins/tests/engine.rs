//! Tests of the engine behaviour that routing depends on: its queue, prefix cache, lagging load
//! reports and the skill of its versions.

use googletest::prelude::*;
use serde_json::{Value, json};
use standins::client::Client;
use standins::digest::digest;
use standins::engine::{self, Faults, Options, answer};
use standins::server::{Handle, unix_millis};
use std::net::SocketAddr;
use std::time::Duration;
use tokio_util::sync::CancellationToken;

const CHAT: &str = "/v1/chat/completions";
/// Interval between reads of a load report.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
/// Number of prompts, enough to sample all difficulties.
const PROMPT_COUNT: u32 = 200;

async fn start(options: Options) -> (Handle, Client) {
    let engine = engine::spawn(options, &CancellationToken::new()).await;
    (engine.expect("a free port"), Client::default())
}

fn prompt(text: &str, tokens: usize) -> Value {
    json!({
        "model": "small/1",
        "max_tokens": tokens,
        "messages": [{"role": "system", "content": text}, {"role": "user", "content": text}],
    })
}

/// Waits until a load report shows a value.
async fn wait_for_load(client: &Client, address: SocketAddr, key: &str, value: u64) {
    loop {
        let (_, load) = client.get(address, "/load").await.unwrap();
        if load[key] == json!(value) {
            return;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

async fn send(client: &Client, address: SocketAddr, priority: u16, text: &'static str) -> Box<str> {
    let request = hyper::Request::post(format!("http://{address}{CHAT}"))
        .header("x-priority", priority)
        .body(prompt(text, 3).to_string().into())
        .unwrap();
    let status = client.send(request).await.unwrap().status();
    assert_that!(status.as_u16(), eq(200));
    text.into()
}

fn one_slot() -> Options {
    Options {
        slots: 1,
        faults: Faults {
            lag_ms: 0,
            ..Faults::default()
        },
        ..Options::default()
    }
}

/// Occupies the only slot until the task is aborted.
async fn occupy(client: &Client, address: SocketAddr, stream: bool) -> tokio::task::JoinHandle<()> {
    let body = json!({"token_ms": 60_000});
    client.post(address, "/faults", &body).await.unwrap();
    let occupant = client.clone();
    let task = tokio::spawn(async move {
        let mut long = prompt("long", 3);
        long["stream"] = json!(stream);
        let _ = occupant.post(address, CHAT, &long).await;
    });
    wait_for_load(client, address, "running", 1).await;
    let body = json!({"token_ms": 0});
    client.post(address, "/faults", &body).await.unwrap();
    task
}

#[gtest]
#[tokio::test]
async fn the_most_urgent_request_runs_first_once_the_running_one_is_cancelled() {
    for stream in [false, true] {
        let (engine, client) = start(one_slot()).await;
        let address = engine.address;
        let occupant = occupy(&client, address, stream).await;
        let (done, mut order) = tokio::sync::mpsc::unbounded_channel();
        for (index, (priority, text)) in [(7, "later"), (0, "sooner")].into_iter().enumerate() {
            let (caller, done) = (client.clone(), done.clone());
            tokio::spawn(async move {
                let text = send(&caller, address, priority, text).await;
                done.send(text).unwrap();
            });
            wait_for_load(&client, address, "queued", index as u64 + 1).await;
        }
        occupant.abort();
        expect_that!(order.recv().await.as_deref(), some(eq("sooner")));
        expect_that!(order.recv().await.as_deref(), some(eq("later")));
    }
}

#[gtest]
#[tokio::test]
async fn a_full_queue_refuses_requests_without_executing_them() {
    let options = Options {
        queue: 0,
        ..one_slot()
    };
    let (engine, client) = start(options).await;
    let _occupant = occupy(&client, engine.address, false).await;
    let (status, _) = client
        .post(engine.address, CHAT, &prompt("more", 3))
        .await
        .unwrap();
    expect_that!(status, eq(503));
    let (_, calls) = client.get(engine.address, "/calls").await.unwrap();
    expect_that!(calls.as_array().map(Vec::len), some(eq(1)));
}

#[gtest]
#[tokio::test]
async fn the_least_recently_used_prefix_is_evicted() {
    let options = Options {
        cache_bytes: 10,
        ..one_slot()
    };
    let (engine, client) = start(options).await;
    for text in ["aaaa", "bbbb", "aaaa", "cccc"] {
        client
            .post(engine.address, CHAT, &prompt(text, 3))
            .await
            .unwrap();
    }
    let hash = |text| json!(format!("{:016x}", digest(text)));
    loop {
        let (_, load) = client.get(engine.address, "/load").await.unwrap();
        assert_that!(load["prefix_bytes"].as_u64(), some(le(10)));
        if load["prefixes"] == json!([hash("aaaa"), hash("cccc")]) {
            break;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
}

#[gtest]
#[tokio::test]
async fn a_load_report_lags() {
    let mut options = one_slot();
    options.faults.lag_ms = 5000;
    let (engine, client) = start(options).await;
    client
        .post(engine.address, "/faults", &json!({"token_ms": 60_000}))
        .await
        .unwrap();
    let (occupant, address) = (client.clone(), engine.address);
    let _task = tokio::spawn(async move { occupant.post(address, CHAT, &prompt("long", 3)).await });
    loop {
        let (_, calls) = client.get(address, "/calls").await.unwrap();
        if calls[0]["count"] == json!(1) {
            break;
        }
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    let (_, load) = client.get(address, "/load").await.unwrap();
    expect_that!(load["running"], eq(&json!(0)));
    client
        .post(address, "/faults", &json!({"lag_ms": 0}))
        .await
        .unwrap();
    wait_for_load(&client, address, "running", 1).await;
}

#[gtest]
#[tokio::test]
async fn a_request_for_an_unloaded_version_is_not_executed() {
    let (engine, client) = start(Options::default()).await;
    let order = json!({"fence": 1, "id": "a", "order": "unload", "version": "small/1"});
    client
        .post(engine.address, "/orders", &order)
        .await
        .unwrap();
    let (status, _) = client
        .post(engine.address, CHAT, &prompt("hello", 3))
        .await
        .unwrap();
    expect_that!(status, eq(503));
    let (_, calls) = client.get(engine.address, "/calls").await.unwrap();
    expect_that!(calls, eq(&json!([])));
}

#[gtest]
fn quality_increases_with_skill() {
    let mut means = Vec::new();
    for skill in [0.2, 0.6, 0.95] {
        let mut sum = 0.0;
        for number in 0..PROMPT_COUNT {
            let text = answer::words(&format!("prompt {number}"), skill, 3).concat();
            sum += answer::quality(&text).unwrap();
        }
        means.push(sum / f64::from(PROMPT_COUNT));
    }
    expect_that!(means[0], lt(means[1] - 0.05));
    expect_that!(means[1], lt(means[2] - 0.05));
}

#[gtest]
fn a_version_degrades_at_the_configured_time() {
    let faults = Faults {
        skill: [("large/2".into(), 0.95)].into(),
        bad: [("large/2".into(), 0.1)].into(),
        bad_at_ms: unix_millis(),
        ..Faults::default()
    };
    expect_that!(faults.skill_at("large/2", faults.bad_at_ms - 1), eq(0.95));
    expect_that!(faults.skill_at("large/2", faults.bad_at_ms), eq(0.1));
    expect_that!(
        faults.skill_at("large/1", faults.bad_at_ms),
        eq(answer::DEFAULT_SKILL)
    );
}
