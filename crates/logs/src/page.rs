//! What a read returns.

use entity::Offset;
use serde::Deserialize;
use serde_with::base64::Base64;
use serde_with::serde_as;

/// One record of a stream.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Record {
    /// Its position.
    pub offset: Offset,
    /// When the log took it, in milliseconds since the Unix epoch by the log's clock.
    pub time_ms: u64,
    /// What was appended.
    #[serde_as(as = "Base64")]
    #[serde(rename = "data")]
    bytes: Vec<u8>,
}

impl Record {
    /// A record, for fakes of the log.
    pub fn new(offset: Offset, time_ms: u64, data: &[u8]) -> Self {
        Self {
            offset,
            time_ms,
            bytes: data.into(),
        }
    }

    /// What was appended.
    pub fn data(&self) -> &[u8] {
        &self.bytes
    }
}

/// A run of records of one stream, without gaps.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct Page {
    /// The first record that the log retains; [`Page::next`] where it retains none.
    pub first: Offset,
    /// The offset that the next append to the stream will get.
    pub next: Offset,
    /// The records from the offset that was asked for, or from `first` if that is later.
    pub records: Vec<Record>,
}

impl Page {
    /// The offset to read from after this page.
    pub fn resume(&self, from: Offset) -> Offset {
        let start = from.max(self.first);
        self.records
            .last()
            .map_or(start, |record| record.offset.next())
    }
}
