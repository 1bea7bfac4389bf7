//! Why an answer has no rating.

/// Why an answer has no rating.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The queue has no room; the answer was dropped.
    #[error("the queue of ratings is full")]
    Full,
    /// The answer is longer than [`Answer::MAX_BYTES`](crate::Answer::MAX_BYTES).
    #[error("the answer is too long to be rated")]
    Long,
    /// Recent calls failed, so this one was not made.
    #[error("the rating service is out")]
    Out,
    /// There was no rating in time.
    #[error("no rating in time")]
    Timeout,
    /// The service answered with another status than 200.
    #[error("the rating service answered with status {0}")]
    Status(u16),
    /// The connection failed.
    #[error("the connection to the rating service failed")]
    Connection,
    /// The answer has no score from 0 to 1.
    #[error("the rating service gave no score from 0 to 1")]
    Form,
    /// The client was cancelled.
    #[error("the client of the rating service has stopped")]
    Closed,
}

impl Error {
    /// Whether the error speaks against the service, and not against this one call.
    pub(crate) fn is_outage(self) -> bool {
        matches!(
            self,
            Self::Timeout | Self::Status(_) | Self::Connection | Self::Form
        )
    }
}
