//! Retries: a budget, and exponential backoff with jitter.

use entity::Moment;
use entity::time::Span;

/// What one request adds to the budget, in thousandths of a retry.
const DEPOSIT: u64 = 100;

/// What one retry takes out, in thousandths.
const RETRY: u64 = 1000;

/// Most that the budget holds, in thousandths.
const LARGEST: u64 = 20 * RETRY;

/// What is added each second without any request, in thousandths, so that a quiet instance can
/// retry too.
const TRICKLE_PER_S: u64 = 1000;

/// First delay before a retry.
const FIRST_DELAY: Span = Span::from_millis(20);

/// Longest delay before a retry.
const LONGEST_DELAY: Span = Span::from_secs(2);

/// A token bucket that keeps retries to a share of recent requests.
#[derive(Clone, Debug)]
pub struct Budget {
    balance: u64,
    filled: Moment,
}

impl Budget {
    /// A budget with room for a few retries.
    pub fn new(now: Moment) -> Self {
        Self {
            balance: LARGEST / 4,
            filled: now,
        }
    }

    /// Counts a request, not its retries.
    pub fn request(&mut self, now: Moment) {
        self.fill(now);
        self.balance = (self.balance + DEPOSIT).min(LARGEST);
    }

    /// Takes one retry out, if there is one.
    pub fn retry(&mut self, now: Moment) -> bool {
        self.fill(now);
        let Some(rest) = self.balance.checked_sub(RETRY) else {
            return false;
        };
        self.balance = rest;
        true
    }

    fn fill(&mut self, now: Moment) {
        let added = now.since(self.filled).as_micros() * TRICKLE_PER_S / 1_000_000;
        if added == 0 {
            return;
        }
        self.balance = self.balance.saturating_add(added).min(LARGEST);
        self.filled = now;
    }
}

/// The delay before a retry: uniform between zero and an exponential bound ("full jitter",
/// Brooker, 2015). `retry` counts from 0; `random` is uniform over all numbers.
pub fn delay(retry: u32, random: u64) -> Span {
    let bound = FIRST_DELAY
        .as_micros()
        .saturating_mul(1 << retry.min(16))
        .min(LONGEST_DELAY.as_micros());
    Span::from_micros(random % (bound + 1))
}
