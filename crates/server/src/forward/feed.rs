//! Reads the store, and puts what it says in force.
//!
//! One task follows each topic; one task owns the fold and makes a new generation wherever something
//! changed by which requests are routed.

use crate::clock::Clock;
use crate::decider;
use crate::forward::belief::boot_time;
use crate::forward::front::Shared;
use adoption::Snapshot;
use arc_swap::ArcSwap;
use config::forward::Limits;
use entity::{Generation, Moment, Offset, Span};
use forward::source::{Error, Listing, Page, Topic};
use forward::{Change, Fold, Place, Source, resolve};
use std::sync::Arc;
use std::time::Duration;
use timeline::{Kind, Recorder};
use tokio::sync::{mpsc, watch};
use tokio_util::sync::CancellationToken;

/// How long a read of the operators' topic waits for a record. Two reads in a row, the second one
/// lost, fit into the life of a key.
const OPERATOR_WAIT: Span = Span::from_millis(1500);
/// Time between two reads of the upstreams' topic, in which there is always something new. An
/// upstream that leaves must get nothing two seconds later.
const UPSTREAMS_PERIOD: Duration = Duration::from_millis(900);
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
    pub place: Place,
    /// The clock.
    pub clock: Clock,
    /// Takes what is in force.
    pub in_force: watch::Sender<Option<Arc<Snapshot>>>,
    /// Takes the limits of callers.
    pub limits: Arc<ArcSwap<Limits>>,
    /// What the requests share.
    pub shared: Arc<Shared>,
}

/// Starts the tasks.
pub fn spawn(parts: Parts, source: impl Source, cancel: &CancellationToken) {
    let (reads, received) = mpsc::channel(QUEUE);
    for topic in [Topic::Operator, Topic::Upstreams] {
        let follower = Follower {
            topic,
            source: source.clone(),
            reads: reads.clone(),
            recorder: parts.shared.core.recorder.clone(),
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
        reads,
        recorder: parts.shared.core.recorder.clone(),
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
}

/// Follows one topic.
struct Follower<S> {
    topic: Topic,
    source: S,
    reads: mpsc::Sender<Read>,
    recorder: Recorder,
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
                    tokio::time::sleep(pause).await;
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
            if self.topic == Topic::Upstreams {
                tokio::time::sleep_until(begun + UPSTREAMS_PERIOD).await;
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
            Topic::Operator if !out => OPERATOR_WAIT,
            _ => Span::ZERO,
        };
        let page = self.source.follow(self.topic, from, wait).await?;
        Ok(Batch::Page(page))
    }

    fn note(&self, kind: Kind, text: &str) {
        self.recorder
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
                () = tokio::time::sleep(wait) => self.fold.expire(self.parts.clock.now()),
            };
            self.note(&change);
            if change.routing && self.fold.complete() {
                self.enforce().await;
            }
        }
    }

    fn take(&mut self, read: Read) -> Change {
        let now = self.parts.clock.now();
        let change = match &read.batch {
            Batch::Listing(listing) => self.fold.list(read.topic, listing, now, read.lapsing),
            Batch::Page(page) => self.fold.page(read.topic, page, now, read.lapsing),
        };
        if read.topic == Topic::Operator {
            self.parts.shared.belief.confirm(read.sent);
        }
        // The first read of a topic may complete the fold without changing what it routes by.
        let first = self.generation == Generation(0);
        Change {
            routing: change.routing || first,
            ..change
        }
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
