//! The task of one partition of claims: it folds the stream and answers the attempts that wait.

use crate::claimer::{Permit, Policy, Verdict};
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

/// Messages that may wait for the task.
const CHANNEL_MESSAGES: usize = 1024;

/// Log records between two searches for keys that the log has forgotten.
const FORGET_RECORDS: u64 = 4096;

/// What a partition is asked to do.
#[derive(Debug)]
pub(crate) enum Message {
    /// Decide an attempt by its claim.
    Claim {
        claim: Claim,
        pending: Pending,
        reply: oneshot::Sender<Verdict>,
        deadline: Instant,
    },
    /// Append a release and say what may be said once it was read.
    Release {
        released: Released,
        reply: Option<oneshot::Sender<Ran>>,
        deadline: Instant,
    },
    /// Append an outcome.
    Settle {
        settled: Settled,
        reply: oneshot::Sender<()>,
    },
}

/// An attempt whose claim was not read yet.
struct Claimant {
    claim: Claim,
    pending: Pending,
    reply: oneshot::Sender<Verdict>,
    deadline: Instant,
    /// The append of the claim; `None` until the stream was read to its end.
    append: Option<AbortHandle>,
}

/// A release that was not read yet.
struct Releaser {
    released: Released,
    reply: oneshot::Sender<Ran>,
    deadline: Instant,
}

struct Task {
    stream: Box<str>,
    committer: committer::Handle,
    policy: Policy,
    fold: Option<Fold>,
    /// Records since the last search for forgotten keys.
    unsearched: u64,
    /// Whether reads, and whether appends, fail.
    unreadable: bool,
    health: watch::Receiver<Health>,
    claimants: Vec<Claimant>,
    releasers: Vec<Releaser>,
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
        unsearched: 0,
        unreadable: false,
        claimants: Vec::new(),
        releasers: Vec::new(),
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
                    Some(message) => self.take(message),
                    None => return,
                },
                event = follower.next() => match event {
                    Some(event) => self.follow(event),
                    None => return,
                },
                changed = self.health.changed() => match changed {
                    Ok(()) if self.is_down() => self.fail(),
                    Ok(()) => {}
                    Err(_) => return,
                },
                () = sleep_until(deadline.unwrap_or_else(Instant::now)), if deadline.is_some() => {
                    self.expire();
                }
            }
        }
    }

    /// Whether the log is out, as far as is known.
    fn is_down(&self) -> bool {
        self.unreadable || *self.health.borrow() == Health::Down
    }

    fn deadline(&self) -> Option<Instant> {
        let claimants = self.claimants.iter().map(|claimant| claimant.deadline);
        let releasers = self.releasers.iter().map(|releaser| releaser.deadline);
        claimants.chain(releasers).min()
    }

    fn take(&mut self, message: Message) {
        match message {
            Message::Claim {
                claim,
                pending,
                reply,
                deadline,
            } => {
                let claimant = Claimant {
                    claim,
                    pending,
                    reply,
                    deadline,
                    append: None,
                };
                self.admit(claimant);
            }
            Message::Release {
                released,
                reply,
                deadline,
            } => self.release(released, reply, deadline),
            Message::Settle { settled, reply } => self.settle(&settled, reply),
        }
    }

    /// Answers an attempt from what is known already, or appends its claim.
    fn admit(&mut self, mut claimant: Claimant) {
        if self.is_down() {
            // Nothing was appended, so nothing needs to be released.
            self.refuse(claimant.reply, claimant.pending.ran_if_unread());
            return;
        }
        let Some(fold) = &self.fold else {
            self.claimants.push(claimant);
            return;
        };
        if let Some(verdict) = known(fold, &claimant.claim) {
            let _ = claimant.reply.send(verdict);
            return;
        }
        claimant.append = Some(self.append(&claimant.pending.record(), None));
        self.claimants.push(claimant);
    }

    /// Appends a record until that succeeds or the returned handle aborts it.
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

    fn refuse(&self, reply: oneshot::Sender<Verdict>, ran: Ran) {
        let retry_after = self.policy.retry_after;
        let _ = reply.send(Verdict::Refused { ran, retry_after });
    }

    fn release(
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
        self.releasers.push(Releaser {
            released,
            reply,
            deadline,
        });
    }

    fn settle(&self, settled: &Settled, reply: oneshot::Sender<()>) {
        self.append(&settled.record(), Some(reply));
    }

    fn follow(&mut self, event: Event) {
        match event {
            Event::Records(page) => self.read(&page),
            Event::Gap { page, .. } => {
                self.fold = None;
                self.read(&page);
            }
            Event::Down(_) => {
                self.unreadable = true;
                self.fail();
            }
        }
    }

    fn read(&mut self, page: &Page) {
        self.unreadable = false;
        let fold = self
            .fold
            .get_or_insert_with(|| Fold::open(page.first, page.next));
        for record in &page.records {
            // A record that is no batch was appended by no instance of any release.
            let batch = record::decode(record.data()).unwrap_or_default();
            let at = Position {
                offset: record.offset,
                time_ms: record.time_ms,
            };
            fold.apply(at, &batch);
        }
        self.evict_before(page);
        self.decide();
    }

    fn evict_before(&mut self, page: &Page) {
        let (Some(fold), Some(last)) = (&mut self.fold, page.records.last()) else {
            return;
        };
        self.unsearched += page.records.len() as u64;
        if self.unsearched < FORGET_RECORDS {
            return;
        }
        self.unsearched = 0;
        let memory_ms = self.policy.window.entry_ttl().as_micros().div_ceil(1000);
        fold.evict_before(last.time_ms.saturating_sub(memory_ms));
    }

    /// Answers all attempts that the records read so far decide.
    fn decide(&mut self) {
        let Some(fold) = self.fold.take() else {
            return;
        };
        for claimant in std::mem::take(&mut self.claimants) {
            self.decide_claim(&fold, claimant);
        }
        for releaser in std::mem::take(&mut self.releasers) {
            match releaser.released.read(&fold) {
                Some(ran) => {
                    let _ = releaser.reply.send(ran);
                }
                None => self.releasers.push(releaser),
            }
        }
        self.fold = Some(fold);
    }

    fn decide_claim(&mut self, fold: &Fold, mut claimant: Claimant) {
        if claimant.append.is_none() {
            // The stream was not read to its end when the attempt came.
            if fold.next() < fold.live_from() {
                self.claimants.push(claimant);
                return;
            }
            if let Some(verdict) = known(fold, &claimant.claim) {
                let _ = claimant.reply.send(verdict);
                return;
            }
            claimant.append = Some(self.append(&claimant.pending.record(), None));
            self.claimants.push(claimant);
            return;
        }
        match claimant.pending.read(fold) {
            Reading::Unread(pending) => {
                self.claimants.push(Claimant {
                    pending,
                    ..claimant
                });
            }
            Reading::Won(won) => {
                let Some(sender) = self.sender.upgrade() else {
                    return;
                };
                // If nobody waits any more, the permit that comes back releases the key.
                let _ = claimant.reply.send(Verdict::Won(Permit::new(won, sender)));
            }
            Reading::Lost(lost) => {
                let _ = claimant.reply.send(self.lost(fold, &lost));
            }
            Reading::Expired(released) => {
                self.append(&released.record(), None);
                let _ = claimant.reply.send(Verdict::Expired);
            }
        }
    }

    fn lost(&self, fold: &Fold, lost: &Lost) -> Verdict {
        if let Some(answer) = lost.answer(fold)
            && lost.decision() != Decision::Mismatched
        {
            return Verdict::Done(answer.clone());
        }
        match lost.decision() {
            Decision::Mismatched => Verdict::Mismatch,
            Decision::Excluded => Verdict::Refused {
                ran: lost.ran(fold),
                retry_after: self.policy.retry_after,
            },
            Decision::Won | Decision::Lost | Decision::Released => Verdict::InProgress,
        }
    }

    /// Refuses all attempts that wait, because the log is out.
    fn fail(&mut self) {
        for claimant in std::mem::take(&mut self.claimants) {
            self.give_up(claimant);
        }
        for releaser in std::mem::take(&mut self.releasers) {
            let _ = releaser.reply.send(releaser.released.ran_if_unread());
        }
    }

    /// Refuses an attempt whose claim may be on the log or may get there.
    fn give_up(&self, claimant: Claimant) {
        let released = claimant.pending.release();
        let ran = released.ran_if_unread();
        if let Some(append) = claimant.append {
            append.abort();
            self.append(&released.record(), None);
        }
        self.refuse(claimant.reply, ran);
    }

    /// Refuses the attempts whose deadline has passed.
    fn expire(&mut self) {
        let now = Instant::now();
        for claimant in std::mem::take(&mut self.claimants) {
            if claimant.deadline <= now {
                self.give_up(claimant);
            } else {
                self.claimants.push(claimant);
            }
        }
        for releaser in std::mem::take(&mut self.releasers) {
            if releaser.deadline <= now {
                let _ = releaser.reply.send(releaser.released.ran_if_unread());
            } else {
                self.releasers.push(releaser);
            }
        }
    }
}

/// What the records read so far say of an attempt that has appended nothing.
fn known(fold: &Fold, claim: &Claim) -> Option<Verdict> {
    if fold.has_other_fingerprint(claim.key, claim.fingerprint) {
        return Some(Verdict::Mismatch);
    }
    match fold.status(claim.key) {
        Status::Settled(answer) => Some(Verdict::Done(answer.clone())),
        Status::Held(_) | Status::Foreign => Some(Verdict::InProgress),
        Status::Free => None,
    }
}
