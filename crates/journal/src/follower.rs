//! Follows a stream by long polling and sends its records to a channel.

use crate::backoff::Backoff;
use crate::log::Log;
use entity::{Offset, Span};
use logs::{Error, Page};
use tokio::sync::mpsc;
use tokio::time::sleep;
use tokio_util::sync::CancellationToken;

/// Maximum number of records in one page.
const PAGE_RECORDS: usize = 256;

/// Time that a poll at the end of the stream waits for a record.
const POLL_WAIT: Span = Span::from_secs(10);

/// Capacity of the channel to the receiver, in pages.
const CHANNEL_PAGES: usize = 8;

/// Bounds of the delay between failed reads.
const MIN_DELAY: Span = Span::from_millis(50);
const MAX_DELAY: Span = Span::from_secs(2);

/// Number of consecutive reads without a reply that count as an outage; a single one may be a lost
/// reply.
const OUTAGE_FAILURES: u32 = 2;

/// Event reported by a follower.
#[derive(Clone, Debug)]
pub enum Event {
    /// The next records of the stream. The first event holds the retained records, which may be
    /// none.
    Records(Page),
    /// Records were skipped, because the log expired them before they were read or restarted with
    /// an empty stream. The page holds the records after the gap.
    Gap {
        /// Offset that was expected next.
        expected: Offset,
        /// Page that was received instead.
        page: Page,
    },
    /// The log can't be read. Records follow once it can be read again.
    Down(Error),
}

/// Handle to a running follower. Dropping it ends the task.
#[derive(Debug)]
pub struct Follower {
    events: mpsc::Receiver<Event>,
    cancel: CancellationToken,
}

impl Follower {
    /// Returns the next event, or `None` after cancellation.
    pub async fn next(&mut self) -> Option<Event> {
        self.events.recv().await
    }
}

impl Drop for Follower {
    fn drop(&mut self) {
        self.cancel.cancel();
    }
}

/// Starts to follow a stream from an offset, or from the first retained record if that is later.
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
        has_read_page: false,
        backoff: Backoff::new(MIN_DELAY, MAX_DELAY),
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
    /// Whether any page has been read. Records before the first page don't count as missed.
    has_read_page: bool,
    backoff: Backoff,
    down: bool,
    sender: mpsc::Sender<Event>,
}

impl<L: Log> Task<L> {
    async fn run(mut self) {
        loop {
            let page = self
                .log
                .read(&self.stream, self.next, PAGE_RECORDS, self.poll_wait());
            let sent = match page.await {
                Ok(page) => self.handle_page(page).await,
                Err(error) => self.handle_error(error).await,
            };
            if sent.is_err() {
                return;
            }
        }
    }

    /// Returns how long the next read may wait. The first read, and the first read after a failure,
    /// return at once, so that the receiver learns immediately that the log is reachable.
    fn poll_wait(&self) -> Span {
        if self.has_read_page && self.backoff.failures() == 0 {
            return POLL_WAIT;
        }
        Span::ZERO
    }

    async fn handle_page(&mut self, page: Page) -> Result<(), mpsc::error::SendError<Event>> {
        let expected = self.next;
        let restarted = page.next < expected;
        let gap = self.has_read_page && (page.first > expected || restarted);
        self.next = if restarted {
            page.first
        } else {
            page.next_offset(expected)
        };
        let must_report = !self.has_read_page || self.down || gap || !page.records.is_empty();
        self.has_read_page = true;
        self.down = false;
        self.backoff.reset();
        if !must_report {
            return Ok(());
        }
        let event = if gap {
            Event::Gap { expected, page }
        } else {
            Event::Records(page)
        };
        self.sender.send(event).await
    }

    async fn handle_error(&mut self, error: Error) -> Result<(), mpsc::error::SendError<Event>> {
        let delay = self.backoff.next_delay();
        let refused = matches!(error, Error::Refused { .. });
        if !self.down && (refused || self.backoff.failures() >= OUTAGE_FAILURES) {
            self.down = true;
            self.sender.send(Event::Down(error)).await?;
        }
        sleep(delay).await;
        Ok(())
    }
}
