//! An instance's views of the instance list, and its claims to slots.

use super::{Bounds, Ceased, Claim, Members};
use crate::hash;
use entity::Moment;
use entity::name;
use std::sync::Arc;

/// One list, and from when to when an instance went by it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct View {
    begun: Moment,
    live: Arc<[name::Instance]>,
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

    /// This instance.
    pub fn own(&self) -> &name::Instance {
        &self.own
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
        // A name that is back on the list is another process, of which no word is known.
        let live = &members.live;
        self.ceased
            .retain(|word| live.binary_search(&word.instance).is_err());
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
        let views = &self.views;
        let named = |word: &Ceased| {
            let listed = |view: &View| view.live.binary_search(&word.instance).is_ok();
            views.iter().any(listed)
        };
        self.ceased.retain(named);
    }

    /// Takes in the word of an instance that takes no slots any more. Returns whether claims may
    /// have changed.
    ///
    /// Only instances that have gone off the list can have ended their use for good, and only those
    /// that some view names matter. A leaving instance repeats its word, so it may be ignored.
    pub fn ceased(&mut self, word: Ceased) -> bool {
        let listed = |live: &[name::Instance]| live.binary_search(&word.instance).is_ok();
        if listed(self.live()) || !self.views.iter().any(|view| listed(&view.live)) {
            return false;
        }
        let found = self
            .ceased
            .binary_search_by(|known| known.instance.cmp(&word.instance));
        match found {
            Ok(index) if self.ceased[index] == word => return false,
            Ok(index) => self.ceased[index] = word,
            Err(index) => self.ceased.insert(index, word),
        }
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

/// The owner of a key among live instances: the highest weight, the larger name on a tie.
fn owner(key: u64, live: &[name::Instance]) -> Option<&name::Instance> {
    live.iter().max_by_key(|instance| {
        let weight = hash::weight(key, hash::text(instance.as_str()));
        (weight, *instance)
    })
}
