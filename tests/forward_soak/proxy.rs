//! A TCP proxy on the loopback address that injects faults into its connections.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// Fault that a proxy applies to all its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LinkFault {
    None = 0,
    /// Bytes are delayed by [`DELAY`].
    Delay = 1,
    /// Connections are closed.
    Reset = 2,
    /// Bytes are dropped in both directions.
    Silence = 3,
    /// Bytes from the target are dropped.
    OneWay = 4,
}

/// Faults that can be injected.
pub const LINK_FAULTS: [LinkFault; 4] = [
    LinkFault::Delay,
    LinkFault::Reset,
    LinkFault::Silence,
    LinkFault::OneWay,
];

/// Delay of each chunk of bytes under [`LinkFault::Delay`].
const DELAY: Duration = Duration::from_millis(250);

/// A running proxy.
#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    fault: Arc<AtomicU8>,
}

impl Proxy {
    /// Binds a free port and forwards its connections to `target`.
    pub async fn spawn(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let fault = Arc::new(AtomicU8::new(0));
        let shared = fault.clone();
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                tokio::spawn(link(stream, target, shared.clone()));
            }
        });
        Self { address, fault }
    }

    /// Sets the fault of all current and future connections.
    pub fn set(&self, fault: LinkFault) {
        self.fault.store(fault as u8, Ordering::Relaxed);
    }
}

async fn link(stream: TcpStream, target: SocketAddr, fault: Arc<AtomicU8>) {
    let Ok(other) = TcpStream::connect(target).await else {
        return;
    };
    let (from_caller, to_caller) = stream.into_split();
    let (from_target, to_target) = other.into_split();
    let to_target_copy = copy(from_caller, to_target, fault.clone(), false);
    let to_caller_copy = copy(from_target, to_caller, fault, true);
    tokio::select! {
        () = to_target_copy => {}
        () = to_caller_copy => {}
    }
}

async fn copy(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    fault: Arc<AtomicU8>,
    answers: bool,
) {
    let mut buffer = vec![0; 16 << 10];
    loop {
        let Ok(length @ 1..) = from.read(&mut buffer).await else {
            return;
        };
        let current = fault.load(Ordering::Relaxed);
        if current == LinkFault::Reset as u8 {
            return;
        }
        if current == LinkFault::Silence as u8 || answers && current == LinkFault::OneWay as u8 {
            continue;
        }
        if current == LinkFault::Delay as u8 {
            tokio::time::sleep(DELAY).await;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
