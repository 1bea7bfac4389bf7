//! How recently the contents of each topic of the store were confirmed.
//!
//! A few instances read the store all the time and send changes, with the age of their last read,
//! to the others, which read the store themselves only when no peer informs them.

use crate::forward::key_validity::KeyValidity;
use entity::{Moment, Span};
use forward::source::Topic;
use forward::updates::Updates;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;

/// Topics that every instance follows.
pub const FOLLOWED_TOPICS: [Topic; 2] = [Topic::Operator, Topic::Upstreams];

/// Time by which a confirmation by a peer is dated back for the transit of its datagram, in
/// addition to the time that the datagram waited in the receive queue.
const TRANSIT_ALLOWANCE: Span = Span::from_millis(60);

/// Time for which peers with later reads may report another digest of the operators' topic before
/// this instance reads it. A change reaches every instance within two rounds of datagrams.
const OPERATOR_DISAGREEMENT_LIMIT: Span = Span::from_millis(900);

/// The same time for the upstreams' topic, since nothing may be sent to an upstream two seconds
/// after it leaves.
const UPSTREAMS_DISAGREEMENT_LIMIT: Span = Span::from_millis(450);

/// Digest and confirmations of one topic.
#[derive(Debug, Default)]
struct TopicState {
    digest: AtomicU64,
    /// Time at which the last read was sent that confirmed the digest, in boot time; 0 before the
    /// first.
    confirmed: AtomicU64,
    /// Time since which peers with later reads have reported another digest, in boot time; 0 where
    /// they do not.
    differs_since: AtomicU64,
    /// Wakes the task that follows the topic.
    wake: Notify,
}

/// Digests and ages of the topics of the store.
#[derive(Debug)]
pub struct Freshness {
    /// Expiry of API keys.
    pub key_validity: KeyValidity,
    operator: TopicState,
    upstreams: TopicState,
    updates: Mutex<Updates>,
    /// Whether this instance reads the store for its peers.
    reader: AtomicBool,
}

impl Freshness {
    /// Creates the state before the first read. Keys are valid for `ttl` after the last confirmed
    /// read.
    pub fn new(ttl: Option<Span>) -> Self {
        Self {
            key_validity: KeyValidity::new(ttl),
            operator: TopicState::default(),
            upstreams: TopicState::default(),
            updates: Mutex::default(),
            reader: AtomicBool::new(true),
        }
    }

    fn state(&self, topic: Topic) -> &TopicState {
        match topic {
            Topic::Upstreams => &self.upstreams,
            Topic::Operator | Topic::Progress | Topic::Instances => &self.operator,
        }
    }

    /// Returns the digest of a topic's contents.
    pub fn digest(&self, topic: Topic) -> u64 {
        self.state(topic).digest.load(Ordering::Relaxed)
    }

    /// Sets the digest of a topic's contents.
    pub fn set_digest(&self, topic: Topic, digest: u64) {
        self.state(topic).digest.store(digest, Ordering::Relaxed);
    }

    /// Records that a read which was sent at `sent` confirmed the topic's digest.
    pub fn confirm(&self, topic: Topic, sent: Moment) {
        let confirmed = &self.state(topic).confirmed;
        confirmed.fetch_max(sent.0, Ordering::Relaxed);
    }

    /// Returns the time since the last confirmed read of a topic was sent; `None` before the first.
    pub fn age(&self, topic: Topic, now: Moment) -> Option<Span> {
        match self.state(topic).confirmed.load(Ordering::Relaxed) {
            0 => None,
            confirmed => Some(now.since(Moment(confirmed))),
        }
    }

    /// Records a peer's digest of a topic and the age of the read that confirmed it. An equal
    /// digest confirms that of this instance. If peers with later reads keep reporting another
    /// digest, the task that follows the topic is woken to read it.
    pub fn record_peer_digest(&self, topic: Topic, digest: u64, age: Span, now: Moment) {
        let age = age + TRANSIT_ALLOWANCE;
        let sent = now - age;
        let state = self.state(topic);
        if digest == self.digest(topic) {
            state.differs_since.store(0, Ordering::Relaxed);
            self.confirm(topic, sent);
            return;
        }
        let own = self.age(topic, now);
        if own.is_none_or(|own| age >= own) {
            return;
        }
        let since = state.differs_since.load(Ordering::Relaxed);
        if since == 0 {
            state.differs_since.store(now.0, Ordering::Relaxed);
        } else if now.since(Moment(since)) > disagreement_limit(topic) {
            state.differs_since.store(now.0, Ordering::Relaxed);
            state.wake.notify_one();
        }
    }

    /// Waits until the task that follows a topic is woken: peers with later reads report another
    /// digest, or this instance has become a reader or ceased to be one.
    pub async fn wait_for_wake(&self, topic: Topic) {
        self.state(topic).wake.notified().await;
    }

    /// Returns the recent updates that are relayed to peers, with the values needed to decode
    /// theirs.
    pub fn updates(&self) -> MutexGuard<'_, Updates> {
        self.updates.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns whether this instance reads the store for its peers.
    pub fn is_reader(&self) -> bool {
        self.reader.load(Ordering::Relaxed)
    }

    /// Sets whether this instance reads the store for its peers.
    pub fn set_reader(&self, reader: bool) {
        if self.reader.swap(reader, Ordering::Relaxed) != reader {
            self.operator.wake.notify_one();
            self.upstreams.wake.notify_one();
        }
    }
}

/// Returns how long peers may report another digest before a topic is read.
fn disagreement_limit(topic: Topic) -> Span {
    match topic {
        Topic::Upstreams => UPSTREAMS_DISAGREEMENT_LIMIT,
        Topic::Operator | Topic::Progress | Topic::Instances => OPERATOR_DISAGREEMENT_LIMIT,
    }
}
