//! HTTP server of requests that are passed on unchanged.
//!
//! The [`Dialect`] reads heads; what a request may do and where it runs is decided by the
//! [`Handler`].

use crate::body::{self, Body};
use crate::framing::{Framing, Ledger, Scanned};
use crate::reply::Refusal;
use arc_swap::ArcSwap;
use bytes::Bytes;
use config::forward::Limits;
use entity::Span;
use entity::request;
use forward::head::{Head, Request};
use forward::{Dialect, dialect};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderMap, HeaderValue};
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Response, StatusCode};
use hyper_util::rt::{TokioIo, TokioTimer};
use std::convert::Infallible;
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::mpsc;
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

pub use crate::body::Piece;

/// Pause after a failed accept, such as one for want of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(50);
/// Smallest read buffer that hyper allows, in bytes.
const MIN_HEADER: usize = 8192;
/// Longest time for a body to arrive; callers give a request up that is not read within a second
/// or a third of their time.
const BODY_LIMIT: Duration = Duration::from_secs(10);
/// How long a connection that is silent may still be alive: a request that is lost behind it is
/// noticed within this time.
const USER_TIMEOUT: Duration = Duration::from_secs(5);

/// A request on its way.
#[derive(Debug)]
pub struct Arrival {
    /// The request.
    pub request: Request,
    /// When its head had arrived.
    pub at: Instant,
    /// Cancelled when the caller has gone.
    pub gone: CancellationToken,
}

/// An upstream's answer on its way to the caller.
#[derive(Debug)]
pub struct Passed {
    /// Its status.
    pub status: StatusCode,
    /// Its headers, without those of one connection.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Content,
}

/// The body of an answer.
#[derive(Debug)]
pub enum Content {
    /// It is there.
    Whole(Bytes),
    /// It arrives in pieces; a channel that closes without [`Piece::End`] breaks the connection off.
    Pieces(mpsc::Receiver<Piece>),
}

/// The reply to one request.
#[derive(Debug)]
pub enum Reply {
    /// An upstream's answer.
    Passed(Passed),
    /// No upstream's answer, and why.
    Refused(Refusal),
}

/// Answers requests.
pub trait Handler: Send + Sync + 'static {
    /// The reply to one request. It runs as a task of its own, which learns by a token that the
    /// caller has gone.
    fn handle(&self, arrival: Arrival) -> impl Future<Output = Reply> + Send;

    /// Is told of a request that could not be read.
    fn unreadable(&self, refusal: &Refusal);
}

/// A running server.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    connections: TaskTracker,
}

struct Shared<H> {
    handler: H,
    dialect: Arc<dyn Dialect>,
    limits: Arc<ArcSwap<Limits>>,
    /// Cancelled when answers have to tell callers to open another connection.
    leaving: CancellationToken,
    /// Cancelled when idle connections are closed.
    closing: CancellationToken,
    tasks: TaskTracker,
}

/// The tokens by which a server is shut down, in this order.
#[derive(Clone, Debug)]
pub struct Shutdown {
    /// Answers tell callers to open another connection from now on.
    pub leaving: CancellationToken,
    /// No connection is accepted any more, and those that are open end with their request.
    pub closing: CancellationToken,
}

impl Server {
    /// Binds an address and serves until it is shut down.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub async fn bind<H: Handler>(
        address: SocketAddr,
        dialect: Arc<dyn Dialect>,
        limits: Arc<ArcSwap<Limits>>,
        handler: H,
        shutdown: Shutdown,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let connections = TaskTracker::new();
        let shared = Arc::new(Shared {
            handler,
            dialect,
            limits,
            leaving: shutdown.leaving,
            closing: shutdown.closing,
            tasks: connections.clone(),
        });
        connections.spawn(accept(listener, shared));
        Ok(Self {
            address,
            connections,
        })
    }

    /// The address that was bound.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits until each request was answered, after the server was told to close.
    pub async fn closed(&self) {
        self.connections.close();
        self.connections.wait().await;
    }
}

async fn accept<H: Handler>(listener: TcpListener, shared: Arc<Shared<H>>) {
    loop {
        let accepted = tokio::select! {
            // Connections that wait are accepted first, so that a shutdown cuts none of them off.
            biased;
            accepted = listener.accept() => accepted,
            () = shared.closing.cancelled() => return,
        };
        let Ok((stream, _)) = accepted else {
            tokio::time::sleep(ACCEPT_PAUSE).await;
            continue;
        };
        shared.tasks.spawn(serve(stream, shared.clone()));
    }
}

async fn serve<H: Handler>(stream: TcpStream, shared: Arc<Shared<H>>) {
    // Both only make the connection better: it serves without them.
    let _ = stream.set_nodelay(true);
    let _ = socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(USER_TIMEOUT));
    let limits = **shared.limits.load();
    let header = usize::try_from(limits.header.0).unwrap_or(usize::MAX);
    let ledger = Ledger::default();
    let scanned = Scanned::new(stream, ledger.clone());
    let closing = shared.closing.clone();
    let service = service_fn(move |request| {
        let (shared, framing) = (shared.clone(), ledger.next());
        async move { Ok::<_, Infallible>(answer(&shared, request, framing).await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(limits.idle.duration())
        .max_buf_size(header.max(MIN_HEADER))
        .serve_connection(TokioIo::new(scanned), service);
    tokio::pin!(connection);
    tokio::select! {
        _ = connection.as_mut() => return,
        () = closing.cancelled() => connection.as_mut().graceful_shutdown(),
    }
    let _ = connection.await;
}

async fn answer<H: Handler>(
    shared: &Arc<Shared<H>>,
    request: hyper::Request<Incoming>,
    framing: Framing,
) -> Response<Body> {
    let at = Instant::now();
    let (parts, body) = request.into_parts();
    let head = match read_head(shared, &parts, framing) {
        Ok(head) => head,
        Err(refusal) => return refuse(shared, &refusal, None, true),
    };
    let id = head.id.clone();
    let body = match collect(body, **shared.limits.load()).await {
        Ok(body) => body,
        Err(refusal) => return refuse(shared, &refusal, Some(&id), true),
    };
    let gone = CancellationToken::new();
    let guard = gone.clone().drop_guard();
    let arrival = Arrival {
        request: Request { head, body },
        at,
        gone,
    };
    let task = {
        let shared = shared.clone();
        let tasks = shared.tasks.clone();
        tasks.spawn(async move { shared.handler.handle(arrival).await })
    };
    let reply = task.await;
    guard.disarm();
    let leaving = shared.leaving.is_cancelled();
    match reply {
        Ok(Reply::Passed(passed)) => pass(passed, leaving),
        Ok(Reply::Refused(refusal)) => refuse(shared, &refusal, Some(&id), leaving),
        Err(error) => {
            let message = format!("the request's task ended without a reply: {error}");
            let status = StatusCode::BAD_GATEWAY;
            let refusal = Refusal::may_have_run(status, "internal", message);
            refuse(shared, &refusal, Some(&id), leaving)
        }
    }
}

fn read_head<H: Handler>(
    shared: &Shared<H>,
    parts: &hyper::http::request::Parts,
    framing: Framing,
) -> Result<Head, Refusal> {
    let head = match framing {
        Framing::Sound => shared.dialect.head(parts),
        Framing::Ambiguous => Err(dialect::Error::Length),
    };
    head.map_err(|error| Refusal::not_run(StatusCode::BAD_REQUEST, "bad-head", error.to_string()))
}

fn pass(passed: Passed, leaving: bool) -> Response<Body> {
    let body = match passed.body {
        Content::Whole(bytes) => body::whole(bytes),
        Content::Pieces(pieces) => body::pieces(pieces),
    };
    let mut response = Response::new(body);
    *response.status_mut() = passed.status;
    *response.headers_mut() = passed.headers;
    close(&mut response, leaving);
    response
}

fn refuse<H: Handler>(
    shared: &Shared<H>,
    refusal: &Refusal,
    id: Option<&str>,
    leaving: bool,
) -> Response<Body> {
    if id.is_none() || refusal.code == "body-too-large" {
        shared.handler.unreadable(refusal);
    }
    let mut response = Response::new(body::whole(refusal.json(request::Id(0))));
    *response.status_mut() = refusal.status;
    let content_type = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    shared.dialect.own_answer(
        id.unwrap_or_default(),
        refusal.retry_after,
        response.headers_mut(),
    );
    close(&mut response, leaving);
    response
}

fn close(response: &mut Response<Body>, leaving: bool) {
    if leaving {
        let close = HeaderValue::from_static("close");
        response.headers_mut().insert(CONNECTION, close);
    }
}

async fn collect(body: Incoming, limits: Limits) -> Result<Bytes, Refusal> {
    let size = usize::try_from(limits.body.0).unwrap_or(usize::MAX);
    let collected = tokio::time::timeout(BODY_LIMIT, Limited::new(body, size).collect()).await;
    let Ok(collected) = collected else {
        let status = StatusCode::REQUEST_TIMEOUT;
        let message = format!("the body did not arrive within {}", Span::from(BODY_LIMIT));
        return Err(Refusal::not_run(status, "slow-body", message));
    };
    match collected {
        Ok(whole) => Ok(whole.to_bytes()),
        Err(error) if error.is::<LengthLimitError>() => {
            let message = format!("the body has more than {}", limits.body);
            let status = StatusCode::PAYLOAD_TOO_LARGE;
            Err(Refusal::not_run(status, "body-too-large", message))
        }
        Err(error) => {
            let status = StatusCode::BAD_REQUEST;
            Err(Refusal::not_run(status, "bad-body", error.to_string()))
        }
    }
}
