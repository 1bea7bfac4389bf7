//! Replies to callers.

use crate::body::{self, Body};
use crate::headers;
use crate::request::Idempotency;
use bytes::Bytes;
use entity::Span;
use entity::request::{self, Ran};
use hyper::header::{CONTENT_TYPE, HeaderName, HeaderValue, RETRY_AFTER};
use hyper::{Response, StatusCode, http};
use serde::Serialize;
use std::borrow::Cow;
use tokio::sync::mpsc;

/// Reply to a request.
#[derive(Debug)]
pub enum Reply {
    /// Complete answer.
    Whole(Whole),
    /// Answer streamed as server-sent events.
    Streamed(Streamed),
    /// Refusal, with its reason.
    Refused(Refusal),
}

/// Complete answer.
#[derive(Clone, Debug)]
pub struct Whole {
    /// HTTP status.
    pub status: StatusCode,
    /// Content type of the body.
    pub content_type: Option<HeaderValue>,
    /// Further headers.
    pub headers: Vec<(HeaderName, HeaderValue)>,
    /// Body of the answer.
    pub body: Bytes,
}

/// Answer streamed as server-sent events.
#[derive(Debug)]
pub struct Streamed {
    /// Further headers.
    pub headers: Vec<(HeaderName, HeaderValue)>,
    /// Events of the answer. If the channel closes without [`Event::End`], the connection is aborted,
    /// so that the caller can't mistake a partial answer for a complete one.
    pub events: mpsc::Receiver<Event>,
}

/// Event of a streamed answer.
#[derive(Clone, Debug)]
pub enum Event {
    /// Data of a server-sent event.
    Data(Bytes),
    /// The answer failed; the error is sent as the last event.
    Failed(Refusal),
    /// End of a complete answer.
    End,
}

/// Refusal of a request.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{code} ({ran}): {message}")]
pub struct Refusal {
    /// HTTP status.
    pub status: StatusCode,
    /// Stable machine-readable code.
    pub code: &'static str,
    /// Whether the request may have run.
    pub ran: Ran,
    /// Human-readable message.
    pub message: Cow<'static, str>,
    /// Time after which to retry, if a retry can succeed.
    pub retry_after: Option<Span>,
}

#[derive(Serialize)]
struct WireError<'a> {
    code: &'a str,
    run: Box<str>,
    message: &'a str,
    #[serde(rename = "type")]
    kind: &'a str,
    request: Box<str>,
}

#[derive(Serialize)]
struct ErrorBody<'a> {
    error: WireError<'a>,
}

impl Refusal {
    /// Creates a refusal of a request that did not run.
    pub fn not_run(
        status: StatusCode,
        code: &'static str,
        message: impl Into<Cow<'static, str>>,
    ) -> Self {
        Self {
            status,
            code,
            ran: Ran::No,
            message: message.into(),
            retry_after: None,
        }
    }

    /// Creates a refusal of a request that may have run.
    pub fn may_have_run(
        status: StatusCode,
        code: &'static str,
        message: impl Into<Cow<'static, str>>,
    ) -> Self {
        Self {
            status,
            code,
            ran: Ran::Maybe,
            message: message.into(),
            retry_after: None,
        }
    }

    /// Adapts a refusal that was made before the idempotency key was looked up. Unless the caller
    /// states that this is the key's first attempt, an earlier attempt may have run.
    pub fn before_claim(mut self, idempotency: Option<&Idempotency>) -> Self {
        if idempotency.is_some_and(|idempotency| idempotency.attempt_number != 1) {
            self.ran = Ran::Maybe;
        }
        self
    }

    /// Sets the time after which the caller may retry.
    pub fn with_retry_after(mut self, span: Span) -> Self {
        self.retry_after = Some(span);
        self
    }

    /// Encodes the refusal as the JSON error body sent to callers.
    pub fn json(&self, id: request::Id) -> Bytes {
        let error = WireError {
            code: self.code,
            run: self.ran.to_string().into(),
            message: &self.message,
            kind: if self.status.is_client_error() {
                "invalid_request_error"
            } else {
                "api_error"
            },
            request: id.to_string().into(),
        };
        serde_json::to_vec(&ErrorBody { error })
            .unwrap_or_default()
            .into()
    }
}

fn id_header(id: request::Id) -> HeaderValue {
    HeaderValue::from_str(&id.to_string()).expect("hexadecimal digits are a header value")
}

/// Rounds a span up to whole seconds, at least one.
fn seconds(span: Span) -> u64 {
    span.as_micros().div_ceil(1_000_000).max(1)
}

impl Reply {
    /// Converts the reply to an HTTP response.
    pub(crate) fn into_response(self, id: request::Id) -> Response<Body> {
        let mut response = match self {
            Self::Whole(whole) => whole.into_response(),
            Self::Streamed(streamed) => streamed.into_response(id),
            Self::Refused(refusal) => refusal.into_response(id),
        };
        response
            .headers_mut()
            .insert(headers::REQUEST_ID, id_header(id));
        response
    }
}

impl Whole {
    fn into_response(self) -> Response<Body> {
        let mut response = Response::new(body::full(self.body));
        *response.status_mut() = self.status;
        if let Some(content_type) = self.content_type {
            response.headers_mut().insert(CONTENT_TYPE, content_type);
        }
        response.headers_mut().extend(self.headers);
        response
    }
}

impl Streamed {
    fn into_response(self, id: request::Id) -> Response<Body> {
        let mut response = Response::new(body::event_stream(self.events, id));
        let content_type = HeaderValue::from_static("text/event-stream");
        response.headers_mut().insert(CONTENT_TYPE, content_type);
        let no_store = HeaderValue::from_static("no-store");
        response
            .headers_mut()
            .insert(http::header::CACHE_CONTROL, no_store);
        response.headers_mut().extend(self.headers);
        response
    }
}

impl Refusal {
    fn into_response(self, id: request::Id) -> Response<Body> {
        let mut response = Response::new(body::full(self.json(id)));
        *response.status_mut() = self.status;
        let content_type = HeaderValue::from_static("application/json");
        response.headers_mut().insert(CONTENT_TYPE, content_type);
        if let Some(span) = self.retry_after {
            response
                .headers_mut()
                .insert(RETRY_AFTER, HeaderValue::from(seconds(span)));
        }
        response
    }
}
