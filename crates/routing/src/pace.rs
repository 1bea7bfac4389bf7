//! Pace: how many requests a second an upstream in cold start gets from one instance.
//!
//! An upstream that registered itself says how many requests a second it bears in cold start, from
//! all instances together. That rate is divided over the live instances. Where there are more
//! instances than requests, only those with the highest rendezvous weights send any.

use crate::hash;
use entity::Moment;
use entity::name;
use entity::time::Span;

/// The length of the window that arrivals are counted in. It is longer than the second of the
/// agreed rate, since requests that are sent within a second may arrive closer together.
const WINDOW: Span = Span::from_millis(1250);

/// Share of the agreed rate that is used, so that instances with different views of who is live
/// do not exceed it together.
const USED: f64 = 0.6;

/// What is known of who shares a rate.
#[derive(Clone, Copy, Debug)]
pub struct Sharers<'a> {
    /// This instance.
    pub own: &'a name::Instance,
    /// The live instances, by name; empty while they are unknown.
    pub live: &'a [name::Instance],
    /// How many are assumed while they are unknown.
    pub assumed: usize,
}

/// Requests that this instance may send within a window to an upstream that bears `rate` requests
/// a second.
pub fn share(upstream: &name::Upstream, rate: u32, sharers: Sharers<'_>) -> u32 {
    let usable = (f64::from(rate) * USED) as usize;
    let live = match sharers.live.len() {
        0 => sharers.assumed.max(1),
        live => live,
    };
    if usable >= live {
        return (usable / live) as u32;
    }
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

/// Counts what an instance sent to one upstream in cold start.
#[derive(Clone, Debug, Default)]
pub struct Pace {
    /// When requests were sent, within the last window.
    sent: Vec<Moment>,
}

impl Pace {
    /// Whether another request fits into a share.
    pub fn allows(&self, share: u32, now: Moment) -> bool {
        let recent = self.sent.iter().filter(|&&at| now.since(at) < WINDOW);
        recent.count() < share as usize
    }

    /// Counts a request.
    pub fn sent(&mut self, now: Moment) {
        self.sent.retain(|&at| now.since(at) < WINDOW);
        self.sent.push(now);
    }
}
