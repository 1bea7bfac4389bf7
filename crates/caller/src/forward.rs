//! HTTP server of requests that are passed on unchanged.
//!
//! The [`Dialect`] reads heads; what a request may do and where it runs is decided by the
//! [`Handler`].

use crate::body::{self, Body};
use crate::connection;
use crate::framing::Framing;
use crate::reply::Refusal;
use arc_swap::ArcSwap;
use bytes::Bytes;
use config::forward::Limits;
use entity::Span;
use entity::request;
use forward::head::{Head, Request};
use forward::{Dialect, dialect};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, CONTENT_TYPE, HeaderMap, HeaderValue};
use hyper::{Response, StatusCode};
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
        let tasks = connections.clone();
        connections.spawn(async move {
            let closing = shared.closing.clone();
            let take = |stream| drop(tasks.spawn(serve(stream, shared.clone())));
            connection::accept(listener, &closing, take).await;
        });
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

async fn serve<H: Handler>(stream: TcpStream, shared: Arc<Shared<H>>) {
    // Both only make the connection better: it serves without them.
    let _ = stream.set_nodelay(true);
    let _ = socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(USER_TIMEOUT));
    let limits = **shared.limits.load();
    let closing = shared.closing.clone();
    let answer = |request, framing| {
        let shared = shared.clone();
        async move { answer(&shared, request, framing).await }
    };
    connection::serve(
        stream,
        (limits.header, limits.idle_timeout),
        &closing,
        answer,
    )
    .await;
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
    let read = body::read(body, limits.body, BODY_LIMIT).await;
    read.unwrap_or_else(|_| {
        let status = StatusCode::REQUEST_TIMEOUT;
        let message = format!("the body did not arrive within {}", Span::from(BODY_LIMIT));
        Err(Refusal::not_run(status, "slow-body", message))
    })
}
