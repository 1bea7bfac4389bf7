//! Limits that upstreams name in their answers: the requests per second that they take of all
//! instances together.
//!
//! A limit is divided among a few owners, the instances with the highest rendezvous weights for the
//! upstream. Each owner sends at its part of the rate and never two requests at once, so that what all
//! of them send in a short time is bounded however many instances there are.

use crate::hash;
use crate::rate_limit::Sharers;
use crate::restriction::Incarnation;
use entity::name;
use entity::unit::Frequency;
use entity::{Moment, Span, work};

/// Share of a limit that is used, so that instances with different views of the live instances don't
/// exceed it together.
const USABLE_SHARE: f64 = 0.9;

/// Owners of a limit in addition to two for each request per second.
const EXTRA_OWNERS: usize = 2;

/// Time for which a limit holds that no answer has named again.
pub const LIMIT_TTL: Span = Span::from_secs(60);

/// Time for which an answer with or without a limit is told to peers.
const TELL_TIME: Span = Span::from_secs(5);

/// Largest number of incarnations whose limits are kept.
const MAX_LIMITS: usize = 512;

/// Largest number of limits in one message to a peer.
const MAX_TOLD: usize = 32;

/// What an incarnation of an upstream said last about its limit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Limit {
    /// The requests per second that it takes; none if it names no limit any more.
    pub frequency: Option<Frequency>,
    /// When the answer arrived.
    pub as_of: Moment,
}

#[derive(Clone, Debug)]
struct Entry {
    limit: Limit,
    /// Shortest time between two requests of this instance; none if it may send none.
    interval: Option<Span>,
    /// When this instance last sent a request there.
    sent_at: Option<Moment>,
}

/// How long an instance has to wait before it sends a request to a limited upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Wait {
    /// Until a time.
    Until(Moment),
    /// It is not one of the owners of the limit, or the upstream takes no requests.
    Unknown,
}

/// The limits that upstreams named.
#[derive(Clone, Debug, Default)]
pub struct Limits {
    /// Sorted by incarnation.
    entries: Vec<(Incarnation, Entry)>,
}

impl Limits {
    /// Records the limit in an answer to this instance or to a peer. An older answer than the last one
    /// changes nothing.
    pub fn record(
        &mut self,
        incarnation: &Incarnation,
        limit: Limit,
        sharers: Sharers<'_>,
        now: Moment,
    ) {
        self.entries
            .retain(|(_, entry)| now.since(entry.limit.as_of) < LIMIT_TTL);
        let found = self
            .entries
            .binary_search_by(|(known, _)| known.cmp(incarnation));
        match found {
            Ok(index) => {
                let entry = &mut self.entries[index].1;
                if limit.as_of <= entry.limit.as_of {
                    return;
                }
                if entry.limit.frequency != limit.frequency {
                    entry.interval = interval(&incarnation.upstream, limit, sharers);
                }
                entry.limit = limit;
            }
            Err(_) if self.entries.len() == MAX_LIMITS => {}
            Err(index) => {
                let entry = Entry {
                    limit,
                    interval: interval(&incarnation.upstream, limit, sharers),
                    sent_at: None,
                };
                self.entries.insert(index, (incarnation.clone(), entry));
            }
        }
    }

    /// Divides all limits anew, as the live instances have changed.
    pub fn divide(&mut self, sharers: Sharers<'_>) {
        for (incarnation, entry) in &mut self.entries {
            entry.interval = interval(&incarnation.upstream, entry.limit, sharers);
        }
    }

    /// Returns how long this instance has to wait before it sends a request to an incarnation; none if
    /// it may now.
    pub fn wait(&self, upstream: &name::Upstream, number: u64, now: Moment) -> Option<Wait> {
        let entry = &self.entries[self.index(upstream, number)?].1;
        entry.limit.frequency?;
        if now.since(entry.limit.as_of) >= LIMIT_TTL {
            return None;
        }
        let Some(interval) = entry.interval else {
            return Some(Wait::Unknown);
        };
        let next = entry.sent_at? + interval;
        (now < next).then_some(Wait::Until(next))
    }

    /// Records that a request is sent to an incarnation.
    pub fn record_dispatch(&mut self, upstream: &name::Upstream, number: u64, now: Moment) {
        if let Some(index) = self.index(upstream, number) {
            self.entries[index].1.sent_at = Some(now);
        }
    }

    /// Returns what is to be told to peers.
    pub fn told(&self, now: Moment) -> impl Iterator<Item = (&Incarnation, Limit)> {
        let recent =
            move |(_, entry): &&(Incarnation, Entry)| now.since(entry.limit.as_of) < TELL_TIME;
        let told = self.entries.iter().filter(recent).take(MAX_TOLD);
        told.map(|(incarnation, entry)| (incarnation, entry.limit))
    }

    fn index(&self, upstream: &name::Upstream, number: u64) -> Option<usize> {
        let order = |known: &Incarnation| {
            let by_name = known.upstream.cmp(upstream);
            by_name.then_with(|| known.number.cmp(&number))
        };
        let found = self.entries.binary_search_by(|(known, _)| order(known));
        found.ok()
    }
}

/// Returns the shortest time between two requests of this instance to an upstream; none if it may send
/// none.
fn interval(upstream: &name::Upstream, limit: Limit, sharers: Sharers<'_>) -> Option<Span> {
    let per_second = limit.frequency?.per_second();
    if per_second <= 0.0 {
        return None;
    }
    let live = match sharers.live.len() {
        0 => sharers.assumed.max(1),
        live => live,
    };
    let owners = ((per_second * 2.0) as usize + EXTRA_OWNERS).min(live);
    if owners < live && !is_owner(upstream, owners, sharers) {
        return None;
    }
    let seconds = owners as f64 / (per_second * USABLE_SHARE);
    Some(Span::from_micros((seconds * 1e6) as u64))
}

/// Returns whether this instance is among the first `owners` in the rendezvous order of an upstream.
fn is_owner(upstream: &name::Upstream, owners: usize, sharers: Sharers<'_>) -> bool {
    work::count(sharers.live.len());
    let key = hash::text(upstream.as_str());
    let weight = |name: &name::Instance| hash::weight(key, hash::text(name.as_str()));
    let own = weight(sharers.own);
    let before = sharers.live.iter().filter(|name| weight(name) > own);
    !sharers.live.is_empty() && before.count() < owners
}
