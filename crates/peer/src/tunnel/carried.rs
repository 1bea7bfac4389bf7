//! Connection to an upstream that a peer carries.

use crate::tunnel::BUFFER_BYTES;
use crate::tunnel::frames::{Cut, Decoder};
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll, ready};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// A connection to an upstream by a peer. It ends only where the upstream's own connection did: a read fails
/// if the carrier's connection ends in any other way.
#[derive(Debug)]
pub struct Carried {
    stream: TcpStream,
    reading: Reading,
}

#[derive(Debug)]
enum Reading {
    /// The upstream's bytes come in frames.
    Framed {
        decoder: Decoder,
        buffer: Box<[u8]>,
        /// Begin and end of the bytes in the buffer that have not been decoded.
        begin: usize,
        end: usize,
    },
    /// The upstream's bytes come as they are, from a carrier of a build without frames.
    Bare,
}

impl Carried {
    /// Wraps the connection to a carrier that has answered, and whether it said that the upstream's bytes
    /// follow in frames.
    pub fn new(stream: TcpStream, is_framed: bool) -> Self {
        let reading = if is_framed {
            Reading::Framed {
                decoder: Decoder::default(),
                buffer: vec![0; BUFFER_BYTES].into(),
                begin: 0,
                end: 0,
            }
        } else {
            Reading::Bare
        };
        Self { stream, reading }
    }
}

fn cut(cut: Cut) -> io::Error {
    io::Error::new(io::ErrorKind::ConnectionReset, cut)
}

fn poll_bare(
    stream: &mut TcpStream,
    context: &mut Context<'_>,
    target: &mut ReadBuf<'_>,
) -> Poll<io::Result<()>> {
    let before = target.filled().len();
    ready!(Pin::new(stream).poll_read(context, target))?;
    if target.filled().len() == before && target.remaining() > 0 {
        return Poll::Ready(Err(cut(Cut)));
    }
    Poll::Ready(Ok(()))
}

impl AsyncRead for Carried {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        target: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let Self { stream, reading } = &mut *self;
        let Reading::Framed {
            decoder,
            buffer,
            begin,
            end,
        } = reading
        else {
            return poll_bare(stream, context, target);
        };
        while !decoder.has_ended() && target.remaining() > 0 {
            if begin == end {
                let mut read = ReadBuf::new(buffer);
                ready!(Pin::new(&mut *stream).poll_read(context, &mut read))?;
                (*begin, *end) = (0, read.filled().len());
                if begin == end {
                    return Poll::Ready(decoder.close().map_err(cut));
                }
            }
            let decoded = decoder.decode(&buffer[*begin..*end], target.remaining());
            let payload = *begin + decoded.skipped;
            *begin = payload + decoded.payload;
            if decoded.payload > 0 {
                target.put_slice(&buffer[payload..*begin]);
                break;
            }
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Carried {
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
