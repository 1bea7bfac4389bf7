//! Stand-in for the platform's append-only log.

mod stream;

use crate::fault::{self, Switches};
use crate::limiter::RateLimiter;
use crate::server::{self, Call, Dropped, Handle, Reply, Service};
use bytes::Bytes;
use hyper::{Method, StatusCode};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use stream::Stream;
use tokio::sync::watch;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;

/// Maximum size of a record, in bytes.
pub const MAX_RECORD_BYTES: usize = 256 << 10;
/// Maximum number of records that one read returns.
const MAX_READ_RECORDS: usize = 10_000;
/// Maximum time for which one read waits for a record.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// Fault switches.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Faults {
    /// Whether every call is answered with status 503.
    pub down: bool,
    /// Delay of each call, in milliseconds. An append takes effect after it, even if the caller has
    /// disconnected.
    pub delay_ms: u64,
    /// Fraction of the appends that take effect but get no reply.
    pub lose_replies: f64,
    /// Fraction of the appends that are refused without effect.
    pub drop_appends: f64,
    /// Appends a second above which the reply has status 429; 0 means no limit.
    pub rate_per_s: u32,
    /// Retention time of records, in milliseconds; 0 means unlimited.
    pub retention_ms: u64,
}

impl Default for Faults {
    fn default() -> Self {
        Self {
            down: false,
            delay_ms: 0,
            lose_replies: 0.0,
            drop_appends: 0.0,
            rate_per_s: 500,
            retention_ms: 0,
        }
    }
}

/// Options of the log.
pub type Options = fault::Options<Faults>;

/// Starts the log.
///
/// # Errors
///
/// Returns the error of binding the address.
pub async fn spawn(options: Options, cancel: &CancellationToken) -> io::Result<Handle> {
    let log = Log {
        faults: Switches::new(options.faults, options.seed),
        streams: Mutex::new((BTreeMap::new(), RateLimiter::new(Instant::now()))),
        changes: watch::Sender::new(()),
    };
    server::spawn(Arc::new(log), options.address, cancel).await
}

struct Log {
    faults: Switches<Faults>,
    streams: Mutex<(BTreeMap<Box<str>, Stream>, RateLimiter)>,
    /// Notifies waiting reads that a record was appended or a fault switch changed.
    changes: watch::Sender<()>,
}

#[derive(Debug)]
struct ReadQuery {
    from: u64,
    limit: usize,
    wait: Duration,
}

impl ReadQuery {
    fn parse(query: &str) -> Option<Self> {
        let mut read = Self {
            from: 1,
            limit: MAX_READ_RECORDS,
            wait: Duration::ZERO,
        };
        for pair in query.split('&').filter(|pair| !pair.is_empty()) {
            let (key, value) = pair.split_once('=')?;
            let value: u64 = value.parse().ok()?;
            match key {
                "from" => read.from = value,
                "limit" => read.limit = usize::try_from(value).ok()?.min(MAX_READ_RECORDS),
                "wait_ms" => read.wait = Duration::from_millis(value).min(MAX_WAIT),
                _ => return None,
            }
        }
        Some(read)
    }
}

impl Service for Log {
    type Faults = Faults;

    fn faults(&self) -> &Switches<Faults> {
        &self.faults
    }

    fn on_faults_changed(&self) {
        self.changes.send_replace(());
    }

    async fn call(self: Arc<Self>, call: Call) -> Result<Reply, Dropped> {
        let (head, body) = call.into_parts();
        let path = head.uri.path();
        let stream = path
            .strip_prefix("/streams/")
            .and_then(|rest| rest.strip_suffix("/records"))
            .filter(|stream| !stream.is_empty() && !stream.contains('/'));
        let Some(stream) = stream else {
            return Ok(server::error(StatusCode::NOT_FOUND, "unknown_path"));
        };
        if head.method == Method::POST {
            let append = Arc::clone(&self).append(stream.into(), body);
            // The append runs in its own task, so that it completes even if the caller disconnects.
            return tokio::spawn(append).await.unwrap_or(Err(Dropped));
        }
        if head.method != Method::GET {
            return Ok(server::error(StatusCode::METHOD_NOT_ALLOWED, "method"));
        }
        match ReadQuery::parse(head.uri.query().unwrap_or_default()) {
            Some(read) => Ok(self.read(stream, &read).await),
            None => Ok(server::error(StatusCode::BAD_REQUEST, "invalid")),
        }
    }
}

impl Log {
    fn lock(&self) -> MutexGuard<'_, (BTreeMap<Box<str>, Stream>, RateLimiter)> {
        self.streams.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn append(self: Arc<Self>, stream: Box<str>, data: Bytes) -> Result<Reply, Dropped> {
        let faults = self.faults.get();
        if faults.down || self.faults.should_inject(faults.drop_appends) {
            return Ok(outage());
        }
        if data.len() > MAX_RECORD_BYTES {
            return Ok(server::error(StatusCode::PAYLOAD_TOO_LARGE, "too_large"));
        }
        if !self.lock().1.try_acquire(faults.rate_per_s, Instant::now()) {
            return Ok(server::rate_limited());
        }
        server::sleep_ms(faults.delay_ms).await;
        let offset = self
            .lock()
            .0
            .entry(stream)
            .or_default()
            .append(data, server::unix_millis());
        self.changes.send_replace(());
        if self.faults.should_inject(faults.lose_replies) {
            return Err(Dropped);
        }
        Ok(server::json(
            StatusCode::OK,
            &serde_json::json!({"offset": offset}),
        ))
    }

    async fn read(&self, stream: &str, read: &ReadQuery) -> Reply {
        server::sleep_ms(self.faults.get().delay_ms).await;
        let deadline = Instant::now() + read.wait;
        let mut changes = self.changes.subscribe();
        loop {
            changes.mark_unchanged();
            let faults = self.faults.get();
            if faults.down {
                return outage();
            }
            let page = self.page(stream, read, faults.retention_ms);
            if !page.records.is_empty() {
                return server::json(StatusCode::OK, &page);
            }
            // A change between reading the page and this wait is not missed, since the channel was
            // marked as unchanged before the page was read.
            if tokio::time::timeout_at(deadline, changes.changed())
                .await
                .is_err()
            {
                return server::json(StatusCode::OK, &page);
            }
        }
    }

    fn page(&self, stream: &str, read: &ReadQuery, retention_ms: u64) -> stream::Page {
        let mut streams = self.lock();
        let stream = streams.0.entry(stream.into()).or_default();
        if retention_ms > 0 {
            stream.expire(server::unix_millis().saturating_sub(retention_ms));
        }
        stream.page(read.from, read.limit)
    }
}

fn outage() -> Reply {
    server::error(StatusCode::SERVICE_UNAVAILABLE, "outage")
}
