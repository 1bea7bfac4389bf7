//! Stops calls to a service that is out, but for probes at growing intervals.

use entity::{Moment, Span};

/// Failures in a row after which the service counts as out.
const FAILURES: u32 = 3;

/// Time to the first probe.
const FIRST_PROBE: Span = Span::from_millis(500);

/// Longest time between probes.
const LONGEST_PROBE: Span = Span::from_secs(16);

/// Whether calls are made.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Breaker {
    failures: u32,
    probe: Moment,
}

impl Breaker {
    /// Whether a call may be made now. While the service is out, one call is let through at each
    /// probe time.
    pub fn allows(&mut self, now: Moment) -> bool {
        if !self.is_open() {
            return true;
        }
        if now < self.probe {
            return false;
        }
        self.probe = now + self.interval();
        true
    }

    /// Whether the service counts as out.
    pub fn is_open(&self) -> bool {
        self.failures >= FAILURES
    }

    /// A call succeeded.
    pub fn succeed(&mut self) {
        self.failures = 0;
    }

    /// A call failed.
    pub fn fail(&mut self, now: Moment) {
        self.failures = self.failures.saturating_add(1);
        self.probe = now + self.interval();
    }

    fn interval(&self) -> Span {
        let doublings = self.failures.saturating_sub(FAILURES).min(10);
        let micros = FIRST_PROBE.as_micros() << doublings;
        Span::from_micros(micros.min(LONGEST_PROBE.as_micros()))
    }
}
