//! Parsed heads of callers' requests.

use bytes::Bytes;
use entity::Span;
use hyper::Method;
use hyper::header::HeaderMap;

/// Model that a caller requests.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Model {
    /// The router selects one of the route's models.
    Any,
    /// The caller names a model.
    Named(Box<str>),
}

/// One part of a prompt, which other requests may share as a prefix.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Part {
    /// Hash that identifies the text of the part.
    pub id: u64,
    /// Length of the part in tokens.
    pub tokens: u32,
}

/// Size of a generation, in tokens.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Size {
    /// Number of prompt tokens.
    pub prompt: u32,
    /// Maximum number of generated tokens.
    pub output: u32,
}

/// The parsed head of one request.
#[derive(Clone, Debug)]
pub struct Head {
    /// Request id that the caller gave this attempt.
    pub id: Box<str>,
    /// HTTP method.
    pub method: Method,
    /// Requested host, without the port.
    pub host: Box<str>,
    /// Path and query, as sent.
    pub target: Box<str>,
    /// Bearer key of the caller.
    pub bearer: Option<Box<str>>,
    /// Time for which the caller waits for the response.
    pub time_budget: Option<Span>,
    /// Model that the caller requests.
    pub model: Option<Model>,
    /// Size of the generation.
    pub size: Option<Size>,
    /// Estimated number of generated tokens, as the caller says.
    pub length_hint: Option<u32>,
    /// Parts of the prompt, in order. The last one belongs to this request or its session alone.
    pub parts: Vec<Part>,
    /// Session that the request belongs to.
    pub session: Option<Box<str>>,
    /// Id of the last event that the caller received, if it resumes a stream.
    pub last_event: Option<u64>,
    /// Headers that are forwarded unchanged.
    pub forwarded_headers: HeaderMap,
}

impl Head {
    /// Returns the path without the query.
    pub fn path(&self) -> &str {
        self.target.split('?').next().unwrap_or_default()
    }

    /// Returns the parts of the prompt that other requests can share: all but the last.
    pub fn shared_parts(&self) -> &[Part] {
        self.parts.split_last().map_or(&[], |(_, shared)| shared)
    }

    /// Returns the last part of the prompt that other requests can share, which is the one before
    /// the request's own part. Prefix affinity is keyed by it.
    pub fn last_shared_part(&self) -> Option<Part> {
        self.shared_parts().last().copied()
    }
}

/// A request whose body has been read completely.
#[derive(Clone, Debug)]
pub struct Request {
    /// Parsed head.
    pub head: Head,
    /// Complete body.
    pub body: Bytes,
}
