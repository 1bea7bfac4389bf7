//! When a key is too old for the log to remember its first claim.

use crate::key::Created;
use entity::Span;

/// The span after its creation during which a key may be claimed.
///
/// All comparisons that safety depends on are between the time of creation and the log's own
/// timestamps, so the clocks of instances don't matter. With `margin > skew`, every earlier
/// claim of a key that is within the window is still retained.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Window {
    retention: Span,
    margin: Span,
    skew: Span,
}

/// Where a moment is in relation to a key's window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The key claims to be created later than the skew allows.
    Early,
    /// The key may be claimed.
    Open,
    /// The key is older than what the log is certain to remember.
    Expired,
}

impl Window {
    /// A window for a log that keeps each record for at least `retention`.
    ///
    /// `skew` is how far a caller's clock may be ahead of the log's; `margin` is what a key's
    /// lifetime is shorter than the retention.
    ///
    /// # Panics
    ///
    /// Unless `skew < margin < retention`.
    pub fn new(retention: Span, margin: Span, skew: Span) -> Self {
        assert!(skew < margin, "the margin has to cover the skew");
        assert!(margin < retention, "no key would ever be accepted");
        Self {
            retention,
            margin,
            skew,
        }
    }

    /// How long a key has to be remembered after its last record: any claim that the log takes
    /// later is past the key's window.
    pub fn memory(&self) -> Span {
        let micros = |span: Span| span.as_micros();
        let lifetime = micros(self.retention) - micros(self.margin);
        Span::from_micros(lifetime + micros(self.skew))
    }

    /// Where `now_ms` is in the window of a key; milliseconds since the Unix epoch.
    pub fn phase(&self, created: Created, now_ms: u64) -> Phase {
        let millis = |span: Span| span.as_micros() / 1000;
        if created.0 > now_ms.saturating_add(millis(self.skew)) {
            return Phase::Early;
        }
        let lifetime = millis(self.retention) - millis(self.margin);
        if now_ms > created.0.saturating_add(lifetime) {
            return Phase::Expired;
        }
        Phase::Open
    }
}
