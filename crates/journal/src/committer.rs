//! Group commit for all appends of an instance: many records share one append.
//!
//! A record waits until the batch of its stream is large enough or a short linger time has passed.
//! The appends of all streams together stay within a rate limit. While the log fails, a single
//! append at a time probes it, with backoff, however many records wait.

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

/// Capacity of the channel to the task, in records.
const CHANNEL_RECORDS: usize = 4096;

/// Batching, pacing and retry settings of a committer.
#[derive(Clone, Copy, Debug)]
pub struct Policy {
    /// Time that the first record of a batch waits for more records.
    pub linger: Span,
    /// Batch size in bytes at which a batch is sent without further delay. It also bounds batches
    /// of several records; a single larger record is sent by itself.
    pub batch_bytes: usize,
    /// Limit of appends per second over all streams.
    pub rate: Rate,
    /// Number of appends that may be sent back to back after a period below the rate.
    pub burst: u32,
    /// Maximum number of concurrent appends over all streams; each stream has at most one.
    pub max_parallel_appends: usize,
    /// Minimum delay after a failed append.
    pub min_delay: Span,
    /// Maximum delay after a failed append.
    pub max_delay: Span,
    /// Time for which a cancelled committer continues to append the records that wait.
    pub drain_timeout: Span,
}

impl Default for Policy {
    fn default() -> Self {
        Self {
            linger: Span::from_millis(5),
            batch_bytes: 128 * 1024,
            rate: Rate(30),
            burst: 10,
            max_parallel_appends: 4,
            min_delay: Span::from_millis(50),
            max_delay: Span::from_secs(2),
            drain_timeout: Span::from_secs(2),
        }
    }
}

/// Number of consecutive failures that count as an outage. A single failure may be a lost reply, or
/// the log's rate limit for that second.
const OUTAGE_FAILURES: u32 = 2;

/// State of the log as seen by the appends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Health {
    /// Appends succeed, or the next try after an outage is due.
    Up,
    /// Consecutive appends failed, as many as count as an outage.
    Down,
}

/// The committer has ended; the record may or may not have been appended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the committer has ended")]
pub struct Closed;

struct Item {
    stream: Box<str>,
    data: Bytes,
    reply: oneshot::Sender<Offset>,
}

/// Handle to a running committer.
#[derive(Clone, Debug)]
pub struct Handle {
    items: mpsc::Sender<Item>,
    health: watch::Receiver<Health>,
    rate: watch::Sender<Rate>,
}

impl Handle {
    /// Appends one JSON value as an element of a batch, which is a JSON array, and waits until the
    /// batch is appended.
    ///
    /// The record is retried until an append succeeds, and may then be on the log more than once.
    /// If the returned future is dropped, retries stop, and the record may or may not be appended.
    ///
    /// # Errors
    ///
    /// Returns an error if the committer has ended.
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

    /// Returns a receiver of the log's health.
    pub fn health(&self) -> watch::Receiver<Health> {
        self.health.clone()
    }

    /// Changes the rate limit, for example when the number of instances changes.
    pub fn set_rate(&self, rate: Rate) {
        self.rate.send_replace(rate);
    }
}

/// Starts the committer task and returns its handle.
pub fn spawn<L: Log>(log: L, policy: Policy, cancel: CancellationToken) -> Handle {
    let (items, receiver) = mpsc::channel(CHANNEL_RECORDS);
    let (health, health_receiver) = watch::channel(Health::Up);
    let (rate, rates) = watch::channel(policy.rate);
    let task = Task {
        log,
        policy,
        rates,
        queues: Vec::new(),
        running: JoinSet::new(),
        retry_at: Instant::now(),
        rate_due_at: Instant::now(),
        backoff: Backoff::new(policy.min_delay, policy.max_delay),
        health,
    };
    tokio::spawn(task.run(receiver, cancel));
    Handle {
        items,
        health: health_receiver,
        rate,
    }
}

/// Queue of the records of one stream that wait to be appended.
struct StreamQueue {
    stream: Box<str>,
    items: VecDeque<Item>,
    bytes: usize,
    due: Instant,
    running: bool,
}

impl StreamQueue {
    /// Drops records whose callers no longer wait.
    fn drop_abandoned(&mut self) {
        let bytes = &mut self.bytes;
        self.items.retain(|item| {
            let is_awaited = !item.reply.is_closed();
            if !is_awaited {
                *bytes -= item.data.len();
            }
            is_awaited
        });
    }

    /// Returns the number of records from the front that fit into one batch of `limit` bytes, at
    /// least one, and the batch.
    fn batch(&self, limit: usize) -> (usize, Bytes) {
        let mut data = vec![b'['];
        let mut count = 0;
        for item in &self.items {
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

struct AppendDone {
    stream: Box<str>,
    count: usize,
    result: Result<Offset, logs::Error>,
}

struct Task<L> {
    log: L,
    policy: Policy,
    rates: watch::Receiver<Rate>,
    /// Sorted by stream.
    queues: Vec<StreamQueue>,
    running: JoinSet<AppendDone>,
    /// Earliest time of the next append after a failure.
    retry_at: Instant,
    /// Time at which the next append would be due if all appends so far had been spaced exactly by
    /// the rate.
    rate_due_at: Instant,
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

    /// Appends the records that wait, for at most the drain timeout after cancellation.
    async fn drain(mut self, mut items: mpsc::Receiver<Item>) {
        let end = Instant::now() + self.policy.drain_timeout.duration();
        items.close();
        while let Ok(item) = items.try_recv() {
            self.enqueue(item);
        }
        loop {
            let wake = self.start_due();
            let empty = self.queues.iter().all(|queue| queue.items.is_empty());
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
            .queues
            .binary_search_by(|queue| queue.stream.cmp(&item.stream));
        let index = found.unwrap_or_else(|index| {
            let stream = item.stream.clone();
            let queue = StreamQueue {
                stream,
                items: VecDeque::new(),
                bytes: 0,
                due,
                running: false,
            };
            self.queues.insert(index, queue);
            index
        });
        let queue = &mut self.queues[index];
        if queue.items.is_empty() {
            queue.due = due;
        }
        queue.bytes += item.data.len();
        if queue.bytes >= self.policy.batch_bytes {
            queue.due = queue.due.min(Instant::now());
        }
        queue.items.push_back(item);
    }

    /// Returns the limit of concurrent appends, which is one while the log fails.
    fn append_limit(&self) -> usize {
        if self.backoff.failures() > 0 {
            return 1;
        }
        self.policy.max_parallel_appends
    }

    /// Ends an outage once the next try is due and no record waits that could make it; callers then
    /// offer records again. Returns the time at which the outage ends, if that is in the future.
    fn end_idle_outage(&mut self) -> Option<Instant> {
        let down = *self.health.borrow() == Health::Down;
        if !down || !self.running.is_empty() {
            return None;
        }
        if self.retry_at > Instant::now() {
            return Some(self.retry_at);
        }
        self.health.send_replace(Health::Up);
        None
    }

    /// Starts the appends that are due. Returns when the next one will be due, or `None` if only
    /// another event can make one due.
    fn start_due(&mut self) -> Option<Instant> {
        loop {
            if self.running.len() >= self.append_limit() {
                return None;
            }
            let idle = self.queues.iter().enumerate();
            let idle = idle.filter(|(_, queue)| !queue.running && !queue.items.is_empty());
            let first = idle
                .map(|(index, queue)| (index, queue.due))
                .min_by_key(|(_, due)| *due);
            let Some((index, due)) = first else {
                return self.end_idle_outage();
            };
            let at = due.max(self.retry_at).max(self.rate_permits_at());
            if at > Instant::now() {
                return Some(at);
            }
            self.start(index);
        }
    }

    fn start(&mut self, index: usize) {
        let queue = &mut self.queues[index];
        queue.drop_abandoned();
        if queue.items.is_empty() {
            return;
        }
        let (count, data) = queue.batch(self.policy.batch_bytes);
        queue.running = true;
        let stream = queue.stream.clone();
        let log = self.log.clone();
        self.running.spawn(async move {
            let result = log.append(&stream, data).await;
            AppendDone {
                stream,
                count,
                result,
            }
        });
        self.rate_due_at = self.rate_due_at.max(Instant::now()) + self.interval();
    }

    /// Returns the time between appends spaced exactly by the rate.
    fn interval(&self) -> Duration {
        let rate = u32::try_from(self.rates.borrow().0.max(1)).unwrap_or(u32::MAX);
        Duration::from_secs(1) / rate
    }

    /// Returns when the rate permits the next append (generic cell rate algorithm).
    fn rate_permits_at(&self) -> Instant {
        let slack = self.interval() * self.policy.burst.saturating_sub(1);
        self.rate_due_at
            .checked_sub(slack)
            .unwrap_or(self.rate_due_at)
    }

    fn finish(&mut self, done: Result<AppendDone, tokio::task::JoinError>) {
        let done = done.expect("an append does not panic");
        let found = self
            .queues
            .binary_search_by(|queue| queue.stream.cmp(&done.stream));
        let queue = &mut self.queues[found.expect("a queue is never removed")];
        queue.running = false;
        queue.due = Instant::now();
        match done.result {
            Ok(offset) => {
                for item in queue.items.drain(..done.count) {
                    queue.bytes -= item.data.len();
                    // The caller may no longer wait, which makes no difference here.
                    let _ = item.reply.send(offset);
                }
                self.backoff.reset();
                self.health.send_replace(Health::Up);
            }
            Err(error) => {
                let mut delay = self.backoff.next_delay();
                if let logs::Error::Refused { retry_after, .. } = error {
                    delay = delay.max(retry_after.duration().min(self.policy.max_delay.duration()));
                }
                self.retry_at = self.retry_at.max(Instant::now() + delay);
                if self.backoff.failures() >= OUTAGE_FAILURES {
                    self.health.send_replace(Health::Down);
                }
            }
        }
    }
}
