//! The state of every key of one partition, as a function of the records read.

use crate::digest::Digest;
use crate::key::{Key, Sending};
use crate::record::{Answer, Claim, Outcome, Record, Release};
use entity::{Offset, request};

/// Sorted vectors that the keys of a partition are spread over, which bounds the cost of an insert.
const BUCKETS: usize = 64;

/// Where a batch of records is on the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    /// Offset of the log record.
    pub offset: Offset,
    /// The log's time at the append, in milliseconds since the Unix epoch.
    pub time_ms: u64,
}

/// How the log decided an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Its claim was the first and it has not been released: it alone may dispatch.
    Won,
    /// Another attempt held the key or had settled it.
    Lost,
    /// A release had already excluded its sending.
    Excluded,
    /// Its fingerprint differs from that of the first claim.
    Mismatched,
    /// It was released and can never win.
    Released,
}

/// What is known of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status<'a> {
    /// No attempt holds the key.
    Free,
    /// An attempt holds the key; it may have been dispatched, or its holder may be gone.
    Held(request::Id),
    /// The key was run and answered.
    Settled(&'a Answer),
    /// A record that this release can't read is about the key: it may be held or settled.
    Foreign,
}

#[derive(Clone, Debug)]
struct Attempt {
    id: request::Id,
    standing: Standing,
    at: Position,
}

#[derive(Clone, Debug)]
struct Entry {
    key: Key,
    fingerprint: Option<Digest>,
    holder: Option<request::Id>,
    /// Boxed, because most keys that are open have none.
    answer: Option<Box<Answer>>,
    /// Whether a record that this release can't read is about the key.
    foreign: bool,
    /// Sendings up to this one can't win any more.
    excluded: Sending,
    /// Sorted by id. Each attempt is decided by its first record: later copies change nothing.
    attempts: Vec<Attempt>,
    last_ms: u64,
}

impl Entry {
    fn new(key: Key) -> Self {
        Self {
            key,
            fingerprint: None,
            holder: None,
            answer: None,
            foreign: false,
            excluded: Sending::UNNUMBERED,
            attempts: Vec::new(),
            last_ms: 0,
        }
    }

    fn find(&self, attempt: request::Id) -> Result<usize, usize> {
        self.attempts.binary_search_by_key(&attempt, |a| a.id)
    }

    fn decide(&self, claim: &Claim) -> Standing {
        let mismatched = self
            .fingerprint
            .is_some_and(|first| first != claim.fingerprint);
        if mismatched {
            return Standing::Mismatched;
        }
        if self.foreign || self.holder.is_some() || self.answer.is_some() {
            return Standing::Lost;
        }
        if self.excluded.is_numbered() && claim.sending <= self.excluded {
            return Standing::Excluded;
        }
        Standing::Won
    }

    fn claim(&mut self, claim: &Claim, at: Position) {
        let Err(index) = self.find(claim.attempt) else {
            return;
        };
        let standing = self.decide(claim);
        if standing == Standing::Won {
            self.holder = Some(claim.attempt);
            self.fingerprint = Some(claim.fingerprint);
        }
        let id = claim.attempt;
        self.attempts.insert(index, Attempt { id, standing, at });
    }

    fn release(&mut self, release: &Release, at: Position) {
        let id = release.attempt;
        let attempt = Attempt {
            id,
            standing: Standing::Released,
            at,
        };
        match self.find(id) {
            // Only the first release counts, so that a copy of it excludes nothing more.
            Ok(index) if self.attempts[index].standing == Standing::Released => return,
            Ok(index) => self.attempts[index] = attempt,
            Err(index) => self.attempts.insert(index, attempt),
        }
        self.excluded = self.excluded.max(release.sending);
        if self.holder == Some(id) && self.answer.is_none() {
            self.holder = None;
        }
    }

    fn settle(&mut self, outcome: &Outcome) {
        if self.answer.is_some() {
            return;
        }
        // The claim itself may have expired from the log before this reader began.
        self.holder = Some(outcome.attempt);
        self.fingerprint = Some(outcome.fingerprint);
        self.answer = Some(Box::new(outcome.answer.clone()));
    }
}

/// The state of one partition's keys after a prefix of its stream.
#[derive(Clone, Debug)]
pub struct Fold {
    buckets: Vec<Vec<Entry>>,
    next: Offset,
    complete: Offset,
}

impl Fold {
    /// A fold that reads from the first retained record.
    ///
    /// `first` and `next` are those of the first page read: records from `next` on are appended
    /// after the fold began, and only an attempt whose claim is among these may dispatch.
    pub fn open(first: Offset, next: Offset) -> Self {
        assert!(
            first <= next,
            "a stream's first offset is not after its next"
        );
        Self {
            buckets: vec![Vec::new(); BUCKETS],
            next: first,
            complete: next,
        }
    }

    /// The offset of the record to read next.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Offsets from this one on were appended after the fold began to read.
    pub fn complete(&self) -> Offset {
        self.complete
    }

    /// Applies the batch of one log record.
    ///
    /// # Panics
    ///
    /// If a record was skipped or is applied twice: the caller opens a new fold after a gap.
    pub fn apply(&mut self, at: Position, batch: &[Record]) {
        assert_eq!(at.offset, self.next, "records are applied without gaps");
        self.next = at.offset.next();
        for record in batch {
            self.step(at, record);
        }
    }

    fn step(&mut self, at: Position, record: &Record) {
        let entry = self.entry(record.key());
        entry.last_ms = entry.last_ms.max(at.time_ms);
        match record {
            Record::Claim(claim) => entry.claim(claim, at),
            Record::Release(release) => entry.release(release, at),
            Record::Outcome(outcome) => entry.settle(outcome),
            Record::Foreign(_) => entry.foreign = true,
        }
    }

    fn entry(&mut self, key: Key) -> &mut Entry {
        let bucket = &mut self.buckets[usize::from(key.spread()) % BUCKETS];
        let index = match bucket.binary_search_by_key(&key, |entry| entry.key) {
            Ok(index) => index,
            Err(index) => {
                bucket.insert(index, Entry::new(key));
                index
            }
        };
        &mut bucket[index]
    }

    fn get(&self, key: Key) -> Option<&Entry> {
        let bucket = &self.buckets[usize::from(key.spread()) % BUCKETS];
        let index = bucket.binary_search_by_key(&key, |entry| entry.key).ok()?;
        Some(&bucket[index])
    }

    /// What is known of a key.
    pub fn status(&self, key: Key) -> Status<'_> {
        let Some(entry) = self.get(key) else {
            return Status::Free;
        };
        if let Some(answer) = &entry.answer {
            return Status::Settled(answer);
        }
        if entry.foreign {
            return Status::Foreign;
        }
        entry.holder.map_or(Status::Free, Status::Held)
    }

    /// Whether the key's first claim had another fingerprint.
    pub fn mismatches(&self, key: Key, fingerprint: Digest) -> bool {
        self.get(key)
            .and_then(|entry| entry.fingerprint)
            .is_some_and(|first| first != fingerprint)
    }

    /// How the log decided an attempt, and where; `None` until a record of it has been read.
    pub fn standing(&self, key: Key, attempt: request::Id) -> Option<(Standing, Position)> {
        let entry = self.get(key)?;
        let index = entry.find(attempt).ok()?;
        let found = &entry.attempts[index];
        Some((found.standing, found.at))
    }

    /// Whether no sending up to `sending` has been or can be dispatched, going by the records read.
    pub fn excludes(&self, key: Key, sending: Sending) -> bool {
        let Some(entry) = self.get(key) else {
            return false;
        };
        let unheld = entry.holder.is_none() && entry.answer.is_none() && !entry.foreign;
        sending.is_numbered() && sending <= entry.excluded && unheld
    }

    /// How many keys are remembered.
    pub fn len(&self) -> usize {
        self.buckets.iter().map(Vec::len).sum()
    }

    /// Whether no key is remembered.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Drops keys whose last record is older than `before_ms`: the log's time less
    /// [`Window::memory`](crate::Window::memory), so that no later claim of them is in its window.
    pub fn forget(&mut self, before_ms: u64) {
        for bucket in &mut self.buckets {
            bucket.retain(|entry| entry.last_ms >= before_ms);
        }
    }
}
