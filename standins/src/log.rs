//! The platform's append-only log.

mod stream;

use crate::fault::{self, Switch};
use crate::limiter::Limiter;
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

/// Largest record, in bytes.
pub const MAX_RECORD_BYTES: usize = 256 << 10;
/// Most records of one read.
const MAX_READ: usize = 10_000;
/// Longest wait of one read.
const MAX_WAIT: Duration = Duration::from_secs(60);

/// Fault switches.
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Faults {
    /// Every call is answered by 503.
    pub down: bool,
    /// Delay of each call, in milliseconds; an append takes effect after it, even if its caller
    /// has gone.
    pub delay_ms: u64,
    /// Fraction of the appends that take effect and get no reply.
    pub lose_replies: f64,
    /// Fraction of the appends that are refused without effect.
    pub drop_appends: f64,
    /// Appends a second beyond which the reply is 429; 0 is no limit.
    pub rate_per_s: u32,
    /// How long records are kept, in milliseconds; 0 is for ever.
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

/// Settings of the log.
pub type Options = fault::Options<Faults>;

/// Starts the log.
///
/// # Errors
///
/// Returns the error of binding the address.
pub async fn spawn(options: Options, cancel: &CancellationToken) -> io::Result<Handle> {
    let log = Log {
        faults: Switch::new(options.faults, options.seed),
        streams: Mutex::new((BTreeMap::new(), Limiter::new(Instant::now()))),
        changes: watch::Sender::new(()),
    };
    server::spawn(Arc::new(log), options.address, cancel).await
}

struct Log {
    faults: Switch<Faults>,
    streams: Mutex<(BTreeMap<Box<str>, Stream>, Limiter)>,
    /// Tells waiting reads that a record was appended or a fault switched.
    changes: watch::Sender<()>,
}

#[derive(Debug)]
struct Read {
    from: u64,
    limit: usize,
    wait: Duration,
}

impl Read {
    fn parse(query: &str) -> Option<Self> {
        let mut read = Self {
            from: 1,
            limit: MAX_READ,
            wait: Duration::ZERO,
        };
        for pair in query.split('&').filter(|pair| !pair.is_empty()) {
            let (key, value) = pair.split_once('=')?;
            let value: u64 = value.parse().ok()?;
            match key {
                "from" => read.from = value,
                "limit" => read.limit = usize::try_from(value).ok()?.min(MAX_READ),
                "wait_ms" => read.wait = Duration::from_millis(value).min(MAX_WAIT),
                _ => return None,
            }
        }
        Some(read)
    }
}

impl Service for Log {
    type Faults = Faults;

    fn faults(&self) -> &Switch<Faults> {
        &self.faults
    }

    fn switched(&self) {
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
            // The append goes on when the caller's connection is gone.
            return tokio::spawn(append).await.unwrap_or(Err(Dropped));
        }
        if head.method != Method::GET {
            return Ok(server::error(StatusCode::METHOD_NOT_ALLOWED, "method"));
        }
        match Read::parse(head.uri.query().unwrap_or_default()) {
            Some(read) => Ok(self.read(stream, &read).await),
            None => Ok(server::error(StatusCode::BAD_REQUEST, "invalid")),
        }
    }
}

impl Log {
    fn lock(&self) -> MutexGuard<'_, (BTreeMap<Box<str>, Stream>, Limiter)> {
        self.streams.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn append(self: Arc<Self>, stream: Box<str>, data: Bytes) -> Result<Reply, Dropped> {
        let faults = self.faults.get();
        if faults.down || self.faults.happens(faults.drop_appends) {
            return Ok(outage());
        }
        if data.len() > MAX_RECORD_BYTES {
            return Ok(server::error(StatusCode::PAYLOAD_TOO_LARGE, "too_large"));
        }
        if !self.lock().1.take(faults.rate_per_s, Instant::now()) {
            return Ok(server::limited());
        }
        server::pause(faults.delay_ms).await;
        let offset = self
            .lock()
            .0
            .entry(stream)
            .or_default()
            .append(data, server::unix_millis());
        self.changes.send_replace(());
        if self.faults.happens(faults.lose_replies) {
            return Err(Dropped);
        }
        Ok(server::json(
            StatusCode::OK,
            &serde_json::json!({"offset": offset}),
        ))
    }

    async fn read(&self, stream: &str, read: &Read) -> Reply {
        server::pause(self.faults.get().delay_ms).await;
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
            // A change that comes between the look above and this wait is not missed, since it
            // was marked before the look.
            if tokio::time::timeout_at(deadline, changes.changed())
                .await
                .is_err()
            {
                return server::json(StatusCode::OK, &page);
            }
        }
    }

    fn page(&self, stream: &str, read: &Read, retention_ms: u64) -> stream::Page {
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
