//! Server side of the protocol.

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

/// Time after which a peer's idle connection is closed.
const IDLE_TIMEOUT: Duration = Duration::from_secs(60);
/// Delay after a failed accept, for instance when the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Handler of requests from peers.
pub trait Handler: Send + Sync + 'static {
    /// Returns the answer to a request. The next request on the same connection waits for it.
    fn answer(&self, body: Body) -> impl Future<Output = Body> + Send;
}

/// Running server.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    tasks: TaskTracker,
}

impl Server {
    /// Binds an address and serves until the token is cancelled.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
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

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits until all connections are closed. Call it after the token is cancelled.
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
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
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

/// Serves a connection until it fails, is closed or is idle for too long.
async fn serve(mut stream: TcpStream, secret: &Secret, handler: &impl Handler) {
    let _ = stream.set_nodelay(true);
    loop {
        let read = tokio::time::timeout(IDLE_TIMEOUT, frame::read(&mut stream, secret)).await;
        let Ok(Ok(request)) = read else { return };
        let answer = Envelope::new(request.number, handler.answer(request.body).await);
        if frame::write(&mut stream, secret, &answer).await.is_err() {
            return;
        }
    }
}
