//! Serves the load balancer's readiness probe and the metrics.

use crate::forward::front::Shared;
use crate::forward::key_validity::boot_time;
use bytes::Bytes;
use caller::connection;
use entity::Span;
use forward::Followed;
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

/// Path of the metrics.
const METRICS: &str = "/metrics";
/// Time for which an idle connection is kept; the load balancer probes once a second.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Binds an address and serves requests until the token is cancelled.
///
/// # Errors
///
/// Returns an error if the address can't be bound.
pub async fn bind(
    address: SocketAddr,
    shared: Arc<Shared>,
    cancel: CancellationToken,
) -> io::Result<SocketAddr> {
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    tokio::spawn(async move {
        let spawn_service = |stream| drop(tokio::spawn(serve(stream, shared.clone())));
        connection::accept(listener, &cancel, spawn_service).await;
    });
    Ok(address)
}

async fn serve(stream: TcpStream, shared: Arc<Shared>) {
    let service = service_fn(move |request: Request<Incoming>| {
        let response = if request.uri().path() == METRICS {
            metrics(&shared)
        } else {
            answer(shared.check_ready())
        };
        async move { Ok::<_, Infallible>(response) }
    });
    // The client reopens a connection that fails.
    let _ = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(IDLE_TIMEOUT)
        .serve_connection(TokioIo::new(stream), service)
        .await;
}

fn metrics(shared: &Shared) -> Response<Full<Bytes>> {
    let core = &shared.core;
    let age = |topic| {
        let age = shared.freshness.age(topic, boot_time());
        age.map_or(f64::NAN, Span::as_secs_f64)
    };
    core.metric
        .set_gauge("config_age_seconds", age(Followed::Operator));
    core.metric
        .set_gauge("upstreams_age_seconds", age(Followed::Upstreams));
    let displaced = shared.freshness.updates().displaced();
    core.metric.set_gauge("displaced_updates", displaced as f64);
    core.metric
        .set_gauge("generation", core.generation().0 as f64);
    core.metric.set_gauge("streams", core.streams.len() as f64);
    core.metric
        .set_gauge("dropped_log_lines", core.recorder.dropped() as f64);
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
