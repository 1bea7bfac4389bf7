//! The task that keeps usage records safe.

use super::{Error, Message, Policy, Replica, Stats, Unheld};
use crate::committer::{self, Health};
use billing::custody::{COPIES, Custody, Fellow, rank};
use billing::held::{Full, Held};
use billing::usage::{Entry, Record, STREAM, encode_one};
use bytes::Bytes;
use entity::{Moment, Span, name, request, sorted};
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinSet;
use tokio::time::{Instant, MissedTickBehavior, interval};
use tokio_util::sync::CancellationToken;

/// Records that one message to a fellow carries at most.
const MESSAGE_RECORDS: usize = 256;

/// Held records that are offered to the committer in one pass.
const REPLAY_RECORDS: usize = 256;

/// How often fellows are compared with the instance list, and held records are looked through for
/// those to append.
const REVIEW_INTERVAL: Span = Span::from_secs(1);

/// A record that this instance answers for.
struct Owned {
    record: Record,
    custody: Custody,
    /// When fellows are asked next, unless the record is appended or has all its copies.
    ask_at: Moment,
    asked: bool,
    reply: Option<oneshot::Sender<Result<(), Error>>>,
}

/// What a task that ran beside has done.
enum Done {
    Appended(request::Id),
    Replayed(request::Id),
    Reported,
    Held(name::Instance, Vec<request::Id>, Result<(), Unheld>),
    Dropped(name::Instance),
    Closed,
}

pub(super) struct Task {
    committer: committer::Handle,
    replicas: Arc<dyn Replica>,
    fellows: Vec<Fellow>,
    home: name::Zone,
    policy: Policy,
    began: Instant,
    /// Sorted by request.
    owned: Vec<Owned>,
    held: Held,
    /// Held records that wait in the committer, sorted.
    replaying: Vec<request::Id>,
    /// Appended records that fellows may still hold.
    drops: Vec<(name::Instance, Vec<request::Id>)>,
    running: JoinSet<Done>,
    /// Fellows with a call under way, sorted; each gets one at a time.
    busy: Vec<name::Instance>,
    review_at: Moment,
    flushes: Vec<oneshot::Sender<()>>,
    stats: Stats,
}

impl Task {
    pub(super) fn new(
        committer: committer::Handle,
        replicas: Arc<dyn Replica>,
        home: name::Zone,
        policy: Policy,
    ) -> Self {
        Self {
            committer,
            fellows: replicas.fellows(),
            replicas,
            home,
            policy,
            began: Instant::now(),
            owned: Vec::new(),
            held: Held::new(policy.holding),
            replaying: Vec::new(),
            drops: Vec::new(),
            running: JoinSet::new(),
            busy: Vec::new(),
            review_at: Moment::default(),
            flushes: Vec::new(),
            stats: Stats::default(),
        }
    }

    pub(super) async fn run(
        mut self,
        mut messages: mpsc::Receiver<Message>,
        cancel: CancellationToken,
    ) {
        let mut ticks = interval(self.policy.tick.duration());
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                () = cancel.cancelled() => break,
                message = messages.recv() => match message {
                    Some(message) => self.take(message),
                    None => break,
                },
                Some(done) = self.running.join_next() => {
                    self.finish(done.expect("a call does not panic"));
                }
                _ = ticks.tick() => self.tick(),
            }
        }
        // The committer still appends what waits there, for as long as it drains.
        self.running.detach_all();
    }

    fn now(&self) -> Moment {
        Moment::default() + Span::from(self.began.elapsed())
    }

    fn take(&mut self, message: Message) {
        match message {
            Message::Commit(record, reply) => self.commit(record, reply),
            Message::Report(interval) => {
                self.append(&Entry::Reserve(interval), Done::Reported);
            }
            Message::Hold(owner, records, reply) => {
                let _ = reply.send(self.hold(&owner, records));
            }
            Message::Drop(requests) => {
                for request in requests {
                    self.held.appended(request);
                }
            }
            Message::Orphan(owner) => {
                let now = self.now();
                self.held.orphan(&owner, now);
            }
            Message::Flush(reply) => self.flushes.push(reply),
            Message::Stats(reply) => {
                let _ = reply.send(self.stats());
            }
        }
    }

    fn stats(&self) -> Stats {
        let endangered = self.owned.iter().filter(|owned| !owned.custody.is_safe());
        Stats {
            open: self.owned.len(),
            unsafe_now: endangered.count(),
            held: self.held.len(),
            ..self.stats
        }
    }

    fn find(&self, request: request::Id) -> Result<usize, usize> {
        self.owned
            .binary_search_by_key(&request, |owned| owned.record.request)
    }

    fn commit(&mut self, record: Record, reply: oneshot::Sender<Result<(), Error>>) {
        if self.owned.len() >= self.policy.capacity {
            let _ = reply.send(Err(Error::Full));
            return;
        }
        self.own(record, Some(reply));
    }

    fn own(&mut self, record: Record, reply: Option<oneshot::Sender<Result<(), Error>>>) {
        let request = record.request;
        let Err(index) = self.find(request) else {
            debug_assert!(reply.is_none(), "a request has one record");
            return;
        };
        let owned = Owned {
            custody: Custody::new(self.fellows.len()),
            ask_at: self.now() + self.policy.patience,
            asked: false,
            reply,
            record: record.clone(),
        };
        self.owned.insert(index, owned);
        self.append(&Entry::Request(record), Done::Appended(request));
    }

    /// Offers an entry to the committer, which tries until it is appended.
    fn append(&mut self, entry: &Entry, done: Done) {
        let data: Bytes = encode_one(entry).into();
        let committer = self.committer.clone();
        self.running.spawn(async move {
            match committer.append(STREAM, data).await {
                Ok(_) => done,
                Err(committer::Closed) => Done::Closed,
            }
        });
    }

    fn hold(&mut self, owner: &name::Instance, records: Vec<Record>) -> Result<(), Full> {
        let now = self.now();
        for record in records {
            self.held.hold(record, owner.clone(), now)?;
        }
        Ok(())
    }

    fn finish(&mut self, done: Done) {
        match done {
            Done::Appended(request) => self.appended(request),
            Done::Replayed(request) => {
                self.held.appended(request);
                if let Ok(index) = self.replaying.binary_search(&request) {
                    self.replaying.remove(index);
                }
            }
            Done::Held(fellow, requests, result) => {
                self.free(&fellow);
                if result.is_ok() {
                    self.confirm(&fellow, &requests);
                }
            }
            Done::Dropped(fellow) => self.free(&fellow),
            Done::Reported | Done::Closed => {}
        }
    }

    fn appended(&mut self, request: request::Id) {
        let Ok(index) = self.find(request) else {
            return;
        };
        let owned = &mut self.owned[index];
        owned.custody.append();
        answer(owned);
        for fellow in owned.custody.droppable().to_vec() {
            self.drops_of(&fellow).push(request);
        }
    }

    fn free(&mut self, fellow: &name::Instance) {
        if let Ok(index) = self.busy.binary_search(fellow) {
            self.busy.remove(index);
        }
    }

    fn engage(&mut self, fellow: &name::Instance) {
        if let Err(index) = self.busy.binary_search(fellow) {
            self.busy.insert(index, fellow.clone());
        }
    }

    fn drops_of(&mut self, fellow: &name::Instance) -> &mut Vec<request::Id> {
        sorted::entry(&mut self.drops, fellow, Vec::new)
    }

    fn confirm(&mut self, fellow: &name::Instance, requests: &[request::Id]) {
        let live = self.fellows.iter().any(|other| other.name == *fellow);
        if !live {
            return;
        }
        for request in requests {
            let Ok(index) = self.find(*request) else {
                continue;
            };
            let owned = &mut self.owned[index];
            owned.custody.ask(fellow.clone());
            owned.custody.confirm(fellow.clone());
            if owned.custody.is_safe() {
                answer(owned);
            }
        }
    }

    fn tick(&mut self) {
        // Removed together: removal one by one would move all others each time.
        self.owned.retain(|owned| !owned.custody.is_appended());
        if self.owned.is_empty() {
            for reply in self.flushes.drain(..) {
                let _ = reply.send(());
            }
        }
        let now = self.now();
        if now >= self.review_at {
            self.review_at = now + REVIEW_INTERVAL;
            self.compare();
            self.stats.expired += self.held.expire(now).len() as u64;
            self.replay(now);
        }
        self.ask(now);
        self.tell();
    }

    /// Compares the fellows with the instance list.
    fn compare(&mut self) {
        let mut fellows = self.replicas.fellows();
        fellows.sort();
        if fellows == self.fellows {
            return;
        }
        let before = std::mem::replace(&mut self.fellows, fellows);
        let count = self.fellows.len();
        for owned in &mut self.owned {
            owned.custody.resize(count);
        }
        for fellow in before {
            if self.fellows.binary_search(&fellow).is_ok() {
                continue;
            }
            for owned in &mut self.owned {
                owned.custody.lose(&fellow.name);
            }
            for record in self.held.adopt(&fellow.name) {
                self.stats.adopted += 1;
                self.own(record, None);
            }
        }
    }

    fn replay(&mut self, now: Moment) {
        for record in self.held.replay(now, REPLAY_RECORDS) {
            let request = record.request;
            // The committer goes on trying what it was offered before.
            let Err(index) = self.replaying.binary_search(&request) else {
                continue;
            };
            self.replaying.insert(index, request);
            self.append(&Entry::Request(record), Done::Replayed(request));
        }
    }

    /// Asks fellows to hold the records whose append is slow.
    fn ask(&mut self, now: Moment) {
        let outage = *self.committer.health().borrow() == Health::Down;
        let mut asks: Vec<(name::Instance, Vec<Record>)> = Vec::new();
        for owned in &mut self.owned {
            let first = outage && !owned.asked;
            if owned.custody.missing() == 0 || (owned.ask_at > now && !first) {
                continue;
            }
            // Others are asked as well where some did not answer.
            let spare = if owned.asked { COPIES } else { 0 };
            let wanted = owned.custody.missing() + spare;
            let ranked = rank(&self.fellows, &self.home, owned.record.request);
            let free = ranked.into_iter().filter(|fellow| {
                let busy = self.busy.binary_search(&fellow.name).is_ok();
                !busy && !owned.custody.is_held_by(&fellow.name)
            });
            let free: Vec<&Fellow> = free.take(wanted).collect();
            for fellow in free {
                if add(&mut asks, &fellow.name, &owned.record) {
                    owned.custody.ask(fellow.name.clone());
                    owned.ask_at = now + self.policy.confirm;
                    owned.asked = true;
                }
            }
        }
        for (fellow, records) in asks {
            self.call_hold(fellow, records);
        }
    }

    fn call_hold(&mut self, fellow: name::Instance, records: Vec<Record>) {
        let replicas = Arc::clone(&self.replicas);
        self.engage(&fellow);
        self.running.spawn(async move {
            let requests = records.iter().map(|record| record.request).collect();
            let result = replicas.hold(&fellow, &records).await;
            Done::Held(fellow, requests, result)
        });
    }

    /// Tells fellows which records were appended. A message that is lost costs a duplicate.
    fn tell(&mut self) {
        for (fellow, requests) in std::mem::take(&mut self.drops) {
            if self.busy.binary_search(&fellow).is_ok() {
                self.drops.push((fellow, requests));
                continue;
            }
            let replicas = Arc::clone(&self.replicas);
            self.engage(&fellow);
            self.running.spawn(async move {
                let _ = replicas.forget(&fellow, &requests).await;
                Done::Dropped(fellow)
            });
        }
    }
}

fn answer(owned: &mut Owned) {
    debug_assert!(owned.custody.is_safe(), "only a safe record is answered");
    if let Some(reply) = owned.reply.take() {
        // Whoever waited may be gone; the request is billed all the same.
        let _ = reply.send(Ok(()));
    }
}

/// Adds a record to the message for a fellow, unless that is full.
fn add(
    asks: &mut Vec<(name::Instance, Vec<Record>)>,
    fellow: &name::Instance,
    record: &Record,
) -> bool {
    let records = sorted::entry(asks, fellow, Vec::new);
    let fits = records.len() < MESSAGE_RECORDS;
    if fits {
        records.push(record.clone());
    }
    fits
}
