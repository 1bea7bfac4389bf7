//! Retry budget, and exponential backoff with jitter.

use entity::Moment;
use entity::time::Span;

/// Amount that a request adds to the budget, in thousandths of a retry.
const DEPOSIT_PER_REQUEST: u64 = 100;

/// Amount that a retry takes out of the budget, in thousandths of a retry.
const COST_PER_RETRY: u64 = 1000;

/// Largest balance of the budget, in thousandths of a retry.
const MAX_BALANCE: u64 = 20 * COST_PER_RETRY;

/// Amount that is added each second without any request, in thousandths of a retry, so that an
/// instance with little traffic can retry too.
const TRICKLE_PER_S: u64 = 1000;

/// Upper bound of the delay before the first retry; it doubles with each further retry.
const BASE_DELAY: Span = Span::from_millis(20);

/// Upper bound of the delay before any retry.
const MAX_DELAY: Span = Span::from_secs(2);

/// A token bucket that limits retries to a share of recent requests.
#[derive(Clone, Debug)]
pub struct Budget {
    balance: u64,
    refilled_at: Moment,
}

impl Budget {
    /// Creates a budget with a quarter of the largest balance.
    pub fn new(now: Moment) -> Self {
        Self {
            balance: MAX_BALANCE / 4,
            refilled_at: now,
        }
    }

    /// Records a request, not counting its retries.
    pub fn record_request(&mut self, now: Moment) {
        self.refill(now);
        self.balance = (self.balance + DEPOSIT_PER_REQUEST).min(MAX_BALANCE);
    }

    /// Takes one retry out of the budget. Returns whether the balance allowed it.
    pub fn try_retry(&mut self, now: Moment) -> bool {
        self.refill(now);
        let Some(remaining) = self.balance.checked_sub(COST_PER_RETRY) else {
            return false;
        };
        self.balance = remaining;
        true
    }

    fn refill(&mut self, now: Moment) {
        let added = now.since(self.refilled_at).as_micros() * TRICKLE_PER_S / 1_000_000;
        if added == 0 {
            return;
        }
        self.balance = self.balance.saturating_add(added).min(MAX_BALANCE);
        self.refilled_at = now;
    }
}

/// Returns the delay before a retry, which is uniform between zero and an exponential bound ("full
/// jitter", Brooker, 2015). `retry` counts from 0; `random` is uniform over all numbers.
pub fn delay(retry: u32, random: u64) -> Span {
    let bound = BASE_DELAY
        .as_micros()
        .saturating_mul(1 << retry.min(16))
        .min(MAX_DELAY.as_micros());
    Span::from_micros(random % (bound + 1))
}
