//! Errors of ratings.

/// Reason why an answer has no rating.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The queue is full; the answer was dropped.
    #[error("the rating queue is full")]
    Full,
    /// The answer is longer than [`Answer::MAX_BYTES`](crate::Answer::MAX_BYTES).
    #[error("the answer is too long to be rated")]
    TooLong,
    /// The circuit breaker is open, so the call was not made.
    #[error("the rating service is unavailable")]
    Unavailable,
    /// The rating did not arrive within the timeout.
    #[error("the rating service timed out")]
    Timeout,
    /// The service answered with a status other than 200.
    #[error("the rating service answered with status {0}")]
    Status(u16),
    /// The connection to the service failed.
    #[error("the connection to the rating service failed")]
    Connection,
    /// The reply of the service contains no score from 0 to 1.
    #[error("the rating service returned no score from 0 to 1")]
    InvalidReply,
    /// The client has stopped.
    #[error("the rating client has stopped")]
    Closed,
}

impl Error {
    /// Returns whether the error indicates an outage of the service rather than a problem of this
    /// call or of the client.
    pub(crate) fn is_outage(self) -> bool {
        matches!(
            self,
            Self::Timeout | Self::Status(_) | Self::Connection | Self::InvalidReply
        )
    }
}
