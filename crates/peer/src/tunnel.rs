//! Connections to upstreams that a peer carries over its own links.
//!
//! The question and its answer are each a length of two bytes and a Thrift struct in the compact protocol.
//! After an answer that the connection is open, its bytes follow: those of the upstream in [`frames`], if
//! both builds know them, and those of the peer as they are.

mod carried;
pub mod frames;

pub use carried::Carried;

use crate::compact;
use crate::message::{Opened, Tunnel};
use std::io;
use std::time::Duration;
use thrift::TConfiguration;
use thrift::protocol::{TCompactInputProtocol, TSerializable};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::net::TcpStream;

/// Largest length of a message.
const MAX_BYTES: usize = 1024;
/// Time that a peer gets to send its question.
pub const QUESTION_TIMEOUT: Duration = Duration::from_secs(1);
/// Size of the buffer for one direction of a connection.
const BUFFER_BYTES: usize = 8 << 10;

/// The failure of an upstream that refused the connection.
pub const REFUSED: &str = "refused";
/// The failure of an upstream that didn't answer a peer in time.
pub const SILENT: &str = "silent";

/// Error of a message.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection failed.
    #[error("connection: {0}")]
    Connection(#[from] io::Error),
    /// The bytes are not a message.
    #[error("thrift: {0}")]
    Payload(#[from] thrift::Error),
    /// The message is longer than allowed.
    #[error("{0} bytes are too long for a message")]
    Length(usize),
}

/// Asks a peer for a connection to an upstream, and returns its answer.
///
/// # Errors
///
/// The peer can't be reached, or its answer can't be read.
pub async fn open(stream: &mut TcpStream, tunnel: &Tunnel) -> Result<Opened, Error> {
    write(stream, tunnel).await?;
    read(stream).await
}

/// Reads a message.
///
/// # Errors
///
/// The connection fails, or the bytes are not a message.
pub async fn read<M: TSerializable>(stream: &mut TcpStream) -> Result<M, Error> {
    let length = usize::from(stream.read_u16().await?);
    if length > MAX_BYTES {
        return Err(Error::Length(length));
    }
    let mut bytes = vec![0; length];
    stream.read_exact(&mut bytes).await?;
    let limits = TConfiguration::builder()
        .max_string_size(Some(length))
        .build()?;
    let mut protocol = TCompactInputProtocol::with_config(&bytes[..], limits);
    Ok(M::read_from_in_protocol(&mut protocol)?)
}

/// Writes a message.
///
/// # Errors
///
/// The connection fails, or the message is too long.
pub async fn write(stream: &mut TcpStream, message: &impl TSerializable) -> Result<(), Error> {
    let message = compact::encode(message)?;
    let length = message.len();
    let prefix = u16::try_from(length).ok();
    let prefix = prefix.filter(|_| length <= MAX_BYTES);
    let prefix = prefix.ok_or(Error::Length(length))?;
    // One write, so that the message goes out in one packet.
    let bytes = [&prefix.to_be_bytes()[..], &message].concat();
    stream.write_all(&bytes).await?;
    Ok(())
}

/// How a carrier forwards the bytes of an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Framing {
    /// In frames, of which an empty one marks the end of the upstream's connection.
    Framed,
    /// As they are, to a peer of a build that doesn't know frames.
    Bare,
}

/// Carries the bytes of a connection between a peer and an upstream until one of them closes it.
///
/// If the peer closes its side, so is the upstream's at once, as the caller has left. If the upstream's side
/// is reset, the peer's is reset too: an answer whose end is the end of its connection must not look
/// complete.
pub async fn carry(
    mut peer: TcpStream,
    upstream: impl AsyncRead + AsyncWrite + Unpin,
    framing: Framing,
) {
    let is_whole = {
        let (mut from_peer, mut to_peer) = peer.split();
        let (mut from_upstream, mut to_upstream) = tokio::io::split(upstream);
        tokio::select! {
            _ = copy(&mut from_peer, &mut to_upstream) => false,
            copied = async {
                match framing {
                    Framing::Framed => copy_framed(&mut from_upstream, &mut to_peer).await,
                    Framing::Bare => copy(&mut from_upstream, &mut to_peer).await,
                }
            } => copied.is_ok(),
        }
    };
    if !is_whole {
        let _ = peer.set_zero_linger();
        return;
    }
    let _ = peer.shutdown().await;
}

/// Copies bytes in frames, and marks their end.
async fn copy_framed(
    from: &mut (impl AsyncReadExt + Unpin),
    to: &mut (impl AsyncWriteExt + Unpin),
) -> io::Result<()> {
    let mut buffer = vec![0; frames::HEADER_BYTES + BUFFER_BYTES];
    loop {
        let length = from.read(&mut buffer[frames::HEADER_BYTES..]).await?;
        if length == 0 {
            return to.write_all(&frames::END).await;
        }
        let header = frames::header(length).ok_or(io::ErrorKind::InvalidData)?;
        buffer[..frames::HEADER_BYTES].copy_from_slice(&header);
        to.write_all(&buffer[..frames::HEADER_BYTES + length])
            .await?;
    }
}

async fn copy(
    from: &mut (impl AsyncReadExt + Unpin),
    to: &mut (impl AsyncWriteExt + Unpin),
) -> io::Result<()> {
    let mut buffer = vec![0; BUFFER_BYTES];
    loop {
        let length = from.read(&mut buffer).await?;
        if length == 0 {
            return Ok(());
        }
        to.write_all(&buffer[..length]).await?;
    }
}
