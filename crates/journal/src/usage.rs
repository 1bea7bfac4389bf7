//! Commits usage records: a record is safe once it is appended or held by fellow instances.
//!
//! The task offers each record to the committer at once. If the append is slow, it also has the
//! record held at fellows in other zones, so that an outage of the log does not hold back answers.
//! For its fellows, it holds records in turn and appends those of an instance that is gone.

mod task;

use crate::committer;
use billing::custody::Fellow;
use billing::held::{Full, Policy as Holding};
use billing::usage::{Interval, Record};
use entity::{Span, name, request};
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

/// Messages that may wait for the task.
const CHANNEL_MESSAGES: usize = 4096;

/// A call to a fellow.
pub type Call<'a> = Pin<Box<dyn Future<Output = Result<(), Unheld>> + Send + 'a>>;

/// A fellow did not confirm.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the fellow did not confirm")]
pub struct Unheld;

/// The fellow instances, as holders of records.
pub trait Replica: Send + Sync + 'static {
    /// The other instances that are live, by the instance list.
    fn fellows(&self) -> Vec<Fellow>;

    /// Has a fellow hold records of this instance.
    fn hold<'a>(&'a self, fellow: &'a name::Instance, records: &'a [Record]) -> Call<'a>;

    /// Tells a fellow that records were appended.
    fn forget<'a>(&'a self, fellow: &'a name::Instance, requests: &'a [request::Id]) -> Call<'a>;
}

/// How records are kept safe.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// How long an append may take before fellows are asked to hold the record.
    pub patience: Span,
    /// How often fellows are asked to hold records and told of those that were appended.
    pub tick: Span,
    /// How long fellows have to confirm before others are asked too.
    pub confirm: Span,
    /// Records that may be unappended at once; more are refused.
    pub capacity: usize,
    /// How held records are kept.
    pub holding: Holding,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            patience: Span::from_millis(100),
            tick: Span::from_millis(50),
            confirm: Span::from_millis(200),
            capacity: 200_000,
            holding: Holding {
                patience: Span::from_secs(60),
                hold: Span::from_secs(6 * 3600),
                capacity: 400_000,
            },
        }
    }
}

/// Why a record is not safe.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// Too many records wait for the log.
    #[error("too many usage records wait for the log")]
    Full,
    /// The task has ended.
    #[error("the usage task has ended")]
    Closed,
}

/// What the task has done and holds; all but the first three count from its start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Own records that are not appended yet.
    pub open: usize,
    /// Own records that are not safe yet.
    pub unsafe_now: usize,
    /// Records held for fellows.
    pub held: usize,
    /// Records adopted from instances that were gone.
    pub adopted: u64,
    /// Held records that were given up after the longest time of holding.
    pub expired: u64,
}

enum Message {
    Commit(Record, oneshot::Sender<Result<(), Error>>),
    Report(Interval),
    Hold(
        name::Instance,
        Vec<Record>,
        oneshot::Sender<Result<(), Full>>,
    ),
    Drop(Vec<request::Id>),
    Orphan(name::Instance),
    Flush(oneshot::Sender<()>),
    Stats(oneshot::Sender<Stats>),
}

/// Reaches a running usage task.
#[derive(Clone, Debug)]
pub struct Handle {
    messages: mpsc::Sender<Message>,
}

impl Handle {
    /// Commits the record of a request, and returns when it is safe. If the returned future is
    /// dropped, the record is still committed.
    ///
    /// # Errors
    ///
    /// The record was not taken, and the request must not be answered.
    pub async fn commit(&self, record: Record) -> Result<(), Error> {
        let (reply, safe) = oneshot::channel();
        let message = Message::Commit(record, reply);
        self.send(message).await?;
        safe.await.map_err(|_| Error::Closed)?
    }

    /// Appends the use of reserved capacity over an interval; it is lost if the instance dies
    /// before the append.
    ///
    /// # Errors
    ///
    /// The task has ended.
    pub async fn report(&self, interval: Interval) -> Result<(), Error> {
        self.send(Message::Report(interval)).await
    }

    /// Holds records for a fellow, all or none.
    ///
    /// # Errors
    ///
    /// There is no room, or the task has ended.
    pub async fn hold(&self, owner: name::Instance, records: Vec<Record>) -> Result<(), Error> {
        let (reply, held) = oneshot::channel();
        let message = Message::Hold(owner, records, reply);
        self.send(message).await?;
        let held = held.await.map_err(|_| Error::Closed)?;
        held.map_err(|Full| Error::Full)
    }

    /// Drops held records that their owner has appended.
    ///
    /// # Errors
    ///
    /// The task has ended.
    pub async fn drop_held(&self, requests: Vec<request::Id>) -> Result<(), Error> {
        self.send(Message::Drop(requests)).await
    }

    /// Appends the held records of a fellow that says it won't do so itself, because it leaves.
    ///
    /// # Errors
    ///
    /// The task has ended.
    pub async fn orphan(&self, owner: name::Instance) -> Result<(), Error> {
        self.send(Message::Orphan(owner)).await
    }

    /// Waits until all own records are appended, before the instance leaves. It need not wait for
    /// it: what is safe stays so, because fellows adopt the records of an instance that is gone.
    ///
    /// # Errors
    ///
    /// The task has ended.
    pub async fn flush(&self) -> Result<(), Error> {
        let (reply, flushed) = oneshot::channel();
        self.send(Message::Flush(reply)).await?;
        flushed.await.map_err(|_| Error::Closed)
    }

    /// What the task has done and holds.
    ///
    /// # Errors
    ///
    /// The task has ended.
    pub async fn stats(&self) -> Result<Stats, Error> {
        let (reply, stats) = oneshot::channel();
        self.send(Message::Stats(reply)).await?;
        stats.await.map_err(|_| Error::Closed)
    }

    async fn send(&self, message: Message) -> Result<(), Error> {
        let sent = self.messages.send(message).await;
        sent.map_err(|_| Error::Closed)
    }
}

/// Opens the usage task of an instance in an availability zone.
pub fn open(
    committer: committer::Handle,
    replicas: Arc<dyn Replica>,
    home: name::Zone,
    policy: Policy,
    cancel: CancellationToken,
) -> Handle {
    let (sender, messages) = mpsc::channel(CHANNEL_MESSAGES);
    let task = task::Task::new(committer, replicas, home, policy);
    tokio::spawn(task.run(messages, cancel));
    Handle { messages: sender }
}
