//! Tests of engines and plain services: complete answers, faults, and counts of executed requests.

use googletest::prelude::*;
use serde_json::{Value, json};
use standins::client::Client;
use standins::engine::{self, answer};
use standins::plain;
use std::net::SocketAddr;
use tokio_util::sync::CancellationToken;

const CHAT: &str = "/v1/chat/completions";

fn prompt(text: &str, stream: bool) -> Value {
    json!({
        "model": "small/1",
        "stream": stream,
        "max_tokens": 5,
        "messages": [{"role": "user", "content": text}],
    })
}

async fn set_faults(client: &Client, address: SocketAddr, faults: Value) {
    let (status, _) = client.post(address, "/faults", &faults).await.unwrap();
    assert_that!(status, eq(200));
}

async fn start_engine() -> (standins::server::Handle, Client) {
    let engine = engine::spawn(engine::Options::default(), &CancellationToken::new()).await;
    (engine.expect("a free port"), Client::default())
}

#[gtest]
#[tokio::test]
async fn an_engine_returns_a_complete_answer_and_counts_the_execution() {
    let (engine, client) = start_engine().await;
    let (status, body) = client
        .post(engine.address, CHAT, &prompt("hello", false))
        .await
        .unwrap();
    expect_that!(status, eq(200));
    let text = body["choices"][0]["message"]["content"].as_str().unwrap();
    expect_that!(answer::is_answer_to(text, "hello"), eq(true));
    expect_that!(answer::is_answer_to(text, "other"), eq(false));
    expect_that!(answer::quality(text), some(anything()));
    let (_, calls) = client.get(engine.address, "/calls").await.unwrap();
    expect_that!(calls[0]["count"], eq(&json!(1)));
    expect_that!(calls[0]["digest"], eq(&json!(answer::prompt_hash("hello"))));
}

#[gtest]
#[tokio::test]
async fn a_truncated_answer_is_not_a_complete_reply() {
    let (engine, client) = start_engine().await;
    set_faults(&client, engine.address, json!({"end_early": 1.0})).await;
    for stream in [false, true] {
        let reply = client
            .post(engine.address, CHAT, &prompt("hello", stream))
            .await;
        expect_that!(reply, err(anything()));
    }
}

#[gtest]
#[tokio::test]
async fn an_answer_to_another_prompt_is_detected() {
    let (engine, client) = start_engine().await;
    set_faults(&client, engine.address, json!({"wrong_id": 1.0})).await;
    let (_, body) = client
        .post(engine.address, CHAT, &prompt("hello", false))
        .await
        .unwrap();
    let text = body["choices"][0]["message"]["content"].as_str().unwrap();
    expect_that!(answer::is_answer_to(text, "hello"), eq(false));
}

#[gtest]
#[tokio::test]
async fn a_cold_engine_crashes_above_its_limit() {
    let (engine, client) = start_engine().await;
    let faults = json!({"cold": true, "cold_limit": 0});
    set_faults(&client, engine.address, faults).await;
    let reply = client
        .post(engine.address, CHAT, &prompt("hello", false))
        .await;
    expect_that!(reply, err(anything()));
    let (_, falls) = client.get(engine.address, "/falls").await.unwrap();
    expect_that!(falls["falls"], eq(&json!(1)));
    expect_that!(client.get(engine.address, "/load").await, err(anything()));
}

#[gtest]
#[tokio::test]
async fn a_refused_request_is_not_executed() {
    let (engine, client) = start_engine().await;
    set_faults(&client, engine.address, json!({"refuse": 1.0})).await;
    let (status, _) = client
        .post(engine.address, CHAT, &prompt("hello", false))
        .await
        .unwrap();
    expect_that!(status, eq(503));
    let (_, calls) = client.get(engine.address, "/calls").await.unwrap();
    expect_that!(calls, eq(&json!([])));
}

#[gtest]
#[tokio::test]
async fn an_outdated_fencing_token_is_refused() {
    let (engine, client) = start_engine().await;
    let order = |fence: u64| json!({"fence": fence, "id": "a", "order": "load", "version": "x/1"});
    for (fence, status) in [(5, 200), (4, 409), (5, 200), (6, 200)] {
        let reply = client.post(engine.address, "/orders", &order(fence)).await;
        expect_that!(reply.unwrap().0, eq(status));
    }
}

#[gtest]
#[tokio::test]
async fn a_plain_service_counts_a_call_whose_answer_is_lost() {
    let plain = plain::spawn(plain::Options::default(), &CancellationToken::new()).await;
    let (plain, client) = (plain.unwrap(), Client::default());
    set_faults(&client, plain.address, json!({"lose_replies": 1.0})).await;
    let reply = client.post(plain.address, "/rollovers", &json!({})).await;
    expect_that!(reply, err(anything()));
    set_faults(
        &client,
        plain.address,
        json!({"lose_replies": 0.0, "refuse": 1.0}),
    )
    .await;
    let (status, _) = client
        .post(plain.address, "/rollovers", &json!({}))
        .await
        .unwrap();
    expect_that!(status, eq(503));
    let (_, calls) = client.get(plain.address, "/calls").await.unwrap();
    expect_that!(calls.as_array().unwrap().len(), eq(1));
    expect_that!(calls[0]["count"], eq(&json!(1)));
}
