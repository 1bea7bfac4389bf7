//! Frames: a length of four bytes, the payload's tag, then the payload.

use crate::message::Envelope;
use crate::secret::{Secret, TAG_BYTES};
use std::io;
use thrift::protocol::{
    TCompactInputProtocol, TCompactOutputProtocol, TInputProtocol, TSerializable, TType,
};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};

/// Largest payload, in bytes: a configuration text of the largest size and some room.
pub const MAX_PAYLOAD: usize = 4 << 20;

/// Field of an envelope that holds its body, in `fellow.thrift`.
const ENVELOPE_BODY: i16 = 2;
/// Last field of the union of bodies, in `fellow.thrift`.
const LAST_BODY: i16 = 14;

/// Why bytes are not a message of a fellow.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The connection failed or was closed.
    #[error("connection: {0}")]
    Connection(#[from] io::Error),
    /// The frame is longer than [`MAX_PAYLOAD`] or shorter than a tag.
    #[error("a frame of {0} bytes is out of bounds")]
    Length(usize),
    /// The tag is not of this system's secret.
    #[error("the frame's tag is wrong")]
    Tag,
    /// The payload has no body, more than one, or one of another release.
    #[error("the envelope does not hold one known body")]
    Body,
    /// The payload is not an envelope.
    #[error("thrift: {0}")]
    Payload(#[from] thrift::Error),
}

/// The payload of an envelope.
///
/// # Errors
///
/// The envelope can't be written, which a well-formed one always can.
pub fn encode(envelope: &Envelope) -> Result<Vec<u8>, Error> {
    let mut payload = Vec::new();
    let mut protocol = TCompactOutputProtocol::new(&mut payload);
    envelope.write_to_out_protocol(&mut protocol)?;
    Ok(payload)
}

/// The envelope of a payload.
///
/// # Errors
///
/// [`Error::Payload`] where the payload is not an envelope.
pub fn decode(payload: &[u8]) -> Result<Envelope, Error> {
    check(payload)?;
    let mut protocol = TCompactInputProtocol::new(payload);
    Ok(Envelope::read_from_in_protocol(&mut protocol)?)
}

/// Reads through a payload, without keeping anything, to its one body. The generated reader panics
/// at a body that it does not know, such as one of a newer release, and makes room for a list before
/// it has seen that the payload is long enough.
fn check(payload: &[u8]) -> Result<(), Error> {
    let mut protocol = TCompactInputProtocol::new(payload);
    let mut bodies = 0;
    protocol.read_struct_begin()?;
    loop {
        let field = protocol.read_field_begin()?;
        match (field.field_type, field.id) {
            (TType::Stop, _) => break,
            (TType::Struct, Some(ENVELOPE_BODY)) => bodies += check_body(&mut protocol)?,
            (other, _) => protocol.skip(other)?,
        }
    }
    if bodies == 1 {
        Ok(())
    } else {
        Err(Error::Body)
    }
}

/// Reads through a body and returns how many messages it holds.
fn check_body(protocol: &mut dyn TInputProtocol) -> Result<usize, Error> {
    let mut count = 0;
    protocol.read_struct_begin()?;
    loop {
        let field = protocol.read_field_begin()?;
        match (field.field_type, field.id) {
            (TType::Stop, _) => break,
            (TType::Struct, Some(1..=LAST_BODY)) => protocol.skip(TType::Struct)?,
            _ => return Err(Error::Body),
        }
        count += 1;
    }
    protocol.read_struct_end()?;
    Ok(count)
}

/// Writes one envelope as a frame.
///
/// # Errors
///
/// The connection failed, or the envelope is too large.
pub async fn write(
    stream: &mut (impl AsyncWrite + Unpin),
    secret: &Secret,
    envelope: &Envelope,
) -> Result<(), Error> {
    let payload = encode(envelope)?;
    if payload.len() > MAX_PAYLOAD {
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

/// Reads one frame; the payload is parsed only after its tag was verified.
///
/// # Errors
///
/// Any of [`Error`]; the connection is of no further use.
pub async fn read(
    stream: &mut (impl AsyncRead + Unpin),
    secret: &Secret,
) -> Result<Envelope, Error> {
    let length = stream.read_u32().await? as usize;
    if !(TAG_BYTES..=TAG_BYTES + MAX_PAYLOAD).contains(&length) {
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
