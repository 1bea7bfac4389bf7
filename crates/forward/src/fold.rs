//! The fold of the store's records into the state that requests are routed by.

use crate::catalog::{Entry, Publication, Registration, Rollout, State};
use crate::source::{Item, Listing, Page, Topic};
use config::Progress;
use entity::{Moment, Offset, Span, name};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

/// Grace period of an upstream whose entry lapsed while the store was unavailable. Live upstreams
/// register again within about 2 s, and an upstream that has left must get no request 2 s after its
/// removal was read.
const LAPSE_GRACE: Span = Span::from_millis(1700);

/// Maximum number of removals that are remembered.
const MAX_REMOVED_COUNT: usize = 256;

/// Effect of a batch of records on the state.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Change {
    /// Whether the routing configuration changed.
    pub routing: bool,
    /// Upstreams that were added or restarted.
    pub joined: Vec<name::Upstream>,
    /// Upstreams that are draining, were removed, or whose grace period ended.
    pub left: Vec<name::Upstream>,
    /// Upstreams whose entry is missing, and that stay in use for a grace period.
    pub lapsed: Vec<name::Upstream>,
    /// Keys and error messages of the records that could not be decoded.
    pub unreadable: Vec<(Box<str>, Box<str>)>,
}

impl Change {
    /// Merges the effect of later records into this one.
    pub fn add(&mut self, later: Self) {
        self.routing |= later.routing;
        self.joined.extend(later.joined);
        self.left.extend(later.left);
        self.lapsed.extend(later.lapsed);
        self.unreadable.extend(later.unreadable);
    }

    /// Returns whether nothing changed.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// An upstream that is registered in the store.
#[derive(Clone, Debug)]
pub struct RegisteredUpstream {
    /// Newest entry of the upstream.
    pub registration: Registration,
    /// End of its cold start.
    pub cold_until: Moment,
    /// Name of the upstream.
    pub name: name::Upstream,
    offset: Offset,
    /// End of the grace period, if its entry has lapsed.
    grace: Option<Moment>,
}

impl RegisteredUpstream {
    /// Returns whether it accepts new requests.
    pub fn is_ready(&self) -> bool {
        self.registration.state == State::Ready
    }
}

/// Progress of a rollout, as instances wrote it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutProgress {
    /// Service that is rolled out.
    pub service: name::Service,
    /// Target release of the rollout.
    pub target: Box<str>,
    /// State of the rollout.
    pub progress: Progress,
}

/// An operator's rollout order, with the time at which this instance first read it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RolloutOrder {
    /// The rollout.
    pub rollout: Rollout,
    /// Time of the first read, on the local clock.
    pub read: Moment,
    key: Box<str>,
}

/// State after the records of the store that have been read.
///
/// The version of the configuration never decreases: a record with a lower version than the one in
/// force changes nothing.
#[derive(Clone, Debug, Default)]
pub struct Fold {
    publication: Option<Arc<Publication>>,
    /// Sorted by key.
    orders: Vec<RolloutOrder>,
    /// Sorted by key.
    evacuated: Vec<(Box<str>, name::Zone)>,
    /// Sorted by service.
    rollout_progress: Vec<RolloutProgress>,
    /// Sorted by name.
    upstreams: Vec<RegisteredUpstream>,
    /// Recently removed upstreams with the offsets of their removal, the oldest first. An older
    /// record that a peer announces late must not register them again.
    removed: Vec<(name::Upstream, Offset)>,
    /// Whether the upstreams have been listed at least once.
    upstreams_listed: bool,
    /// End of the last listing of upstreams. An older record of an upstream that the listing lacks
    /// is out of date.
    listing_end: Offset,
    /// Whether the progress of rollouts has been listed at least once.
    progress_listed: bool,
}

impl Fold {
    /// Returns the publication in force, or `None` before one was read.
    pub fn publication(&self) -> Option<&Arc<Publication>> {
        self.publication.as_ref()
    }

    /// Returns the rollout orders, sorted by key.
    pub fn orders(&self) -> &[RolloutOrder] {
        &self.orders
    }

    /// Returns the progress of rollouts, sorted by service.
    pub fn rollout_progress(&self) -> &[RolloutProgress] {
        &self.rollout_progress
    }

    /// Returns the evacuated zones, which get no new requests.
    pub fn evacuated(&self) -> impl Iterator<Item = &name::Zone> {
        self.evacuated.iter().map(|(_, zone)| zone)
    }

    /// Returns the registered upstreams, sorted by name.
    pub fn upstreams(&self) -> &[RegisteredUpstream] {
        &self.upstreams
    }

    /// Returns whether every topic that affects routing has been read.
    pub fn is_complete(&self) -> bool {
        self.publication.is_some() && self.upstreams_listed && self.progress_listed
    }

    /// Hashes the part of a topic's state that affects routing. Heartbeats do not change the hash,
    /// so instances with equal hashes have equal state.
    pub fn digest(&self, topic: Topic) -> u64 {
        let mut hasher = DefaultHasher::new();
        match topic {
            Topic::Operator => {
                let version = self
                    .publication
                    .as_ref()
                    .map(|publication| publication.version);
                version.hash(&mut hasher);
                for order in &self.orders {
                    (&order.key, &order.rollout.target).hash(&mut hasher);
                }
                for (key, _) in &self.evacuated {
                    key.hash(&mut hasher);
                }
            }
            Topic::Upstreams => {
                for upstream in &self.upstreams {
                    let own = &upstream.registration;
                    (&upstream.name, own.incarnation, own.slots, own.address).hash(&mut hasher);
                    (&own.service, &own.zone, &own.release).hash(&mut hasher);
                    (upstream.is_ready(), own.cold > Span::ZERO).hash(&mut hasher);
                    upstream.grace.is_some().hash(&mut hasher);
                }
            }
            Topic::Progress | Topic::Instances => {}
        }
        hasher.finish()
    }

    /// Applies a listing of the newest record of each key. Keys that are not listed were deleted.
    /// `lapsing` states that entries may be missing only because the store was unavailable.
    pub fn apply_listing(
        &mut self,
        topic: Topic,
        listing: &Listing,
        now: Moment,
        lapsing: bool,
    ) -> Change {
        let mut change = Change::default();
        let is_listed = |key: &str| listing.items.iter().any(|item| *item.key == *key);
        match topic {
            Topic::Operator => {
                let before = (self.orders.len(), self.evacuated.len());
                self.orders.retain(|order| is_listed(&order.key));
                self.evacuated.retain(|(key, _)| is_listed(key));
                change.routing |= before != (self.orders.len(), self.evacuated.len());
            }
            Topic::Upstreams => {
                let missing = |upstream: &&RegisteredUpstream| !is_listed(upstream.name.as_str());
                let removed: Vec<_> = self.upstreams.iter().filter(missing).cloned().collect();
                for upstream in removed {
                    self.remove(&upstream.name, now, lapsing, &mut change);
                }
                self.upstreams_listed = true;
            }
            Topic::Progress => self.progress_listed = true,
            Topic::Instances => {}
        }
        for item in &listing.items {
            self.apply_item(topic, item, now, lapsing, &mut change);
        }
        if topic == Topic::Upstreams {
            self.listing_end = self.listing_end.max(listing.end);
        }
        change
    }

    /// Applies records in the order of the topic.
    pub fn apply_page(&mut self, topic: Topic, page: &Page, now: Moment, lapsing: bool) -> Change {
        let mut change = Change::default();
        for item in &page.items {
            change.add(self.apply_record(topic, item, now, lapsing));
        }
        change
    }

    /// Applies one record.
    pub fn apply_record(
        &mut self,
        topic: Topic,
        item: &Item,
        now: Moment,
        lapsing: bool,
    ) -> Change {
        let mut change = Change::default();
        self.apply_item(topic, item, now, lapsing, &mut change);
        change
    }

    /// Removes upstreams that did not register again before their grace period ended.
    pub fn expire(&mut self, now: Moment) -> Change {
        let mut change = Change::default();
        self.upstreams.retain(|upstream| {
            let keep = upstream.grace.is_none_or(|until| now < until);
            if !keep {
                change.left.push(upstream.name.clone());
            }
            keep
        });
        change.routing = !change.left.is_empty();
        change
    }

    /// Returns the earliest end of a grace period.
    pub fn next_expiry(&self) -> Option<Moment> {
        self.upstreams
            .iter()
            .filter_map(|upstream| upstream.grace)
            .min()
    }

    fn apply_item(
        &mut self,
        topic: Topic,
        item: &Item,
        now: Moment,
        lapsing: bool,
        change: &mut Change,
    ) {
        match &item.entry {
            Ok(Some(entry)) => self.apply_entry(item, entry, now, change),
            Ok(None) => self.apply_deletion(topic, item, now, lapsing, change),
            Err(problem) => {
                change.unreadable.push((item.key.clone(), problem.clone()));
                if topic == Topic::Upstreams {
                    // An entry that can't be decoded replaces the previous entry of its key.
                    self.apply_deletion(topic, item, now, false, change);
                }
            }
        }
    }

    fn apply_entry(&mut self, item: &Item, entry: &Entry, now: Moment, change: &mut Change) {
        match entry {
            Entry::Publication(publication) => {
                let version = self.publication.as_ref().map(|current| current.version);
                if version.is_none_or(|version| version < publication.version) {
                    self.publication = Some(Arc::new(publication.clone()));
                    change.routing = true;
                }
            }
            Entry::Registration(name, registration) => {
                self.register(name, registration, item.offset, now, change);
            }
            Entry::Rollout(rollout) => {
                let found = self
                    .orders
                    .binary_search_by(|order| order.key.cmp(&item.key));
                let order = RolloutOrder {
                    rollout: rollout.clone(),
                    read: now,
                    key: item.key.clone(),
                };
                match found {
                    Ok(index) if self.orders[index].rollout == *rollout => return,
                    Ok(index) => self.orders[index] = order,
                    Err(index) => self.orders.insert(index, order),
                }
                change.routing = true;
            }
            Entry::Evacuation(zone) => {
                let found = self
                    .evacuated
                    .binary_search_by(|(key, _)| key.cmp(&item.key));
                if let Err(index) = found {
                    self.evacuated
                        .insert(index, (item.key.clone(), zone.clone()));
                    change.routing = true;
                }
            }
            Entry::Progress(service, target, progress) => {
                self.apply_progress(service, target, *progress, change);
            }
            Entry::Instance(_) => {}
        }
    }

    /// Applies the progress of a service's rollout. A verdict on a release is final: later progress
    /// for the same target is ignored.
    pub fn apply_progress(
        &mut self,
        service: &name::Service,
        target: &str,
        progress: Progress,
        change: &mut Change,
    ) {
        let reported = RolloutProgress {
            service: service.clone(),
            target: target.into(),
            progress,
        };
        let found = self
            .rollout_progress
            .binary_search_by(|current| current.service.cmp(service));
        match found {
            Ok(index) => {
                let current = &self.rollout_progress[index];
                let settled = *current.target == *target && current.progress != Progress::Running;
                if settled || *current == reported {
                    return;
                }
                self.rollout_progress[index] = reported;
            }
            Err(index) => self.rollout_progress.insert(index, reported),
        }
        change.routing = true;
    }

    fn register(
        &mut self,
        name: &name::Upstream,
        registration: &Registration,
        offset: Offset,
        now: Moment,
        change: &mut Change,
    ) {
        let removed = |(other, at): &(name::Upstream, Offset)| other == name && *at > offset;
        if self.removed.iter().any(removed) {
            return;
        }
        let upstream = RegisteredUpstream {
            registration: registration.clone(),
            cold_until: now + registration.cold,
            name: name.clone(),
            offset,
            grace: None,
        };
        let found = self
            .upstreams
            .binary_search_by(|other| other.name.cmp(name));
        let index = match found {
            Ok(index) => index,
            Err(_) if offset < self.listing_end => return,
            Err(index) => {
                change.routing = true;
                if upstream.is_ready() {
                    change.joined.push(name.clone());
                }
                self.upstreams.insert(index, upstream);
                return;
            }
        };
        let old = &self.upstreams[index];
        if offset < old.offset {
            return;
        }
        let heartbeat = Registration {
            cold: old.registration.cold,
            ..registration.clone()
        } == old.registration;
        let was_cold = now < old.cold_until;
        let is_cold = registration.cold > Span::ZERO;
        if old.registration.incarnation != registration.incarnation {
            change.joined.push(name.clone());
        }
        if old.is_ready() && !upstream.is_ready() {
            change.left.push(name.clone());
        }
        // A continued cold start changes nothing, since its end was already known.
        change.routing |= !heartbeat || was_cold != is_cold;
        let cold_until = if was_cold && is_cold {
            old.cold_until.min(upstream.cold_until)
        } else {
            upstream.cold_until
        };
        self.upstreams[index] = RegisteredUpstream {
            cold_until,
            ..upstream
        };
    }

    fn apply_deletion(
        &mut self,
        topic: Topic,
        item: &Item,
        now: Moment,
        lapsing: bool,
        change: &mut Change,
    ) {
        match topic {
            Topic::Operator => {
                let before = (self.orders.len(), self.evacuated.len());
                self.orders.retain(|order| order.key != item.key);
                self.evacuated.retain(|(key, _)| *key != item.key);
                change.routing |= before != (self.orders.len(), self.evacuated.len());
            }
            Topic::Upstreams => {
                let found = self
                    .upstreams
                    .iter()
                    .find(|upstream| upstream.name.as_str() == &*item.key);
                let newer = found.filter(|upstream| upstream.offset <= item.offset);
                if let Some(name) = newer.map(|upstream| upstream.name.clone()) {
                    self.remove(&name, now, lapsing, change);
                    if self.removed.len() == MAX_REMOVED_COUNT {
                        self.removed.remove(0);
                    }
                    self.removed.push((name, item.offset));
                }
            }
            Topic::Progress | Topic::Instances => {}
        }
    }

    fn remove(&mut self, name: &name::Upstream, now: Moment, lapsing: bool, change: &mut Change) {
        let found = self
            .upstreams
            .binary_search_by(|upstream| upstream.name.cmp(name));
        let Ok(index) = found else {
            return;
        };
        let upstream = &mut self.upstreams[index];
        if lapsing && upstream.is_ready() {
            if upstream.grace.is_none() {
                upstream.grace = Some(now + LAPSE_GRACE);
                change.lapsed.push(name.clone());
            }
            return;
        }
        if upstream.is_ready() {
            change.left.push(name.clone());
        }
        self.upstreams.remove(index);
        change.routing = true;
    }
}
