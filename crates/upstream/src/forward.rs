//! Client for requests that are passed on unchanged.
//!
//! A connection carries one request at a time. It is used again only after a whole answer, so that
//! bytes that belong to no request end with their connection.

use crate::failure::{Failure, Reason};
use bytes::Bytes;
use entity::request::Ran;
use entity::{Span, sorted};
use forward::dialect::{Dialect, Order};
use forward::{Answer, Head};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{HOST, HeaderMap, HeaderValue};
use hyper::{Request, StatusCode};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// Longest time to connect: zones are a few milliseconds apart, and a lost packet is sent again
/// after a second, when another upstream is the better choice.
const CONNECT_LIMIT: Duration = Duration::from_millis(400);
/// How long sent bytes may stay unacknowledged: a connection that went silent is noticed within
/// this time.
const USER_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest age of an idle connection that is used again; upstreams close theirs after a few
/// seconds, some without notice.
const IDLE_LIMIT: Duration = Duration::from_secs(3);
/// By how much an upstream's own time for idle connections is undercut.
const IDLE_MARGIN: Duration = Duration::from_secs(1);
/// Idle connections that are kept for each upstream.
const IDLE_COUNT: usize = 4;

/// A request for one upstream.
#[derive(Clone, Copy, Debug)]
pub struct Sending<'a> {
    /// Where the upstream is reached.
    pub address: SocketAddr,
    /// The caller's head.
    pub head: &'a Head,
    /// The body.
    pub body: &'a Bytes,
    /// What the router adds.
    pub order: Order<'a>,
    /// Whether a connection that was used before may carry it. An upstream can close such a
    /// connection as the request is on its way, which leaves open whether it ran.
    pub reuse: bool,
    /// When the head of the answer is waited for no longer.
    pub end: Instant,
}

/// An answer whose body is still to come.
#[derive(Debug)]
pub struct Answered {
    /// Its status.
    pub status: StatusCode,
    /// Its headers.
    pub headers: HeaderMap,
    /// What the headers say.
    pub head: Answer,
    body: Incoming,
    connection: Connection,
    pool: Pool,
}

/// Connections to all upstreams.
#[derive(Clone)]
pub struct Pool {
    shared: Arc<Shared>,
}

struct Shared {
    dialect: Arc<dyn Dialect>,
    /// Sorted by address.
    idle: Mutex<Vec<(SocketAddr, Vec<Idle>)>>,
}

struct Idle {
    connection: Connection,
    until: Instant,
}

/// A connection, whose task ends with it.
#[derive(Debug)]
struct Connection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    task: AbortHandle,
}

impl Drop for Connection {
    fn drop(&mut self) {
        self.task.abort();
    }
}

impl std::fmt::Debug for Pool {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Pool").finish_non_exhaustive()
    }
}

impl Pool {
    /// A pool without connections.
    pub fn new(dialect: Arc<dyn Dialect>) -> Self {
        Self {
            shared: Arc::new(Shared {
                dialect,
                idle: Mutex::default(),
            }),
        }
    }

    /// Sends a request and returns the head of the answer to it.
    ///
    /// # Errors
    ///
    /// There is no such head, or it says that the request did not run.
    pub async fn send(&self, sending: &Sending<'_>) -> Result<Answered, Failure> {
        let request = self.request(sending)?;
        let mut connection = match self.take(sending) {
            Some(connection) => connection,
            None => connect(sending.address, sending.end).await?,
        };
        let sent =
            tokio::time::timeout_at(sending.end, connection.sender.try_send_request(request));
        let response = match sent.await {
            Err(_) => return Err(Failure::maybe(Reason::Timeout)),
            Ok(Err(mut error)) => {
                // The request comes back only where no byte of it was written.
                let unsent = error.take_message().is_some();
                let failure = if unsent {
                    Failure::not_run
                } else {
                    Failure::maybe
                };
                return Err(failure(Reason::Lost));
            }
            Ok(Ok(response)) => response,
        };
        let (parts, body) = response.into_parts();
        let head = self.shared.dialect.answer(&parts.headers);
        check(&head, &sending.head.id, parts.status)?;
        Ok(Answered {
            status: parts.status,
            headers: parts.headers,
            head,
            body,
            connection,
            pool: self.clone(),
        })
    }

    /// Closes idle connections to upstreams that are gone.
    pub fn retain(&self, keep: impl Fn(SocketAddr) -> bool) {
        let mut idle = self.idle();
        idle.retain(|(address, _)| keep(*address));
    }

    fn request(&self, sending: &Sending<'_>) -> Result<Request<Full<Bytes>>, Failure> {
        let head = sending.head;
        let mut request = Request::new(Full::new(sending.body.clone()));
        *request.method_mut() = head.method.clone();
        let uri = head.target.parse();
        *request.uri_mut() = uri.map_err(|_| Failure::not_run(Reason::Malformed))?;
        let mut headers = head.passed.clone();
        let host = HeaderValue::from_str(&head.host);
        headers.insert(HOST, host.map_err(|_| Failure::not_run(Reason::Malformed))?);
        self.shared.dialect.order(&sending.order, &mut headers);
        *request.headers_mut() = headers;
        Ok(request)
    }

    fn idle(&self) -> std::sync::MutexGuard<'_, Vec<(SocketAddr, Vec<Idle>)>> {
        self.shared
            .idle
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// The connection that was used last, if one is still good.
    fn take(&self, sending: &Sending<'_>) -> Option<Connection> {
        if !sending.reuse {
            return None;
        }
        let now = Instant::now();
        let mut idle = self.idle();
        let index = idle
            .binary_search_by_key(&sending.address, |(address, _)| *address)
            .ok()?;
        let connections = &mut idle[index].1;
        connections.retain(|one| now < one.until && one.connection.sender.is_ready());
        connections.pop().map(|one| one.connection)
    }

    /// Keeps a connection after a whole answer, once the upstream has read the whole request.
    async fn keep(&self, mut connection: Connection, keep_alive: Option<Span>) {
        let limit = match keep_alive {
            Some(span) => span.duration().saturating_sub(IDLE_MARGIN).min(IDLE_LIMIT),
            None => IDLE_LIMIT,
        };
        let until = Instant::now() + limit;
        let ready = tokio::time::timeout_at(until, connection.sender.ready()).await;
        if !matches!(ready, Ok(Ok(()))) {
            return;
        }
        let mut idle = self.idle();
        let address = connection.address;
        let connections = sorted::entry(&mut idle, &address, Vec::new);
        if connections.len() < IDLE_COUNT {
            connections.push(Idle { connection, until });
        }
    }
}

async fn connect(address: SocketAddr, end: Instant) -> Result<Connection, Failure> {
    let refused = || Failure::not_run(Reason::Connect);
    let end = end.min(Instant::now() + CONNECT_LIMIT);
    let stream = tokio::time::timeout_at(end, TcpStream::connect(address)).await;
    let stream = stream.map_err(|_| refused())?.map_err(|_| refused())?;
    // Both only make the connection better: it carries requests without them.
    let _ = stream.set_nodelay(true);
    let _ = socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(USER_TIMEOUT));
    let (sender, connection) = http1::handshake(TokioIo::new(stream))
        .await
        .map_err(|_| refused())?;
    let task = tokio::spawn(async move {
        // The error is told to whoever waits for the answer.
        let _ = connection.await;
    });
    Ok(Connection {
        address,
        sender,
        task: task.abort_handle(),
    })
}

/// Whether an answer is one to the request, and from an upstream that ran it.
fn check(head: &Answer, id: &str, status: StatusCode) -> Result<(), Failure> {
    if head.id.as_deref().is_some_and(|answered| answered != id) {
        return Err(Failure::maybe(Reason::WrongId));
    }
    if head.not_run || status == StatusCode::MISDIRECTED_REQUEST {
        return Err(Failure {
            reason: Reason::Refused,
            ran: Ran::No,
            retry_after: head.retry_after,
        });
    }
    if head.id.is_none() {
        return Err(Failure::maybe(Reason::WrongId));
    }
    if head.encoded || !head.signed {
        return Err(Failure::maybe(Reason::Malformed));
    }
    Ok(())
}

impl Answered {
    /// The next piece of the body; none at its end.
    ///
    /// # Errors
    ///
    /// The body ended before it was whole.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Failure> {
        loop {
            let Some(frame) = self.body.frame().await else {
                return Ok(None);
            };
            let frame = frame.map_err(|_| Failure::maybe(Reason::Early))?;
            if let Ok(data) = frame.into_data()
                && !data.is_empty()
            {
                return Ok(Some(data));
            }
        }
    }

    /// The whole body, after which the connection is kept.
    ///
    /// # Errors
    ///
    /// The body ended before it was whole, or took too long.
    pub async fn collect(mut self, end: Instant) -> Result<Bytes, Failure> {
        let body = tokio::time::timeout_at(end, (&mut self.body).collect()).await;
        let body = body.map_err(|_| Failure::maybe(Reason::Timeout))?;
        let body = body.map_err(|_| Failure::maybe(Reason::Early))?.to_bytes();
        self.finish();
        Ok(body)
    }

    /// Gives the connection back after the whole body was read.
    pub fn finish(self) {
        let keep_alive = self.head.keep_alive;
        let (pool, connection) = (self.pool, self.connection);
        tokio::spawn(async move { pool.keep(connection, keep_alive).await });
    }
}
