//! Task of one partition of claims: it folds the partition's stream and answers the attempts that
//! wait.

use crate::claimer::{Permit, Policy, Resolution};
use crate::committer::{self, Health};
use crate::follower::{self, Event, Follower};
use crate::log::Log;
use bytes::Bytes;
use claims::Partition;
use claims::fold::{Decision, Fold, Position, Status};
use claims::holder::{Lost, Pending, Reading, Released, Settled};
use claims::record::{self, Claim, Record};
use entity::Offset;
use entity::request::Ran;
use logs::Page;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::AbortHandle;
use tokio::time::{Instant, sleep_until};
use tokio_util::sync::CancellationToken;

/// Capacity of the channel to the task, in messages.
const CHANNEL_MESSAGES: usize = 1024;

/// Number of log records between two evictions of keys whose records the log has expired.
const EVICTION_INTERVAL_RECORDS: u64 = 4096;

/// Request to the task of a partition.
#[derive(Debug)]
pub(crate) enum Message {
    /// Claims a key and replies with the result.
    Claim {
        claim: Claim,
        pending: Pending,
        reply: oneshot::Sender<Resolution>,
        deadline: Instant,
    },
    /// Appends a release. Replies, once the release has been read back, whether any attempt may
    /// have run.
    Release {
        released: Released,
        reply: Option<oneshot::Sender<Ran>>,
        deadline: Instant,
    },
    /// Appends an outcome.
    Settle {
        settled: Settled,
        reply: oneshot::Sender<()>,
    },
}

/// Attempt whose claim has not been read back from the log yet.
struct WaitingClaim {
    claim: Claim,
    pending: Pending,
    reply: oneshot::Sender<Resolution>,
    deadline: Instant,
    /// Append of the claim; `None` until the stream has been read to its end.
    append: Option<AbortHandle>,
}

/// Release that has not been read back from the log yet.
struct WaitingRelease {
    released: Released,
    reply: oneshot::Sender<Ran>,
    deadline: Instant,
}

struct Task {
    stream: Box<str>,
    committer: committer::Handle,
    policy: Policy,
    fold: Option<Fold>,
    /// Number of records read since the last eviction of expired keys.
    records_since_eviction: u64,
    /// Whether reads fail; `health` reports whether appends fail.
    reads_fail: bool,
    health: watch::Receiver<Health>,
    waiting_claims: Vec<WaitingClaim>,
    waiting_releases: Vec<WaitingRelease>,
    sender: mpsc::WeakSender<Message>,
}

/// Starts the task of a partition.
pub(crate) fn spawn<L: Log>(
    log: L,
    committer: committer::Handle,
    partition: Partition,
    policy: Policy,
    cancel: CancellationToken,
) -> mpsc::Sender<Message> {
    let (sender, messages) = mpsc::channel(CHANNEL_MESSAGES);
    let stream = partition.stream();
    let follower = follower::spawn(log, stream.clone(), Offset(1), &cancel);
    let task = Task {
        stream,
        health: committer.health(),
        committer,
        policy,
        fold: None,
        records_since_eviction: 0,
        reads_fail: false,
        waiting_claims: Vec::new(),
        waiting_releases: Vec::new(),
        sender: sender.downgrade(),
    };
    tokio::spawn(async move {
        cancel
            .run_until_cancelled(task.run(messages, follower))
            .await
    });
    sender
}

impl Task {
    async fn run(mut self, mut messages: mpsc::Receiver<Message>, mut follower: Follower) {
        loop {
            let deadline = self.deadline();
            tokio::select! {
                message = messages.recv() => match message {
                    Some(message) => self.handle_message(message),
                    None => return,
                },
                event = follower.next() => match event {
                    Some(event) => self.handle_event(event),
                    None => return,
                },
                changed = self.health.changed() => match changed {
                    Ok(()) if self.is_down() => self.refuse_all(),
                    Ok(()) => {}
                    Err(_) => return,
                },
                () = sleep_until(deadline.unwrap_or_else(Instant::now)), if deadline.is_some() => {
                    self.abandon_overdue();
                }
            }
        }
    }

    /// Returns whether reads or appends are known to fail.
    fn is_down(&self) -> bool {
        self.reads_fail || *self.health.borrow() == Health::Down
    }

    fn deadline(&self) -> Option<Instant> {
        let waiting_claims = self.waiting_claims.iter().map(|waiting| waiting.deadline);
        let waiting_releases = self.waiting_releases.iter().map(|waiting| waiting.deadline);
        waiting_claims.chain(waiting_releases).min()
    }

    fn handle_message(&mut self, message: Message) {
        match message {
            Message::Claim {
                claim,
                pending,
                reply,
                deadline,
            } => {
                let waiting = WaitingClaim {
                    claim,
                    pending,
                    reply,
                    deadline,
                    append: None,
                };
                self.start_claim(waiting);
            }
            Message::Release {
                released,
                reply,
                deadline,
            } => self.append_release(released, reply, deadline),
            Message::Settle { settled, reply } => self.append_outcome(&settled, reply),
        }
    }

    /// Answers an attempt from the records read so far, or appends its claim.
    fn start_claim(&mut self, mut waiting: WaitingClaim) {
        if self.is_down() {
            // No claim was appended, so none has to be released.
            self.refuse(waiting.reply, waiting.pending.ran_if_unread());
            return;
        }
        let Some(fold) = &self.fold else {
            self.waiting_claims.push(waiting);
            return;
        };
        if let Some(resolution) = resolve_from_fold(fold, &waiting.claim) {
            let _ = waiting.reply.send(resolution);
            return;
        }
        waiting.append = Some(self.append(&waiting.pending.record(), None));
        self.waiting_claims.push(waiting);
    }

    /// Appends a record, retrying until it succeeds or the returned handle aborts it.
    fn append(&self, record: &Record, reply: Option<oneshot::Sender<()>>) -> AbortHandle {
        let data: Bytes = record::encode_one(record).into();
        let (committer, stream) = (self.committer.clone(), self.stream.clone());
        let task = tokio::spawn(async move {
            let appended = committer.append(&stream, data).await;
            if let (Ok(_), Some(reply)) = (appended, reply) {
                let _ = reply.send(());
            }
        });
        task.abort_handle()
    }

    fn refuse(&self, reply: oneshot::Sender<Resolution>, ran: Ran) {
        let retry_after = self.policy.retry_after;
        let _ = reply.send(Resolution::Refused { ran, retry_after });
    }

    fn append_release(
        &mut self,
        released: Released,
        reply: Option<oneshot::Sender<Ran>>,
        deadline: Instant,
    ) {
        self.append(&released.record(), None);
        let Some(reply) = reply else {
            return;
        };
        if self.is_down() {
            let _ = reply.send(released.ran_if_unread());
            return;
        }
        self.waiting_releases.push(WaitingRelease {
            released,
            reply,
            deadline,
        });
    }

    fn append_outcome(&self, settled: &Settled, reply: oneshot::Sender<()>) {
        self.append(&settled.record(), Some(reply));
    }

    fn handle_event(&mut self, event: Event) {
        match event {
            Event::Records(page) => self.apply_page(&page),
            Event::Gap { page, .. } => {
                self.fold = None;
                self.apply_page(&page);
            }
            Event::Down(_) => {
                self.reads_fail = true;
                self.refuse_all();
            }
        }
    }

    fn apply_page(&mut self, page: &Page) {
        self.reads_fail = false;
        let fold = self
            .fold
            .get_or_insert_with(|| Fold::open(page.first, page.next));
        for record in &page.records {
            // A record that is not a batch was not appended by an instance of any release.
            let batch = record::decode(record.data()).unwrap_or_default();
            let at = Position {
                offset: record.offset,
                time_ms: record.time_ms,
            };
            fold.apply(at, &batch);
        }
        self.evict_expired(page);
        self.resolve_all();
    }

    fn evict_expired(&mut self, page: &Page) {
        let (Some(fold), Some(last)) = (&mut self.fold, page.records.last()) else {
            return;
        };
        self.records_since_eviction += page.records.len() as u64;
        if self.records_since_eviction < EVICTION_INTERVAL_RECORDS {
            return;
        }
        self.records_since_eviction = 0;
        let memory_ms = self.policy.window.entry_ttl().as_micros().div_ceil(1000);
        fold.evict_before(last.time_ms.saturating_sub(memory_ms));
    }

    /// Answers all attempts that are decided by the records read so far.
    fn resolve_all(&mut self) {
        let Some(fold) = self.fold.take() else {
            return;
        };
        for waiting in std::mem::take(&mut self.waiting_claims) {
            self.resolve_claim(&fold, waiting);
        }
        for waiting in std::mem::take(&mut self.waiting_releases) {
            match waiting.released.read(&fold) {
                Some(ran) => {
                    let _ = waiting.reply.send(ran);
                }
                None => self.waiting_releases.push(waiting),
            }
        }
        self.fold = Some(fold);
    }

    fn resolve_claim(&mut self, fold: &Fold, mut waiting: WaitingClaim) {
        if waiting.append.is_none() {
            // The stream had not been read to its end when the attempt arrived.
            if fold.next() < fold.live_from() {
                self.waiting_claims.push(waiting);
                return;
            }
            if let Some(resolution) = resolve_from_fold(fold, &waiting.claim) {
                let _ = waiting.reply.send(resolution);
                return;
            }
            waiting.append = Some(self.append(&waiting.pending.record(), None));
            self.waiting_claims.push(waiting);
            return;
        }
        match waiting.pending.read(fold) {
            Reading::Unread(pending) => {
                self.waiting_claims
                    .push(WaitingClaim { pending, ..waiting });
            }
            Reading::Won(won) => {
                let Some(sender) = self.sender.upgrade() else {
                    return;
                };
                // If the caller no longer waits, the permit is dropped with the unsent reply, which
                // releases the key.
                let _ = waiting
                    .reply
                    .send(Resolution::Won(Permit::new(won, sender)));
            }
            Reading::Lost(lost) => {
                let _ = waiting.reply.send(self.resolve_lost(fold, &lost));
            }
            Reading::Expired(released) => {
                self.append(&released.record(), None);
                let _ = waiting.reply.send(Resolution::Expired);
            }
        }
    }

    fn resolve_lost(&self, fold: &Fold, lost: &Lost) -> Resolution {
        if let Some(answer) = lost.answer(fold)
            && lost.decision() != Decision::Mismatched
        {
            return Resolution::Done(answer.clone());
        }
        match lost.decision() {
            Decision::Mismatched => Resolution::Mismatch,
            Decision::Excluded => Resolution::Refused {
                ran: lost.ran(fold),
                retry_after: self.policy.retry_after,
            },
            Decision::Won | Decision::Lost | Decision::Released => Resolution::InProgress,
        }
    }

    /// Refuses all waiting attempts, because the log is unavailable.
    fn refuse_all(&mut self) {
        for waiting in std::mem::take(&mut self.waiting_claims) {
            self.abandon(waiting);
        }
        for waiting in std::mem::take(&mut self.waiting_releases) {
            let _ = waiting.reply.send(waiting.released.ran_if_unread());
        }
    }

    /// Refuses an attempt whose claim may be on the log already, or may still be appended.
    fn abandon(&self, waiting: WaitingClaim) {
        let released = waiting.pending.release();
        let ran = released.ran_if_unread();
        if let Some(append) = waiting.append {
            append.abort();
            self.append(&released.record(), None);
        }
        self.refuse(waiting.reply, ran);
    }

    /// Refuses the attempts whose deadline has passed.
    fn abandon_overdue(&mut self) {
        let now = Instant::now();
        for waiting in std::mem::take(&mut self.waiting_claims) {
            if waiting.deadline <= now {
                self.abandon(waiting);
            } else {
                self.waiting_claims.push(waiting);
            }
        }
        for waiting in std::mem::take(&mut self.waiting_releases) {
            if waiting.deadline <= now {
                let _ = waiting.reply.send(waiting.released.ran_if_unread());
            } else {
                self.waiting_releases.push(waiting);
            }
        }
    }
}

/// Returns the result for an attempt without a claim on the log, if the records read so far decide
/// it.
fn resolve_from_fold(fold: &Fold, claim: &Claim) -> Option<Resolution> {
    if fold.has_other_fingerprint(claim.key, claim.fingerprint) {
        return Some(Resolution::Mismatch);
    }
    match fold.status(claim.key) {
        Status::Settled(answer) => Some(Resolution::Done(answer.clone())),
        Status::Held(_) | Status::Foreign => Some(Resolution::InProgress),
        Status::Free => None,
    }
}
