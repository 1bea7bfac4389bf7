//! Load reports of engines.

use crate::failure::{Failure, Reason};
use crate::pool::Pool;
use bytes::Bytes;
use entity::{Span, name};
use http_body_util::Full;
use hyper::{Request, StatusCode};
use serde::Deserialize;
use std::net::SocketAddr;

/// What an engine says of its load; it was true some time ago.
#[derive(Clone, Debug, Default, PartialEq, Deserialize)]
pub struct Report {
    /// When it was true, in milliseconds since the Unix epoch by the engine's clock.
    pub as_of_ms: u64,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub queued: u32,
    /// Whether the engine is in cold start.
    pub cold: bool,
    /// Tokens that it generates in a second, over all requests.
    #[serde(default)]
    pub tokens_per_s: f64,
    /// Versions that it has loaded.
    #[serde(default)]
    pub versions: Vec<name::Version>,
    /// Hashes of prompt prefixes that it holds, 16 hexadecimal digits each.
    #[serde(default)]
    pub prefixes: Vec<Box<str>>,
}

impl Pool {
    /// Reads the load report of an engine.
    ///
    /// # Errors
    ///
    /// There is no report within the limit.
    pub async fn load(&self, address: SocketAddr, limit: Span) -> Result<Report, Failure> {
        let request = Request::get(format!("http://{address}/load"))
            .body(Full::new(Bytes::new()))
            .map_err(|_| Failure::not_run(Reason::Malformed))?;
        let response = self.fetch(request, limit).await?;
        if response.status() != StatusCode::OK {
            return Err(Failure::maybe(Reason::Status(response.status().as_u16())));
        }
        let body = crate::pool::collect(response.into_body(), limit).await?;
        serde_json::from_slice(&body).map_err(|_| Failure::maybe(Reason::Malformed))
    }
}
