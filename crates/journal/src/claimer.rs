//! Claims idempotency keys for attempts, and permits their one dispatch.

use crate::committer;
use crate::log::Log;
use crate::partition::{self, Message};
use claims::Partition;
use claims::digest::Digest;
use claims::holder::{Dispatched, NotRun, Pending, Won};
use claims::key::{AttemptNumber, Created, Key};
use claims::record::{Answer, Claim};
use claims::window::{Phase, Window};
use entity::request::Ran;
use entity::{Span, name, request};
use std::sync::{Arc, OnceLock};
use std::time::{SystemTime, UNIX_EPOCH};
use tokio::sync::{mpsc, oneshot};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// How a claimer treats keys and outages.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// How long a key may be claimed.
    pub window: Window,
    /// How long a claim is awaited at most, whatever the deadline of its request.
    pub patience: Span,
    /// What a refused caller is told to wait, in an outage of the log.
    pub retry_after: Span,
}

/// One attempt of a request that must not be repeated.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Who sends it.
    pub organisation: name::Organisation,
    /// The idempotency key as the caller gave it.
    pub key: Box<str>,
    /// When the caller made the key.
    pub created: Created,
    /// Which sending of the key this is.
    pub sending: AttemptNumber,
    /// The id of the request.
    pub request: request::Id,
    /// Digest of what is asked for; the same for all attempts.
    pub fingerprint: Digest,
}

/// What a claim led to.
#[derive(Debug)]
pub enum Verdict {
    /// The attempt may dispatch once.
    Won(Permit),
    /// The key was run before; this is its answer.
    Done(Answer),
    /// Another attempt holds the key: it may have run, or run now.
    InProgress,
    /// The key was first sent with another request.
    Mismatch,
    /// The key is older than what the log is certain to remember, or was made in the future. It
    /// may have run.
    Expired,
    /// The attempt will not be dispatched.
    Refused {
        /// What may be said of all sendings up to this one.
        ran: Ran,
        /// How long the caller should wait.
        retry_after: Span,
    },
}

/// The claimer has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the claimer has ended")]
pub struct Closed;

/// Permits one dispatch. Dropped without one, it releases the key.
#[derive(Debug)]
pub struct Permit {
    won: Option<Won>,
    partition: mpsc::Sender<Message>,
}

/// A dispatch under way. Dropped without an answer, the key stays held for good, because it may
/// have run.
#[derive(Debug)]
pub struct Run {
    dispatched: Dispatched,
    partition: mpsc::Sender<Message>,
}

impl Permit {
    pub(crate) fn new(won: Won, partition: mpsc::Sender<Message>) -> Self {
        let won = Some(won);
        Self { won, partition }
    }

    fn take(&mut self) -> Won {
        self.won
            .take()
            .expect("taken only by what consumes the permit")
    }

    /// Uses the permit: call this before the first byte is sent.
    #[must_use = "the run has to be settled"]
    pub fn dispatch(mut self) -> Run {
        Run {
            dispatched: self.take().dispatch(),
            partition: self.partition.clone(),
        }
    }

    /// Gives the key back and waits until `deadline` for the log to show it; returns what may be
    /// said of all sendings up to this one.
    pub async fn release(mut self, deadline: Instant) -> Ran {
        let released = self.take().release();
        let ran_if_unread = released.ran_if_unread();
        let (reply, ran) = oneshot::channel();
        let message = Message::Release {
            released,
            reply: Some(reply),
            deadline,
        };
        if self.partition.send(message).await.is_err() {
            return ran_if_unread;
        }
        ran.await.unwrap_or(ran_if_unread)
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        let Some(won) = self.won.take() else {
            return;
        };
        let message = Message::Release {
            released: won.release(),
            reply: None,
            deadline: Instant::now(),
        };
        // A full channel leaves the key held, which is safe.
        let _ = self.partition.try_send(message);
    }
}

impl Run {
    /// Records the answer, and returns once it is appended.
    ///
    /// The caller's answer need not wait for it: until then, repeats are told that the request is
    /// in progress. If the returned future is dropped, the record is still appended.
    ///
    /// # Errors
    ///
    /// The claimer has ended before the record was appended.
    pub async fn settle(self, answer: Answer) -> Result<(), Closed> {
        let (reply, appended) = oneshot::channel();
        let settled = self.dispatched.settle(answer);
        let message = Message::Settle { settled, reply };
        self.partition.send(message).await.map_err(|_| Closed)?;
        appended.await.map_err(|_| Closed)
    }

    /// Takes the dispatch back: the upstream itself said that it did not run the request, or no
    /// byte of it was sent.
    pub fn not_run(self) -> Permit {
        Permit::new(self.dispatched.retract(NotRun), self.partition)
    }
}

/// Reaches the tasks of a claimer, one for each partition that was used.
#[derive(Debug)]
pub struct Handle<L> {
    shared: Arc<Shared<L>>,
}

impl<L> Clone for Handle<L> {
    fn clone(&self) -> Self {
        let shared = Arc::clone(&self.shared);
        Self { shared }
    }
}

#[derive(Debug)]
struct Shared<L> {
    log: L,
    committer: committer::Handle,
    instance: name::Instance,
    policy: Policy,
    cancel: CancellationToken,
    partitions: Vec<OnceLock<mpsc::Sender<Message>>>,
}

/// Opens a claimer. A partition is followed from its first use on.
pub fn open<L: Log>(
    log: L,
    committer: committer::Handle,
    instance: name::Instance,
    policy: Policy,
    cancel: CancellationToken,
) -> Handle<L> {
    let partitions = Partition::all().map(|_| OnceLock::new()).collect();
    let shared = Shared {
        log,
        committer,
        instance,
        policy,
        cancel,
        partitions,
    };
    Handle {
        shared: Arc::new(shared),
    }
}

impl<L: Log> Handle<L> {
    /// Follows all partitions now, so that the first claims need not wait for it.
    pub fn warm(&self) {
        for partition in Partition::all() {
            self.partition(partition);
        }
    }

    /// Claims a key for an attempt.
    ///
    /// Where the log is out, this returns at once; else by the deadline or the patience, whichever
    /// is earlier.
    pub async fn claim(&self, attempt: Attempt, deadline: Instant) -> Verdict {
        let policy = &self.shared.policy;
        if policy.window.phase(attempt.created, now_ms()) != Phase::Open {
            return Verdict::Expired;
        }
        let claim = Claim {
            key: Key::new(&attempt.organisation, &attempt.key, attempt.created),
            attempt: attempt.request,
            sending: attempt.sending,
            instance: self.shared.instance.clone(),
            fingerprint: attempt.fingerprint,
        };
        let partition = self.partition(claim.key.partition());
        let pending = Pending::open(claim.clone(), attempt.created, policy.window);
        let ran_if_unread = pending.ran_if_unread();
        let (reply, verdict) = oneshot::channel();
        let deadline = deadline.min(Instant::now() + policy.patience.duration());
        let message = Message::Claim {
            claim,
            pending,
            reply,
            deadline,
        };
        let refused = Verdict::Refused {
            ran: ran_if_unread,
            retry_after: policy.retry_after,
        };
        if partition.send(message).await.is_err() {
            return refused;
        }
        verdict.await.unwrap_or(refused)
    }

    fn partition(&self, partition: Partition) -> &mpsc::Sender<Message> {
        let shared = &self.shared;
        shared.partitions[partition.index()].get_or_init(|| {
            partition::spawn(
                shared.log.clone(),
                shared.committer.clone(),
                partition,
                shared.policy,
                shared.cancel.clone(),
            )
        })
    }
}

/// Milliseconds since the Unix epoch by the instance's clock, on which no safety depends.
fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}
