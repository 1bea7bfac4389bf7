//! Ids of requests, and whether a request can have run.

use rand::Rng;
use serde_with::{DeserializeFromStr, SerializeDisplay};
use std::fmt;
use std::str::FromStr;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

/// Number of random bits in an id; the upper bits are milliseconds since the Unix epoch.
const RANDOM_BITS: u32 = 80;

/// The id of a request: 48 bits of milliseconds since the Unix epoch, then 80 random bits. Its text
/// form is 32 hexadecimal digits.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub struct Id(pub u128);

/// Error for a text that is not 32 hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a request id is 32 hexadecimal digits")]
pub struct Error;

impl Id {
    /// Creates an id for a request that arrives at `now`.
    pub fn random(now: SystemTime, rng: &mut impl Rng) -> Self {
        let millis = now
            .duration_since(UNIX_EPOCH)
            .unwrap_or(Duration::ZERO)
            .as_millis();
        let random = (u128::from(rng.next_u64()) << 64 | u128::from(rng.next_u64())) >> 48;
        Self(millis << RANDOM_BITS | random)
    }

    /// Returns the time at which the id was created, in milliseconds since the Unix epoch.
    pub fn millis(self) -> u64 {
        (self.0 >> RANDOM_BITS) as u64
    }
}

impl FromStr for Id {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        if text.len() != 32 || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(Error);
        }
        u128::from_str_radix(text, 16).map(Self).map_err(|_| Error)
    }
}

impl fmt::Display for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:032x}", self.0)
    }
}

impl fmt::Debug for Id {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}

/// Whether a request can have run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Ran {
    /// The request has not run: no byte of it left this process, or the upstream reported so.
    No,
    /// The request may have run.
    Maybe,
}

impl fmt::Display for Ran {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            Self::No => "not-run",
            Self::Maybe => "may-have-run",
        })
    }
}
