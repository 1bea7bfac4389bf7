//! Accepts connections and runs each request as a task of its own.

use crate::body::{self, Body};
use crate::connection;
use crate::framing::Framing;
use crate::parse::{self, bad};
use crate::reply::{Refusal, Reply};
use crate::request::{Request, Target};
use bytes::Bytes;
use entity::unit;
use entity::{Span, request};
use hyper::body::Incoming;
use hyper::header::{CONNECTION, HeaderValue};
use hyper::http::request::Parts;
use hyper::{Response, StatusCode};
use std::future::Future;
use std::io;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::SystemTime;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::Instant;
use tokio_util::sync::CancellationToken;
use tokio_util::task::TaskTracker;

/// Answers requests.
pub trait Handler: Send + Sync + 'static {
    /// The reply to one request. It runs as a task of its own, which goes on when the caller goes.
    fn handle(&self, request: Request) -> impl Future<Output = Reply> + Send;

    /// Whether the balancer may send requests here; the text says why not.
    fn ready(&self) -> Result<(), Box<str>>;

    /// A page of another kind, such as the state for operators; `None` where there is none.
    fn page(&self, path: &str) -> impl Future<Output = Option<Bytes>> + Send {
        let _ = path;
        std::future::ready(None)
    }
}

/// What a caller may send.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Largest body.
    pub body: unit::Bytes,
    /// Largest head, at least 8 KiB.
    pub header: unit::Bytes,
    /// Longest time for a body to arrive.
    pub read: Span,
    /// Longest time for a head to arrive, which is also how long an idle connection is kept: more
    /// than callers and balancers keep one, so that none is closed as a request is on its way.
    pub idle: Span,
}

/// A running server.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    connections: TaskTracker,
    requests: TaskTracker,
}

struct Shared<H> {
    handler: H,
    limits: Limits,
    requests: TaskTracker,
}

impl Server {
    /// Binds an address and serves until the token is cancelled; then no connection is accepted
    /// any more, and those that are open end with the request that they carry.
    ///
    /// # Errors
    ///
    /// The address can't be bound.
    pub async fn bind<H: Handler>(
        address: SocketAddr,
        limits: Limits,
        handler: H,
        cancel: CancellationToken,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (connections, requests) = (TaskTracker::new(), TaskTracker::new());
        let shared = Arc::new(Shared {
            handler,
            limits,
            requests: requests.clone(),
        });
        let tasks = connections.clone();
        connections.spawn(async move {
            let take = |stream| drop(tasks.spawn(serve(stream, shared.clone(), cancel.clone())));
            connection::accept(listener, &cancel, take).await;
        });
        Ok(Self {
            address,
            connections,
            requests,
        })
    }

    /// The address that was bound.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits until each request has ended and was answered, after the token was cancelled.
    pub async fn closed(&self) {
        self.connections.close();
        self.connections.wait().await;
        self.requests.close();
        self.requests.wait().await;
    }
}

async fn serve<H: Handler>(stream: TcpStream, shared: Arc<Shared<H>>, cancel: CancellationToken) {
    let _ = stream.set_nodelay(true);
    let limits = shared.limits;
    let answer = |request, framing| {
        let shared = shared.clone();
        async move {
            match framing {
                Framing::Sound => answer(&shared, request).await,
                Framing::Ambiguous => ambiguous(),
            }
        }
    };
    connection::serve(stream, (limits.header, limits.idle), &cancel, answer).await;
}

/// The refusal of a request whose body has two lengths, after which nothing on the connection can be
/// trusted.
fn ambiguous() -> Response<Body> {
    let id = request::Id::random(SystemTime::now(), &mut rand::rng());
    let message = "the request gives the length of its body in two ways";
    let mut response = Reply::Refused(bad("ambiguous-length", message)).into_response(id);
    let close = HeaderValue::from_static("close");
    response.headers_mut().insert(CONNECTION, close);
    response
}

async fn answer<H: Handler>(
    shared: &Arc<Shared<H>>,
    request: hyper::Request<Incoming>,
) -> Response<Body> {
    if let Some(response) = probe(&shared.handler, &request).await {
        return response;
    }
    let id = request::Id::random(SystemTime::now(), &mut rand::rng());
    let request = match read(shared, id, request).await {
        Ok(request) => request,
        Err(refusal) => return Reply::Refused(refusal).into_response(id),
    };
    // The request goes on when its caller goes: what it holds must be settled, and what it used is
    // billed. The guard tells it that nobody waits any more.
    let gone = request.gone.clone();
    let guard = gone.drop_guard();
    let task = {
        let shared = shared.clone();
        shared
            .clone()
            .requests
            .spawn(async move { shared.handler.handle(request).await })
    };
    let reply = task.await;
    guard.disarm();
    match reply {
        Ok(reply) => reply.into_response(id),
        Err(_) => Reply::Refused(Refusal::may_have_run(
            StatusCode::INTERNAL_SERVER_ERROR,
            "internal",
            "the request's task ended without a reply",
        ))
        .into_response(id),
    }
}

/// The answers that need no key: health, readiness and pages.
async fn probe(
    handler: &impl Handler,
    request: &hyper::Request<Incoming>,
) -> Option<Response<Body>> {
    let plain = |status: StatusCode, bytes: Bytes| {
        let mut response = Response::new(body::whole(bytes));
        *response.status_mut() = status;
        response
    };
    match request.uri().path() {
        "/healthz" => Some(plain(StatusCode::OK, Bytes::from_static(b"ok\n"))),
        "/readyz" => Some(match handler.ready() {
            Ok(()) => plain(StatusCode::OK, Bytes::from_static(b"ready\n")),
            Err(reason) => plain(
                StatusCode::SERVICE_UNAVAILABLE,
                format!("{reason}\n").into(),
            ),
        }),
        path => handler
            .page(path)
            .await
            .map(|page| plain(StatusCode::OK, page)),
    }
}

async fn read<H: Handler>(
    shared: &Shared<H>,
    id: request::Id,
    request: hyper::Request<Incoming>,
) -> Result<Request, Refusal> {
    let arrival = Instant::now();
    let (parts, body) = request.into_parts();
    let head = parse::head(&parts.headers)?;
    let target = target(shared, &parts, body).await;
    let target = target.map_err(|refusal| refusal.unclaimed(head.idempotency.as_ref()))?;
    Ok(Request {
        id,
        arrival,
        bearer: head.bearer,
        session: head.session,
        idempotency: head.idempotency,
        timeout: head.timeout,
        live: head.live,
        target,
        gone: CancellationToken::new(),
    })
}

async fn target<H: Handler>(
    shared: &Shared<H>,
    parts: &Parts,
    body: Incoming,
) -> Result<Target, Refusal> {
    let body = collect(body, shared.limits).await?;
    parse::target(parts, body)
}

async fn collect(body: Incoming, limits: Limits) -> Result<Bytes, Refusal> {
    let read = body::read(body, limits.body, limits.read.duration()).await;
    read.unwrap_or_else(|_| {
        let message = "the body did not arrive in time";
        let status = StatusCode::REQUEST_TIMEOUT;
        Err(Refusal::not_run(status, "slow-body", message))
    })
}
