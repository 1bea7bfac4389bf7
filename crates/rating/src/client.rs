//! The running client and what is said to it.

use crate::error::Error;
use crate::task::{Job, Reply, Task};
use entity::{Span, name, request};
use std::net::SocketAddr;
use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

/// Answers that may wait in each of the two queues.
const QUEUE: usize = 64;

/// An answer to rate.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// The request that it answers.
    pub request: request::Id,
    /// The service.
    pub service: name::Service,
    /// The version that gave it.
    pub version: name::Version,
    /// Its text.
    pub text: Box<str>,
}

impl Answer {
    /// Longest text that is rated, in bytes; with the length of the queues it bounds their memory.
    pub const MAX_BYTES: usize = 64 * 1024;
}

/// What came of an answer that was submitted.
#[derive(Clone, Debug, PartialEq)]
pub struct Score {
    /// The request.
    pub request: request::Id,
    /// The service.
    pub service: name::Service,
    /// The version.
    pub version: name::Version,
    /// The score, from 0 to 1.
    pub score: f64,
}

/// A handle on the running client; it stops with its cancellation token or its last handle.
#[derive(Clone, Debug)]
pub struct Client {
    urgent: mpsc::Sender<Job>,
    background: mpsc::Sender<Job>,
    timeout: Span,
    out: watch::Receiver<bool>,
}

impl Client {
    /// Opens a client of the service at an address. A rating that takes longer than `timeout`,
    /// waiting included, is given up.
    pub fn open(address: SocketAddr, timeout: Span, cancel: CancellationToken) -> Self {
        let (urgent, urgent_jobs) = mpsc::channel(QUEUE);
        let (background, background_jobs) = mpsc::channel(QUEUE);
        let (out_sender, out) = watch::channel(false);
        let task = Task::new(address, timeout, urgent_jobs, background_jobs, out_sender);
        tokio::spawn(task.run(cancel));
        Self {
            urgent,
            background,
            timeout,
            out,
        }
    }

    /// Whether the service counts as out, after several failures in a row and until a success.
    pub fn is_out(&self) -> bool {
        *self.out.borrow()
    }

    /// Rates an answer that is held back until its score, from 0 to 1, is known. It goes before
    /// answers that were [submitted](Self::submit).
    ///
    /// # Errors
    ///
    /// There is no rating in time or at all; the answer can then be passed on without one.
    pub async fn rate(&self, answer: Answer) -> Result<f64, Error> {
        let (sender, receiver) = oneshot::channel();
        queue(&self.urgent, answer, Reply::Waiting(sender))?;
        match timeout(self.timeout.duration(), receiver).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) => Err(Error::Closed),
            Err(_) => Err(Error::Timeout),
        }
    }

    /// Rates an answer in the background and sends its score to `scores`, which gets nothing if
    /// there is no rating or no room in it. Returns at once.
    ///
    /// # Errors
    ///
    /// The answer was dropped.
    pub fn submit(&self, answer: Answer, scores: mpsc::Sender<Score>) -> Result<(), Error> {
        queue(&self.background, answer, Reply::Background(scores))
    }
}

fn queue(jobs: &mpsc::Sender<Job>, answer: Answer, reply: Reply) -> Result<(), Error> {
    if answer.text.len() > Answer::MAX_BYTES {
        return Err(Error::Long);
    }
    jobs.try_send(Job { answer, reply })
        .map_err(|error| match error {
            TrySendError::Full(_) => Error::Full,
            TrySendError::Closed(_) => Error::Closed,
        })
}
