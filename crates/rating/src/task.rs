//! The task that owns the queues, the connections and the circuit breaker.

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

/// Maximum number of concurrent calls.
const MAX_CONCURRENT_CALLS: usize = 8;

/// A queued answer.
#[derive(Debug)]
pub(crate) struct Job {
    pub(crate) answer: Answer,
    pub(crate) reply: ReplyChannel,
}

/// Recipient of a score.
#[derive(Debug)]
pub(crate) enum ReplyChannel {
    /// A request that waits for the score.
    Waiting(oneshot::Sender<Result<f64, Error>>),
    /// The channel that collects the scores of submitted answers.
    Background(mpsc::Sender<Score>),
}

impl Job {
    /// Returns whether the recipient of the score is gone.
    fn is_abandoned(&self) -> bool {
        match &self.reply {
            ReplyChannel::Waiting(reply) => reply.is_closed(),
            ReplyChannel::Background(scores) => scores.is_closed(),
        }
    }

    /// Delivers a result. It is dropped if the recipient is gone or its channel is full.
    fn deliver(self, result: Result<f64, Error>) {
        match self.reply {
            ReplyChannel::Waiting(reply) => {
                let _ = reply.send(result);
            }
            ReplyChannel::Background(scores) => {
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

/// State of a running client.
pub(crate) struct Task {
    endpoint: Endpoint,
    timeout: Span,
    urgent: mpsc::Receiver<Job>,
    background: mpsc::Receiver<Job>,
    calls: JoinSet<Result<f64, Error>>,
    breaker: Breaker,
    unavailable: watch::Sender<bool>,
    started: Instant,
}

impl Task {
    pub(crate) fn new(
        address: SocketAddr,
        timeout: Span,
        urgent: mpsc::Receiver<Job>,
        background: mpsc::Receiver<Job>,
        unavailable: watch::Sender<bool>,
    ) -> Self {
        Self {
            endpoint: Endpoint::new(address, timeout),
            timeout,
            urgent,
            background,
            calls: JoinSet::new(),
            breaker: Breaker::default(),
            unavailable,
            started: Instant::now(),
        }
    }

    /// Runs until it is cancelled or all handles are dropped. Calls in progress are then aborted.
    pub(crate) async fn run(mut self, cancel: CancellationToken) {
        loop {
            let has_capacity = self.calls.len() < MAX_CONCURRENT_CALLS;
            let has_calls = !self.calls.is_empty();
            tokio::select! {
                biased;
                () = cancel.cancelled() => return,
                Some(ended) = self.calls.join_next(), if has_calls => self.finish_call(ended.ok()),
                Some(job) = self.urgent.recv(), if has_capacity => self.start_call(job),
                Some(job) = self.background.recv(), if has_capacity => self.start_call(job),
                else => return,
            }
        }
    }

    /// Starts a call, unless its recipient is gone or the breaker is open.
    fn start_call(&mut self, job: Job) {
        debug_assert!(self.calls.len() < MAX_CONCURRENT_CALLS);
        if job.is_abandoned() {
            return;
        }
        if !self.breaker.allow_call(self.now()) {
            job.deliver(Err(Error::Unavailable));
            return;
        }
        let endpoint = self.endpoint.clone();
        let limit = self.timeout.duration();
        self.calls.spawn(async move {
            let called = timeout(limit, endpoint.call(&job.answer)).await;
            let result = called.unwrap_or(Err(Error::Timeout));
            job.deliver(result);
            result
        });
    }

    /// Records the result of a call in the breaker. A call that panicked counts as a failure.
    fn finish_call(&mut self, result: Option<Result<f64, Error>>) {
        match result.unwrap_or(Err(Error::Connection)) {
            Err(error) if error.is_outage() => self.breaker.record_failure(self.now()),
            _ => self.breaker.record_success(),
        }
        self.unavailable.send_replace(self.breaker.is_open());
    }

    fn now(&self) -> Moment {
        Moment::default() + Span::from(self.started.elapsed())
    }
}
