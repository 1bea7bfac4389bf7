//! Totals of each organisation, folded from the usage stream.
//!
//! Duplicates of a record are counted once. A record that is appended later than [`Horizon`] allows
//! is not counted at all, because the id of its first copy may have been evicted.

use crate::usage::{Entry, Interval, Record};
use entity::unit::{Cost, Tokens};
use entity::{Offset, Span, name, request};
use serde::{Deserialize, Serialize};

/// Period after the time in its id during which a record can be appended and still be counted.
///
/// It exceeds the time for which instances hold and replay records by the clock skew between
/// instances and the log, and by the longest delay of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Horizon(pub Span);

impl Horizon {
    fn covers(self, id: request::Id, clock_ms: u64) -> bool {
        let span = self.0.as_micros() / 1000;
        clock_ms <= id.millis().saturating_add(span)
    }
}

/// Totals of one organisation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// Organisation that the totals belong to.
    pub organisation: name::Organisation,
    /// Number of requests answered.
    pub requests: u64,
    /// Number of prompt tokens.
    pub tokens_in: Tokens,
    /// Number of generated tokens.
    pub tokens_out: Tokens,
    /// Cost of all requests.
    pub cost: Cost,
    /// Number of requests that ran on capacity reserved by other organisations.
    pub borrowed: u64,
    /// Number of requests of other organisations that ran on capacity reserved by this one.
    pub lent: u64,
    /// Reserved capacity that the organisation used itself, in slot milliseconds.
    pub used_ms: u64,
    /// Reserved capacity that was lent, in slot milliseconds.
    pub lent_ms: u64,
    /// Reserved capacity that stayed idle because it was reserved, in slot milliseconds.
    pub idle_ms: u64,
}

impl Account {
    fn new(organisation: name::Organisation) -> Self {
        Self {
            organisation,
            requests: 0,
            tokens_in: Tokens(0),
            tokens_out: Tokens(0),
            cost: Cost(0),
            borrowed: 0,
            lent: 0,
            used_ms: 0,
            lent_ms: 0,
            idle_ms: 0,
        }
    }
}

/// Totals after a prefix of the stream. They are deterministic: every reader of the prefix computes
/// the same.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Checkpoint {
    /// Offset of the last record that is counted.
    pub through: Offset,
    /// Largest log time up to that record, in milliseconds since the Unix epoch.
    pub clock_ms: u64,
    /// Totals, sorted by organisation.
    pub accounts: Vec<Account>,
    /// Number of entries that arrived after their horizon and are not counted.
    pub late: u64,
    /// Number of entries of other releases, which are not counted: a newer release has to bill
    /// them.
    #[serde(default)]
    pub foreign: u64,
}

/// Effect of an entry on the totals.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// The entry was counted.
    Counted,
    /// The entry was a duplicate.
    Duplicate,
    /// The entry arrived after its horizon.
    Late,
    /// The entry is counted in the checkpoint already.
    Covered,
    /// The entry was written by another release and can't be read.
    Foreign,
}

/// Fold of the usage stream into totals.
#[derive(Clone, Debug)]
pub struct Ledger {
    horizon: Horizon,
    checkpoint: Checkpoint,
    first_offset: Offset,
    next: Offset,
    /// Log time of the first record that was read.
    first_time_ms: Option<u64>,
    clock_ms: u64,
    /// Ids within the horizon, sorted.
    recent: Vec<request::Id>,
}

impl Ledger {
    /// Creates a ledger that continues from a checkpoint, which may be empty, and reads from
    /// `first`.
    ///
    /// To drop duplicates of what the checkpoint counts, it has to start reading one horizon before
    /// the checkpoint's end.
    pub fn open(horizon: Horizon, checkpoint: Checkpoint, first: Offset) -> Self {
        Self {
            horizon,
            checkpoint,
            first_offset: first,
            next: first,
            first_time_ms: None,
            clock_ms: 0,
            recent: Vec::new(),
        }
    }

    /// Returns the offset of the next record to apply.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Applies the batch of one log record, with the log's time of the append.
    ///
    /// # Panics
    ///
    /// Panics if a record is skipped or applied twice.
    pub fn apply(&mut self, offset: Offset, time_ms: u64, batch: &[Entry]) -> Vec<Effect> {
        assert_eq!(offset, self.next, "records are applied without gaps");
        self.next = offset.next();
        self.first_time_ms.get_or_insert(time_ms);
        self.clock_ms = self.clock_ms.max(time_ms);
        let effects = batch
            .iter()
            .map(|entry| self.apply_entry(offset, entry))
            .collect();
        if offset > self.checkpoint.through {
            self.checkpoint.through = offset;
            self.checkpoint.clock_ms = self.checkpoint.clock_ms.max(self.clock_ms);
        }
        self.evict_expired();
        effects
    }

    fn apply_entry(&mut self, offset: Offset, entry: &Entry) -> Effect {
        let is_new = offset > self.checkpoint.through;
        let Some(id) = entry.id() else {
            self.checkpoint.foreign += u64::from(is_new);
            return Effect::Foreign;
        };
        if !self.horizon.covers(id, self.clock_ms) {
            self.checkpoint.late += u64::from(is_new);
            return Effect::Late;
        }
        let Err(index) = self.recent.binary_search(&id) else {
            return Effect::Duplicate;
        };
        self.recent.insert(index, id);
        if !is_new {
            return Effect::Covered;
        }
        match entry {
            Entry::Request(record) => self.add_request(record),
            Entry::Reserve(interval) => self.add_interval(interval),
            Entry::Foreign => unreachable!("an entry with an id is of this release"),
        }
        Effect::Counted
    }

    fn add_request(&mut self, record: &Record) {
        let (tokens_in, tokens_out) = record.tokens();
        let account = self.account(&record.organisation);
        account.requests += 1;
        account.tokens_in += tokens_in;
        account.tokens_out += tokens_out;
        account.cost += record.cost();
        let Some(lender) = &record.lender else {
            return;
        };
        account.borrowed += 1;
        self.account(lender).lent += 1;
    }

    fn add_interval(&mut self, interval: &Interval) {
        let account = self.account(&interval.organisation);
        account.used_ms += interval.used_ms;
        account.lent_ms += interval.lent_ms;
        account.idle_ms += interval.idle_ms;
    }

    fn account(&mut self, organisation: &name::Organisation) -> &mut Account {
        let accounts = &mut self.checkpoint.accounts;
        let found = accounts.binary_search_by(|account| account.organisation.cmp(organisation));
        let index = found.unwrap_or_else(|index| {
            accounts.insert(index, Account::new(organisation.clone()));
            index
        });
        &mut accounts[index]
    }

    /// Evicts the ids past their horizon. Any further copy of them is late.
    fn evict_expired(&mut self) {
        let (horizon, clock_ms) = (self.horizon, self.clock_ms);
        // Ids sort by their time, so the expired ones come first.
        let expired = self
            .recent
            .partition_point(|id| !horizon.covers(*id, clock_ms));
        self.recent.drain(..expired);
    }

    /// Returns the totals of the records applied so far.
    pub fn checkpoint(&self) -> &Checkpoint {
        &self.checkpoint
    }

    /// Returns the number of ids kept to detect duplicates.
    pub fn recent_count(&self) -> usize {
        self.recent.len()
    }

    /// Returns whether no duplicate of an entry that `checkpoint` counts can be counted again. This
    /// holds if the ledger started to read at least the horizon plus the clock skew before the
    /// checkpoint's end.
    pub fn is_exact(&self, checkpoint: &Checkpoint, skew: Span) -> bool {
        if self.first_offset <= Offset(1) || checkpoint.through == Offset(0) {
            return true;
        }
        let lead_ms = (self.horizon.0.as_micros() + skew.as_micros()) / 1000;
        self.first_time_ms
            .is_some_and(|first_time_ms| first_time_ms + lead_ms <= checkpoint.clock_ms)
    }
}
