//! Which instance sends to an engine, and from when.

use claims::digest::Digest;
use entity::{Moment, Span, name};

/// The instance that sends to an upstream: the largest rendezvous hash over the instance list.
pub fn sender<'a>(
    upstream: &name::Upstream,
    instances: &'a [name::Instance],
) -> Option<&'a name::Instance> {
    instances.iter().max_by_key(|instance| {
        Digest::of(&[upstream.as_str().as_bytes(), instance.as_str().as_bytes()])
    })
}

/// Bounds on how long a former sender can still act. They hold for engines that ignore fences;
/// for others the fence alone suffices.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Bounds {
    /// How far the instance lists of two instances can differ in age.
    pub list_lag: Span,
    /// How old its instance list may be when an instance sends.
    pub list_age: Span,
    /// The longest pause between the check and the last byte sent.
    pub pause: Span,
    /// How long an engine may take to act on an order that was sent.
    pub timeout: Span,
}

impl Bounds {
    /// How long a new sender waits: longer than a former one can act.
    ///
    /// The former sender's list names it for at most `list_lag` after the new sender's list does
    /// not; it sends for `list_age` on that list, is paused for `pause` and its order acts within
    /// `timeout`.
    pub fn quarantine(&self) -> Span {
        let micros = [self.list_lag, self.list_age, self.pause, self.timeout];
        let sum: u64 = micros.iter().map(|span| span.as_micros()).sum();
        Span::from_micros(sum + 1)
    }
}

/// An instance's time as the sender of one upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Tenure {
    bounds: Bounds,
    since: Option<Moment>,
    listed: Moment,
}

impl Tenure {
    /// An instance that is not the sender.
    pub fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            since: None,
            listed: Moment::default(),
        }
    }

    /// Notes an instance list that was read at `at`, and whether it names this instance.
    ///
    /// A list that is older than the bound voids the tenure: others may have sent meanwhile.
    pub fn list(&mut self, named: bool, at: Moment) {
        let lapsed = at.since(self.listed) > self.bounds.list_age;
        self.listed = at;
        if !named {
            self.since = None;
        } else if self.since.is_none() || lapsed {
            self.since = Some(at);
        }
    }

    /// Whether the instance may send at `now` to an engine that ignores fences; to be checked
    /// immediately before the send.
    ///
    /// `read` is when the last read of the orders that reached their end began. It has to be after
    /// the quarantine as well: the former sender may have sent orders that were not read before.
    pub fn may_send(&self, now: Moment, read: Moment) -> bool {
        let Some(since) = self.since else {
            return false;
        };
        debug_assert!(read <= now, "orders were not read in the future");
        let fresh = now.since(self.listed) <= self.bounds.list_age;
        fresh && read.since(since) >= self.bounds.quarantine()
    }

    /// Whether the instance is named by a list that is fresh enough, which is all that an engine
    /// that checks fences needs.
    pub fn is_named(&self, now: Moment) -> bool {
        self.since.is_some() && now.since(self.listed) <= self.bounds.list_age
    }
}
