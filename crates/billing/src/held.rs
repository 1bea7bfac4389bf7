//! Records that an instance holds for its fellows.

use crate::usage::Record;
use entity::{Moment, Span, name, request};

/// When held records are replayed and dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// How long a holder waits for the owner's word before it appends a record itself. An owner
    /// that is alive but whose message was lost costs a duplicate, which the ledger drops.
    pub patience: Span,
    /// How long a record is held at most; below the ledger's horizon by the skew of clocks and
    /// the delay of an append, because a later append would not be counted.
    pub hold: Span,
    /// Most records held; more are refused, and their owners ask another fellow.
    pub capacity: usize,
}

#[derive(Clone, Debug)]
struct Copy {
    record: Record,
    owner: name::Instance,
    since: Moment,
    due: Moment,
    /// Whether the record is on the log; such copies are removed together.
    appended: bool,
}

/// The records held for fellows, sorted by request.
#[derive(Clone, Debug)]
pub struct Held {
    policy: Policy,
    copies: Vec<Copy>,
    /// Copies that are not marked as appended.
    count: usize,
}

/// The holder has no room for another record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no room for another held record")]
pub struct Full;

impl Held {
    /// A holder of no records.
    pub fn new(policy: Policy) -> Self {
        assert!(
            policy.patience < policy.hold,
            "records are replayed while held"
        );
        Self {
            policy,
            copies: Vec::new(),
            count: 0,
        }
    }

    /// How many records are held.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Whether no record is held.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Whether the record of a request is held.
    pub fn contains(&self, request: request::Id) -> bool {
        let found = self.find(request);
        found.is_ok_and(|index| !self.copies[index].appended)
    }

    fn find(&self, request: request::Id) -> Result<usize, usize> {
        self.copies
            .binary_search_by_key(&request, |copy| copy.record.request)
    }

    /// Holds a record for its owner. A repeated request only changes the owner: a holder that
    /// adopts the record of an instance that is gone asks its fellows anew.
    ///
    /// # Errors
    ///
    /// There is no room.
    pub fn hold(&mut self, record: Record, owner: name::Instance, now: Moment) -> Result<(), Full> {
        let index = match self.find(record.request) {
            Ok(index) => {
                // A message to hold that arrives after the one to drop changes nothing either.
                self.copies[index].owner = owner;
                return Ok(());
            }
            Err(index) => index,
        };
        if self.count >= self.policy.capacity {
            return Err(Full);
        }
        let copy = Copy {
            record,
            owner,
            since: now,
            due: now + self.policy.patience,
            appended: false,
        };
        self.count += 1;
        self.copies.insert(index, copy);
        Ok(())
    }

    /// Drops a record that is on the log, by the word of its owner or of the log.
    pub fn appended(&mut self, request: request::Id) {
        let Ok(index) = self.find(request) else {
            return;
        };
        let copy = &mut self.copies[index];
        if !copy.appended {
            copy.appended = true;
            self.count -= 1;
        }
    }

    /// Removes what was dropped. Removal of many copies one by one would move all others each
    /// time.
    fn sweep(&mut self) {
        self.copies.retain(|copy| !copy.appended);
        debug_assert_eq!(
            self.copies.len(),
            self.count,
            "the count is of what is held"
        );
    }

    /// Drops the records of an owner that is gone and returns them: the holder appends them and
    /// has them held as its own.
    pub fn adopt(&mut self, owner: &name::Instance) -> Vec<Record> {
        self.sweep();
        let adopted = self.copies.extract_if(.., |copy| copy.owner == *owner);
        let adopted: Vec<Record> = adopted.map(|copy| copy.record).collect();
        self.count -= adopted.len();
        adopted
    }

    /// Makes all records of an owner due that says it will not append them.
    pub fn orphan(&mut self, owner: &name::Instance, now: Moment) {
        for copy in &mut self.copies {
            if copy.owner == *owner {
                copy.due = copy.due.min(now);
            }
        }
    }

    /// At most `limit` records to append now; each is due again after the patience, until
    /// [`appended`](Self::appended) is told of it.
    pub fn replay(&mut self, now: Moment, limit: usize) -> Vec<Record> {
        self.sweep();
        let mut due = Vec::new();
        for copy in &mut self.copies {
            if due.len() == limit {
                break;
            }
            if copy.due > now {
                continue;
            }
            copy.due = now + self.policy.patience;
            due.push(copy.record.clone());
        }
        due
    }

    /// Drops records that were held for too long to be counted, and returns them to be reported.
    pub fn expire(&mut self, now: Moment) -> Vec<Record> {
        let hold = self.policy.hold;
        let expired = self
            .copies
            .extract_if(.., |copy| now.since(copy.since) > hold);
        expired.map(|copy| copy.record).collect()
    }
}
