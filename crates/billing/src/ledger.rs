//! Totals of each organisation, as a function of the records read.
//!
//! Copies of a record are counted once. A record that is appended later than [`Horizon`] allows
//! is not counted at all: its first copy may already have been forgotten.

use crate::usage::{Entry, Interval, Record};
use entity::unit::{Cost, Tokens};
use entity::{Offset, Span, name, request};
use serde::{Deserialize, Serialize};

/// How long after the time in its id a record may be appended and still be counted.
///
/// It exceeds the time for which instances replay what they hold, by the skew of their clocks
/// against the log's and the longest delay of an append.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Horizon(pub Span);

impl Horizon {
    fn covers(self, id: request::Id, clock_ms: u64) -> bool {
        let span = self.0.as_micros() / 1000;
        clock_ms <= id.millis().saturating_add(span)
    }
}

/// The totals of one organisation.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// Whose totals these are.
    pub organisation: name::Organisation,
    /// Requests answered.
    pub requests: u64,
    /// Tokens of prompt.
    pub tokens_in: Tokens,
    /// Generated tokens.
    pub tokens_out: Tokens,
    /// What its requests cost.
    pub cost: Cost,
    /// Requests that ran on capacity that others had reserved.
    pub borrowed: u64,
    /// Requests of others that ran on capacity that it had reserved.
    pub lent: u64,
    /// Reserved capacity that it used, in slot milliseconds.
    pub used_ms: u64,
    /// Reserved capacity that was lent, in slot milliseconds.
    pub lent_ms: u64,
    /// Reserved capacity that stood idle because it had asked for it, in slot milliseconds.
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

/// The totals after a prefix of the stream: a fact, which is the same whoever computes it.
#[derive(Clone, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Checkpoint {
    /// The last record that is counted.
    pub through: Offset,
    /// The log's largest time up to there, in milliseconds since the Unix epoch.
    pub clock_ms: u64,
    /// The totals, by organisation.
    pub accounts: Vec<Account>,
    /// Entries that came after their horizon and are in no total.
    pub late: u64,
    /// Entries of other releases, which are in no total: a newer release has to bill them.
    #[serde(default)]
    pub foreign: u64,
}

/// What an entry did to the totals.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Effect {
    /// It was counted.
    Counted,
    /// It was a copy.
    Duplicate,
    /// It came after its horizon.
    Late,
    /// The checkpoint counts it already.
    Covered,
    /// It is of another release.
    Foreign,
}

/// A fold of the usage stream.
#[derive(Clone, Debug)]
pub struct Ledger {
    horizon: Horizon,
    checkpoint: Checkpoint,
    from: Offset,
    next: Offset,
    /// Time of the first record read.
    since_ms: Option<u64>,
    clock_ms: u64,
    /// Sorted ids that are within the horizon.
    recent: Vec<request::Id>,
}

impl Ledger {
    /// A ledger that continues from a checkpoint, or from an empty one, and reads from `first`.
    ///
    /// To drop copies of what the checkpoint counts, it has to read from a horizon before it.
    pub fn open(horizon: Horizon, checkpoint: Checkpoint, first: Offset) -> Self {
        Self {
            horizon,
            checkpoint,
            from: first,
            next: first,
            since_ms: None,
            clock_ms: 0,
            recent: Vec::new(),
        }
    }

    /// The offset of the record to read next.
    pub fn next(&self) -> Offset {
        self.next
    }

    /// Applies the batch of one log record, with the log's time of its append.
    ///
    /// # Panics
    ///
    /// If a record was skipped or is applied twice.
    pub fn apply(&mut self, offset: Offset, time_ms: u64, batch: &[Entry]) -> Vec<Effect> {
        assert_eq!(offset, self.next, "records are applied without gaps");
        self.next = offset.next();
        self.since_ms.get_or_insert(time_ms);
        self.clock_ms = self.clock_ms.max(time_ms);
        let effects = batch.iter().map(|entry| self.step(offset, entry)).collect();
        if offset > self.checkpoint.through {
            self.checkpoint.through = offset;
            self.checkpoint.clock_ms = self.checkpoint.clock_ms.max(self.clock_ms);
        }
        self.forget();
        effects
    }

    fn step(&mut self, offset: Offset, entry: &Entry) -> Effect {
        let fresh = offset > self.checkpoint.through;
        let Some(id) = entry.id() else {
            self.checkpoint.foreign += u64::from(fresh);
            return Effect::Foreign;
        };
        if !self.horizon.covers(id, self.clock_ms) {
            self.checkpoint.late += u64::from(fresh);
            return Effect::Late;
        }
        let Err(index) = self.recent.binary_search(&id) else {
            return Effect::Duplicate;
        };
        self.recent.insert(index, id);
        if !fresh {
            return Effect::Covered;
        }
        match entry {
            Entry::Request(record) => self.count(record),
            Entry::Reserve(interval) => self.add(interval),
            Entry::Foreign => unreachable!("an entry with an id is of this release"),
        }
        Effect::Counted
    }

    fn count(&mut self, record: &Record) {
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

    fn add(&mut self, interval: &Interval) {
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

    /// Drops ids past their horizon: a further copy of them is late.
    fn forget(&mut self) {
        let (horizon, clock_ms) = (self.horizon, self.clock_ms);
        // Ids sort by their time, so those to drop come first.
        let expired = self
            .recent
            .partition_point(|id| !horizon.covers(*id, clock_ms));
        self.recent.drain(..expired);
    }

    /// The totals of what was read so far.
    pub fn checkpoint(&self) -> &Checkpoint {
        &self.checkpoint
    }

    /// How many ids are remembered to drop copies.
    pub fn remembered(&self) -> usize {
        self.recent.len()
    }

    /// Whether no copy of what a checkpoint `through` counts can be counted again, because the
    /// ledger read from a horizon, and the skew of clocks, before the checkpoint's end.
    pub fn is_exact(&self, checkpoint: &Checkpoint, skew: Span) -> bool {
        if self.from <= Offset(1) || checkpoint.through == Offset(0) {
            return true;
        }
        let lead_ms = (self.horizon.0.as_micros() + skew.as_micros()) / 1000;
        self.since_ms
            .is_some_and(|since_ms| since_ms + lead_ms <= checkpoint.clock_ms)
    }
}
