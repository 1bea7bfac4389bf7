//! Posterior distribution of a version's mean rating, discounted so that it follows changes.
//!
//! Ratings are discounted by count and by age, as in discounted UCB (Garivier and Moulines, "On
//! upper-confidence bound policies for switching bandit problems", ALT 2011). The bounds are those
//! of a normal posterior with the empirical variance, regularised by a few prior ratings (the
//! variance term follows UCB-V: Audibert, Munos and Szepesvari, 2009).

use entity::{Moment, Span};

/// Effective number of ratings that a posterior retains under a steady flow of ratings.
pub const MEMORY_RATINGS: f64 = 400.0;

/// Time in which the weight of a rating halves.
pub const RATING_HALF_LIFE: Span = Span::from_secs(1800);

/// Effective number of ratings below which age alone does not reduce the weight further, so that
/// the last known estimate is kept.
const MIN_RETAINED_RATINGS: f64 = 8.0;

/// Weight of the prior, in ratings.
const PRIOR_RATINGS: f64 = 2.0;

/// Mean of the prior, which is uniform on 0 to 1.
const PRIOR_MEAN: f64 = 0.5;

/// Mean square of the prior.
const PRIOR_SQUARE: f64 = 1.0 / 3.0;

/// Number of standard errors between the mean and a bound: 95 % one-sided.
pub(crate) const BOUND_DEVIATIONS: f64 = 1.645;

/// The discounted ratings of one version for one service.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Posterior {
    count: f64,
    sum: f64,
    squares: f64,
    at: Moment,
}

impl Posterior {
    /// Returns the posterior of ratings with these sums, none of them discounted yet.
    pub fn from_sums(count: f64, sum: f64, squares: f64, at: Moment) -> Self {
        Self {
            count,
            sum,
            squares,
            at,
        }
    }

    /// Adds a rating from 0 to 1 with a weight from 0 to 1.
    pub fn add(&mut self, score: f64, weight: f64, at: Moment) {
        assert!(
            (0.0..=1.0).contains(&score),
            "score must be between 0 and 1"
        );
        assert!(
            (0.0..=1.0).contains(&weight),
            "weight must be between 0 and 1"
        );
        let retained = self.retained(at) * (1.0 - weight / MEMORY_RATINGS);
        self.count = self.count * retained + weight;
        self.sum = self.sum * retained + weight * score;
        self.squares = self.squares * retained + weight * score * score;
        self.at = self.at.max(at);
        debug_assert!(self.squares <= self.sum + 1e-9 && self.sum <= self.count + 1e-9);
    }

    /// Adds a batch of ratings, given by their number and the sums of the scores and of their
    /// squares.
    pub fn add_sums(&mut self, ratings: f64, scores: f64, squares: f64, at: Moment) {
        debug_assert!(squares <= scores + 1e-6 && scores <= ratings + 1e-6);
        let retained = self.retained(at) * retained_weight(ratings);
        // The ratings of a batch also discount each other.
        let weight = batch_weight(ratings);
        self.count = self.count * retained + ratings * weight;
        self.sum = self.sum * retained + scores * weight;
        self.squares = self.squares * retained + squares * weight;
        self.at = self.at.max(at);
    }

    /// Returns the discounted number of ratings at a given time.
    pub fn count(&self, now: Moment) -> f64 {
        self.count * self.retained(now)
    }

    /// Returns the mean rating, from 0 to 1, including the prior.
    pub fn mean(&self, now: Moment) -> f64 {
        let retained = self.retained(now);
        (self.sum * retained + PRIOR_RATINGS * PRIOR_MEAN) / (self.count * retained + PRIOR_RATINGS)
    }

    /// Returns the variance of a rating, including the prior.
    pub fn variance(&self, now: Moment) -> f64 {
        let retained = self.retained(now);
        let count = self.count * retained + PRIOR_RATINGS;
        let square = (self.squares * retained + PRIOR_RATINGS * PRIOR_SQUARE) / count;
        let mean = self.mean(now);
        (square - mean * mean).max(0.0)
    }

    /// Returns the standard error of the mean. It grows while no ratings arrive.
    pub fn error(&self, now: Moment) -> f64 {
        (self.variance(now) / (self.count(now) + PRIOR_RATINGS)).sqrt()
    }

    /// Returns the bound that the mean rating exceeds with a probability of 95 %.
    pub fn lower(&self, now: Moment) -> f64 {
        (self.mean(now) - BOUND_DEVIATIONS * self.error(now)).max(0.0)
    }

    /// Returns the bound that the mean rating stays below with a probability of 95 %.
    pub fn upper(&self, now: Moment) -> f64 {
        (self.mean(now) + BOUND_DEVIATIONS * self.error(now)).min(1.0)
    }

    /// Returns the fraction of each rating's weight that is left at a given time.
    fn retained(&self, now: Moment) -> f64 {
        let halves = now.since(self.at).as_secs_f64() / RATING_HALF_LIFE.as_secs_f64();
        let floor = (MIN_RETAINED_RATINGS / self.count.max(MIN_RETAINED_RATINGS)).min(1.0);
        (-halves).exp2().max(floor)
    }
}

/// Returns the fraction of the earlier weight that is left after a number of further ratings.
pub(crate) fn retained_weight(ratings: f64) -> f64 {
    (1.0 - 1.0 / MEMORY_RATINGS).powf(ratings)
}

/// Returns the mean weight of a batch's ratings at the end of the batch.
pub(crate) fn batch_weight(ratings: f64) -> f64 {
    if ratings <= 0.0 {
        return 1.0;
    }
    (1.0 - retained_weight(ratings)) * MEMORY_RATINGS / ratings
}
