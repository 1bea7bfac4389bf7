//! Callers that don't behave.

use std::net::SocketAddr;
use std::time::Duration;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::TcpStream;
use tokio::task::JoinSet;
use tokio_util::sync::CancellationToken;

/// Longest time that a caller waits until what it sends is taken.
const SEND_TIMEOUT: Duration = Duration::from_secs(20);
/// Time between two chunks of one byte, so that each is read by itself.
const TINY_INTERVAL: Duration = Duration::from_millis(1);

/// Time from the end of a connection to the next one of a caller that stays.
const RECONNECT_TIME: Duration = Duration::from_millis(200);

/// How the length of a body is given.
#[derive(Clone, Copy)]
pub enum Framing {
    /// By a length.
    Length(usize),
    /// By chunks of a size.
    Chunks(usize),
}

#[derive(Clone, Copy)]
enum Message {
    Nothing,
    Head,
    Body { framing: Framing, sent: usize },
}

/// Callers that send the same and keep their connections open.
pub struct Crowd {
    count: usize,
    message: Message,
    key: &'static str,
}

impl Crowd {
    /// Creates callers that send so many bytes of a body.
    pub fn of(count: usize, framing: Framing, sent: usize) -> Self {
        Self::new(count, Message::Body { framing, sent })
    }

    /// Creates callers that send nothing.
    pub fn silent(count: usize) -> Self {
        Self::new(count, Message::Nothing)
    }

    /// Creates callers that send a head without its end.
    pub fn heads(count: usize) -> Self {
        Self::new(count, Message::Head)
    }

    fn new(count: usize, message: Message) -> Self {
        Self {
            count,
            message,
            key: "secret",
        }
    }

    /// Uses another key.
    pub fn with_key(self, key: &'static str) -> Self {
        Self { key, ..self }
    }

    /// Sends all that the instance takes. The callers stay until the crowd leaves; those that send no body connect
    /// again when they are turned away.
    pub async fn send(self, address: SocketAddr) -> Present {
        let (mut callers, mut arrived) = (JoinSet::new(), JoinSet::new());
        let leaving = CancellationToken::new();
        for number in 0..self.count {
            let (message, key) = (self.message, self.key);
            let (has_sent, is_sent) = tokio::sync::oneshot::channel();
            arrived.spawn(is_sent);
            let stays = async move {
                let mut stream = attempt(address, number, message, key).await;
                let _ = has_sent.send(());
                loop {
                    wait_for_end(&mut stream).await;
                    if matches!(message, Message::Body { .. }) {
                        std::future::pending::<()>().await;
                    }
                    drop(stream.take());
                    tokio::time::sleep(RECONNECT_TIME).await;
                    stream = attempt(address, number, message, key).await;
                }
            };
            let left = leaving.clone();
            callers.spawn(async move {
                tokio::select! {
                    () = stays => {}
                    () = left.cancelled() => {}
                }
            });
        }
        while arrived.join_next().await.is_some() {}
        Present { callers, leaving }
    }
}

/// Callers that have sent what they send.
pub struct Present {
    callers: JoinSet<()>,
    leaving: CancellationToken,
}

impl Present {
    /// Closes all connections.
    pub async fn leave(self) {
        self.leaving.cancel();
        self.callers.join_all().await;
    }
}

/// Connects and sends all that the instance takes. Returns the connection if there is one.
async fn attempt(
    address: SocketAddr,
    number: usize,
    message: Message,
    key: &str,
) -> Option<TcpStream> {
    let mut stream = TcpStream::connect(address).await.ok()?;
    stream.set_nodelay(true).unwrap();
    // The instance may close the connection.
    let sending = send(&mut stream, number, message, key);
    let _ = tokio::time::timeout(SEND_TIMEOUT, sending).await;
    Some(stream)
}

/// Waits until the instance closes a connection, with or without an answer.
async fn wait_for_end(stream: &mut Option<TcpStream>) {
    let mut answer = [0; 1024];
    while let Some(stream) = stream {
        match stream.read(&mut answer).await {
            Ok(0) | Err(_) => return,
            Ok(_) => {}
        }
    }
}

async fn send(
    stream: &mut TcpStream,
    number: usize,
    message: Message,
    key: &str,
) -> std::io::Result<()> {
    let head = format!(
        "POST /read/x HTTP/1.1\r\nHost: a.example\r\nRequest-Id: c{number:015x}\r\n\
         Deadline-Ms: 8000\r\nAuthorization: Bearer {key}\r\n"
    );
    match message {
        Message::Nothing => Ok(()),
        Message::Head => stream.write_all(head.as_bytes()).await,
        Message::Body { framing, sent } => match framing {
            Framing::Length(length) => {
                let head = format!("{head}Content-Length: {length}\r\n\r\n");
                stream.write_all(head.as_bytes()).await?;
                stream.write_all(&vec![b'x'; sent]).await
            }
            Framing::Chunks(size) => {
                let head = format!("{head}Transfer-Encoding: chunked\r\n\r\n");
                stream.write_all(head.as_bytes()).await?;
                let chunk = format!("{size:x}\r\n{}\r\n", "x".repeat(size));
                for _ in 0..sent / size {
                    stream.write_all(chunk.as_bytes()).await?;
                    if size == 1 {
                        tokio::time::sleep(TINY_INTERVAL).await;
                    }
                }
                Ok(())
            }
        },
    }
}
