//! Phases of the shutdown of an instance.
//!
//! Every request that was read gets an answer: it runs to its end, or it is refused early enough that its
//! caller can go to another instance.

use entity::Span;

/// Time for which an instance that is being shut down goes on as before: the load balancer probes
/// it once a second and takes it out after two failures.
const READINESS_NOTICE: Span = Span::from_millis(2700);
/// Largest share of the grace period that this may take. What was taken until then needs time to end.
const MAX_NOTICE_SHARE: f64 = 0.5;
/// Time before the end of the grace period at which requests that still run are given up, and the largest
/// share of the period that it takes.
const GIVE_UP_MARGIN: (Span, f64) = (Span::from_millis(500), 0.25);
/// Time before the end of the grace period at which the process ends, whatever is left of the answers, and
/// the largest share of the period that it takes.
const EXIT_MARGIN: (Span, f64) = (Span::from_millis(200), 0.1);

/// When each phase of a shutdown begins, after the signal.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Phases {
    /// Requests that wait, and new ones, are refused.
    pub closing: Span,
    /// Requests that still run are given up, and answered if their answers have not begun.
    pub giving_up: Span,
    /// The process ends.
    pub exit: Span,
}

impl Phases {
    /// Returns the phases within a grace period.
    pub fn within(grace: Span) -> Self {
        let before_end = |(margin, share): (Span, f64)| {
            let margin = margin.min(grace.scaled(share));
            Span::from_micros(grace.as_micros() - margin.as_micros())
        };
        Self {
            closing: READINESS_NOTICE.min(grace.scaled(MAX_NOTICE_SHARE)),
            giving_up: before_end(GIVE_UP_MARGIN),
            exit: before_end(EXIT_MARGIN),
        }
    }
}
