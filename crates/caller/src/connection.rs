//! Callers' connections, independent of the dialect spoken over them.

use crate::body::Body;
use crate::framing::{Framing, FramingQueue, ScannedStream};
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

/// Delay after a failed accept, for instance when the process is out of file descriptors.
const ACCEPT_RETRY_DELAY: Duration = Duration::from_millis(50);
/// Smallest read buffer that hyper accepts.
const MIN_READ_BUFFER_BYTES: usize = 8192;

/// Accepts connections and passes each to `handle` until the token is cancelled.
pub async fn accept(
    listener: TcpListener,
    cancel: &CancellationToken,
    handle: impl FnMut(TcpStream),
) {
    accept_when(listener, cancel, || std::future::ready(()), handle).await;
}

/// Accepts connections as [`accept`] does, each once `room` is ready.
pub(crate) async fn accept_when<F: Future<Output = ()>>(
    listener: TcpListener,
    cancel: &CancellationToken,
    mut room: impl FnMut() -> F,
    mut handle: impl FnMut(TcpStream),
) {
    loop {
        let accepted = async {
            room().await;
            listener.accept().await
        };
        let accepted = tokio::select! {
            // Pending connections are accepted before a shutdown, so that it aborts none of them.
            biased;
            accepted = accepted => accepted,
            () = cancel.cancelled() => return,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_RETRY_DELAY).await;
            continue;
        };
        handle(stream);
    }
}

/// Serves the requests of a connection; `answer` gets each with its framing. Heads have at most
/// `header` bytes, and the connection is closed after being idle for `idle`. Once the token is
/// cancelled, the connection is closed after the request in progress.
pub(crate) async fn serve<F: Future<Output = Response<Body>>>(
    stream: TcpStream,
    (header, idle): (unit::Bytes, Span),
    cancel: &CancellationToken,
    answer: impl Fn(Request<Incoming>, Framing) -> F,
) {
    let header = usize::try_from(header.0).unwrap_or(usize::MAX);
    let framings = FramingQueue::default();
    let scanned = ScannedStream::new(stream, framings.clone());
    let service = service_fn(move |request| {
        let answer = answer(request, framings.next());
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(idle.duration())
        .max_buf_size(header.max(MIN_READ_BUFFER_BYTES))
        .serve_connection(TokioIo::new(scanned), service);
    tokio::pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => return,
        () = cancel.cancelled() => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}
