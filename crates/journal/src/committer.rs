//! Group commit: all appends of an instance, many records to one append.
//!
//! A record of a stream waits for others until the batch is large enough or a short time has
//! passed. The appends of all streams together keep within a rate. While the log fails, a single
//! append at a time probes it, after a growing delay, whatever number of records waits.

use crate::backoff::Backoff;
use crate::log::Log;
use bytes::Bytes;
use entity::unit::Rate;
use entity::{Offset, Span};
use std::collections::VecDeque;
use std::time::Duration;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep_until};
use tokio_util::sync::CancellationToken;

/// Records that may wait for the task to take them up.
const CHANNEL_RECORDS: usize = 4096;

/// How a committer groups and paces appends.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// How long the first record of a batch waits for others.
    pub linger: Span,
    /// Size at which a batch goes at once, in bytes; also the largest batch of several records.
    pub batch_bytes: usize,
    /// Appends a second, over all streams.
    pub rate: Rate,
    /// Appends that may follow each other at once after a time with fewer than the rate.
    pub burst: u32,
    /// Appends under way at once, over all streams; each stream has at most one.
    pub parallel: usize,
    /// The smallest delay after a failure.
    pub least_delay: Span,
    /// The largest delay after a failure.
    pub most_delay: Span,
    /// How long a cancelled committer goes on with what waits.
    pub drain: Span,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            linger: Span::from_millis(5),
            batch_bytes: 128 * 1024,
            rate: Rate(30),
            burst: 10,
            parallel: 4,
            least_delay: Span::from_millis(50),
            most_delay: Span::from_secs(2),
            drain: Span::from_secs(2),
        }
    }
}

/// Failures in a row that mean an outage; a single one may be a lost reply or a full second.
const OUTAGE_FAILURES: u32 = 2;

/// Whether appends succeed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// The last append succeeded, or it is time to try one.
    Up,
    /// The last appends failed.
    Down,
}

/// The committer has ended; the record may or may not be appended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the committer has ended")]
pub struct Closed;

struct Item {
    stream: Box<str>,
    data: Bytes,
    reply: oneshot::Sender<Offset>,
}

/// Reaches a running committer.
#[derive(Clone, Debug)]
pub struct Handle {
    items: mpsc::Sender<Item>,
    health: watch::Receiver<Health>,
    rate: watch::Sender<Rate>,
}

impl Handle {
    /// Appends one JSON value as part of a batch, which is an array, and waits for the append.
    ///
    /// The record is retried until it is appended, and may then be there more than once, unless
    /// the returned future is dropped: then it is no longer tried, and may be appended or not.
    ///
    /// # Errors
    ///
    /// The committer has ended.
    pub async fn append(&self, stream: &str, data: Bytes) -> Result<Offset, Closed> {
        let (reply, offset) = oneshot::channel();
        let item = Item {
            stream: stream.into(),
            data,
            reply,
        };
        self.items.send(item).await.map_err(|_| Closed)?;
        offset.await.map_err(|_| Closed)
    }

    /// Whether appends succeed.
    pub fn health(&self) -> watch::Receiver<Health> {
        self.health.clone()
    }

    /// Changes the rate, as the number of instances changes.
    pub fn set_rate(&self, rate: Rate) {
        self.rate.send_replace(rate);
    }
}

/// Starts a committer.
pub fn spawn<L: Log>(log: L, policy: Policy, cancel: CancellationToken) -> Handle {
    let (items, receiver) = mpsc::channel(CHANNEL_RECORDS);
    let (health, health_receiver) = watch::channel(Health::Up);
    let (rate, rates) = watch::channel(policy.rate);
    let task = Task {
        log,
        policy,
        rates,
        lanes: Vec::new(),
        running: JoinSet::new(),
        free_at: Instant::now(),
        paced_at: Instant::now(),
        backoff: Backoff::new(policy.least_delay, policy.most_delay),
        health,
    };
    tokio::spawn(task.run(receiver, cancel));
    Handle {
        items,
        health: health_receiver,
        rate,
    }
}

/// The records of one stream that wait.
struct Lane {
    stream: Box<str>,
    queue: VecDeque<Item>,
    bytes: usize,
    due: Instant,
    running: bool,
}

impl Lane {
    /// Drops records that nobody waits for any more.
    fn prune(&mut self) {
        let bytes = &mut self.bytes;
        self.queue.retain(|item| {
            let wanted = !item.reply.is_closed();
            if !wanted {
                *bytes -= item.data.len();
            }
            wanted
        });
    }

    /// The records from the front that fit into one batch, at least one.
    fn batch(&self, limit: usize) -> (usize, Bytes) {
        let mut data = vec![b'['];
        let mut count = 0;
        for item in &self.queue {
            if count > 0 && data.len() + item.data.len() + 2 > limit {
                break;
            }
            if count > 0 {
                data.push(b',');
            }
            data.extend_from_slice(&item.data);
            count += 1;
        }
        data.push(b']');
        (count, data.into())
    }
}

struct Done {
    stream: Box<str>,
    count: usize,
    result: Result<Offset, logs::Error>,
}

struct Task<L> {
    log: L,
    policy: Policy,
    rates: watch::Receiver<Rate>,
    /// Sorted by stream.
    lanes: Vec<Lane>,
    running: JoinSet<Done>,
    /// When the delay after a failure permits the next append.
    free_at: Instant,
    /// When the next append would be due if all so far had kept to the rate exactly.
    paced_at: Instant,
    backoff: Backoff,
    health: watch::Sender<Health>,
}

impl<L: Log> Task<L> {
    async fn run(mut self, mut items: mpsc::Receiver<Item>, cancel: CancellationToken) {
        loop {
            let wake = self.start_due();
            tokio::select! {
                () = cancel.cancelled() => break,
                item = items.recv() => match item {
                    Some(item) => self.enqueue(item),
                    None => break,
                },
                Some(done) = self.running.join_next() => self.finish(done),
                () = sleep_until(wake.unwrap_or_else(Instant::now)), if wake.is_some() => {}
            }
        }
        self.drain(items).await;
    }

    /// Goes on with what waits for a bounded time after the cancellation.
    async fn drain(mut self, mut items: mpsc::Receiver<Item>) {
        let end = Instant::now() + self.policy.drain.duration();
        items.close();
        while let Ok(item) = items.try_recv() {
            self.enqueue(item);
        }
        loop {
            let wake = self.start_due();
            let empty = self.lanes.iter().all(|lane| lane.queue.is_empty());
            if empty && self.running.is_empty() {
                return;
            }
            tokio::select! {
                () = sleep_until(end) => return,
                Some(done) = self.running.join_next() => self.finish(done),
                () = sleep_until(wake.unwrap_or(end)) => {}
            }
        }
    }

    fn enqueue(&mut self, item: Item) {
        let due = Instant::now() + self.policy.linger.duration();
        let found = self
            .lanes
            .binary_search_by(|lane| lane.stream.cmp(&item.stream));
        let index = found.unwrap_or_else(|index| {
            let stream = item.stream.clone();
            let lane = Lane {
                stream,
                queue: VecDeque::new(),
                bytes: 0,
                due,
                running: false,
            };
            self.lanes.insert(index, lane);
            index
        });
        let lane = &mut self.lanes[index];
        if lane.queue.is_empty() {
            lane.due = due;
        }
        lane.bytes += item.data.len();
        if lane.bytes >= self.policy.batch_bytes {
            lane.due = lane.due.min(Instant::now());
        }
        lane.queue.push_back(item);
    }

    /// Appends under way at once: one while the log fails.
    fn parallel(&self) -> usize {
        if self.backoff.failures() > 0 {
            return 1;
        }
        self.policy.parallel
    }

    /// Ends an outage when the next try is due and no record waits to make it, so that records
    /// are offered again. Returns when that will be.
    fn recover(&mut self) -> Option<Instant> {
        let down = *self.health.borrow() == Health::Down;
        if !down || !self.running.is_empty() {
            return None;
        }
        if self.free_at > Instant::now() {
            return Some(self.free_at);
        }
        self.health.send_replace(Health::Up);
        None
    }

    /// Starts the appends that are due and returns when to look again; `None` where only another
    /// event can make an append due.
    fn start_due(&mut self) -> Option<Instant> {
        loop {
            if self.running.len() >= self.parallel() {
                return None;
            }
            let idle = self.lanes.iter().enumerate();
            let idle = idle.filter(|(_, lane)| !lane.running && !lane.queue.is_empty());
            let first = idle
                .map(|(index, lane)| (index, lane.due))
                .min_by_key(|(_, due)| *due);
            let Some((index, due)) = first else {
                return self.recover();
            };
            let at = due.max(self.free_at).max(self.paced());
            if at > Instant::now() {
                return Some(at);
            }
            self.start(index);
        }
    }

    fn start(&mut self, index: usize) {
        let lane = &mut self.lanes[index];
        lane.prune();
        if lane.queue.is_empty() {
            return;
        }
        let (count, data) = lane.batch(self.policy.batch_bytes);
        lane.running = true;
        let stream = lane.stream.clone();
        let log = self.log.clone();
        self.running.spawn(async move {
            let result = log.append(&stream, data).await;
            Done {
                stream,
                count,
                result,
            }
        });
        self.paced_at = self.paced_at.max(Instant::now()) + self.interval();
    }

    /// Time between appends that keep to the rate exactly.
    fn interval(&self) -> Duration {
        let rate = u32::try_from(self.rates.borrow().0.max(1)).unwrap_or(u32::MAX);
        Duration::from_secs(1) / rate
    }

    /// When the rate permits the next append (the generic cell rate algorithm).
    fn paced(&self) -> Instant {
        let slack = self.interval() * self.policy.burst.saturating_sub(1);
        self.paced_at.checked_sub(slack).unwrap_or(self.paced_at)
    }

    fn finish(&mut self, done: Result<Done, tokio::task::JoinError>) {
        let done = done.expect("an append does not panic");
        let found = self
            .lanes
            .binary_search_by(|lane| lane.stream.cmp(&done.stream));
        let lane = &mut self.lanes[found.expect("a lane is never removed")];
        lane.running = false;
        lane.due = Instant::now();
        match done.result {
            Ok(offset) => {
                for item in lane.queue.drain(..done.count) {
                    lane.bytes -= item.data.len();
                    // Whoever waited may be gone, which changes nothing.
                    let _ = item.reply.send(offset);
                }
                self.backoff.reset();
                self.health.send_replace(Health::Up);
            }
            Err(error) => {
                let mut delay = self.backoff.fail();
                if let logs::Error::Refused { retry_after, .. } = error {
                    delay = delay.max(
                        retry_after
                            .duration()
                            .min(self.policy.most_delay.duration()),
                    );
                }
                self.free_at = self.free_at.max(Instant::now() + delay);
                if self.backoff.failures() >= OUTAGE_FAILURES {
                    self.health.send_replace(Health::Down);
                }
            }
        }
    }
}
