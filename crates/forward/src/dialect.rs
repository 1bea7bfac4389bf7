//! The headers of a deployment's callers and upstreams.

use crate::answer::Answer;
use crate::head::Head;
use entity::Span;
use hyper::header::HeaderMap;
use hyper::http::request::Parts;

/// Why a head can't be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The id of the attempt is missing.
    #[error("the request has no id")]
    NoId,
    /// The host is missing or given twice.
    #[error("the request names no host, or more than one")]
    Host,
    /// A header has a value of another form.
    #[error("{0} is malformed")]
    Malformed(&'static str),
    /// The length of the body is given in two ways.
    #[error("the length of the body is ambiguous")]
    Length,
}

/// What the router tells an upstream with a request.
#[derive(Clone, Copy, Debug)]
pub struct Order<'a> {
    /// The incarnation of the upstream that has to run it.
    pub incarnation: &'a str,
    /// Who pays for it; none where the route is open to anybody.
    pub organisation: Option<&'a str>,
    /// How long the answer is waited for.
    pub patience: Option<Span>,
    /// The model that has to answer, where the router picked it.
    pub model: Option<&'a str>,
    /// The event after which a stream goes on.
    pub last_event: Option<u64>,
    /// How urgent it is; 0 is the most urgent.
    pub urgency: Option<u8>,
}

/// Reads and writes the headers of a deployment.
pub trait Dialect: Send + Sync + 'static {
    /// Reads the head of a caller's request.
    ///
    /// # Errors
    ///
    /// The request can't be passed on.
    fn head(&self, parts: &Parts) -> Result<Head, Error>;

    /// Adds to the headers that are passed on what the router tells the upstream.
    fn order(&self, order: &Order, headers: &mut HeaderMap);

    /// Reads the head of an upstream's answer.
    fn answer(&self, headers: &HeaderMap) -> Answer;

    /// Adds the id of the request to an answer of the router's own.
    fn own_answer(&self, id: &str, retry_after: Option<Span>, headers: &mut HeaderMap);
}
