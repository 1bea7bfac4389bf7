//! In-memory log with injected faults, on tokio's clock.

#![allow(dead_code, reason = "each test file uses a part of the fake")]

use bytes::Bytes;
use entity::{Offset, Span};
use journal::Log;
use logs::{Error, Page, Record};
use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::sync::{Arc, Mutex};
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::sync::watch;
use tokio::time::{Instant, sleep, timeout};

/// Duration of a call.
const CALL_DURATION: Duration = Duration::from_millis(2);

/// Time after which the client considers a reply lost.
const REPLY_TIMEOUT: Duration = Duration::from_millis(500);

#[derive(Clone, Copy, Debug, Default)]
pub struct Faults {
    /// All calls are refused.
    pub down: bool,
    /// Appends are refused.
    pub read_only: bool,
    /// Percentage of the appends that take effect but get no reply.
    pub lose_replies: u32,
    /// Percentage of the appends that get no reply and take effect later.
    pub late: u32,
}

#[derive(Debug, Default)]
struct Stream {
    name: Box<str>,
    first: u64,
    records: Vec<(u64, Bytes)>,
}

#[derive(Debug)]
struct State {
    faults: Faults,
    streams: Vec<Stream>,
    append_times: Vec<Instant>,
    rng: ChaCha8Rng,
    changes: u64,
}

/// A log with injected faults.
#[derive(Clone, Debug)]
pub struct FakeLog {
    state: Arc<Mutex<State>>,
    changes: watch::Sender<u64>,
    began: Instant,
    epoch_ms: u64,
}

pub fn epoch_ms() -> u64 {
    let since = SystemTime::now().duration_since(UNIX_EPOCH);
    since.expect("after the epoch").as_millis() as u64
}

impl FakeLog {
    pub fn open(seed: u64) -> Self {
        let state = State {
            faults: Faults::default(),
            streams: Vec::new(),
            append_times: Vec::new(),
            rng: ChaCha8Rng::seed_from_u64(seed),
            changes: 0,
        };
        Self {
            state: Arc::new(Mutex::new(state)),
            changes: watch::Sender::new(0),
            began: Instant::now(),
            epoch_ms: epoch_ms(),
        }
    }

    pub fn set_faults(&self, faults: Faults) {
        self.state
            .lock()
            .expect("the lock is never poisoned")
            .faults = faults;
        self.notify();
    }

    /// Returns when each append was called.
    pub fn append_times(&self) -> Vec<Instant> {
        self.state
            .lock()
            .expect("the lock is never poisoned")
            .append_times
            .clone()
    }

    /// Returns all records that were ever appended to a stream, with the log's time.
    pub fn records(&self, stream: &str) -> Vec<(u64, Bytes)> {
        let state = self.state.lock().expect("the lock is never poisoned");
        let found = state.streams.iter().find(|s| *s.name == *stream);
        found.map_or_else(Vec::new, |stream| stream.records.clone())
    }

    /// Expires all records so far.
    pub fn expire_records(&self, stream: &str) {
        let mut state = self.state.lock().expect("the lock is never poisoned");
        for s in &mut state.streams {
            if *s.name == *stream {
                s.first = s.records.len() as u64;
            }
        }
    }

    pub fn put(&self, stream: &str, data: Bytes) -> Offset {
        let time_ms = self.epoch_ms + self.began.elapsed().as_millis() as u64;
        let mut state = self.state.lock().expect("the lock is never poisoned");
        if !state.streams.iter().any(|s| *s.name == *stream) {
            let name = stream.into();
            state.streams.push(Stream {
                name,
                ..Stream::default()
            });
        }
        let found = state.streams.iter_mut().find(|s| *s.name == *stream);
        let records = &mut found.expect("it was added").records;
        records.push((time_ms, data));
        let offset = Offset(records.len() as u64);
        drop(state);
        self.notify();
        offset
    }

    fn notify(&self) {
        self.changes.send_modify(|changes| *changes += 1);
    }

    fn page(&self, stream: &str, from: Offset, limit: usize) -> Page {
        let state = self.state.lock().expect("the lock is never poisoned");
        let found = state.streams.iter().find(|s| *s.name == *stream);
        let Some(found) = found else {
            return Page {
                first: Offset(1),
                next: Offset(1),
                records: Vec::new(),
            };
        };
        let start = from.0.max(found.first + 1);
        let records = found.records.iter().enumerate().skip(start as usize - 1);
        let records = records
            .take(limit)
            .map(|(index, (time_ms, data))| Record::new(Offset(index as u64 + 1), *time_ms, data));
        Page {
            first: Offset(found.first + 1),
            next: Offset(found.records.len() as u64 + 1),
            records: records.collect(),
        }
    }

    fn draw(&self) -> (Faults, u32, Duration) {
        let mut state = self.state.lock().expect("the lock is never poisoned");
        let draw = state.rng.random_range(0..100);
        let delay = Duration::from_millis(state.rng.random_range(0..2000));
        (state.faults, draw, delay)
    }
}

fn refused() -> Error {
    Error::Refused {
        reason: "503 Service Unavailable".into(),
        retry_after: Span::from_millis(100),
    }
}

impl Log for FakeLog {
    async fn append(&self, stream: &str, data: Bytes) -> Result<Offset, Error> {
        self.state
            .lock()
            .expect("the lock is never poisoned")
            .append_times
            .push(Instant::now());
        sleep(CALL_DURATION).await;
        let (faults, draw, delay) = self.draw();
        if faults.down || faults.read_only {
            return Err(refused());
        }
        if draw < faults.late {
            let (log, stream): (Self, Box<str>) = (self.clone(), stream.into());
            tokio::spawn(async move {
                sleep(delay).await;
                log.put(&stream, data);
            });
            sleep(REPLY_TIMEOUT).await;
            return Err(Error::Unknown("late".into()));
        }
        let offset = self.put(stream, data);
        if draw < faults.late + faults.lose_replies {
            sleep(REPLY_TIMEOUT).await;
            return Err(Error::Unknown("lost".into()));
        }
        Ok(offset)
    }

    async fn read(
        &self,
        stream: &str,
        from: Offset,
        limit: usize,
        wait: Span,
    ) -> Result<Page, Error> {
        sleep(CALL_DURATION).await;
        let mut changes = self.changes.subscribe();
        let end = Instant::now() + wait.duration();
        loop {
            if self.draw().0.down {
                return Err(refused());
            }
            let page = self.page(stream, from, limit);
            let left = end.saturating_duration_since(Instant::now());
            if !page.records.is_empty() || left.is_zero() {
                return Ok(page);
            }
            let _ = timeout(left, changes.changed()).await;
        }
    }
}
