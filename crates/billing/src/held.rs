//! Usage records that an instance holds for its peers.

use crate::usage::Record;
use entity::{Moment, Span, name, request};

/// Limits of the time and number of held records.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Policy {
    /// Time after which a holder appends a record itself if the owner did not report the append. If
    /// the owner is running and only its message was lost, this costs a duplicate, which the ledger
    /// drops.
    pub replay_delay: Span,
    /// Maximum time for which a record is held. It is shorter than the ledger's horizon by the
    /// clock skew and the delay of an append, because a later append would not be counted.
    pub max_hold: Span,
    /// Maximum number of held records; further ones are refused, and their owners ask another peer.
    pub capacity: usize,
}

#[derive(Clone, Debug)]
struct Copy {
    record: Record,
    owner: name::Instance,
    since: Moment,
    due: Moment,
    /// Whether the record is on the log. Such copies are removed in one pass.
    appended: bool,
}

/// Records held for peers, sorted by request.
#[derive(Clone, Debug)]
pub struct Held {
    policy: Policy,
    copies: Vec<Copy>,
    /// Number of copies that are not marked as appended.
    count: usize,
}

/// The holder has no room for another record.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("no room for another held record")]
pub struct Full;

impl Held {
    /// Creates an empty set of held records.
    pub fn new(policy: Policy) -> Self {
        assert!(
            policy.replay_delay < policy.max_hold,
            "the replay delay is below the maximum holding time"
        );
        Self {
            policy,
            copies: Vec::new(),
            count: 0,
        }
    }

    /// Returns the number of held records.
    pub fn len(&self) -> usize {
        self.count
    }

    /// Returns whether no record is held.
    pub fn is_empty(&self) -> bool {
        self.count == 0
    }

    /// Returns whether the record of a request is held.
    pub fn contains(&self, request: request::Id) -> bool {
        let found = self.find(request);
        found.is_ok_and(|index| !self.copies[index].appended)
    }

    fn find(&self, request: request::Id) -> Result<usize, usize> {
        self.copies
            .binary_search_by_key(&request, |copy| copy.record.request)
    }

    /// Holds a record for its owner. If the record is held already, only the owner changes: an
    /// instance that adopts the record of one that is gone asks its peers to hold it again.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no room.
    pub fn hold(&mut self, record: Record, owner: name::Instance, now: Moment) -> Result<(), Full> {
        let index = match self.find(record.request) {
            Ok(index) => {
                // A hold message that arrives after the drop message doesn't restore the record
                // either.
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
            due: now + self.policy.replay_delay,
            appended: false,
        };
        self.count += 1;
        self.copies.insert(index, copy);
        Ok(())
    }

    /// Drops a record that is on the log, as reported by its owner or by the log.
    pub fn mark_appended(&mut self, request: request::Id) {
        let Ok(index) = self.find(request) else {
            return;
        };
        let copy = &mut self.copies[index];
        if !copy.appended {
            copy.appended = true;
            self.count -= 1;
        }
    }

    /// Removes the copies that were dropped. It does so in one pass, because each single removal
    /// would shift all later copies.
    fn remove_appended(&mut self) {
        self.copies.retain(|copy| !copy.appended);
        debug_assert_eq!(
            self.copies.len(),
            self.count,
            "the count matches the copies"
        );
    }

    /// Removes and returns the records of an owner that is gone, for the holder to append and have
    /// held as its own.
    pub fn adopt(&mut self, owner: &name::Instance) -> Vec<Record> {
        self.remove_appended();
        let adopted = self.copies.extract_if(.., |copy| copy.owner == *owner);
        let adopted: Vec<Record> = adopted.map(|copy| copy.record).collect();
        self.count -= adopted.len();
        adopted
    }

    /// Makes all records of an owner due now, because the owner will not append them.
    pub fn orphan(&mut self, owner: &name::Instance, now: Moment) {
        for copy in &mut self.copies {
            if copy.owner == *owner {
                copy.due = copy.due.min(now);
            }
        }
    }

    /// Returns at most `limit` records that are due to be appended. Each is due again after the
    /// replay delay, until [`mark_appended`](Self::mark_appended) is called for it.
    pub fn replay(&mut self, now: Moment, limit: usize) -> Vec<Record> {
        self.remove_appended();
        let mut due = Vec::new();
        for copy in &mut self.copies {
            if due.len() == limit {
                break;
            }
            if copy.due > now {
                continue;
            }
            copy.due = now + self.policy.replay_delay;
            due.push(copy.record.clone());
        }
        due
    }

    /// Removes and returns the records that were held too long to be counted, so that they can be
    /// reported.
    pub fn expire(&mut self, now: Moment) -> Vec<Record> {
        let max_hold = self.policy.max_hold;
        let expired = self
            .copies
            .extract_if(.., |copy| now.since(copy.since) > max_hold);
        expired.map(|copy| copy.record).collect()
    }
}
