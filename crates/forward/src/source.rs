//! Interface to the store that holds the catalog.

use crate::catalog::{Entry, Instance};
use config::Progress;
use entity::{Era, Offset, Span, name};
use std::future::Future;

/// A compacted stream of keyed records in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Topic {
    /// Publications, rollouts and evacuations, written by operators.
    Operator,
    /// Registrations, written by upstreams.
    Upstreams,
    /// Progress of rollouts, written by instances of the router.
    Progress,
    /// Entries of the instances of the router.
    Instances,
}

/// The position of a record in a topic. Positions are ordered by era first: a record that was
/// written after the store came back from a copy is newer than all that were written before.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Position {
    /// Era of the store in which the record was read.
    pub era: Era,
    /// Offset of the record.
    pub offset: Offset,
}

/// One record of a topic.
#[derive(Clone, Debug, PartialEq)]
pub struct Item {
    /// Key of the record.
    pub key: Box<str>,
    /// Position of the record.
    pub position: Position,
    /// Decoded record: `None` if the key was deleted, an error if the record can't be decoded.
    pub entry: Result<Option<Entry>, Box<str>>,
    /// Encoded value as stored; empty if the key was deleted.
    pub value: Box<[u8]>,
}

/// The newest record of each key of a topic.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Listing {
    /// Newest record of each key.
    pub items: Vec<Item>,
    /// End offset of the topic before the first record was read.
    pub end: Offset,
    /// Era of the store.
    pub era: Era,
}

impl Listing {
    /// Returns the position of the end.
    pub fn end_position(&self) -> Position {
        Position {
            era: self.era,
            offset: self.end,
        }
    }

    /// Returns the final progress of a service's rollout to a release; `None` if it isn't final.
    pub fn ruling(&self, service: &name::Service, release: &str) -> Option<Progress> {
        self.items.iter().find_map(|item| match &item.entry {
            Ok(Some(Entry::Progress(of, target, progress)))
                if of == service && **target == *release && *progress != Progress::Running =>
            {
                Some(*progress)
            }
            _ => None,
        })
    }
}

/// Consecutive records of a topic.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Page {
    /// Records in offset order.
    pub items: Vec<Item>,
    /// Offset to continue from.
    pub next: Offset,
    /// End of the topic when the store answered. A page of limited size can end before it.
    pub end: Offset,
    /// Era of the store.
    pub era: Era,
}

/// Failures of a call to the store.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// No response arrived.
    #[error("no answer: {0}")]
    Unreachable(Box<str>),
    /// The store refused the call with this HTTP status.
    #[error("refused with status {0}")]
    Refused(u16),
    /// The requested records are no longer retained.
    #[error("the records were deleted")]
    Expired,
    /// Records were written since the end that the write names.
    #[error("other records were written first")]
    Conflict,
    /// The store answered from an earlier era than before.
    #[error("the store fell back to era {0}")]
    Outdated(Era),
    /// The response can't be decoded.
    #[error("unreadable answer: {0}")]
    Malformed(Box<str>),
}

/// Reads and writes the store.
pub trait Source: Clone + Send + Sync + 'static {
    /// Decodes a record that a peer announced.
    fn read(&self, topic: Topic, key: &str, position: Position, value: &[u8]) -> Item;

    /// Lists the newest record of each key.
    fn newest(&self, topic: Topic) -> impl Future<Output = Result<Listing, Error>> + Send;

    /// Reads records from an offset on. Waits up to `wait` for the first one.
    fn follow(
        &self,
        topic: Topic,
        from: Offset,
        wait: Span,
    ) -> impl Future<Output = Result<Page, Error>> + Send;

    /// Writes the progress of a service's rollout if the topic of progress still ends at `end`. A write that
    /// isn't answered may still be done, at any later time, if the topic ends there then.
    fn report(
        &self,
        service: &name::Service,
        target: &str,
        progress: Progress,
        end: Offset,
    ) -> impl Future<Output = Result<(), Error>> + Send;

    /// Writes the entry of an instance; `None` deletes it.
    fn write_instance(
        &self,
        name: &name::Instance,
        instance: Option<&Instance>,
    ) -> impl Future<Output = Result<(), Error>> + Send;
}
