//! The HTTP server that all stand-ins share.

use crate::fault::Switch;
use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full, StreamBody};
use hyper::body::{Frame, Incoming};
use hyper::header::{CONTENT_LENGTH, CONTENT_TYPE, RETRY_AFTER};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Method, Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use serde::Serialize;
use serde::de::DeserializeOwned;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::{Duration, SystemTime, UNIX_EPOCH};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::{JoinHandle, JoinSet};
use tokio_util::sync::CancellationToken;

/// The header that says that a refused request did not run.
pub const NOT_RUN: &str = "x-not-run";
/// The header that bears the id of a request.
pub const REQUEST_ID: &str = "x-request-id";

/// The body of a reply; an error in it ends the connection.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;
/// A reply.
pub type Reply = Response<Body>;
/// A call with its whole body.
pub type Call = Request<Bytes>;

/// The connection is closed without a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the connection is closed without a reply")]
pub struct Dropped;

/// What a stand-in answers.
pub trait Service: Send + Sync + 'static {
    /// Its fault switches.
    type Faults: Clone + Serialize + DeserializeOwned + Send;

    /// Its fault switches, which `POST /faults` changes.
    fn faults(&self) -> &Switch<Self::Faults>;

    /// Is called after the fault switches changed.
    fn switched(&self) {}

    /// Answers one call.
    fn call(self: Arc<Self>, call: Call) -> impl Future<Output = Result<Reply, Dropped>> + Send;
}

/// A running stand-in; it ends when it is stopped, dropped or its token is cancelled.
#[derive(Debug)]
pub struct Handle {
    /// Where it listens.
    pub address: SocketAddr,
    cancel: CancellationToken,
    task: Option<JoinHandle<()>>,
}

impl Handle {
    /// Ends it at once: open connections are cut off.
    pub async fn stop(mut self) {
        self.cancel.cancel();
        self.ended().await;
    }

    /// Returns once it has ended.
    pub async fn ended(&mut self) {
        if let Some(task) = self.task.take() {
            task.await.expect("the accept loop does not panic");
        }
    }
}

impl Drop for Handle {
    fn drop(&mut self) {
        self.cancel.cancel();
    }
}

/// Serves on an address, of which port 0 stands for any free port.
///
/// # Errors
///
/// Returns the error of binding the address.
pub async fn spawn<S: Service>(
    service: Arc<S>,
    address: SocketAddr,
    cancel: &CancellationToken,
) -> io::Result<Handle> {
    let listener = TcpListener::bind(address).await?;
    let address = listener.local_addr()?;
    let cancel = cancel.child_token();
    let task = tokio::spawn(accept(listener, service, cancel.clone()));
    Ok(Handle {
        address,
        cancel,
        task: Some(task),
    })
}

/// Accepts until the token is cancelled; dropping the set then cuts off all connections.
async fn accept<S: Service>(listener: TcpListener, service: Arc<S>, cancel: CancellationToken) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            () = cancel.cancelled() => return,
            Some(_) = connections.join_next() => {}
            accepted = listener.accept() => {
                let Ok((stream, _)) = accepted else { continue };
                connections.spawn(serve(stream, Arc::clone(&service)));
            }
        }
    }
}

async fn serve<S: Service>(stream: TcpStream, service: Arc<S>) {
    if stream.set_nodelay(true).is_err() {
        return;
    }
    let answer = service_fn(move |request| answer(Arc::clone(&service), request));
    // An error means that the peer went away or that a fault closed the connection.
    let _ = http1::Builder::new()
        .serve_connection(TokioIo::new(stream), answer)
        .await;
}

async fn answer<S: Service>(service: Arc<S>, request: Request<Incoming>) -> Result<Reply, Dropped> {
    let (head, body) = request.into_parts();
    let body = body.collect().await.map_err(|_| Dropped)?.to_bytes();
    if head.method != Method::POST || head.uri.path() != "/faults" {
        return service.call(Request::from_parts(head, body)).await;
    }
    let merged = service.faults().merge(&body);
    service.switched();
    Ok(changed(merged))
}

/// A body of known bytes.
pub fn full(bytes: impl Into<Bytes>) -> Body {
    let body = Full::new(bytes.into());
    body.map_err(|never| match never {}).boxed_unsync()
}

/// A JSON reply.
pub fn json(status: StatusCode, value: &impl Serialize) -> Reply {
    let bytes = serde_json::to_vec(value).expect("replies have a JSON form");
    let mut reply = Response::new(full(bytes));
    *reply.status_mut() = status;
    reply
        .headers_mut()
        .insert(CONTENT_TYPE, "application/json".parse().expect("a header"));
    reply
}

/// A JSON reply that breaks off after half its bytes.
pub fn cut(value: &impl Serialize) -> Reply {
    let whole = serde_json::to_vec(value).expect("replies have a JSON form");
    let half = Bytes::copy_from_slice(&whole[..whole.len() / 2]);
    let frames = [
        Ok(Frame::data(half)),
        Err(io::Error::other("the answer is cut off")),
    ];
    let body = StreamBody::new(tokio_stream::iter(frames));
    let mut reply = Response::new(body.boxed_unsync());
    reply
        .headers_mut()
        .insert(CONTENT_LENGTH, whole.len().into());
    reply
}

/// An error reply with a code.
pub fn error(status: StatusCode, code: &str) -> Reply {
    json(status, &serde_json::json!({"error": {"code": code}}))
}

/// A refusal by rate, to be retried after a second.
pub fn limited() -> Reply {
    let mut reply = error(StatusCode::TOO_MANY_REQUESTS, "rate_limited");
    reply
        .headers_mut()
        .insert(RETRY_AFTER, "1".parse().expect("a header"));
    reply
}

/// A refusal that says that the request did not run.
pub fn not_run(code: &str) -> Reply {
    let mut reply = error(StatusCode::SERVICE_UNAVAILABLE, code);
    reply
        .headers_mut()
        .insert(NOT_RUN, "true".parse().expect("a header"));
    reply
}

/// The reply to a change that is given as JSON.
pub fn changed(result: serde_json::Result<()>) -> Reply {
    match result {
        Ok(()) => json(StatusCode::OK, &serde_json::json!({})),
        Err(error) => json(
            StatusCode::BAD_REQUEST,
            &serde_json::json!({"error": {"code": "invalid", "message": error.to_string()}}),
        ),
    }
}

/// A header of a call as text, empty where it is missing.
pub fn header<'a>(call: &'a Call, name: &str) -> &'a str {
    call.headers()
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
}

/// Waits for a number of milliseconds.
pub async fn pause(millis: u64) {
    if millis > 0 {
        tokio::time::sleep(Duration::from_millis(millis)).await;
    }
}

/// Milliseconds since the Unix epoch.
pub fn unix_millis() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or(Duration::ZERO)
        .as_millis() as u64
}
