//! Records that attempts append to a claims stream.

use crate::digest::Digest;
use crate::key::{AttemptNumber, Key};
use entity::{name, request};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::collections::BTreeMap;

/// Maximum length of a response body that an outcome stores, in bytes.
pub const MAX_BODY_BYTES: usize = 4 * 1024;

/// An attempt claims the right to run the operation of a key.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Claim {
    /// Key of the operation.
    pub key: Key,
    /// Request id of the attempt.
    pub attempt: request::Id,
    /// Attempt number that the caller states.
    #[serde(rename = "sending")]
    pub attempt_number: AttemptNumber,
    /// Instance that handles the attempt.
    pub instance: name::Instance,
    /// Digest of the request, which must be the same for all attempts of a key.
    pub fingerprint: Digest,
}

/// Releases a key: the attempt will never be dispatched.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Release {
    /// Key of the operation.
    pub key: Key,
    /// Request id of the attempt.
    pub attempt: request::Id,
    /// Attempts up to this number can't win after the release, unless the caller doesn't number
    /// them.
    #[serde(rename = "sending")]
    pub attempt_number: AttemptNumber,
}

/// The stored response of an operation.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Outcome {
    /// Key of the operation.
    pub key: Key,
    /// Request id of the attempt that ran it.
    pub attempt: request::Id,
    /// Digest of the request that ran.
    pub fingerprint: Digest,
    /// Response to return to repeated attempts.
    pub answer: Answer,
}

/// The part of an HTTP response that is stored for repeated attempts.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Answer {
    /// HTTP status code.
    pub status: u16,
    /// Media type; empty if there was none.
    pub content_type: Box<str>,
    /// Digest of the complete body.
    pub digest: Digest,
    /// Body; `None` if it was longer than [`MAX_BODY_BYTES`] or not UTF-8 text.
    pub body: Option<Box<str>>,
}

impl Answer {
    /// Creates a stored response. The body is kept only if it is short text.
    pub fn new(status: u16, content_type: &str, body: &[u8]) -> Self {
        let short = body.len() <= MAX_BODY_BYTES;
        let text = std::str::from_utf8(body).ok().filter(|_| short);
        Self {
            status,
            content_type: content_type.into(),
            digest: Digest::of(&[body]),
            body: text.map(Into::into),
        }
    }
}

/// One record of a claims stream.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Record {
    /// An attempt claims a key.
    Claim(Claim),
    /// An attempt releases its key and will never run.
    Release(Release),
    /// An attempt ran and was answered.
    Outcome(Outcome),
    /// A record of another release, of which only the key can be decoded.
    #[serde(skip)]
    Foreign(Key),
}

impl Record {
    /// Returns the key of the operation that the record concerns.
    pub fn key(&self) -> Key {
        match self {
            Self::Claim(claim) => claim.key,
            Self::Release(release) => release.key,
            Self::Outcome(outcome) => outcome.key,
            Self::Foreign(key) => *key,
        }
    }
}

/// Encodes one record as a JSON value, an element of the JSON array that is a batch.
///
/// # Panics
///
/// Never: records consist of text and numbers, which JSON can always represent.
pub fn encode_one(record: &Record) -> Vec<u8> {
    serde_json::to_vec(record).expect("a record serialises to JSON")
}

/// Encodes a batch as the bytes of one log record.
///
/// # Panics
///
/// Never: records consist of text and numbers, which JSON can always represent.
pub fn encode(batch: &[Record]) -> Vec<u8> {
    serde_json::to_vec(batch).expect("records serialise to JSON")
}

/// The part that the records of all releases have in common: an object with one field, whose value
/// contains the key.
#[derive(Deserialize)]
struct KeyOnly {
    key: Key,
}

/// Decodes the batch of one log record.
///
/// An entry that this release can't decode but whose key is readable becomes
/// [foreign](Record::Foreign), so that no claim is ignored while instances run different releases.
///
/// # Errors
///
/// Fails if the bytes are no batch of any release: not an array, or an entry without a key.
pub fn decode(data: &[u8]) -> Result<Vec<Record>, serde_json::Error> {
    let entries: Vec<&RawValue> = serde_json::from_slice(data)?;
    let mut batch = Vec::with_capacity(entries.len());
    for entry in entries {
        batch.push(decode_one(entry)?);
    }
    Ok(batch)
}

fn decode_one(entry: &RawValue) -> Result<Record, serde_json::Error> {
    let Ok(record) = serde_json::from_str(entry.get()) else {
        let fields: BTreeMap<Box<str>, KeyOnly> = serde_json::from_str(entry.get())?;
        let key_only = fields.into_values().next();
        let key_only =
            key_only.ok_or_else(|| serde::de::Error::custom("an entry without a key"))?;
        return Ok(Record::Foreign(key_only.key));
    };
    Ok(record)
}
