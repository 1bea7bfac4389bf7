//! SHA-256 digests of request and response bodies.

use serde_with::{DeserializeFromStr, SerializeDisplay};
use sha2::{Digest as _, Sha256};
use std::fmt;
use std::str::FromStr;

/// Length of a SHA-256 digest, in bytes.
pub const BYTES: usize = 32;

/// Error for a text that is not a digest.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a digest is 64 hexadecimal digits")]
pub struct Error;

/// A SHA-256 digest, written as 64 hexadecimal digits.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub struct Digest([u8; BYTES]);

impl Digest {
    /// Hashes a sequence of parts.
    ///
    /// Each part is preceded by its length, so that different splits of the same bytes have
    /// different digests.
    pub fn of(parts: &[&[u8]]) -> Self {
        let mut hash = Sha256::new();
        for part in parts {
            hash.update((part.len() as u64).to_be_bytes());
            hash.update(part);
        }
        Self(hash.finalize().into())
    }

    /// Returns the bytes of the digest.
    pub fn as_bytes(&self) -> &[u8; BYTES] {
        &self.0
    }
}

impl FromStr for Digest {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        if text.len() != 2 * BYTES || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(Error);
        }
        let mut bytes = [0; BYTES];
        for (index, byte) in bytes.iter_mut().enumerate() {
            let digits = &text[2 * index..2 * index + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| Error)?;
        }
        Ok(Self(bytes))
    }
}

impl fmt::Display for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for byte in self.0 {
            write!(f, "{byte:02x}")?;
        }
        Ok(())
    }
}

impl fmt::Debug for Digest {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        fmt::Display::fmt(self, f)
    }
}
