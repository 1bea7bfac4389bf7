//! A circuit breaker for one upstream (Nygard, "Release It!", 2007).

use entity::Moment;
use entity::time::Span;

/// Consecutive failures that open the circuit.
const FAILURE_THRESHOLD: u32 = 3;

/// Time that the circuit stays open when it opens for the first time.
const INITIAL_OPEN_TIME: Span = Span::from_millis(500);

/// Longest time that the circuit stays open; each failed probe doubles the time.
const MAX_OPEN_TIME: Span = Span::from_secs(10);

/// State of the circuit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Circuit {
    /// Requests pass; consecutive failures are counted.
    Closed { failures: u32 },
    /// No request passes before `until`.
    Open { until: Moment, open_time: Span },
    /// One probe is in flight, and no other request passes.
    Probing { open_time: Span },
}

/// A circuit breaker, closed by default.
#[derive(Clone, Debug)]
pub struct Breaker {
    circuit: Circuit,
}

impl Default for Breaker {
    fn default() -> Self {
        Self {
            circuit: Circuit::Closed { failures: 0 },
        }
    }
}

impl Breaker {
    /// Returns whether a request may be sent now.
    pub fn allows(&self, now: Moment) -> bool {
        match self.circuit {
            Circuit::Closed { .. } => true,
            Circuit::Open { until, .. } => now >= until,
            Circuit::Probing { .. } => false,
        }
    }

    /// Records that a request is sent. If the circuit was open, the request is the probe, and the
    /// only one until it ends.
    pub fn record_dispatch(&mut self, now: Moment) {
        debug_assert!(self.allows(now));
        if let Circuit::Open { open_time, .. } = self.circuit {
            self.circuit = Circuit::Probing { open_time };
        }
    }

    /// Records a success, which closes the circuit.
    pub fn record_success(&mut self) {
        self.circuit = Circuit::Closed { failures: 0 };
    }

    /// Records a failure.
    pub fn record_failure(&mut self, now: Moment) {
        self.circuit = match self.circuit {
            Circuit::Closed { failures } if failures + 1 < FAILURE_THRESHOLD => Circuit::Closed {
                failures: failures + 1,
            },
            Circuit::Closed { .. } => open(now, INITIAL_OPEN_TIME),
            Circuit::Probing { open_time } => open(now, double(open_time)),
            still @ Circuit::Open { .. } => still,
        };
    }

    /// Records that a request ended without evidence on the health of the upstream. An inconclusive
    /// probe can be repeated at once.
    pub fn record_inconclusive(&mut self, now: Moment) {
        if let Circuit::Probing { open_time } = self.circuit {
            self.circuit = Circuit::Open {
                until: now,
                open_time,
            };
        }
    }
}

fn open(now: Moment, open_time: Span) -> Circuit {
    Circuit::Open {
        until: now + open_time,
        open_time,
    }
}

fn double(open_time: Span) -> Span {
    Span::from_micros(open_time.as_micros() * 2).min(MAX_OPEN_TIME)
}
