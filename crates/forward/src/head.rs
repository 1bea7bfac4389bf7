//! What the head of a request says.

use bytes::Bytes;
use entity::Span;
use hyper::Method;
use hyper::header::HeaderMap;

/// The model that a caller asks for.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Model {
    /// The router picks one of the route's models.
    Any,
    /// This one.
    Named(Box<str>),
}

/// One part of a prompt, which other requests may share.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// Identifies the part's text.
    pub id: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// How large a generation is.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Size {
    /// Tokens of the prompt.
    pub prompt: u32,
    /// The most tokens that may be generated.
    pub output: u32,
}

/// The head of one request.
#[derive(Clone, Debug)]
pub struct Head {
    /// The id that the caller gave this attempt.
    pub id: Box<str>,
    /// The HTTP method.
    pub method: Method,
    /// The host that was asked for, without a port.
    pub host: Box<str>,
    /// Path and query, as sent.
    pub target: Box<str>,
    /// The caller's bearer key.
    pub bearer: Option<Box<str>>,
    /// How long the caller will wait.
    pub patience: Option<Span>,
    /// The model that the caller asks for.
    pub model: Option<Model>,
    /// How large the generation is.
    pub size: Option<Size>,
    /// The parts of the prompt in order; the last one is the request's or its session's own.
    pub parts: Vec<Part>,
    /// The session that the request belongs to.
    pub session: Option<Box<str>>,
    /// The last event that the caller has of a stream that it resumes.
    pub last_event: Option<u64>,
    /// Headers to pass on as they are.
    pub passed: HeaderMap,
}

impl Head {
    /// The path, without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// The last part of the prompt that other requests share: the subject of the request.
    pub fn subject(&self) -> Option<Part> {
        let shared = self.parts.len().checked_sub(2)?;
        self.parts.get(shared).copied()
    }
}

/// A request whose body has arrived.
#[derive(Clone, Debug)]
pub struct Request {
    /// Its head.
    pub head: Head,
    /// Its body.
    pub body: Bytes,
}
