//! A small HTTP/1.1 codec for blocking streams.

use std::io::{self, Read, Write};
use std::net::TcpStream;

/// A message head.
pub struct Head {
    /// Request line or status line.
    pub line: String,
    headers: Vec<(String, String)>,
}

impl Head {
    /// Returns the value of a header.
    pub fn get(&self, name: &str) -> Option<&str> {
        let mut found = self.headers.iter();
        let found = found.find(|(known, _)| known.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the status of an answer.
    pub fn status(&self) -> u16 {
        let status = self.line.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// Returns the target of a request.
    pub fn target(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or("/")
    }

    fn is_chunked(&self) -> bool {
        self.get("transfer-encoding") == Some("chunked")
    }

    fn length(&self) -> Option<usize> {
        self.get("content-length")?.parse().ok()
    }
}

/// Reads messages from a stream.
pub struct Reader {
    stream: TcpStream,
    buffer: Vec<u8>,
}

/// How a body ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum End {
    /// By its framing, or by the end of the connection where it has none.
    Complete,
    /// The connection ended before the body did.
    Cut,
}

impl Reader {
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buffer: Vec::new(),
        }
    }

    /// Reads more bytes; false at the end of the connection.
    fn fill(&mut self) -> io::Result<bool> {
        let mut piece = [0; 16 << 10];
        let count = self.stream.read(&mut piece)?;
        self.buffer.extend_from_slice(&piece[..count]);
        Ok(count > 0)
    }

    fn line(&mut self) -> io::Result<Option<String>> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line: Vec<u8> = self.buffer.drain(..=end).collect();
                return Ok(Some(String::from_utf8_lossy(&line).trim_end().to_owned()));
            }
            if !self.fill()? {
                return Ok(None);
            }
        }
    }

    /// Reads a head; none if the connection ends before it is complete.
    pub fn head(&mut self) -> io::Result<Option<Head>> {
        let Some(line) = self.line()? else {
            return Ok(None);
        };
        let mut headers = Vec::new();
        loop {
            let Some(line) = self.line()? else {
                return Ok(None);
            };
            if line.is_empty() {
                break;
            }
            if let Some((name, value)) = line.split_once(':') {
                headers.push((name.trim().to_owned(), value.trim().to_owned()));
            }
        }
        Ok(Some(Head { line, headers }))
    }

    fn take(&mut self, count: usize) -> Vec<u8> {
        self.buffer.drain(..count).collect()
    }

    /// Reads exactly `length` bytes; fewer if the connection ends.
    fn exactly(&mut self, length: usize) -> Vec<u8> {
        while self.buffer.len() < length {
            if !matches!(self.fill(), Ok(true)) {
                break;
            }
        }
        self.take(length.min(self.buffer.len()))
    }

    /// Reads the body of a request.
    pub fn request_body(&mut self, head: &Head) -> Vec<u8> {
        if head.is_chunked() {
            let mut body = Vec::new();
            self.chunks(&mut |bytes| body.extend_from_slice(bytes));
            return body;
        }
        self.exactly(head.length().unwrap_or(0))
    }

    fn chunks(&mut self, each: &mut dyn FnMut(&[u8])) -> End {
        loop {
            let Ok(Some(line)) = self.line() else {
                return End::Cut;
            };
            let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16);
            let Ok(size) = size else {
                return End::Cut;
            };
            if size == 0 {
                let _ = self.line();
                return End::Complete;
            }
            let chunk = self.exactly(size + 2);
            each(&chunk[..chunk.len().min(size)]);
            if chunk.len() < size + 2 {
                return End::Cut;
            }
        }
    }

    /// Reads the body of an answer and passes on its bytes as they arrive.
    pub fn answer_body(&mut self, head: &Head, each: &mut dyn FnMut(&[u8])) -> End {
        if head.is_chunked() {
            return self.chunks(each);
        }
        if let Some(length) = head.length() {
            let body = self.exactly(length);
            each(&body);
            return if body.len() == length {
                End::Complete
            } else {
                End::Cut
            };
        }
        loop {
            let rest = std::mem::take(&mut self.buffer);
            each(&rest);
            match self.fill() {
                Ok(true) => {}
                Ok(false) => return End::Complete,
                Err(_) => return End::Cut,
            }
        }
    }
}

/// Writes an answer with a whole body.
pub fn answer(stream: &mut TcpStream, status: &str, headers: &str, body: &[u8]) -> io::Result<()> {
    let head = format!(
        "HTTP/1.1 {status}\r\n{headers}Content-Length: {}\r\n\r\n",
        body.len()
    );
    stream.write_all(&[head.as_bytes(), body].concat())
}
