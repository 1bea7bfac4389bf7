//! A few writers append for all instances, so that the log's rate suffices at any size.
//!
//! In a small system every instance appends by itself. In a large one, a few instances, found by
//! rendezvous hashing over the instance list, commit the batches of the others together with their
//! own. Who counts as a writer may differ between instances for a moment, which only costs appends:
//! any instance takes batches, and every fold drops copies.

use crate::links::Links;
use crate::members::Reading;
use crate::rendezvous;
use bytes::Bytes;
use entity::unit::Rate;
use entity::{Offset, Span, name};
use fellow::message::{Append, Body};
use fellow::{Error, Link};
use instances::State;
use journal::Log;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use tokio::sync::watch;

/// Instances that append for others.
pub const WRITERS: usize = 8;
/// Instances up to which each appends by itself.
pub const SMALL: usize = 2 * WRITERS;
/// Appends a second that all instances together ask of the log.
const LOG_RATE: u64 = 300;
/// Batches a second that an instance sends to writers.
const BATCH_RATE: Rate = Rate(50);
/// When a batch that was not taken is tried again.
const RETRY_AFTER: Span = Span::from_millis(100);
/// What the writers are chosen for, by rendezvous hashing.
const PURPOSE: &str = "writers";

/// The writers among live instances, in the order of their ranks; none in a small system.
pub fn writers(live: &[name::Instance]) -> Vec<&name::Instance> {
    if live.len() <= SMALL {
        return Vec::new();
    }
    let mut ranked = rendezvous::ranked(live.iter(), |instance| instance, PURPOSE);
    ranked.truncate(WRITERS);
    ranked
}

/// How many batches a second an instance commits, to the log or to writers.
pub fn rate(own: &name::Instance, live: &[name::Instance]) -> Rate {
    let writers = writers(live);
    if !writers.is_empty() && !writers.contains(&own) {
        return BATCH_RATE;
    }
    let sharers = if writers.is_empty() {
        live.len()
    } else {
        writers.len()
    };
    Rate((LOG_RATE / sharers.max(1) as u64).max(1))
}

/// The entries of a batch, without the brackets of its array; none if it is no array.
pub fn entries(batch: Vec<u8>) -> Option<Bytes> {
    let entries = Bytes::from(batch);
    if entries.len() <= 2 || !entries.starts_with(b"[") || !entries.ends_with(b"]") {
        return None;
    }
    Some(entries.slice(1..entries.len() - 1))
}

/// The log as a committer reaches it: directly, or through a writer.
#[derive(Clone)]
pub struct Writers {
    log: logs::Client,
    own: name::Instance,
    members: watch::Receiver<Reading>,
    links: Arc<Links>,
    /// Writers that failed so far: the next one is tried then.
    failures: Arc<AtomicUsize>,
}

impl Writers {
    /// Reaches the log for an instance.
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

    /// The writer for a stream now; none if this instance appends by itself.
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
        let error = match writer.ask(Body::Append(append)).await {
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
