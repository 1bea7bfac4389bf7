//! The side that answers fellows.

use crate::frame;
use crate::message::{Body, Envelope};
use crate::secret::Secret;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Longest time that a fellow's connection may be silent.
const IDLE_LIMIT: Duration = Duration::from_secs(60);
/// Pause after a failed accept, such as one for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);

/// Answers the messages of fellows.
pub trait Handler: Send + Sync + 'static {
    /// The answer to one message; the next one on the same connection waits for it.
    fn answer(&self, body: Body) -> impl Future<Output = Body> + Send;
}

/// A running server.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    tasks: TaskTracker,
}

impl Server {
    /// Binds an address and answers until the token is cancelled.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub async fn bind<H: Handler>(
        address: SocketAddr,
        secret: Secret,
        handler: Arc<H>,
        cancel: CancellationToken,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let tasks = TaskTracker::new();
        tasks.spawn(accept(listener, secret, handler, cancel, tasks.clone()));
        Ok(Self { address, tasks })
    }

    /// The address that was bound.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits until all connections have ended, after the token was cancelled.
    pub async fn closed(&self) {
        self.tasks.close();
        self.tasks.wait().await;
    }
}

async fn accept<H: Handler>(
    listener: TcpListener,
    secret: Secret,
    handler: Arc<H>,
    cancel: CancellationToken,
    tasks: TaskTracker,
) {
    loop {
        let accepted = tokio::select! {
            () = cancel.cancelled() => return,
            accepted = listener.accept() => accepted,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        let (secret, handler, cancel) = (secret.clone(), handler.clone(), cancel.clone());
        tasks.spawn(async move {
            tokio::select! {
                () = cancel.cancelled() => {}
                () = serve(stream, &secret, &*handler) => {}
            }
        });
    }
}

/// Answers one connection until it fails, is closed or falls silent.
async fn serve(mut stream: TcpStream, secret: &Secret, handler: &impl Handler) {
    let _ = stream.set_nodelay(true);
    loop {
        let read = tokio::time::timeout(IDLE_LIMIT, frame::read(&mut stream, secret)).await;
        let Ok(Ok(question)) = read else { return };
        let answer = Envelope::new(question.number, handler.answer(question.body).await);
        if frame::write(&mut stream, secret, &answer).await.is_err() {
            return;
        }
    }
}
