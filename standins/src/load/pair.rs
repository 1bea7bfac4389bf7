//! Measures the latency that an instance adds, by sending the same request directly to an engine
//! and through the instance.
//!
//! The two requests of a pair are sent one after the other, and each comes first in half of the
//! pairs, so that other load on the machine affects both alike.

use super::bearer_key;
use super::report::{DurationHistogram, Percentiles};
use crate::client::{Client, Error};
use http_body_util::{BodyExt, Full};
use hyper::Request;
use serde::Serialize;
use serde_json::json;
use std::fmt;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::time::Instant;

/// Number of unmeasured pairs at the start, which open the connections.
const WARM_UP_PAIRS: u32 = 20;

/// Options of a measurement.
#[derive(Clone, Debug)]
pub struct Options {
    /// Address of the engine.
    pub engine: SocketAddr,
    /// Version that is requested from the engine.
    pub version: Box<str>,
    /// Address of the instance.
    pub instance: SocketAddr,
    /// Service that is requested from the instance.
    pub service: Box<str>,
    /// Organisation that sends the requests to the instance.
    pub organisation: Box<str>,
    /// Number of tokens that each request asks for.
    pub tokens: usize,
    /// Number of measured pairs.
    pub pairs: u32,
}

/// Reason why a measurement failed.
#[derive(Debug, thiserror::Error)]
pub enum Failure {
    /// A request got no complete reply.
    #[error("a request got no complete reply")]
    Reply(#[from] Error),
    /// A reply had an error status.
    #[error("the reply of {0} has status {1}")]
    Status(SocketAddr, u16),
}

/// Latencies without and with an instance.
#[derive(Clone, Debug, Serialize)]
pub struct Comparison {
    /// Latency of requests sent directly to the engine, in milliseconds.
    pub direct_ms: Percentiles,
    /// Latency of requests sent through the instance, in milliseconds.
    pub through_ms: Percentiles,
    /// Latency that the instance added to each pair, in milliseconds; differences below zero count
    /// as zero.
    pub added_ms: Percentiles,
}

/// Measures pairs of requests.
///
/// # Errors
///
/// Returns an error for the first request that got no answer.
pub async fn run(options: &Options) -> Result<Comparison, Failure> {
    let client = Client::default();
    let (mut direct, mut through, mut added) =
        <(DurationHistogram, DurationHistogram, DurationHistogram)>::default();
    for pair in 0..WARM_UP_PAIRS + options.pairs {
        let (direct_time, routed) = if pair % 2 == 0 {
            let direct_time = measure(&client, options, false, pair).await?;
            (direct_time, measure(&client, options, true, pair).await?)
        } else {
            let routed = measure(&client, options, true, pair).await?;
            (measure(&client, options, false, pair).await?, routed)
        };
        if pair < WARM_UP_PAIRS {
            continue;
        }
        direct.add(direct_time);
        through.add(routed);
        added.add(routed.saturating_sub(direct_time));
    }
    Ok(Comparison {
        direct_ms: direct.percentiles(),
        through_ms: through.percentiles(),
        added_ms: added.percentiles(),
    })
}

/// Sends one request and returns the time until the end of its answer.
async fn measure(
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
            format!("Bearer {}", bearer_key(&options.organisation)),
        )
        .body(Full::from(body.to_string()))
        .expect("the parts of the request are valid");
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
    /// Returns the median latency through the instance divided by the median latency directly to
    /// the engine.
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
