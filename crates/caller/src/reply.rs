//! What callers are told.

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

/// The answer to one request.
#[derive(Debug)]
pub enum Reply {
    /// A whole answer.
    Whole(Whole),
    /// An answer in server-sent events.
    Streamed(Streamed),
    /// No answer, and why.
    Refused(Refusal),
}

/// A whole answer.
#[derive(Clone, Debug)]
pub struct Whole {
    /// Its status.
    pub status: StatusCode,
    /// The content type of its body.
    pub content_type: Option<HeaderValue>,
    /// Further headers.
    pub headers: Vec<(HeaderName, HeaderValue)>,
    /// Its body.
    pub body: Bytes,
}

/// An answer in server-sent events.
#[derive(Debug)]
pub struct Streamed {
    /// Further headers.
    pub headers: Vec<(HeaderName, HeaderValue)>,
    /// The events; a channel that closes without [`Event::End`] breaks the connection off, so that
    /// the caller can't take what it has for a whole answer.
    pub events: mpsc::Receiver<Event>,
}

/// One event of a streamed answer.
#[derive(Clone, Debug)]
pub enum Event {
    /// The data of a server-sent event.
    Data(Bytes),
    /// The answer ended with an error, which is told in a last event.
    Failed(Refusal),
    /// The answer is whole.
    End,
}

/// A request that gets no answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{code} ({ran}): {message}")]
pub struct Refusal {
    /// The HTTP status.
    pub status: StatusCode,
    /// A stable code for programs.
    pub code: &'static str,
    /// Whether the request can have run.
    pub ran: Ran,
    /// A text for people.
    pub message: Cow<'static, str>,
    /// When to come back, where waiting helps.
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
struct Wire<'a> {
    error: WireError<'a>,
}

impl Refusal {
    /// A refusal of a request that certainly did not run.
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

    /// A refusal of a request that may have run.
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

    /// The same for a call that was refused before its idempotency key was looked up: unless the
    /// caller states that it never sent the key before, an earlier sending may have run.
    pub fn unclaimed(mut self, idempotency: Option<&Idempotency>) -> Self {
        if idempotency.is_some_and(|idempotency| idempotency.sending != 1) {
            self.ran = Ran::Maybe;
        }
        self
    }

    /// The same with a time to come back.
    pub fn after(mut self, span: Span) -> Self {
        self.retry_after = Some(span);
        self
    }

    /// The JSON that callers get.
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
        serde_json::to_vec(&Wire { error })
            .unwrap_or_default()
            .into()
    }
}

fn id_header(id: request::Id) -> HeaderValue {
    HeaderValue::from_str(&id.to_string()).expect("hexadecimal digits are a header value")
}

/// Whole seconds to wait, at least one.
fn seconds(span: Span) -> u64 {
    span.as_micros().div_ceil(1_000_000).max(1)
}

impl Reply {
    /// The HTTP response of a reply.
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
        let mut response = Response::new(body::whole(self.body));
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
        let mut response = Response::new(body::events(self.events, id));
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
        let mut response = Response::new(body::whole(self.json(id)));
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
