//! Orders and their records on the log.

use entity::{Offset, name, request};
use serde::{Deserialize, Serialize};
use std::fmt;

/// The stream that holds orders.
pub const STREAM: &str = "orders";

/// Bits of a fence for the place of an order in its batch; the rest are the offset.
const BATCH_BITS: u32 = 12;

/// Orders that one log record holds at most.
pub const BATCH_ORDERS: usize = 1 << BATCH_BITS;

/// The fencing number of an order: its position on the log, which grows with each order.
///
/// It is a whole number below 2^53 for offsets below 2^41, so that any JSON reader holds it
/// exactly.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(transparent)]
pub struct Fence(u64);

impl Fence {
    /// The fence of the order at an index of the batch at an offset.
    ///
    /// # Panics
    ///
    /// If the batch is larger than [`BATCH_ORDERS`].
    pub fn new(offset: Offset, index: usize) -> Self {
        assert!(index < BATCH_ORDERS, "a batch holds at most {BATCH_ORDERS}");
        Self((offset.0 << BATCH_BITS) | index as u64)
    }

    /// The number as engines are given it.
    pub fn number(self) -> u64 {
        self.0
    }
}

impl fmt::Display for Fence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.fmt(f)
    }
}

/// What an engine is told to do.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Command {
    /// Load a version, whose weights come from the weight store.
    Load(name::Version),
    /// Unload a version.
    Unload(name::Version),
}

impl Command {
    /// The version that the command is about.
    pub fn version(&self) -> &name::Version {
        match self {
            Self::Load(version) | Self::Unload(version) => version,
        }
    }

    /// Whether an engine with these versions, sorted, is in the state that the command asks for.
    pub fn is_satisfied(&self, versions: &[name::Version]) -> bool {
        let present = versions.binary_search(self.version()).is_ok();
        match self {
            Self::Load(_) => present,
            Self::Unload(_) => !present,
        }
    }
}

/// An order to one engine.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct Order {
    /// The order, by which copies are dropped.
    pub id: request::Id,
    /// The engine.
    pub upstream: name::Upstream,
    /// What it is told to do.
    pub command: Command,
}

/// One record of the stream of orders.
#[derive(Clone, Debug, PartialEq, Eq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Record {
    /// An order was given.
    Order(Order),
    /// An engine was seen in the state that an order asks for.
    Done {
        /// The order.
        id: request::Id,
        /// The engine.
        upstream: name::Upstream,
    },
}

/// One record as a JSON value, to be put into a batch, which is a JSON array.
///
/// # Panics
///
/// Never: records consist of text and numbers, which JSON can always hold.
pub fn encode_one(record: &Record) -> Vec<u8> {
    serde_json::to_vec(record).expect("a record serialises to JSON")
}

/// The batch in one log record.
///
/// # Errors
///
/// The bytes are not a batch of records.
pub fn decode(data: &[u8]) -> Result<Vec<Record>, serde_json::Error> {
    serde_json::from_slice(data)
}
