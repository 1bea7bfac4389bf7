//! Upstreams that record every run and inject faults at fixed request numbers.

use crate::support::{Body, serve, whole};
use bytes::Bytes;
use http_body_util::{BodyExt, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::{Request, Response, StatusCode};
use std::net::SocketAddr;
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::sync::mpsc;

/// Number of events of a complete stream.
pub const EVENT_COUNT: u64 = 6;

/// One run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    /// Request id.
    pub id: String,
    /// Organisation for which the request ran.
    pub tenant: String,
}

/// All runs at all upstreams.
pub type Runs = Arc<Mutex<Vec<Run>>>;

/// Serves as the upstream `name` on a free port, and returns its address.
pub async fn spawn(name: &'static str, runs: Runs) -> SocketAddr {
    let request_count = Arc::new(AtomicU32::new(0));
    serve(move |request: Request<Incoming>| {
        let (runs, request_number) = (runs.clone(), request_count.fetch_add(1, Ordering::Relaxed));
        async move { answer(name, request, &runs, request_number).await }
    })
    .await
}

/// Returns the value of a header, or an empty text if the header is missing.
fn text(request: &Request<Incoming>, name: &str) -> String {
    let value = request.headers().get(name);
    value.map_or_else(String::new, |value| value.to_str().unwrap().to_owned())
}

async fn answer(
    name: &str,
    request: Request<Incoming>,
    runs: &Runs,
    request_number: u32,
) -> Response<Body> {
    let id = text(&request, "request-id");
    let last_event_id: u64 = text(&request, "last-event-id").parse().unwrap_or(0);
    let is_stream = request.uri().path().starts_with("/draft/");
    let mut response = Response::new(whole(format!("answer:{id}")));
    response
        .headers_mut()
        .insert("request-id", id.parse().unwrap());
    if text(&request, "expect-instance") != name {
        *response.status_mut() = StatusCode::MISDIRECTED_REQUEST;
        return response;
    }
    if request_number % 17 == 5 {
        *response.status_mut() = StatusCode::SERVICE_UNAVAILABLE;
        response
            .headers_mut()
            .insert("not-executed", "1".parse().unwrap());
        return response;
    }
    runs.lock().unwrap().push(Run {
        id,
        tenant: text(&request, "tenant"),
    });
    response
        .headers_mut()
        .insert("server-seal", "3e1b".parse().unwrap());
    match request_number % 23 {
        3 => *response.status_mut() = StatusCode::INTERNAL_SERVER_ERROR,
        9 => tokio::time::sleep(Duration::from_secs(5)).await,
        11 => {
            response
                .headers_mut()
                .insert("request-id", "ffff".parse().unwrap());
        }
        _ => tokio::time::sleep(Duration::from_millis(10)).await,
    }
    if is_stream && response.status().is_success() {
        let broken = request_number % 7 == 2;
        *response.body_mut() = stream(last_event_id, broken);
    }
    response
}

/// Returns the events after the given one, truncated within the third of them if `broken`.
fn stream(last_event_id: u64, broken: bool) -> Body {
    let (sender, receiver) = mpsc::channel::<std::io::Result<Frame<Bytes>>>(8);
    tokio::spawn(async move {
        for event in last_event_id + 1..=EVENT_COUNT {
            let whole = format!("id: {event}\ndata: e{event}\n\n");
            let bytes = if broken && event == last_event_id + 3 {
                whole[..whole.len() / 2].to_owned()
            } else {
                whole
            };
            if sender.send(Ok(Frame::data(bytes.into()))).await.is_err() {
                return;
            }
            tokio::time::sleep(Duration::from_millis(15)).await;
            if broken && event == last_event_id + 3 {
                let _ = sender.send(Err(std::io::Error::other("broken"))).await;
                return;
            }
        }
    });
    let frames = tokio_stream::wrappers::ReceiverStream::new(receiver);
    BodyExt::boxed(StreamBody::new(frames))
}
