//! A forwarder on loopback that counts what passes, and can cut it off.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;

/// Size of one read, in bytes.
const CHUNK: usize = 8 << 10;

/// What passed, from those who connect and back.
#[derive(Debug, Default)]
pub struct Count {
    /// Bytes to the one that listens.
    pub sent: AtomicU64,
    /// Bytes back.
    pub received: AtomicU64,
    /// Reads from those who connect, about one for each message.
    pub messages: AtomicU64,
}

/// A count at one time.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sum {
    /// Bytes both ways.
    pub bytes: f64,
    /// Messages from those who connect.
    pub messages: f64,
}

impl Count {
    /// The count so far.
    pub fn sum(&self) -> Sum {
        let bytes = self.sent.load(Ordering::Relaxed) + self.received.load(Ordering::Relaxed);
        Sum {
            bytes: bytes as f64,
            messages: self.messages.load(Ordering::Relaxed) as f64,
        }
    }
}

impl Sum {
    /// What passed since an earlier count.
    pub fn since(self, earlier: Self) -> Self {
        Self {
            bytes: self.bytes - earlier.bytes,
            messages: self.messages - earlier.messages,
        }
    }
}

/// A running forwarder; it ends with the runtime.
#[derive(Debug)]
pub struct Meter {
    /// Where to connect.
    pub address: SocketAddr,
    open: watch::Sender<bool>,
}

impl Meter {
    /// Starts a forwarder to an address.
    ///
    /// # Errors
    ///
    /// No port is free.
    pub async fn bind(target: SocketAddr, count: Arc<Count>) -> std::io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (open, is_open) = watch::channel(true);
        tokio::spawn(accept(listener, target, count, is_open));
        Ok(Self { address, open })
    }

    /// Closes all connections and accepts none until it is opened again.
    pub fn set_open(&self, open: bool) {
        self.open.send_replace(open);
    }
}

async fn accept(
    listener: TcpListener,
    target: SocketAddr,
    count: Arc<Count>,
    is_open: watch::Receiver<bool>,
) {
    while let Ok((stream, _)) = listener.accept().await {
        if !*is_open.borrow() {
            continue;
        }
        let (count, mut is_open) = (count.clone(), is_open.clone());
        tokio::spawn(async move {
            tokio::select! {
                () = pass(stream, target, &count) => {}
                // A meter that was dropped can't be closed any more, and stays open.
                Ok(_) = is_open.wait_for(|open| !open) => {}
            }
        });
    }
}

async fn pass(stream: TcpStream, target: SocketAddr, count: &Count) {
    let Ok(other) = TcpStream::connect(target).await else {
        return;
    };
    let _ = (stream.set_nodelay(true), other.set_nodelay(true));
    let (from, to) = stream.into_split();
    let (back_from, back_to) = other.into_split();
    tokio::select! {
        () = copy(from, back_to, &count.sent, Some(&count.messages)) => {}
        () = copy(back_from, to, &count.received, None) => {}
    }
}

async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    bytes: &AtomicU64,
    messages: Option<&AtomicU64>,
) {
    let mut chunk = vec![0; CHUNK];
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
