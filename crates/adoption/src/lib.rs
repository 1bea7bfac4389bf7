//! Which publication of the configuration stream is in force.
//!
//! Every instance folds the records of the stream in log order with one rule, so that the same
//! prefix gives the same answer everywhere and racing operators need no lock:
//!
//! > A publication is accepted if its text is valid and its base is the generation in force; its
//! > offset is then the generation in force. Otherwise it is rejected and changes nothing.
//!
//! A [`Checkpoint`] states a fact about a prefix of the stream and changes nothing either: it only
//! lets a reader start that no longer finds the prefix. Nothing here reads a clock or opens a socket.

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
