//! The task that owns the queues, the connections and the breaker.

use crate::breaker::Breaker;
use crate::client::{Answer, Score};
use crate::error::Error;
use crate::http::Endpoint;
use entity::{Moment, Span};
use std::net::SocketAddr;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::task::JoinSet;
use tokio::time::{Instant, timeout};
use tokio_util::sync::CancellationToken;

/// Calls under way at once.
const CALLS: usize = 8;

/// An answer in a queue.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) answer: Answer,
    pub(crate) reply: Reply,
}

/// Where a score goes.
#[derive(Debug)]
pub(crate) enum Reply {
    /// To a request that waits for it.
    Waiting(oneshot::Sender<Result<f64, Error>>),
    /// To whoever collects scores.
    Background(mpsc::Sender<Score>),
}

impl Job {
    /// Whether nobody waits for the score any more.
    fn is_abandoned(&self) -> bool {
        match &self.reply {
            Reply::Waiting(reply) => reply.is_closed(),
            Reply::Background(scores) => scores.is_closed(),
        }
    }

    /// Hands over a result; one that nobody takes is dropped.
    fn finish(self, result: Result<f64, Error>) {
        match self.reply {
            Reply::Waiting(reply) => {
                let _ = reply.send(result);
            }
            Reply::Background(scores) => {
                let Ok(score) = result else {
                    return;
                };
                let _ = scores.try_send(Score {
                    request: self.answer.request,
                    service: self.answer.service,
                    version: self.answer.version,
                    score,
                });
            }
        }
    }
}

/// The state of a running client.
pub(crate) struct Task {
    endpoint: Endpoint,
    timeout: Span,
    urgent: mpsc::Receiver<Job>,
    background: mpsc::Receiver<Job>,
    calls: JoinSet<Result<f64, Error>>,
    breaker: Breaker,
    out: watch::Sender<bool>,
    started: Instant,
}

impl Task {
    pub(crate) fn new(
        address: SocketAddr,
        timeout: Span,
        urgent: mpsc::Receiver<Job>,
        background: mpsc::Receiver<Job>,
        out: watch::Sender<bool>,
    ) -> Self {
        Self {
            endpoint: Endpoint::new(address, timeout),
            timeout,
            urgent,
            background,
            calls: JoinSet::new(),
            breaker: Breaker::default(),
            out,
            started: Instant::now(),
        }
    }

    /// Runs until it is cancelled or every handle is gone; calls under way are then aborted.
    pub(crate) async fn run(mut self, cancel: CancellationToken) {
        loop {
            let free = self.calls.len() < CALLS;
            let busy = !self.calls.is_empty();
            tokio::select! {
                biased;
                () = cancel.cancelled() => return,
                Some(ended) = self.calls.join_next(), if busy => self.end(ended.ok()),
                Some(job) = self.urgent.recv(), if free => self.begin(job),
                Some(job) = self.background.recv(), if free => self.begin(job),
                else => return,
            }
        }
    }

    /// Starts a call, unless nobody waits for it or the service is out.
    fn begin(&mut self, job: Job) {
        debug_assert!(self.calls.len() < CALLS);
        if job.is_abandoned() {
            return;
        }
        if !self.breaker.allows(self.now()) {
            job.finish(Err(Error::Out));
            return;
        }
        let endpoint = self.endpoint.clone();
        let limit = self.timeout.duration();
        self.calls.spawn(async move {
            let called = timeout(limit, endpoint.call(&job.answer)).await;
            let result = called.unwrap_or(Err(Error::Timeout));
            job.finish(result);
            result
        });
    }

    /// Takes note of how a call ended; one that panicked counts as a failure.
    fn end(&mut self, result: Option<Result<f64, Error>>) {
        match result.unwrap_or(Err(Error::Connection)) {
            Err(error) if error.is_outage() => self.breaker.fail(self.now()),
            _ => self.breaker.succeed(),
        }
        self.out.send_replace(self.breaker.is_open());
    }

    fn now(&self) -> Moment {
        Moment::default() + Span::from(self.started.elapsed())
    }
}
