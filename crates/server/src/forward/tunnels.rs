//! Carries connections to upstreams for peers whose own links are cut.

use crate::forward::front::Shared;
use peer::message::{Opened, Tunnel};
use peer::tunnel::{self, Framing};
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio_util::sync::CancellationToken;
use upstream::dial::{Transport, set_options};

/// Largest number of connections that are carried at once.
const MAX_CARRIED: usize = 256;
/// Delay after a failed accept, for instance when the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);

/// Binds the address and starts to take questions of peers.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub async fn bind(
    address: SocketAddr,
    shared: Arc<Shared>,
    cancel: CancellationToken,
) -> io::Result<()> {
    let listener = TcpListener::bind(address).await?;
    tokio::spawn(async move {
        tokio::select! {
            () = cancel.cancelled() => {}
            () = accept(listener, shared) => {}
        }
    });
    Ok(())
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    let carried = Arc::new(Semaphore::new(MAX_CARRIED));
    loop {
        let Ok((stream, from)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        if !shared.paths.is_peer(from) {
            continue;
        }
        let Ok(permit) = carried.clone().try_acquire_owned() else {
            continue;
        };
        let task = serve(stream, shared.clone(), permit);
        // A shutdown waits for what is carried as for own streams.
        shared.core.streams.spawn(task);
    }
}

/// Carries a connection for a peer, which has a place as long as the permit lasts.
async fn serve(mut stream: TcpStream, shared: Arc<Shared>, _permit: OwnedSemaphorePermit) {
    set_options(&stream);
    if let Some((upstream, framing)) = answer(&mut stream, &shared).await {
        tunnel::carry(stream, upstream, framing).await;
    }
}

/// Answers the question of a peer. Returns the connection to the upstream if it is open, and how its bytes
/// are handed on.
async fn answer(stream: &mut TcpStream, shared: &Shared) -> Option<(Box<dyn Transport>, Framing)> {
    let question = tunnel::read::<Tunnel>(stream);
    let question = tokio::time::timeout(tunnel::QUESTION_TIMEOUT, question).await;
    let question = question.ok()?.ok()?;
    let opened = open(&question, shared).await;
    let failure = match &opened {
        Ok(_) => String::new(),
        Err(error) if error.kind() == io::ErrorKind::ConnectionRefused => {
            tunnel::REFUSED.to_owned()
        }
        Err(error) if error.kind() == io::ErrorKind::TimedOut => tunnel::SILENT.to_owned(),
        Err(error) => error.to_string(),
    };
    // A peer of a build without frames asks for none.
    let framing = match question.framed {
        Some(true) => Framing::Framed,
        Some(false) | None => Framing::Bare,
    };
    let framed = (framing == Framing::Framed).then_some(true);
    let answer = Opened::new(failure, framed);
    tunnel::write(stream, &answer).await.ok()?;
    Some((opened.ok()?, framing))
}

/// Connects to an upstream in force for a peer.
async fn open(question: &Tunnel, shared: &Shared) -> io::Result<Box<dyn Transport>> {
    if shared.core.is_draining() {
        return Err(io::Error::other("this instance is being shut down"));
    }
    let address: SocketAddr = question.upstream.parse().map_err(io::Error::other)?;
    let snapshot = shared.core.snapshot();
    let upstreams = snapshot
        .iter()
        .flat_map(|snapshot| snapshot.config.upstreams.values());
    if !upstreams.into_iter().any(|known| known.address == address) {
        return Err(io::Error::other("no upstream has this address"));
    }
    shared.paths.dial_for_peer(address).await
}
