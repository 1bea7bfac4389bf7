//! Connection pool for engines and plain services.

use crate::failure::{Failure, Reason};
use bytes::Bytes;
use entity::Span;
use entity::request::{self, Ran};
use http_body_util::{BodyExt, Full, Limited};
use hyper::body::Incoming;
use hyper::header::{HeaderMap, HeaderName, RETRY_AFTER};
use hyper::{Request, Response, StatusCode};
use hyper_util::client::legacy::Client;
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::rt::TokioExecutor;
use std::time::Duration;

/// Longest time to establish a connection.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(500);
/// Time for which an idle connection is kept.
const IDLE_TIMEOUT: Duration = Duration::from_secs(20);
/// Idle connections kept for each upstream.
const MAX_IDLE_PER_UPSTREAM: usize = 16;
/// Largest answer that is not streamed.
const MAX_ANSWER_BYTES: usize = 16 << 20;

/// On requests and answers: the request id.
pub(crate) const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// On requests: the priority; 0 is the most urgent.
pub(crate) const PRIORITY: HeaderName = HeaderName::from_static("x-priority");
/// On requests: the remaining time budget, in milliseconds.
pub(crate) const TIMEOUT: HeaderName = HeaderName::from_static("x-timeout-ms");
/// On refusals: `true` if the request did not run.
const NOT_RUN: HeaderName = HeaderName::from_static("x-not-run");

/// Pool of connections to all upstreams.
#[derive(Clone, Debug)]
pub struct Pool {
    client: Client<HttpConnector, Full<Bytes>>,
}

impl Default for Pool {
    fn default() -> Self {
        Self::new()
    }
}

impl Pool {
    /// Creates a pool without connections.
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_TIMEOUT));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(IDLE_TIMEOUT)
            .pool_max_idle_per_host(MAX_IDLE_PER_UPSTREAM)
            // Each request is written to one connection only, because the router decides on retries.
            .retry_canceled_requests(false)
            .build(connector);
        Self { client }
    }

    /// Sends a request and returns the head of an answer that has the same id.
    pub(crate) async fn send(
        &self,
        id: request::Id,
        request: Request<Full<Bytes>>,
        limit: Span,
    ) -> Result<Response<Incoming>, Failure> {
        let response = self.fetch(request, limit).await?;
        if let Some(refusal) = refusal(response.status(), response.headers()) {
            return Err(refusal);
        }
        if !has_request_id(response.headers(), id) {
            return Err(Failure::may_have_run(Reason::WrongId));
        }
        Ok(response)
    }

    /// Sends a request and returns the head of the answer without checking it.
    pub(crate) async fn fetch(
        &self,
        request: Request<Full<Bytes>>,
        limit: Span,
    ) -> Result<Response<Incoming>, Failure> {
        let sent = tokio::time::timeout(limit.duration(), self.client.request(request)).await;
        let response = sent.map_err(|_| Failure::may_have_run(Reason::Timeout))?;
        response.map_err(|error| {
            if error.is_connect() {
                Failure::not_run(Reason::Connect)
            } else {
                Failure::may_have_run(Reason::ConnectionLost)
            }
        })
    }
}

/// Collects a complete body. hyper reports a body that ends before its length or its last chunk as an
/// error.
pub(crate) async fn collect(body: Incoming, limit: Span) -> Result<Bytes, Failure> {
    let body = Limited::new(body, MAX_ANSWER_BYTES);
    let collected = tokio::time::timeout(limit.duration(), body.collect()).await;
    let collected = collected.map_err(|_| Failure::may_have_run(Reason::Timeout))?;
    match collected {
        Ok(whole) => Ok(whole.to_bytes()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => {
            Err(Failure::may_have_run(Reason::Malformed))
        }
        Err(_) => Err(Failure::may_have_run(Reason::Truncated)),
    }
}

/// Returns whether an answer has the request's id.
fn has_request_id(headers: &HeaderMap, id: request::Id) -> bool {
    let value = headers
        .get(REQUEST_ID)
        .and_then(|value| value.to_str().ok());
    value.and_then(|text| text.parse().ok()) == Some(id)
}

/// Returns a failure if the answer is a refusal that states that the request did not run.
fn refusal(status: StatusCode, headers: &HeaderMap) -> Option<Failure> {
    let not_run = headers.get(NOT_RUN).is_some_and(|value| value == "true");
    if status != StatusCode::SERVICE_UNAVAILABLE || !not_run {
        return None;
    }
    let retry_after = headers
        .get(RETRY_AFTER)
        .and_then(|value| value.to_str().ok()?.parse().ok())
        .map(Span::from_secs);
    Some(Failure {
        reason: Reason::Refused,
        ran: Ran::No,
        retry_after,
    })
}
