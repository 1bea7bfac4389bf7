//! Encoding of messages in Thrift's compact protocol.

use thrift::protocol::{TCompactOutputProtocol, TSerializable};

/// Returns the bytes of a message.
pub fn encode(message: &impl TSerializable) -> thrift::Result<Vec<u8>> {
    let mut bytes = Vec::new();
    let mut protocol = TCompactOutputProtocol::new(&mut bytes);
    message.write_to_out_protocol(&mut protocol)?;
    Ok(bytes)
}
