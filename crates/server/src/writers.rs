//! Writers: a few instances that append for all, so that the rate of the log suffices for a system
//! of any size.
//!
//! In a small system every instance appends by itself. In a large one, a few instances, found by
//! rendezvous hashing over the instance list, commit the batches of the others together with their
//! own. Instances may disagree for a moment about which of them are writers, which only costs
//! appends: any instance accepts batches, and every fold drops duplicates.

use crate::links::Links;
use crate::members::Reading;
use crate::rendezvous;
use bytes::Bytes;
use entity::unit::Rate;
use entity::{Offset, Span, name};
use instances::State;
use journal::Log;
use peer::message::{Append, Body};
use peer::{Error, Link};
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::sync::watch;

/// Number of instances that append for all in a large system.
pub const WRITER_COUNT: usize = 8;
/// Largest number of instances that each append to the log themselves.
pub const MAX_INDEPENDENT_INSTANCES: usize = 2 * WRITER_COUNT;
/// Appends per second that all instances together send to the log.
const LOG_APPENDS_PER_SECOND: u64 = 300;
/// Batches per second that an instance sends to writers.
const BATCH_RATE: Rate = Rate(50);
/// Delay before a batch that a busy writer refused is sent again.
const RETRY_AFTER: Span = Span::from_millis(100);
/// Rendezvous key by which writers are ranked.
const RENDEZVOUS_KEY: &str = "writers";

/// Returns the writers among live instances, in the order of their ranks; none in a small system.
pub fn writers(live: &[name::Instance]) -> Vec<&name::Instance> {
    if live.len() <= MAX_INDEPENDENT_INSTANCES {
        return Vec::new();
    }
    let mut ranked = rendezvous::ranked(live.iter(), |instance| instance, RENDEZVOUS_KEY);
    ranked.truncate(WRITER_COUNT);
    ranked
}

/// Returns the number of batches per second that an instance commits, to the log or to writers.
pub fn rate(own: &name::Instance, live: &[name::Instance]) -> Rate {
    let writers = writers(live);
    if !writers.is_empty() && !writers.contains(&own) {
        return BATCH_RATE;
    }
    let appenders = if writers.is_empty() {
        live.len()
    } else {
        writers.len()
    };
    Rate((LOG_APPENDS_PER_SECOND / appenders.max(1) as u64).max(1))
}

/// Returns the entries of a batch without the brackets of their JSON array; `None` if the batch is
/// empty or not an array.
pub fn entries(batch: Vec<u8>) -> Option<Bytes> {
    let entries = Bytes::from(batch);
    if entries.len() <= 2 || !entries.starts_with(b"[") || !entries.ends_with(b"]") {
        return None;
    }
    Some(entries.slice(1..entries.len() - 1))
}

/// Access to the log, directly or through a writer.
#[derive(Clone)]
pub struct Writers {
    log: logs::Client,
    own: name::Instance,
    members: watch::Receiver<Reading>,
    links: Arc<Links>,
    /// Number of failed appends through writers; each failure selects the next writer.
    failures: Arc<AtomicUsize>,
}

impl Writers {
    /// Creates the access to the log for an instance.
    pub fn new(
        log: logs::Client,
        own: name::Instance,
        members: watch::Receiver<Reading>,
        links: Arc<Links>,
    ) -> Self {
        let failures = Arc::default();
        Self {
            log,
            own,
            members,
            links,
            failures,
        }
    }

    /// Returns the connection to the current writer of a stream; `None` if this instance appends by
    /// itself.
    fn writer(&self, stream: &str) -> Option<Link> {
        let list = self.members.borrow().list.clone();
        let live = list
            .instances
            .iter()
            .filter(|instance| instance.state == State::Live);
        let live: Vec<_> = live.map(|instance| instance.name.clone()).collect();
        let writers = writers(&live);
        if writers.is_empty() || writers.contains(&&self.own) {
            return None;
        }
        let node = routing::hash::text(self.own.as_str());
        let first = routing::hash::weight(routing::hash::text(stream), node) as usize;
        let index = first.wrapping_add(self.failures.load(Ordering::Relaxed)) % writers.len();
        let writer = list.get(writers[index])?;
        Some(self.links.get(writer.address))
    }
}

impl Log for Writers {
    async fn append(&self, stream: &str, data: Bytes) -> Result<Offset, logs::Error> {
        let Some(writer) = self.writer(stream) else {
            return self.log.append(stream, data).await;
        };
        let append = Append::new(stream.to_owned(), data.to_vec());
        let error = match writer.request(Body::Append(append)).await {
            Ok(Body::Appended(appended)) => return Ok(Offset(appended.offset.max(0) as u64)),
            Ok(_) => logs::Error::Unknown("the writer did not append in time".into()),
            Err(Error::Busy) => logs::Error::Refused {
                reason: "the writer is busy".into(),
                retry_after: RETRY_AFTER,
            },
            Err(error) => logs::Error::Unknown(error.to_string().into()),
        };
        self.failures.fetch_add(1, Ordering::Relaxed);
        Err(error)
    }

    async fn read(
        &self,
        stream: &str,
        from: Offset,
        limit: usize,
        wait: Span,
    ) -> Result<logs::Page, logs::Error> {
        self.log.read(stream, from, limit, wait).await
    }
}
