//! Connections to upstreams.

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

/// Longest time to connect.
const CONNECT_LIMIT: Duration = Duration::from_millis(500);
/// How long an idle connection is kept.
const IDLE_LIMIT: Duration = Duration::from_secs(20);
/// Idle connections kept for each upstream.
const IDLE_COUNT: usize = 16;
/// Largest plain answer, in bytes.
const MAX_ANSWER: usize = 16 << 20;

/// The id of the request, on requests and answers.
pub(crate) const REQUEST_ID: HeaderName = HeaderName::from_static("x-request-id");
/// How urgent the request is; 0 is the most urgent.
pub(crate) const PRIORITY: HeaderName = HeaderName::from_static("x-priority");
/// How long the caller still waits, in milliseconds.
pub(crate) const TIMEOUT: HeaderName = HeaderName::from_static("x-timeout-ms");
/// Says on a refusal that the request did not run.
const NOT_RUN: HeaderName = HeaderName::from_static("x-not-run");

/// Connections to all upstreams.
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
    /// A pool without connections.
    pub fn new() -> Self {
        let mut connector = HttpConnector::new();
        connector.set_connect_timeout(Some(CONNECT_LIMIT));
        connector.set_nodelay(true);
        let client = Client::builder(TokioExecutor::new())
            .pool_idle_timeout(IDLE_LIMIT)
            .pool_max_idle_per_host(IDLE_COUNT)
            // Each request is written to one connection only: a repeat is the router's decision.
            .retry_canceled_requests(false)
            .build(connector);
        Self { client }
    }

    /// Sends a request and returns the head of an answer that bears the same id.
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
        if !bears(response.headers(), id) {
            return Err(Failure::maybe(Reason::WrongId));
        }
        Ok(response)
    }

    /// Sends a request and returns the head of whatever answer comes.
    pub(crate) async fn fetch(
        &self,
        request: Request<Full<Bytes>>,
        limit: Span,
    ) -> Result<Response<Incoming>, Failure> {
        let sent = tokio::time::timeout(limit.duration(), self.client.request(request)).await;
        let response = sent.map_err(|_| Failure::maybe(Reason::Timeout))?;
        response.map_err(|error| {
            if error.is_connect() {
                Failure::not_run(Reason::Connect)
            } else {
                Failure::maybe(Reason::Lost)
            }
        })
    }
}

/// Collects a body that is sure to be whole: hyper reports one that ends before its length or its
/// last chunk as an error.
pub(crate) async fn collect(body: Incoming, limit: Span) -> Result<Bytes, Failure> {
    let body = Limited::new(body, MAX_ANSWER);
    let collected = tokio::time::timeout(limit.duration(), body.collect()).await;
    let collected = collected.map_err(|_| Failure::maybe(Reason::Timeout))?;
    match collected {
        Ok(whole) => Ok(whole.to_bytes()),
        Err(error) if error.is::<http_body_util::LengthLimitError>() => {
            Err(Failure::maybe(Reason::Malformed))
        }
        Err(_) => Err(Failure::maybe(Reason::Early)),
    }
}

fn bears(headers: &HeaderMap, id: request::Id) -> bool {
    let value = headers
        .get(REQUEST_ID)
        .and_then(|value| value.to_str().ok());
    value.and_then(|text| text.parse().ok()) == Some(id)
}

/// The refusal that an answer is, if the upstream says that it did not run the request.
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
