//! Tests of the instance list, the rating service and the weight store.

use googletest::prelude::*;
use hyper::Method;
use serde_json::{Value, json};
use standins::client::Client;
use standins::{instances, rating, weights};
use tokio_util::sync::CancellationToken;

#[gtest]
#[tokio::test]
async fn the_list_shows_changes_after_its_lag() {
    let list = instances::spawn(instances::Options::default(), &CancellationToken::new()).await;
    let (list, client) = (list.unwrap(), Client::default());
    let instance = json!({"zone": "amman-a", "region": "amman", "address": "127.0.0.1:9"});
    let put = client
        .call(Method::PUT, list.address, "/instances/entry-1", &instance)
        .await;
    expect_that!(put.unwrap().0, eq(200));
    let (_, listed) = client.get(list.address, "/instances").await.unwrap();
    expect_that!(listed["version"], eq(&json!(1)));
    expect_that!(listed["instances"][0]["name"], eq(&json!("entry-1")));
    expect_that!(listed["instances"][0]["state"], eq(&json!("live")));
    client
        .post(list.address, "/faults", &json!({"lag_ms": 3_600_000}))
        .await
        .unwrap();
    let path = "/instances/entry-1";
    client
        .call(Method::DELETE, list.address, path, &Value::Null)
        .await
        .unwrap();
    let (_, listed) = client.get(list.address, "/instances").await.unwrap();
    expect_that!(listed["instances"], eq(&json!([])));
    client
        .post(list.address, "/faults", &json!({"lag_ms": 0}))
        .await
        .unwrap();
    let (_, listed) = client.get(list.address, "/instances").await.unwrap();
    expect_that!(listed["version"], eq(&json!(2)));
}

#[gtest]
#[tokio::test]
async fn the_rating_service_reads_the_quality_marker() {
    let rating = rating::spawn(rating::Options::default(), &CancellationToken::new()).await;
    let (rating, client) = (rating.unwrap(), Client::default());
    let faults = json!({"noise": 0.0, "delay_ms": 0, "bad": {"large/2": 0.1}});
    client
        .post(rating.address, "/faults", &faults)
        .await
        .unwrap();
    for (version, score) in [("large/1", 0.75), ("large/2", 0.1)] {
        let answer = json!({
            "request": "r", "service": "s", "version": version, "answer": "[q=0.75 re=0] text",
        });
        let (_, rated) = client
            .post(rating.address, "/ratings", &answer)
            .await
            .unwrap();
        expect_that!(rated["score"].as_f64(), some(near(score, 1e-9)));
    }
}

#[gtest]
#[tokio::test]
async fn the_weight_store_limits_its_rate() {
    let weights = weights::spawn(weights::Options::default(), &CancellationToken::new()).await;
    let (weights, client) = (weights.unwrap(), Client::default());
    let (status, body) = client
        .get(weights.address, "/weights/small/1")
        .await
        .unwrap();
    expect_that!(status, eq(200));
    expect_that!(body["bytes"].as_u64(), some(ge(1)));
    let (status, _) = client
        .get(weights.address, "/weights/small/1")
        .await
        .unwrap();
    expect_that!(status, eq(429));
}
