//! Reads the store, and puts what it says in force.
//!
//! One task follows each topic; one task owns the fold and makes a new generation wherever something
//! changed by which requests are routed.

use crate::clock::Clock;
use crate::decider;
use crate::forward::belief::boot_time;
use crate::forward::freshness::FOLLOWED;
use crate::forward::front::Shared;
use adoption::Snapshot;
use arc_swap::ArcSwap;
use config::forward::Limits;
use entity::{Generation, Moment, Offset, Span};
use forward::source::{Error, Item, Listing, Page, Topic};
use forward::{Change, Fold, ZoneRegions, Source, resolve};
use rand::RngExt;
use std::sync::Arc;
use std::time::Duration;
use timeline::Kind;
use tokio::sync::{mpsc, oneshot, watch};
use tokio_util::sync::CancellationToken;

/// How long a reader's read of the operators' topic waits for a record.
const OPERATOR_WAIT: Span = Span::from_millis(500);
/// Time between two reads of the upstreams' topic by a reader; there is always something new. An
/// upstream that leaves must get nothing two seconds later.
const UPSTREAMS_PERIOD: Duration = Duration::from_millis(600);
/// Share of the agreed time at which an instance that is not told by others reads a topic itself.
const READ_BY: f64 = 0.65;
/// Longest further wait, drawn at random, so that not all instances read at once.
const SPREAD_MS: u64 = 200;
/// Pause of an instance that is told by others after a failed read.
const TOLD_PAUSE: Duration = Duration::from_millis(1200);
/// Shortest and longest pause after a failed read.
const PAUSES: (Duration, Duration) = (Duration::from_millis(50), Duration::from_millis(400));
/// A gap between two confirmed reads from which on the store counts as having been away.
const OUTAGE: Span = Span::from_millis(2600);
/// How long after the store's return entries may be missing only because it was away.
const LAPSING: Span = Span::from_millis(1500);
/// Batches of records that wait for the fold.
const QUEUE: usize = 16;

/// Records of one read.
#[derive(Debug)]
enum Batch {
    /// The newest record of each key.
    Listing(Listing),
    /// What was appended.
    Page(Page),
    /// What another instance told, of which the position in the topic says nothing; and whom to tell
    /// that it was taken in.
    Told(Vec<Item>, oneshot::Sender<()>),
}

#[derive(Debug)]
struct Read {
    topic: Topic,
    batch: Batch,
    /// When it was sent, in boot time.
    sent: Moment,
    /// Whether entries may be missing only because the store was away.
    lapsing: bool,
}

/// What the task that owns the fold needs.
pub struct Parts {
    /// The store.
    pub store: Box<str>,
    /// Regions of the availability zones.
    pub place: ZoneRegions,
    /// The clock.
    pub clock: Clock,
    /// Takes what is in force.
    pub in_force: watch::Sender<Option<Arc<Snapshot>>>,
    /// Takes the limits of callers.
    pub limits: Arc<ArcSwap<Limits>>,
    /// What the requests share.
    pub shared: Arc<Shared>,
    /// Agreed times within which a configuration is in force, and an upstream that leaves gets nothing
    /// more.
    pub agreed: (Span, Span),
}

/// Takes records that another instance told.
#[derive(Clone, Debug)]
pub struct Handle {
    reads: mpsc::Sender<Read>,
}

impl Handle {
    /// Takes in records that another instance told, and waits until they count.
    pub async fn told(&self, topic: Topic, items: Vec<Item>) {
        let (taken, wait) = oneshot::channel();
        let read = Read {
            topic,
            batch: Batch::Told(items, taken),
            sent: Moment(0),
            lapsing: false,
        };
        // Without a receiver the instance is closing.
        let _ = self.reads.send(read).await;
        let _ = wait.await;
    }
}

/// Starts the tasks.
pub fn spawn(parts: Parts, source: impl Source, cancel: &CancellationToken) -> Handle {
    let (reads, received) = mpsc::channel(QUEUE);
    for topic in FOLLOWED {
        let follower = Follower {
            topic,
            source: source.clone(),
            reads: reads.clone(),
            shared: parts.shared.clone(),
            limit: limit(match topic {
                Topic::Upstreams => parts.agreed.1,
                _ => parts.agreed.0,
            }),
        };
        let cancel = cancel.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = cancel.cancelled() => {}
                () = follower.run() => {}
            }
        });
    }
    let lister = Follower {
        topic: Topic::Progress,
        source,
        reads: reads.clone(),
        shared: parts.shared.clone(),
        limit: Span::ZERO,
    };
    let token = cancel.clone();
    tokio::spawn(async move {
        tokio::select! {
            () = token.cancelled() => {}
            () = lister.list() => {}
        }
    });
    let keeper = Keeper {
        parts,
        fold: Fold::default(),
        generation: Generation(0),
    };
    let cancel = cancel.clone();
    tokio::spawn(async move {
        tokio::select! {
            () = cancel.cancelled() => {}
            () = keeper.run(received) => {}
        }
    });
    Handle { reads }
}

/// The age at which a topic is read where nobody tells of it.
fn limit(agreed: Span) -> Span {
    Span::from_micros((agreed.as_micros() as f64 * READ_BY) as u64)
}

/// Follows one topic.
struct Follower<S> {
    topic: Topic,
    source: S,
    reads: mpsc::Sender<Read>,
    shared: Arc<Shared>,
    /// Age of what is known at which the topic is read.
    limit: Span,
}

impl<S: Source> Follower<S> {
    async fn run(self) {
        let mut next: Option<Offset> = None;
        let mut confirmed: Option<Moment> = None;
        let mut returned: Option<Moment> = None;
        let mut pause = PAUSES.0;
        let mut out = false;
        loop {
            let sent = boot_time();
            let begun = tokio::time::Instant::now();
            let read = self.read(next, out).await;
            let batch = match read {
                Ok(batch) => batch,
                Err(Error::Expired) => {
                    next = None;
                    continue;
                }
                Err(error) => {
                    if !out {
                        self.note(Kind::Outage, &error.to_string());
                    }
                    out = true;
                    self.retreat(pause, next.is_some()).await;
                    pause = (pause * 2).min(PAUSES.1);
                    continue;
                }
            };
            let now = boot_time();
            if confirmed.is_some_and(|last| now.since(last) > OUTAGE) {
                returned = Some(now);
            }
            if out {
                self.note(Kind::Adopted, "the store answers again");
            }
            (confirmed, out, pause) = (Some(now), false, PAUSES.0);
            next = Some(match &batch {
                Batch::Listing(listing) => listing.end,
                Batch::Page(page) => page.next,
                Batch::Told(..) => continue,
            });
            let read = Read {
                topic: self.topic,
                batch,
                sent,
                lapsing: returned.is_some_and(|at| now.since(at) < LAPSING),
            };
            if self.reads.send(read).await.is_err() {
                return;
            }
            self.pause(begun).await;
        }
    }

    /// Waits after a failed read. While readers ask for all, the others need not.
    async fn retreat(&self, pause: Duration, started: bool) {
        let freshness = &self.shared.freshness;
        if freshness.is_reader() || !started {
            tokio::time::sleep(pause).await;
            return;
        }
        tokio::time::sleep(TOLD_PAUSE).await;
        self.pause(tokio::time::Instant::now()).await;
    }

    /// Waits until the topic is to be read again.
    async fn pause(&self, begun: tokio::time::Instant) {
        let freshness = &self.shared.freshness;
        let spread = Span::from_millis(rand::rng().random_range(0..=SPREAD_MS));
        let limit = self.limit;
        loop {
            let wait = if freshness.is_reader() {
                match self.topic {
                    Topic::Upstreams => (begun + UPSTREAMS_PERIOD)
                        .saturating_duration_since(tokio::time::Instant::now()),
                    _ => Duration::ZERO,
                }
            } else {
                let age = freshness
                    .age(self.topic, boot_time())
                    .unwrap_or(limit + spread);
                (limit + spread).duration().saturating_sub(age.duration())
            };
            if wait.is_zero() {
                return;
            }
            tokio::select! {
                () = tokio::time::sleep(wait) => {}
                () = freshness.woken(self.topic) => {
                    if !freshness.is_reader() {
                        return;
                    }
                }
            }
        }
    }

    /// Reads a topic once that instances write themselves: later records are told by datagrams.
    async fn list(self) {
        let mut pause = PAUSES.0;
        loop {
            let sent = boot_time();
            match self.source.newest(self.topic).await {
                Ok(listing) => {
                    let read = Read {
                        topic: self.topic,
                        batch: Batch::Listing(listing),
                        sent,
                        lapsing: false,
                    };
                    // Without a receiver the instance is closing.
                    let _ = self.reads.send(read).await;
                    return;
                }
                Err(error) => self.note(Kind::Outage, &error.to_string()),
            }
            tokio::time::sleep(pause).await;
            pause = (pause * 2).min(PAUSES.1);
        }
    }

    async fn read(&self, next: Option<Offset>, out: bool) -> Result<Batch, Error> {
        let Some(from) = next else {
            return self.source.newest(self.topic).await.map(Batch::Listing);
        };
        // After an outage the age of what is known matters more than a call.
        let wait = match self.topic {
            Topic::Operator if !out && self.shared.freshness.is_reader() => OPERATOR_WAIT,
            _ => Span::ZERO,
        };
        let page = self.source.follow(self.topic, from, wait).await?;
        Ok(Batch::Page(page))
    }

    fn note(&self, kind: Kind, text: &str) {
        let recorder = &self.shared.core.recorder;
        recorder
            .event(kind)
            .text("topic", format!("{:?}", self.topic))
            .text("why", text)
            .record();
    }
}

/// Owns the fold.
struct Keeper {
    parts: Parts,
    fold: Fold,
    generation: Generation,
}

impl Keeper {
    async fn run(mut self, mut received: mpsc::Receiver<Read>) {
        loop {
            let now = self.parts.clock.now();
            let expiry = self.fold.next_expiry();
            let wait = expiry.map_or(Duration::from_secs(3600), |at| at.since(now).duration());
            let change = tokio::select! {
                read = received.recv() => match read {
                    Some(read) => self.take(read),
                    None => return,
                },
                () = tokio::time::sleep(wait) => self.expire(),
            };
            self.note(&change);
            if change.routing && self.fold.is_complete() {
                self.enforce().await;
            }
        }
    }

    fn take(&mut self, read: Read) -> Change {
        let now = self.parts.clock.now();
        let mut told = None;
        let change = match read.batch {
            Batch::Listing(listing) => {
                let mut updates = self.parts.shared.freshness.updates();
                for item in &listing.items {
                    updates.record_base(read.topic, item);
                }
                self.fold.list(read.topic, &listing, now, read.lapsing)
            }
            Batch::Page(page) => self.apply(read.topic, &page.items, now, read.lapsing),
            Batch::Told(items, taken) => {
                told = Some(taken);
                self.apply(read.topic, &items, now, read.lapsing)
            }
        };
        let freshness = &self.parts.shared.freshness;
        freshness.set_digest(read.topic, self.fold.digest(read.topic));
        match told {
            // Nobody waits any more where the instance is closing.
            Some(taken) => drop(taken.send(())),
            None => freshness.confirm(read.topic, read.sent),
        }
        // The first read of a topic may complete the fold without changing what it routes by.
        let first = self.generation == Generation(0);
        Change {
            routing: change.routing || first,
            ..change
        }
    }

    fn expire(&mut self) -> Change {
        let change = self.fold.expire(self.parts.clock.now());
        let digest = self.fold.digest(Topic::Upstreams);
        let freshness = &self.parts.shared.freshness;
        freshness.set_digest(Topic::Upstreams, digest);
        change
    }

    /// Takes in records one by one, and keeps those that change something to be relayed.
    fn apply(&mut self, topic: Topic, items: &[Item], now: Moment, lapsing: bool) -> Change {
        let mut sum = Change::default();
        for item in items {
            let change = self.fold.record(topic, item, now, lapsing);
            if change.routing && !lapsing {
                let freshness = &self.parts.shared.freshness;
                freshness.updates().announce(topic, item, boot_time());
            }
            sum.add(change);
        }
        sum
    }

    async fn enforce(&mut self) {
        let Some(config) = resolve(&self.fold, &self.parts.place) else {
            return;
        };
        self.generation = Generation(self.generation.0 + 1);
        let version = self.fold.publication().map_or(0, |known| known.version);
        self.parts.limits.store(Arc::new(config.limits));
        let addresses: Vec<_> = config
            .upstreams
            .values()
            .iter()
            .map(|upstream| upstream.address)
            .collect();
        self.parts
            .shared
            .pool
            .retain(|address| addresses.contains(&address));
        let snapshot = Arc::new(Snapshot {
            generation: self.generation,
            author: self.parts.store.clone(),
            text: Box::default(),
            config: Arc::new(config),
        });
        let decider: &decider::Handle = &self.parts.shared.core.decider;
        decider.configure(snapshot.clone()).await;
        self.parts
            .shared
            .core
            .recorder
            .event(Kind::Adopted)
            .count("generation", self.generation.0)
            .count("version", version)
            .count("upstreams", snapshot.config.upstreams.len() as u64)
            .record();
        self.parts.in_force.send_replace(Some(snapshot));
    }

    fn note(&self, change: &Change) {
        let recorder = &self.parts.shared.core.recorder;
        for name in &change.joined {
            let draft = recorder.event(Kind::Warm);
            draft.text("upstream", name).text("why", "joined").record();
        }
        for name in &change.left {
            let draft = recorder.event(Kind::Cold);
            draft.text("upstream", name).text("why", "left").record();
        }
        for (key, problem) in &change.unreadable {
            let draft = recorder.event(Kind::Rejected);
            draft.text("key", key).text("failure", problem).record();
        }
    }
}
