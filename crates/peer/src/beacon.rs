//! Gossip datagrams between instances.
//!
//! A beacon is a complete message that is not acknowledged; the next one makes up for a lost one.
//! Questions about the receiver's clock and their answers use the same socket.
//! Datagrams carry no authentication tag, because the network between instances is private to the
//! deployment, which provides no secret for one.

use crate::compact;
use crate::message::{Beacon, Clock};
use std::io;
use std::net::SocketAddr;
use thrift::TConfiguration;
use thrift::protocol::{TCompactInputProtocol, TInputProtocol, TSerializable};
use tokio::net::UdpSocket;

/// Largest number of elements in a list of a message.
const MAX_LIST_LENGTH: usize = 4096;

/// Largest payload of a UDP datagram over IPv4.
pub const MAX_BYTES: usize = 65_507;

/// Error of sending or receiving a message.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The socket failed.
    #[error("socket: {0}")]
    Socket(#[from] io::Error),
    /// The payload is not a message.
    #[error("thrift: {0}")]
    Payload(#[from] thrift::Error),
}

/// Number of the first field of a [`Clock`]; the numbers of a beacon's fields are lower.
const FIRST_CLOCK_FIELD: i16 = 20;

/// Message in one datagram.
#[derive(Clone, Debug, PartialEq)]
pub enum Datagram {
    /// What an instance tells its peers in each round.
    Beacon(Box<Beacon>),
    /// A question about the receiver's clock, or the answer to one.
    Clock(Clock),
}

/// Encodes a message as the payload of a datagram.
///
/// # Errors
///
/// Returns an error if the message can't be encoded; a well-formed one always can.
pub fn encode(message: &impl TSerializable) -> Result<Vec<u8>, Error> {
    Ok(compact::encode(message)?)
}

/// Decodes the payload of a datagram.
///
/// # Errors
///
/// Returns [`Error::Payload`] if the payload is not a message.
pub fn decode(payload: &[u8]) -> Result<Datagram, Error> {
    let mut head = TCompactInputProtocol::new(payload);
    head.read_struct_begin()?;
    let first = head.read_field_begin()?;
    // The generated reader allocates space for a list before it checks that the payload is long
    // enough.
    let limits = TConfiguration::builder()
        .max_container_size(Some(MAX_LIST_LENGTH))
        .max_string_size(Some(payload.len()))
        .build()?;
    let mut protocol = TCompactInputProtocol::with_config(payload, limits);
    if first.id.is_some_and(|id| id >= FIRST_CLOCK_FIELD) {
        return Ok(Datagram::Clock(Clock::read_from_in_protocol(
            &mut protocol,
        )?));
    }
    let beacon = Beacon::read_from_in_protocol(&mut protocol)?;
    Ok(Datagram::Beacon(Box::new(beacon)))
}

/// Bound UDP socket for messages between instances.
#[derive(Debug)]
pub struct Socket {
    socket: UdpSocket,
    /// Space for one payload.
    buffer: Box<[u8]>,
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
            buffer: vec![0; MAX_BYTES].into(),
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

    /// Receives the next message.
    ///
    /// # Errors
    ///
    /// Returns an error if the socket fails or the datagram is not a message. After a malformed
    /// datagram, further ones can be received.
    pub async fn receive(&mut self) -> Result<Datagram, Error> {
        let (length, _) = self.socket.recv_from(&mut self.buffer).await?;
        decode(&self.buffer[..length])
    }
}
