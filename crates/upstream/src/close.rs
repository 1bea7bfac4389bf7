//! Watch over a connection after a whole answer, as an upstream may end right after it.

use std::time::Duration;
use tokio::sync::watch;

/// Time for which a connection is kept open and watched after a whole answer.
pub const WATCH_TIME: Duration = Duration::from_secs(1);

/// What became of a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Fate {
    /// It stayed open.
    Open,
    /// The upstream closed it without notice.
    Closed,
    /// This side closed it, or the upstream had said that it would.
    Unknown,
}

/// Tells a [`Watch`] when the driver of a connection ends by itself.
#[derive(Debug)]
pub(crate) struct Signal(watch::Sender<bool>);

/// Watch over one connection.
#[derive(Clone, Debug)]
pub struct Watch {
    closed: watch::Receiver<bool>,
    /// Whether the upstream had said that it closes the connection after the answer.
    is_announced: bool,
}

impl Watch {
    pub(crate) fn new() -> (Signal, Self) {
        let (sender, closed) = watch::channel(false);
        let watch = Self {
            closed,
            is_announced: false,
        };
        (Signal(sender), watch)
    }

    pub(crate) fn announced(self, is_announced: bool) -> Self {
        Self {
            is_announced,
            ..self
        }
    }

    /// Waits for [`WATCH_TIME`] after a whole answer, or until the connection is closed.
    pub async fn wait(mut self) -> Fate {
        if self.is_announced {
            return Fate::Unknown;
        }
        let closed = self.closed.wait_for(|is_closed| *is_closed);
        match tokio::time::timeout(WATCH_TIME, closed).await {
            Err(_) => Fate::Open,
            Ok(Ok(_)) => Fate::Closed,
            // The driver was aborted.
            Ok(Err(_)) => Fate::Unknown,
        }
    }
}

impl Signal {
    pub(crate) fn record_closed(self) {
        self.0.send_replace(true);
    }
}
