//! Records of the configuration stream.

use entity::{Generation, Offset};
use serde::{Deserialize, Serialize};
use serde_with::{DeserializeFromStr, SerializeDisplay};
use std::fmt;
use std::str::FromStr;

/// Name of the stream in the platform's log that holds the records.
pub const STREAM: &str = "config";

/// Format of records and of configuration texts that this release reads.
///
/// It changes whenever a release would accept a text that an older one rejects, or the reverse,
/// since all readers of a prefix have to reach the same verdicts.
pub const FORMAT: u32 = 1;

/// Maximum length of a publication's author, in bytes.
pub const MAX_AUTHOR_BYTES: usize = 128;

/// One record, encoded as JSON on the log.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "record", rename_all = "kebab-case")]
pub enum Record {
    /// A text that an operator published, which readers accept or reject.
    Publication(Publication),
    /// The generation in force after a prefix of the stream.
    Checkpoint(Checkpoint),
}

/// A configuration text that an operator publishes.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Publication {
    /// [`FORMAT`] of the release that wrote it.
    pub format: u32,
    /// Id of the publication. All copies share it; a lost reply can lead to several copies.
    pub id: Id,
    /// Generation that the text was edited from; 0 for the first publication.
    pub base: Generation,
    /// Operator who published it, at most [`MAX_AUTHOR_BYTES`] long.
    pub author: Box<str>,
    /// Configuration text.
    pub text: Box<str>,
}

/// The result of a prefix: after all records through `read_through`, `generation` is in force.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Checkpoint {
    /// [`FORMAT`] of the release that wrote it.
    pub format: u32,
    /// Generation in force; 0 if there is none, with an empty author and text.
    pub generation: Generation,
    /// Offset of the last record of the prefix.
    pub read_through: Offset,
    /// Operator who published the text in force.
    pub author: Box<str>,
    /// Text in force.
    pub text: Box<str>,
}

/// Result of decoding a record's bytes with this release.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum Decoded {
    Record(Record),
    /// A record of another release, in this format.
    Foreign(u32),
    /// Bytes that are no record of any release.
    Malformed,
}

#[derive(Deserialize)]
struct Envelope {
    format: u32,
}

impl Record {
    /// Encodes the record for the log.
    pub fn encode(&self) -> Vec<u8> {
        serde_json::to_vec(self).expect("a record has only texts and numbers")
    }

    /// Decodes a record. The format is decoded first, since other formats may have other fields.
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

/// Error for a text that is not 32 hexadecimal digits.
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
