//! Commits usage records. A record is safe once it is appended to the log or held by peers.
//!
//! The task offers each record to the committer at once. If the append is slow, it also asks peers
//! in other zones to hold the record, so that an outage of the log does not delay answers. In
//! return, it holds records for its peers and appends those of instances that are gone.

mod task;

use crate::committer;
use billing::copies::Peer;
use billing::held::{Full, Policy as HeldPolicy};
use billing::usage::{Interval, Record};
use entity::{Span, name, request};
use std::future::Future;
use std::pin::Pin;
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

/// Capacity of the channel to the task, in messages.
const CHANNEL_MESSAGES: usize = 4096;

/// Future of a call to a peer.
pub type Call<'a> = Pin<Box<dyn Future<Output = Result<(), Unconfirmed>> + Send + 'a>>;

/// The peer did not confirm the call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the peer did not confirm")]
pub struct Unconfirmed;

/// Calls to the peers that can hold records.
pub trait PeerClient: Send + Sync + 'static {
    /// Returns the other instances that are live according to the instance list.
    fn peers(&self) -> Vec<Peer>;

    /// Asks a peer to hold records of this instance.
    fn hold<'a>(&'a self, peer: &'a name::Instance, records: &'a [Record]) -> Call<'a>;

    /// Reports to a peer that records were appended, so that it can drop them.
    fn drop_held<'a>(&'a self, peer: &'a name::Instance, requests: &'a [request::Id]) -> Call<'a>;
}

/// Timeouts and limits for keeping usage records safe.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// Time that an append may take before peers are asked to hold the record.
    pub hold_delay: Span,
    /// Interval at which peers are asked to hold records and informed of appended ones.
    pub update_interval: Span,
    /// Time that peers have to confirm before further peers are asked.
    pub confirm_timeout: Span,
    /// Maximum number of own records that are not appended yet; further records are refused.
    pub capacity: usize,
    /// Limits for the records held for peers.
    pub held: HeldPolicy,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            hold_delay: Span::from_millis(100),
            update_interval: Span::from_millis(50),
            confirm_timeout: Span::from_millis(200),
            capacity: 200_000,
            held: HeldPolicy {
                replay_delay: Span::from_secs(60),
                max_hold: Span::from_secs(6 * 3600),
                capacity: 400_000,
            },
        }
    }
}

/// Reason why a record is not safe.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// Too many records wait for the log.
    #[error("too many usage records wait for the log")]
    Full,
    /// The task has ended.
    #[error("the usage task has ended")]
    Closed,
}

/// Statistics of the task: the first three fields are current values, the others are totals since
/// the task started.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Stats {
    /// Number of own records that are not appended yet.
    pub open: usize,
    /// Number of own records that are not safe yet.
    pub unsafe_now: usize,
    /// Number of records held for peers.
    pub held: usize,
    /// Number of records adopted from instances that are gone.
    pub adopted: u64,
    /// Number of held records that were dropped after the maximum holding time.
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

/// Handle to a running usage task.
#[derive(Clone, Debug)]
pub struct Handle {
    messages: mpsc::Sender<Message>,
}

impl Handle {
    /// Commits the record of a request and returns once it is safe. If the returned future is
    /// dropped, the record is still committed.
    ///
    /// # Errors
    ///
    /// Returns an error if the record was not accepted; the request must then not be answered.
    pub async fn commit(&self, record: Record) -> Result<(), Error> {
        let (reply, safe) = oneshot::channel();
        let message = Message::Commit(record, reply);
        self.send(message).await?;
        safe.await.map_err(|_| Error::Closed)?
    }

    /// Appends the use of reserved capacity over an interval. The interval is lost if the instance
    /// fails before the append.
    ///
    /// # Errors
    ///
    /// Returns an error if the task has ended.
    pub async fn report(&self, interval: Interval) -> Result<(), Error> {
        self.send(Message::Report(interval)).await
    }

    /// Holds records for a peer.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no room for all of the records or the task has ended; some of
    /// the records may then be held.
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
    /// Returns an error if the task has ended.
    pub async fn drop_held(&self, requests: Vec<request::Id>) -> Result<(), Error> {
        self.send(Message::Drop(requests)).await
    }

    /// Appends the held records of a peer that is shutting down and will not append them itself.
    ///
    /// # Errors
    ///
    /// Returns an error if the task has ended.
    pub async fn orphan(&self, owner: name::Instance) -> Result<(), Error> {
        self.send(Message::Orphan(owner)).await
    }

    /// Waits until all own records are appended, for a graceful shutdown. Correctness does not
    /// depend on it: safe records stay safe, because peers adopt the records of an instance that is
    /// gone.
    ///
    /// # Errors
    ///
    /// Returns an error if the task has ended.
    pub async fn flush(&self) -> Result<(), Error> {
        let (reply, flushed) = oneshot::channel();
        self.send(Message::Flush(reply)).await?;
        flushed.await.map_err(|_| Error::Closed)
    }

    /// Returns the statistics of the task.
    ///
    /// # Errors
    ///
    /// Returns an error if the task has ended.
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

/// Starts the usage task of an instance in availability zone `zone`.
pub fn open(
    committer: committer::Handle,
    peer_client: Arc<dyn PeerClient>,
    zone: name::Zone,
    policy: Policy,
    cancel: CancellationToken,
) -> Handle {
    let (sender, messages) = mpsc::channel(CHANNEL_MESSAGES);
    let task = task::Task::new(committer, peer_client, zone, policy);
    tokio::spawn(task.run(messages, cancel));
    Handle { messages: sender }
}
