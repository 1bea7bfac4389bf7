//! Framing of server-sent event streams.

use bytes::{Bytes, BytesMut};

/// Largest incomplete event.
const MAX_EVENT_BYTES: usize = 256 << 10;

/// Splits a byte stream into complete events and buffers an incomplete one.
#[derive(Debug, Default)]
pub struct Splitter {
    buffer: BytesMut,
    last: Option<u64>,
    count: usize,
}

impl Splitter {
    /// Appends bytes and returns the events that are now complete, byte for byte.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        // The blank line that ends an event may be split over two chunks.
        let from = self.buffer.len().saturating_sub(1);
        self.buffer.extend_from_slice(bytes);
        let end = last_boundary(&self.buffer[from..])? + from;
        let whole = self.buffer.split_to(end).freeze();
        for line in whole.split(|byte| *byte == b'\n') {
            if let Some(id) = event_id(line) {
                self.last = Some(id);
                self.count += 1;
            }
        }
        Some(whole)
    }

    /// Returns the id of the last complete event that had one.
    pub fn last_event_id(&self) -> Option<u64> {
        self.last
    }

    /// Returns the number of complete events that had an id.
    pub fn count(&self) -> usize {
        self.count
    }

    /// Returns whether the incomplete event is too long to be one.
    pub fn is_oversized(&self) -> bool {
        self.buffer.len() > MAX_EVENT_BYTES
    }

    /// Returns whether no incomplete event is buffered.
    pub fn is_empty(&self) -> bool {
        self.buffer.is_empty()
    }
}

/// Returns the index after the last blank line.
fn last_boundary(bytes: &[u8]) -> Option<usize> {
    let found = bytes.windows(2).rposition(|pair| pair == b"\n\n");
    found.map(|index| index + 2)
}

fn event_id(line: &[u8]) -> Option<u64> {
    let value = line.strip_prefix(b"id:")?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
