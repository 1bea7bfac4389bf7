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

/// The caller's idempotency key, on requests.
const IDEMPOTENCY_KEY: HeaderName = HeaderName::from_static("idempotency-key");
/// The organisation, on requests.
const ORGANISATION: HeaderName = HeaderName::from_static("x-organisation");

/// One call of a plain service.
#[derive(Clone, Debug)]
pub struct Plain {
    /// The request's id.
    pub id: request::Id,
    /// Whose request it is.
    pub organisation: name::Organisation,
    /// The caller's idempotency key.
    pub key: Option<Box<str>>,
    /// The HTTP method.
    pub method: Method,
    /// Path and query below the service, with its leading `/`.
    pub path: Box<str>,
    /// The content type of the body.
    pub content_type: Option<HeaderValue>,
    /// The body.
    pub body: Bytes,
    /// When the caller stops waiting.
    pub deadline: Instant,
}

/// A whole answer of a plain service.
#[derive(Clone, Debug)]
pub struct Reply {
    /// Its HTTP status.
    pub status: u16,
    /// Its content type.
    pub content_type: Option<HeaderValue>,
    /// Its body.
    pub body: Bytes,
}

impl Pool {
    /// Runs a call of a plain service.
    ///
    /// # Errors
    ///
    /// There is no whole answer to this very request.
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
        let left = Span::from(plain.deadline.saturating_duration_since(Instant::now()));
        let body = pool::collect(response.into_body(), left).await?;
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
