//! Reads the configuration stream to its end and follows it from there.

use crate::error::Error;
use adoption::{Fold, Page, STREAM, Snapshot, Step};
use entity::{Generation, Offset, Span};
use journal::{Backoff, Log};
use std::sync::Arc;
use tokio::time::{Instant, sleep, timeout_at};

/// Maximum number of records in one read.
const MAX_PAGE_RECORDS: usize = 32;

/// Minimum delay after a failed read.
const MIN_RETRY_DELAY: Span = Span::from_millis(50);
/// Maximum delay after a failed read.
const MAX_RETRY_DELAY: Span = Span::from_secs(1);

/// Reads one page of a stream and retries failed reads until the deadline.
///
/// # Errors
///
/// Returns the error of the last failed read, or [`Error::Deadline`] if no read has failed.
pub(crate) async fn page<L: Log>(
    log: &L,
    stream: &str,
    from: Offset,
    wait: Span,
    deadline: Instant,
) -> Result<logs::Page, Error> {
    let mut backoff = Backoff::new(MIN_RETRY_DELAY, MAX_RETRY_DELAY);
    let mut last = Error::Deadline;
    loop {
        let read = log.read(stream, from, MAX_PAGE_RECORDS, wait);
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

/// A fold of the configuration stream, with its steps.
pub(crate) struct Reader<'l, L> {
    log: &'l L,
    deadline: Instant,
    fold: Fold,
    /// All steps of the fold, in order.
    steps: Vec<Step>,
    /// Offset of each record read and the log's time of its append in milliseconds since the Unix
    /// epoch, sorted by offset.
    append_times: Vec<(Offset, u64)>,
}

impl<'l, L: Log> Reader<'l, L> {
    /// Opens a reader and reads the stream to its current end.
    pub(crate) async fn open(log: &'l L, deadline: Instant) -> Result<Self, Error> {
        let mut reader = Self {
            log,
            deadline,
            fold: Fold::new(),
            steps: Vec::new(),
            append_times: Vec::new(),
        };
        while !reader.read(Span::ZERO).await? {}
        Ok(reader)
    }

    /// Reads one page, waiting up to `wait` for its first record. Returns whether the page reached
    /// the end of the stream.
    pub(crate) async fn read(&mut self, wait: Span) -> Result<bool, Error> {
        let from = self.fold.next_offset();
        let page = page(self.log, STREAM, from, wait, self.deadline).await?;
        let records = page.records.iter();
        self.append_times.extend(
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

    /// Returns the log's time of the append of a record, in milliseconds since the Unix epoch.
    pub(crate) fn time_ms(&self, offset: Offset) -> Option<u64> {
        let found = self
            .append_times
            .binary_search_by_key(&offset, |(offset, _)| *offset);
        found.ok().map(|index| self.append_times[index].1)
    }

    /// Returns the snapshot of a generation if the retained records contain it.
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
