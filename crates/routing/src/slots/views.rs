//! Views of the instance list over time, and the claims to slots that follow from them.

use super::{Bounds, Claim, DrainNotice, Members};
use crate::hash;
use entity::Moment;
use entity::name;
use std::sync::Arc;

/// One list, with the time from which the instance used it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct View {
    since: Moment,
    live: Arc<[name::Instance]>,
}

/// An instance's views of the instance list, and the claims that follow from them.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Views {
    own: name::Instance,
    bounds: Bounds,
    version: u64,
    /// Start of the newest successful read; none before the first.
    last_read: Option<Moment>,
    /// Views that may still affect a claim, oldest first.
    views: Vec<View>,
    /// Latest notice of each instance that takes no more slots, sorted by name.
    drain_notices: Vec<DrainNotice>,
    /// Whether this instance takes no more slots.
    leaving: bool,
}

impl Views {
    /// Creates the views without any list, and hence without claims.
    pub fn new(own: name::Instance, bounds: Bounds) -> Self {
        Self {
            own,
            bounds,
            version: 0,
            last_read: None,
            views: Vec::new(),
            drain_notices: Vec::new(),
            leaving: false,
        }
    }

    /// Returns the name of this instance.
    pub fn own(&self) -> &name::Instance {
        &self.own
    }

    /// Returns the time bounds, which are the same at all instances.
    pub fn bounds(&self) -> Bounds {
        self.bounds
    }

    /// Returns whether the list was read recently enough to be used.
    pub fn is_fresh(&self, now: Moment) -> bool {
        self.last_read
            .is_some_and(|read| now.since(read) <= self.bounds.max_list_age)
    }

    /// Returns the live instances of the newest view; empty before the first.
    pub fn live(&self) -> &[name::Instance] {
        self.views.last().map_or(&[], |view| &view.live)
    }

    /// Records a list whose read started at `begun` and ended at `now`. Returns whether claims may
    /// have changed.
    pub fn update(&mut self, members: Members, begun: Moment, now: Moment) -> bool {
        debug_assert!(begun <= now);
        if members.version < self.version || self.last_read.is_some_and(|read| begun < read) {
            return false;
        }
        // After a gap longer than the agreed time, lists in between may have been missed.
        let gap = self
            .last_read
            .is_none_or(|read| now.since(read) > self.bounds.max_list_age);
        self.version = members.version;
        self.last_read = Some(begun);
        if gap {
            self.views.clear();
        } else if self.live() == &*members.live {
            return false;
        }
        // A name that is on the list again belongs to another process, which has sent no notice.
        let live = &members.live;
        self.drain_notices
            .retain(|drain_notice| live.binary_search(&drain_notice.instance).is_err());
        self.views.push(View {
            since: now,
            live: members.live,
        });
        self.prune(now);
        true
    }

    /// Drops views that ended so long ago that they no longer affect a claim.
    fn prune(&mut self, now: Moment) {
        let wait = self.bounds.clear_time();
        let ended = |pair: &[View]| now.since(pair[1].since) > wait;
        let old = self.views.windows(2).filter(|pair| ended(pair)).count();
        self.views.drain(..old);
        let views = &self.views;
        let named = |drain_notice: &DrainNotice| {
            let listed = |view: &View| view.live.binary_search(&drain_notice.instance).is_ok();
            views.iter().any(listed)
        };
        self.drain_notices.retain(named);
    }

    /// Records the notice of an instance that it takes no more slots. Returns whether claims may
    /// have changed.
    ///
    /// A notice counts only if the instance is off the list, since only then has it stopped using
    /// slots for good, and if some view lists it. A draining instance repeats its notice, so one
    /// may be ignored.
    pub fn record_drain(&mut self, drain_notice: DrainNotice) -> bool {
        let listed = |live: &[name::Instance]| live.binary_search(&drain_notice.instance).is_ok();
        if listed(self.live()) || !self.views.iter().any(|view| listed(&view.live)) {
            return false;
        }
        let found = self
            .drain_notices
            .binary_search_by(|known| known.instance.cmp(&drain_notice.instance));
        match found {
            Ok(index) if self.drain_notices[index] == drain_notice => return false,
            Ok(index) => self.drain_notices[index] = drain_notice,
            Err(index) => self.drain_notices.insert(index, drain_notice),
        }
        true
    }

    /// Releases all slots permanently, at the start of a graceful shutdown.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Returns whether this instance has released all slots permanently.
    pub fn is_leaving(&self) -> bool {
        self.leaving
    }

    /// Returns this instance's claims to the slots of an upstream, of which there are `limit`.
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

    /// Returns the time from which this instance may use a slot, if it owns the slot.
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
        let gained = self.views.get(first)?.since;
        let earlier = &self.views[..first];
        // Requests of owners before the first of these views have reached their longest run time.
        let known = |view: &View| view.since + self.bounds.run <= gained;
        if earlier.first().is_some_and(known) && self.is_vacated(key, earlier, upstream, number) {
            return Some(gained + self.bounds.settle_time());
        }
        Some(gained + self.bounds.clear_time())
    }

    /// Returns whether all instances that could have a request on a slot have announced that they
    /// have none.
    ///
    /// While this instance was on the list, only instances of higher weight can have owned the
    /// slot. A view in which this instance was not on the list proves nothing.
    fn is_vacated(
        &self,
        key: u64,
        earlier: &[View],
        upstream: &name::Upstream,
        number: u32,
    ) -> bool {
        let own = hash::weight(key, hash::text(self.own.as_str()));
        for view in earlier {
            if view.live.binary_search(&self.own).is_err() {
                return false;
            }
            for instance in view.live.iter() {
                if hash::weight(key, hash::text(instance.as_str())) <= own {
                    continue;
                }
                if !self.is_idle(instance, upstream, number) {
                    return false;
                }
            }
        }
        true
    }

    fn is_idle(&self, instance: &name::Instance, upstream: &name::Upstream, number: u32) -> bool {
        let found = self
            .drain_notices
            .binary_search_by(|drain_notice| drain_notice.instance.cmp(instance));
        let Ok(index) = found else {
            return false;
        };
        !self.drain_notices[index]
            .running
            .iter()
            .any(|(name, slot)| name == upstream && *slot == number)
    }
}

/// Returns the owner of a key among the live instances: the highest weight, and the greater name on
/// a tie.
fn owner(key: u64, live: &[name::Instance]) -> Option<&name::Instance> {
    live.iter().max_by_key(|instance| {
        let weight = hash::weight(key, hash::text(instance.as_str()));
        (weight, *instance)
    })
}
