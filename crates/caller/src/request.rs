//! What callers ask.

use bytes::Bytes;
use entity::unit::Tokens;
use entity::{Span, name, request};
use hyper::Method;
use hyper::header::HeaderValue;
use serde_json::{Map, Value};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// One request of a caller.
#[derive(Clone, Debug)]
pub struct Request {
    /// The id that the system gave it.
    pub id: request::Id,
    /// When its head was read.
    pub arrival: Instant,
    /// The bearer key.
    pub bearer: Option<Box<str>>,
    /// The session that it belongs to.
    pub session: Session,
    /// Set where the caller forbids a repeat.
    pub idempotency: Option<Idempotency>,
    /// How long the caller waits, where it says so.
    pub timeout: Option<Span>,
    /// Whether somebody waits on the line.
    pub live: bool,
    /// What is asked.
    pub target: Target,
    /// Cancelled when the caller has gone.
    pub gone: CancellationToken,
}

/// The session that a request belongs to.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Session {
    /// The caller's name for it.
    pub id: Option<Box<str>>,
    /// The token of an earlier answer.
    pub token: Option<Box<str>>,
}

/// What a caller says of a request that must not be repeated.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Idempotency {
    /// The caller's key.
    pub key: Box<str>,
    /// When the key was made, in milliseconds since the Unix epoch, if that is known.
    pub created_ms: Option<u64>,
    /// Which sending of the key this is, as the caller counts them from 1; 0 if it does not.
    pub sending: u32,
}

/// What is asked.
#[derive(Clone, Debug)]
pub enum Target {
    /// The list of services that the organisation may use.
    Models,
    /// A chat completion.
    Chat(Chat),
    /// A call of a plain service.
    Plain(Plain),
}

/// A chat completion.
#[derive(Clone, Debug)]
pub struct Chat {
    /// The service, which callers give as the model.
    pub service: name::Service,
    /// The JSON body.
    pub body: Map<String, Value>,
    /// Whether the answer is to be streamed.
    pub stream: bool,
    /// Whether the caller wants the event that reports usage.
    pub usage: bool,
    /// Hash of the first message, by which prompts that share a prefix are told.
    pub prefix: u64,
    /// Estimate of the prompt's tokens.
    pub prompt: Tokens,
}

/// A call of a plain service.
#[derive(Clone, Debug)]
pub struct Plain {
    /// The service.
    pub service: name::Service,
    /// The HTTP method.
    pub method: Method,
    /// Path and query below the service, with its leading `/`.
    pub path: Box<str>,
    /// The content type of the body.
    pub content_type: Option<HeaderValue>,
    /// The body.
    pub body: Bytes,
}
