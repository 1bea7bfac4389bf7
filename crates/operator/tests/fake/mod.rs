//! An in-memory log whose appends fail according to a script.

#![allow(dead_code, reason = "each test file uses only some of the items")]

use adoption::{Checkpoint, FORMAT, Id, Publication, Record};
use bytes::Bytes;
use entity::{Generation, Offset, Span};
use journal::Log;
use logs::{Error, Page};
use std::collections::VecDeque;
use std::sync::{Arc, Mutex};

/// Outcome of an append.
#[derive(Clone, Debug)]
pub enum AppendOutcome {
    /// The record is appended and the reply arrives.
    Apply,
    /// The record is appended and the reply is lost.
    LoseReply,
    /// The record is not appended and there is no reply.
    Drop,
    /// The append is refused.
    Refuse,
    /// Another record is appended immediately before this one.
    Race(Vec<u8>),
}

#[derive(Debug)]
struct State {
    records: Vec<Vec<u8>>,
    /// Offset of the first retained record.
    first: u64,
    outcomes: VecDeque<AppendOutcome>,
    /// Outcome of all appends after the end of the script.
    default_outcome: AppendOutcome,
    is_down: bool,
}

/// An in-memory log with one stream.
#[derive(Clone, Debug)]
pub struct FakeLog(Arc<Mutex<State>>);

/// Returns the log's time of the append of a record, in milliseconds since the Unix epoch.
pub fn time_ms(offset: u64) -> u64 {
    1_000_000 + offset * 1000
}

impl FakeLog {
    /// Creates a log whose first retained record has offset `first`.
    pub fn new(first: u64, records: Vec<Vec<u8>>) -> Self {
        Self(Arc::new(Mutex::new(State {
            records,
            first,
            outcomes: VecDeque::new(),
            default_outcome: AppendOutcome::Apply,
            is_down: false,
        })))
    }

    /// Sets the outcomes of the next appends, and of all appends after them.
    pub fn script(self, outcomes: &[AppendOutcome], default_outcome: AppendOutcome) -> Self {
        let mut state = self.0.lock().expect("the lock is never poisoned");
        state.outcomes = outcomes.to_vec().into();
        state.default_outcome = default_outcome;
        drop(state);
        self
    }

    /// Makes all further reads fail.
    pub fn stop(&self) {
        self.0.lock().expect("the lock is never poisoned").is_down = true;
    }

    /// Returns the number of records.
    pub fn len(&self) -> usize {
        self.0
            .lock()
            .expect("the lock is never poisoned")
            .records
            .len()
    }
}

impl State {
    fn next(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn append(&mut self, data: &Bytes) -> Result<Offset, Error> {
        let outcome = self
            .outcomes
            .pop_front()
            .unwrap_or(self.default_outcome.clone());
        let offset = Offset(self.next());
        match outcome {
            AppendOutcome::Apply => {
                self.records.push(data.to_vec());
                Ok(offset)
            }
            AppendOutcome::LoseReply => {
                self.records.push(data.to_vec());
                Err(Error::Unknown("reply lost".into()))
            }
            AppendOutcome::Drop => Err(Error::Unknown("dropped".into())),
            AppendOutcome::Refuse => Err(Error::Refused {
                reason: "over the rate".into(),
                retry_after: Span::from_secs(1),
            }),
            AppendOutcome::Race(other) => {
                self.records.push(other);
                self.records.push(data.to_vec());
                Ok(offset.next())
            }
        }
    }

    fn page(&self, from: Offset, limit: usize) -> Page {
        let start = from.0.max(self.first);
        let mut page = Page {
            first: Offset(self.first),
            next: Offset(self.next()),
            records: Vec::new(),
        };
        for offset in (start..self.next()).take(limit) {
            let data = &self.records[(offset - self.first) as usize];
            let record = logs::Record::new(Offset(offset), time_ms(offset), data);
            page.records.push(record);
        }
        page
    }
}

impl Log for FakeLog {
    async fn append(&self, _: &str, data: Bytes) -> Result<Offset, Error> {
        self.0
            .lock()
            .expect("the lock is never poisoned")
            .append(&data)
    }

    async fn read(&self, _: &str, from: Offset, limit: usize, wait: Span) -> Result<Page, Error> {
        let (page, is_down) = {
            let state = self.0.lock().expect("the lock is never poisoned");
            (state.page(from, limit), state.is_down)
        };
        if is_down {
            return Err(Error::Unknown("down".into()));
        }
        if page.records.is_empty() {
            tokio::time::sleep(wait.duration()).await;
        }
        Ok(page)
    }
}

/// Encodes the record of a publication.
pub fn published(base: u64, author: &str, text: &str) -> Vec<u8> {
    Record::Publication(Publication {
        format: FORMAT,
        id: Id(u128::from(base) + 77),
        base: Generation(base),
        author: author.into(),
        text: text.into(),
    })
    .encode()
}

/// Encodes the record of a checkpoint.
pub fn checkpoint(generation: u64, read_through: u64, text: &str) -> Vec<u8> {
    Record::Checkpoint(Checkpoint {
        format: FORMAT,
        generation: Generation(generation),
        read_through: Offset(read_through),
        author: "ada".into(),
        text: text.into(),
    })
    .encode()
}
