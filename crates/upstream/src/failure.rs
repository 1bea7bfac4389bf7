//! Why a try gave no whole answer.

use entity::Span;
use entity::request::Ran;

/// What went wrong.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Reason {
    /// No connection could be made.
    #[error("no connection")]
    Connect,
    /// The upstream refused before it ran the request.
    #[error("refused")]
    Refused,
    /// The connection failed after the request was sent.
    #[error("connection lost")]
    Lost,
    /// The deadline passed.
    #[error("timed out")]
    Timeout,
    /// The answer bears another request's id, or none.
    #[error("answer to another request")]
    WrongId,
    /// The answer ended before it was whole.
    #[error("answer ended early")]
    Early,
    /// The answer is not of the published form, or too large.
    #[error("malformed answer")]
    Malformed,
    /// The upstream answered with an error status.
    #[error("error status {0}")]
    Status(u16),
}

/// A try without a whole answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{reason} ({ran})")]
pub struct Failure {
    /// What went wrong.
    pub reason: Reason,
    /// Whether the request can have run.
    pub ran: Ran,
    /// When the upstream asks to be tried again.
    pub retry_after: Option<Span>,
}

impl Failure {
    /// A failure of a request that certainly did not run.
    pub fn not_run(reason: Reason) -> Self {
        Self {
            reason,
            ran: Ran::No,
            retry_after: None,
        }
    }

    /// A failure of a request that may have run.
    pub fn maybe(reason: Reason) -> Self {
        Self {
            reason,
            ran: Ran::Maybe,
            retry_after: None,
        }
    }
}
