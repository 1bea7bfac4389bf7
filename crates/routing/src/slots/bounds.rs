//! Time bounds on which the safety of slots depends.

use entity::time::Span;

/// Time bounds that must be the same at all instances.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Bounds {
    /// Longest delay until a change appears in the instance list.
    pub lag: Span,
    /// Longest time for which an instance uses a list, counted from the start of its read.
    pub max_list_age: Span,
    /// Longest time from the last check of a dispatch until it is sent.
    pub slack: Span,
    /// Longest time that a request runs on a slot.
    pub run: Span,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            lag: Span::from_secs(5),
            max_list_age: Span::from_secs(3),
            slack: Span::from_secs(1),
            run: Span::from_secs(60),
        }
    }
}

impl Bounds {
    /// Returns the longest time from when a list was true until a request that depends on it is
    /// sent.
    pub fn max_view_age(&self) -> Span {
        total(&[self.lag, self.max_list_age, self.slack])
    }

    /// Returns the time after a gain of a slot by which all other instances have seen their loss.
    pub fn settle_time(&self) -> Span {
        total(&[self.max_view_age(), self.max_view_age()])
    }

    /// Returns the time after a gain of a slot by which no request of another instance runs on it.
    pub fn clear_time(&self) -> Span {
        total(&[self.settle_time(), self.run])
    }
}

fn total(spans: &[Span]) -> Span {
    Span::from_micros(spans.iter().map(|span| span.as_micros()).sum())
}
