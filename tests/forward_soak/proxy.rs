//! A TCP proxy on the loopback address whose links can be harmed.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU8, Ordering};
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};

/// What a proxy does to the bytes of all its connections.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Harm {
    None = 0,
    /// Bytes wait for a while.
    Delay = 1,
    /// Connections are reset.
    Reset = 2,
    /// Bytes are swallowed in both directions.
    Silence = 3,
    /// Answers are swallowed.
    OneWay = 4,
}

pub const HARMS: [Harm; 4] = [Harm::Delay, Harm::Reset, Harm::Silence, Harm::OneWay];

const DELAY: Duration = Duration::from_millis(250);

#[derive(Clone)]
pub struct Proxy {
    pub address: SocketAddr,
    harm: Arc<AtomicU8>,
}

impl Proxy {
    pub async fn open(target: SocketAddr) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let harm = Arc::new(AtomicU8::new(0));
        let shared = harm.clone();
        tokio::spawn(async move {
            loop {
                let (stream, _) = listener.accept().await.unwrap();
                tokio::spawn(link(stream, target, shared.clone()));
            }
        });
        Self { address, harm }
    }

    pub fn set(&self, harm: Harm) {
        self.harm.store(harm as u8, Ordering::Relaxed);
    }
}

async fn link(stream: TcpStream, target: SocketAddr, harm: Arc<AtomicU8>) {
    let Ok(other) = TcpStream::connect(target).await else {
        return;
    };
    let (from_caller, to_caller) = stream.into_split();
    let (from_target, to_target) = other.into_split();
    let there = copy(from_caller, to_target, harm.clone(), false);
    let back = copy(from_target, to_caller, harm, true);
    tokio::select! {
        () = there => {}
        () = back => {}
    }
}

async fn copy(
    mut from: tokio::net::tcp::OwnedReadHalf,
    mut to: tokio::net::tcp::OwnedWriteHalf,
    harm: Arc<AtomicU8>,
    answers: bool,
) {
    let mut buffer = vec![0; 16 << 10];
    loop {
        let Ok(length @ 1..) = from.read(&mut buffer).await else {
            return;
        };
        let now = harm.load(Ordering::Relaxed);
        if now == Harm::Reset as u8 {
            return;
        }
        if now == Harm::Silence as u8 || answers && now == Harm::OneWay as u8 {
            continue;
        }
        if now == Harm::Delay as u8 {
            tokio::time::sleep(DELAY).await;
        }
        if to.write_all(&buffer[..length]).await.is_err() {
            return;
        }
    }
}
