//! Why an operation could not be carried out.

use adoption::publisher;
use entity::Offset;

/// Why an operation could not be carried out.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The log can't be read, or refused a record that is certainly not appended.
    #[error("{0}")]
    Log(#[from] logs::Error),
    /// The configuration stream can't be folded.
    #[error("the configuration stream: {0}")]
    Fold(#[from] adoption::Error),
    /// It is not known what to publish against.
    #[error("nothing was published: {0}")]
    Publisher(#[from] publisher::Error),
    /// No base was given.
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
    /// The time was over before the stream was read to its end.
    #[error("the time was over before the stream was read to its end")]
    Deadline,
    /// Records expired while they were being read.
    #[error("records before offset {first} expired while they were read")]
    Expired {
        /// The first retained record.
        first: Offset,
    },
}
