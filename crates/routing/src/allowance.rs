//! Limits the repeats of a service to a share of its requests in a sliding window.
//!
//! Upstreams bound the repeats, which are all tries of a request after its first, over all
//! instances together. Each instance stays below the agreed share of its own requests, so that the
//! total does too, independently of which instances are live and of their information about each
//! other.

use entity::Moment;
use entity::time::Span;
use std::collections::VecDeque;

/// Length of a bucket, which is the resolution of the window.
const BUCKET_LENGTH: Span = Span::from_millis(250);

/// Repeats that an escalation leaves for retries after failures. More would leave no escalation to the
/// first requests of an instance that has just started.
pub const ESCALATION_RESERVE: u32 = 1;

/// The agreed bound on repeats.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Repeats allowed per request.
    pub share: f64,
    /// Length of the sliding window.
    pub window: Span,
    /// Repeats allowed in a window in addition to the share.
    pub burst: u32,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    from: Moment,
    requests: u32,
    repeats: u32,
}

/// Requests and repeats of one service within the window.
#[derive(Clone, Debug)]
pub struct Allowance {
    bound: Bound,
    /// Oldest first.
    buckets: VecDeque<Bucket>,
}

impl Allowance {
    /// Creates an allowance without any requests.
    pub fn new(bound: Bound) -> Self {
        Self {
            bound,
            buckets: VecDeque::new(),
        }
    }

    /// Records a request, not counting its repeats.
    pub fn record_request(&mut self, now: Moment) {
        self.current_bucket(now).requests += 1;
    }

    /// Records a repeat and returns true if more than `reserve` repeats are left, and returns false
    /// otherwise. The reserve is left for other kinds of repeats.
    pub fn try_repeat(&mut self, reserve: u32, now: Moment) -> bool {
        if self.remaining(now) <= f64::from(reserve) {
            return false;
        }
        self.current_bucket(now).repeats += 1;
        true
    }

    /// Returns the number of repeats that are still allowed in the current window.
    pub fn remaining(&self, now: Moment) -> f64 {
        let (mut requests, mut repeats) = (0, 0);
        for bucket in &self.buckets {
            // The last repeat of a bucket may be as much later as the bucket is long.
            let age = now.since(bucket.from);
            if age < self.bound.window {
                requests += bucket.requests;
            }
            if age < self.bound.window + BUCKET_LENGTH {
                repeats += bucket.repeats;
            }
        }
        f64::from(requests) * self.bound.share + f64::from(self.bound.burst) - f64::from(repeats)
    }

    fn current_bucket(&mut self, now: Moment) -> &mut Bucket {
        let window = self.bound.window + BUCKET_LENGTH;
        while self
            .buckets
            .front()
            .is_some_and(|oldest| now.since(oldest.from) >= window)
        {
            self.buckets.pop_front();
        }
        let is_current = self
            .buckets
            .back()
            .is_some_and(|newest| now.since(newest.from) < BUCKET_LENGTH);
        if !is_current {
            self.buckets.push_back(Bucket {
                from: now,
                requests: 0,
                repeats: 0,
            });
        }
        let last = self.buckets.len() - 1;
        &mut self.buckets[last]
    }
}
