//! Failures of tries.

use entity::Span;
use entity::request::Ran;

/// Reason of a failed try.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Reason {
    /// The connection could not be established.
    #[error("no connection")]
    Connect,
    /// The upstream refused the request without running it.
    #[error("refused")]
    Refused,
    /// The connection failed after the request was sent.
    #[error("connection lost")]
    ConnectionLost,
    /// The deadline passed.
    #[error("timed out")]
    Timeout,
    /// The answer has the id of another request, or none.
    #[error("answer to another request")]
    WrongId,
    /// The answer ended before it was complete.
    #[error("answer ended early")]
    Truncated,
    /// The answer does not follow the protocol, or is too large.
    #[error("malformed answer")]
    Malformed,
    /// The upstream answered with an error status.
    #[error("error status {0}")]
    Status(u16),
}

/// Try that gave no complete answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{reason} ({ran})")]
pub struct Failure {
    /// Reason of the failure.
    pub reason: Reason,
    /// Whether the request may have run.
    pub ran: Ran,
    /// Time after which the upstream asks for a retry.
    pub retry_after: Option<Span>,
}

impl Failure {
    /// Creates a failure of a request that did not run.
    pub fn not_run(reason: Reason) -> Self {
        Self {
            reason,
            ran: Ran::No,
            retry_after: None,
        }
    }

    /// Creates a failure of a request that may have run.
    pub fn may_have_run(reason: Reason) -> Self {
        Self {
            reason,
            ran: Ran::Maybe,
            retry_after: None,
        }
    }

    /// Returns whether the upstream closed the connection before its answer was complete, as it does
    /// when it ends.
    pub fn is_lost_answer(&self) -> bool {
        let lost = matches!(self.reason, Reason::ConnectionLost | Reason::Truncated);
        lost && self.ran == Ran::Maybe
    }
}
