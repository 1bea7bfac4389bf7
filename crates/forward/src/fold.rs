//! What the records of the store add up to.

use crate::catalog::{Entry, Publication, Registration, Rollout, State};
use crate::source::{Item, Listing, Page, Topic};
use config::Progress;
use entity::{Moment, Offset, Span, name};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::sync::Arc;

/// How long an upstream whose entry lapsed while the store was away is still used. Live ones are
/// registered again within about two seconds, and one that has left must get nothing two seconds
/// after that was read.
const LAPSE_GRACE: Span = Span::from_millis(1700);

/// Removals that are remembered.
const REMOVED: usize = 256;

/// What a batch of records changed.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Change {
    /// Whether requests are routed by something new.
    pub routing: bool,
    /// Upstreams that were added, or started again.
    pub joined: Vec<name::Upstream>,
    /// Upstreams that leave: draining, removed, or lapsed for good.
    pub left: Vec<name::Upstream>,
    /// Records that could not be read, with their keys.
    pub unreadable: Vec<(Box<str>, Box<str>)>,
}

impl Change {
    /// Adds what later records changed.
    pub fn add(&mut self, later: Self) {
        self.routing |= later.routing;
        self.joined.extend(later.joined);
        self.left.extend(later.left);
        self.unreadable.extend(later.unreadable);
    }

    /// Whether there is nothing to tell.
    pub fn is_empty(&self) -> bool {
        *self == Self::default()
    }
}

/// An upstream that the store knows.
#[derive(Clone, Debug)]
pub struct Known {
    /// What it says of itself.
    pub registration: Registration,
    /// Until when it is in cold start.
    pub cold_until: Moment,
    /// Its name.
    pub name: name::Upstream,
    offset: Offset,
    /// Until when it is used although its entry lapsed.
    grace: Option<Moment>,
}

impl Known {
    /// Whether it takes new requests.
    pub fn ready(&self) -> bool {
        self.registration.state == State::Ready
    }
}

/// How far an order has come, as instances wrote.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Standing {
    /// The service.
    pub service: name::Service,
    /// The release that the order names.
    pub target: Box<str>,
    /// How far it has come.
    pub progress: Progress,
}

/// An operator's order, and since when this instance knows it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Ordered {
    /// The order.
    pub rollout: Rollout,
    /// When it was read.
    pub read: Moment,
    key: Box<str>,
}

/// The newest records of the store, as far as they were read.
///
/// Versions of the configuration never go back: a record with a lower version than the one in force
/// changes nothing.
#[derive(Clone, Debug, Default)]
pub struct Fold {
    publication: Option<Arc<Publication>>,
    /// Sorted by key.
    ordered: Vec<Ordered>,
    /// Sorted by key.
    evacuated: Vec<(Box<str>, name::Zone)>,
    /// Sorted by service.
    standings: Vec<Standing>,
    /// Sorted by name.
    upstreams: Vec<Known>,
    /// Upstreams that were removed lately, with the offsets of their removal, the oldest first: an
    /// older record that another instance tells late must not bring them back.
    removed: Vec<(name::Upstream, Offset)>,
    /// Whether the upstreams were ever listed.
    listed: bool,
    /// Whether it was ever listed how far the orders have come.
    settled: bool,
}

impl Fold {
    /// The configuration in force; none before one was read.
    pub fn publication(&self) -> Option<&Arc<Publication>> {
        self.publication.as_ref()
    }

    /// Orders to move services to other releases.
    pub fn ordered(&self) -> &[Ordered] {
        &self.ordered
    }

    /// How far an order has come, as instances wrote.
    pub fn standings(&self) -> &[Standing] {
        &self.standings
    }

    /// Zones that get nothing more.
    pub fn evacuated(&self) -> impl Iterator<Item = &name::Zone> {
        self.evacuated.iter().map(|(_, zone)| zone)
    }

    /// Upstreams, by name.
    pub fn upstreams(&self) -> &[Known] {
        &self.upstreams
    }

    /// Whether all that requests are routed by was read.
    pub fn complete(&self) -> bool {
        self.publication.is_some() && self.listed && self.settled
    }

    /// A hash of all that a topic says by which requests are routed. Heartbeats do not change it, so
    /// that instances with equal hashes know the same.
    pub fn digest(&self, topic: Topic) -> u64 {
        let mut hasher = DefaultHasher::new();
        match topic {
            Topic::Operator => {
                let version = self.publication.as_ref().map(|known| known.version);
                version.hash(&mut hasher);
                for ordered in &self.ordered {
                    (&ordered.key, &ordered.rollout.target).hash(&mut hasher);
                }
                for (key, _) in &self.evacuated {
                    key.hash(&mut hasher);
                }
            }
            Topic::Upstreams => {
                for known in &self.upstreams {
                    let own = &known.registration;
                    (&known.name, own.born, own.slots, own.address).hash(&mut hasher);
                    (&own.service, &own.zone, &own.release).hash(&mut hasher);
                    (known.ready(), own.cold > Span::ZERO).hash(&mut hasher);
                    known.grace.is_some().hash(&mut hasher);
                }
            }
            Topic::Progress | Topic::Instances => {}
        }
        hasher.finish()
    }

    /// Takes in the newest record of each key: what is not listed is gone. `lapsing` says that
    /// entries may be missing only because the store was away.
    pub fn list(&mut self, topic: Topic, listing: &Listing, now: Moment, lapsing: bool) -> Change {
        let mut change = Change::default();
        let listed = |key: &str| listing.items.iter().any(|item| *item.key == *key);
        match topic {
            Topic::Operator => {
                let before = (self.ordered.len(), self.evacuated.len());
                self.ordered.retain(|ordered| listed(&ordered.key));
                self.evacuated.retain(|(key, _)| listed(key));
                change.routing |= before != (self.ordered.len(), self.evacuated.len());
            }
            Topic::Upstreams => {
                let missing = |known: &&Known| !listed(known.name.as_str());
                let gone: Vec<_> = self.upstreams.iter().filter(missing).cloned().collect();
                for known in gone {
                    self.remove(&known.name, now, lapsing, &mut change);
                }
                self.listed = true;
            }
            Topic::Progress => self.settled = true,
            Topic::Instances => {}
        }
        for item in &listing.items {
            self.item(topic, item, now, lapsing, &mut change);
        }
        change
    }

    /// Takes in records in the order of the topic.
    pub fn page(&mut self, topic: Topic, page: &Page, now: Moment, lapsing: bool) -> Change {
        let mut change = Change::default();
        for item in &page.items {
            change.add(self.record(topic, item, now, lapsing));
        }
        change
    }

    /// Takes in one record.
    pub fn record(&mut self, topic: Topic, item: &Item, now: Moment, lapsing: bool) -> Change {
        let mut change = Change::default();
        self.item(topic, item, now, lapsing, &mut change);
        change
    }

    /// Drops upstreams whose entries lapsed and did not come back.
    pub fn expire(&mut self, now: Moment) -> Change {
        let mut change = Change::default();
        self.upstreams.retain(|known| {
            let keep = known.grace.is_none_or(|until| now < until);
            if !keep {
                change.left.push(known.name.clone());
            }
            keep
        });
        change.routing = !change.left.is_empty();
        change
    }

    /// When the next upstream's grace ends.
    pub fn next_expiry(&self) -> Option<Moment> {
        self.upstreams.iter().filter_map(|known| known.grace).min()
    }

    fn item(&mut self, topic: Topic, item: &Item, now: Moment, lapsing: bool, change: &mut Change) {
        match &item.entry {
            Ok(Some(entry)) => self.entry(item, entry, now, change),
            Ok(None) => self.dropped(topic, item, now, lapsing, change),
            Err(problem) => {
                change.unreadable.push((item.key.clone(), problem.clone()));
                if topic == Topic::Upstreams {
                    // An entry that names no upstream takes the place of the one before.
                    self.dropped(topic, item, now, false, change);
                }
            }
        }
    }

    fn entry(&mut self, item: &Item, entry: &Entry, now: Moment, change: &mut Change) {
        match entry {
            Entry::Publication(publication) => {
                let known = self.publication.as_ref().map(|known| known.version);
                if known.is_none_or(|version| version < publication.version) {
                    self.publication = Some(Arc::new(publication.clone()));
                    change.routing = true;
                }
            }
            Entry::Registration(name, registration) => {
                self.register(name, registration, item.offset, now, change);
            }
            Entry::Rollout(rollout) => {
                let found = self
                    .ordered
                    .binary_search_by(|ordered| ordered.key.cmp(&item.key));
                let ordered = Ordered {
                    rollout: rollout.clone(),
                    read: now,
                    key: item.key.clone(),
                };
                match found {
                    Ok(index) if self.ordered[index].rollout == *rollout => return,
                    Ok(index) => self.ordered[index] = ordered,
                    Err(index) => self.ordered.insert(index, ordered),
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
                self.progress(service, target, *progress, change);
            }
            Entry::Instance(_) => {}
        }
    }

    /// Takes in how far the order for a service has come. A verdict on a release is final.
    pub fn progress(
        &mut self,
        service: &name::Service,
        target: &str,
        progress: Progress,
        change: &mut Change,
    ) {
        let standing = Standing {
            service: service.clone(),
            target: target.into(),
            progress,
        };
        let found = self
            .standings
            .binary_search_by(|known| known.service.cmp(service));
        match found {
            Ok(index) => {
                let known = &self.standings[index];
                let settled = *known.target == *target && known.progress != Progress::Running;
                if settled || *known == standing {
                    return;
                }
                self.standings[index] = standing;
            }
            Err(index) => self.standings.insert(index, standing),
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
        let removed = |(gone, at): &(name::Upstream, Offset)| gone == name && *at > offset;
        if self.removed.iter().any(removed) {
            return;
        }
        let known = Known {
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
            Err(index) => {
                change.routing = true;
                if known.ready() {
                    change.joined.push(name.clone());
                }
                self.upstreams.insert(index, known);
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
        if old.registration.born != registration.born {
            change.joined.push(name.clone());
        }
        if old.ready() && !known.ready() {
            change.left.push(name.clone());
        }
        // A cold start that goes on is not news: its end was known before.
        change.routing |= !heartbeat || was_cold != is_cold;
        let cold_until = if was_cold && is_cold {
            old.cold_until.min(known.cold_until)
        } else {
            known.cold_until
        };
        self.upstreams[index] = Known {
            cold_until,
            ..known
        };
    }

    fn dropped(
        &mut self,
        topic: Topic,
        item: &Item,
        now: Moment,
        lapsing: bool,
        change: &mut Change,
    ) {
        match topic {
            Topic::Operator => {
                let before = (self.ordered.len(), self.evacuated.len());
                self.ordered.retain(|ordered| ordered.key != item.key);
                self.evacuated.retain(|(key, _)| *key != item.key);
                change.routing |= before != (self.ordered.len(), self.evacuated.len());
            }
            Topic::Upstreams => {
                let found = self
                    .upstreams
                    .iter()
                    .find(|known| known.name.as_str() == &*item.key);
                let newer = found.filter(|known| known.offset <= item.offset);
                if let Some(name) = newer.map(|known| known.name.clone()) {
                    self.remove(&name, now, lapsing, change);
                    if self.removed.len() == REMOVED {
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
            .binary_search_by(|known| known.name.cmp(name));
        let Ok(index) = found else {
            return;
        };
        let known = &mut self.upstreams[index];
        if lapsing && known.ready() {
            known.grace.get_or_insert(now + LAPSE_GRACE);
            return;
        }
        if known.ready() {
            change.left.push(name.clone());
        }
        self.upstreams.remove(index);
        change.routing = true;
    }
}
