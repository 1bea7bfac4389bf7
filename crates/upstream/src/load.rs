//! Load reports of engines.

use crate::failure::{Failure, Reason};
use crate::pool::Pool;
use bytes::Bytes;
use entity::{Span, name};
use http_body_util::Full;
use hyper::{Request, StatusCode};
use serde::Deserialize;
use std::net::SocketAddr;

/// Load report of an engine; it may be out of date.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct Report {
    /// Time of the measurement, in milliseconds since the Unix epoch by the engine's clock.
    pub as_of_ms: u64,
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub queued: u32,
    /// Whether the engine is in cold start.
    pub cold: bool,
    /// Tokens generated per second, over all requests.
    #[serde(default)]
    pub tokens_per_s: f64,
    /// Versions that the engine has loaded.
    #[serde(default)]
    pub versions: Vec<name::Version>,
    /// Hashes of the prompt prefixes in the engine's prefix cache, 16 hexadecimal digits each.
    #[serde(default)]
    pub prefixes: Vec<Box<str>>,
}

impl Pool {
    /// Fetches the load report of an engine.
    ///
    /// # Errors
    ///
    /// Returns a failure unless a valid report arrives within `limit`.
    pub async fn load(&self, address: SocketAddr, limit: Span) -> Result<Report, Failure> {
        let request = Request::get(format!("http://{address}/load"))
            .body(Full::new(Bytes::new()))
            .map_err(|_| Failure::not_run(Reason::Malformed))?;
        let response = self.fetch(request, limit).await?;
        if response.status() != StatusCode::OK {
            return Err(Failure::may_have_run(Reason::Status(
                response.status().as_u16(),
            )));
        }
        let body = crate::pool::collect(response.into_body(), limit).await?;
        serde_json::from_slice(&body).map_err(|_| Failure::may_have_run(Reason::Malformed))
    }
}
