//! A stand-in of the platform's load balancer: each fixed port forwards bytes to one instance.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use tokio::io::copy_bidirectional;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

/// A port that forwards connections until its token is cancelled.
#[derive(Clone, Debug)]
pub(super) struct Balancer {
    pub(super) address: SocketAddr,
    target: Arc<Mutex<SocketAddr>>,
}

impl Balancer {
    /// Binds a free port and forwards its connections to `target`.
    pub(super) async fn spawn(
        target: SocketAddr,
        cancel: &CancellationToken,
    ) -> std::io::Result<Self> {
        let listener = TcpListener::bind(("127.0.0.1", 0)).await?;
        let balancer = Self {
            address: listener.local_addr()?,
            target: Arc::new(Mutex::new(target)),
        };
        let task = balancer.clone().accept(listener);
        let cancel = cancel.clone();
        tokio::spawn(async move { cancel.run_until_cancelled(task).await });
        Ok(balancer)
    }

    /// Sets the target of new connections; open connections keep theirs.
    pub(super) fn set_target(&self, target: SocketAddr) {
        *self.target.lock().unwrap_or_else(PoisonError::into_inner) = target;
    }

    fn target(&self) -> SocketAddr {
        *self.target.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn accept(self, listener: TcpListener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else {
                continue;
            };
            tokio::spawn(forward(stream, self.target()));
        }
    }
}

async fn forward(mut caller: TcpStream, target: SocketAddr) {
    let Ok(mut instance) = TcpStream::connect(target).await else {
        return;
    };
    // Errors are ignored: when either side closes its connection, the other one is closed too.
    let _ = caller.set_nodelay(true);
    let _ = instance.set_nodelay(true);
    let _ = copy_bidirectional(&mut caller, &mut instance).await;
}
