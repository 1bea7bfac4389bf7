//! Totals of one instance's ratings, which instances tell each other.
//!
//! Totals only grow during an instance's life. Whoever hears them adds what is new since the last
//! time, so that lost, repeated and overtaken tellings do no harm.

use crate::histogram::{BINS, bin};
use crate::record::Record;
use entity::{Moment, name};
use serde::{Deserialize, Serialize};

/// Most ratings that the first telling of a source counts for: the rest may be long past.
const FIRST_RATINGS: u32 = 50;

/// Totals over the ratings of one version's first answers for one service.
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

/// Totals as an instance tells them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Telling {
    /// The service.
    pub service: name::Service,
    /// The version.
    pub version: name::Version,
    /// The instance, distinct for each of its lives.
    pub source: Box<str>,
    /// All its ratings so far.
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

    /// Whether the numbers fit together.
    fn is_sound(&self) -> bool {
        let ratings = f64::from(self.ratings);
        let counts: u64 = self.counts.iter().map(|count| u64::from(*count)).sum();
        counts == u64::from(self.ratings)
            && (0.0..=ratings + 1e-6).contains(&self.scores)
            && (0.0..=self.scores + 1e-6).contains(&self.squares)
    }

    /// What is new since earlier totals of the same source; none if nothing is, or if these aren't
    /// later totals of the same life.
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
        new.is_sound().then_some(new)
    }
}

/// What was heard last of a source on one version for one service.
#[derive(Clone, Debug)]
struct Heard {
    source: Box<str>,
    service: name::Service,
    version: name::Version,
    totals: Totals,
}

/// What was heard last of each source.
#[derive(Clone, Debug, Default)]
pub(crate) struct Hearing {
    /// By source, service and version.
    heard: Vec<Heard>,
}

impl Hearing {
    /// Adds what is new in a telling to a record; returns whether anything was.
    pub(crate) fn hear(&mut self, telling: &Telling, record: &mut Record, at: Moment) -> bool {
        if !telling.totals.is_sound() {
            return false;
        }
        let key = (&telling.source, &telling.service, &telling.version);
        let found = self
            .heard
            .binary_search_by(|heard| (&heard.source, &heard.service, &heard.version).cmp(&key));
        let Ok(index) = found else {
            return self.hear_first(found.unwrap_or_else(|index| index), telling, record, at);
        };
        let heard = &mut self.heard[index];
        let Some(new) = telling.totals.since(&heard.totals) else {
            return false;
        };
        heard.totals = telling.totals.clone();
        let ratings = f64::from(new.ratings);
        record
            .posterior
            .add_sums(ratings, new.scores, new.squares, at);
        record.histogram.add_counts(&new.counts);
        true
    }

    fn hear_first(
        &mut self,
        index: usize,
        telling: &Telling,
        record: &mut Record,
        at: Moment,
    ) -> bool {
        let totals = &telling.totals;
        if totals.ratings == 0 {
            return false;
        }
        let heard = Heard {
            source: telling.source.clone(),
            service: telling.service.clone(),
            version: telling.version.clone(),
            totals: totals.clone(),
        };
        self.heard.insert(index, heard);
        if totals.ratings <= FIRST_RATINGS {
            record.add(totals, at);
            return true;
        }
        let ratings = f64::from(FIRST_RATINGS);
        let part = ratings / f64::from(totals.ratings);
        let (scores, squares) = (totals.scores * part, totals.squares * part);
        record.posterior.add_sums(ratings, scores, squares, at);
        true
    }
}
