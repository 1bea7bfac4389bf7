//! What is recorded for each request and for each interval of reserved capacity.

use entity::unit::{Cost, Tokens};
use entity::{name, request};
use serde::{Deserialize, Serialize};
use serde_json::value::RawValue;

/// The stream that holds usage.
pub const STREAM: &str = "usage";

/// What answered a request or ran a step of it.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Target {
    /// A version of a model.
    Version(name::Version),
    /// A route of a plain service, as method and path.
    Route(Box<str>),
}

/// One run at an upstream that cost something: a cascade step or a try.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Step {
    /// What ran.
    pub target: Target,
    /// Where it ran.
    pub upstream: name::Upstream,
    /// Tokens of prompt.
    pub tokens_in: Tokens,
    /// Generated tokens.
    pub tokens_out: Tokens,
    /// What the run cost.
    pub cost: Cost,
}

/// The usage of one request, whatever its tries and cascade steps.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Record {
    /// The request, by which duplicates are dropped.
    pub request: request::Id,
    /// Who is billed.
    pub organisation: name::Organisation,
    /// What was asked for.
    pub service: name::Service,
    /// What answered.
    pub target: Target,
    /// Runs that cost something, the answering one last.
    pub steps: Vec<Step>,
    /// Whose reserved capacity ran it, where that was lent by another organisation.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub lender: Option<name::Organisation>,
}

impl Record {
    /// What is billed: the cost of all steps.
    pub fn cost(&self) -> Cost {
        let mut cost = Cost(0);
        for step in &self.steps {
            cost += step.cost;
        }
        cost
    }

    /// Tokens of prompt and generated tokens, over all steps.
    pub fn tokens(&self) -> (Tokens, Tokens) {
        let mut tokens = (Tokens(0), Tokens(0));
        for step in &self.steps {
            tokens.0 += step.tokens_in;
            tokens.1 += step.tokens_out;
        }
        tokens
    }
}

/// How an instance's part of an organisation's reserved capacity was used over an interval.
///
/// Capacity is in milliseconds of one slot, a request at once.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Interval {
    /// The interval, by which duplicates are dropped; made at its end.
    pub id: request::Id,
    /// The instance that kept the capacity.
    pub writer: name::Instance,
    /// Who asked for the capacity to be reserved.
    pub organisation: name::Organisation,
    /// Length of the interval in milliseconds.
    pub length_ms: u64,
    /// Used by the organisation itself, in slot milliseconds.
    pub used_ms: u64,
    /// Lent to other organisations, in slot milliseconds.
    pub lent_ms: u64,
    /// Kept free, in slot milliseconds.
    pub idle_ms: u64,
}

/// One record of the usage stream.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Entry {
    /// A request.
    Request(Record),
    /// An interval of reserved capacity.
    Reserve(Interval),
    /// An entry of another release.
    #[serde(skip)]
    Foreign,
}

impl Entry {
    /// The id by which duplicates are dropped; `None` for an entry of another release.
    pub fn id(&self) -> Option<request::Id> {
        match self {
            Self::Request(record) => Some(record.request),
            Self::Reserve(interval) => Some(interval.id),
            Self::Foreign => None,
        }
    }
}

/// One entry as a JSON value, to be put into a batch, which is a JSON array.
///
/// # Panics
///
/// Never: entries consist of text and numbers, which JSON can always hold.
pub fn encode_one(entry: &Entry) -> Vec<u8> {
    serde_json::to_vec(entry).expect("an entry serialises to JSON")
}

/// The bytes of one log record that holds a batch.
///
/// # Panics
///
/// Never: entries consist of text and numbers, which JSON can always hold.
pub fn encode(batch: &[Entry]) -> Vec<u8> {
    serde_json::to_vec(batch).expect("entries serialise to JSON")
}

/// The batch in one log record. Entries that this release can't read are
/// [foreign](Entry::Foreign), so that they don't hide the others.
///
/// # Errors
///
/// The bytes are not an array.
pub fn decode(data: &[u8]) -> Result<Vec<Entry>, serde_json::Error> {
    let entries: Vec<&RawValue> = serde_json::from_slice(data)?;
    let entries = entries.into_iter().map(RawValue::get);
    let read = |entry| serde_json::from_str(entry).unwrap_or(Entry::Foreign);
    Ok(entries.map(read).collect())
}
