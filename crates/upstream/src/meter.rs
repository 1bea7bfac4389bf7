//! Connection from which only so many bytes are read until the head of an answer has arrived.

use crate::dial::Transport;
use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Bytes that may still be read from a connection.
#[derive(Clone, Debug)]
pub(crate) struct Allowance(Arc<AtomicUsize>);

impl Allowance {
    /// Allows so many bytes from now on.
    pub(crate) fn set(&self, bytes: usize) {
        self.0.store(bytes, Ordering::Relaxed);
    }

    /// Allows any number of bytes.
    pub(crate) fn lift(&self) {
        self.set(usize::MAX);
    }

    /// Deducts bytes that were read. Returns whether they were allowed.
    fn deduct(&self, bytes: usize) -> bool {
        let left = self.0.load(Ordering::Relaxed);
        if left == usize::MAX {
            return true;
        }
        self.set(left.saturating_sub(bytes));
        bytes <= left
    }
}

/// A connection with an allowance, beyond which reads fail.
pub(crate) struct Meter {
    stream: Box<dyn Transport>,
    allowance: Allowance,
}

impl Meter {
    /// Meters a connection, which allows nothing at first.
    pub(crate) fn new(stream: Box<dyn Transport>) -> (Self, Allowance) {
        let allowance = Allowance(Arc::default());
        let meter = Self {
            stream,
            allowance: allowance.clone(),
        };
        (meter, allowance)
    }
}

impl AsyncRead for Meter {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        let read = buffer.filled().len() - before;
        if self.allowance.deduct(read) {
            return Poll::Ready(Ok(()));
        }
        let message = "more bytes than the head of an answer may have";
        Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, message)))
    }
}

impl AsyncWrite for Meter {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        bytes: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, slices)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }
}
