//! Engines and plain services answer whole, and count what ran.

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

async fn switch(client: &Client, address: SocketAddr, faults: Value) {
    let (status, _) = client.post(address, "/faults", &faults).await.unwrap();
    assert_that!(status, eq(200));
}

async fn start_engine() -> (standins::server::Handle, Client) {
    let engine = engine::spawn(engine::Options::default(), &CancellationToken::new()).await;
    (engine.expect("a free port"), Client::default())
}

#[gtest]
#[tokio::test]
async fn an_engine_answers_whole_and_counts_the_run() {
    let (engine, client) = start_engine().await;
    let (status, body) = client
        .post(engine.address, CHAT, &prompt("hello", false))
        .await
        .unwrap();
    expect_that!(status, eq(200));
    let text = body["choices"][0]["message"]["content"].as_str().unwrap();
    expect_that!(answer::answers(text, "hello"), eq(true));
    expect_that!(answer::answers(text, "other"), eq(false));
    expect_that!(answer::quality(text), some(anything()));
    let (_, calls) = client.get(engine.address, "/calls").await.unwrap();
    expect_that!(calls[0]["count"], eq(&json!(1)));
    expect_that!(calls[0]["digest"], eq(&json!(answer::mark("hello"))));
}

#[gtest]
#[tokio::test]
async fn an_answer_that_is_cut_off_is_no_whole_reply() {
    let (engine, client) = start_engine().await;
    switch(&client, engine.address, json!({"end_early": 1.0})).await;
    for stream in [false, true] {
        let reply = client
            .post(engine.address, CHAT, &prompt("hello", stream))
            .await;
        expect_that!(reply, err(anything()));
    }
}

#[gtest]
#[tokio::test]
async fn a_crossed_answer_is_not_to_this_prompt() {
    let (engine, client) = start_engine().await;
    switch(&client, engine.address, json!({"wrong_id": 1.0})).await;
    let (_, body) = client
        .post(engine.address, CHAT, &prompt("hello", false))
        .await
        .unwrap();
    let text = body["choices"][0]["message"]["content"].as_str().unwrap();
    expect_that!(answer::answers(text, "hello"), eq(false));
}

#[gtest]
#[tokio::test]
async fn a_cold_engine_falls_over_above_its_limit() {
    let (engine, client) = start_engine().await;
    let faults = json!({"cold": true, "cold_limit": 0});
    switch(&client, engine.address, faults).await;
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
async fn a_refused_request_does_not_run() {
    let (engine, client) = start_engine().await;
    switch(&client, engine.address, json!({"refuse": 1.0})).await;
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
async fn an_old_fencing_number_is_refused() {
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
    switch(&client, plain.address, json!({"lose_replies": 1.0})).await;
    let reply = client.post(plain.address, "/rollovers", &json!({})).await;
    expect_that!(reply, err(anything()));
    switch(
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
