//! A discounted histogram of ratings, from which a cascade's threshold is worked out.

use crate::posterior::{MEMORY_RATINGS, batch_weight, memory};

/// Bins from 0 to 1. Their middles are the multiples of 0.05, so that scores in such steps, which
/// rating services often give, keep their value.
pub const BINS: usize = STEPS + 1;

/// Distances between the middles of bins from 0 to 1.
const STEPS: usize = 20;

/// Discounted weights of ratings by their score.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Histogram {
    weights: [f64; BINS],
}

impl Histogram {
    /// Adds a score from 0 to 1 with a weight from 0 to 1.
    pub fn add(&mut self, score: f64, weight: f64) {
        let bin = bin(score);
        for kept in &mut self.weights {
            *kept *= 1.0 - weight / MEMORY_RATINGS;
        }
        self.weights[bin] += weight;
    }

    /// Adds so many scores in each bin.
    pub fn add_counts(&mut self, counts: &[u32; BINS]) {
        let ratings: u32 = counts.iter().sum();
        let kept = memory(f64::from(ratings));
        let weight = batch_weight(f64::from(ratings));
        for (bin, count) in self.weights.iter_mut().zip(counts) {
            *bin = *bin * kept + f64::from(*count) * weight;
        }
    }

    /// The weight of all ratings.
    pub fn total(&self) -> f64 {
        self.weights.iter().sum()
    }

    /// What happens if answers below the lower edge of a bin are escalated.
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

/// The bin of a score from 0 to 1.
pub fn bin(score: f64) -> usize {
    ((score * STEPS as f64).round() as usize).min(STEPS)
}

/// What happens where answers with a score below a threshold are escalated.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Split {
    /// Answers with a score below this, from 0 to 1, are escalated.
    pub threshold: f64,
    /// The fraction that is escalated.
    pub below: f64,
    /// Sum of the scores that are kept, for each answer, kept or not.
    pub sum: f64,
    /// Sum of the squares of the scores that are kept, for each answer, kept or not.
    pub squares: f64,
}
