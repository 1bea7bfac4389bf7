//! A circuit breaker for the rating service, with probes at increasing intervals.

use entity::{Moment, Span};

/// Number of consecutive failures that open the breaker.
const FAILURE_THRESHOLD: u32 = 3;

/// Delay before the first probe.
const MIN_PROBE_INTERVAL: Span = Span::from_millis(500);

/// Maximum time between probes.
const MAX_PROBE_INTERVAL: Span = Span::from_secs(16);

/// A circuit breaker, which opens after several consecutive failures.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Breaker {
    consecutive_failures: u32,
    next_probe: Moment,
}

impl Breaker {
    /// Returns whether a call may be made now. While the breaker is open, one call is allowed at
    /// each probe time.
    pub fn allow_call(&mut self, now: Moment) -> bool {
        if !self.is_open() {
            return true;
        }
        if now < self.next_probe {
            return false;
        }
        self.next_probe = now + self.probe_interval();
        true
    }

    /// Returns whether the service is considered unavailable.
    pub fn is_open(&self) -> bool {
        self.consecutive_failures >= FAILURE_THRESHOLD
    }

    /// Records a successful call, which closes the breaker.
    pub fn record_success(&mut self) {
        self.consecutive_failures = 0;
    }

    /// Records a failed call.
    pub fn record_failure(&mut self, now: Moment) {
        self.consecutive_failures = self.consecutive_failures.saturating_add(1);
        self.next_probe = now + self.probe_interval();
    }

    fn probe_interval(&self) -> Span {
        let doublings = self
            .consecutive_failures
            .saturating_sub(FAILURE_THRESHOLD)
            .min(10);
        let micros = MIN_PROBE_INTERVAL.as_micros() << doublings;
        Span::from_micros(micros.min(MAX_PROBE_INTERVAL.as_micros()))
    }
}
