//! Exponential backoff with jitter between tries.

use entity::Span;
use rand::RngExt;
use std::time::Duration;

/// Backoff whose delay doubles from `min` to `max` with each failure. Each delay is drawn from the
/// upper half of its range, so that instances which failed together don't retry together, and no
/// retry is immediate.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    min: Duration,
    max: Duration,
    failures: u32,
}

/// Number of doublings after which the delay is certain to have reached its maximum.
const MAX_DOUBLINGS: u32 = 16;

impl Backoff {
    /// Creates a backoff with delays from `min` to `max`.
    pub fn new(min: Span, max: Span) -> Self {
        assert!(
            Span::ZERO < min && min <= max,
            "a backoff delay is positive and at most the maximum"
        );
        Self {
            min: min.duration(),
            max: max.duration(),
            failures: 0,
        }
    }

    /// Records a failure and returns the delay before the next try.
    pub fn next_delay(&mut self) -> Duration {
        let doublings = self.failures.min(MAX_DOUBLINGS);
        self.failures = self.failures.saturating_add(1);
        let delay = self.min.saturating_mul(1 << doublings).min(self.max);
        delay.mul_f64(rand::rng().random_range(0.5..=1.0))
    }

    /// Resets the delay to its minimum.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Returns the number of failures since the last reset.
    pub fn failures(&self) -> u32 {
        self.failures
    }
}
