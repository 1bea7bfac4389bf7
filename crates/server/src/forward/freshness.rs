//! How far the topics of the store are known here, and how that is confirmed.
//!
//! A few instances read the store all the time; the others are told what changed and how recently it
//! was read, and read themselves only where nobody tells them.

use crate::forward::belief::Belief;
use entity::{Moment, Span};
use forward::updates::Updates;
use forward::source::Topic;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;

/// Topics that are followed.
pub const FOLLOWED: [Topic; 2] = [Topic::Operator, Topic::Upstreams];

/// By how much what another instance confirmed is dated back for the way of its datagram, beside the
/// time that it waited here.
const TRANSIT: Span = Span::from_millis(60);

/// How long others may know something else of the operators before this instance reads itself: what
/// changed is told within two rounds of datagrams.
const DIFFERS: Span = Span::from_millis(900);

/// The same of upstreams, which must get nothing two seconds after they leave.
const UPSTREAMS_DIFFER: Span = Span::from_millis(450);

/// How far one topic is known.
#[derive(Debug, Default)]
struct Known {
    digest: AtomicU64,
    /// When the last read was sent that found nothing else, in boot time; 0 before the first.
    confirmed: AtomicU64,
    /// Since when others know something else by later reads, in boot time; 0 where they do not.
    differs: AtomicU64,
    /// Wakes whoever follows the topic.
    wake: Notify,
}

/// How far the topics of the store are known.
#[derive(Debug)]
pub struct Freshness {
    /// How old the keys are that are taken to be valid.
    pub belief: Belief,
    operator: Known,
    upstreams: Known,
    updates: Mutex<Updates>,
    /// Whether this instance reads for others.
    reader: AtomicBool,
}

impl Freshness {
    /// Nothing is known yet. Keys are valid for `life` after the last confirmed read.
    pub fn new(life: Option<Span>) -> Self {
        Self {
            belief: Belief::new(life),
            operator: Known::default(),
            upstreams: Known::default(),
            updates: Mutex::default(),
            reader: AtomicBool::new(true),
        }
    }

    fn known(&self, topic: Topic) -> &Known {
        match topic {
            Topic::Upstreams => &self.upstreams,
            Topic::Operator | Topic::Progress | Topic::Instances => &self.operator,
        }
    }

    /// The hash of what is known of a topic.
    pub fn digest(&self, topic: Topic) -> u64 {
        self.known(topic).digest.load(Ordering::Relaxed)
    }

    /// Notes what is known of a topic.
    pub fn set_digest(&self, topic: Topic, digest: u64) {
        self.known(topic).digest.store(digest, Ordering::Relaxed);
    }

    /// Notes that a read which was sent at `sent` found nothing else than what is known.
    pub fn confirm(&self, topic: Topic, sent: Moment) {
        let confirmed = &self.known(topic).confirmed;
        confirmed.fetch_max(sent.0, Ordering::Relaxed);
    }

    /// The age of what is known of a topic; none before the first read.
    pub fn age(&self, topic: Topic, now: Moment) -> Option<Span> {
        match self.known(topic).confirmed.load(Ordering::Relaxed) {
            0 => None,
            confirmed => Some(now.since(Moment(confirmed))),
        }
    }

    /// Takes in how far another instance knows a topic. Where others go on knowing something else by
    /// later reads, the topic is read.
    pub fn observe(&self, topic: Topic, digest: u64, age: Span, now: Moment) {
        let age = age + TRANSIT;
        let sent = now - age;
        let known = self.known(topic);
        if digest == self.digest(topic) {
            known.differs.store(0, Ordering::Relaxed);
            self.confirm(topic, sent);
            return;
        }
        let own = self.age(topic, now);
        if own.is_none_or(|own| age >= own) {
            return;
        }
        let since = known.differs.load(Ordering::Relaxed);
        if since == 0 {
            known.differs.store(now.0, Ordering::Relaxed);
        } else if now.since(Moment(since)) > time_budget(topic) {
            known.differs.store(now.0, Ordering::Relaxed);
            known.wake.notify_one();
        }
    }

    /// Waits until a topic is to be read because another instance knows more.
    pub async fn woken(&self, topic: Topic) {
        self.known(topic).wake.notified().await;
    }

    /// What this instance tells others of records, and knows to understand them.
    pub fn updates(&self) -> MutexGuard<'_, Updates> {
        self.updates.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether this instance reads for others.
    pub fn is_reader(&self) -> bool {
        self.reader.load(Ordering::Relaxed)
    }

    /// Sets whether this instance reads for others.
    pub fn set_reader(&self, reader: bool) {
        if self.reader.swap(reader, Ordering::Relaxed) != reader {
            self.operator.wake.notify_one();
            self.upstreams.wake.notify_one();
        }
    }
}

fn time_budget(topic: Topic) -> Span {
    match topic {
        Topic::Upstreams => UPSTREAMS_DIFFER,
        Topic::Operator | Topic::Progress | Topic::Instances => DIFFERS,
    }
}
