//! A log in memory whose appends fail as a script says.

#![allow(dead_code, reason = "each test file uses its own part of the fake")]

use adoption::{Checkpoint, FORMAT, Id, Publication, Record};
use bytes::Bytes;
use entity::{Generation, Offset, Span};
use journal::Log;
use logs::{Error, Page};
use std::collections::VecDeque;
use std::sync::{Arc, Mutex};

/// What becomes of an append.
#[derive(Clone, Debug)]
pub enum Fate {
    /// It is appended and the reply arrives.
    Apply,
    /// It is appended and the reply is lost.
    Lose,
    /// It is not appended and there is no reply.
    Drop,
    /// It is refused.
    Refuse,
    /// Another record comes first.
    Race(Vec<u8>),
}

#[derive(Debug)]
struct State {
    records: Vec<Vec<u8>>,
    /// The first retained record.
    first: u64,
    fates: VecDeque<Fate>,
    /// What becomes of appends after the script.
    rest: Fate,
    down: bool,
}

/// A log with one stream.
#[derive(Clone, Debug)]
pub struct Fake(Arc<Mutex<State>>);

/// The log's time of a record.
pub fn time_ms(offset: u64) -> u64 {
    1_000_000 + offset * 1000
}

impl Fake {
    /// A log with records, the first of which has offset `first`.
    pub fn new(first: u64, records: Vec<Vec<u8>>) -> Self {
        Self(Arc::new(Mutex::new(State {
            records,
            first,
            fates: VecDeque::new(),
            rest: Fate::Apply,
            down: false,
        })))
    }

    /// Appends fail as the script says, and then all in the last way.
    pub fn script(self, fates: &[Fate], rest: Fate) -> Self {
        let mut state = self.0.lock().expect("not poisoned");
        state.fates = fates.to_vec().into();
        state.rest = rest;
        drop(state);
        self
    }

    /// Nothing can be read any more.
    pub fn stop(&self) {
        self.0.lock().expect("not poisoned").down = true;
    }

    /// How many records there are.
    pub fn len(&self) -> usize {
        self.0.lock().expect("not poisoned").records.len()
    }
}

impl State {
    fn next(&self) -> u64 {
        self.first + self.records.len() as u64
    }

    fn append(&mut self, data: &Bytes) -> Result<Offset, Error> {
        let fate = self.fates.pop_front().unwrap_or(self.rest.clone());
        let offset = Offset(self.next());
        match fate {
            Fate::Apply => {
                self.records.push(data.to_vec());
                Ok(offset)
            }
            Fate::Lose => {
                self.records.push(data.to_vec());
                Err(Error::Unknown("reply lost".into()))
            }
            Fate::Drop => Err(Error::Unknown("dropped".into())),
            Fate::Refuse => Err(Error::Refused {
                reason: "over the rate".into(),
                retry_after: Span::from_secs(1),
            }),
            Fate::Race(other) => {
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

impl Log for Fake {
    async fn append(&self, _: &str, data: Bytes) -> Result<Offset, Error> {
        self.0.lock().expect("not poisoned").append(&data)
    }

    async fn read(&self, _: &str, from: Offset, limit: usize, wait: Span) -> Result<Page, Error> {
        let (page, down) = {
            let state = self.0.lock().expect("not poisoned");
            (state.page(from, limit), state.down)
        };
        if down {
            return Err(Error::Unknown("down".into()));
        }
        if page.records.is_empty() {
            tokio::time::sleep(wait.duration()).await;
        }
        Ok(page)
    }
}

/// A publication's record.
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

/// A checkpoint's record.
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
