//! Exponential delays with full jitter between tries.

use entity::Span;
use rand::RngExt;
use std::time::Duration;

/// Delays that double from `least` to `most`; each is drawn from the upper half of its range, so
/// that instances which failed together don't retry together, and never at once.
#[derive(Clone, Copy, Debug)]
pub struct Backoff {
    least: Duration,
    most: Duration,
    failures: u32,
}

/// Doublings after which the delay is certainly at its largest.
const MAX_DOUBLINGS: u32 = 16;

impl Backoff {
    /// Delays from `least` to `most`.
    pub fn new(least: Span, most: Span) -> Self {
        assert!(Span::ZERO < least && least <= most, "a delay that can grow");
        Self {
            least: least.duration(),
            most: most.duration(),
            failures: 0,
        }
    }

    /// The delay after one more failure.
    pub fn fail(&mut self) -> Duration {
        let doublings = self.failures.min(MAX_DOUBLINGS);
        self.failures = self.failures.saturating_add(1);
        let delay = self.least.saturating_mul(1 << doublings).min(self.most);
        delay.mul_f64(rand::rng().random_range(0.5..=1.0))
    }

    /// Begins again with the smallest delay.
    pub fn reset(&mut self) {
        self.failures = 0;
    }

    /// Failures since the last reset.
    pub fn failures(&self) -> u32 {
        self.failures
    }
}
