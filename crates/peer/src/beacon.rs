//! Gossip datagrams between instances.
//!
//! A beacon is a complete message that is not acknowledged; the next one makes up for a lost one.
//! Beacons carry no authentication tag, because the network between instances is private to the
//! deployment, which provides no secret for one.

use crate::message::Beacon;
use socket2::SockRef;
use std::io;
use std::mem::MaybeUninit;
use std::net::SocketAddr;
use thrift::protocol::{
    TCompactInputProtocol, TCompactOutputProtocol, TInputProtocol, TSerializable, TType,
};
use tokio::net::UdpSocket;

/// Largest payload of a UDP datagram over IPv4.
pub const MAX_BYTES: usize = 65_507;

/// Error of sending or receiving a beacon.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The socket failed.
    #[error("socket: {0}")]
    Socket(#[from] io::Error),
    /// The payload is not a beacon.
    #[error("thrift: {0}")]
    Payload(#[from] thrift::Error),
}

/// Encodes a beacon as the payload of a datagram.
///
/// # Errors
///
/// Returns an error if the beacon can't be encoded; a well-formed beacon always can.
pub fn encode(beacon: &Beacon) -> Result<Vec<u8>, Error> {
    let mut payload = Vec::new();
    let mut protocol = TCompactOutputProtocol::new(&mut payload);
    beacon.write_to_out_protocol(&mut protocol)?;
    Ok(payload)
}

/// Decodes a beacon from the payload of a datagram.
///
/// # Errors
///
/// Returns [`Error::Payload`] if the payload is not a beacon.
pub fn decode(payload: &[u8]) -> Result<Beacon, Error> {
    // The generated reader allocates space for a list before it checks that the payload is long enough,
    // so the payload is skipped through first.
    TCompactInputProtocol::new(payload).skip(TType::Struct)?;
    let mut protocol = TCompactInputProtocol::new(payload);
    Ok(Beacon::read_from_in_protocol(&mut protocol)?)
}

/// Bound UDP socket for beacons.
#[derive(Debug)]
pub struct Socket {
    socket: UdpSocket,
}

impl Socket {
    /// Binds an address.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub async fn bind(address: SocketAddr) -> io::Result<Self> {
        Ok(Self {
            socket: UdpSocket::bind(address).await?,
        })
    }

    /// Returns the bound address.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket has failed.
    pub fn address(&self) -> io::Result<SocketAddr> {
        self.socket.local_addr()
    }

    /// Sends a payload made by [`encode`] to an instance.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket fails. A datagram can also be lost without an error.
    pub async fn send(&self, payload: &[u8], to: SocketAddr) -> Result<(), Error> {
        self.socket.send_to(payload, to).await?;
        Ok(())
    }

    /// Returns whether a datagram is ready to be received.
    ///
    /// Peeks at the socket, because the runtime notices datagrams only when it polls.
    pub fn has_next(&self) -> bool {
        let mut byte = [MaybeUninit::uninit(); 1];
        SockRef::from(&self.socket).peek(&mut byte).is_ok()
    }

    /// Receives the next beacon.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket fails or the datagram is not a beacon. After a malformed datagram,
    /// further beacons can be received.
    pub async fn receive(&self) -> Result<Beacon, Error> {
        self.socket.readable().await?;
        let mut buffer = vec![0; MAX_BYTES];
        let (length, _) = self.socket.recv_from(&mut buffer).await?;
        decode(&buffer[..length])
    }
}
