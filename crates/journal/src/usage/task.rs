//! Task that keeps usage records safe until they are appended.

use super::{Error, Message, PeerClient, Policy, Stats, Unconfirmed};
use crate::committer::{self, Health};
use billing::copies::{Copies, Peer, REQUIRED_COPIES, rank};
use billing::held::{Full, Held};
use billing::usage::{Entry, Record, STREAM, encode_one};
use bytes::Bytes;
use entity::{Moment, Span, name, request, sorted};
use std::sync::Arc;
use tokio::sync::{mpsc, oneshot};
use tokio::task::JoinSet;
use tokio::time::{Instant, MissedTickBehavior, interval};
use tokio_util::sync::CancellationToken;

/// Maximum number of records in one message to a peer.
const MESSAGE_RECORDS: usize = 256;

/// Maximum number of held records that are offered to the committer in one pass.
const REPLAY_RECORDS: usize = 256;

/// Interval at which the peers are updated from the instance list and held records are checked for
/// replay and expiry.
const REVIEW_INTERVAL: Span = Span::from_secs(1);

/// Record that this instance has to append.
struct OwnRecord {
    record: Record,
    copies: Copies,
    /// Time of the next request to peers, unless the record is appended or has all its copies.
    next_request_at: Moment,
    was_requested: bool,
    reply: Option<oneshot::Sender<Result<(), Error>>>,
}

/// Result of a spawned call or append.
enum Done {
    Appended(request::Id),
    Replayed(request::Id),
    Reported,
    Held(name::Instance, Vec<request::Id>, Result<(), Unconfirmed>),
    Dropped(name::Instance),
    Closed,
}

pub(super) struct Task {
    committer: committer::Handle,
    peer_client: Arc<dyn PeerClient>,
    peers: Vec<Peer>,
    zone: name::Zone,
    policy: Policy,
    started: Instant,
    /// Sorted by request.
    own_records: Vec<OwnRecord>,
    held: Held,
    /// Held records that wait in the committer, sorted.
    replaying: Vec<request::Id>,
    /// Appended records that peers may still hold, by peer.
    drops: Vec<(name::Instance, Vec<request::Id>)>,
    running: JoinSet<Done>,
    /// Peers with a call in progress, sorted; each peer gets one call at a time.
    busy: Vec<name::Instance>,
    next_review_at: Moment,
    flushes: Vec<oneshot::Sender<()>>,
    stats: Stats,
}

impl Task {
    pub(super) fn new(
        committer: committer::Handle,
        peer_client: Arc<dyn PeerClient>,
        zone: name::Zone,
        policy: Policy,
    ) -> Self {
        Self {
            committer,
            peers: peer_client.peers(),
            peer_client,
            zone,
            policy,
            started: Instant::now(),
            own_records: Vec::new(),
            held: Held::new(policy.held),
            replaying: Vec::new(),
            drops: Vec::new(),
            running: JoinSet::new(),
            busy: Vec::new(),
            next_review_at: Moment::default(),
            flushes: Vec::new(),
            stats: Stats::default(),
        }
    }

    pub(super) async fn run(
        mut self,
        mut messages: mpsc::Receiver<Message>,
        cancel: CancellationToken,
    ) {
        let mut ticks = interval(self.policy.update_interval.duration());
        ticks.set_missed_tick_behavior(MissedTickBehavior::Delay);
        loop {
            tokio::select! {
                () = cancel.cancelled() => break,
                message = messages.recv() => match message {
                    Some(message) => self.handle_message(message),
                    None => break,
                },
                Some(done) = self.running.join_next() => {
                    self.finish(done.expect("a call does not panic"));
                }
                _ = ticks.tick() => self.tick(),
            }
        }
        // The committer still appends the records it has accepted, until its drain timeout.
        self.running.detach_all();
    }

    fn now(&self) -> Moment {
        Moment::default() + Span::from(self.started.elapsed())
    }

    fn handle_message(&mut self, message: Message) {
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
                    self.held.mark_appended(request);
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
        let at_risk = self.own_records.iter().filter(|own| !own.copies.is_safe());
        Stats {
            open: self.own_records.len(),
            unsafe_now: at_risk.count(),
            held: self.held.len(),
            ..self.stats
        }
    }

    fn find_own(&self, request: request::Id) -> Result<usize, usize> {
        self.own_records
            .binary_search_by_key(&request, |own| own.record.request)
    }

    fn commit(&mut self, record: Record, reply: oneshot::Sender<Result<(), Error>>) {
        if self.own_records.len() >= self.policy.capacity {
            let _ = reply.send(Err(Error::Full));
            return;
        }
        self.track(record, Some(reply));
    }

    fn track(&mut self, record: Record, reply: Option<oneshot::Sender<Result<(), Error>>>) {
        let request = record.request;
        let Err(index) = self.find_own(request) else {
            debug_assert!(reply.is_none(), "a request has one record");
            return;
        };
        let own = OwnRecord {
            copies: Copies::new(self.peers.len()),
            next_request_at: self.now() + self.policy.hold_delay,
            was_requested: false,
            reply,
            record: record.clone(),
        };
        self.own_records.insert(index, own);
        self.append(&Entry::Request(record), Done::Appended(request));
    }

    /// Offers an entry to the committer, which retries until it is appended.
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
                self.held.mark_appended(request);
                if let Ok(index) = self.replaying.binary_search(&request) {
                    self.replaying.remove(index);
                }
            }
            Done::Held(peer, requests, result) => {
                self.mark_idle(&peer);
                if result.is_ok() {
                    self.record_holds(&peer, &requests);
                }
            }
            Done::Dropped(peer) => self.mark_idle(&peer),
            Done::Reported | Done::Closed => {}
        }
    }

    fn appended(&mut self, request: request::Id) {
        let Ok(index) = self.find_own(request) else {
            return;
        };
        let own = &mut self.own_records[index];
        own.copies.record_append();
        confirm_safe(own);
        for peer in own.copies.drop_targets().to_vec() {
            self.drops_for(&peer).push(request);
        }
    }

    fn mark_idle(&mut self, peer: &name::Instance) {
        if let Ok(index) = self.busy.binary_search(peer) {
            self.busy.remove(index);
        }
    }

    fn mark_busy(&mut self, peer: &name::Instance) {
        if let Err(index) = self.busy.binary_search(peer) {
            self.busy.insert(index, peer.clone());
        }
    }

    fn drops_for(&mut self, peer: &name::Instance) -> &mut Vec<request::Id> {
        sorted::entry(&mut self.drops, peer, Vec::new)
    }

    fn record_holds(&mut self, peer: &name::Instance, requests: &[request::Id]) {
        let live = self.peers.iter().any(|other| other.name == *peer);
        if !live {
            return;
        }
        for request in requests {
            let Ok(index) = self.find_own(*request) else {
                continue;
            };
            let own = &mut self.own_records[index];
            own.copies.record_request(peer.clone());
            own.copies.record_hold(peer.clone());
            if own.copies.is_safe() {
                confirm_safe(own);
            }
        }
    }

    fn tick(&mut self) {
        // Removed in one pass, because each single removal would shift all later records.
        self.own_records.retain(|own| !own.copies.is_appended());
        if self.own_records.is_empty() {
            for reply in self.flushes.drain(..) {
                let _ = reply.send(());
            }
        }
        let now = self.now();
        if now >= self.next_review_at {
            self.next_review_at = now + REVIEW_INTERVAL;
            self.update_peers();
            self.stats.expired += self.held.expire(now).len() as u64;
            self.replay(now);
        }
        self.request_holds(now);
        self.announce_appended();
    }

    /// Updates the peers from the instance list and adopts the records of peers that are gone.
    fn update_peers(&mut self) {
        let mut peers = self.peer_client.peers();
        peers.sort();
        if peers == self.peers {
            return;
        }
        let before = std::mem::replace(&mut self.peers, peers);
        let count = self.peers.len();
        for own in &mut self.own_records {
            own.copies.set_peer_count(count);
        }
        for peer in before {
            if self.peers.binary_search(&peer).is_ok() {
                continue;
            }
            for own in &mut self.own_records {
                own.copies.remove_peer(&peer.name);
            }
            for record in self.held.adopt(&peer.name) {
                self.stats.adopted += 1;
                self.track(record, None);
            }
        }
    }

    fn replay(&mut self, now: Moment) {
        for record in self.held.replay(now, REPLAY_RECORDS) {
            let request = record.request;
            // The committer still retries the records that it was offered before.
            let Err(index) = self.replaying.binary_search(&request) else {
                continue;
            };
            self.replaying.insert(index, request);
            self.append(&Entry::Request(record), Done::Replayed(request));
        }
    }

    /// Asks peers to hold the records whose append is slow.
    fn request_holds(&mut self, now: Moment) {
        let outage = *self.committer.health().borrow() == Health::Down;
        let mut batches: Vec<(name::Instance, Vec<Record>)> = Vec::new();
        for own in &mut self.own_records {
            let first = outage && !own.was_requested;
            if own.copies.missing() == 0 || (own.next_request_at > now && !first) {
                continue;
            }
            // After an unanswered request, further peers are asked as well.
            let spare = if own.was_requested {
                REQUIRED_COPIES
            } else {
                0
            };
            let count = own.copies.missing() + spare;
            let ranked = rank(&self.peers, &self.zone, own.record.request);
            let available = ranked.into_iter().filter(|peer| {
                let busy = self.busy.binary_search(&peer.name).is_ok();
                !busy && !own.copies.is_held_by(&peer.name)
            });
            let available: Vec<&Peer> = available.take(count).collect();
            for peer in available {
                if add_to_batch(&mut batches, &peer.name, &own.record) {
                    own.copies.record_request(peer.name.clone());
                    own.next_request_at = now + self.policy.confirm_timeout;
                    own.was_requested = true;
                }
            }
        }
        for (peer, records) in batches {
            self.call_hold(peer, records);
        }
    }

    fn call_hold(&mut self, peer: name::Instance, records: Vec<Record>) {
        let peer_client = Arc::clone(&self.peer_client);
        self.mark_busy(&peer);
        self.running.spawn(async move {
            let requests = records.iter().map(|record| record.request).collect();
            let result = peer_client.hold(&peer, &records).await;
            Done::Held(peer, requests, result)
        });
    }

    /// Informs peers of the records that were appended. A lost message only costs a duplicate
    /// record.
    fn announce_appended(&mut self) {
        for (peer, requests) in std::mem::take(&mut self.drops) {
            if self.busy.binary_search(&peer).is_ok() {
                self.drops.push((peer, requests));
                continue;
            }
            let peer_client = Arc::clone(&self.peer_client);
            self.mark_busy(&peer);
            self.running.spawn(async move {
                let _ = peer_client.drop_held(&peer, &requests).await;
                Done::Dropped(peer)
            });
        }
    }
}

fn confirm_safe(own: &mut OwnRecord) {
    debug_assert!(own.copies.is_safe(), "only a safe record is answered");
    if let Some(reply) = own.reply.take() {
        // The caller may no longer wait; the request is billed regardless.
        let _ = reply.send(Ok(()));
    }
}

/// Adds a record to the batch for a peer. Returns false if the batch is full.
fn add_to_batch(
    batches: &mut Vec<(name::Instance, Vec<Record>)>,
    peer: &name::Instance,
    record: &Record,
) -> bool {
    let records = sorted::entry(batches, peer, Vec::new);
    let fits = records.len() < MESSAGE_RECORDS;
    if fits {
        records.push(record.clone());
    }
    fits
}
