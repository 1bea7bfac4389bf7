//! The store that the catalog is read from.

use crate::catalog::{Entry, Instance};
use config::Progress;
use entity::{Offset, Span, name};
use std::future::Future;

/// A set of keyed records in the store.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Topic {
    /// What operators write.
    Operator,
    /// What upstreams write.
    Upstreams,
    /// How far the operators' orders have come, which instances write.
    Progress,
    /// The instances of the router.
    Instances,
}

/// One record of a topic.
#[derive(Clone, Debug, PartialEq)]
pub struct Item {
    /// What it is about.
    pub key: Box<str>,
    /// Its offset.
    pub offset: Offset,
    /// What it says; nothing where the key was dropped, an error where it can't be read.
    pub entry: Result<Option<Entry>, Box<str>>,
    /// The value as it stands in the store; empty where the key was dropped.
    pub value: Box<[u8]>,
}

/// The newest record of each key.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Listing {
    /// The records.
    pub items: Vec<Item>,
    /// The end of the topic before the first record was read.
    pub end: Offset,
}

/// Records after an offset.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Page {
    /// The records, in order.
    pub items: Vec<Item>,
    /// The offset to go on from.
    pub next: Offset,
}

/// Why a call of the store failed.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// No answer came.
    #[error("no answer: {0}")]
    Unreachable(Box<str>),
    /// The store refused the call.
    #[error("refused with status {0}")]
    Refused(u16),
    /// The records asked for were deleted.
    #[error("the records were deleted")]
    Expired,
    /// The answer can't be read.
    #[error("unreadable answer: {0}")]
    Malformed(Box<str>),
}

/// Reads and writes the store.
pub trait Source: Clone + Send + Sync + 'static {
    /// Reads a record of which another instance told.
    fn read(&self, topic: Topic, key: &str, offset: Offset, value: &[u8]) -> Item;

    /// The newest record of each key.
    fn newest(&self, topic: Topic) -> impl Future<Output = Result<Listing, Error>> + Send;

    /// Records from an offset on; waits up to `wait` for the first one.
    fn follow(
        &self,
        topic: Topic,
        from: Offset,
        wait: Span,
    ) -> impl Future<Output = Result<Page, Error>> + Send;

    /// Writes how far the order for a service has come.
    fn report(
        &self,
        service: &name::Service,
        target: &str,
        progress: Progress,
    ) -> impl Future<Output = Result<(), Error>> + Send;

    /// Writes the entry of an instance; `None` drops it.
    fn enlist(
        &self,
        name: &name::Instance,
        instance: Option<&Instance>,
    ) -> impl Future<Output = Result<(), Error>> + Send;
}
