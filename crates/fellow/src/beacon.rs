//! Datagrams between instances.
//!
//! A beacon is a whole message that is not answered: a lost one is made good by the next. The network
//! between instances is the deployment's own, which hands out no secret for a tag.

use crate::message::Beacon;
use socket2::SockRef;
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use thrift::protocol::{
    TCompactInputProtocol, TCompactOutputProtocol, TInputProtocol, TSerializable, TType,
};
use tokio::net::UdpSocket;

/// Largest datagram, in bytes; UDP over IPv4 has no larger one.
pub const MAX_BYTES: usize = 65_507;

/// Why a datagram is not a beacon.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The socket failed.
    #[error("socket: {0}")]
    Socket(#[from] io::Error),
    /// The bytes are not a beacon.
    #[error("thrift: {0}")]
    Payload(#[from] thrift::Error),
}

/// The bytes of a beacon.
///
/// # Errors
///
/// The beacon can't be written, which a well-formed one always can.
pub fn encode(beacon: &Beacon) -> Result<Vec<u8>, Error> {
    let mut payload = Vec::new();
    let mut protocol = TCompactOutputProtocol::new(&mut payload);
    beacon.write_to_out_protocol(&mut protocol)?;
    Ok(payload)
}

/// The beacon of some bytes.
///
/// # Errors
///
/// They are not a beacon.
pub fn decode(payload: &[u8]) -> Result<Beacon, Error> {
    // The generated reader makes room for a list before it has seen that the payload is long enough.
    TCompactInputProtocol::new(payload).skip(TType::Struct)?;
    let mut protocol = TCompactInputProtocol::new(payload);
    Ok(Beacon::read_from_in_protocol(&mut protocol)?)
}

/// A bound socket.
#[derive(Debug)]
pub struct Socket {
    socket: UdpSocket,
}

impl Socket {
    /// Binds an address.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub async fn bind(address: SocketAddr) -> io::Result<Self> {
        Ok(Self {
            socket: UdpSocket::bind(address).await?,
        })
    }

    /// The address that was bound.
    ///
    /// # Errors
    ///
    /// The socket has failed.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Sends bytes of [`encode`] to an instance.
    ///
    /// # Errors
    ///
    /// The socket failed; the datagram may be lost without an error too.
    pub async fn send(&self, payload: &[u8], to: SocketAddr) -> Result<(), Error> {
        self.socket.send_to(payload, to).await?;
        Ok(())
    }

    /// Whether a datagram waits to be received.
    ///
    /// The kernel is asked, not the runtime, which learns of datagrams only when it polls.
    pub fn has_next(&self) -> bool {
        let mut byte = [MaybeUninit::uninit(); 1];
        SockRef::from(&self.socket).peek(&mut byte).is_ok()
    }

    /// The next beacon.
    ///
    /// # Errors
    ///
    /// The socket failed, or the datagram is not a beacon; the next one may be.
    pub async fn receive(&self) -> Result<Beacon, Error> {
        self.socket.readable().await?;
        let mut buffer = vec![0; MAX_BYTES];
        let (length, _) = self.socket.recv_from(&mut buffer).await?;
        decode(&buffer[..length])
    }
}
