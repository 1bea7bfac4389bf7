//! Ownership of upstreams: the instance that sends orders to an engine, and from when it may.

use claims::digest::Digest;
use entity::{Moment, Span, name};

/// Returns the owner of an upstream: the instance in the list with the largest rendezvous hash.
pub fn owner<'a>(
    upstream: &name::Upstream,
    instances: &'a [name::Instance],
) -> Option<&'a name::Instance> {
    instances.iter().max_by_key(|instance| {
        Digest::of(&[upstream.as_str().as_bytes(), instance.as_str().as_bytes()])
    })
}

/// Bounds on how long a former owner's orders can still act. They matter only for engines that
/// ignore fences; for others the fence alone suffices.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Bounds {
    /// Maximum difference in age between the instance lists of two instances.
    pub max_list_lag: Span,
    /// Maximum age of the instance list of an instance that sends an order.
    pub max_list_age: Span,
    /// Maximum pause of a process between the check and the last byte sent.
    pub max_pause: Span,
    /// Maximum time from the sending of an order until the engine acts on it.
    pub timeout: Span,
}

impl Bounds {
    /// Returns how long a new owner waits before it sends, which is longer than the orders of a
    /// former owner can still act.
    ///
    /// The former owner's list names it for at most `max_list_lag` after the new owner's list no
    /// longer does. The former owner sends for `max_list_age` on that list and is paused for at
    /// most `max_pause`, and its order acts within `timeout`.
    pub fn quarantine(&self) -> Span {
        let spans = [
            self.max_list_lag,
            self.max_list_age,
            self.max_pause,
            self.timeout,
        ];
        let sum: u64 = spans.iter().map(|span| span.as_micros()).sum();
        Span::from_micros(sum + 1)
    }
}

/// Tracks whether and since when this instance owns one upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Ownership {
    bounds: Bounds,
    owner_since: Option<Moment>,
    list_read_at: Moment,
}

impl Ownership {
    /// Creates the state of an instance that is not the owner.
    pub fn new(bounds: Bounds) -> Self {
        Self {
            bounds,
            owner_since: None,
            list_read_at: Moment::default(),
        }
    }

    /// Records that an instance list was read at `at`, and whether this instance is the owner by it.
    ///
    /// If the previous list has exceeded its maximum age, ownership starts anew, because other
    /// instances may have sent orders meanwhile.
    pub fn record_list(&mut self, is_owner: bool, at: Moment) {
        let expired = at.since(self.list_read_at) > self.bounds.max_list_age;
        self.list_read_at = at;
        if !is_owner {
            self.owner_since = None;
        } else if self.owner_since.is_none() || expired {
            self.owner_since = Some(at);
        }
    }

    /// Returns whether the instance may send at `now` to an engine that ignores fences. It has to be
    /// checked immediately before the order is sent.
    ///
    /// `read` is the start of the last read that reached the end of the stream of orders. It has to
    /// lie after the quarantine as well, because the former owner may have sent orders that this
    /// instance had not read before.
    pub fn may_send_unfenced(&self, now: Moment, read: Moment) -> bool {
        let Some(owner_since) = self.owner_since else {
            return false;
        };
        debug_assert!(read <= now, "orders were not read in the future");
        let is_fresh = now.since(self.list_read_at) <= self.bounds.max_list_age;
        is_fresh && read.since(owner_since) >= self.bounds.quarantine()
    }

    /// Returns whether the instance is the owner by a list within its maximum age. This suffices for
    /// an engine that checks fences.
    pub fn is_owner(&self, now: Moment) -> bool {
        self.owner_since.is_some() && now.since(self.list_read_at) <= self.bounds.max_list_age
    }
}
