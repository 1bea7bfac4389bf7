//! Connections of callers, whatever is said over them.

use crate::body::Body;
use crate::framing::{Framing, Ledger, Scanned};
use entity::{Span, unit};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::future::Future;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

/// Pause after a failed accept, such as one for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Smallest read buffer that hyper allows, in bytes.
const MIN_HEADER: usize = 8192;

/// Hands each connection to `take` until the token is cancelled.
pub async fn accept(
    listener: TcpListener,
    cancel: &CancellationToken,
    mut take: impl FnMut(TcpStream),
) {
    loop {
        let accepted = tokio::select! {
            // Connections that wait are accepted first, so that a shutdown cuts none of them off.
            biased;
            accepted = listener.accept() => accepted,
            () = cancel.cancelled() => return,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        take(stream);
    }
}

/// Answers the requests of a connection, each of which is told of with its framing. Its heads have at
/// most `header` bytes, and it is kept idle for `idle`; after the token was cancelled it ends with the
/// request that it carries.
pub(crate) async fn serve<F: Future<Output = Response<Body>>>(
    stream: TcpStream,
    (header, idle): (unit::Bytes, Span),
    cancel: &CancellationToken,
    answer: impl Fn(Request<Incoming>, Framing) -> F,
) {
    let header = usize::try_from(header.0).unwrap_or(usize::MAX);
    let ledger = Ledger::default();
    let scanned = Scanned::new(stream, ledger.clone());
    let service = service_fn(move |request| {
        let answer = answer(request, ledger.next());
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle.duration())
        .max_buf_size(header.max(MIN_HEADER))
        .serve_connection(TokioIo::new(scanned), service);
    tokio::pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => return,
        () = cancel.cancelled() => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}
