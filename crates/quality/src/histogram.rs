//! A discounted histogram of ratings, from which a cascade's threshold is worked out.

use crate::posterior::MEMORY_RATINGS;

/// Bins of equal width from 0 to 1.
pub const BINS: usize = 20;

/// Discounted weights of ratings by their score.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Histogram {
    weights: [f64; BINS],
}

impl Histogram {
    /// Adds a score from 0 to 1 with a weight from 0 to 1.
    pub fn add(&mut self, score: f64, weight: f64) {
        let bin = ((score * BINS as f64) as usize).min(BINS - 1);
        for kept in &mut self.weights {
            *kept *= 1.0 - weight / MEMORY_RATINGS;
        }
        self.weights[bin] += weight;
    }

    /// The weight of all ratings.
    pub fn total(&self) -> f64 {
        self.weights.iter().sum()
    }

    /// The part of ratings below the lower edge of a bin, and the mean of the others.
    pub fn split(&self, bin: usize) -> Split {
        let below: f64 = self.weights[..bin].iter().sum();
        let mut sum = 0.0;
        for (index, weight) in self.weights.iter().enumerate().skip(bin) {
            sum += weight * (index as f64 + 0.5) / BINS as f64;
        }
        let above = self.total() - below;
        Split {
            threshold: bin as f64 / BINS as f64,
            below: below / self.total().max(f64::MIN_POSITIVE),
            kept: if above > 0.0 { sum / above } else { 0.0 },
        }
    }
}

/// What happens where answers with a score below a threshold are escalated.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Split {
    /// Answers with a score below this, from 0 to 1, are escalated.
    pub threshold: f64,
    /// The fraction that is escalated.
    pub below: f64,
    /// The mean score of the answers that are kept.
    pub kept: f64,
}
