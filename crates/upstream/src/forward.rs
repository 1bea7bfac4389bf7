//! Client for requests that are forwarded unchanged.
//!
//! A connection carries one request at a time. It is reused only after a complete answer, so that stray
//! bytes are dropped together with their connection.

use crate::close::{self, Watch};
use crate::dial::Dialer;
use crate::failure::{Failure, Reason};
use crate::meter::{Allowance, Meter};
use bytes::{Bytes, BytesMut};
use entity::request::Ran;
use entity::unit::Frequency;
use entity::{Span, sorted};
use forward::dialect::{Dialect, Order};
use forward::{Answer, Head};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::{self, SendRequest};
use hyper::header::{CONNECTION, CONTENT_LENGTH, HOST, HeaderMap, HeaderValue, TRANSFER_ENCODING};
use hyper::{Request, StatusCode, Version};
use hyper_util::rt::TokioIo;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;
use tokio::sync::Semaphore;
use tokio::task::AbortHandle;
use tokio::time::Instant;

/// Longest idle time of a connection that is reused. Upstreams close idle connections after a few
/// seconds, some without notice.
const MAX_IDLE_AGE: Duration = Duration::from_secs(3);
/// Time by which a connection is dropped before the upstream's own idle timeout.
const IDLE_MARGIN: Duration = Duration::from_secs(1);
/// Largest head of an answer, and largest read from a connection.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Bytes that are read until the head of an answer has arrived: interim answers, the head, and what was
/// read of the body together with it.
const MAX_BYTES_BEFORE_BODY: usize = 4 * MAX_HEAD_BYTES;
/// Largest body of an answer that is passed on as a whole.
const MAX_BODY_BYTES: usize = 8 << 20;
/// Part of a body that doesn't count against the bytes that all long bodies may take together.
const FREE_BODY_BYTES: usize = 64 << 10;
/// Bytes that long bodies may take together while they are read.
const MAX_TOTAL_BYTES: usize = 24 << 20;
/// Idle connections kept for each upstream.
const MAX_IDLE_PER_UPSTREAM: usize = 4;

/// Request to one upstream.
#[derive(Clone, Copy, Debug)]
pub struct UpstreamRequest<'a> {
    /// Address of the upstream.
    pub address: SocketAddr,
    /// Head of the caller's request.
    pub head: &'a Head,
    /// Request body.
    pub body: &'a Bytes,
    /// Values that the router adds as headers.
    pub order: Order<'a>,
    /// Whether the request may be sent over a reused connection. An upstream can close such a
    /// connection while the request is in flight; it is then unknown whether the request ran.
    pub reuse: bool,
    /// Deadline for the head of the answer.
    pub end: Instant,
}

/// What an upstream said about itself in the head of an answer, also of one that is not used.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Notice {
    /// Whether it is leaving and wants no further requests.
    pub leaving: bool,
    /// Time for which it wants no requests.
    pub rest: Option<Span>,
    /// Number of requests per second that it takes of all instances together.
    pub limit: Option<Frequency>,
    /// Whether the request was misdirected: another upstream may have the address by now. Nothing else
    /// in the head is about the upstream that was addressed.
    pub misdirected: bool,
    /// Names of headers whose values can't be used as they are.
    pub malformed: Vec<&'static str>,
}

/// Answer whose head has arrived and whose body has not been read yet.
#[derive(Debug)]
pub struct IncomingAnswer {
    /// HTTP status.
    pub status: StatusCode,
    /// Headers of the answer.
    pub headers: HeaderMap,
    /// Values that the dialect parsed from the headers.
    pub head: Answer,
    version: Version,
    body: Incoming,
    connection: Connection,
    pool: Pool,
}

/// Pool of connections to all upstreams.
#[derive(Clone)]
pub struct Pool {
    shared: Arc<Shared>,
}

struct Shared {
    dialect: Arc<dyn Dialect>,
    dialer: Arc<dyn Dialer>,
    /// Idle connections by address, sorted by address.
    idle: Mutex<Vec<(SocketAddr, Vec<Idle>)>>,
    /// Bytes that are left for long bodies.
    long_bodies: Semaphore,
}

struct Idle {
    connection: Connection,
    until: Instant,
}

/// Connection whose driver task is aborted when it is dropped.
#[derive(Debug)]
struct Connection {
    address: SocketAddr,
    sender: SendRequest<Full<Bytes>>,
    allowance: Allowance,
    watch: Watch,
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
    /// Creates a pool without connections.
    pub fn new(dialect: Arc<dyn Dialect>, dialer: Arc<dyn Dialer>) -> Self {
        Self {
            shared: Arc::new(Shared {
                dialect,
                dialer,
                idle: Mutex::default(),
                long_bodies: Semaphore::new(MAX_TOTAL_BYTES),
            }),
        }
    }

    /// Sends a request and returns its answer once the head has arrived. What the head says about the
    /// upstream is put into `notice`, whether the answer can be used or not.
    ///
    /// # Errors
    ///
    /// Returns a failure if no valid head arrives before the deadline, or if the head says that the
    /// request did not run.
    pub async fn send(
        &self,
        outgoing: &UpstreamRequest<'_>,
        notice: &mut Notice,
    ) -> Result<IncomingAnswer, Failure> {
        let request = self.build_request(outgoing)?;
        let (mut connection, is_reused) = match self.take_idle(outgoing) {
            Some(connection) => (connection, true),
            None => (self.connect(outgoing.address, outgoing.end).await?, false),
        };
        connection.allowance.set(MAX_BYTES_BEFORE_BODY);
        let sent =
            tokio::time::timeout_at(outgoing.end, connection.sender.try_send_request(request));
        let response = match sent.await {
            Err(_) => return Err(Failure::may_have_run(Reason::Timeout)),
            Ok(Err(mut error)) => {
                // hyper returns the request only if no byte of it was written.
                let unsent = error.take_message().is_some();
                let failure = if unsent {
                    Failure::not_run
                } else {
                    Failure::may_have_run
                };
                return Err(failure(Reason::ConnectionLost));
            }
            Ok(Ok(response)) => response,
        };
        connection.allowance.lift();
        let (parts, body) = response.into_parts();
        let mut head = self.shared.dialect.answer(&parts.headers);
        *notice = take_notice(&mut head, parts.status);
        check(&head, &outgoing.head.id, parts.status, is_reused)?;
        Ok(IncomingAnswer {
            status: parts.status,
            headers: parts.headers,
            head,
            version: parts.version,
            body,
            connection,
            pool: self.clone(),
        })
    }

    /// Closes the idle connections to addresses for which `keep` returns false.
    pub fn retain(&self, keep: impl Fn(SocketAddr) -> bool) {
        let mut idle = self.idle();
        idle.retain(|(address, _)| keep(*address));
    }

    async fn connect(&self, address: SocketAddr, end: Instant) -> Result<Connection, Failure> {
        let refused = || Failure::not_run(Reason::Connect);
        let dialing = self.shared.dialer.dial(address);
        let stream = tokio::time::timeout_at(end, dialing).await;
        let stream = stream.map_err(|_| refused())?.map_err(|_| refused())?;
        let (meter, allowance) = Meter::new(stream);
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_HEAD_BYTES)
            .handshake(TokioIo::new(meter))
            .await
            .map_err(|_| refused())?;
        let (signal, watch) = Watch::new();
        let task = tokio::spawn(async move {
            // The task that waits for the answer gets the error as well.
            let _ = connection.await;
            signal.record_closed();
        });
        Ok(Connection {
            address,
            sender,
            allowance,
            watch,
            task: task.abort_handle(),
        })
    }

    fn build_request(
        &self,
        outgoing: &UpstreamRequest<'_>,
    ) -> Result<Request<Full<Bytes>>, Failure> {
        let head = outgoing.head;
        let mut request = Request::new(Full::new(outgoing.body.clone()));
        *request.method_mut() = head.method.clone();
        let uri = head.target.parse();
        *request.uri_mut() = uri.map_err(|_| Failure::not_run(Reason::Malformed))?;
        let mut headers = head.forwarded_headers.clone();
        let host = HeaderValue::from_str(&head.host);
        headers.insert(HOST, host.map_err(|_| Failure::not_run(Reason::Malformed))?);
        self.shared.dialect.order(&outgoing.order, &mut headers);
        *request.headers_mut() = headers;
        Ok(request)
    }

    fn idle(&self) -> std::sync::MutexGuard<'_, Vec<(SocketAddr, Vec<Idle>)>> {
        self.shared
            .idle
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Removes and returns the most recently used idle connection that is still usable, if the request
    /// may reuse one.
    fn take_idle(&self, outgoing: &UpstreamRequest<'_>) -> Option<Connection> {
        if !outgoing.reuse {
            return None;
        }
        let now = Instant::now();
        let mut idle = self.idle();
        let index = idle
            .binary_search_by_key(&outgoing.address, |(address, _)| *address)
            .ok()?;
        let connections = &mut idle[index].1;
        connections.retain(|idle| now < idle.until && idle.connection.sender.is_ready());
        connections.pop().map(|idle| idle.connection)
    }

    /// Returns a connection to the pool after a complete answer, once the upstream has read the whole
    /// request. One for which there is no room is closed after the time in which it is watched.
    async fn keep(&self, mut connection: Connection, keep_alive: Option<Span>) {
        let limit = match keep_alive {
            Some(span) => span
                .duration()
                .saturating_sub(IDLE_MARGIN)
                .min(MAX_IDLE_AGE),
            None => MAX_IDLE_AGE,
        };
        let until = Instant::now() + limit;
        let ready = tokio::time::timeout_at(until, connection.sender.ready()).await;
        if !matches!(ready, Ok(Ok(()))) {
            return;
        }
        let Some(connection) = self.put_idle(connection, until) else {
            return;
        };
        tokio::time::sleep(close::WATCH_TIME).await;
        drop(connection);
    }

    /// Adds an idle connection. Returns it if there is no room for it.
    fn put_idle(&self, connection: Connection, until: Instant) -> Option<Connection> {
        let mut idle = self.idle();
        let connections = sorted::entry(&mut idle, &connection.address, Vec::new);
        if connections.len() == MAX_IDLE_PER_UPSTREAM {
            return Some(connection);
        }
        connections.push(Idle { connection, until });
        None
    }
}

/// Returns what the head of an answer says about the upstream. Behind an address that was given to
/// another upstream, that one answers that the request was misdirected.
fn take_notice(head: &mut Answer, status: StatusCode) -> Notice {
    if status == StatusCode::MISDIRECTED_REQUEST {
        return Notice {
            misdirected: true,
            ..Notice::default()
        };
    }
    let overloaded = status == StatusCode::SERVICE_UNAVAILABLE;
    Notice {
        leaving: head.leaving,
        rest: head.retry_after.filter(|_| overloaded),
        limit: head.limit,
        misdirected: false,
        malformed: std::mem::take(&mut head.malformed),
    }
}

/// Checks that an answer belongs to the request and comes from an upstream that ran it. On a connection
/// that carried requests before, only its id shows that an answer isn't a copy of an earlier one.
fn check(head: &Answer, id: &str, status: StatusCode, is_reused: bool) -> Result<(), Failure> {
    if head.id.as_deref().is_some_and(|answered| answered != id) {
        return Err(Failure::may_have_run(Reason::WrongId));
    }
    if head.id.is_none() && is_reused {
        return Err(Failure::may_have_run(Reason::WrongId));
    }
    if head.not_run || status == StatusCode::MISDIRECTED_REQUEST {
        return Err(Failure {
            reason: Reason::Refused,
            ran: Ran::No,
            retry_after: head.retry_after,
        });
    }
    if head.id.is_none() {
        return Err(Failure::may_have_run(Reason::WrongId));
    }
    if head.encoded || !head.signed {
        return Err(Failure::may_have_run(Reason::Malformed));
    }
    Ok(())
}

impl IncomingAnswer {
    /// Returns whether the body shows its own end. Otherwise it ends with the connection, which also ends with
    /// the process of the upstream.
    pub fn is_delimited(&self) -> bool {
        let has = |name| self.headers.contains_key(name);
        has(CONTENT_LENGTH) || has(TRANSFER_ENCODING)
    }

    /// Returns a watch over the connection for the time after the answer.
    pub fn watch(&self) -> Watch {
        let connection = self.headers.get_all(CONNECTION).iter();
        let mut options = connection.filter_map(|value| value.to_str().ok());
        let says_close = options.any(|value| value.to_ascii_lowercase().contains("close"));
        let lasts = self.version == Version::HTTP_11 && self.is_delimited() && !says_close;
        self.connection.watch.clone().announced(!lasts)
    }

    /// Returns the next piece of the body, or `None` at its end.
    ///
    /// # Errors
    ///
    /// Returns a failure if the body ends before it is complete.
    pub async fn next(&mut self) -> Result<Option<Bytes>, Failure> {
        loop {
            let Some(frame) = self.body.frame().await else {
                return Ok(None);
            };
            let frame = frame.map_err(|_| Failure::may_have_run(Reason::Truncated))?;
            if let Ok(data) = frame.into_data()
                && !data.is_empty()
            {
                return Ok(Some(data));
            }
        }
    }

    /// Reads the whole body and returns the connection to the pool.
    ///
    /// # Errors
    ///
    /// Returns a failure if the body ends before it is complete, is too long, or is not read before
    /// `end`.
    pub async fn collect(mut self, end: Instant) -> Result<Bytes, Failure> {
        let body = tokio::time::timeout_at(end, self.read_body()).await;
        let body = body.map_err(|_| Failure::may_have_run(Reason::Timeout))??;
        self.finish();
        Ok(body)
    }

    async fn read_body(&mut self) -> Result<Bytes, Failure> {
        let shared = self.pool.shared.clone();
        let mut permits = Vec::new();
        let mut body = BytesMut::new();
        while let Some(piece) = self.next().await? {
            body.extend_from_slice(&piece);
            if body.len() > MAX_BODY_BYTES {
                return Err(Failure::may_have_run(Reason::Malformed));
            }
            if body.len() > FREE_BODY_BYTES {
                let length = u32::try_from(piece.len()).unwrap_or(u32::MAX);
                let permit = shared.long_bodies.try_acquire_many(length);
                permits.push(permit.map_err(|_| Failure::may_have_run(Reason::Malformed))?);
            }
        }
        Ok(body.freeze())
    }

    /// Returns the connection to the pool; call this after the whole body was read.
    pub fn finish(self) {
        let keep_alive = self.head.keep_alive;
        let (pool, connection) = (self.pool, self.connection);
        tokio::spawn(async move { pool.keep(connection, keep_alive).await });
    }
}
