//! Frames in which a carrier forwards the bytes of an upstream.
//!
//! A frame is a length of two bytes and as many bytes of the upstream. An empty frame marks the end of the
//! upstream's connection. The system closes the connections of a process that has ended, so that the end of
//! the carrier's connection alone is not that of the upstream's.

/// Length of a frame's header.
pub const HEADER_BYTES: usize = 2;
/// The frame that marks the end of the upstream's connection.
pub const END: [u8; HEADER_BYTES] = [0; HEADER_BYTES];

/// Returns the header of a frame with so many bytes; `None` if they are too many for one.
pub fn header(length: usize) -> Option<[u8; HEADER_BYTES]> {
    u16::try_from(length).ok().map(u16::to_be_bytes)
}

/// Decodes frames that arrive in parts.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Decoder {
    state: State,
}

#[derive(Clone, Debug, PartialEq, Eq)]
enum State {
    /// A header begins.
    Header,
    /// The first byte of a header has arrived.
    HalfHeader(u8),
    /// So many bytes of a frame are still to come.
    Payload(usize),
    /// The end of the upstream's connection was marked.
    Ended,
}

/// Parts of the input that were decoded: bytes to skip, then bytes of the upstream.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Decoded {
    /// Number of bytes of headers.
    pub skipped: usize,
    /// Number of bytes of the upstream that follow them.
    pub payload: usize,
}

/// The connection ended before the end of the upstream's was marked.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the carrier's connection ended before its upstream's")]
pub struct Cut;

impl Default for Decoder {
    fn default() -> Self {
        Self {
            state: State::Header,
        }
    }
}

impl Decoder {
    /// Decodes the next bytes, of which at most `room` are taken as bytes of the upstream.
    pub fn decode(&mut self, input: &[u8], room: usize) -> Decoded {
        let mut skipped = 0;
        for &byte in input {
            self.state = match self.state {
                State::Header => State::HalfHeader(byte),
                State::HalfHeader(first) => match u16::from_be_bytes([first, byte]) {
                    0 => State::Ended,
                    length => State::Payload(usize::from(length)),
                },
                State::Payload(_) | State::Ended => break,
            };
            skipped += 1;
        }
        let State::Payload(left) = self.state else {
            return Decoded {
                skipped,
                payload: 0,
            };
        };
        let payload = left.min(input.len() - skipped).min(room);
        self.state = match left - payload {
            0 => State::Header,
            left => State::Payload(left),
        };
        Decoded { skipped, payload }
    }

    /// Returns whether the end of the upstream's connection was marked.
    pub fn has_ended(&self) -> bool {
        self.state == State::Ended
    }

    /// Records the end of the carrier's connection.
    ///
    /// # Errors
    ///
    /// Returns an error if the end of the upstream's connection wasn't marked before.
    pub fn close(&self) -> Result<(), Cut> {
        if self.has_ended() { Ok(()) } else { Err(Cut) }
    }
}
