//! A hybrid logical clock, whose timestamps are close to the wall clock and respect causality.
//!
//! The algorithm is by S. Kulkarni, M. Demirbas, D. Madappa, B. Avva and M. Leone, "Logical
//! Physical Clocks", in Principles of Distributed Systems (OPODIS), 2014. As in the paper, a
//! timestamp has 64 bits: 48 for milliseconds and 16 for a counter. The counter orders the events
//! of one millisecond, and those of a process whose wall clock is behind those of its peers.

use serde_with::{DeserializeFromStr, SerializeDisplay};
use std::fmt;
use std::str::FromStr;

/// Number of bits of the counter.
const COUNTER_BITS: u32 = 16;
/// Maximum value of the counter.
const MAX_COUNTER: u64 = (1 << COUNTER_BITS) - 1;
/// Maximum time, in milliseconds since the Unix epoch.
const MAX_MILLIS: u64 = (1 << (64 - COUNTER_BITS)) - 1;
/// Maximum time by which a peer's timestamp may be ahead of the local wall clock, in milliseconds.
pub const MAX_CLOCK_SKEW_MS: u64 = 60_000;

/// A timestamp of the hybrid clock, written as milliseconds and counter: `1764795600000.00003`.
#[derive(
    Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub struct Timestamp(u64);

/// The text is not a valid timestamp.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a timestamp is milliseconds and a counter up to {MAX_COUNTER}, with a dot between")]
pub struct Error;

/// A peer's timestamp is more than [`MAX_CLOCK_SKEW_MS`] ahead of the local wall clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a peer's timestamp is {millis} ms ahead of the local wall clock")]
pub struct ClockSkew {
    /// Difference from the local wall clock, in milliseconds.
    pub millis: u64,
}

impl Timestamp {
    /// Returns the first timestamp of a millisecond, counted from the Unix epoch.
    pub fn from_millis(millis: u64) -> Self {
        Self(millis.min(MAX_MILLIS) << COUNTER_BITS)
    }

    /// Returns the milliseconds since the Unix epoch.
    pub fn millis(self) -> u64 {
        self.0 >> COUNTER_BITS
    }

    /// Returns the representation that is sent to peers.
    pub fn to_bits(self) -> u64 {
        self.0
    }

    /// Creates a timestamp from the representation that is sent to peers.
    pub fn from_bits(bits: u64) -> Self {
        Self(bits)
    }

    /// Returns the next timestamp. The counter overflows into the milliseconds.
    fn next(self) -> Self {
        Self(self.0.saturating_add(1))
    }
}

impl FromStr for Timestamp {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let (millis, counter) = text.split_once('.').ok_or(Error)?;
        let millis: u64 = millis.parse().map_err(|_| Error)?;
        let counter: u64 = counter.parse().map_err(|_| Error)?;
        if millis > MAX_MILLIS || counter > MAX_COUNTER {
            return Err(Error);
        }
        Ok(Self(millis << COUNTER_BITS | counter))
    }
}

impl fmt::Display for Timestamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}.{:05}", self.millis(), self.0 & MAX_COUNTER)
    }
}

impl fmt::Debug for Timestamp {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// Hybrid logical clock of one process.
///
/// Its timestamps are strictly increasing, even if the wall clock is set back.
#[derive(Clone, Debug, Default)]
pub struct Clock {
    last: Timestamp,
}

impl Clock {
    /// Returns the timestamp of a local event or of a message to send. `now_ms` is the wall clock,
    /// in milliseconds since the Unix epoch.
    pub fn tick(&mut self, now_ms: u64) -> Timestamp {
        let next = self.last.next().max(Timestamp::from_millis(now_ms));
        debug_assert!(next > self.last || self.last.0 == u64::MAX);
        self.last = next;
        next
    }

    /// Observes the timestamp of a received message, so that all later local timestamps are greater.
    ///
    /// # Errors
    ///
    /// Returns [`ClockSkew`] and leaves the clock unchanged if the timestamp is too far ahead, which
    /// means that the peer's wall clock is wrong.
    pub fn observe(&mut self, received: Timestamp, now_ms: u64) -> Result<(), ClockSkew> {
        let millis = received.millis().saturating_sub(now_ms);
        if millis > MAX_CLOCK_SKEW_MS {
            return Err(ClockSkew { millis });
        }
        self.last = self.last.max(received);
        Ok(())
    }
}
