//! Reads the topics of the store and puts the resulting configuration in force.
//!
//! One task follows each topic. One task owns the fold and makes a new generation whenever a change
//! affects routing.

use crate::clock::Clock;
use crate::decider;
use crate::forward::front::Shared;
use crate::forward::key_validity::boot_time;
use adoption::Snapshot;
use arc_swap::ArcSwap;
use config::forward::Limits;
use entity::{Era, Generation, Moment, Offset, Span};
use forward::cursor::{Coverage, Cursor};
use forward::source::{Error, Item, Listing, Page, Topic};
use forward::{Change, Fold, Followed, Source, ZoneRegions, resolve};
use rand::RngExt;
use std::sync::Arc;
use std::time::Duration;
use timeline::Kind;
use tokio::sync::{Notify, mpsc, oneshot, watch};
use tokio_util::sync::CancellationToken;

/// Longest time for which a reader's read of the operators' topic waits for a record.
const OPERATOR_LONG_POLL: Span = Span::from_millis(500);
/// Time without an answer from which a read counts as failed for now. A slow store takes 200 ms.
const SLOW_READ: Span = Span::from_millis(300);
/// Shortest and longest delay after a failed read; it doubles with each failure.
const RETRY_DELAY_RANGE: (Duration, Duration) =
    (Duration::from_millis(50), Duration::from_millis(400));
/// Capacity of the channel to the task that owns the fold, in batches.
const QUEUE_CAPACITY: usize = 16;

/// Records of one read, or of one message of a peer.
#[derive(Debug)]
enum Batch {
    /// The newest record of each key.
    Listing(Listing),
    /// Records appended since the last read.
    Page(Page),
    /// Records that a peer relayed, whose offsets don't show how far the topic was read. The
    /// sender is notified once they are applied.
    Relayed(Vec<Item>, oneshot::Sender<()>),
}

impl Batch {
    /// Returns the era of the store in which the records were read; none where a peer relayed them.
    fn era(&self) -> Option<Era> {
        match self {
            Self::Listing(listing) => Some(listing.era),
            Self::Page(page) => Some(page.era),
            Self::Relayed(..) => None,
        }
    }

    /// Returns how the records were learned, as event logs name it.
    fn source(&self) -> &'static str {
        match self {
            Self::Listing(_) => "listing",
            Self::Page(_) => "page",
            Self::Relayed(..) => "peer",
        }
    }
}

#[derive(Debug)]
struct Read {
    topic: Topic,
    batch: Batch,
    /// Time at which the read was sent, in boot time.
    sent: Moment,
    /// Whether entries may be missing only because the store had an outage.
    after_outage: bool,
    /// Whether the records are all that the store had acknowledged when the read was sent.
    coverage: Coverage,
}

/// State and channels of the task that owns the fold.
pub struct Parts {
    /// Address of the store, recorded as the author of generations.
    pub store: Box<str>,
    /// Regions of the availability zones.
    pub zone_regions: ZoneRegions,
    /// Clock of the instance.
    pub clock: Clock,
    /// Receives each configuration that is put in force.
    pub in_force: watch::Sender<Option<Arc<Snapshot>>>,
    /// Limits for callers, replaced with each configuration.
    pub limits: Arc<ArcSwap<Limits>>,
    /// State shared by the requests.
    pub shared: Arc<Shared>,
}

/// Applies records that peers relay.
#[derive(Clone, Debug)]
pub struct Handle {
    reads: mpsc::Sender<Read>,
}

impl Handle {
    /// Sends records that a peer relayed to the fold, and waits until they are applied.
    pub async fn apply_relayed(&self, topic: Topic, items: Vec<Item>) {
        let (applied, wait) = oneshot::channel();
        let read = Read {
            topic,
            batch: Batch::Relayed(items, applied),
            sent: Moment(0),
            after_outage: false,
            coverage: Coverage::Partial,
        };
        // The receiver is dropped only when the instance is closing.
        let _ = self.reads.send(read).await;
        let _ = wait.await;
    }
}

/// Starts the tasks.
pub fn spawn(parts: Parts, source: impl Source, cancel: &CancellationToken) -> Handle {
    let (reads, received) = mpsc::channel(QUEUE_CAPACITY);
    for topic in Followed::ALL {
        let follower = Follower {
            topic,
            source: source.clone(),
            reads: reads.clone(),
            shared: parts.shared.clone(),
        };
        let cancel = cancel.clone();
        tokio::spawn(async move {
            tokio::select! {
                () = cancel.cancelled() => {}
                () = follower.run() => {}
            }
        });
    }
    let lister = Lister {
        topic: Topic::Progress,
        source,
        reads: reads.clone(),
        shared: parts.shared.clone(),
    };
    let ordered = Arc::new(Notify::new());
    // The first listing belongs to the start.
    ordered.notify_one();
    let (token, due) = (cancel.clone(), ordered.clone());
    tokio::spawn(async move {
        tokio::select! {
            () = token.cancelled() => {}
            () = lister.list_when(&due) => {}
        }
    });
    let applier = Applier {
        parts,
        ordered,
        fold: Fold::default(),
        generation: Generation(0),
    };
    let cancel = cancel.clone();
    tokio::spawn(async move {
        tokio::select! {
            () = cancel.cancelled() => {}
            () = applier.run(received) => {}
        }
    });
    Handle { reads }
}

/// Reads one topic of the store all the time.
struct Follower<S> {
    topic: Followed,
    source: S,
    reads: mpsc::Sender<Read>,
    shared: Arc<Shared>,
}

impl<S: Source> Follower<S> {
    async fn run(self) {
        let mut cursor = Cursor::default();
        let mut delay = RETRY_DELAY_RANGE.0;
        let mut failing = false;
        let mut restarts = 0_u32;
        loop {
            let sent = boot_time();
            let age = self.shared.freshness.age(self.topic, sent);
            let read = self.read(cursor.next(), failing).await;
            let read = read.and_then(|batch| {
                let coverage = match &batch {
                    Batch::Listing(listing) => cursor.accept_listing(listing)?,
                    Batch::Page(page) => cursor.accept_page(page)?,
                    Batch::Relayed(..) => Coverage::Partial,
                };
                Ok((batch, coverage))
            });
            let (batch, coverage) = match read {
                Ok(read) => read,
                Err(Error::Expired) => {
                    cursor.reset();
                    // The first listing follows at once. A store whose listings never fit its
                    // records is not read in a loop without pauses.
                    if restarts > 0 {
                        self.record_event(Kind::Outage, "the records after a listing are missing");
                        tokio::time::sleep(delay).await;
                        delay = (delay * 2).min(RETRY_DELAY_RANGE.1);
                    }
                    restarts += 1;
                    continue;
                }
                Err(error) => {
                    let first = !failing;
                    if first {
                        self.record_event(Kind::Outage, &error.to_string());
                    }
                    failing = true;
                    self.shared.freshness.record_failure(self.topic);
                    let started = cursor.next().is_some();
                    self.back_off(delay, started, first).await;
                    delay = (delay * 2).min(RETRY_DELAY_RANGE.1);
                    continue;
                }
            };
            if failing {
                self.record_event(Kind::Adopted, "the store answers again");
            }
            failing = false;
            if matches!(batch, Batch::Page(_)) {
                (restarts, delay) = (0, RETRY_DELAY_RANGE.0);
            }
            let freshness = &self.shared.freshness;
            if let Some(era) = batch.era()
                && freshness.record_era(self.topic, era, boot_time())
            {
                self.record_event(
                    Kind::Adopted,
                    &format!("the store came back from a copy: era {era}"),
                );
            }
            let read = Read {
                topic: self.topic.topic(),
                batch,
                sent,
                after_outage: freshness.record_read(self.topic, sent, boot_time()),
                coverage,
            };
            self.record_read(&read, age);
            if self.reads.send(read).await.is_err() {
                return;
            }
            if coverage == Coverage::Whole {
                self.wait_until_due(sent).await;
            }
        }
    }

    /// Waits after a failed read. An instance that is not a reader waits longer while the readers keep
    /// retrying for all.
    async fn back_off(&self, delay: Duration, started: bool, first: bool) {
        let freshness = &self.shared.freshness;
        if freshness.is_reader() || !started {
            tokio::time::sleep(delay).await;
            return;
        }
        let delay = freshness.retry_delay(self.topic, first);
        tokio::time::sleep(delay.duration()).await;
        self.wait_until_due(boot_time()).await;
    }

    /// Waits until the topic is due to be read again, after a read that was sent at `sent`.
    async fn wait_until_due(&self, sent: Moment) {
        let freshness = &self.shared.freshness;
        let jitter: f64 = rand::rng().random_range(0.0..=1.0);
        loop {
            let wait = freshness.read_delay(self.topic, sent, jitter, boot_time());
            if wait == Span::ZERO {
                return;
            }
            tokio::select! {
                () = tokio::time::sleep(wait.duration()) => {}
                () = freshness.wait_for_wake(self.topic) => {
                    if !freshness.is_reader() {
                        return;
                    }
                }
            }
        }
    }

    async fn read(&self, next: Option<Offset>, failing: bool) -> Result<Batch, Error> {
        let Some(from) = next else {
            let listing = self.report_slow(Span::ZERO, self.source.newest(self.topic.topic()));
            return listing.await.map(Batch::Listing);
        };
        // During an outage a prompt confirmation matters more than saving a call, so the read does
        // not wait for records.
        let wait = match self.topic {
            Followed::Operator if !failing && self.shared.freshness.is_reader() => {
                OPERATOR_LONG_POLL
            }
            _ => Span::ZERO,
        };
        let page = self.source.follow(self.topic.topic(), from, wait);
        let page = self.report_slow(wait, page).await?;
        Ok(Batch::Page(page))
    }

    /// Awaits a read for whose records the store waits for up to `wait`. The read counts as failed
    /// once it has taken long beyond that, until it is answered.
    async fn report_slow<T>(&self, wait: Span, read: impl Future<Output = T>) -> T {
        let mut read = std::pin::pin!(read);
        let slow = (wait + SLOW_READ).duration();
        if let Ok(answer) = tokio::time::timeout(slow, &mut read).await {
            return answer;
        }
        self.shared.freshness.record_failure(self.topic);
        read.await
    }

    /// Records a read that is not one of a reader's regular reads: when it was sent, how old the
    /// state was then, and whether it counts as made after an outage.
    fn record_read(&self, read: &Read, age: Option<Span>) {
        let is_reader = self.shared.freshness.is_reader();
        if is_reader && !read.after_outage {
            return;
        }
        let recorder = &self.shared.core.recorder;
        recorder
            .event(Kind::Read)
            .text("topic", format!("{:?}", self.topic))
            .text("by", read.batch.source())
            .text("age", age.unwrap_or_default())
            .text("took", boot_time().since(read.sent))
            .flag("reader", is_reader)
            .flag("after-outage", read.after_outage)
            .record();
    }

    fn record_event(&self, kind: Kind, text: &str) {
        record_event(&self.shared, self.topic.topic(), kind, text);
    }
}

fn record_event(shared: &Shared, topic: Topic, kind: Kind, text: &str) {
    let recorder = &shared.core.recorder;
    recorder
        .event(kind)
        .text("topic", format!("{topic:?}"))
        .text("why", text)
        .record();
}

/// Lists one topic of the store on occasion. What it lists says nothing of the age of other topics.
struct Lister<S> {
    topic: Topic,
    source: S,
    reads: mpsc::Sender<Read>,
    shared: Arc<Shared>,
}

impl<S: Source> Lister<S> {
    /// Lists a topic that instances write themselves, whenever notified. Peers tell its records in
    /// datagrams too, but those may be lost, and an instance that starts has missed them.
    async fn list_when(self, due: &Notify) {
        loop {
            due.notified().await;
            let mut delay = RETRY_DELAY_RANGE.0;
            while !self.list().await {
                tokio::time::sleep(delay).await;
                delay = (delay * 2).min(RETRY_DELAY_RANGE.1);
            }
        }
    }

    /// Lists the topic once. Returns whether the store answered.
    async fn list(&self) -> bool {
        let sent = boot_time();
        let listing = match self.source.newest(self.topic).await {
            Ok(listing) => listing,
            Err(error) => {
                record_event(&self.shared, self.topic, Kind::Outage, &error.to_string());
                return false;
            }
        };
        let read = Read {
            topic: self.topic,
            batch: Batch::Listing(listing),
            sent,
            after_outage: false,
            coverage: Coverage::Whole,
        };
        // The receiver is dropped only when the instance is closing.
        let _ = self.reads.send(read).await;
        true
    }
}

/// Owns the fold and puts its configurations in force.
struct Applier {
    parts: Parts,
    /// Notified when an order is added, replaced or removed: the one before may have ended unnoticed.
    ordered: Arc<Notify>,
    fold: Fold,
    generation: Generation,
}

impl Applier {
    async fn run(mut self, mut received: mpsc::Receiver<Read>) {
        loop {
            let now = self.parts.clock.now();
            let expiry = self.fold.next_expiry();
            let wait = expiry.map_or(Duration::from_secs(3600), |at| at.since(now).duration());
            let orders = self.fold.orders().to_vec();
            let (change, source) = tokio::select! {
                read = received.recv() => match read {
                    Some(read) => {
                        let source = read.batch.source();
                        (self.apply_batch(read), source)
                    }
                    None => return,
                },
                () = tokio::time::sleep(wait) => (self.expire(), "grace-end"),
            };
            self.record_change(&change, source);
            if self.fold.orders() != orders {
                self.ordered.notify_one();
            }
            if change.routing && self.fold.is_complete() {
                self.put_in_force().await;
            }
        }
    }

    fn apply_batch(&mut self, read: Read) -> Change {
        let now = self.parts.clock.now();
        let mut relayed = None;
        let change = match read.batch {
            Batch::Listing(listing) => {
                let mut updates = self.parts.shared.freshness.updates();
                for item in &listing.items {
                    updates.record_base(read.topic, item);
                }
                self.fold
                    .apply_listing(read.topic, &listing, now, read.after_outage)
            }
            Batch::Page(page) => self.apply(read.topic, &page.items, now, read.after_outage),
            Batch::Relayed(items, applied) => {
                relayed = Some(applied);
                self.apply(read.topic, &items, now, read.after_outage)
            }
        };
        let freshness = &self.parts.shared.freshness;
        let digest = self.fold.digest(read.topic);
        freshness.record_applied(read.topic, digest, (read.sent, read.coverage));
        // The receiver is dropped only when the instance is closing.
        if let Some(applied) = relayed {
            let _ = applied.send(());
        }
        // The first read of a topic may complete the fold without changing its routing.
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
        freshness.set_digest(Followed::Upstreams, digest);
        change
    }

    /// Applies records one by one, and keeps those that affect routing so that they are relayed to
    /// peers.
    fn apply(&mut self, topic: Topic, items: &[Item], now: Moment, after_outage: bool) -> Change {
        let mut sum = Change::default();
        for item in items {
            let change = self.fold.apply_record(topic, item, now, after_outage);
            if change.routing && !after_outage {
                let freshness = &self.parts.shared.freshness;
                freshness.updates().announce(topic, item, boot_time());
            }
            sum.add(change);
        }
        sum
    }

    async fn put_in_force(&mut self) {
        let Some(config) = resolve(&self.fold, &self.parts.zone_regions) else {
            return;
        };
        self.generation = Generation(self.generation.0 + 1);
        let version = self
            .fold
            .publication()
            .map_or(0, |publication| publication.version);
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

    /// Records the upstreams of a change, and how it was learned.
    fn record_change(&self, change: &Change, source: &'static str) {
        let recorder = &self.parts.shared.core.recorder;
        let record = |kind, why, name| {
            let event = recorder.event(kind).text("upstream", name);
            event.text("why", why).text("by", source).record();
        };
        for name in &change.joined {
            record(Kind::Warm, "joined", name);
        }
        for name in &change.left {
            record(Kind::Cold, "left", name);
        }
        for name in &change.lapsed {
            record(Kind::Cold, "lapsed", name);
        }
        for (key, problem) in &change.unreadable {
            let draft = recorder.event(Kind::Rejected);
            draft.text("key", key).text("failure", problem).record();
        }
    }
}
