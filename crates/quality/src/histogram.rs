//! A discounted histogram of ratings, from which the threshold of a cascade is computed.

use crate::posterior::{MEMORY_RATINGS, batch_weight, retained_weight};

/// Number of bins from 0 to 1. Their centres are the multiples of 0.05, so that scores in steps of
/// 0.05, as rating services often give them, are represented exactly.
pub const BINS: usize = STEPS + 1;

/// Number of intervals between the centres of neighbouring bins from 0 to 1.
const STEPS: usize = 20;

/// Discounted weights of ratings, by score.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Histogram {
    weights: [f64; BINS],
}

impl Histogram {
    /// Adds a score from 0 to 1 with a weight from 0 to 1.
    pub fn add(&mut self, score: f64, weight: f64) {
        let bin = bin(score);
        for retained in &mut self.weights {
            *retained *= 1.0 - weight / MEMORY_RATINGS;
        }
        self.weights[bin] += weight;
    }

    /// Adds `counts[bin]` scores to each bin, as one batch.
    pub fn add_counts(&mut self, counts: &[u32; BINS]) {
        let ratings: u32 = counts.iter().sum();
        let retained = retained_weight(f64::from(ratings));
        let weight = batch_weight(f64::from(ratings));
        for (bin, count) in self.weights.iter_mut().zip(counts) {
            *bin = *bin * retained + f64::from(*count) * weight;
        }
    }

    /// Returns the total weight of all ratings.
    pub fn total(&self) -> f64 {
        self.weights.iter().sum()
    }

    /// Returns the effect of escalating the answers below the lower edge of a bin.
    pub fn split(&self, bin: usize) -> Split {
        let total = self.total().max(f64::MIN_POSITIVE);
        let below: f64 = self.weights[..bin].iter().sum();
        let mut sum = 0.0;
        let mut squares = 0.0;
        for (index, weight) in self.weights.iter().enumerate().skip(bin) {
            let score = index as f64 / STEPS as f64;
            sum += weight * score;
            squares += weight * score * score;
        }
        Split {
            threshold: ((bin as f64 - 0.5) / STEPS as f64).max(0.0),
            below: below / total,
            sum: sum / total,
            squares: squares / total,
        }
    }
}

/// Returns the bin of a score from 0 to 1.
pub fn bin(score: f64) -> usize {
    ((score * STEPS as f64).round() as usize).min(STEPS)
}

/// The effect of escalating answers with a score below a threshold.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Split {
    /// Score from 0 to 1 below which answers are escalated.
    pub threshold: f64,
    /// Fraction of the answers that is escalated.
    pub below: f64,
    /// Sum of the scores that are not escalated, divided by the number of all answers.
    pub sum: f64,
    /// Sum of the squares of the scores that are not escalated, divided by the number of all
    /// answers.
    pub squares: f64,
}
