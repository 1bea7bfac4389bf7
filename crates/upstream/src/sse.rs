//! Parser for the subset of server-sent events that chat completions use: `data:` lines between blank
//! lines.

/// Largest event.
const MAX_EVENT_BYTES: usize = 1 << 20;

/// Splits a byte stream into the data of its events.
#[derive(Debug, Default)]
pub(crate) struct Splitter {
    buffer: Vec<u8>,
    /// Number of leading bytes of the buffer that hold no line end.
    scanned: usize,
    data: Vec<u8>,
}

/// Error for an event that is too long.
#[derive(Debug, PartialEq, Eq)]
pub(crate) struct Oversize;

impl Splitter {
    /// Appends received bytes.
    pub(crate) fn push(&mut self, bytes: &[u8]) -> Result<(), Oversize> {
        self.buffer.extend_from_slice(bytes);
        if self.buffer.len() + self.data.len() > 2 * MAX_EVENT_BYTES {
            return Err(Oversize);
        }
        Ok(())
    }

    /// Returns the data of the next complete event, if there is one.
    pub(crate) fn next(&mut self) -> Option<Vec<u8>> {
        while let Some(line) = self.next_line() {
            if line.is_empty() {
                if self.data.is_empty() {
                    continue;
                }
                return Some(std::mem::take(&mut self.data));
            }
            let Some(value) = line.strip_prefix(b"data:") else {
                continue;
            };
            if !self.data.is_empty() {
                self.data.push(b'\n');
            }
            self.data
                .extend_from_slice(value.strip_prefix(b" ").unwrap_or(value));
        }
        None
    }

    /// Removes and returns the next complete line, without its end.
    fn next_line(&mut self) -> Option<Vec<u8>> {
        let unscanned = &self.buffer[self.scanned..];
        let Some(position) = unscanned.iter().position(|byte| *byte == b'\n') else {
            self.scanned = self.buffer.len();
            return None;
        };
        let end = self.scanned + position;
        let rest = self.buffer.split_off(end + 1);
        let mut line = std::mem::replace(&mut self.buffer, rest);
        self.scanned = 0;
        line.pop();
        if line.last() == Some(&b'\r') {
            line.pop();
        }
        Some(line)
    }
}
