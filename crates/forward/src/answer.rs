//! What the head of an upstream's answer says.

use entity::Span;

/// The head of an answer, as far as the router goes by it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Answer {
    /// The id of the request that it answers.
    pub id: Option<Box<str>>,
    /// Whether it bears the upstream's signature.
    pub signed: bool,
    /// Whether the upstream says that it did not run the request.
    pub not_run: bool,
    /// Whether the body is encoded, which no upstream does by itself.
    pub encoded: bool,
    /// The model's opinion of its answer, from 0 to 100.
    pub confidence: Option<u8>,
    /// How long the upstream keeps the connection when it is idle.
    pub keep_alive: Option<Span>,
    /// When the upstream asks to be tried again.
    pub retry_after: Option<Span>,
}
