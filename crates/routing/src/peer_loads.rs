//! Work of the peers at each upstream, as they announced it.

use crate::demand::{Loads, Work};
use crate::room::{Coverage, Crowd};
use config::Config;
use entity::id;
use entity::name;
use entity::time::Span;
use entity::{Map, Moment, work};
use std::collections::VecDeque;

/// Time for which an announced load counts: queued work is done within about a second.
const LOAD_TTL: Span = Span::from_millis(1500);

#[derive(Clone, Debug)]
struct PeerLoad {
    name: name::Instance,
    received_at: Moment,
    loads: Loads,
}

/// The loads that peers announced, and their sums by upstream.
///
/// The sums change by what one announcement changes, since a request must not take longer the more
/// peers there are. Loads are whole numbers, so that sums of them are exact.
#[derive(Clone, Debug, Default)]
pub struct PeerLoads {
    /// Peers whose loads are part of the sums, sorted by name.
    peers: Vec<PeerLoad>,
    /// Announcements by the time at which they were received, the oldest first. Those that were
    /// replaced stay until they expire.
    order: VecDeque<(Moment, name::Instance)>,
    /// Number of peers, whether they announced a load or not.
    peer_count: usize,
    sums: Map<id::Upstream, Work>,
    /// Sums of the requests, each peer's bounded by the upstream's limit.
    crowds: Map<id::Upstream, Crowd>,
}

/// Estimated work of all peers at each upstream.
#[derive(Clone, Copy, Debug, Default)]
pub struct Others<'a> {
    sums: Option<&'a Map<id::Upstream, Work>>,
    factor: f64,
}

impl Others<'_> {
    /// Returns the work at an upstream.
    pub fn at(&self, upstream: id::Upstream) -> Work {
        let sum = self.sums.and_then(|sums| sums.get(upstream));
        let sum = sum.copied().unwrap_or_default();
        Work {
            pending: sum.pending * self.factor,
            running: sum.running * self.factor,
        }
    }
}

impl PeerLoads {
    /// Sums up the loads again by the ids of a configuration.
    pub fn configure(&mut self, config: &Config) {
        self.sums = Map::filled(Work::default(), config.upstreams.len());
        self.crowds = Map::filled(Crowd::default(), config.upstreams.len());
        for index in 0..self.peers.len() {
            self.add(config, index, 1.0);
        }
    }

    /// Records the load that a peer announced. `peer_count` is the number of peers.
    pub fn record(
        &mut self,
        config: &Config,
        name: &name::Instance,
        loads: Loads,
        peer_count: usize,
        received_at: Moment,
    ) {
        self.peer_count = peer_count;
        self.expire(config, received_at);
        let mut loads = loads;
        loads.sort_by(|(left, _), (right, _)| left.cmp(right));
        loads.dedup_by(|(left, _), (right, _)| left == right);
        let peer = PeerLoad {
            name: name.clone(),
            received_at,
            loads,
        };
        let found = self.peers.binary_search_by(|peer| peer.name.cmp(name));
        let index = match found {
            Ok(index) => {
                self.add(config, index, -1.0);
                self.peers[index] = peer;
                index
            }
            Err(index) => {
                self.peers.insert(index, peer);
                index
            }
        };
        self.add(config, index, 1.0);
        self.order.push_back((received_at, name.clone()));
    }

    /// Returns the total work of the peers at each upstream. Peers without a recent announcement
    /// are assumed to have the average load of the others.
    pub fn work(&self, now: Moment) -> Others<'_> {
        let newest = self.order.back();
        if newest.is_none_or(|(at, _)| now.since(*at) >= LOAD_TTL) {
            return Others::default();
        }
        Others {
            sums: Some(&self.sums),
            factor: (self.peer_count as f64 / self.peers.len() as f64).max(1.0),
        }
    }

    /// Returns how many peers' announcements count, of how many.
    pub fn coverage(&self, now: Moment) -> Coverage {
        let newest = self.order.back();
        let recent = newest.is_some_and(|(at, _)| now.since(*at) < LOAD_TTL);
        Coverage {
            heard: if recent { self.peers.len() } else { 0 },
            known: self.peer_count,
        }
    }

    /// Returns the requests at an upstream of the peers whose announcements count.
    pub fn crowd(&self, upstream: id::Upstream) -> Crowd {
        self.crowds.get(upstream).copied().unwrap_or_default()
    }

    /// Drops announcements that no longer count.
    pub fn expire(&mut self, config: &Config, now: Moment) {
        let is_over = |(at, _): &mut (Moment, _)| now.since(*at) >= LOAD_TTL;
        while let Some((at, name)) = self.order.pop_front_if(is_over) {
            let found = self.peers.binary_search_by(|peer| peer.name.cmp(&name));
            if let Ok(index) = found
                && self.peers[index].received_at == at
            {
                self.add(config, index, -1.0);
                self.peers.remove(index);
            }
        }
    }

    /// Adds the loads of a peer to the sums, or takes them off if `sign` is negative.
    fn add(&mut self, config: &Config, index: usize, sign: f64) {
        let loads = &self.peers[index].loads;
        work::count(loads.len());
        for (upstream, load) in loads {
            let Some(id) = config.upstream(upstream.as_str()) else {
                continue;
            };
            let Some(sum) = self.sums.get_mut(id) else {
                continue;
            };
            // A single peer has no more there than the upstream takes, whatever it tells.
            let running = load.running.min(f64::from(config.upstreams[id].warm));
            sum.pending += sign * load.pending;
            sum.running += sign * running;
            if load.running < 1.0 {
                continue;
            }
            if let Some(crowd) = self.crowds.get_mut(id) {
                crowd.running += sign * running;
                if load.running > 1.0 {
                    crowd.borrowers += sign;
                }
            }
        }
    }
}
