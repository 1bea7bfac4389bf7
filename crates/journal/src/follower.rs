//! Follows a stream by long polls and hands its records to a channel.

use crate::backoff::Backoff;
use crate::log::Log;
use entity::{Offset, Span};
use logs::{Error, Page};
use tokio::sync::mpsc;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

/// Most records in one page.
const PAGE_RECORDS: usize = 256;

/// How long a poll at the end of the stream waits for a record.
const POLL_WAIT: Span = Span::from_secs(10);

/// Pages that may wait for the receiver.
const CHANNEL_PAGES: usize = 8;

/// Bounds of the delay between failed reads.
const LEAST_DELAY: Span = Span::from_millis(50);
const MOST_DELAY: Span = Span::from_secs(2);

/// Reads without a reply in a row that mean an outage; a single one may be a lost reply.
const SILENT_READS: u32 = 2;

/// What a follower reports.
#[derive(Clone, Debug)]
pub enum Event {
    /// Records that follow the ones before; the first event has those that were retained.
    Records(Page),
    /// Records were skipped: the log forgot them before they were read, or began anew. The page
    /// holds what follows the gap.
    Gap {
        /// The offset that should have come next.
        expected: Offset,
        /// The page that came instead.
        page: Page,
    },
    /// The log can't be read; more records follow once it can.
    Down(Error),
}

/// A running follower. Dropping it ends the task.
#[derive(Debug)]
pub struct Follower {
    events: mpsc::Receiver<Event>,
    cancel: CancellationToken,
}

impl Follower {
    /// The next event; `None` after cancellation.
    pub async fn next(&mut self) -> Option<Event> {
        self.events.recv().await
    }
}

impl Drop for Follower {
    fn drop(&mut self) {
        self.cancel.cancel();
    }
}

/// Follows a stream from an offset, or from the first retained record if that is later.
pub fn spawn<L: Log>(
    log: L,
    stream: Box<str>,
    from: Offset,
    cancel: &CancellationToken,
) -> Follower {
    let (sender, events) = mpsc::channel(CHANNEL_PAGES);
    let cancel = cancel.child_token();
    let task = Task {
        log,
        stream,
        next: from,
        began: false,
        backoff: Backoff::new(LEAST_DELAY, MOST_DELAY),
        down: false,
        sender,
    };
    let token = cancel.clone();
    tokio::spawn(async move { token.run_until_cancelled(task.run()).await });
    Follower { events, cancel }
}

struct Task<L> {
    log: L,
    stream: Box<str>,
    next: Offset,
    /// Whether a page was read: only then can records be missed.
    began: bool,
    backoff: Backoff,
    down: bool,
    sender: mpsc::Sender<Event>,
}

impl<L: Log> Task<L> {
    async fn run(mut self) {
        loop {
            let page = self
                .log
                .read(&self.stream, self.next, PAGE_RECORDS, self.wait());
            let sent = match page.await {
                Ok(page) => self.take(page).await,
                Err(error) => self.fail(error).await,
            };
            if sent.is_err() {
                return;
            }
        }
    }

    /// The first read, and the first after an outage, return at once, so that the receiver learns
    /// that the log is up.
    fn wait(&self) -> Span {
        if self.began && self.backoff.failures() == 0 {
            return POLL_WAIT;
        }
        Span::ZERO
    }

    async fn take(&mut self, page: Page) -> Result<(), mpsc::error::SendError<Event>> {
        let expected = self.next;
        let anew = page.next < expected;
        let gap = self.began && (page.first > expected || anew);
        self.next = if anew {
            page.first
        } else {
            page.resume(expected)
        };
        let news = !self.began || self.down || gap || !page.records.is_empty();
        self.began = true;
        self.down = false;
        self.backoff.reset();
        if !news {
            return Ok(());
        }
        let event = if gap {
            Event::Gap { expected, page }
        } else {
            Event::Records(page)
        };
        self.sender.send(event).await
    }

    async fn fail(&mut self, error: Error) -> Result<(), mpsc::error::SendError<Event>> {
        let delay = self.backoff.fail();
        let refused = matches!(error, Error::Refused { .. });
        if !self.down && (refused || self.backoff.failures() >= SILENT_READS) {
            self.down = true;
            self.sender.send(Event::Down(error)).await?;
        }
        sleep(delay).await;
        Ok(())
    }
}
