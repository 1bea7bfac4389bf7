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
}

/// The records held for fellows, sorted by request.
#[derive(Clone, Debug)]
pub struct Held {
    policy: Policy,
    copies: Vec<Copy>,
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
        }
    }

    /// How many records are held.
    pub fn len(&self) -> usize {
        self.copies.len()
    }

    /// Whether no record is held.
    pub fn is_empty(&self) -> bool {
        self.copies.is_empty()
    }

    /// Whether the record of a request is held.
    pub fn contains(&self, request: request::Id) -> bool {
        self.find(request).is_ok()
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
                self.copies[index].owner = owner;
                return Ok(());
            }
            Err(index) => index,
        };
        if self.copies.len() >= self.policy.capacity {
            return Err(Full);
        }
        let copy = Copy {
            record,
            owner,
            since: now,
            due: now + self.policy.patience,
        };
        self.copies.insert(index, copy);
        Ok(())
    }

    /// Drops a record that is on the log, by the word of its owner or of the log.
    pub fn appended(&mut self, request: request::Id) {
        if let Ok(index) = self.find(request) {
            self.copies.remove(index);
        }
    }

    /// Drops the records of an owner that is gone and returns them: the holder appends them and
    /// has them held as its own.
    pub fn adopt(&mut self, owner: &name::Instance) -> Vec<Record> {
        let adopted = self.copies.extract_if(.., |copy| copy.owner == *owner);
        adopted.map(|copy| copy.record).collect()
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
