//! Upstreams that closed a connection without notice right after a whole answer.
//!
//! One that ends closes all its connections, but an idle connection is also closed for other reasons. What comes
//! next from the upstream tells which it was.

use crate::evidence::Victim;
use crate::part::Part;
use entity::{Moment, Span};

/// Largest number of closings that are kept.
const MAX_CLOSINGS: usize = 64;
/// Time after which a closing is forgotten of which nothing more was learned.
const CLOSING_TTL: Span = Span::from_secs(5);

/// An upstream closed the connection on which it had just given a whole answer.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Closing {
    /// The upstream.
    pub victim: Victim,
    /// Parts of the prompt that other requests can share.
    pub parts: Box<[Part]>,
    /// What all repeats of the request share, if that is known.
    pub fingerprint: Option<Part>,
    /// Time from the head of the answer to the closing.
    pub since_head: Span,
    /// Time of the closing.
    pub at: Moment,
}

/// Closings of which it isn't known yet whether the upstream ended.
#[derive(Clone, Debug, Default)]
pub struct Closings {
    /// In order of time.
    known: Vec<Closing>,
}

impl Closings {
    /// Adds a closing. The oldest one is dropped where there are too many.
    pub fn add(&mut self, closing: Closing) {
        self.expire(closing.at);
        if self.known.len() == MAX_CLOSINGS {
            self.known.remove(0);
        }
        self.known.push(closing);
    }

    /// Records that an upstream has ended. Returns the closings that were part of it.
    pub fn record_end(&mut self, victim: Victim, now: Moment) -> Vec<Closing> {
        self.expire(now);
        self.take(|closing| closing.victim == victim)
    }

    /// Records that an upstream answered a request that was sent at `sent_at`. Returns the closings that it has
    /// outlived.
    pub fn record_answer(&mut self, victim: Victim, sent_at: Moment) -> Vec<Closing> {
        self.take(|closing| closing.victim == victim && closing.at < sent_at)
    }

    fn take(&mut self, is_taken: impl Fn(&Closing) -> bool) -> Vec<Closing> {
        self.known
            .extract_if(.., |closing| is_taken(closing))
            .collect()
    }

    fn expire(&mut self, now: Moment) {
        self.known
            .retain(|closing| now.since(closing.at) < CLOSING_TTL);
    }
}
