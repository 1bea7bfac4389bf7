//! What attempts append to a stream of claims.

use crate::digest::Digest;
use crate::key::{Key, Sending};
use entity::{name, request};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;
use std::collections::BTreeMap;

/// Longest response body that an outcome keeps, in bytes.
pub const MAX_BODY_BYTES: usize = 4 * 1024;

/// An attempt wants to run the operation of a key.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Claim {
    /// The operation.
    pub key: Key,
    /// The attempt, by the id of its request.
    pub attempt: request::Id,
    /// Which sending of the key the attempt is.
    pub sending: Sending,
    /// The instance that handles the attempt.
    pub instance: name::Instance,
    /// Digest of the request, which must be the same for all attempts.
    pub fingerprint: Digest,
}

/// An attempt will never dispatch.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Release {
    /// The operation.
    pub key: Key,
    /// The attempt.
    pub attempt: request::Id,
    /// Sendings up to this one can't win after the release, unless the caller doesn't number them.
    pub sending: Sending,
}

/// What the operation answered.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Outcome {
    /// The operation.
    pub key: Key,
    /// The attempt that ran it.
    pub attempt: request::Id,
    /// Digest of the request that ran.
    pub fingerprint: Digest,
    /// The answer, for repeats.
    pub answer: Answer,
}

/// The part of an HTTP answer that is kept for repeats.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Answer {
    /// The HTTP status.
    pub status: u16,
    /// The media type, empty if there was none.
    pub content_type: Box<str>,
    /// Digest of the whole body.
    pub digest: Digest,
    /// The body; `None` where it was longer than [`MAX_BODY_BYTES`] or not text.
    pub body: Option<Box<str>>,
}

impl Answer {
    /// Keeps an answer, with its body only if that is short text.
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

/// One record of a stream of claims.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Record {
    /// An attempt wants to run.
    Claim(Claim),
    /// An attempt will never run.
    Release(Release),
    /// An attempt ran and was answered.
    Outcome(Outcome),
    /// A record of another release, of which only the operation is known.
    #[serde(skip)]
    Foreign(Key),
}

impl Record {
    /// The operation that the record is about.
    pub fn key(&self) -> Key {
        match self {
            Self::Claim(claim) => claim.key,
            Self::Release(release) => release.key,
            Self::Outcome(outcome) => outcome.key,
            Self::Foreign(key) => *key,
        }
    }
}

/// One record as a JSON value, to be put into a batch, which is a JSON array.
///
/// # Panics
///
/// Never: records consist of text and numbers, which JSON can always hold.
pub fn encode_one(record: &Record) -> Vec<u8> {
    serde_json::to_vec(record).expect("a record serialises to JSON")
}

/// The bytes of one log record that holds a batch.
///
/// # Panics
///
/// Never: records consist of text and numbers, which JSON can always hold.
pub fn encode(batch: &[Record]) -> Vec<u8> {
    serde_json::to_vec(batch).expect("records serialise to JSON")
}

/// What all releases have in common: an object with one field, whose value bears the key.
#[derive(Deserialize)]
struct Bare {
    key: Key,
}

/// The batch in one log record.
///
/// An entry that this release can't read but whose operation is known is
/// [foreign](Record::Foreign), so that no claim is passed over while releases are mixed.
///
/// # Errors
///
/// The bytes are no batch of any release: not an array, or an entry bears no key.
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
        let fields: BTreeMap<Box<str>, Bare> = serde_json::from_str(entry.get())?;
        let bare = fields.into_values().next();
        let bare = bare.ok_or_else(|| serde::de::Error::custom("an entry without a key"))?;
        return Ok(Record::Foreign(bare.key));
    };
    Ok(record)
}
