//! A token bucket.

use std::time::Duration;
use tokio::time::Instant;

/// The bucket holds what the rate gives in this time, and at least one token.
const BURST: Duration = Duration::from_millis(100);

/// A token bucket that is full at first.
#[derive(Debug)]
pub struct Limiter {
    tokens: f64,
    filled: Instant,
}

impl Limiter {
    /// A bucket that is filled up at the first call of [`Limiter::take`].
    pub fn new(now: Instant) -> Self {
        Self {
            tokens: f64::INFINITY,
            filled: now,
        }
    }

    /// Takes a token if there is one; the rate is in tokens a second and 0 means no limit.
    pub fn take(&mut self, rate: u32, now: Instant) -> bool {
        if rate == 0 {
            return true;
        }
        let rate = f64::from(rate);
        let capacity = (rate * BURST.as_secs_f64()).max(1.0);
        let gained = now.duration_since(self.filled).as_secs_f64() * rate;
        self.tokens = (self.tokens + gained).min(capacity);
        self.filled = now;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
