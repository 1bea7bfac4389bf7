//! Idempotency keys, their creation times and the partitions of their claims.

use crate::digest::Digest;
use entity::name;
use serde::{Deserialize, Serialize};
use std::fmt;

/// Number of streams that hold claims.
pub const PARTITIONS: u8 = 16;

/// Number of hexadecimal digits of a UUID, without hyphens.
const UUID_DIGITS: usize = 32;

/// Number of leading digits of a UUIDv7 that encode its time (RFC 9562, section 5.7).
const UUID_TIME_DIGITS: usize = 12;

/// Time at which a caller created a key, in milliseconds since the Unix epoch.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Created(pub u64);

impl Created {
    /// Parses the time of a UUIDv7 (RFC 9562), with or without hyphens. Returns `None` for any
    /// other text.
    pub fn from_uuid(text: &str) -> Option<Self> {
        let digits: Box<str> = text.chars().filter(|digit| *digit != '-').collect();
        let hexadecimal = digits.bytes().all(|digit| digit.is_ascii_hexdigit());
        if digits.len() != UUID_DIGITS || !hexadecimal || digits.as_bytes()[12] != b'7' {
            return None;
        }
        let millis = u64::from_str_radix(&digits[..UUID_TIME_DIGITS], 16).ok()?;
        Some(Self(millis))
    }
}

/// The number that a caller gives to an attempt of a key. The caller increases it each time that it
/// sends the key.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct AttemptNumber(u32);

impl AttemptNumber {
    /// The caller does not number its attempts.
    pub const UNNUMBERED: Self = Self(0);
    /// The caller states that it has not sent the key before.
    pub const FIRST: Self = Self(1);

    /// Creates an attempt number. Numbers begin at 1; 0 stands for an unnumbered attempt.
    pub const fn new(number: u32) -> Self {
        Self(number)
    }

    /// Whether the caller numbers its attempts.
    pub fn is_numbered(self) -> bool {
        self != Self::UNNUMBERED
    }
}

/// Identity of an operation: a digest of organisation, idempotency key and creation time.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Key(Digest);

impl Key {
    /// Creates the key of an organisation's idempotency key `text`.
    ///
    /// The creation time is part of the identity: the expiry of a key depends on it, so one
    /// operation must not be recorded under two times.
    pub fn new(organisation: &name::Organisation, text: &str, created: Created) -> Self {
        Self(Digest::of(&[
            organisation.as_str().as_bytes(),
            text.as_bytes(),
            &created.0.to_be_bytes(),
        ]))
    }

    /// Returns the partition whose stream holds the claims of this key.
    pub fn partition(&self) -> Partition {
        Partition(self.0.as_bytes()[0] % PARTITIONS)
    }

    /// Returns a byte of the key that is independent of its partition.
    pub(crate) fn bucket_hash(&self) -> u8 {
        self.0.as_bytes()[1]
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

impl fmt::Debug for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(&self.0, f)
    }
}

/// One of the streams that hold claims.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Partition(u8);

impl Partition {
    /// Returns all partitions, in order.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..PARTITIONS).map(Self)
    }

    /// Returns the index of the partition, from 0 on.
    pub fn index(self) -> usize {
        usize::from(self.0)
    }

    /// Returns the name of the partition's stream.
    pub fn stream(self) -> Box<str> {
        format!("claims-{}", self.0).into()
    }
}
