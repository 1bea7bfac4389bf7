//! The client of the rating service, its requests and its results.

use crate::error::Error;
use crate::task::{Job, ReplyChannel, Task};
use entity::{Span, name, request};
use std::net::SocketAddr;
use tokio::sync::mpsc::error::TrySendError;
use tokio::sync::{mpsc, oneshot, watch};
use tokio::time::timeout;
use tokio_util::sync::CancellationToken;

/// Maximum number of answers in each of the two queues.
const QUEUE_CAPACITY: usize = 64;

/// An answer to rate.
#[derive(Clone, Debug, PartialEq)]
pub struct Answer {
    /// Id of the request that the text answers.
    pub request: request::Id,
    /// Service of the request.
    pub service: name::Service,
    /// Version that generated the answer.
    pub version: name::Version,
    /// Text of the answer.
    pub text: Box<str>,
}

impl Answer {
    /// Maximum length of a rated text in bytes. Together with the capacity of the queues it bounds
    /// their memory.
    pub const MAX_BYTES: usize = 64 * 1024;
}

/// Rating of a submitted answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Score {
    /// Id of the request.
    pub request: request::Id,
    /// Service of the request.
    pub service: name::Service,
    /// Version that generated the answer.
    pub version: name::Version,
    /// Score of the answer, from 0 to 1.
    pub score: f64,
}

/// A handle to a running client. The client stops when its token is cancelled or its last handle is
/// dropped.
#[derive(Clone, Debug)]
pub struct Client {
    urgent: mpsc::Sender<Job>,
    background: mpsc::Sender<Job>,
    timeout: Span,
    unavailable: watch::Receiver<bool>,
}

impl Client {
    /// Opens a client of the service at an address. `timeout` bounds a rating, including its time in
    /// the queue.
    pub fn open(address: SocketAddr, timeout: Span, cancel: CancellationToken) -> Self {
        let (urgent, urgent_jobs) = mpsc::channel(QUEUE_CAPACITY);
        let (background, background_jobs) = mpsc::channel(QUEUE_CAPACITY);
        let (unavailable_sender, unavailable) = watch::channel(false);
        let task = Task::new(
            address,
            timeout,
            urgent_jobs,
            background_jobs,
            unavailable_sender,
        );
        tokio::spawn(task.run(cancel));
        Self {
            urgent,
            background,
            timeout,
            unavailable,
        }
    }

    /// Returns whether the service is considered unavailable, which it is after several consecutive
    /// failures until the next success.
    pub fn is_unavailable(&self) -> bool {
        *self.unavailable.borrow()
    }

    /// Rates an answer that is held back until its score is known, and returns the score, from 0 to
    /// 1. It takes precedence over [submitted](Self::submit) answers.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no rating in time or at all. The answer can then be forwarded
    /// without one.
    pub async fn rate(&self, answer: Answer) -> Result<f64, Error> {
        let (sender, receiver) = oneshot::channel();
        enqueue(&self.urgent, answer, ReplyChannel::Waiting(sender))?;
        match timeout(self.timeout.duration(), receiver).await {
            Ok(Ok(result)) => result,
            Ok(Err(_)) => Err(Error::Closed),
            Err(_) => Err(Error::Timeout),
        }
    }

    /// Queues an answer for rating in the background and returns immediately. Its score is sent to
    /// `scores`, unless the rating fails or the channel is full.
    ///
    /// # Errors
    ///
    /// Returns an error if the answer was dropped.
    pub fn submit(&self, answer: Answer, scores: mpsc::Sender<Score>) -> Result<(), Error> {
        enqueue(&self.background, answer, ReplyChannel::Background(scores))
    }
}

fn enqueue(jobs: &mpsc::Sender<Job>, answer: Answer, reply: ReplyChannel) -> Result<(), Error> {
    if answer.text.len() > Answer::MAX_BYTES {
        return Err(Error::TooLong);
    }
    jobs.try_send(Job { answer, reply })
        .map_err(|error| match error {
            TrySendError::Full(_) => Error::Full,
            TrySendError::Closed(_) => Error::Closed,
        })
}
