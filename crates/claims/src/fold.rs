//! The state of every key of one partition, as a function of the records read.

use crate::digest::Digest;
use crate::key::{AttemptNumber, Key};
use crate::record::{Answer, Claim, Outcome, Record, Release};
use entity::{Offset, request};

/// Number of sorted vectors that the keys of a partition are distributed over, which bounds the
/// cost of an insert.
const BUCKET_COUNT: usize = 64;

/// Position of a batch of records on the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Position {
    /// Offset of the log record.
    pub offset: Offset,
    /// Time of the append on the log's clock, in milliseconds since the Unix epoch.
    pub time_ms: u64,
}

/// Decision on an attempt, which follows from the order of records on the log.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Decision {
    /// Its claim was the first and it has not been released. Only this attempt may be dispatched.
    Won,
    /// Another attempt held the key or had settled it.
    Lost,
    /// An earlier release had excluded its attempt number.
    Excluded,
    /// Its fingerprint differs from that of the first claim.
    Mismatched,
    /// It was released and can never win.
    Released,
}

/// State of a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Status<'a> {
    /// No attempt holds the key.
    Free,
    /// An attempt holds the key. It may have been dispatched, or its instance may have failed.
    Held(request::Id),
    /// The operation was run and answered.
    Settled(&'a Answer),
    /// A record of the key can't be decoded by this release, so the key may be held or settled.
    Foreign,
}

#[derive(Clone, Debug)]
struct Attempt {
    id: request::Id,
    decision: Decision,
    at: Position,
}

#[derive(Clone, Debug)]
struct Entry {
    key: Key,
    fingerprint: Option<Digest>,
    holder: Option<request::Id>,
    /// Boxed, because most open keys have no answer.
    answer: Option<Box<Answer>>,
    /// Whether a record of the key can't be decoded by this release.
    foreign: bool,
    /// Attempts up to this number can't win any more.
    excluded: AttemptNumber,
    /// Sorted by id. The first record of an attempt decides it; later copies change nothing.
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
            excluded: AttemptNumber::UNNUMBERED,
            attempts: Vec::new(),
            last_ms: 0,
        }
    }

    fn find(&self, attempt: request::Id) -> Result<usize, usize> {
        self.attempts.binary_search_by_key(&attempt, |a| a.id)
    }

    fn decide(&self, claim: &Claim) -> Decision {
        let mismatched = self
            .fingerprint
            .is_some_and(|first| first != claim.fingerprint);
        if mismatched {
            return Decision::Mismatched;
        }
        if self.foreign || self.holder.is_some() || self.answer.is_some() {
            return Decision::Lost;
        }
        if self.excluded.is_numbered() && claim.attempt_number <= self.excluded {
            return Decision::Excluded;
        }
        Decision::Won
    }

    fn claim(&mut self, claim: &Claim, at: Position) {
        let Err(index) = self.find(claim.attempt) else {
            return;
        };
        let decision = self.decide(claim);
        if decision == Decision::Won {
            self.holder = Some(claim.attempt);
            self.fingerprint = Some(claim.fingerprint);
        }
        let id = claim.attempt;
        self.attempts.insert(index, Attempt { id, decision, at });
    }

    fn release(&mut self, release: &Release, at: Position) {
        let id = release.attempt;
        let attempt = Attempt {
            id,
            decision: Decision::Released,
            at,
        };
        match self.find(id) {
            // Only the first release counts, so that a late copy does not exclude more attempts.
            Ok(index) if self.attempts[index].decision == Decision::Released => return,
            Ok(index) => self.attempts[index] = attempt,
            Err(index) => self.attempts.insert(index, attempt),
        }
        self.excluded = self.excluded.max(release.attempt_number);
        if self.holder == Some(id) && self.answer.is_none() {
            self.holder = None;
        }
    }

    fn settle(&mut self, outcome: &Outcome) {
        if self.answer.is_some() {
            return;
        }
        // The claim itself may have expired from the log before this reader started.
        self.holder = Some(outcome.attempt);
        self.fingerprint = Some(outcome.fingerprint);
        self.answer = Some(Box::new(outcome.answer.clone()));
    }
}

/// State of one partition's keys after a prefix of its stream.
#[derive(Clone, Debug)]
pub struct Fold {
    buckets: Vec<Vec<Entry>>,
    next: Offset,
    live_from: Offset,
}

impl Fold {
    /// Creates a fold that reads from the first retained record on.
    ///
    /// `first` and `next` are those of the first page read. Records from `next` on were appended
    /// after the fold was created, and only an attempt whose claim is among them may be dispatched.
    pub fn open(first: Offset, next: Offset) -> Self {
        assert!(
            first <= next,
            "the first offset of a stream is after its next offset"
        );
        Self {
            buckets: vec![Vec::new(); BUCKET_COUNT],
            next: first,
            live_from: next,
        }
    }

    /// Returns the offset of the record to read next.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Returns the offset from which on records were appended after the fold was created.
    pub fn live_from(&self) -> Offset {
        self.live_from
    }

    /// Applies the batch of one log record.
    ///
    /// # Panics
    ///
    /// Panics if a record was skipped or is applied twice. The caller has to create a new fold
    /// after a gap.
    pub fn apply(&mut self, at: Position, batch: &[Record]) {
        assert_eq!(at.offset, self.next, "records must be applied without gaps");
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
        let bucket = &mut self.buckets[usize::from(key.bucket_hash()) % BUCKET_COUNT];
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
        let bucket = &self.buckets[usize::from(key.bucket_hash()) % BUCKET_COUNT];
        let index = bucket.binary_search_by_key(&key, |entry| entry.key).ok()?;
        Some(&bucket[index])
    }

    /// Returns the state of a key.
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
    pub fn has_other_fingerprint(&self, key: Key, fingerprint: Digest) -> bool {
        self.get(key)
            .and_then(|entry| entry.fingerprint)
            .is_some_and(|first| first != fingerprint)
    }

    /// Returns the decision on an attempt and the position of the record that decided it, or `None`
    /// until a record of the attempt has been read.
    pub fn decision(&self, key: Key, attempt: request::Id) -> Option<(Decision, Position)> {
        let entry = self.get(key)?;
        let index = entry.find(attempt).ok()?;
        let found = &entry.attempts[index];
        Some((found.decision, found.at))
    }

    /// Whether the records read prove that no attempt up to `number` was or can be dispatched.
    pub fn excludes(&self, key: Key, number: AttemptNumber) -> bool {
        let Some(entry) = self.get(key) else {
            return false;
        };
        let unheld = entry.holder.is_none() && entry.answer.is_none() && !entry.foreign;
        number.is_numbered() && number <= entry.excluded && unheld
    }

    /// Returns the number of keys that are kept.
    pub fn len(&self) -> usize {
        self.buckets.iter().map(Vec::len).sum()
    }

    /// Whether no key is kept.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Drops keys whose last record is older than `before_ms`. The caller passes the log's time
    /// less [`Window::entry_ttl`](crate::Window::entry_ttl), so that no later claim of a
    /// dropped key is in its window.
    pub fn evict_before(&mut self, before_ms: u64) {
        for bucket in &mut self.buckets {
            bucket.retain(|entry| entry.last_ms >= before_ms);
        }
    }
}
