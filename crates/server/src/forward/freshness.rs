//! How recently the contents of each topic of the store were confirmed.
//!
//! A few instances read the store all the time and send changes, with the age of their last read,
//! to the others, which read the store themselves only when no peer informs them.

use crate::forward::key_validity::{KeyValidity, boot_time};
use entity::{Era, Moment, Span};
use forward::Follow;
use forward::follow::Timing;
use forward::source::Topic;
use forward::updates::Updates;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;

/// Topics that every instance follows.
pub const FOLLOWED_TOPICS: [Topic; 2] = [Topic::Operator, Topic::Upstreams];

/// Longest time that a request waits for a recent state before its dispatch.
const MAX_DISPATCH_WAIT: Duration = Duration::from_millis(250);

/// State of one topic.
#[derive(Debug)]
struct TopicState {
    follow: Mutex<Follow>,
    /// Wakes the task that follows the topic.
    wake: Notify,
    /// Wakes dispatches that wait for a recent state.
    confirmed: Notify,
}

impl TopicState {
    fn new(timing: Timing) -> Self {
        Self {
            follow: Mutex::new(Follow::new(timing)),
            wake: Notify::new(),
            confirmed: Notify::new(),
        }
    }

    fn follow(&self) -> MutexGuard<'_, Follow> {
        self.follow.lock().unwrap_or_else(PoisonError::into_inner)
    }
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
    /// Creates the state before the first read. The readers are chosen in the first round of beacons.
    /// Keys are valid for `ttl` after the last confirmed
    /// read. A new configuration has to be in force within `apply`, and an upstream that leaves may
    /// receive requests for at most `drain`.
    pub fn new(ttl: Option<Span>, apply: Span, drain: Span) -> Self {
        Self {
            key_validity: KeyValidity::new(ttl),
            operator: TopicState::new(Timing::for_operators(apply)),
            upstreams: TopicState::new(Timing::for_upstreams(drain)),
            updates: Mutex::default(),
            reader: AtomicBool::new(false),
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
        self.state(topic).follow().digest()
    }

    /// Sets the digest of a topic's contents.
    pub fn set_digest(&self, topic: Topic, digest: u64) {
        self.state(topic).follow().set_digest(digest);
    }

    /// Records that a read which was sent at `sent` confirmed the topic's digest.
    pub fn confirm(&self, topic: Topic, sent: Moment) {
        let state = self.state(topic);
        state.follow().confirm(sent);
        state.confirmed.notify_waiters();
    }

    /// Returns the time since the last confirmed read of a topic was sent; `None` before the first.
    pub fn age(&self, topic: Topic, now: Moment) -> Option<Span> {
        self.state(topic).follow().age(now)
    }

    /// Records a successful read of this instance that was sent at `sent` and answered now. Returns
    /// whether entries may be missing from it only because the store had an outage.
    pub fn record_read(&self, topic: Topic, sent: Moment, now: Moment) -> bool {
        self.state(topic).follow().record_read(sent, now)
    }

    /// Records that this instance or a peer read a topic in an era of the store. Returns whether the
    /// store has come back from a copy since the newest era that was known here.
    pub fn record_era(&self, topic: Topic, era: Era, now: Moment) -> bool {
        self.state(topic).follow().record_era(era, now)
    }

    /// Returns the newest era of the store that any instance is known to have read in.
    pub fn era(&self) -> Era {
        let operator = self.operator.follow().era();
        operator.max(self.upstreams.follow().era())
    }

    /// Records a read of this instance that failed, or that the store has not answered for long.
    pub fn record_failure(&self, topic: Topic) {
        let state = self.state(topic);
        state.follow().record_failure();
        state.confirmed.notify_waiters();
    }

    /// Returns whether a request may be dispatched by the state of a topic.
    pub fn allows_dispatch(&self, topic: Topic) -> bool {
        self.state(topic).follow().allows_dispatch(boot_time())
    }

    /// Waits until a request may be dispatched by the state of a topic, for a limited time.
    pub async fn wait_for_dispatch(&self, topic: Topic) {
        let state = self.state(topic);
        let allowed = async {
            loop {
                let confirmed = state.confirmed.notified();
                if self.allows_dispatch(topic) {
                    return;
                }
                confirmed.await;
            }
        };
        // After a timeout the request goes on: the process may be too slow to learn more in time.
        let _ = tokio::time::timeout(MAX_DISPATCH_WAIT, allowed).await;
    }

    /// Returns the delay after the first failed read of a topic, or a later one, by an instance that
    /// is not a reader.
    pub fn retry_delay(&self, topic: Topic, first: bool) -> Span {
        let follow = self.state(topic).follow();
        follow.retry_delay(first, boot_time())
    }

    /// Returns the time until a topic has to be read, after a read that was sent at `sent`. `jitter`
    /// is a random number from 0 to 1.
    pub fn read_delay(&self, topic: Topic, sent: Moment, jitter: f64, now: Moment) -> Span {
        let reader = self.is_reader();
        let follow = self.state(topic).follow();
        follow.read_delay(reader, sent, jitter, now)
    }

    /// Records a peer's digest of a topic, which a read confirmed that was not sent before `read`. If
    /// peers with later reads keep reporting another digest, the task that follows the topic is
    /// woken to read it.
    pub fn record_peer_digest(&self, topic: Topic, digest: u64, read: Moment, now: Moment) {
        let state = self.state(topic);
        if state.follow().record_sight(digest, read, now) {
            state.wake.notify_one();
        }
        state.confirmed.notify_waiters();
    }

    /// Waits until the task that follows a topic is woken: peers with later reads report another
    /// digest, or this instance has become a reader.
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

    /// Sets whether this instance reads the store for its peers. One that ceases to do so reads when
    /// its state is due.
    pub fn set_reader(&self, reader: bool) {
        let was = self.reader.swap(reader, Ordering::Relaxed);
        if reader && !was {
            self.operator.wake.notify_one();
            self.upstreams.wake.notify_one();
        }
    }
}
