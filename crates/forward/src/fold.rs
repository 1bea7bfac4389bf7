//! The fold of the store's records into the state that requests are routed by.

use crate::catalog::{Entry, Publication, Registration, Rollout, State};
use crate::positions::Positions;
use crate::source::{Item, Listing, Page, Position, Topic};
use config::Progress;
use entity::{Era, Moment, Span, name};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

/// Grace period of an upstream whose entry lapsed while the store was unavailable. Live upstreams
/// register again within about 2 s, and an upstream that has left must get no request 2 s after its
/// removal was read.
const LAPSE_GRACE: Span = Span::from_millis(1700);

/// Time for which orders and evacuations that were in force stay so if the store has come back from
/// a copy that lacks them. Operators write them again.
const REWRITE_PERIOD: Span = Span::from_secs(10);

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
    position: Position,
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
    /// End of its validity, if the store has come back from a copy that lacks it.
    until: Option<Moment>,
}

/// An evacuated zone.
#[derive(Clone, Debug)]
struct Evacuation {
    key: Box<str>,
    zone: name::Zone,
    /// End of its validity, if the store has come back from a copy that lacks it.
    until: Option<Moment>,
}

/// An upstream that was removed.
#[derive(Clone, Debug)]
struct Removal {
    name: name::Upstream,
    incarnation: u64,
    position: Position,
    /// Whether its entry may have been missing only because the store lost it.
    lapsed: bool,
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
    evacuated: Vec<Evacuation>,
    /// Sorted by service.
    rollout_progress: Vec<RolloutProgress>,
    /// Sorted by name.
    upstreams: Vec<RegisteredUpstream>,
    /// Recently removed upstreams, the oldest first. An older record that a peer announces late must
    /// not register them again.
    removed: Vec<Removal>,
    /// Positions of the operators' records.
    operator_positions: Positions,
    /// Era of the last listing of the operators' topic.
    operator_era: Era,
    /// Whether the upstreams have been listed at least once.
    upstreams_listed: bool,
    /// End of the last listing of upstreams. An older record of an upstream that the listing lacks
    /// is out of date.
    listing_end: Position,
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
        self.evacuated.iter().map(|evacuation| &evacuation.zone)
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
                for evacuation in &self.evacuated {
                    evacuation.key.hash(&mut hasher);
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
        let end = listing.end_position();
        // The store has come back from a copy since the last listing of upstreams.
        let from_copy = topic == Topic::Upstreams && end.era > self.listing_end.era;
        let is_listed = |key: &str| listing.items.iter().any(|item| *item.key == *key);
        match topic {
            Topic::Operator => {
                let until = (listing.era > self.operator_era).then(|| now + REWRITE_PERIOD);
                self.operator_era = self.operator_era.max(listing.era);
                change.routing |= self.drop_unlisted(until, is_listed);
            }
            Topic::Upstreams => {
                let missing = |upstream: &&RegisteredUpstream| !is_listed(upstream.name.as_str());
                let removed: Vec<_> = self.upstreams.iter().filter(missing).cloned().collect();
                if from_copy {
                    // Upstreams have to write their entries once more.
                    for upstream in &mut self.upstreams {
                        upstream.grace = None;
                    }
                }
                for upstream in removed {
                    self.remember_removal(&upstream, end, lapsing);
                    self.remove(&upstream.name, now, lapsing, &mut change);
                }
                self.upstreams_listed = true;
            }
            Topic::Progress => self.progress_listed = true,
            Topic::Instances => {}
        }
        for item in &listing.items {
            if !(from_copy && self.has_left(item)) {
                self.apply_item(topic, item, now, lapsing, &mut change);
            }
        }
        match topic {
            Topic::Operator => self.operator_positions.record_listing(&listing.items, end),
            Topic::Upstreams => self.listing_end = self.listing_end.max(end),
            Topic::Progress | Topic::Instances => {}
        }
        change
    }

    /// Drops orders and evacuations that a listing lacks, unless the store has come back from a copy
    /// and they stay in force until `until`. Returns whether any was dropped.
    fn drop_unlisted(&mut self, until: Option<Moment>, is_listed: impl Fn(&str) -> bool) -> bool {
        let before = (self.orders.len(), self.evacuated.len());
        let stays = |key: &str, end: &mut Option<Moment>| {
            if is_listed(key) {
                *end = None;
                return true;
            }
            *end = end.or(until);
            end.is_some()
        };
        self.orders
            .retain_mut(|order| stays(&order.key, &mut order.until));
        self.evacuated
            .retain_mut(|evacuation| stays(&evacuation.key, &mut evacuation.until));
        before != (self.orders.len(), self.evacuated.len())
    }

    /// Returns whether a listed record of an upstream is older than its leaving, which was known
    /// here before the store came back from a copy.
    fn has_left(&self, item: &Item) -> bool {
        let Ok(Some(Entry::Registration(name, registration))) = &item.entry else {
            return false;
        };
        let removed = self.removed.iter().any(|removal| {
            let same = removal.name == *name;
            same && removal.incarnation == registration.incarnation && !removal.lapsed
        });
        let draining = self.upstreams.iter().any(|upstream| {
            upstream.name == *name
                && upstream.registration.incarnation == registration.incarnation
                && !upstream.is_ready()
        });
        removed || draining
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

    /// Removes upstreams that did not register again before their grace period ended, and orders and
    /// evacuations that operators did not write again.
    pub fn expire(&mut self, now: Moment) -> Change {
        let mut change = Change::default();
        self.upstreams.retain(|upstream| {
            let keep = upstream.grace.is_none_or(|until| now < until);
            if !keep {
                change.left.push(upstream.name.clone());
            }
            keep
        });
        let before = (self.orders.len(), self.evacuated.len());
        let holds = |until: Option<Moment>| until.is_none_or(|until| now < until);
        self.orders.retain(|order| holds(order.until));
        self.evacuated.retain(|evacuation| holds(evacuation.until));
        let dropped = before != (self.orders.len(), self.evacuated.len());
        change.routing = dropped || !change.left.is_empty();
        change
    }

    /// Returns the earliest time at which something expires.
    pub fn next_expiry(&self) -> Option<Moment> {
        let upstreams = self.upstreams.iter().filter_map(|upstream| upstream.grace);
        let orders = self.orders.iter().filter_map(|order| order.until);
        let evacuated = self.evacuated.iter();
        let evacuated = evacuated.filter_map(|evacuation| evacuation.until);
        upstreams.chain(orders).chain(evacuated).min()
    }

    fn apply_item(
        &mut self,
        topic: Topic,
        item: &Item,
        now: Moment,
        lapsing: bool,
        change: &mut Change,
    ) {
        if topic == Topic::Operator {
            if self.operator_positions.is_outdated(item) {
                return;
            }
            self.operator_positions.record(item);
        }
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
                self.register(name, registration, item.position, now, change);
            }
            Entry::Rollout(rollout) => {
                let found = self
                    .orders
                    .binary_search_by(|order| order.key.cmp(&item.key));
                let order = RolloutOrder {
                    rollout: rollout.clone(),
                    read: now,
                    key: item.key.clone(),
                    until: None,
                };
                match found {
                    Ok(index) if self.orders[index].rollout == *rollout => {
                        self.orders[index].until = None;
                        return;
                    }
                    Ok(index) => self.orders[index] = order,
                    Err(index) => self.orders.insert(index, order),
                }
                change.routing = true;
            }
            Entry::Evacuation(zone) => {
                let found = self
                    .evacuated
                    .binary_search_by(|evacuation| evacuation.key.cmp(&item.key));
                match found {
                    Ok(index) => self.evacuated[index].until = None,
                    Err(index) => {
                        let evacuation = Evacuation {
                            key: item.key.clone(),
                            zone: zone.clone(),
                            until: None,
                        };
                        self.evacuated.insert(index, evacuation);
                        change.routing = true;
                    }
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
        position: Position,
        now: Moment,
        change: &mut Change,
    ) {
        let removed = |removal: &Removal| removal.name == *name && removal.position > position;
        if self.removed.iter().any(removed) {
            return;
        }
        let upstream = RegisteredUpstream {
            registration: registration.clone(),
            cold_until: now + registration.cold,
            name: name.clone(),
            position,
            grace: None,
        };
        let found = self
            .upstreams
            .binary_search_by(|other| other.name.cmp(name));
        let index = match found {
            Ok(index) => index,
            Err(_) if position < self.listing_end => return,
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
        if position < old.position {
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
                self.evacuated
                    .retain(|evacuation| evacuation.key != item.key);
                change.routing |= before != (self.orders.len(), self.evacuated.len());
            }
            Topic::Upstreams => {
                let found = self
                    .upstreams
                    .iter()
                    .find(|upstream| upstream.name.as_str() == &*item.key);
                let newer = found.filter(|upstream| upstream.position <= item.position);
                if let Some(upstream) = newer.cloned() {
                    self.remember_removal(&upstream, item.position, lapsing);
                    self.remove(&upstream.name, now, lapsing, change);
                }
            }
            Topic::Progress | Topic::Instances => {}
        }
    }

    fn remember_removal(
        &mut self,
        upstream: &RegisteredUpstream,
        position: Position,
        lapsing: bool,
    ) {
        if self.removed.len() == MAX_REMOVED_COUNT {
            self.removed.remove(0);
        }
        self.removed.push(Removal {
            name: upstream.name.clone(),
            incarnation: upstream.registration.incarnation,
            position,
            lapsed: lapsing && upstream.is_ready(),
        });
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
