//! Claims idempotency keys, so that at most one attempt per key is dispatched.

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

/// Limits that a claimer applies to keys and waits.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// Period during which a key may be claimed.
    pub window: Window,
    /// Longest wait for a claim, regardless of the request's deadline.
    pub claim_timeout: Span,
    /// Retry-after time given to refused callers while the log is unavailable.
    pub retry_after: Span,
}

/// One attempt of a request that must run at most once.
#[derive(Clone, Debug)]
pub struct Attempt {
    /// Organisation that sends the request.
    pub organisation: name::Organisation,
    /// Idempotency key as given by the caller.
    pub key: Box<str>,
    /// Time at which the caller created the key.
    pub created: Created,
    /// Number that the caller gives to this attempt of the key.
    pub attempt_number: AttemptNumber,
    /// Id of the request.
    pub request: request::Id,
    /// Digest of the request's content, which is the same for all attempts of a key.
    pub fingerprint: Digest,
}

/// Result of a claim.
#[derive(Debug)]
pub enum Resolution {
    /// The attempt holds the key and may be dispatched once.
    Won(Permit),
    /// An earlier attempt with this key ran and was given this answer.
    Done(Answer),
    /// Another attempt holds the key: it may have run, or may be running.
    InProgress,
    /// The key was used before with a different request.
    Mismatch,
    /// The key was created in the future, or so long ago that the log may have expired its records.
    /// An earlier attempt may have run.
    Expired,
    /// The attempt is not dispatched.
    Refused {
        /// Whether this attempt or an earlier one may have run.
        ran: Ran,
        /// Time for which the caller should wait before it retries.
        retry_after: Span,
    },
}

/// The claimer has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the claimer has ended")]
pub struct Closed;

/// Permission to dispatch an attempt once. Dropping an unused permit releases the key.
#[derive(Debug)]
pub struct Permit {
    won: Option<Won>,
    partition: mpsc::Sender<Message>,
}

/// A dispatch in progress. If it is dropped without an answer, the key stays held permanently,
/// because the request may have run.
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
        self.won.take().expect("the permit is used only once")
    }

    /// Uses up the permit. Must be called before the first byte is sent.
    #[must_use = "a run is settled or retracted"]
    pub fn dispatch(mut self) -> Run {
        Run {
            dispatched: self.take().dispatch(),
            partition: self.partition.clone(),
        }
    }

    /// Releases the key and waits until `deadline` for the release to be read back from the log.
    /// Returns whether this attempt or an earlier one may have run.
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
        // If the channel is full, the key stays held, which is safe.
        let _ = self.partition.try_send(message);
    }
}

impl Run {
    /// Records the answer and returns once it is appended.
    ///
    /// The answer can be sent to the caller before that; until then, repeats are answered as in
    /// progress. If the returned future is dropped, the record is still appended.
    ///
    /// # Errors
    ///
    /// Returns an error if the claimer ended before the record was appended.
    pub async fn settle(self, answer: Answer) -> Result<(), Closed> {
        let (reply, appended) = oneshot::channel();
        let settled = self.dispatched.settle(answer);
        let message = Message::Settle { settled, reply };
        self.partition.send(message).await.map_err(|_| Closed)?;
        appended.await.map_err(|_| Closed)
    }

    /// Retracts the dispatch, because the upstream reported that it did not run the request, or
    /// because no byte of it was sent.
    pub fn not_run(self) -> Permit {
        Permit::new(self.dispatched.retract(NotRun), self.partition)
    }
}

/// Handle to the partition tasks of a claimer. Each partition's task starts with its first use.
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

/// Creates a claimer. Each partition is followed from its first use.
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
    /// Starts to follow all partitions, so that the first claims need not wait for the streams to
    /// be read.
    pub fn follow_all(&self) {
        for partition in Partition::all() {
            self.partition(partition);
        }
    }

    /// Claims a key for an attempt.
    ///
    /// Returns at once while the log is unavailable; otherwise by the deadline or after the claim timeout,
    /// whichever is earlier.
    pub async fn claim(&self, attempt: Attempt, deadline: Instant) -> Resolution {
        let policy = &self.shared.policy;
        if policy.window.phase(attempt.created, now_ms()) != Phase::Open {
            return Resolution::Expired;
        }
        let claim = Claim {
            key: Key::new(&attempt.organisation, &attempt.key, attempt.created),
            attempt: attempt.request,
            attempt_number: attempt.attempt_number,
            instance: self.shared.instance.clone(),
            fingerprint: attempt.fingerprint,
        };
        let partition = self.partition(claim.key.partition());
        let pending = Pending::open(claim.clone(), attempt.created, policy.window);
        let ran_if_unread = pending.ran_if_unread();
        let (reply, resolution) = oneshot::channel();
        let deadline = deadline.min(Instant::now() + policy.claim_timeout.duration());
        let message = Message::Claim {
            claim,
            pending,
            reply,
            deadline,
        };
        let refused = Resolution::Refused {
            ran: ran_if_unread,
            retry_after: policy.retry_after,
        };
        if partition.send(message).await.is_err() {
            return refused;
        }
        resolution.await.unwrap_or(refused)
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

/// Returns the milliseconds since the Unix epoch by the local clock. At-most-once execution does
/// not depend on this clock.
fn now_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.unwrap_or_default().as_millis() as u64
}
