//! Client side of the protocol: one task owns the connection to a peer and serves a queue of requests.

use crate::frame;
use crate::message::{Body, Envelope};
use crate::secret::Secret;
use entity::Span;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

/// Largest number of requests queued for one peer.
const MAX_QUEUED_REQUESTS: usize = 64;
/// Time after which a connection without requests is closed. The peer's own timeout is longer.
const IDLE_TIMEOUT: Duration = Duration::from_secs(15);

/// Error of a request to a peer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// The queue is full or the link is closed; the request was not sent.
    #[error("the link is closed or its queue is full")]
    Busy,
    /// The peer did not answer in time.
    #[error("timed out")]
    Timeout,
    /// The connection failed, with the reason.
    #[error("{0}")]
    Connection(Box<str>),
}

struct Request {
    body: Body,
    reply: oneshot::Sender<Result<Body, Error>>,
}

/// Handle of the connection to one peer. It connects on the first request, and reconnects after a
/// failure.
#[derive(Clone, Debug)]
pub struct Link {
    address: SocketAddr,
    requests: mpsc::Sender<Request>,
}

impl Link {
    /// Starts the task of a link, which ends when the token is cancelled or the last handle is dropped.
    pub fn open(
        address: SocketAddr,
        secret: Secret,
        timeout: Span,
        cancel: CancellationToken,
    ) -> Self {
        let (requests, queue) = mpsc::channel(MAX_QUEUED_REQUESTS);
        let connection = Connection {
            address,
            secret,
            timeout,
            stream: None,
            number: 0,
        };
        tokio::spawn(async move {
            tokio::select! {
                () = cancel.cancelled() => {}
                () = connection.run(queue) => {}
            }
        });
        Self { address, requests }
    }

    /// Returns the peer's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sends a request and waits for its answer.
    ///
    /// # Errors
    ///
    /// Returns any of [`Error`]; except after [`Error::Busy`], the peer may have processed the request.
    pub async fn request(&self, body: Body) -> Result<Body, Error> {
        let (reply, answer) = oneshot::channel();
        self.requests
            .try_send(Request { body, reply })
            .map_err(|_| Error::Busy)?;
        // The link may have sent the request before it was closed.
        let closed = || Err(Error::Connection("the link was closed".into()));
        answer.await.unwrap_or_else(|_| closed())
    }
}

struct Connection {
    address: SocketAddr,
    secret: Secret,
    timeout: Span,
    stream: Option<TcpStream>,
    number: i64,
}

impl Connection {
    async fn run(mut self, mut queue: mpsc::Receiver<Request>) {
        loop {
            let next = tokio::time::timeout(IDLE_TIMEOUT, queue.recv()).await;
            let Request { body, reply } = match next {
                Ok(Some(request)) => request,
                Ok(None) => return,
                // A large system has many peers, and each rarely gets a request.
                Err(_) => {
                    self.stream = None;
                    continue;
                }
            };
            if reply.is_closed() {
                continue;
            }
            let limit = self.timeout.duration();
            let answer = tokio::time::timeout(limit, self.exchange(body)).await;
            let answer = answer.unwrap_or(Err(Error::Timeout));
            if answer.is_err() {
                // A late answer must not be taken for the answer to the next request.
                self.stream = None;
            }
            let _ = reply.send(answer);
        }
    }

    /// Sends a request on the open connection, or on a new one if there is none or it has failed. A
    /// message can therefore arrive twice, so all messages are idempotent or carry ids by which the
    /// receiver detects duplicates.
    async fn exchange(&mut self, body: Body) -> Result<Body, Error> {
        if let Some(stream) = self.stream.take()
            && let Ok(answer) = self.exchange_on(stream, body.clone()).await
        {
            return Ok(answer);
        }
        let stream = self.connect().await?;
        self.exchange_on(stream, body).await
    }

    async fn exchange_on(&mut self, mut stream: TcpStream, body: Body) -> Result<Body, Error> {
        let failed = |error: frame::Error| Error::Connection(error.to_string().into());
        self.number += 1;
        let request = Envelope::new(self.number, body);
        frame::write(&mut stream, &self.secret, &request)
            .await
            .map_err(failed)?;
        let answer = frame::read(&mut stream, &self.secret)
            .await
            .map_err(failed)?;
        if answer.number != self.number {
            return Err(Error::Connection("an answer to another request".into()));
        }
        self.stream = Some(stream);
        Ok(answer.body)
    }

    async fn connect(&self) -> Result<TcpStream, Error> {
        let stream = TcpStream::connect(self.address)
            .await
            .map_err(|error| Error::Connection(error.to_string().into()))?;
        let _ = stream.set_nodelay(true);
        Ok(stream)
    }
}
