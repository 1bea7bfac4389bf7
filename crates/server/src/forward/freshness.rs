//! How recently the contents of each topic of the store were confirmed.
//!
//! A few instances read the store all the time and send changes, with the age of their last read,
//! to the others, which read the store themselves only when no peer informs them.

use crate::forward::key_validity::{KeyValidity, boot_time};
use entity::{Era, Moment, Span};
use forward::cursor::Coverage;
use forward::follow::{Follow, Timing};
use forward::source::Topic;
use forward::updates::Updates;
use forward::{Followed, Follows};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::sync::Notify;

/// Longest time that a request waits for a recent state before its dispatch.
const MAX_DISPATCH_WAIT: Duration = Duration::from_millis(250);

/// Tasks that wait for news of one topic.
#[derive(Debug, Default)]
struct Waiters {
    /// Wakes the task that follows the topic.
    wake: Notify,
    /// Wakes dispatches that wait for a recent state.
    confirmed: Notify,
}

/// Digests and ages of the topics of the store.
#[derive(Debug)]
pub struct Freshness {
    /// Expiry of API keys.
    pub key_validity: KeyValidity,
    follows: Mutex<Follows>,
    operator: Waiters,
    upstreams: Waiters,
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
            follows: Mutex::new(Follows::new(
                Timing::for_operators(apply),
                Timing::for_upstreams(drain),
            )),
            operator: Waiters::default(),
            upstreams: Waiters::default(),
            updates: Mutex::default(),
            reader: AtomicBool::new(false),
        }
    }

    fn waiters(&self, topic: Followed) -> &Waiters {
        match topic {
            Followed::Operator => &self.operator,
            Followed::Upstreams => &self.upstreams,
        }
    }

    fn follows(&self) -> MutexGuard<'_, Follows> {
        self.follows.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn with<T>(&self, topic: Followed, read: impl FnOnce(&Follow) -> T) -> T {
        read(self.follows().get(topic))
    }

    fn update<T>(&self, topic: Followed, change: impl FnOnce(&mut Follow) -> T) -> T {
        change(self.follows().get_mut(topic))
    }

    /// Returns the digest of a topic's contents.
    pub fn digest(&self, topic: Followed) -> u64 {
        self.with(topic, Follow::digest)
    }

    /// Sets the digest of a topic's contents.
    pub fn set_digest(&self, topic: Followed, digest: u64) {
        self.update(topic, |follow| follow.set_digest(digest));
    }

    /// Records that records of a topic were applied, after which its contents have the digest. They come
    /// from a read that was sent at `sent`, or from a peer.
    pub fn record_applied(&self, topic: Topic, digest: u64, read: (Moment, Coverage)) {
        let confirmed = self.follows().record_applied(topic, digest, read);
        if let Some(topic) = confirmed {
            self.waiters(topic).confirmed.notify_waiters();
        }
    }

    /// Returns the time since the last confirmed read of a topic was sent; `None` before the first.
    pub fn age(&self, topic: Followed, now: Moment) -> Option<Span> {
        self.with(topic, |follow| follow.age(now))
    }

    /// Records a successful read of this instance that was sent at `sent` and answered now. Returns
    /// whether entries may be missing from it only because the store had an outage.
    pub fn record_read(&self, topic: Followed, sent: Moment, now: Moment) -> bool {
        self.update(topic, |follow| follow.record_read(sent, now))
    }

    /// Records that this instance or a peer read a topic in an era of the store. Returns whether the
    /// store has come back from a copy since the newest era that was known here.
    pub fn record_era(&self, topic: Followed, era: Era, now: Moment) -> bool {
        self.update(topic, |follow| follow.record_era(era, now))
    }

    /// Returns the newest era of the store that any instance is known to have read in.
    pub fn era(&self) -> Era {
        let follows = self.follows();
        let eras = Followed::ALL.map(|topic| follows.get(topic).era());
        eras.into_iter().max().unwrap_or_default()
    }

    /// Records a read of this instance that failed, or that the store has not answered for long.
    pub fn record_failure(&self, topic: Followed) {
        self.update(topic, Follow::record_failure);
        self.waiters(topic).confirmed.notify_waiters();
    }

    /// Returns whether a request may be dispatched by the state of a topic.
    pub fn allows_dispatch(&self, topic: Followed) -> bool {
        self.with(topic, |follow| follow.allows_dispatch(boot_time()))
    }

    /// Waits until a request may be dispatched by the state of a topic, for a limited time.
    pub async fn wait_for_dispatch(&self, topic: Followed) {
        let waiters = self.waiters(topic);
        let allowed = async {
            loop {
                let confirmed = waiters.confirmed.notified();
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
    pub fn retry_delay(&self, topic: Followed, first: bool) -> Span {
        self.with(topic, |follow| follow.retry_delay(first, boot_time()))
    }

    /// Returns the time until a topic has to be read, after a read that was sent at `sent`. `jitter`
    /// is a random number from 0 to 1.
    pub fn read_delay(&self, topic: Followed, sent: Moment, jitter: f64, now: Moment) -> Span {
        let reader = self.is_reader();
        self.with(topic, |follow| follow.read_delay(reader, sent, jitter, now))
    }

    /// Records a peer's digest of a topic, which a read confirmed that was not sent before `read`. If
    /// peers with later reads keep reporting another digest, the task that follows the topic is
    /// woken to read it.
    pub fn record_peer_digest(&self, topic: Followed, digest: u64, read: Moment, now: Moment) {
        let is_overdue = self.update(topic, |follow| follow.record_sight(digest, read, now));
        let waiters = self.waiters(topic);
        if is_overdue {
            waiters.wake.notify_one();
        }
        waiters.confirmed.notify_waiters();
    }

    /// Waits until the task that follows a topic is woken: peers with later reads report another
    /// digest, or this instance has become a reader.
    pub async fn wait_for_wake(&self, topic: Followed) {
        self.waiters(topic).wake.notified().await;
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
