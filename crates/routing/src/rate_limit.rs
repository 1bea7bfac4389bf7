//! Rate limit of one instance for an upstream in cold start.
//!
//! An upstream that registered itself announces the number of requests per second that it can serve
//! in cold start, over all instances. That rate is divided among the live instances. If there are
//! more instances than requests per second, only those with the highest rendezvous weights send
//! any.

use crate::hash;
use entity::Moment;
use entity::name;
use entity::time::Span;
use entity::work;

/// Length of the window in which requests are counted. It is longer than the 1 s of the agreed
/// rate, since requests sent within a second may arrive closer together.
const WINDOW: Span = Span::from_millis(1250);

/// Share of the agreed rate that is used, so that instances with different views of the live
/// instances don't exceed it together.
const USABLE_SHARE: f64 = 0.6;

/// The instances that share a rate.
#[derive(Clone, Copy, Debug)]
pub struct Sharers<'a> {
    /// This instance.
    pub own: &'a name::Instance,
    /// Live instances, sorted by name; empty while they are unknown.
    pub live: &'a [name::Instance],
    /// Number of instances that is assumed while the live ones are unknown.
    pub assumed: usize,
}

/// Returns the number of requests that this instance may send within a window to an upstream that
/// serves `rate` requests per second.
pub fn share(upstream: &name::Upstream, rate: u32, sharers: Sharers<'_>) -> u32 {
    let usable = (f64::from(rate) * USABLE_SHARE) as usize;
    let live = match sharers.live.len() {
        0 => sharers.assumed.max(1),
        live => live,
    };
    if usable >= live {
        return (usable / live) as u32;
    }
    work::count(sharers.live.len());
    let key = hash::text(upstream.as_str());
    let weight = |name: &name::Instance| hash::weight(key, hash::text(name.as_str()));
    let own = weight(sharers.own);
    let rank = sharers
        .live
        .iter()
        .filter(|name| weight(name) > own)
        .count();
    u32::from(!sharers.live.is_empty() && rank < usable)
}

/// Counts the requests that an instance sent to one upstream in cold start.
#[derive(Clone, Debug, Default)]
pub struct RateLimiter {
    /// Times at which requests were sent, within the last window.
    sent: Vec<Moment>,
}

impl RateLimiter {
    /// Returns whether another request is within the share.
    pub fn allows(&self, share: u32, now: Moment) -> bool {
        let recent = self.sent.iter().filter(|&&at| now.since(at) < WINDOW);
        recent.count() < share as usize
    }

    /// Records a request.
    pub fn record(&mut self, now: Moment) {
        self.sent.retain(|&at| now.since(at) < WINDOW);
        self.sent.push(now);
    }
}
