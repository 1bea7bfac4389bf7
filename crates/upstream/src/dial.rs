//! Connections to upstreams.

use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::TcpStream;

/// Longest time to establish a connection. Zones are a few milliseconds apart, and a lost packet is
/// retransmitted after a second; by then another upstream is the better choice.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(400);
/// TCP user timeout: longest time for which sent bytes may stay unacknowledged. A dead connection is
/// detected within this time.
const USER_TIMEOUT: Duration = Duration::from_secs(2);

/// A connection to an upstream. It ends where the upstream closed it; if it ends in any other way, a read
/// fails.
pub trait Transport: AsyncRead + AsyncWrite + Send + Unpin + 'static {}

impl<T: AsyncRead + AsyncWrite + Send + Unpin + 'static> Transport for T {}

/// A connection that is being established.
pub type Dialing<'a> = Pin<Box<dyn Future<Output = io::Result<Box<dyn Transport>>> + Send + 'a>>;

/// Establishes connections to upstreams.
pub trait Dialer: Send + Sync + 'static {
    /// Connects to an address. Nothing of a request has been sent if it fails.
    fn dial(&self, address: SocketAddr) -> Dialing<'_>;
}

/// Connects over the links of this instance.
#[derive(Clone, Copy, Debug, Default)]
pub struct Direct;

impl Dialer for Direct {
    fn dial(&self, address: SocketAddr) -> Dialing<'_> {
        Box::pin(async move {
            let connect = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address));
            let stream = connect.await.map_err(io::Error::from)??;
            set_options(&stream);
            Ok(Box::new(stream) as Box<dyn Transport>)
        })
    }
}

/// Sets the options of a connection between processes.
pub fn set_options(stream: &TcpStream) {
    // Both options are optimisations; the connection works without them.
    let _ = stream.set_nodelay(true);
    let _ = socket2::SockRef::from(stream).set_tcp_user_timeout(Some(USER_TIMEOUT));
}
