//! A hybrid logical clock: close to the time of day, and ordered by cause and effect.
//!
//! Published by S. Kulkarni, M. Demirbas, D. Madappa, B. Avva and M. Leone, "Logical Physical
//! Clocks", in Principles of Distributed Systems (OPODIS), 2014. As there, a timestamp fits into 64
//! bits: 48 of milliseconds and 16 of a counter, which orders the events of one millisecond and
//! those of a process whose time of day is behind that of its peers.

use serde_with::{DeserializeFromStr, SerializeDisplay};
use std::fmt;
use std::str::FromStr;

/// Bits of the counter.
const COUNTER_BITS: u32 = 16;
/// Largest value of the counter.
const MAX_COUNTER: u64 = (1 << COUNTER_BITS) - 1;
/// Largest time, in milliseconds since the Unix epoch.
const MAX_MILLIS: u64 = (1 << (64 - COUNTER_BITS)) - 1;
/// How far a peer's timestamp may be ahead of the time of day here, in milliseconds.
pub const MAX_AHEAD_MS: u64 = 60_000;

/// A point of the hybrid time, written as milliseconds and counter: `1764795600000.00003`.
#[derive(
    Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub struct Timestamp(u64);

/// The text is not a timestamp.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a timestamp is milliseconds and a counter up to {MAX_COUNTER}, with a dot between")]
pub struct Error;

/// A peer's timestamp is more than [`MAX_AHEAD_MS`] ahead of the time of day.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a peer's timestamp is {millis} ms ahead of the time of day")]
pub struct Ahead {
    /// By how much, in milliseconds.
    pub millis: u64,
}

impl Timestamp {
    /// The first timestamp of a millisecond since the Unix epoch.
    pub fn from_millis(millis: u64) -> Self {
        Self(millis.min(MAX_MILLIS) << COUNTER_BITS)
    }

    /// Milliseconds since the Unix epoch.
    pub fn millis(self) -> u64 {
        self.0 >> COUNTER_BITS
    }

    /// The form that is sent to peers.
    pub fn to_bits(self) -> u64 {
        self.0
    }

    /// A timestamp from the form that is sent to peers.
    pub fn from_bits(bits: u64) -> Self {
        Self(bits)
    }

    /// The timestamp after this one; a full counter carries over into the milliseconds.
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

/// The clock of one process.
///
/// It never goes back and never gives a timestamp twice, whatever the time of day does.
#[derive(Clone, Debug, Default)]
pub struct Clock {
    last: Timestamp,
}

impl Clock {
    /// The timestamp of an event here, or of a message that is sent, at a time of day in
    /// milliseconds since the Unix epoch.
    pub fn tick(&mut self, now_ms: u64) -> Timestamp {
        let next = self.last.next().max(Timestamp::from_millis(now_ms));
        debug_assert!(next > self.last || self.last.0 == u64::MAX);
        self.last = next;
        next
    }

    /// Takes in the timestamp of a message that was received, so that what follows here is later.
    ///
    /// # Errors
    ///
    /// Returns [`Ahead`], and leaves the clock as it is, where the peer's time of day must be
    /// wrong.
    pub fn observe(&mut self, received: Timestamp, now_ms: u64) -> Result<(), Ahead> {
        let millis = received.millis().saturating_sub(now_ms);
        if millis > MAX_AHEAD_MS {
            return Err(Ahead { millis });
        }
        self.last = self.last.max(received);
        Ok(())
    }
}
