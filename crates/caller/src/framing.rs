//! Detection of requests whose body length is ambiguous.
//!
//! hyper drops a `Content-Length` beside a chunked coding, as RFC 9112 allows a proxy to do. If a
//! router forwarded such a request, a parser behind it could frame the bytes differently (request
//! smuggling), so the request is refused instead. The bytes of a connection pass through a
//! [`Scanner`], which tracks the framing of each request and records whether it was unambiguous.

use std::collections::VecDeque;
use std::io;
use std::pin::Pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::task::{Context, Poll};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Bytes of a line that are examined; the rest is ignored. A longer line is not a framing header, and
/// hyper bounds the size of the head.
const MAX_LINE_BYTES: usize = 8192;

/// Whether the body of a request has exactly one length.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// The head gives one length, or none.
    Unambiguous,
    /// The head gives the length in two ways, or in an unknown way.
    Ambiguous,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Inside the request line or the headers.
    Head,
    /// Inside a body or chunk with `remaining` bytes to skip.
    Skip { remaining: u64, chunked: bool },
    /// Before the line with the size of a chunk.
    ChunkSize,
    /// Inside the trailers.
    Trailer,
    /// The framing can't be parsed; hyper refuses the request or closes the connection.
    Unparsable,
}

/// Tracks the framing of the requests on one connection.
#[derive(Debug)]
pub struct Scanner {
    state: State,
    line: Vec<u8>,
    /// Whether the request line has been read.
    in_headers: bool,
    content_length: Option<Vec<u8>>,
    transfer_encoding: Option<Vec<u8>>,
    ambiguous: bool,
}

impl Default for Scanner {
    fn default() -> Self {
        Self {
            state: State::Head,
            line: Vec::new(),
            in_headers: false,
            content_length: None,
            transfer_encoding: None,
            ambiguous: false,
        }
    }
}

impl Scanner {
    /// Scans the next bytes and returns the framing of each head that they complete.
    pub fn scan(&mut self, mut bytes: &[u8]) -> Vec<Framing> {
        let mut ended = Vec::new();
        while !bytes.is_empty() {
            match self.state {
                State::Unparsable => return ended,
                State::Skip { remaining, chunked } => {
                    let step = remaining.min(bytes.len() as u64);
                    bytes = &bytes[step as usize..];
                    self.set_remaining(remaining - step, chunked);
                }
                State::Head | State::ChunkSize | State::Trailer => {
                    let Some(end) = bytes.iter().position(|byte| *byte == b'\n') else {
                        self.append_to_line(bytes);
                        return ended;
                    };
                    self.append_to_line(&bytes[..end]);
                    bytes = &bytes[end + 1..];
                    ended.extend(self.end_line());
                }
            }
        }
        ended
    }

    fn append_to_line(&mut self, bytes: &[u8]) {
        let room = MAX_LINE_BYTES - self.line.len();
        self.line.extend_from_slice(&bytes[..bytes.len().min(room)]);
    }

    fn set_remaining(&mut self, remaining: u64, chunked: bool) {
        self.state = match (remaining, chunked) {
            (0, true) => State::ChunkSize,
            (0, false) => State::Head,
            (remaining, chunked) => State::Skip { remaining, chunked },
        };
    }

    /// Processes a complete line; returns the framing if the line ends a head.
    fn end_line(&mut self) -> Option<Framing> {
        let line = std::mem::take(&mut self.line);
        let line = line.strip_suffix(b"\r").unwrap_or(&line);
        match self.state {
            State::Head if line.is_empty() && self.in_headers => return Some(self.finish_head()),
            State::Head => self.parse_header(line),
            State::ChunkSize => self.parse_chunk_size(line),
            State::Trailer if line.is_empty() => self.state = State::Head,
            State::Trailer | State::Skip { .. } | State::Unparsable => {}
        }
        None
    }

    fn parse_header(&mut self, line: &[u8]) {
        if !self.in_headers {
            // Empty lines before a request line are skipped.
            self.in_headers = !line.is_empty();
            return;
        }
        let Some(colon) = line.iter().position(|byte| *byte == b':') else {
            return;
        };
        let (name, value) = (&line[..colon], line[colon + 1..].trim_ascii().to_vec());
        // Some parsers ignore a header that has a space before the colon.
        if name.trim_ascii().len() != name.len() {
            self.ambiguous = true;
        }
        let name = name.trim_ascii();
        if name.eq_ignore_ascii_case(b"content-length") {
            self.ambiguous |= self
                .content_length
                .as_ref()
                .is_some_and(|content_length| *content_length != value);
            self.content_length = Some(value);
        } else if name.eq_ignore_ascii_case(b"transfer-encoding") {
            self.ambiguous |=
                self.transfer_encoding.is_some() || !value.eq_ignore_ascii_case(b"chunked");
            self.transfer_encoding = Some(value);
        }
    }

    fn finish_head(&mut self) -> Framing {
        let (content_length, transfer_encoding) =
            (self.content_length.take(), self.transfer_encoding.take());
        let ambiguous = std::mem::take(&mut self.ambiguous)
            || content_length.is_some() && transfer_encoding.is_some();
        self.in_headers = false;
        if ambiguous {
            self.state = State::Unparsable;
            return Framing::Ambiguous;
        }
        if transfer_encoding.is_some() {
            self.state = State::ChunkSize;
            return Framing::Unambiguous;
        }
        let digits = content_length.unwrap_or_else(|| b"0".to_vec());
        let digits = std::str::from_utf8(&digits).unwrap_or_default();
        match digits.parse::<u64>() {
            Ok(remaining) => self.set_remaining(remaining, false),
            Err(_) => self.state = State::Unparsable,
        }
        Framing::Unambiguous
    }

    fn parse_chunk_size(&mut self, line: &[u8]) {
        let text = std::str::from_utf8(line).unwrap_or_default();
        let digits = text.split(';').next().unwrap_or_default().trim();
        self.state = match u64::from_str_radix(digits, 16) {
            Ok(0) => State::Trailer,
            // The line end after the chunk is skipped with the chunk.
            Ok(size) => State::Skip {
                remaining: size.saturating_add(2),
                chunked: true,
            },
            Err(_) => State::Unparsable,
        };
    }
}

/// Framings of requests whose head has been scanned but which are not being served yet, in order.
#[derive(Clone, Debug, Default)]
pub struct FramingQueue {
    framings: Arc<Mutex<VecDeque<Framing>>>,
}

impl FramingQueue {
    /// Removes and returns the framing of the next request.
    pub fn next(&self) -> Framing {
        let mut framings = self.framings.lock().unwrap_or_else(PoisonError::into_inner);
        framings.pop_front().unwrap_or(Framing::Unambiguous)
    }

    fn push_all(&self, ended: Vec<Framing>) {
        let mut framings = self.framings.lock().unwrap_or_else(PoisonError::into_inner);
        framings.extend(ended);
    }
}

/// Stream that scans the framing of requests as they are read.
#[derive(Debug)]
pub struct ScannedStream<S> {
    stream: S,
    scanner: Scanner,
    queue: FramingQueue,
}

impl<S> ScannedStream<S> {
    /// Wraps a stream and appends the framing of each request read from it to `queue`.
    pub fn new(stream: S, queue: FramingQueue) -> Self {
        Self {
            stream,
            scanner: Scanner::default(),
            queue,
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for ScannedStream<S> {
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
                self.queue.push_all(ended);
            }
        }
        read
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for ScannedStream<S> {
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
