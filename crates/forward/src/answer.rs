//! Response headers of an upstream that the router acts on.

use entity::Span;
use entity::unit::Frequency;

/// The fields of an upstream's response head that the router acts on.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Answer {
    /// Id of the request that this response answers.
    pub id: Option<Box<str>>,
    /// Whether the response carries the upstream's signature.
    pub signed: bool,
    /// Whether the upstream states that it did not run the request.
    pub not_run: bool,
    /// Whether the body has a content encoding. No upstream encodes a body by itself.
    pub encoded: bool,
    /// Confidence that the model reports for its answer, from 0 to 100.
    pub confidence: Option<u8>,
    /// Idle timeout of the connection, as the upstream states it.
    pub keep_alive: Option<Span>,
    /// Delay after which the upstream asks the client to retry.
    pub retry_after: Option<Span>,
    /// Whether the upstream says that it is leaving and wants no further requests.
    pub leaving: bool,
    /// Number of requests per second that the upstream takes of all instances together.
    pub limit: Option<Frequency>,
    /// Names of headers whose values can't be used as they are.
    pub malformed: Vec<&'static str>,
}
