//! Decides which publication of the configuration stream is in force.
//!
//! Every instance folds the records of the stream in log order with the same rule, so that the same
//! prefix has the same result everywhere and concurrent operators need no lock:
//!
//! > A publication is accepted if its text is valid and its base is the generation in force; its
//! > offset is then the generation in force. Otherwise it is rejected and changes nothing.
//!
//! A [`Checkpoint`] records the result of a prefix of the stream and does not change what is in
//! force. It lets a reader start after records of that prefix have expired. Nothing in this crate
//! reads a clock or opens a socket.

mod fold;
mod isolation;
pub mod publisher;
mod record;
mod schedule;
mod snapshot;

pub use fold::{Error, Fold, Page, Reason, Step};
pub use isolation::{Contact, Isolation, Verdict};
pub use record::{Checkpoint, FORMAT, Id, IdError, MAX_AUTHOR_BYTES, Publication, Record, STREAM};
pub use schedule::Schedule;
pub use snapshot::Snapshot;
