//! Usage records of requests and of intervals of reserved capacity.

use entity::unit::{Cost, Tokens};
use entity::{name, request};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// Name of the stream that holds usage records.
pub const STREAM: &str = "usage";

/// Model version or route that ran a request or a step of it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Target {
    /// Version of a model.
    Version(name::Version),
    /// Route of a plain service, as method and path.
    Route(Box<str>),
}

/// One billable run at an upstream: a cascade step or a try.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Step {
    /// Model version or route that ran.
    pub target: Target,
    /// Upstream that ran it.
    pub upstream: name::Upstream,
    /// Number of prompt tokens.
    pub tokens_in: Tokens,
    /// Number of generated tokens.
    pub tokens_out: Tokens,
    /// Cost of the run.
    pub cost: Cost,
}

/// Usage of one request, over all its tries and cascade steps.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    /// Id of the request, by which duplicates are dropped.
    pub request: request::Id,
    /// Organisation that is billed.
    pub organisation: name::Organisation,
    /// Service that was requested.
    pub service: name::Service,
    /// Model version or route that gave the answer.
    pub target: Target,
    /// Billable runs; the one that gave the answer is last.
    pub steps: Vec<Step>,
    /// Organisation whose reserved capacity ran the request, if another organisation lent it.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lender: Option<name::Organisation>,
}

impl Record {
    /// Returns the billed cost, which is the sum over all steps.
    pub fn cost(&self) -> Cost {
        let mut cost = Cost(0);
        for step in &self.steps {
            cost += step.cost;
        }
        cost
    }

    /// Returns the numbers of prompt and generated tokens over all steps.
    pub fn tokens(&self) -> (Tokens, Tokens) {
        let mut tokens = (Tokens(0), Tokens(0));
        for step in &self.steps {
            tokens.0 += step.tokens_in;
            tokens.1 += step.tokens_out;
        }
        tokens
    }
}

/// Use of an instance's share of an organisation's reserved capacity over an interval.
///
/// Capacity is measured in slot milliseconds; a slot runs one request at a time.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Interval {
    /// Id of the interval, created at its end, by which duplicates are dropped.
    pub id: request::Id,
    /// Instance that reserved the capacity.
    pub writer: name::Instance,
    /// Organisation for which the capacity was reserved.
    pub organisation: name::Organisation,
    /// Length of the interval in milliseconds.
    pub length_ms: u64,
    /// Capacity used by the organisation itself, in slot milliseconds.
    pub used_ms: u64,
    /// Capacity lent to other organisations, in slot milliseconds.
    pub lent_ms: u64,
    /// Capacity that stayed idle, in slot milliseconds.
    pub idle_ms: u64,
}

/// One entry of the usage stream.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Entry {
    /// Usage of a request.
    Request(Record),
    /// Use of reserved capacity over an interval.
    Reserve(Interval),
    /// Entry of another release, which this one can't read.
    #[serde(skip)]
    Foreign,
}

impl Entry {
    /// Returns the id by which duplicates are dropped, or `None` for an entry of another release.
    pub fn id(&self) -> Option<request::Id> {
        match self {
            Self::Request(record) => Some(record.request),
            Self::Reserve(interval) => Some(interval.id),
            Self::Foreign => None,
        }
    }
}

/// Encodes one entry as a JSON value, as an element of a batch, which is a JSON array.
///
/// # Panics
///
/// Never panics: entries consist of text and numbers, which JSON can always represent.
pub fn encode_one(entry: &Entry) -> Vec<u8> {
    serde_json::to_vec(entry).expect("an entry serialises to JSON")
}

/// Encodes a batch as the data of one log record.
///
/// # Panics
///
/// Never panics: entries consist of text and numbers, which JSON can always represent.
pub fn encode(batch: &[Entry]) -> Vec<u8> {
    serde_json::to_vec(batch).expect("entries serialise to JSON")
}

/// Decodes the batch in one log record. Entries that this release can't read become
/// [`Entry::Foreign`], so that the other entries are still read.
///
/// # Errors
///
/// Returns an error if the bytes are not a JSON array.
pub fn decode(data: &[u8]) -> Result<Vec<Entry>, serde_json::Error> {
    let entries: Vec<&RawValue> = serde_json::from_slice(data)?;
    let entries = entries.into_iter().map(RawValue::get);
    let read = |entry| serde_json::from_str(entry).unwrap_or(Entry::Foreign);
    Ok(entries.map(read).collect())
}
