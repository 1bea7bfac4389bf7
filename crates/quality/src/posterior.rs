//! The posterior of a version's mean rating, discounted so that it notices change.
//!
//! Ratings are discounted by count and by age, as in discounted UCB (Garivier and Moulines, "On
//! upper-confidence bound policies for switching bandit problems", ALT 2011). The bounds are those
//! of a normal posterior with the empirical variance, regularised by a few prior ratings (the
//! variance term follows UCB-V: Audibert, Munos and Szepesvari, 2009).

use entity::{Moment, Span};

/// Ratings that a posterior remembers in effect, under steady ratings.
pub const MEMORY_RATINGS: f64 = 400.0;

/// Time in which a rating loses half of its weight.
pub const HALF_LIFE: Span = Span::from_secs(1800);

/// Ratings that age alone doesn't discount further: the last known is not forgotten.
const FLOOR_RATINGS: f64 = 8.0;

/// Weight of the prior, in ratings.
const PRIOR_RATINGS: f64 = 2.0;

/// Mean of the prior, which is uniform on 0 to 1.
const PRIOR_MEAN: f64 = 0.5;

/// Mean square of the prior.
const PRIOR_SQUARE: f64 = 1.0 / 3.0;

/// Standard deviations between the mean and a bound: 95 % on one side.
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
    /// The posterior of ratings with these sums, none of them discounted yet.
    pub fn of(count: f64, sum: f64, squares: f64, at: Moment) -> Self {
        Self {
            count,
            sum,
            squares,
            at,
        }
    }

    /// Adds a rating from 0 to 1 with a weight from 0 to 1.
    pub fn add(&mut self, score: f64, weight: f64, at: Moment) {
        assert!((0.0..=1.0).contains(&score), "a score is from 0 to 1");
        assert!((0.0..=1.0).contains(&weight), "a weight is from 0 to 1");
        let kept = self.kept(at) * (1.0 - weight / MEMORY_RATINGS);
        self.count = self.count * kept + weight;
        self.sum = self.sum * kept + weight * score;
        self.squares = self.squares * kept + weight * score * score;
        self.at = self.at.max(at);
        debug_assert!(self.squares <= self.sum + 1e-9 && self.sum <= self.count + 1e-9);
    }

    /// Adds so many ratings with these sums of scores and of their squares.
    pub fn add_sums(&mut self, ratings: f64, scores: f64, squares: f64, at: Moment) {
        debug_assert!(squares <= scores + 1e-6 && scores <= ratings + 1e-6);
        let kept = self.kept(at) * memory(ratings);
        // The ratings of a batch discount each other as well.
        let weight = batch_weight(ratings);
        self.count = self.count * kept + ratings * weight;
        self.sum = self.sum * kept + scores * weight;
        self.squares = self.squares * kept + squares * weight;
        self.at = self.at.max(at);
    }

    /// Ratings that still count at a moment.
    pub fn count(&self, now: Moment) -> f64 {
        self.count * self.kept(now)
    }

    /// The mean rating, from 0 to 1, with the prior's part.
    pub fn mean(&self, now: Moment) -> f64 {
        let kept = self.kept(now);
        (self.sum * kept + PRIOR_RATINGS * PRIOR_MEAN) / (self.count * kept + PRIOR_RATINGS)
    }

    /// The variance of a rating, with the prior's part.
    pub fn variance(&self, now: Moment) -> f64 {
        let kept = self.kept(now);
        let count = self.count * kept + PRIOR_RATINGS;
        let square = (self.squares * kept + PRIOR_RATINGS * PRIOR_SQUARE) / count;
        let mean = self.mean(now);
        (square - mean * mean).max(0.0)
    }

    /// The standard error of the mean, which grows while no ratings arrive.
    pub fn error(&self, now: Moment) -> f64 {
        (self.variance(now) / (self.count(now) + PRIOR_RATINGS)).sqrt()
    }

    /// The mean rating is above this with a probability of 95 %.
    pub fn lower(&self, now: Moment) -> f64 {
        (self.mean(now) - BOUND_DEVIATIONS * self.error(now)).max(0.0)
    }

    /// The mean rating is below this with a probability of 95 %.
    pub fn upper(&self, now: Moment) -> f64 {
        (self.mean(now) + BOUND_DEVIATIONS * self.error(now)).min(1.0)
    }

    /// The part of each rating's weight that is left at a moment.
    fn kept(&self, now: Moment) -> f64 {
        let halves = now.since(self.at).as_secs_f64() / HALF_LIFE.as_secs_f64();
        let floor = (FLOOR_RATINGS / self.count.max(FLOOR_RATINGS)).min(1.0);
        (-halves).exp2().max(floor)
    }
}

/// The part of earlier weight that is left after so many ratings.
pub(crate) fn memory(ratings: f64) -> f64 {
    (1.0 - 1.0 / MEMORY_RATINGS).powf(ratings)
}

/// The mean weight that the ratings of a batch have left at its end.
pub(crate) fn batch_weight(ratings: f64) -> f64 {
    if ratings <= 0.0 {
        return 1.0;
    }
    (1.0 - memory(ratings)) * MEMORY_RATINGS / ratings
}
