//! Latency that instances add: the same request straight to an engine and through an instance.
//!
//! The two requests of a pair follow one another, each first in half of the pairs, so that what
//! else the machine does falls on both alike.

use super::bearer;
use super::report::{Percentiles, Times};
use crate::client::{Client, Error};
use http_body_util::{BodyExt, Full};
use hyper::Request;
use serde::Serialize;
use serde_json::json;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Pairs before those that are measured, which open the connections.
const WARM_UP: u32 = 20;

/// Settings of a measurement.
#[derive(Clone, Debug)]
pub struct Options {
    /// The engine.
    pub engine: SocketAddr,
    /// The version that the engine is asked for.
    pub version: Box<str>,
    /// The instance.
    pub instance: SocketAddr,
    /// The service that the instance is asked for.
    pub service: Box<str>,
    /// The organisation that asks the instance.
    pub organisation: Box<str>,
    /// Tokens that are asked for.
    pub tokens: usize,
    /// Pairs that are measured.
    pub pairs: u32,
}

/// Why a measurement ended.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// A request got no whole reply.
    #[error("a request got no whole reply")]
    Reply(#[from] Error),
    /// A reply was no answer.
    #[error("the reply of {0} has the status {1}")]
    Status(SocketAddr, u16),
}

/// Latencies straight and through an instance.
#[derive(Clone, Debug, Serialize)]
pub struct Comparison {
    /// Straight to the engine, in milliseconds.
    pub direct_ms: Percentiles,
    /// Through the instance, in milliseconds.
    pub through_ms: Percentiles,
    /// What the instance added to a request, over the pairs, in milliseconds; never below zero.
    pub added_ms: Percentiles,
}

/// Measures pairs of requests.
///
/// # Errors
///
/// Returns the first request that got no answer.
pub async fn run(options: &Options) -> Result<Comparison, Failure> {
    let client = Client::default();
    let (mut direct, mut through, mut added) = <(Times, Times, Times)>::default();
    for pair in 0..WARM_UP + options.pairs {
        let (straight, routed) = if pair % 2 == 0 {
            let straight = one(&client, options, false, pair).await?;
            (straight, one(&client, options, true, pair).await?)
        } else {
            let routed = one(&client, options, true, pair).await?;
            (one(&client, options, false, pair).await?, routed)
        };
        if pair < WARM_UP {
            continue;
        }
        direct.add(straight);
        through.add(routed);
        added.add(routed.saturating_sub(straight));
    }
    Ok(Comparison {
        direct_ms: direct.percentiles(),
        through_ms: through.percentiles(),
        added_ms: added.percentiles(),
    })
}

/// The time of one request, to the end of its answer.
async fn one(
    client: &Client,
    options: &Options,
    routed: bool,
    pair: u32,
) -> Result<Duration, Failure> {
    let (address, model) = match routed {
        true => (options.instance, &options.service),
        false => (options.engine, &options.version),
    };
    let body = json!({
        "model": model,
        "max_tokens": options.tokens,
        "messages": [{"role": "user", "content": format!("pair {pair}")}],
    });
    let request = Request::builder()
        .method("POST")
        .uri(format!("http://{address}/v1/chat/completions"))
        .header("content-type", "application/json")
        .header("x-request-id", format!("{:031x}{}", pair, u8::from(routed)))
        .header(
            "authorization",
            format!("Bearer {}", bearer(&options.organisation)),
        )
        .body(Full::from(body.to_string()))
        .expect("the parts are valid");
    let begin = Instant::now();
    let reply = client.send(request).await?;
    let status = reply.status();
    reply.into_body().collect().await.map_err(Error::Body)?;
    if !status.is_success() {
        return Err(Failure::Status(address, status.as_u16()));
    }
    Ok(begin.elapsed())
}

impl Comparison {
    /// The median through the instance as a multiple of the median straight to the engine.
    pub fn ratio(&self) -> f64 {
        self.through_ms.p50 / self.direct_ms.p50
    }
}

impl fmt::Display for Comparison {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let rows = [
            ("direct", self.direct_ms),
            ("through", self.through_ms),
            ("added", self.added_ms),
        ];
        writeln!(
            f,
            "{:<8} {:>6} {:>8} {:>8} {:>8} {:>8}",
            "ms", "count", "p50", "p95", "p99", "max"
        )?;
        for (name, times) in rows {
            let Percentiles {
                count,
                p50,
                p95,
                p99,
                max,
            } = times;
            writeln!(
                f,
                "{name:<8} {count:>6} {p50:>8.3} {p95:>8.3} {p99:>8.3} {max:>8.3}"
            )?;
        }
        write!(f, "ratio of the medians: {:.3}", self.ratio())
    }
}
