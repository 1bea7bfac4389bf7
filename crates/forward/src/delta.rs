//! What changed between two values of one key of the store.
//!
//! A configuration is long and changes little at a time: compressed with the value before it as the
//! dictionary, it fits into a datagram many times over.

use lz4_flex::block;
use std::hash::{DefaultHasher, Hasher};

/// Longest value that is put together, in bytes: the compressor refers back over 64 KiB at most, and a
/// damaged length must not reserve more.
const MAX_VALUE: u32 = 64 * 1024;

/// A value in terms of the one before it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Delta {
    /// A hash of the value that it applies to.
    pub base: u64,
    /// Length of the new value, in bytes.
    pub length: u32,
    /// The new value, compressed.
    pub bytes: Box<[u8]>,
}

/// Why a delta gives no value.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// It applies to another value.
    #[error("it applies to another value")]
    Base,
    /// The new value would be too long.
    #[error("the value would be longer than {MAX_VALUE} bytes")]
    Length,
    /// It can't be decompressed.
    #[error("it can't be decompressed: {0}")]
    Damaged(Box<str>),
}

impl Delta {
    /// What changed from one value to the next; none for values that are too long.
    pub fn between(base: &[u8], value: &[u8]) -> Option<Self> {
        let length = u32::try_from(value.len()).ok();
        let length = length.filter(|length| *length <= MAX_VALUE)?;
        Some(Self {
            base: hash(base),
            length,
            bytes: block::compress_with_dict(value, base).into(),
        })
    }

    /// The new value.
    ///
    /// # Errors
    ///
    /// It applies to another value than `base`, or is damaged.
    pub fn apply(&self, base: &[u8]) -> Result<Box<[u8]>, Error> {
        if self.base != hash(base) {
            return Err(Error::Base);
        }
        if self.length > MAX_VALUE {
            return Err(Error::Length);
        }
        let value = block::decompress_with_dict(&self.bytes, self.length as usize, base);
        let value = value.map_err(|error| Error::Damaged(error.to_string().into()))?;
        if value.len() != self.length as usize {
            return Err(Error::Damaged("it ends early".into()));
        }
        Ok(value.into())
    }
}

/// A hash by which two instances of one build tell that they have the same value.
pub fn hash(value: &[u8]) -> u64 {
    let mut hasher = DefaultHasher::new();
    hasher.write(value);
    hasher.finish()
}
