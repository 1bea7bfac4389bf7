//! Gossip membership: the peers that an instance knows, directly or through other peers.

use entity::{Moment, Span, name};
use rand::seq::IndexedRandom;
use rand::{Rng, RngExt};
use std::net::SocketAddr;

/// Time without a heartbeat after which a peer no longer counts as live. The capacity of cold
/// upstreams is divided among live instances.
const LIVENESS_TIMEOUT: Span = Span::from_secs(8);
/// Time between two rounds from which this instance counts as paused. What peers sent meanwhile waits
/// in its receive queue, or is lost.
const PAUSE_THRESHOLD: Span = Span::from_secs(2);
/// Time after which a silent peer or a departure is forgotten.
const FORGET_TIMEOUT: Span = Span::from_secs(600);
/// Margin after a departure within which a mention by another peer doesn't bring the departed peer
/// back: the mention may have been in flight when the peer left.
const REJOIN_MARGIN: Span = Span::from_secs(2);
/// Largest number of peers to which every gossip round is sent; beyond it, each round goes to a
/// random sample.
const FULL_FANOUT_COUNT: usize = 16;
/// Peers of the local zone that are sampled for each round; an update spreads within a zone in two
/// rounds.
const ZONE_FANOUT_COUNT: usize = 11;
/// Peers of other zones that are sampled for each round, so that updates reach other zones; traffic
/// between zones is billed.
const FAR_FANOUT_COUNT: usize = 2;

/// Another instance, as this one sees it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Name of the peer.
    pub name: name::Instance,
    /// Address on which the peer receives beacons.
    pub address: SocketAddr,
    /// Availability zone of the peer; none where the store was the only source.
    pub zone: Option<name::Zone>,
    /// Time of the last heartbeat, on the local clock.
    pub last_seen: Moment,
}

/// A peer to which a gossip round is sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct Target {
    /// Address on which the peer receives beacons.
    pub address: SocketAddr,
    /// Whether the peer is known to be in another zone.
    pub is_far: bool,
}

/// The peers of one instance, and those that announced their departure.
#[derive(Clone, Debug)]
pub struct Membership {
    own: name::Instance,
    zone: name::Zone,
    /// Sorted by name.
    peers: Vec<Peer>,
    /// Peers that announced their departure, with its time on the local clock, sorted by name.
    departed: Vec<(name::Instance, Moment)>,
    /// Time of the last round.
    last_round: Option<Moment>,
}

impl Membership {
    /// Creates the membership of an instance in a zone, without any peers.
    pub fn new(own: name::Instance, zone: name::Zone) -> Self {
        Self {
            own,
            zone,
            peers: Vec::new(),
            departed: Vec::new(),
            last_round: None,
        }
    }

    /// Returns the number of peers, live or not.
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Returns whether there are no peers.
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Returns whether a gossip round goes to all peers.
    pub fn is_small(&self) -> bool {
        self.peers.len() <= FULL_FANOUT_COUNT
    }

    /// Begins a round. The silence of peers in a pause of this instance says nothing about them. Peers
    /// that have been silent for very long are forgotten, unless most are: then it is this instance
    /// that is cut off, and it needs their addresses later.
    pub fn begin_round(&mut self, now: Moment) {
        let pause = self.last_round.map_or(Span::ZERO, |last| now.since(last));
        self.last_round = Some(now);
        if pause > PAUSE_THRESHOLD {
            for peer in &mut self.peers {
                peer.last_seen = (peer.last_seen + pause).min(now);
            }
        }
        let is_known = |seen: Moment| now.since(seen) < FORGET_TIMEOUT;
        self.departed.retain(|(_, departed)| is_known(*departed));
        let known = self.peers.iter().filter(|peer| is_known(peer.last_seen));
        if 2 * known.count() > self.peers.len() {
            self.peers.retain(|peer| is_known(peer.last_seen));
        }
    }

    /// Records a heartbeat that was received from the peer itself.
    pub fn observe(&mut self, peer: Peer) {
        if let Ok(index) = self.find_departed(&peer.name) {
            self.departed.remove(index);
        }
        self.upsert(peer);
    }

    /// Records a peer that another peer mentioned. It doesn't bring back a peer that left, unless
    /// its last heartbeat is later than the departure by more than `REJOIN_MARGIN`.
    pub fn record_mention(&mut self, peer: Peer) {
        if let Ok(index) = self.find_departed(&peer.name) {
            if peer.last_seen <= self.departed[index].1 + REJOIN_MARGIN {
                return;
            }
            self.departed.remove(index);
        }
        self.upsert(peer);
    }

    /// Records that a peer announced its departure.
    pub fn record_departure(&mut self, name: &name::Instance, now: Moment) {
        self.peers.retain(|peer| peer.name != *name);
        match self.find_departed(name) {
            Ok(index) => self.departed[index].1 = now,
            Err(index) => self.departed.insert(index, (name.clone(), now)),
        }
    }

    fn find_departed(&self, name: &name::Instance) -> Result<usize, usize> {
        self.departed
            .binary_search_by(|(existing, _)| existing.cmp(name))
    }

    fn upsert(&mut self, peer: Peer) {
        if peer.name == self.own {
            return;
        }
        let found = self
            .peers
            .binary_search_by(|existing| existing.name.cmp(&peer.name));
        let index = match found {
            Ok(index) => index,
            Err(index) => return self.peers.insert(index, peer),
        };
        let existing = &mut self.peers[index];
        if existing.last_seen > peer.last_seen {
            return;
        }
        let zone = peer.zone.clone().or(existing.zone.take());
        *existing = Peer { zone, ..peer };
    }

    /// Returns the live instances, including this one.
    pub fn live(&self, now: Moment) -> impl Iterator<Item = &name::Instance> {
        let live = move |peer: &&Peer| now.since(peer.last_seen) < LIVENESS_TIMEOUT;
        let others = self.peers.iter().filter(live);
        others
            .map(|peer| &peer.name)
            .chain(std::iter::once(&self.own))
    }

    /// Returns the live peers.
    pub fn live_peers(&self, now: Moment) -> impl Iterator<Item = &Peer> {
        let peers = self.peers.iter();
        peers.filter(move |peer| now.since(peer.last_seen) < LIVENESS_TIMEOUT)
    }

    /// Returns a random sample of at most `count` live peers, to be mentioned to other peers.
    pub fn sample(&self, count: usize, now: Moment, random: &mut impl Rng) -> Vec<&Peer> {
        let live = self.peers.iter();
        let live: Vec<&Peer> = live
            .filter(|peer| now.since(peer.last_seen) < LIVENESS_TIMEOUT)
            .collect();
        live.sample(random, count).copied().collect()
    }

    /// Returns the peers for one gossip round: all if there are few, otherwise a random sample of the
    /// local zone and a smaller one of the other zones.
    pub fn gossip_targets(&self, random: &mut impl Rng) -> Vec<Target> {
        let target = |peer: &Peer| Target {
            address: peer.address,
            is_far: self.is_far(peer),
        };
        if self.is_small() {
            return self.peers.iter().map(target).collect();
        }
        let mut far: Vec<&Peer> = Vec::new();
        let mut near: Vec<&Peer> = Vec::new();
        for peer in &self.peers {
            if self.is_far(peer) {
                far.push(peer);
            } else {
                near.push(peer);
            }
        }
        let mut chosen: Vec<Target> = Vec::new();
        let sampled = near.sample(random, ZONE_FANOUT_COUNT);
        chosen.extend(sampled.map(|peer| target(peer)));
        // The sort is stable, so that peers stay in the order of their names within a zone.
        far.sort_by(|left, right| left.zone.cmp(&right.zone));
        let sampled = systematic_sample(&far, FAR_FANOUT_COUNT, random);
        chosen.extend(sampled.into_iter().map(|peer| target(peer)));
        chosen
    }

    /// Returns whether a peer is known to be in another zone.
    fn is_far(&self, peer: &Peer) -> bool {
        peer.zone.as_ref().is_some_and(|zone| *zone != self.zone)
    }
}

/// Returns a sample at equal distances from a random start, in which each item is equally likely and
/// neighbours are not sampled together.
fn systematic_sample<'a, T>(items: &'a [T], count: usize, random: &mut impl Rng) -> Vec<&'a T> {
    if items.len() <= count {
        return items.iter().collect();
    }
    let start = random.random_range(0..items.len());
    let index = |number: usize| (start + number * items.len() / count) % items.len();
    (0..count).map(|number| &items[index(number)]).collect()
}
