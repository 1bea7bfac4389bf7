//! Tells the balancer whether the instance is ready.

use crate::forward::front::Shared;
use bytes::Bytes;
use http_body_util::Full;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

/// Pause after a failed accept, such as one for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// How long an idle connection is kept; the balancer asks once a second.
const IDLE_LIMIT: Duration = Duration::from_secs(15);

/// Binds an address and answers until the token is cancelled.
///
/// # Errors
///
/// The address can't be bound.
pub async fn bind(
    address: SocketAddr,
    shared: Arc<Shared>,
    cancel: CancellationToken,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        tokio::select! {
            () = cancel.cancelled() => {}
            () = accept(listener, shared) => {}
        }
    });
    Ok(address)
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    loop {
        let Ok((stream, _)) = listener.accept().await else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        tokio::spawn(serve(stream, shared.clone()));
    }
}

async fn serve(stream: TcpStream, shared: Arc<Shared>) {
    let service = service_fn(move |_| {
        let ready = shared.is_ready();
        async move { Ok::<_, Infallible>(answer(ready)) }
    });
    // A connection that breaks is opened again by whoever asks.
    let _ = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE_LIMIT)
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

fn answer(ready: Result<(), &'static str>) -> Response<Full<Bytes>> {
    let (status, text) = match ready {
        Ok(()) => (StatusCode::OK, "ready"),
        Err(reason) => (StatusCode::SERVICE_UNAVAILABLE, reason),
    };
    let mut response = Response::new(Full::new(Bytes::from_static(text.as_bytes())));
    *response.status_mut() = status;
    response
}
