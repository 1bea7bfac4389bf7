//! Compressed differences between two values of one key of the store.
//!
//! A configuration is long, but each change to it is small. When the previous value serves as the
//! compression dictionary, the new value takes a fraction of a datagram.

use lz4_flex::block;
use std::hash::{DefaultHasher, Hasher};

/// Maximum length of a value, in bytes. The compressor's matches reach back at most 64 KiB, and a
/// corrupt length must not allocate more than that.
const MAX_VALUE_BYTES: u32 = 64 * 1024;

/// A value, encoded against the previous value of its key.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Delta {
    /// Hash of the value that the delta applies to.
    pub base: u64,
    /// Length of the new value, in bytes.
    pub length: u32,
    /// The new value, compressed with the base value as the dictionary.
    pub bytes: Box<[u8]>,
}

/// Reasons why a delta cannot be applied.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The delta was made from another base value.
    #[error("the delta applies to another base value")]
    Base,
    /// The new value would exceed the maximum length.
    #[error("the value would be longer than {MAX_VALUE_BYTES} bytes")]
    Length,
    /// The compressed bytes are corrupt.
    #[error("the delta can't be decompressed: {0}")]
    Damaged(Box<str>),
}

impl Delta {
    /// Encodes `value` against `base`. Returns `None` if `value` is too long.
    pub fn between(base: &[u8], value: &[u8]) -> Option<Self> {
        let length = u32::try_from(value.len()).ok();
        let length = length.filter(|length| *length <= MAX_VALUE_BYTES)?;
        Some(Self {
            base: hash(base),
            length,
            bytes: block::compress_with_dict(value, base).into(),
        })
    }

    /// Decodes the new value.
    ///
    /// # Errors
    ///
    /// Fails if the delta was made from another value than `base`, or is corrupt.
    pub fn apply(&self, base: &[u8]) -> Result<Box<[u8]>, Error> {
        if self.base != hash(base) {
            return Err(Error::Base);
        }
        if self.length > MAX_VALUE_BYTES {
            return Err(Error::Length);
        }
        let value = block::decompress_with_dict(&self.bytes, self.length as usize, base);
        let value = value.map_err(|error| Error::Damaged(error.to_string().into()))?;
        if value.len() != self.length as usize {
            return Err(Error::Damaged("the value is truncated".into()));
        }
        Ok(value.into())
    }
}

/// Hashes a value. Instances of the same build compare these hashes to detect equal values; the
/// hash is not stable across builds.
pub fn hash(value: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    hasher.write(value);
    hasher.finish()
}
