//! Lengths of time with units, and points in time on a clock that the user of a type supplies.
//!
//! Decision code never reads a clock: it takes a [`Moment`] as an argument, which a driver reads from
//! a monotonic clock and a test sets by hand.

use serde_with::{DeserializeFromStr, SerializeDisplay};
use std::fmt;
use std::ops::{Add, Sub};
use std::str::FromStr;
use std::time::Duration;

/// A length of time, written with its unit: `250us`, `40ms`, `2s`, `5m`, `1h` or `7d`.
#[derive(
    Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub struct Span(Duration);

/// Units and their length in microseconds, the longest first, so that formatting finds the shortest
/// exact form.
const UNITS: [(&str, u64); 6] = [
    ("d", 86_400_000_000),
    ("h", 3_600_000_000),
    ("m", 60_000_000),
    ("s", 1_000_000),
    ("ms", 1_000),
    ("us", 1),
];

/// Error for a text that is not a span.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The text is a number without a unit.
    #[error("the unit is missing: write us, ms, s, m, h or d after the number")]
    MissingUnit,
    /// The text is not a whole number followed by a known unit.
    #[error("not a whole number with one of the units us, ms, s, m, h or d")]
    Malformed,
    /// The span is too long to represent.
    #[error("the span is too long")]
    OutOfRange,
}

impl Span {
    /// The empty span.
    pub const ZERO: Self = Self(Duration::ZERO);

    /// Creates a span from whole microseconds.
    pub const fn from_micros(micros: u64) -> Self {
        Self(Duration::from_micros(micros))
    }

    /// Creates a span from whole milliseconds.
    pub const fn from_millis(millis: u64) -> Self {
        Self(Duration::from_millis(millis))
    }

    /// Creates a span from whole seconds.
    pub const fn from_secs(secs: u64) -> Self {
        Self(Duration::from_secs(secs))
    }

    /// Returns the span in whole microseconds, rounded down.
    pub const fn as_micros(self) -> u64 {
        self.0.as_micros() as u64
    }

    /// Returns the span in seconds, with the fraction.
    pub fn as_secs_f64(self) -> f64 {
        self.0.as_secs_f64()
    }

    /// Returns the span multiplied by a factor, or zero if the factor is not positive.
    pub fn scaled(self, factor: f64) -> Self {
        Self::from_micros((self.as_micros() as f64 * factor) as u64)
    }

    /// Returns the span as a [`Duration`].
    pub const fn duration(self) -> Duration {
        self.0
    }
}

impl From<Duration> for Span {
    fn from(duration: Duration) -> Self {
        Self(duration)
    }
}

impl FromStr for Span {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let digits = text.len() - text.trim_start_matches(|c: char| c.is_ascii_digit()).len();
        let (number, unit) = text.split_at(digits);
        let number: u64 = number.parse().map_err(|_| Error::Malformed)?;
        if unit.is_empty() {
            return Err(Error::MissingUnit);
        }
        let (_, micros) = UNITS
            .iter()
            .find(|(name, _)| *name == unit)
            .ok_or(Error::Malformed)?;
        number
            .checked_mul(*micros)
            .map(Self::from_micros)
            .ok_or(Error::OutOfRange)
    }
}

impl fmt::Display for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let micros = self.as_micros();
        if micros == 0 {
            return f.write_str("0s");
        }
        for (name, unit) in UNITS {
            if micros.is_multiple_of(unit) {
                return write!(f, "{}{name}", micros / unit);
            }
        }
        Ok(())
    }
}

impl fmt::Debug for Span {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// A point in time, in microseconds on a clock that the user of the type supplies.
#[derive(
    Clone,
    Copy,
    Debug,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    serde::Serialize,
    serde::Deserialize,
)]
#[serde(transparent)]
pub struct Moment(pub u64);

impl Moment {
    /// Returns the time since an earlier moment, or zero if that moment is later.
    pub fn since(self, earlier: Self) -> Span {
        Span::from_micros(self.0.saturating_sub(earlier.0))
    }
}

impl Add for Span {
    type Output = Self;

    fn add(self, other: Self) -> Self {
        Self(self.0.saturating_add(other.0))
    }
}

impl Add<Span> for Moment {
    type Output = Self;

    fn add(self, span: Span) -> Self {
        Self(self.0.saturating_add(span.as_micros()))
    }
}

impl Sub<Span> for Moment {
    type Output = Self;

    fn sub(self, span: Span) -> Self {
        Self(self.0.saturating_sub(span.as_micros()))
    }
}
