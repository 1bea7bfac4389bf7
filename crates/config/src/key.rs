//! Bearer keys of organisations; the configuration holds only their salted hashes.

use base64::Engine;
use base64::engine::general_purpose::STANDARD_NO_PAD;
use rand::Rng;
use sha2::{Digest, Sha256};
use std::fmt;
use std::str::FromStr;
use subtle::ConstantTimeEq;

/// Length of a salt, in bytes.
const SALT_BYTES: usize = 16;
/// Length of a hash, in bytes.
const HASH_BYTES: usize = 32;

/// The salted SHA-256 of a bearer key, written as `name:salt:hash` with base64 parts.
///
/// Bearer keys are long random texts, so a single round of a fast hash is sufficient.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Key {
    /// Name given by operators, to distinguish the keys of one organisation.
    pub name: Box<str>,
    salt: [u8; SALT_BYTES],
    hash: [u8; HASH_BYTES],
}

/// Error for a text that is not `name:salt:hash`.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("a key is name:salt:hash, as `citrontrack key` prints it")]
pub struct Error;

fn digest(salt: &[u8], bearer: &str) -> [u8; HASH_BYTES] {
    let mut hasher = Sha256::new();
    hasher.update(salt);
    hasher.update(bearer.as_bytes());
    hasher.finalize().into()
}

impl Key {
    /// Hashes a bearer key with a new random salt.
    pub fn generate(name: &str, bearer: &str, rng: &mut impl Rng) -> Self {
        let mut salt = [0; SALT_BYTES];
        rng.fill_bytes(&mut salt);
        Self {
            name: name.into(),
            hash: digest(&salt, bearer),
            salt,
        }
    }

    /// Returns whether two keys have the same salt and hash, regardless of their names.
    pub fn has_same_hash(&self, other: &Self) -> bool {
        self.salt == other.salt && self.hash == other.hash
    }

    /// Returns whether `bearer` is the key that was hashed. The hashes are compared in constant time.
    pub fn matches(&self, bearer: &str) -> bool {
        digest(&self.salt, bearer).ct_eq(&self.hash).into()
    }
}

impl FromStr for Key {
    type Err = Error;

    fn from_str(text: &str) -> Result<Self, Error> {
        let mut parts = text.split(':');
        let (Some(name), Some(salt), Some(hash), None) =
            (parts.next(), parts.next(), parts.next(), parts.next())
        else {
            return Err(Error);
        };
        let is_name_char = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
        if name.is_empty() || !name.chars().all(is_name_char) {
            return Err(Error);
        }
        let salt = STANDARD_NO_PAD.decode(salt).map_err(|_| Error)?;
        let hash = STANDARD_NO_PAD.decode(hash).map_err(|_| Error)?;
        Ok(Self {
            name: name.into(),
            salt: salt.try_into().map_err(|_| Error)?,
            hash: hash.try_into().map_err(|_| Error)?,
        })
    }
}

impl fmt::Display for Key {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let salt = STANDARD_NO_PAD.encode(self.salt);
        let hash = STANDARD_NO_PAD.encode(self.hash);
        write!(f, "{}:{salt}:{hash}", self.name)
    }
}
