//! Interface to the header conventions of a deployment.

use crate::answer::Answer;
use crate::head::Head;
use entity::Span;
use hyper::header::HeaderMap;
use hyper::http::request::Parts;

/// Reasons why a request head is rejected.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The request id is missing.
    #[error("the request has no id")]
    NoId,
    /// The host is missing or given twice.
    #[error("the request names no host, or more than one")]
    Host,
    /// The named header has a malformed value.
    #[error("{0} is malformed")]
    Malformed(&'static str),
    /// The length of the body is given in two ways.
    #[error("the length of the body is ambiguous")]
    Length,
}

/// Information that the router adds to a request for the upstream.
#[derive(Clone, Copy, Debug)]
pub struct Order<'a> {
    /// Incarnation of the upstream that has to run the request.
    pub incarnation: &'a str,
    /// Organisation that pays for the request; `None` on public routes.
    pub organisation: Option<&'a str>,
    /// Time for which the router waits for the response.
    pub time_budget: Option<Span>,
    /// Model that has to answer, if the router selected one.
    pub model: Option<&'a str>,
    /// Id of the last event received, after which the stream resumes.
    pub last_event: Option<u64>,
    /// Priority of the request; 0 is the most urgent.
    pub urgency: Option<u8>,
}

/// Reads and writes the headers of a deployment.
pub trait Dialect: Send + Sync + 'static {
    /// Parses the head of a caller's request.
    ///
    /// # Errors
    ///
    /// Fails if the request can't be forwarded.
    fn head(&self, parts: &Parts) -> Result<Head, Error>;

    /// Adds the router's own headers for the upstream to the forwarded ones.
    fn order(&self, order: &Order, headers: &mut HeaderMap);

    /// Parses the head of an upstream's response.
    fn answer(&self, headers: &HeaderMap) -> Answer;

    /// Adds the request id and the retry delay to a response that the router itself generates.
    fn write_own_headers(&self, id: &str, retry_after: Option<Span>, headers: &mut HeaderMap);
}
