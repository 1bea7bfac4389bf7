//! What each body that an instance holds takes of the bytes for all of them.

use entity::{Moment, Span, unit};

/// Part of a body that may also take the bytes reserved for short bodies.
const SHORT_BODY_BYTES: u64 = 64 << 10;
/// One of so many parts of all bytes is reserved for short bodies.
const RESERVED_PARTS: u64 = 4;
/// Time without progress after which a body that is still arriving makes room for others.
const STALL_TIME: Span = Span::from_secs(1);

/// Id of a body.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Id(u64);

/// There is no room for more bytes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no memory is left for the body")]
pub struct Full;

#[derive(Clone, Copy, Debug)]
struct Entry {
    id: Id,
    held: u64,
    /// When its last bytes arrived.
    active_at: Moment,
    is_whole: bool,
}

/// Bodies that arrive or are being served.
#[derive(Clone, Debug)]
pub struct Ledger {
    limit: unit::Bytes,
    used: u64,
    next: u64,
    /// Sorted by id.
    entries: Vec<Entry>,
}

impl Ledger {
    /// Creates a ledger of so many bytes for all bodies together.
    pub fn new(limit: unit::Bytes) -> Self {
        Self {
            limit,
            used: 0,
            next: 0,
            entries: Vec::new(),
        }
    }

    /// Returns the bytes that all bodies hold together.
    pub fn used(&self) -> unit::Bytes {
        unit::Bytes(self.used)
    }

    /// Adds a body that begins to arrive.
    pub fn open(&mut self, now: Moment) -> Id {
        let id = Id(self.next);
        self.next += 1;
        self.entries.push(Entry {
            id,
            held: 0,
            active_at: now,
            is_whole: false,
        });
        id
    }

    /// Adds bytes to a body, of which the configuration allows `largest` in all. Returns the bodies that make room
    /// for them: of those that have stalled, the largest ones.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no room, also with the stalled bodies gone.
    pub fn grow(
        &mut self,
        id: Id,
        bytes: u64,
        largest: unit::Bytes,
        now: Moment,
    ) -> Result<Vec<Id>, Full> {
        let index = self.index(id).ok_or(Full)?;
        let held = self.entries[index].held + bytes;
        let limit = self.limit_of(held, largest);
        if self.used + bytes <= limit {
            self.add(index, bytes, now);
            return Ok(Vec::new());
        }
        let mut stalled = self.stalled(id, now);
        let stalled_bytes: u64 = stalled.iter().map(|(held, _)| held).sum();
        if self.used - stalled_bytes + bytes > limit {
            return Err(Full);
        }
        let mut evicted = Vec::new();
        while self.used + bytes > limit {
            let (_, largest) = stalled.pop().ok_or(Full)?;
            self.close(largest);
            evicted.push(largest);
        }
        // The position may have changed with the bodies that were dropped.
        let index = self.index(id).ok_or(Full)?;
        self.add(index, bytes, now);
        Ok(evicted)
    }

    fn add(&mut self, index: usize, bytes: u64, now: Moment) {
        self.used += bytes;
        self.entries[index].held += bytes;
        self.entries[index].active_at = now;
    }

    /// Records that a body is whole, so that it stays until it is closed.
    pub fn complete(&mut self, id: Id) {
        if let Some(index) = self.index(id) {
            self.entries[index].is_whole = true;
        }
    }

    /// Removes a body. Does nothing if it made room for others before.
    pub fn close(&mut self, id: Id) {
        if let Some(index) = self.index(id) {
            self.used -= self.entries.remove(index).held;
        }
    }

    /// Returns the limit that holds for a body of a size. A body that the configuration allows has room where there
    /// is no other.
    fn limit_of(&self, held: u64, largest: unit::Bytes) -> u64 {
        let all = self.limit.0.max(largest.0);
        if held <= SHORT_BODY_BYTES {
            return all;
        }
        (all - all / RESERVED_PARTS).max(largest.0)
    }

    /// Returns the bodies but one that have stalled, with what they hold, the largest one last.
    fn stalled(&self, but: Id, now: Moment) -> Vec<(u64, Id)> {
        let entries = self.entries.iter().filter(|entry| {
            let has_stalled = now.since(entry.active_at) >= STALL_TIME;
            entry.id != but && !entry.is_whole && has_stalled
        });
        let mut stalled: Vec<(u64, Id)> = entries.map(|entry| (entry.held, entry.id)).collect();
        stalled.sort_unstable();
        stalled
    }

    fn index(&self, id: Id) -> Option<usize> {
        self.entries
            .binary_search_by_key(&id, |entry| entry.id)
            .ok()
    }
}
