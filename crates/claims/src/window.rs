//! The time window in which the log is certain to retain the first claim of a key.

use crate::key::Created;
use entity::Span;

/// The window after its creation in which a key may be claimed.
///
/// All comparisons that safety depends on are between the creation time and the log's own
/// timestamps, so the clocks of instances don't matter. Since `margin > skew`, every earlier claim
/// of a key that is within its window is still retained.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Window {
    retention: Span,
    margin: Span,
    skew: Span,
}

/// Position of a time relative to a key's window.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The creation time of the key is further ahead than the skew allows.
    Early,
    /// The key may be claimed.
    Open,
    /// The key is older than the log is certain to retain its claims.
    Expired,
}

impl Window {
    /// Creates a window for a log that retains each record for at least `retention`.
    ///
    /// `skew` is the maximum time by which a caller's clock may be ahead of the log's. `margin` is
    /// the difference between the retention and the lifetime of a key.
    ///
    /// # Panics
    ///
    /// Panics unless `skew < margin < retention`.
    pub fn new(retention: Span, margin: Span, skew: Span) -> Self {
        assert!(skew < margin, "the margin must be longer than the skew");
        assert!(
            margin < retention,
            "the margin must be shorter than the retention"
        );
        Self {
            retention,
            margin,
            skew,
        }
    }

    /// Returns the time for which a key has to be kept after its last record. Any claim that is
    /// appended later is past the key's window.
    pub fn entry_ttl(&self) -> Span {
        let micros = |span: Span| span.as_micros();
        let lifetime = micros(self.retention) - micros(self.margin);
        Span::from_micros(lifetime + micros(self.skew))
    }

    /// Returns the position of `now_ms` relative to the window of a key. `now_ms` is in
    /// milliseconds since the Unix epoch.
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
