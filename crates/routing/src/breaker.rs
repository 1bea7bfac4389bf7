//! A circuit breaker for one upstream (Nygard, "Release It!", 2007).

use entity::Moment;
use entity::time::Span;

/// Failures in a row that open the circuit.
const THRESHOLD: u32 = 3;

/// How long the circuit stays open at first.
const FIRST_WAIT: Span = Span::from_millis(500);

/// How long it stays open at most.
const LONGEST_WAIT: Span = Span::from_secs(10);

/// Whether an upstream is tried after failures.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Circuit {
    /// Requests pass; failures in a row are counted.
    Closed { failures: u32 },
    /// No request passes before the moment.
    Open { until: Moment, wait: Span },
    /// One request is under way to find out.
    Probing { wait: Span },
}

/// A circuit breaker.
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
    /// Whether a request may be sent now.
    pub fn allows(&self, now: Moment) -> bool {
        match self.circuit {
            Circuit::Closed { .. } => true,
            Circuit::Open { until, .. } => now >= until,
            Circuit::Probing { .. } => false,
        }
    }

    /// Notes that a request is sent: after an open circuit it is the only one until it ends.
    pub fn sent(&mut self, now: Moment) {
        debug_assert!(self.allows(now));
        if let Circuit::Open { wait, .. } = self.circuit {
            self.circuit = Circuit::Probing { wait };
        }
    }

    /// Notes that a request ended well.
    pub fn succeeded(&mut self) {
        self.circuit = Circuit::Closed { failures: 0 };
    }

    /// Notes that a request failed.
    pub fn failed(&mut self, now: Moment) {
        self.circuit = match self.circuit {
            Circuit::Closed { failures } if failures + 1 < THRESHOLD => Circuit::Closed {
                failures: failures + 1,
            },
            Circuit::Closed { .. } => open(now, FIRST_WAIT),
            Circuit::Probing { wait } => open(now, double(wait)),
            still @ Circuit::Open { .. } => still,
        };
    }

    /// Notes that a request ended without saying anything about the upstream.
    pub fn unsettled(&mut self, now: Moment) {
        if let Circuit::Probing { wait } = self.circuit {
            self.circuit = Circuit::Open { until: now, wait };
        }
    }
}

fn open(now: Moment, wait: Span) -> Circuit {
    Circuit::Open {
        until: now + wait,
        wait,
    }
}

fn double(wait: Span) -> Span {
    Span::from_micros(wait.as_micros() * 2).min(LONGEST_WAIT)
}
