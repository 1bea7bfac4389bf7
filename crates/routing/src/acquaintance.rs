//! The other instances that one has heard of, directly or from others.

use entity::{Moment, Span, name};
use rand::Rng;
use rand::seq::IndexedRandom;
use std::net::SocketAddr;

/// How long an instance that is not heard of counts as live: cold upstreams are shared with it.
const LIFE: Span = Span::from_secs(8);
/// By how much later than its leave an instance must have been heard of to be back: what others tell of
/// it may have been on its way.
const BACK: Span = Span::from_secs(2);
/// Instances up to which all are told in each round; beyond, some are drawn.
const FANOUT: usize = 16;
/// Instances drawn of the own zone, where news spreads within two rounds.
const NEAR: usize = 10;
/// Instances drawn of all, which take news to other zones; bytes between zones are paid for.
const FAR: usize = 4;

/// Another instance.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Peer {
    /// Its name.
    pub name: name::Instance,
    /// Where it takes datagrams.
    pub address: SocketAddr,
    /// Its zone; none where only the store told of it.
    pub zone: Option<name::Zone>,
    /// When it was last heard of.
    pub heard: Moment,
}

/// The instances that were heard of.
#[derive(Clone, Debug)]
pub struct Acquaintances {
    own: name::Instance,
    zone: name::Zone,
    /// Sorted by name.
    peers: Vec<Peer>,
    /// Instances that said that they leave, and when, sorted by name.
    left: Vec<(name::Instance, Moment)>,
}

impl Acquaintances {
    /// Of an instance in a zone, which knows no other yet.
    pub fn new(own: name::Instance, zone: name::Zone) -> Self {
        Self {
            own,
            zone,
            peers: Vec::new(),
            left: Vec::new(),
        }
    }

    /// How many there are.
    pub fn len(&self) -> usize {
        self.peers.len()
    }

    /// Whether there are none.
    pub fn is_empty(&self) -> bool {
        self.peers.is_empty()
    }

    /// Whether they are so few that all are told in each round.
    pub fn are_few(&self) -> bool {
        self.peers.len() <= FANOUT
    }

    /// Takes in that an instance itself was heard.
    pub fn hear(&mut self, peer: Peer) {
        if let Ok(index) = self.departure(&peer.name) {
            self.left.remove(index);
        }
        self.keep(peer);
    }

    /// Takes in that another instance has heard of one.
    pub fn hear_of(&mut self, peer: Peer) {
        if let Ok(index) = self.departure(&peer.name) {
            if peer.heard <= self.left[index].1 + BACK {
                return;
            }
            self.left.remove(index);
        }
        self.keep(peer);
    }

    /// Takes in that an instance leaves.
    pub fn leave(&mut self, name: &name::Instance, now: Moment) {
        self.peers.retain(|peer| peer.name != *name);
        match self.departure(name) {
            Ok(index) => self.left[index].1 = now,
            Err(index) => self.left.insert(index, (name.clone(), now)),
        }
    }

    fn departure(&self, name: &name::Instance) -> Result<usize, usize> {
        self.left.binary_search_by(|(known, _)| known.cmp(name))
    }

    fn keep(&mut self, peer: Peer) {
        if peer.name == self.own {
            return;
        }
        let found = self
            .peers
            .binary_search_by(|known| known.name.cmp(&peer.name));
        let index = match found {
            Ok(index) => index,
            Err(index) => return self.peers.insert(index, peer),
        };
        let known = &mut self.peers[index];
        if known.heard > peer.heard {
            return;
        }
        let zone = peer.zone.clone().or(known.zone.take());
        *known = Peer { zone, ..peer };
    }

    /// The live instances, this one included.
    pub fn live(&self, now: Moment) -> impl Iterator<Item = &name::Instance> {
        let live = move |peer: &&Peer| now.since(peer.heard) < LIFE;
        let others = self.peers.iter().filter(live);
        others
            .map(|peer| &peer.name)
            .chain(std::iter::once(&self.own))
    }

    /// Some of those that are live, to be told to others.
    pub fn sample(&self, count: usize, now: Moment, random: &mut impl Rng) -> Vec<&Peer> {
        let live = self.peers.iter();
        let live: Vec<&Peer> = live.filter(|peer| now.since(peer.heard) < LIFE).collect();
        live.sample(random, count).copied().collect()
    }

    /// Who is told in one round: all of a few, else some of the own zone and some of all.
    pub fn listeners(&self, random: &mut impl Rng) -> Vec<SocketAddr> {
        if self.are_few() {
            return self.peers.iter().map(|peer| peer.address).collect();
        }
        let is_near = |peer: &&Peer| peer.zone.as_ref().is_none_or(|zone| *zone == self.zone);
        let near: Vec<&Peer> = self.peers.iter().filter(is_near).collect();
        let mut chosen: Vec<SocketAddr> = Vec::new();
        chosen.extend(near.sample(random, NEAR).map(|peer| peer.address));
        chosen.extend(self.peers.sample(random, FAR).map(|peer| peer.address));
        chosen.sort_unstable();
        chosen.dedup();
        chosen
    }
}
