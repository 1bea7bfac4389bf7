//! Orders for engines and their records on the log.

use entity::{Offset, name, request};
use serde::{Deserialize, Serialize};
use std::fmt;

/// Name of the log stream that holds orders.
pub const STREAM: &str = "orders";

/// Number of low bits of a fence that hold the index of an order in its batch. The other bits hold
/// the offset of the batch.
const BATCH_INDEX_BITS: u32 = 12;

/// Maximum number of orders in one log record.
pub const MAX_BATCH_ORDERS: usize = 1 << BATCH_INDEX_BITS;

/// Fencing token of an order: its position on the log, which increases with each order.
///
/// For offsets below 2^41 it is an integer below 2^53, which every JSON parser represents exactly.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fence(u64);

impl Fence {
    /// Returns the fence of the order at `index` in the batch at `offset`.
    ///
    /// # Panics
    ///
    /// Panics if `index` is not below [`MAX_BATCH_ORDERS`].
    pub fn new(offset: Offset, index: usize) -> Self {
        assert!(
            index < MAX_BATCH_ORDERS,
            "a batch holds at most {MAX_BATCH_ORDERS}"
        );
        Self((offset.0 << BATCH_INDEX_BITS) | index as u64)
    }

    /// Returns the number that is sent to engines.
    pub fn number(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Fence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// Command to an engine.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Command {
    /// Load a version. The engine fetches its weights from the weight store.
    Load(name::Version),
    /// Unload a version.
    Unload(name::Version),
}

impl Command {
    /// Returns the version to load or unload.
    pub fn version(&self) -> &name::Version {
        match self {
            Self::Load(version) | Self::Unload(version) => version,
        }
    }

    /// Returns whether an engine that has loaded `versions`, which are sorted, is in the state that
    /// the command requests.
    pub fn is_satisfied(&self, versions: &[name::Version]) -> bool {
        let present = versions.binary_search(self.version()).is_ok();
        match self {
            Self::Load(_) => present,
            Self::Unload(_) => !present,
        }
    }
}

/// An order for one engine.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Order {
    /// Id of the order; copies of an order have the same id.
    pub id: request::Id,
    /// Upstream whose engine receives the order.
    pub upstream: name::Upstream,
    /// Command to the engine.
    pub command: Command,
}

/// A record of the stream of orders.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Record {
    /// An order was issued.
    Order(Order),
    /// An engine reported the state that an order requests.
    Done {
        /// Id of the order.
        id: request::Id,
        /// Upstream of the engine.
        upstream: name::Upstream,
    },
}

/// Encodes one record as a JSON value. A batch is a JSON array of such values.
///
/// # Panics
///
/// Never panics: records consist of text and numbers, which JSON can always represent.
pub fn encode_one(record: &Record) -> Vec<u8> {
    serde_json::to_vec(record).expect("a record serialises to JSON")
}

/// Decodes the batch in one log record.
///
/// # Errors
///
/// Returns an error if `data` is not a JSON array of records.
pub fn decode(data: &[u8]) -> Result<Vec<Record>, serde_json::Error> {
    serde_json::from_slice(data)
}
