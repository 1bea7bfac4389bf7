//! Finds requests whose body has an ambiguous length.
//!
//! hyper drops a `Content-Length` beside a chunked coding, as RFC 9112 allows a proxy to do. A router
//! that passes such a request on trusts its reading of the framing where another one may differ, so
//! the request is refused instead. The bytes of a connection pass through a [`Scanner`], which follows
//! the framing of each request and notes whether it was sound.

use std::collections::VecDeque;
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Longest line that is looked at; longer ones are no framing headers, and hyper bounds the head.
const LONGEST_LINE: usize = 8192;

/// Whether the framing of a request is sound.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The body has one length.
    Sound,
    /// The body's length is given in two ways, or in an unknown one.
    Ambiguous,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// In the request line and the headers.
    Head,
    /// In a body or chunk of which so many bytes are left; then the state after it.
    Skip { left: u64, chunked: bool },
    /// Before the size of a chunk.
    Size,
    /// In the trailers.
    Trailer,
    /// The framing can't be followed; hyper refuses what comes or ends the connection.
    Lost,
}

/// Follows the framing of the requests of one connection.
#[derive(Debug)]
pub struct Scanner {
    state: State,
    line: Vec<u8>,
    /// Whether the request line has been read.
    begun: bool,
    length: Option<Vec<u8>>,
    coding: Option<Vec<u8>>,
    ambiguous: bool,
}

impl Default for Scanner {
    fn default() -> Self {
        Self {
            state: State::Head,
            line: Vec::new(),
            begun: false,
            length: None,
            coding: None,
            ambiguous: false,
        }
    }
}

impl Scanner {
    /// Takes in the next bytes and returns the framing of each head that ended in them.
    pub fn scan(&mut self, mut bytes: &[u8]) -> Vec<Framing> {
        let mut ended = Vec::new();
        while !bytes.is_empty() {
            match self.state {
                State::Lost => return ended,
                State::Skip { left, chunked } => {
                    let step = left.min(bytes.len() as u64);
                    bytes = &bytes[step as usize..];
                    self.skipped(left - step, chunked);
                }
                State::Head | State::Size | State::Trailer => {
                    let Some(end) = bytes.iter().position(|byte| *byte == b'\n') else {
                        self.keep(bytes);
                        return ended;
                    };
                    self.keep(&bytes[..end]);
                    bytes = &bytes[end + 1..];
                    ended.extend(self.line());
                }
            }
        }
        ended
    }

    fn keep(&mut self, bytes: &[u8]) {
        let room = LONGEST_LINE - self.line.len();
        self.line.extend_from_slice(&bytes[..bytes.len().min(room)]);
    }

    fn skipped(&mut self, left: u64, chunked: bool) {
        self.state = match (left, chunked) {
            (0, true) => State::Size,
            (0, false) => State::Head,
            (left, chunked) => State::Skip { left, chunked },
        };
    }

    /// Takes in a line without its end.
    fn line(&mut self) -> Option<Framing> {
        let line = std::mem::take(&mut self.line);
        let line = line.strip_suffix(b"\r").unwrap_or(&line);
        match self.state {
            State::Head if line.is_empty() && self.begun => return Some(self.head_ended()),
            State::Head => self.header(line),
            State::Size => self.size(line),
            State::Trailer if line.is_empty() => self.state = State::Head,
            State::Trailer | State::Skip { .. } | State::Lost => {}
        }
        None
    }

    fn header(&mut self, line: &[u8]) {
        if !self.begun {
            // Empty lines before a request are skipped.
            self.begun = !line.is_empty();
            return;
        }
        let Some(colon) = line.iter().position(|byte| *byte == b':') else {
            return;
        };
        let (name, value) = (&line[..colon], line[colon + 1..].trim_ascii().to_vec());
        // A space before the colon hides a header from some parsers.
        if name.trim_ascii().len() != name.len() {
            self.ambiguous = true;
        }
        let name = name.trim_ascii();
        if name.eq_ignore_ascii_case(b"content-length") {
            self.ambiguous |= self.length.as_ref().is_some_and(|length| *length != value);
            self.length = Some(value);
        } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
            self.ambiguous |= self.coding.is_some() || !value.eq_ignore_ascii_case(b"chunked");
            self.coding = Some(value);
        }
    }

    fn head_ended(&mut self) -> Framing {
        let (length, coding) = (self.length.take(), self.coding.take());
        let ambiguous = std::mem::take(&mut self.ambiguous) || length.is_some() && coding.is_some();
        self.begun = false;
        if ambiguous {
            self.state = State::Lost;
            return Framing::Ambiguous;
        }
        if coding.is_some() {
            self.state = State::Size;
            return Framing::Sound;
        }
        let digits = length.unwrap_or_else(|| b"0".to_vec());
        let digits = std::str::from_utf8(&digits).unwrap_or_default();
        match digits.parse::<u64>() {
            Ok(left) => self.skipped(left, false),
            Err(_) => self.state = State::Lost,
        }
        Framing::Sound
    }

    fn size(&mut self, line: &[u8]) {
        let text = std::str::from_utf8(line).unwrap_or_default();
        let digits = text.split(';').next().unwrap_or_default().trim();
        self.state = match u64::from_str_radix(digits, 16) {
            Ok(0) => State::Trailer,
            // The line end after the chunk's bytes is skipped with them.
            Ok(size) => State::Skip {
                left: size.saturating_add(2),
                chunked: true,
            },
            Err(_) => State::Lost,
        };
    }
}

/// The framing of requests whose head has arrived and which are not taken up yet.
#[derive(Clone, Debug, Default)]
pub struct Ledger {
    framings: Arc<Mutex<VecDeque<Framing>>>,
}

impl Ledger {
    /// The framing of the next request.
    pub fn next(&self) -> Framing {
        let mut framings = self.framings.lock().unwrap_or_else(PoisonError::into_inner);
        framings.pop_front().unwrap_or(Framing::Sound)
    }

    fn note(&self, ended: Vec<Framing>) {
        let mut framings = self.framings.lock().unwrap_or_else(PoisonError::into_inner);
        framings.extend(ended);
    }
}

/// A connection whose requests are scanned as they are read.
#[derive(Debug)]
pub struct Scanned<S> {
    stream: S,
    scanner: Scanner,
    ledger: Ledger,
}

impl<S> Scanned<S> {
    /// Scans what is read from a connection, and notes it in a ledger.
    pub fn new(stream: S, ledger: Ledger) -> Self {
        Self {
            stream,
            scanner: Scanner::default(),
            ledger,
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Scanned<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = Pin::new(&mut self.stream).poll_read(context, buffer);
        if read.is_ready() {
            let ended = self.scanner.scan(&buffer.filled()[before..]);
            if !ended.is_empty() {
                self.ledger.note(ended);
            }
        }
        read
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Scanned<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, bytes)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
