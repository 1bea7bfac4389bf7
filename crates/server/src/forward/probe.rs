//! Tells the balancer whether the instance is ready, and operators its metrics.

use crate::forward::belief::boot_time;
use crate::forward::front::Shared;
use bytes::Bytes;
use caller::connection;
use entity::Span;
use forward::source::Topic;
use http_body_util::Full;
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio_util::sync::CancellationToken;

/// Where metrics are read.
const METRICS: &str = "/metrics";
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
        let take = |stream| drop(tokio::spawn(serve(stream, shared.clone())));
        connection::accept(listener, &cancel, take).await;
    });
    Ok(address)
}

async fn serve(stream: TcpStream, shared: Arc<Shared>) {
    let service = service_fn(move |request: Request<Incoming>| {
        let response = if request.uri().path() == METRICS {
            metrics(&shared)
        } else {
            answer(shared.is_ready())
        };
        async move { Ok::<_, Infallible>(response) }
    });
    // A connection that breaks is opened again by whoever asks.
    let _ = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE_LIMIT)
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

fn metrics(shared: &Shared) -> Response<Full<Bytes>> {
    let core = &shared.core;
    let age = shared.freshness.age(Topic::Operator, boot_time());
    let age = age.map_or(f64::NAN, Span::as_secs_f64);
    core.metric.set("config_age_seconds", age);
    core.metric.set("generation", core.generation().0 as f64);
    core.metric.set("streams", core.streams.len() as f64);
    core.metric
        .set("dropped_log_lines", core.recorder.dropped() as f64);
    match core.metric.text() {
        Ok(text) => Response::new(Full::new(text.into())),
        Err(error) => {
            let mut response = Response::new(Full::new(error.to_string().into()));
            *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR;
            response
        }
    }
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
