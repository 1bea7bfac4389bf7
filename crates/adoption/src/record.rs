//! Records of the configuration stream.

use entity::{Generation, Offset};
use serde::{Deserialize, Serialize};
use serde_with::{DeserializeFromStr, SerializeDisplay};
use std::fmt;
use std::str::FromStr;

/// The stream of the platform's log that holds the records.
pub const STREAM: &str = "config";

/// The format of records and of configuration texts that this release reads.
///
/// It changes whenever a release would accept a text that an older one rejects, or the other way
/// round, since all readers of a prefix have to reach the same verdicts.
pub const FORMAT: u32 = 1;

/// Longest author of a publication, in bytes.
pub const MAX_AUTHOR_BYTES: usize = 128;

/// One record, as JSON on the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "record", rename_all = "kebab-case")]
pub enum Record {
    /// An operator's text, to be accepted or rejected.
    Publication(Publication),
    /// What was in force after a prefix of the stream.
    Checkpoint(Checkpoint),
}

/// A text that an operator wants in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Publication {
    /// [`FORMAT`] of the release that wrote it.
    pub format: u32,
    /// The same in all copies, of which there can be several after a lost reply.
    pub id: Id,
    /// The generation that the text was edited from; 0 for the first.
    pub base: Generation,
    /// Who published it, at most [`MAX_AUTHOR_BYTES`].
    pub author: Box<str>,
    /// The text.
    pub text: Box<str>,
}

/// A fact about a prefix: after all records through `read_through`, `generation` is in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Checkpoint {
    /// [`FORMAT`] of the release that wrote it.
    pub format: u32,
    /// The generation in force; 0 where none is, with an empty author and text.
    pub generation: Generation,
    /// The last record of the prefix.
    pub read_through: Offset,
    /// Who published the text in force.
    pub author: Box<str>,
    /// The text in force.
    pub text: Box<str>,
}

/// What a record's bytes are to this release.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Decoded {
    Record(Record),
    /// Written by another release, with this format.
    Foreign(u32),
    /// No record of any release.
    Malformed,
}

#[derive(Deserialize)]
struct Envelope {
    format: u32,
}

impl Record {
    /// The record's bytes on the log.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a record has only texts and numbers")
    }

    /// Reads a record's bytes. The format is read first, since the rest may have other fields in
    /// another format.
    pub(crate) fn decode(data: &[u8]) -> Decoded {
        let Ok(envelope) = serde_json::from_slice::<Envelope>(data) else {
            return Decoded::Malformed;
        };
        if envelope.format != FORMAT {
            return Decoded::Foreign(envelope.format);
        }
        serde_json::from_slice(data).map_or(Decoded::Malformed, Decoded::Record)
    }
}

/// The id of a publication: 128 random bits, written as 32 hexadecimal digits.
#[derive(
    Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, SerializeDisplay, DeserializeFromStr,
)]
pub struct Id(pub u128);

/// The text is not 32 hexadecimal digits.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the id of a publication is 32 hexadecimal digits")]
pub struct IdError;

impl FromStr for Id {
    type Err = IdError;

    fn from_str(text: &str) -> Result<Self, IdError> {
        if text.len() != 32 || !text.bytes().all(|byte| byte.is_ascii_hexdigit()) {
            return Err(IdError);
        }
        let id = u128::from_str_radix(text, 16);
        id.map(Self).map_err(|_| IdError)
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
