//! Allowance: repeats of a service, kept to a share of its requests in a sliding window.
//!
//! Where upstreams bound the arrivals beyond the first of each request over all instances, each
//! instance stays below the agreed share of its own requests, so that the sum does too, whoever is
//! live and whatever the instances hear of each other.

use entity::Moment;
use entity::time::Span;
use std::collections::VecDeque;

/// The resolution of the window.
const BUCKET: Span = Span::from_millis(250);

/// What is agreed on repeats.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Bound {
    /// Repeats for each request.
    pub share: f64,
    /// The length of the window.
    pub window: Span,
    /// Repeats beyond the share.
    pub extra: u32,
}

#[derive(Clone, Copy, Debug)]
struct Bucket {
    from: Moment,
    requests: u32,
    repeats: u32,
}

/// The requests and repeats of one service in the last window.
#[derive(Clone, Debug)]
pub struct Allowance {
    bound: Bound,
    /// The oldest first.
    buckets: VecDeque<Bucket>,
}

impl Allowance {
    /// An allowance before the first request.
    pub fn new(bound: Bound) -> Self {
        Self {
            bound,
            buckets: VecDeque::new(),
        }
    }

    /// Counts a request, not its repeats.
    pub fn request(&mut self, now: Moment) {
        self.bucket(now).requests += 1;
    }

    /// Takes one repeat out, if there is one. A `reserve` is left for others.
    pub fn repeat(&mut self, reserve: u32, now: Moment) -> bool {
        if self.left(now) <= f64::from(reserve) {
            return false;
        }
        self.bucket(now).repeats += 1;
        true
    }

    /// Repeats that are left now.
    pub fn left(&self, now: Moment) -> f64 {
        let (mut requests, mut repeats) = (0, 0);
        for bucket in &self.buckets {
            if now.since(bucket.from) >= self.bound.window {
                continue;
            }
            requests += bucket.requests;
            repeats += bucket.repeats;
        }
        f64::from(requests) * self.bound.share + f64::from(self.bound.extra) - f64::from(repeats)
    }

    fn bucket(&mut self, now: Moment) -> &mut Bucket {
        let window = self.bound.window;
        while self
            .buckets
            .front()
            .is_some_and(|oldest| now.since(oldest.from) >= window)
        {
            self.buckets.pop_front();
        }
        let current = self
            .buckets
            .back()
            .is_some_and(|newest| now.since(newest.from) < BUCKET);
        if !current {
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
