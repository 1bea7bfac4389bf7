//! The side that asks a fellow: one task owns the connection, questions queue before it.

use crate::frame;
use crate::message::{Body, Envelope};
use crate::secret::Secret;
use entity::Span;
use std::net::SocketAddr;
use std::time::Duration;
use tokio::net::TcpStream;
use tokio::sync::{mpsc, oneshot};
use tokio_util::sync::CancellationToken;

/// Most questions that wait for one fellow.
const QUEUE: usize = 64;
/// How long a connection is kept without a question; the fellow's own limit is longer.
const IDLE_LIMIT: Duration = Duration::from_secs(15);

/// Why there is no answer.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Error {
    /// Too many questions wait already, or the link was closed: this one was not sent.
    #[error("the link takes no question")]
    Busy,
    /// The fellow did not answer in time.
    #[error("timed out")]
    Timeout,
    /// The connection failed.
    #[error("{0}")]
    Connection(Box<str>),
}

struct Question {
    body: Body,
    reply: oneshot::Sender<Result<Body, Error>>,
}

/// A link to one fellow; it connects when it is first asked, and again after a failure.
#[derive(Clone, Debug)]
pub struct Link {
    address: SocketAddr,
    questions: mpsc::Sender<Question>,
}

impl Link {
    /// Starts the task of a link, which ends with the token or the last handle.
    pub fn open(
        address: SocketAddr,
        secret: Secret,
        timeout: Span,
        cancel: CancellationToken,
    ) -> Self {
        let (questions, queue) = mpsc::channel(QUEUE);
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
        Self { address, questions }
    }

    /// The fellow's address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Asks one question and waits for its answer.
    ///
    /// # Errors
    ///
    /// Any of [`Error`]; the fellow may have taken the question all the same.
    pub async fn ask(&self, body: Body) -> Result<Body, Error> {
        let (reply, answer) = oneshot::channel();
        self.questions
            .try_send(Question { body, reply })
            .map_err(|_| Error::Busy)?;
        // A link that closed meanwhile may have sent the question.
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
    async fn run(mut self, mut queue: mpsc::Receiver<Question>) {
        loop {
            let next = tokio::time::timeout(IDLE_LIMIT, queue.recv()).await;
            let Question { body, reply } = match next {
                Ok(Some(question)) => question,
                Ok(None) => return,
                // A large system has many fellows, each of which is rarely asked.
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
                // A late answer must not be taken for the answer to the next question.
                self.stream = None;
            }
            let _ = reply.send(answer);
        }
    }

    /// Asks on the open connection, or on a new one where there is none or it has broken. Every
    /// message may arrive twice: what it tells is the same, or is told apart by its ids.
    async fn exchange(&mut self, body: Body) -> Result<Body, Error> {
        if let Some(stream) = self.stream.take()
            && let Ok(answer) = self.ask_on(stream, body.clone()).await
        {
            return Ok(answer);
        }
        let stream = self.connect().await?;
        self.ask_on(stream, body).await
    }

    async fn ask_on(&mut self, mut stream: TcpStream, body: Body) -> Result<Body, Error> {
        let failed = |error: frame::Error| Error::Connection(error.to_string().into());
        self.number += 1;
        let question = Envelope::new(self.number, body);
        frame::write(&mut stream, &self.secret, &question)
            .await
            .map_err(failed)?;
        let answer = frame::read(&mut stream, &self.secret)
            .await
            .map_err(failed)?;
        if answer.number != self.number {
            return Err(Error::Connection("an answer to another question".into()));
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
