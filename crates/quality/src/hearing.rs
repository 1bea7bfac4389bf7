//! Whether an instance knows the recent evidence of its peers.
//!
//! An instance that was paused or cut off has the evidence of an earlier time, and messages of that time
//! may wait in its sockets. What it decides for all by the lack of bad evidence has to rest on messages
//! that peers have sent just now.

use entity::{Moment, Span, name, sorted};

/// Largest age of a message that shows a peer's recent evidence. Rounds of messages are at most 400 ms
/// apart.
const MAX_MESSAGE_AGE: Span = Span::from_millis(1000);
/// Number of peers whose recent evidence is needed. Each has merged that of others.
const QUORUM: usize = 3;
/// Time for which a peer that was heard is remembered; it is longer than any order.
const RETENTION: Span = Span::from_secs(600);

/// When the last message that was received of each peer was sent. Times are in boot time, which counts
/// suspensions of the machine.
#[derive(Clone, Debug, Default)]
pub struct Hearing {
    /// Peers that were heard, sorted by name.
    sent: Vec<(name::Instance, Moment)>,
}

/// What the messages of peers show at one moment.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Heard {
    /// Number of peers of which a recent message was received.
    pub recent: usize,
    /// Number of peers that are believed to be alive.
    pub live: usize,
    /// Age of the newest message of any peer; none if no peer was ever heard.
    pub newest: Option<Span>,
}

impl Hearing {
    /// Records a message of a peer that was sent at `sent` or later.
    pub fn record(&mut self, peer: &name::Instance, sent: Moment) {
        let last = sorted::entry(&mut self.sent, peer, || sent);
        *last = sent.max(*last);
    }

    /// Returns what the messages show, and forgets peers that have been silent for very long. `live` is the
    /// number of peers that are believed to be alive.
    pub fn heard(&mut self, live: usize, now: Moment) -> Heard {
        self.sent.retain(|(_, sent)| now.since(*sent) < RETENTION);
        let ages = self.sent.iter().map(|(_, sent)| now.since(*sent));
        Heard {
            recent: ages.clone().filter(|age| *age < MAX_MESSAGE_AGE).count(),
            live,
            newest: ages.min(),
        }
    }
}

impl Heard {
    /// Returns whether the recent evidence on an order of this age is known. An instance that had peers
    /// while the order was under way, and hears none of them, doesn't know whether they are gone or it is
    /// cut off.
    pub fn is_current(self, order_age: Span) -> bool {
        let had_peers = self.newest.is_some_and(|age| age <= order_age);
        let needed = self.live.min(QUORUM).max(usize::from(had_peers));
        self.recent >= needed
    }
}
