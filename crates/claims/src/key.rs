//! Idempotency keys, their time of creation and the partition of their claims.

use crate::digest::Digest;
use entity::name;
use serde::{Deserialize, Serialize};
use std::fmt;

/// How many streams hold claims.
pub const PARTITIONS: u8 = 16;

/// Digits of a UUID, without its hyphens.
const UUID_DIGITS: usize = 32;

/// Digits of a UUIDv7 that give its time (RFC 9562, section 5.7).
const UUID_TIME_DIGITS: usize = 12;

/// Milliseconds since the Unix epoch at which a caller made a key.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Created(pub u64);

impl Created {
    /// The time in a UUIDv7 (RFC 9562), with or without hyphens; `None` for any other text.
    pub fn of_uuid(text: &str) -> Option<Self> {
        let digits: Box<str> = text.chars().filter(|digit| *digit != '-').collect();
        let hexadecimal = digits.bytes().all(|digit| digit.is_ascii_hexdigit());
        if digits.len() != UUID_DIGITS || !hexadecimal || digits.as_bytes()[12] != b'7' {
            return None;
        }
        let millis = u64::from_str_radix(&digits[..UUID_TIME_DIGITS], 16).ok()?;
        Some(Self(millis))
    }
}

/// Which sending of a key a request is, as its caller states it; the caller raises the number each
/// time that it sends the key.
#[derive(
    Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct Sending(u32);

impl Sending {
    /// The caller does not number its sendings.
    pub const UNNUMBERED: Self = Self(0);
    /// The caller states that it never sent the key before.
    pub const FIRST: Self = Self(1);

    /// The sending of a number that begins at 1.
    pub const fn new(number: u32) -> Self {
        Self(number)
    }

    /// Whether the caller numbers its sendings.
    pub fn is_numbered(self) -> bool {
        self != Self::UNNUMBERED
    }
}

/// The identity of an operation: a digest of organisation, idempotency key and time of creation.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Key(Digest);

impl Key {
    /// The key of an organisation's idempotency key.
    ///
    /// The time of creation is part of the identity: the expiry of a key depends on it, so one
    /// operation must not be known under two times.
    pub fn new(organisation: &name::Organisation, text: &str, created: Created) -> Self {
        Self(Digest::of(&[
            organisation.as_str().as_bytes(),
            text.as_bytes(),
            &created.0.to_be_bytes(),
        ]))
    }

    /// The partition whose stream holds the claims of this key.
    pub fn partition(&self) -> Partition {
        Partition(self.0.as_bytes()[0] % PARTITIONS)
    }

    /// A byte of the key that is independent of its partition.
    pub(crate) fn spread(&self) -> u8 {
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
    /// All partitions, in order.
    pub fn all() -> impl Iterator<Item = Self> {
        (0..PARTITIONS).map(Self)
    }

    /// The position of the partition among all.
    pub fn index(self) -> usize {
        usize::from(self.0)
    }

    /// The name of the partition's stream.
    pub fn stream(self) -> Box<str> {
        format!("claims-{}", self.0).into()
    }
}
