//! Errors of the operations.

use adoption::publisher;
use entity::Offset;

/// Reason why an operation failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The log can't be read, or it refused a record, which is then certainly not appended.
    #[error("{0}")]
    Log(#[from] logs::Error),
    /// The configuration stream contains a record that the fold can't apply.
    #[error("the configuration stream: {0}")]
    Fold(#[from] adoption::Error),
    /// The generation in force can't be determined, or the base is a later one.
    #[error("nothing was published: {0}")]
    Publisher(#[from] publisher::Error),
    /// Neither the request nor the text names a base generation.
    #[error(
        "nothing was published: the text does not begin with `; generation N`, and no base was given"
    )]
    Base,
    /// The author is empty or too long.
    #[error(
        "nothing was published: an author has 1 to {} bytes",
        adoption::MAX_AUTHOR_BYTES
    )]
    Author,
    /// The time limit passed before the end of the stream was read.
    #[error("the time limit passed before the end of the stream was read")]
    Deadline,
    /// Records expired from the log while the stream was being read.
    #[error("records before offset {first} expired while the stream was being read")]
    Expired {
        /// Offset of the first retained record.
        first: Offset,
    },
}
