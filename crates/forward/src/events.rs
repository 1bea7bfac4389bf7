//! Splits a stream of server-sent events into whole events.

use bytes::{Bytes, BytesMut};

/// Keeps what has arrived of an event that is not whole yet.
#[derive(Debug, Default)]
pub struct Splitter {
    rest: BytesMut,
    last: Option<u64>,
}

impl Splitter {
    /// Takes in bytes and returns the whole events that they end, as they arrived.
    pub fn push(&mut self, bytes: &[u8]) -> Option<Bytes> {
        // The blank line that ends an event may be split over two pieces.
        let from = self.rest.len().saturating_sub(1);
        self.rest.extend_from_slice(bytes);
        let end = last_boundary(&self.rest[from..])? + from;
        let whole = self.rest.split_to(end).freeze();
        for line in whole.split(|byte| *byte == b'\n') {
            if let Some(id) = event_id(line) {
                self.last = Some(id);
            }
        }
        Some(whole)
    }

    /// The id of the last whole event.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Whether no part of an event is kept.
    pub fn is_empty(&self) -> bool {
        self.rest.is_empty()
    }
}

/// The end of the last blank line.
fn last_boundary(bytes: &[u8]) -> Option<usize> {
    let found = bytes.windows(2).rposition(|pair| pair == b"\n\n");
    found.map(|index| index + 2)
}

fn event_id(line: &[u8]) -> Option<u64> {
    let value = line.strip_prefix(b"id:")?;
    std::str::from_utf8(value).ok()?.trim().parse().ok()
}
