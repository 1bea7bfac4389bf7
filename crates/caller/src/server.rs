//! HTTP server that runs each request in a task of its own.

use crate::bodies::Bodies;
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

/// Handler of requests and probes.
pub trait Handler: Send + Sync + 'static {
    /// Handles a request and returns the reply. Runs in a task of its own, which continues after the
    /// caller disconnects.
    fn handle(&self, request: Request) -> impl Future<Output = Reply> + Send;

    /// Returns whether a load balancer may send requests to this instance; the error is the reason
    /// why it may not.
    fn ready(&self) -> Result<(), Box<str>>;

    /// Returns another page, such as the status page for operators, or `None` if the path has none.
    fn page(&self, path: &str) -> impl Future<Output = Option<Bytes>> + Send {
        let _ = path;
        std::future::ready(None)
    }
}

/// Memory for all bodies that are arriving.
const MAX_BODIES: unit::Bytes = unit::Bytes(64 << 20);

/// Limits on the requests of callers.
#[derive(Clone, Copy, Debug)]
pub struct Limits {
    /// Largest request body.
    pub body: unit::Bytes,
    /// Largest request head, at least 8 KiB.
    pub header: unit::Bytes,
    /// Longest time for a body to arrive.
    pub body_timeout: Span,
    /// Longest time for a head to arrive, which is also the idle timeout of a connection. Longer than
    /// the idle timeout of callers and load balancers, so that no connection is closed while a request
    /// is in flight.
    pub idle_timeout: Span,
}

/// Running server.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    connections: TaskTracker,
    requests: TaskTracker,
}

struct Shared<H> {
    handler: H,
    limits: Limits,
    bodies: Bodies,
    requests: TaskTracker,
}

impl Server {
    /// Binds an address and serves until the token is cancelled. From then on no connection is
    /// accepted, and each open one is closed after the request in progress.
    ///
    /// # Errors
    ///
    /// Returns an error if the address can't be bound.
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
            bodies: Bodies::new(MAX_BODIES),
            requests: requests.clone(),
        });
        let tasks = connections.clone();
        connections.spawn(async move {
            let handle = |stream| drop(tasks.spawn(serve(stream, shared.clone(), cancel.clone())));
            connection::accept(listener, &cancel, handle).await;
        });
        Ok(Self {
            address,
            connections,
            requests,
        })
    }

    /// Returns the bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Waits until all requests have ended and are answered. Call it after the token is cancelled.
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
                Framing::Unambiguous => answer(&shared, request).await,
                Framing::Ambiguous => ambiguous(),
            }
        }
    };
    connection::serve(
        stream,
        (limits.header, limits.idle_timeout),
        &cancel,
        answer,
    )
    .await;
}

/// Refuses a request whose body length is ambiguous, and closes the connection: the framing of the
/// bytes that follow can't be trusted.
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
    // The request continues after its caller disconnects, because its claims must be settled and its
    // usage billed. The guard cancels the token to signal the disconnect.
    let disconnected = request.disconnected.clone();
    let guard = disconnected.drop_guard();
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

/// Answers requests that need no API key: health, readiness and pages.
async fn probe(
    handler: &impl Handler,
    request: &hyper::Request<Incoming>,
) -> Option<Response<Body>> {
    let plain = |status: StatusCode, bytes: Bytes| {
        let mut response = Response::new(body::full(bytes));
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
    let target = target.map_err(|refusal| refusal.before_claim(head.idempotency.as_ref()))?;
    Ok(Request {
        id,
        arrival,
        bearer: head.bearer,
        session: head.session,
        idempotency: head.idempotency,
        timeout: head.timeout,
        live: head.live,
        target,
        disconnected: CancellationToken::new(),
    })
}

async fn target<H: Handler>(
    shared: &Shared<H>,
    parts: &Parts,
    body: Incoming,
) -> Result<Target, Refusal> {
    let limits = body::Limits {
        size: shared.limits.body,
        time: shared.limits.body_timeout,
    };
    // Its memory is counted until the whole body has arrived.
    let body = body::read(body, limits, &shared.bodies.open()).await?;
    parse::target(parts, body)
}
