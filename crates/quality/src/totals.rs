//! Totals of one instance's ratings, which instances exchange.
//!
//! Totals only grow during an incarnation of an instance. A receiver adds the difference from the
//! totals that it received before, so lost, duplicated and reordered updates are harmless.

use crate::histogram::{BINS, bin};
use crate::record::Record;
use entity::{Moment, name};
use serde::{Deserialize, Serialize};

/// Maximum number of ratings that the first update from a source counts for. The remaining ratings
/// may be long out of date.
const MAX_FIRST_RATINGS: u32 = 50;

/// Totals of the ratings of one version's first answers for one service.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Totals {
    /// Number of ratings.
    pub ratings: u32,
    /// Sum of the scores.
    pub scores: f64,
    /// Sum of the squares of the scores.
    pub squares: f64,
    /// Number of ratings in each bin of the histogram.
    pub counts: [u32; BINS],
}

/// Totals as one instance sends them to its peers.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TotalsUpdate {
    /// The rated service.
    pub service: name::Service,
    /// The rated version.
    pub version: name::Version,
    /// Name of the sending instance, distinct for each of its incarnations.
    pub source: Box<str>,
    /// Totals of all ratings that the source has received so far.
    pub totals: Totals,
}

impl Totals {
    /// Adds a rating from 0 to 1.
    pub fn add(&mut self, score: f64) {
        self.ratings += 1;
        self.scores += score;
        self.squares += score * score;
        self.counts[bin(score)] += 1;
    }

    /// Returns whether the numbers are consistent with each other.
    fn is_valid(&self) -> bool {
        let ratings = f64::from(self.ratings);
        let counts: u64 = self.counts.iter().map(|count| u64::from(*count)).sum();
        counts == u64::from(self.ratings)
            && (0.0..=ratings + 1e-6).contains(&self.scores)
            && (0.0..=self.scores + 1e-6).contains(&self.squares)
    }

    /// Returns the difference from earlier totals of the same source. Returns `None` if there are
    /// no new ratings, or if `self` does not extend `earlier`.
    fn since(&self, earlier: &Self) -> Option<Self> {
        if self.ratings <= earlier.ratings {
            return None;
        }
        let mut counts = [0; BINS];
        for (index, count) in counts.iter_mut().enumerate() {
            *count = self.counts[index].checked_sub(earlier.counts[index])?;
        }
        let new = Self {
            ratings: self.ratings - earlier.ratings,
            scores: self.scores - earlier.scores,
            squares: self.squares - earlier.squares,
            counts,
        };
        new.is_valid().then_some(new)
    }
}

/// Totals last received from a source for one version and service.
#[derive(Clone, Debug)]
struct Entry {
    source: Box<str>,
    service: name::Service,
    version: name::Version,
    totals: Totals,
}

/// Totals last received from each source.
#[derive(Clone, Debug, Default)]
pub(crate) struct ReceivedTotals {
    /// Sorted by source, service and version.
    entries: Vec<Entry>,
}

impl ReceivedTotals {
    /// Adds the new ratings of an update to a record. Returns whether there were any.
    pub(crate) fn receive(
        &mut self,
        update: &TotalsUpdate,
        record: &mut Record,
        at: Moment,
    ) -> bool {
        if !update.totals.is_valid() {
            return false;
        }
        let key = (&update.source, &update.service, &update.version);
        let found = self
            .entries
            .binary_search_by(|entry| (&entry.source, &entry.service, &entry.version).cmp(&key));
        let Ok(index) = found else {
            return self.receive_first(found.unwrap_or_else(|index| index), update, record, at);
        };
        let entry = &mut self.entries[index];
        let Some(new) = update.totals.since(&entry.totals) else {
            return false;
        };
        entry.totals = update.totals.clone();
        let ratings = f64::from(new.ratings);
        record
            .posterior
            .add_sums(ratings, new.scores, new.squares, at);
        record.histogram.add_counts(&new.counts);
        true
    }

    fn receive_first(
        &mut self,
        index: usize,
        update: &TotalsUpdate,
        record: &mut Record,
        at: Moment,
    ) -> bool {
        let totals = &update.totals;
        if totals.ratings == 0 {
            return false;
        }
        let entry = Entry {
            source: update.source.clone(),
            service: update.service.clone(),
            version: update.version.clone(),
            totals: totals.clone(),
        };
        self.entries.insert(index, entry);
        if totals.ratings <= MAX_FIRST_RATINGS {
            record.add(totals, at);
            return true;
        }
        let ratings = f64::from(MAX_FIRST_RATINGS);
        let part = ratings / f64::from(totals.ratings);
        let (scores, squares) = (totals.scores * part, totals.squares * part);
        record.posterior.add_sums(ratings, scores, squares, at);
        true
    }
}
