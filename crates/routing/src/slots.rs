//! Slots of cold upstreams: which instance may run a request on an upstream in cold start.
//!
//! An upstream in cold start has as many slots as it bears requests. A slot belongs to the live
//! instance with the highest rendezvous weight, so instances with the same list agree without a
//! message. Lists lag, so ownership by the list is not enough. With
//!
//! - *view* `V`: the longest time from when a list was true until an instance that goes by it has
//!   sent a request (lag of the list, time between reads, and delay of a dispatch);
//! - *run* `R`: the longest time that a request runs on a slot,
//!
//! an instance that loses a slot sends nothing there from that moment, and one that gains a slot
//! sends nothing there for `2V + R`. It need not wait for `R` where all earlier owners have said
//! that they take no slots any more and that nothing of theirs runs on this one. An instance that
//! has not read the list for longer than agreed sends nothing on any slot, and counts all slots as
//! newly gained at its next read.
//!
//! This keeps every slot to one request at a time provided that a name stays on the list, or off
//! it, for at least `V`, and that no two processes have one name. The argument is in
//! `docs/design/cold-slots.md`, and `tests/slots.rs` explores the protocol exhaustively.

use crate::hash;
use entity::Moment;
use entity::name;
use entity::time::Span;
use std::sync::Arc;

/// Times that all instances agree on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Bounds {
    /// How late the instance list tells of a change, at most.
    pub lag: Span,
    /// How long an instance goes by a list after it began to read it.
    pub fresh: Span,
    /// How long a dispatch takes from its last check until it is sent.
    pub slack: Span,
    /// How long a request runs on a slot.
    pub run: Span,
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            lag: Span::from_secs(5),
            fresh: Span::from_secs(3),
            slack: Span::from_secs(1),
            run: Span::from_secs(60),
        }
    }
}

impl Bounds {
    /// The longest time from when a list was true until what goes by it is sent.
    pub fn view(&self) -> Span {
        sum(&[self.lag, self.fresh, self.slack])
    }

    /// How long after a gain all other instances have seen the loss.
    pub fn settled(&self) -> Span {
        sum(&[self.view(), self.view()])
    }

    /// How long after a gain nothing of another instance runs on the slot.
    pub fn cleared(&self) -> Span {
        sum(&[self.settled(), self.run])
    }
}

fn sum(spans: &[Span]) -> Span {
    Span::from_micros(spans.iter().map(|span| span.as_micros()).sum())
}

/// The live instances, as one read of the instance list gave them.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Members {
    /// The list's version; a list with a smaller one than seen before is ignored.
    pub version: u64,
    /// Instances that are live and not leaving, by name.
    pub live: Arc<[name::Instance]>,
}

impl Members {
    /// The members of a list in any order.
    pub fn new(version: u64, mut live: Vec<name::Instance>) -> Self {
        live.sort_unstable();
        live.dedup();
        let live = live.into();
        Self { version, live }
    }
}

/// One list, and from when to when an instance went by it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct View {
    begun: Moment,
    live: Arc<[name::Instance]>,
}

/// What an instance that takes no slots any more says about its requests on slots.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Ceased {
    /// The instance.
    pub instance: name::Instance,
    /// Slots on which a request of its runs still: upstream and number.
    pub running: Vec<(name::Upstream, u32)>,
}

/// A slot in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Held {
    /// The slot.
    pub number: u32,
    /// The choice that uses it.
    pub ticket: u64,
}

/// An instance's claim to a slot.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Claim {
    /// The slot, counted from 0.
    pub number: u32,
    /// The moment from which the instance may use it.
    pub from: Moment,
}

/// An instance's views of the list, and the claims that follow from them.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Views {
    own: name::Instance,
    bounds: Bounds,
    version: u64,
    /// When the newest read that arrived was begun; none before the first.
    read: Option<Moment>,
    /// Views within the longest wait, the newest last.
    views: Vec<View>,
    /// Latest word of instances that take no slots any more, by name.
    ceased: Vec<Ceased>,
    /// Whether this instance takes no slots any more.
    leaving: bool,
}

impl Views {
    /// No view yet, hence no claim.
    pub fn new(own: name::Instance, bounds: Bounds) -> Self {
        Self {
            own,
            bounds,
            version: 0,
            read: None,
            views: Vec::new(),
            ceased: Vec::new(),
            leaving: false,
        }
    }

    /// The times that all instances agree on.
    pub fn bounds(&self) -> Bounds {
        self.bounds
    }

    /// Whether the list was read recently enough to go by it.
    pub fn fresh(&self, now: Moment) -> bool {
        self.read
            .is_some_and(|read| now.since(read) <= self.bounds.fresh)
    }

    /// The live instances of the newest view; empty before the first.
    pub fn live(&self) -> &[name::Instance] {
        self.views.last().map_or(&[], |view| &view.live)
    }

    /// Takes in a list whose read began at `begun` and ended at `now`. Returns whether claims may
    /// have changed.
    pub fn read(&mut self, members: Members, begun: Moment, now: Moment) -> bool {
        debug_assert!(begun <= now);
        if members.version < self.version || self.read.is_some_and(|read| begun < read) {
            return false;
        }
        // After a longer gap than agreed, lists that came and went in between are unknown.
        let gap = self
            .read
            .is_none_or(|read| now.since(read) > self.bounds.fresh);
        self.version = members.version;
        self.read = Some(begun);
        if gap {
            self.views.clear();
        } else if self.live() == &*members.live {
            return false;
        }
        self.views.push(View {
            begun: now,
            live: members.live,
        });
        self.forget(now);
        true
    }

    /// Drops views that ended before the longest wait began.
    fn forget(&mut self, now: Moment) {
        let wait = self.bounds.cleared();
        let ended = |pair: &[View]| now.since(pair[1].begun) > wait;
        let old = self.views.windows(2).filter(|pair| ended(pair)).count();
        self.views.drain(..old);
    }

    /// Takes in the word of an instance that takes no slots any more. Returns whether claims may
    /// have changed.
    pub fn ceased(&mut self, word: Ceased) -> bool {
        let found = self
            .ceased
            .binary_search_by(|known| known.instance.cmp(&word.instance));
        match found {
            Ok(index) if self.ceased[index] == word => return false,
            Ok(index) => self.ceased[index] = word,
            Err(index) => self.ceased.insert(index, word),
        }
        // Words of instances that no view names any more decide nothing.
        let views = &self.views;
        self.ceased.retain(|word| {
            views
                .iter()
                .any(|view| view.live.binary_search(&word.instance).is_ok())
        });
        true
    }

    /// Gives up all slots for good, at the begin of a graceful shutdown.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Whether this instance has given up all slots for good.
    pub fn leaving(&self) -> bool {
        self.leaving
    }

    /// This instance's claims to an upstream's slots, of which there are `limit`.
    pub fn claims(&self, upstream: &name::Upstream, limit: u32) -> Vec<Claim> {
        let mut claims = Vec::new();
        for number in 0..limit {
            let Some(from) = self.claim(upstream, number) else {
                continue;
            };
            claims.push(Claim { number, from });
        }
        claims
    }

    /// The moment from which this instance may use a slot, if it is the slot's owner.
    fn claim(&self, upstream: &name::Upstream, number: u32) -> Option<Moment> {
        if self.leaving {
            return None;
        }
        let key = hash::part(hash::text(upstream.as_str()), u64::from(number));
        let owned = |view: &View| owner(key, &view.live) == Some(&self.own);
        let first = self
            .views
            .iter()
            .rposition(|view| !owned(view))
            .map_or(0, |index| index + 1);
        let gained = self.views.get(first)?.begun;
        let earlier = &self.views[..first];
        // Requests of owners before the first of these views have ended by themselves.
        let known = |view: &View| view.begun + self.bounds.run <= gained;
        if earlier.first().is_some_and(known) && self.vacated(key, earlier, upstream, number) {
            return Some(gained + self.bounds.settled());
        }
        Some(gained + self.bounds.cleared())
    }

    /// Whether all instances that could have a request on a slot have said that they have none.
    ///
    /// While this instance was on the list, only instances of higher weight can have owned the
    /// slot. A view in which it was not on the list proves nothing.
    fn vacated(&self, key: u64, earlier: &[View], upstream: &name::Upstream, number: u32) -> bool {
        let own = hash::weight(key, hash::text(self.own.as_str()));
        for view in earlier {
            if view.live.binary_search(&self.own).is_err() {
                return false;
            }
            for instance in view.live.iter() {
                if hash::weight(key, hash::text(instance.as_str())) <= own {
                    continue;
                }
                if !self.idle(instance, upstream, number) {
                    return false;
                }
            }
        }
        true
    }

    fn idle(&self, instance: &name::Instance, upstream: &name::Upstream, number: u32) -> bool {
        let found = self
            .ceased
            .binary_search_by(|word| word.instance.cmp(instance));
        let Ok(index) = found else {
            return false;
        };
        !self.ceased[index]
            .running
            .iter()
            .any(|(name, slot)| name == upstream && *slot == number)
    }
}

/// An instance's slots of one upstream: its claims, and what runs there.
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub struct Ledger {
    /// Claims to slots, by number.
    pub claims: Vec<Claim>,
    /// Slots that requests of this instance run on, whether it has a claim to them still or not.
    pub held: Vec<Held>,
}

impl Ledger {
    /// A slot that a request may use now: a free one, or for a request with a ticket the one that
    /// it holds.
    ///
    /// `others` counts all other requests of this instance on the upstream. Those from before it
    /// turned cold hold no slot, but use up what it bears all the same.
    pub fn usable(
        &self,
        views: &Views,
        others: u32,
        ticket: Option<u64>,
        now: Moment,
    ) -> Option<u32> {
        if !views.fresh(now) {
            return None;
        }
        let owned = self.claims.iter().filter(|claim| now >= claim.from);
        if others as usize >= owned.clone().count() {
            return None;
        }
        for claim in owned {
            let holder = self.held.iter().find(|held| held.number == claim.number);
            if holder.map(|held| held.ticket) == ticket {
                return Some(claim.number);
            }
        }
        None
    }

    /// Notes that a request uses a slot.
    pub fn take(&mut self, number: u32, ticket: u64) {
        assert!(self.held.iter().all(|held| held.number != number));
        self.held.push(Held { number, ticket });
    }

    /// Notes that a request has ended.
    pub fn free(&mut self, ticket: u64) {
        self.held.retain(|held| held.ticket != ticket);
    }
}

/// The owner of a key among live instances: the highest weight, the larger name on a tie.
fn owner(key: u64, live: &[name::Instance]) -> Option<&name::Instance> {
    live.iter().max_by_key(|instance| {
        let weight = hash::weight(key, hash::text(instance.as_str()));
        (weight, *instance)
    })
}
