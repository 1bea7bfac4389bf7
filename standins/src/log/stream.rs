//! One stream of the log.

use base64::Engine;
use base64::engine::general_purpose::STANDARD;
use bytes::Bytes;
use serde::Serialize;
use std::collections::VecDeque;

/// A stream of records, whose offsets begin at 1 and have no gaps.
#[derive(Debug)]
pub(super) struct Stream {
    first: u64,
    records: VecDeque<(u64, Bytes)>,
}

/// Reply to a read.
#[derive(Debug, Serialize)]
pub(super) struct Page {
    first: u64,
    next: u64,
    pub(super) records: Vec<Record>,
}

/// A record as a read returns it.
#[derive(Debug, Serialize)]
pub(super) struct Record {
    offset: u64,
    time_ms: u64,
    data: Box<str>,
}

impl Default for Stream {
    fn default() -> Self {
        Self {
            first: 1,
            records: VecDeque::new(),
        }
    }
}

impl Stream {
    fn next(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    /// Appends a record and returns its offset.
    pub(super) fn append(&mut self, data: Bytes, time_ms: u64) -> u64 {
        let offset = self.next();
        self.records.push_back((time_ms, data));
        offset
    }

    /// Removes the records that were appended before a time.
    pub(super) fn expire(&mut self, before_ms: u64) {
        while self
            .records
            .front()
            .is_some_and(|(time_ms, _)| *time_ms < before_ms)
        {
            self.records.pop_front();
            self.first += 1;
        }
    }

    /// Returns at most `limit` records, beginning at `from` or at the first retained record,
    /// whichever is later.
    pub(super) fn page(&self, from: u64, limit: usize) -> Page {
        let skip = from.saturating_sub(self.first) as usize;
        let mut records = Vec::new();
        for (index, (time_ms, data)) in self.records.iter().enumerate().skip(skip).take(limit) {
            records.push(Record {
                offset: self.first + index as u64,
                time_ms: *time_ms,
                data: STANDARD.encode(data).into(),
            });
        }
        Page {
            first: self.first,
            next: self.next(),
            records,
        }
    }
}
