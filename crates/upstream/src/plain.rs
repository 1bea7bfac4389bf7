//! Calls of plain services.

use crate::failure::Failure;
use crate::failure::Reason;
use crate::pool::{self, Pool, REQUEST_ID, TIMEOUT};
use bytes::Bytes;
use entity::{Span, name, request};
use http_body_util::Full;
use hyper::header::{CONTENT_TYPE, HeaderName, HeaderValue};
use hyper::{Method, Request};
use std::net::SocketAddr;
use tokio::time::Instant;

/// On requests: the caller's idempotency key.
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// On requests: the caller's organisation.
const ORGANISATION: HeaderName = HeaderName::from_static("x-organisation");

/// Call of a plain service.
#[derive(Clone, Debug)]
pub struct Plain {
    /// Request id.
    pub id: request::Id,
    /// Organisation of the caller.
    pub organisation: name::Organisation,
    /// The caller's idempotency key, if any.
    pub key: Option<Box<str>>,
    /// HTTP method.
    pub method: Method,
    /// Path and query relative to the service, with a leading `/`.
    pub path: Box<str>,
    /// Content type of the body.
    pub content_type: Option<HeaderValue>,
    /// Request body.
    pub body: Bytes,
    /// Request deadline.
    pub deadline: Instant,
}

/// Complete answer of a plain service.
#[derive(Clone, Debug)]
pub struct Reply {
    /// HTTP status.
    pub status: u16,
    /// Content type of the body.
    pub content_type: Option<HeaderValue>,
    /// Body of the answer.
    pub body: Bytes,
}

impl Pool {
    /// Runs a call of a plain service.
    ///
    /// # Errors
    ///
    /// Returns a failure unless the service sends a complete answer to this request.
    pub async fn call(&self, address: SocketAddr, plain: &Plain) -> Result<Reply, Failure> {
        let limit = Span::from(plain.deadline.saturating_duration_since(Instant::now()));
        if limit == Span::ZERO {
            return Err(Failure::not_run(Reason::Timeout));
        }
        let response = self
            .send(plain.id, request(address, plain, limit)?, limit)
            .await?;
        let status = response.status().as_u16();
        let content_type = response.headers().get(CONTENT_TYPE).cloned();
        let remaining = Span::from(plain.deadline.saturating_duration_since(Instant::now()));
        let body = pool::collect(response.into_body(), remaining).await?;
        Ok(Reply {
            status,
            content_type,
            body,
        })
    }
}

fn request(
    address: SocketAddr,
    plain: &Plain,
    limit: Span,
) -> Result<Request<Full<Bytes>>, Failure> {
    let mut builder = Request::builder()
        .method(plain.method.clone())
        .uri(format!("http://{address}{}", plain.path))
        .header(REQUEST_ID, plain.id.to_string())
        .header(ORGANISATION, plain.organisation.as_str())
        .header(TIMEOUT, limit.as_micros() / 1000);
    if let Some(key) = &plain.key {
        builder = builder.header(IDEMPOTENCY_KEY, &**key);
    }
    if let Some(content_type) = &plain.content_type {
        builder = builder.header(CONTENT_TYPE, content_type);
    }
    builder
        .body(Full::new(plain.body.clone()))
        .map_err(|_| Failure::not_run(Reason::Malformed))
}
