//! Tests of the log: offsets have no gaps, also under faults.

use googletest::prelude::*;
use serde_json::{Value, json};
use standins::client::Client;
use standins::log;
use std::net::SocketAddr;
use tokio_util::sync::CancellationToken;

const RECORDS: &str = "/streams/config/records";

async fn start() -> (standins::server::Handle, Client) {
    let log = log::spawn(log::Options::default(), &CancellationToken::new()).await;
    (log.expect("a free port"), Client::default())
}

async fn append(client: &Client, address: SocketAddr, data: &str) -> (u16, Value) {
    let reply = client.post(address, RECORDS, &data).await;
    reply.expect("a reply")
}

#[gtest]
#[tokio::test]
async fn appends_get_offsets_from_one_and_are_read_back() {
    let (log, client) = start().await;
    expect_that!(
        append(&client, log.address, "a").await,
        eq(&(200, json!({"offset": 1})))
    );
    expect_that!(
        append(&client, log.address, "b").await,
        eq(&(200, json!({"offset": 2})))
    );
    let (_, page) = client
        .get(log.address, "/streams/config/records?from=2&limit=5")
        .await
        .unwrap();
    expect_that!(page["first"], eq(&json!(1)));
    expect_that!(page["next"], eq(&json!(3)));
    expect_that!(page["records"][0]["offset"], eq(&json!(2)));
    expect_that!(page["records"][0]["data"], eq(&json!("ImIi")));
}

#[gtest]
#[tokio::test]
async fn an_append_takes_effect_although_its_reply_is_lost() {
    let (log, client) = start().await;
    let faults = json!({"lose_replies": 1.0});
    client.post(log.address, "/faults", &faults).await.unwrap();
    let reply = client.post(log.address, RECORDS, &"a").await;
    expect_that!(reply, err(anything()));
    let (_, page) = client.get(log.address, RECORDS).await.unwrap();
    expect_that!(page["next"], eq(&json!(2)));
}

#[gtest]
#[tokio::test]
async fn an_outage_refuses_calls_and_keeps_records() {
    let (log, client) = start().await;
    append(&client, log.address, "a").await;
    client
        .post(log.address, "/faults", &json!({"down": true}))
        .await
        .unwrap();
    expect_that!(append(&client, log.address, "b").await.0, eq(503));
    expect_that!(client.get(log.address, RECORDS).await.unwrap().0, eq(503));
    client
        .post(log.address, "/faults", &json!({"down": false}))
        .await
        .unwrap();
    let (_, page) = client.get(log.address, RECORDS).await.unwrap();
    expect_that!(page["next"], eq(&json!(2)));
}

#[gtest]
#[tokio::test]
async fn a_read_waits_for_the_next_record() {
    let (log, client) = start().await;
    let address = log.address;
    let reader = client.clone();
    let waiting = tokio::spawn(async move {
        let path = "/streams/config/records?from=1&limit=10&wait_ms=30000";
        reader.get(address, path).await.unwrap().1
    });
    append(&client, address, "a").await;
    expect_that!(
        waiting.await.unwrap()["records"][0]["offset"],
        eq(&json!(1))
    );
}

#[gtest]
#[tokio::test]
async fn appends_above_the_rate_limit_are_refused() {
    let (log, client) = start().await;
    client
        .post(log.address, "/faults", &json!({"rate_per_s": 1}))
        .await
        .unwrap();
    expect_that!(append(&client, log.address, "a").await.0, eq(200));
    expect_that!(append(&client, log.address, "b").await.0, eq(429));
}

#[gtest]
#[tokio::test]
async fn an_unknown_fault_switch_is_refused() {
    let (log, client) = start().await;
    let reply = client
        .post(log.address, "/faults", &json!({"dwon": true}))
        .await;
    expect_that!(reply.unwrap().0, eq(400));
}
