//! The times on which the safety of slots rests.

use entity::time::Span;

/// Times that all instances agree on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Bounds {
    /// How late the instance list tells of a change, at most.
    pub lag: Span,
    /// How long an instance goes by a list after it began to read it.
    pub fresh: Span,
    /// How long a dispatch takes from its last check until it is sent.
    pub slack: Span,
    /// How long a request runs on a slot.
    pub run: Span,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            lag: Span::from_secs(5),
            fresh: Span::from_secs(3),
            slack: Span::from_secs(1),
            run: Span::from_secs(60),
        }
    }
}

impl Bounds {
    /// The longest time from when a list was true until what goes by it is sent.
    pub fn view(&self) -> Span {
        sum(&[self.lag, self.fresh, self.slack])
    }

    /// How long after a gain all other instances have seen the loss.
    pub fn settled(&self) -> Span {
        sum(&[self.view(), self.view()])
    }

    /// How long after a gain nothing of another instance runs on the slot.
    pub fn cleared(&self) -> Span {
        sum(&[self.settled(), self.run])
    }
}

fn sum(spans: &[Span]) -> Span {
    Span::from_micros(spans.iter().map(|span| span.as_micros()).sum())
}
