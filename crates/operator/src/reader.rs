//! Reads the configuration stream up to its end, and on from there.

use crate::error::Error;
use adoption::{Fold, Page, STREAM, Snapshot, Step};
use entity::{Generation, Offset, Span};
use journal::{Backoff, Log};
use std::sync::Arc;
use tokio::time::{Instant, sleep, timeout_at};

/// Most records in one read.
const PAGE_RECORDS: usize = 32;

/// Bounds of the delay between failed reads.
const LEAST_DELAY: Span = Span::from_millis(50);
const MOST_DELAY: Span = Span::from_secs(1);

/// Reads a page, and tries again until the deadline.
pub(crate) async fn page<L: Log>(
    log: &L,
    stream: &str,
    from: Offset,
    wait: Span,
    deadline: Instant,
) -> Result<logs::Page, Error> {
    let mut backoff = Backoff::new(LEAST_DELAY, MOST_DELAY);
    let mut last = Error::Deadline;
    loop {
        let read = log.read(stream, from, PAGE_RECORDS, wait);
        match timeout_at(deadline, read).await {
            Ok(Ok(page)) => return Ok(page),
            Ok(Err(error)) => last = error.into(),
            Err(_) => return Err(last),
        }
        if timeout_at(deadline, sleep(backoff.next_delay()))
            .await
            .is_err()
        {
            return Err(last);
        }
    }
}

/// A fold of the configuration stream, with what it did.
pub(crate) struct Reader<'l, L> {
    log: &'l L,
    deadline: Instant,
    fold: Fold,
    /// Everything that the fold did, in order.
    steps: Vec<Step>,
    /// Offsets of the records read and the log's times, in order.
    times: Vec<(Offset, u64)>,
}

impl<'l, L: Log> Reader<'l, L> {
    /// A reader that has read the stream to its end.
    pub(crate) async fn open(log: &'l L, deadline: Instant) -> Result<Self, Error> {
        let mut reader = Self {
            log,
            deadline,
            fold: Fold::new(),
            steps: Vec::new(),
            times: Vec::new(),
        };
        while !reader.read(Span::ZERO).await? {}
        Ok(reader)
    }

    /// Reads one page, waiting for its first record; whether that was the end of the stream.
    pub(crate) async fn read(&mut self, wait: Span) -> Result<bool, Error> {
        let from = self.fold.next_offset();
        let page = page(self.log, STREAM, from, wait, self.deadline).await?;
        let records = page.records.iter();
        self.times.extend(
            records
                .clone()
                .map(|record| (record.offset, record.time_ms)),
        );
        let view = Page {
            first: page.first,
            next: page.next,
            records: records
                .map(|record| (record.offset, record.data()))
                .collect(),
        };
        self.fold.read(&view, &mut self.steps)?;
        Ok(page.next_offset(from) >= page.next)
    }

    pub(crate) fn fold(&self) -> &Fold {
        &self.fold
    }

    pub(crate) fn steps(&self) -> &[Step] {
        &self.steps
    }

    pub(crate) fn deadline(&self) -> Instant {
        self.deadline
    }

    /// When the log took a record, in milliseconds since the Unix epoch.
    pub(crate) fn time_ms(&self, offset: Offset) -> Option<u64> {
        let found = self
            .times
            .binary_search_by_key(&offset, |(offset, _)| *offset);
        found.ok().map(|index| self.times[index].1)
    }

    /// A generation that the retained records tell of.
    pub(crate) fn snapshot(&self, generation: Generation) -> Option<&Arc<Snapshot>> {
        let mut found = None;
        for step in &self.steps {
            let snapshot = match step {
                Step::Accepted { snapshot, .. } => snapshot,
                Step::Started {
                    snapshot: Some(snapshot),
                    ..
                } => snapshot,
                _ => continue,
            };
            if snapshot.generation == generation {
                found = Some(snapshot);
            }
        }
        found
    }
}
