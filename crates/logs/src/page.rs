//! Records returned by a read.

use entity::Offset;
use serde::Deserialize;
use serde_with::base64::Base64;
use serde_with::serde_as;

/// One record of a stream.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Record {
    /// Position in the stream.
    pub offset: Offset,
    /// Time of the append by the log's clock, in milliseconds since the Unix epoch.
    pub time_ms: u64,
    /// Data of the record.
    #[serde_as(as = "Base64")]
    #[serde(rename = "data")]
    bytes: Vec<u8>,
}

impl Record {
    /// Creates a record, for fakes of the log in tests.
    pub fn new(offset: Offset, time_ms: u64, data: &[u8]) -> Self {
        Self {
            offset,
            time_ms,
            bytes: data.into(),
        }
    }

    /// Returns the data of the record.
    pub fn data(&self) -> &[u8] {
        &self.bytes
    }
}

/// Consecutive records of one stream.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct Page {
    /// Offset of the first retained record; equal to [`Page::next`] if none is retained.
    pub first: Offset,
    /// Offset that the next append to the stream will get.
    pub next: Offset,
    /// Records from the requested offset, or from `first` if that is later.
    pub records: Vec<Record>,
}

impl Page {
    /// Returns the offset to read from after this page, which was read from offset `from`.
    pub fn next_offset(&self, from: Offset) -> Offset {
        let start = from.max(self.first);
        self.records
            .last()
            .map_or(start, |record| record.offset.next())
    }
}
