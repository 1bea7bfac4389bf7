//! A TCP forwarder on the loopback interface that counts traffic and can block it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Size of one read, in bytes.
const READ_BYTES: usize = 8 << 10;

/// Traffic counters of a forwarder.
#[derive(Debug, Default)]
pub struct Counter {
    /// Bytes from clients to the target.
    pub sent: AtomicU64,
    /// Bytes from the target to clients.
    pub received: AtomicU64,
    /// Reads from clients, about one for each message.
    pub messages: AtomicU64,
}

/// Values of the counters at one time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Totals {
    /// Bytes in both directions.
    pub bytes: f64,
    /// Messages from clients.
    pub messages: f64,
}

impl Counter {
    /// Returns the current values of the counters.
    pub fn totals(&self) -> Totals {
        let bytes = self.sent.load(Ordering::Relaxed) + self.received.load(Ordering::Relaxed);
        Totals {
            bytes: bytes as f64,
            messages: self.messages.load(Ordering::Relaxed) as f64,
        }
    }
}

impl Totals {
    /// Returns the traffic since earlier values.
    pub fn since(self, earlier: Self) -> Self {
        Self {
            bytes: self.bytes - earlier.bytes,
            messages: self.messages - earlier.messages,
        }
    }
}

/// A running forwarder, which ends with the runtime.
#[derive(Debug)]
pub struct Meter {
    /// Address on which the forwarder listens.
    pub address: SocketAddr,
    open: watch::Sender<bool>,
}

impl Meter {
    /// Starts a forwarder to an address.
    ///
    /// # Errors
    ///
    /// Returns an error if no port is free.
    pub async fn bind(target: SocketAddr, counter: Arc<Counter>) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (open, is_open) = watch::channel(true);
        tokio::spawn(accept(listener, target, counter, is_open));
        Ok(Self { address, open })
    }

    /// Opens the forwarder or closes it. Closing ends all connections, and further ones are closed
    /// at once until it is opened again.
    pub fn set_open(&self, open: bool) {
        self.open.send_replace(open);
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    counter: Arc<Counter>,
    is_open: watch::Receiver<bool>,
) {
    while let Ok((stream, _)) = listener.accept().await {
        if !*is_open.borrow() {
            continue;
        }
        let (counter, mut is_open) = (counter.clone(), is_open.clone());
        tokio::spawn(async move {
            tokio::select! {
                () = forward(stream, target, &counter) => {}
                // A meter that was dropped can no longer be closed, and stays open.
                Ok(_) = is_open.wait_for(|open| !open) => {}
            }
        });
    }
}

async fn forward(stream: TcpStream, target: SocketAddr, counter: &Counter) {
    let Ok(target_stream) = TcpStream::connect(target).await else {
        return;
    };
    let _ = (stream.set_nodelay(true), target_stream.set_nodelay(true));
    let (from, to) = stream.into_split();
    let (back_from, back_to) = target_stream.into_split();
    tokio::select! {
        () = copy(from, back_to, &counter.sent, Some(&counter.messages)) => {}
        () = copy(back_from, to, &counter.received, None) => {}
    }
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    bytes: &AtomicU64,
    messages: Option<&AtomicU64>,
) {
    let mut chunk = vec![0; READ_BYTES];
    while let Ok(length @ 1..) = from.read(&mut chunk).await {
        bytes.fetch_add(length as u64, Ordering::Relaxed);
        if let Some(messages) = messages {
            messages.fetch_add(1, Ordering::Relaxed);
        }
        if to.write_all(&chunk[..length]).await.is_err() {
            return;
        }
    }
}
