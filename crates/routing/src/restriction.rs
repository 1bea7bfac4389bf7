//! What upstreams say about themselves in their answers: that they are leaving, or that they want no
//! requests for a while.

use entity::{Moment, Span, name, sorted};

/// Time for which the leaving of an incarnation is remembered. It ends long before.
const LEAVING_TTL: Span = Span::from_secs(600);

/// Time for which the leaving of an upstream is announced to peers.
const ANNOUNCE_TIME: Span = Span::from_millis(2500);

/// One incarnation of an upstream.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Incarnation {
    /// Name of the upstream.
    pub upstream: name::Upstream,
    /// Start time of the incarnation, as the upstream registered it.
    pub number: u64,
}

impl Incarnation {
    /// Returns the parts by which incarnations are ordered.
    pub fn key(&self) -> (&name::Upstream, u64) {
        (&self.upstream, self.number)
    }
}

/// Why an upstream must get no request now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Restriction {
    /// It is leaving.
    Leaving,
    /// It asked for no requests until the given time.
    Resting {
        /// End of the rest.
        until: Moment,
    },
}

/// The restrictions of all upstreams.
#[derive(Clone, Debug, Default)]
pub struct Restrictions {
    /// Incarnations that are leaving, with the time at which this was learned, sorted.
    leaving: Vec<(Incarnation, Moment)>,
    /// Incarnations that asked for a rest, with its end, sorted.
    resting: Vec<(Incarnation, Moment)>,
}

impl Restrictions {
    /// Records that an incarnation is leaving. Returns whether that is new.
    pub fn record_leaving(&mut self, incarnation: Incarnation, now: Moment) -> bool {
        self.leaving
            .retain(|(_, learned)| now.since(*learned) < LEAVING_TTL);
        match self
            .leaving
            .binary_search_by(|(known, _)| known.cmp(&incarnation))
        {
            Ok(_) => false,
            Err(index) => {
                self.leaving.insert(index, (incarnation, now));
                true
            }
        }
    }

    /// Records that an incarnation wants no requests until a time.
    pub fn record_rest(&mut self, incarnation: &Incarnation, until: Moment, now: Moment) {
        self.resting.retain(|(_, end)| now < *end);
        let end = sorted::entry(&mut self.resting, incarnation, || until);
        *end = (*end).max(until);
    }

    /// Returns why an incarnation must get no request now; none if it may get one.
    pub fn find(&self, upstream: &name::Upstream, number: u64, now: Moment) -> Option<Restriction> {
        let order = |known: &Incarnation| known.key().cmp(&(upstream, number));
        if self
            .leaving
            .binary_search_by(|(known, _)| order(known))
            .is_ok()
        {
            return Some(Restriction::Leaving);
        }
        let index = self
            .resting
            .binary_search_by(|(known, _)| order(known))
            .ok()?;
        let until = self.resting[index].1;
        (now < until).then_some(Restriction::Resting { until })
    }

    /// Returns the incarnations whose leaving was learned recently, to be announced to peers.
    pub fn recent_departures(&self, now: Moment) -> impl Iterator<Item = &Incarnation> {
        let recent =
            move |(_, learned): &&(Incarnation, Moment)| now.since(*learned) < ANNOUNCE_TIME;
        let leaving = self.leaving.iter().filter(recent);
        leaving.map(|(incarnation, _)| incarnation)
    }
}
