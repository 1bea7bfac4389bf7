//! Frame codec. A frame consists of a big-endian length of four bytes, the authentication tag of the
//! payload, and the payload.

use crate::compact;
use crate::message::Envelope;
use crate::secret::{Secret, TAG_BYTES};
use std::io;
use thrift::protocol::{TCompactInputProtocol, TInputProtocol, TSerializable, TType};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// Largest payload: a configuration text of the largest size, with some margin.
pub const MAX_PAYLOAD_BYTES: usize = 4 << 20;

/// Field id of an envelope's body in `fellow.thrift`.
const BODY_FIELD_ID: i16 = 2;
/// Field id of the last member of the `Body` union in `fellow.thrift`.
const LAST_BODY_FIELD_ID: i16 = 14;

/// Error of reading or writing a frame.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection failed or was closed.
    #[error("connection: {0}")]
    Connection(#[from] io::Error),
    /// The frame is longer than [`MAX_PAYLOAD_BYTES`] or shorter than a tag.
    #[error("a frame of {0} bytes is out of bounds")]
    Length(usize),
    /// The tag was not made with this system's secret.
    #[error("the frame's tag is wrong")]
    Tag,
    /// The payload has no body, more than one, or one that this release does not know.
    #[error("the envelope does not hold one known body")]
    Body,
    /// The payload is not an envelope.
    #[error("thrift: {0}")]
    Payload(#[from] thrift::Error),
}

/// Encodes an envelope as the payload of a frame.
///
/// # Errors
///
/// Returns an error if the envelope can't be encoded; a well-formed envelope always can.
pub fn encode(envelope: &Envelope) -> Result<Vec<u8>, Error> {
    Ok(compact::encode(envelope)?)
}

/// Decodes an envelope from the payload of a frame.
///
/// # Errors
///
/// Returns [`Error::Payload`] if the payload is not an envelope, and [`Error::Body`] if it does not
/// hold exactly one known body.
pub fn decode(payload: &[u8]) -> Result<Envelope, Error> {
    check_envelope(payload)?;
    let mut protocol = TCompactInputProtocol::new(payload);
    Ok(Envelope::read_from_in_protocol(&mut protocol)?)
}

/// Checks that a payload is well-formed and has exactly one known body, without decoding it. The
/// generated reader panics at an unknown body, such as one of a newer release, and allocates space for
/// a list before it checks that the payload is long enough.
fn check_envelope(payload: &[u8]) -> Result<(), Error> {
    let mut protocol = TCompactInputProtocol::new(payload);
    let mut bodies = 0;
    protocol.read_struct_begin()?;
    loop {
        let field = protocol.read_field_begin()?;
        match (field.field_type, field.id) {
            (TType::Stop, _) => break,
            (TType::Struct, Some(BODY_FIELD_ID)) => bodies += check_body(&mut protocol)?,
            (other, _) => protocol.skip(other)?,
        }
    }
    if bodies == 1 {
        Ok(())
    } else {
        Err(Error::Body)
    }
}

/// Skips through a body and returns the number of messages in it.
fn check_body(protocol: &mut dyn TInputProtocol) -> Result<usize, Error> {
    let mut count = 0;
    protocol.read_struct_begin()?;
    loop {
        let field = protocol.read_field_begin()?;
        match (field.field_type, field.id) {
            (TType::Stop, _) => break,
            (TType::Struct, Some(1..=LAST_BODY_FIELD_ID)) => protocol.skip(TType::Struct)?,
            _ => return Err(Error::Body),
        }
        count += 1;
    }
    protocol.read_struct_end()?;
    Ok(count)
}

/// Writes an envelope as a frame.
///
/// # Errors
///
/// Returns an error if the connection fails or the envelope is too large.
pub async fn write(
    stream: &mut (impl AsyncWrite + Unpin),
    secret: &Secret,
    envelope: &Envelope,
) -> Result<(), Error> {
    let payload = encode(envelope)?;
    if payload.len() > MAX_PAYLOAD_BYTES {
        return Err(Error::Length(payload.len()));
    }
    let length = (TAG_BYTES + payload.len()) as u32;
    let mut frame = Vec::with_capacity(4 + length as usize);
    frame.extend_from_slice(&length.to_be_bytes());
    frame.extend_from_slice(&secret.tag(&payload));
    frame.extend_from_slice(&payload);
    stream.write_all(&frame).await?;
    Ok(())
}

/// Reads a frame; the payload is parsed only after its tag has been verified.
///
/// # Errors
///
/// Returns any of [`Error`]; the connection can't be used after one.
pub async fn read(
    stream: &mut (impl AsyncRead + Unpin),
    secret: &Secret,
) -> Result<Envelope, Error> {
    let length = stream.read_u32().await? as usize;
    if !(TAG_BYTES..=TAG_BYTES + MAX_PAYLOAD_BYTES).contains(&length) {
        return Err(Error::Length(length));
    }
    let mut frame = vec![0; length];
    stream.read_exact(&mut frame).await?;
    let (tag, payload) = frame.split_at(TAG_BYTES);
    if !secret.verify(payload, tag) {
        return Err(Error::Tag);
    }
    decode(payload)
}
