//! Work of the peers at each upstream, as they announced it.

use crate::demand::{Loads, Work};
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
    /// Whether the loads are part of the sums.
    counts: bool,
}

/// The loads that peers announced, and their sums by upstream.
///
/// The sums change by what one announcement changes, since a request must not take longer the more
/// peers there are. Loads are whole numbers, so that sums of them are exact.
#[derive(Clone, Debug, Default)]
pub struct PeerLoads {
    /// Sorted by name.
    peers: Vec<PeerLoad>,
    /// Announcements by the time at which they were received, the oldest first. Those that were
    /// replaced stay until they expire.
    order: VecDeque<(Moment, name::Instance)>,
    /// Number of peers, whether they announced a load or not.
    peer_count: usize,
    /// Number of peers whose loads are part of the sums.
    counted: u32,
    sums: Map<id::Upstream, Work>,
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
        for index in 0..self.peers.len() {
            if self.peers[index].counts {
                self.add(config, index, 1.0);
            }
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
        let peer = PeerLoad {
            name: name.clone(),
            received_at,
            loads,
            counts: false,
        };
        let found = self.peers.binary_search_by(|peer| peer.name.cmp(name));
        let index = match found {
            Ok(index) => {
                self.stop_counting(config, index);
                self.peers[index] = peer;
                index
            }
            Err(index) => {
                self.peers.insert(index, peer);
                index
            }
        };
        self.peers[index].counts = true;
        self.counted += 1;
        self.add(config, index, 1.0);
        self.order.push_back((received_at, name.clone()));
    }

    /// Returns the total work of the peers at each upstream. Peers without a recent announcement
    /// are assumed to have the average load of the others.
    pub fn work(&self, now: Moment) -> Others<'_> {
        let expired = self.order.iter();
        let expired = expired.take_while(|(at, _)| now.since(*at) >= LOAD_TTL);
        if self.counted == 0 || expired.count() == self.order.len() {
            return Others::default();
        }
        Others {
            sums: Some(&self.sums),
            factor: (self.peer_count as f64 / f64::from(self.counted)).max(1.0),
        }
    }

    /// Drops announcements that no longer count.
    pub fn expire(&mut self, config: &Config, now: Moment) {
        while let Some((at, _)) = self.order.front()
            && now.since(*at) >= LOAD_TTL
        {
            let Some((at, name)) = self.order.pop_front() else {
                return;
            };
            let found = self.peers.binary_search_by(|peer| peer.name.cmp(&name));
            if let Ok(index) = found
                && self.peers[index].received_at == at
            {
                self.stop_counting(config, index);
                self.peers.remove(index);
            }
        }
    }

    fn stop_counting(&mut self, config: &Config, index: usize) {
        if self.peers[index].counts {
            self.add(config, index, -1.0);
            self.peers[index].counts = false;
            self.counted -= 1;
        }
    }

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
            sum.pending += sign * load.pending;
            sum.running += sign * load.running;
        }
    }
}
