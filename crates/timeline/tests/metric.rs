//! Tests that metrics are sent to their address and accumulated.

use entity::Span;
use googletest::prelude::*;
use std::net::UdpSocket;
use std::time::Duration;
use timeline::{Counter, Metrics, Timer};

#[gtest]
fn counters_and_timers_are_sent_as_datagrams() {
    let server = UdpSocket::bind("127.0.0.1:0").unwrap();
    server
        .set_read_timeout(Some(Duration::from_secs(30)))
        .unwrap();
    let address = server.local_addr().unwrap();
    let metric = Metrics::open(&"entry-1".parse().unwrap(), Some(address)).unwrap();
    metric.count(Counter::Decisions);
    metric.time(Timer::Decision, Span::from_millis(3));
    let mut buffer = [0; 256];
    for expected in [
        "citrontrack.entry-1.decisions:1|c",
        "citrontrack.entry-1.decision:3|ms",
    ] {
        let size = server.recv(&mut buffer).unwrap();
        expect_that!(std::str::from_utf8(&buffer[..size]), ok(eq(expected)));
    }
}

#[gtest]
fn metrics_without_an_address_are_discarded() {
    let metric = Metrics::open(&"entry-1".parse().unwrap(), None).unwrap();
    metric.count(Counter::Decisions);
    metric.time(Timer::Decision, Span::ZERO);
}

#[gtest]
fn totals_are_encoded_as_text() {
    let metric = Metrics::open(&"entry-1".parse().unwrap(), None).unwrap();
    metric.count(Counter::NotRun);
    metric.count(Counter::NotRun);
    metric.time(Timer::FirstByte, Span::from_millis(30));
    metric.count_refusal("stale");
    metric.set_gauge("config_age_seconds", 1.5);
    metric.set_build("0.1.0", "0a1b2c");
    let text = metric.text().unwrap();
    expect_that!(
        text,
        contains_substring("citrontrack_refusals_not_run_total 2")
    );
    expect_that!(
        text,
        contains_substring("citrontrack_first_byte_seconds_bucket{le=\"0.05\"} 1")
    );
    expect_that!(
        text,
        contains_substring("citrontrack_refused_total{code=\"stale\"} 1")
    );
    expect_that!(
        text,
        contains_substring("citrontrack_build{commit=\"0a1b2c\",version=\"0.1.0\"} 1")
    );
    expect_that!(
        text,
        contains_substring("citrontrack_state{name=\"config_age_seconds\"} 1.5")
    );
}
