//! HTTP server for requests that are forwarded unchanged.
//!
//! The [`Dialect`] parses heads; the [`Handler`] decides what a request may do and where it runs.

use crate::bodies::{Bodies, Lease};
use crate::body::{self, Body};
use crate::connection;
use crate::connections::{Connections, Place};
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
use settings::forward::Capacity;
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

/// Longest time for a body to arrive. Callers abandon a request that is not read within a second or a
/// third of their time budget.
const BODY_READ_TIMEOUT: Span = Span::from_secs(10);
/// Codes of refusals of a body that could not be read or held.
const UNREADABLE_CODES: [&str; 3] = ["body-too-large", "bodies-full", "slow-body"];
/// TCP user timeout of callers' connections: a connection whose sent bytes stay unacknowledged for
/// this long is closed, which bounds the time until a lost caller is noticed.
const USER_TIMEOUT: Duration = Duration::from_secs(5);

/// Request that has arrived from a caller.
#[derive(Debug)]
pub struct Arrival {
    /// Head and body of the request.
    pub request: Request,
    /// Time at which the head had arrived.
    pub at: Instant,
    /// Cancelled when the caller disconnects.
    pub disconnected: CancellationToken,
    /// Memory of the body.
    pub lease: Lease,
}

/// Answer of an upstream that is forwarded to the caller.
#[derive(Debug)]
pub struct Forwarded {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers without the hop-by-hop ones.
    pub headers: HeaderMap,
    /// Body of the answer.
    pub body: Content,
}

/// Body of an answer.
#[derive(Debug)]
pub enum Content {
    /// Complete body.
    Whole(Bytes),
    /// Body that arrives in pieces. If the channel closes without [`Piece::End`], the connection is
    /// aborted.
    Pieces(mpsc::Receiver<Piece>),
}

/// Reply to a request.
#[derive(Debug)]
pub enum Reply {
    /// Answer of an upstream.
    Forwarded(Forwarded),
    /// Refusal by this instance, with its reason.
    Refused(Refusal),
}

/// Handler of forwarded requests.
pub trait Handler: Send + Sync + 'static {
    /// Handles a request and returns the reply. Runs in a task of its own;
    /// [`Arrival::disconnected`] signals that the caller has disconnected.
    fn handle(&self, arrival: Arrival) -> impl Future<Output = Reply> + Send;

    /// Records a request that was refused because it could not be read.
    fn record_unreadable(&self, refusal: &Refusal);
}

/// Running server.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    connections: TaskTracker,
}

struct Shared<H> {
    handler: H,
    dialect: Arc<dyn Dialect>,
    limits: Arc<ArcSwap<Limits>>,
    bodies: Bodies,
    places: Connections,
    /// Cancelled when answers start to carry `Connection: close`.
    leaving: CancellationToken,
    /// Cancelled when idle connections are closed.
    closing: CancellationToken,
    tasks: TaskTracker,
}

/// Tokens that shut a server down; they are cancelled in this order.
#[derive(Clone, Debug)]
pub struct Shutdown {
    /// Once cancelled, answers carry `Connection: close`, so that callers reconnect elsewhere.
    pub leaving: CancellationToken,
    /// Once cancelled, no connection is accepted, and each open one is closed after the request in
    /// progress.
    pub closing: CancellationToken,
}

impl Server {
    /// Binds an address and serves until it is shut down.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
    pub async fn bind<H: Handler>(
        address: SocketAddr,
        dialect: Arc<dyn Dialect>,
        limits: Arc<ArcSwap<Limits>>,
        capacity: Capacity,
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
            bodies: Bodies::new(capacity.bodies()),
            places: Connections::new(capacity.callers()),
            leaving: shutdown.leaving,
            closing: shutdown.closing,
            tasks: connections.clone(),
        });
        let tasks = connections.clone();
        connections.spawn(async move {
            let closing = shared.closing.clone();
            let places = shared.places.clone();
            let room = || places.wait_for_closed();
            let handle = |stream| {
                // Without a place the connection is closed at once.
                if let Some(place) = shared.places.open() {
                    tasks.spawn(serve(stream, place, shared.clone()));
                }
            };
            connection::accept_when(listener, &closing, room, handle).await;
        });
        Ok(Self {
            address,
            connections,
        })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits until all requests are answered. Call it after [`Shutdown::closing`] is cancelled.
    pub async fn closed(&self) {
        self.connections.close();
        self.connections.wait().await;
    }
}

async fn serve<H: Handler>(stream: TcpStream, place: Place, shared: Arc<Shared<H>>) {
    // Both options are optimisations; the connection works without them.
    let _ = stream.set_nodelay(true);
    let _ = socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(USER_TIMEOUT));
    let place = Arc::new(place);
    let limits = **shared.limits.load();
    let closing = shared.closing.clone();
    let answer = |request, framing| {
        let (shared, place) = (shared.clone(), place.clone());
        async move { answer(&shared, &place, request, framing).await }
    };
    let served = connection::serve(
        stream,
        (limits.header, limits.idle_timeout),
        &closing,
        answer,
    );
    tokio::select! {
        () = served => {}
        () = place.evicted() => {}
    }
}

async fn answer<H: Handler>(
    shared: &Arc<Shared<H>>,
    place: &Arc<Place>,
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
    let lease = shared.bodies.open();
    let limits = body::Limits {
        size: shared.limits.load().body,
        time: BODY_READ_TIMEOUT,
    };
    let body = match body::read(body, limits, &lease).await {
        Ok(body) => body,
        Err(refusal) => return refuse(shared, &refusal, Some(&id), true),
    };
    let Some(in_progress) = place.begin_request() else {
        return refuse(shared, &closed_for_another(), Some(&id), true);
    };
    let disconnected = CancellationToken::new();
    let guard = disconnected.clone().drop_guard();
    let arrival = Arrival {
        request: Request { head, body },
        at,
        disconnected,
        lease,
    };
    let task = {
        let shared = shared.clone();
        let tasks = shared.tasks.clone();
        tasks.spawn(async move { shared.handler.handle(arrival).await })
    };
    let reply = task.await;
    guard.disarm();
    let leaving = shared.leaving.is_cancelled();
    let response = match reply {
        Ok(Reply::Forwarded(answer)) => respond(answer, leaving),
        Ok(Reply::Refused(refusal)) => refuse(shared, &refusal, Some(&id), leaving),
        Err(error) => {
            let message = format!("the request's task ended without a reply: {error}");
            let status = StatusCode::BAD_GATEWAY;
            let refusal = Refusal::may_have_run(status, "internal", message);
            refuse(shared, &refusal, Some(&id), leaving)
        }
    };
    response.map(|body| body::keeping(body, in_progress))
}

/// Returns the refusal of a request whose connection is closed for another one.
fn closed_for_another() -> Refusal {
    let message = "the connection is closed for another one";
    let status = StatusCode::SERVICE_UNAVAILABLE;
    Refusal::not_run(status, "connections-full", message).with_retry_after(Span::ZERO)
}

fn read_head<H: Handler>(
    shared: &Shared<H>,
    parts: &hyper::http::request::Parts,
    framing: Framing,
) -> Result<Head, Refusal> {
    let head = match framing {
        Framing::Unambiguous => shared.dialect.head(parts),
        Framing::Ambiguous => Err(dialect::Error::Length),
    };
    head.map_err(|error| Refusal::not_run(StatusCode::BAD_REQUEST, "bad-head", error.to_string()))
}

fn respond(answer: Forwarded, leaving: bool) -> Response<Body> {
    let body = match answer.body {
        Content::Whole(bytes) => body::full(bytes),
        Content::Pieces(pieces) => body::forwarded(pieces),
    };
    let mut response = Response::new(body);
    *response.status_mut() = answer.status;
    *response.headers_mut() = answer.headers;
    close(&mut response, leaving);
    response
}

fn refuse<H: Handler>(
    shared: &Shared<H>,
    refusal: &Refusal,
    id: Option<&str>,
    leaving: bool,
) -> Response<Body> {
    if id.is_none() || UNREADABLE_CODES.contains(&refusal.code) {
        shared.handler.record_unreadable(refusal);
    }
    let mut response = Response::new(body::full(refusal.json(request::Id(0))));
    *response.status_mut() = refusal.status;
    let content_type = HeaderValue::from_static("application/json");
    response.headers_mut().insert(CONTENT_TYPE, content_type);
    shared.dialect.write_own_headers(
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
