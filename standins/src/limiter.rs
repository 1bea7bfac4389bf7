//! A token-bucket rate limiter.

use std::time::Duration;
use tokio::time::Instant;

/// Time over which unused tokens accumulate; the bucket holds at least one token in any case.
const BURST_WINDOW: Duration = Duration::from_millis(100);

/// A token bucket that is full when it is created.
#[derive(Debug)]
pub struct RateLimiter {
    tokens: f64,
    refilled_at: Instant,
}

impl RateLimiter {
    /// Creates a full bucket; its capacity is applied on the first call of
    /// [`RateLimiter::try_acquire`].
    pub fn new(now: Instant) -> Self {
        Self {
            tokens: f64::INFINITY,
            refilled_at: now,
        }
    }

    /// Takes a token and returns whether one was available; the rate is in tokens a second, and 0
    /// means no limit.
    pub fn try_acquire(&mut self, rate: u32, now: Instant) -> bool {
        if rate == 0 {
            return true;
        }
        let rate = f64::from(rate);
        let capacity = (rate * BURST_WINDOW.as_secs_f64()).max(1.0);
        let refill = now.duration_since(self.refilled_at).as_secs_f64() * rate;
        self.tokens = (self.tokens + refill).min(capacity);
        self.refilled_at = now;
        if self.tokens < 1.0 {
            return false;
        }
        self.tokens -= 1.0;
        true
    }
}
