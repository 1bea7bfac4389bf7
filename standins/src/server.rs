//! The HTTP server that all stand-ins share.

use crate::fault::Switches;
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

/// Header that marks a refused request as not executed.
pub const NOT_RUN_HEADER: &str = "x-not-run";
/// Header that carries the id of a request.
pub const REQUEST_ID_HEADER: &str = "x-request-id";

/// Body of a reply; an error in it closes the connection.
pub type Body = UnsyncBoxBody<Bytes, io::Error>;
/// An HTTP reply.
pub type Reply = Response<Body>;
/// An HTTP request with its complete body.
pub type Call = Request<Bytes>;

/// Result of a call that closes the connection without a reply.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the connection was closed without a reply")]
pub struct Dropped;

/// The request handler of a stand-in.
pub trait Service: Send + Sync + 'static {
    /// Fault switches of the stand-in.
    type Faults: Clone + Serialize + DeserializeOwned + Send;

    /// Returns the fault switches, which `POST /faults` changes.
    fn faults(&self) -> &Switches<Self::Faults>;

    /// Called after the fault switches have changed.
    fn on_faults_changed(&self) {}

    /// Handles one call.
    fn call(self: Arc<Self>, call: Call) -> impl Future<Output = Result<Reply, Dropped>> + Send;
}

/// A running stand-in. It ends when it is stopped or dropped, or when its token is cancelled.
#[derive(Debug)]
pub struct Handle {
    /// Address that the stand-in listens on.
    pub address: SocketAddr,
    cancel: CancellationToken,
    task: Option<JoinHandle<()>>,
}

impl Handle {
    /// Stops the stand-in at once and closes open connections.
    pub async fn stop(mut self) {
        self.cancel.cancel();
        self.wait().await;
    }

    /// Waits until the stand-in has ended.
    pub async fn wait(&mut self) {
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

/// Starts a service on an address; port 0 selects any free port.
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

/// Accepts connections until the token is cancelled; dropping the set then closes all connections.
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
    // An error means that the client disconnected or that a fault closed the connection.
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
    service.on_faults_changed();
    Ok(change_reply(merged))
}

/// Builds a body from bytes.
pub fn full_body(bytes: impl Into<Bytes>) -> Body {
    let body = Full::new(bytes.into());
    body.map_err(|never| match never {}).boxed_unsync()
}

/// Builds a JSON reply.
pub fn json(status: StatusCode, value: &impl Serialize) -> Reply {
    let bytes = serde_json::to_vec(value).expect("a reply serializes to JSON");
    let mut reply = Response::new(full_body(bytes));
    *reply.status_mut() = status;
    reply.headers_mut().insert(
        CONTENT_TYPE,
        "application/json".parse().expect("a valid header value"),
    );
    reply
}

/// Builds a JSON reply that is truncated after half its bytes.
pub fn truncated_json(value: &impl Serialize) -> Reply {
    let whole = serde_json::to_vec(value).expect("a reply serializes to JSON");
    let half = Bytes::copy_from_slice(&whole[..whole.len() / 2]);
    let frames = [
        Ok(Frame::data(half)),
        Err(io::Error::other("the reply is truncated")),
    ];
    let body = StreamBody::new(tokio_stream::iter(frames));
    let mut reply = Response::new(body.boxed_unsync());
    reply
        .headers_mut()
        .insert(CONTENT_LENGTH, whole.len().into());
    reply
}

/// Builds an error reply with a code.
pub fn error(status: StatusCode, code: &str) -> Reply {
    json(status, &serde_json::json!({"error": {"code": code}}))
}

/// Builds a rate-limit refusal that asks for a retry after one second.
pub fn rate_limited() -> Reply {
    let mut reply = error(StatusCode::TOO_MANY_REQUESTS, "rate_limited");
    reply
        .headers_mut()
        .insert(RETRY_AFTER, "1".parse().expect("a valid header value"));
    reply
}

/// Builds a refusal that states that the request was not executed.
pub fn not_run(code: &str) -> Reply {
    let mut reply = error(StatusCode::SERVICE_UNAVAILABLE, code);
    reply.headers_mut().insert(
        NOT_RUN_HEADER,
        "true".parse().expect("a valid header value"),
    );
    reply
}

/// Builds the reply to a change that was sent as JSON.
pub fn change_reply(result: serde_json::Result<()>) -> Reply {
    match result {
        Ok(()) => json(StatusCode::OK, &serde_json::json!({})),
        Err(error) => json(
            StatusCode::BAD_REQUEST,
            &serde_json::json!({"error": {"code": "invalid", "message": error.to_string()}}),
        ),
    }
}

/// Returns a header of a call as text, or an empty text if it is missing.
pub fn header<'a>(call: &'a Call, name: &str) -> &'a str {
    call.headers()
        .get(name)
        .and_then(|value| value.to_str().ok())
        .unwrap_or_default()
}

/// Sleeps for a number of milliseconds.
pub async fn sleep_ms(millis: u64) {
    if millis > 0 {
        tokio::time::sleep(Duration::from_millis(millis)).await;
    }
}

/// Returns the current time in milliseconds since the Unix epoch.
pub fn unix_millis() -> u64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or(Duration::ZERO)
        .as_millis() as u64
}
