//! Typed requests of callers.

use bytes::Bytes;
use entity::unit::Tokens;
use entity::{Span, name, request};
use hyper::Method;
use hyper::header::HeaderValue;
use serde_json::{Map, Value};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Request of a caller.
#[derive(Clone, Debug)]
pub struct Request {
    /// Id assigned on arrival.
    pub id: request::Id,
    /// Time at which the head was read.
    pub arrival: Instant,
    /// API key from the `Authorization` header.
    pub bearer: Option<Box<str>>,
    /// Session that the request belongs to.
    pub session: Session,
    /// Idempotency key and its details, if the request must run at most once.
    pub idempotency: Option<Idempotency>,
    /// The caller's time budget, if given.
    pub timeout: Option<Span>,
    /// Whether a person waits for the answer.
    pub live: bool,
    /// Operation that is requested.
    pub target: Target,
    /// Cancelled when the caller disconnects.
    pub disconnected: CancellationToken,
}

/// Session that a request belongs to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Session {
    /// The caller's id for the session.
    pub id: Option<Box<str>>,
    /// Session token from an earlier answer.
    pub token: Option<Box<str>>,
}

/// Idempotency details of a request that must run at most once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Idempotency {
    /// The caller's idempotency key.
    pub key: Box<str>,
    /// Creation time of the key in milliseconds since the Unix epoch, if known.
    pub created_ms: Option<u64>,
    /// Attempt number of the key, counted by the caller from 1; 0 if the caller gives none.
    pub attempt_number: u32,
}

/// Operation that a request asks for.
#[derive(Clone, Debug)]
pub enum Target {
    /// List of the services that the organisation may use.
    Models,
    /// Chat completion.
    Chat(Chat),
    /// Call of a plain service.
    Plain(Plain),
}

/// Chat completion.
#[derive(Clone, Debug)]
pub struct Chat {
    /// Service, given by callers as the model.
    pub service: name::Service,
    /// JSON body of the request.
    pub body: Map<String, Value>,
    /// Whether the caller asks for a streamed answer.
    pub stream: bool,
    /// Whether the caller asks for the event that reports usage.
    pub usage: bool,
    /// Hash of the first message, which identifies prompts that share a prefix.
    pub prefix: u64,
    /// Estimated number of tokens in the prompt.
    pub prompt: Tokens,
}

/// Call of a plain service.
#[derive(Clone, Debug)]
pub struct Plain {
    /// Service to call.
    pub service: name::Service,
    /// HTTP method.
    pub method: Method,
    /// Path and query relative to the service, with a leading `/`.
    pub path: Box<str>,
    /// Content type of the body.
    pub content_type: Option<HeaderValue>,
    /// Request body.
    pub body: Bytes,
}
