//! Work of the peers at each upstream, as they announced it.

use crate::demand::{Loads, Work};
use config::Config;
use entity::id;
use entity::name;
use entity::time::Span;
use entity::{Map, Moment};

/// Time for which an announced load counts: queued work is done within about a second.
const LOAD_TTL: Span = Span::from_millis(1500);

#[derive(Clone, Debug)]
struct PeerLoad {
    name: name::Instance,
    received_at: Moment,
    loads: Loads,
}

/// The loads that peers announced.
#[derive(Clone, Debug, Default)]
pub struct PeerLoads {
    /// Sorted by name.
    peers: Vec<PeerLoad>,
    /// Number of peers, whether they announced a load or not.
    peer_count: usize,
}

impl PeerLoads {
    /// Records the load that a peer announced. `peer_count` is the number of peers.
    pub fn record(
        &mut self,
        name: &name::Instance,
        loads: Loads,
        peer_count: usize,
        received_at: Moment,
    ) {
        self.peer_count = peer_count;
        let peer = PeerLoad {
            name: name.clone(),
            received_at,
            loads,
        };
        match self.peers.binary_search_by(|peer| peer.name.cmp(name)) {
            Ok(index) => self.peers[index] = peer,
            Err(index) => self.peers.insert(index, peer),
        }
    }

    /// Returns the total work of the peers at each upstream. Peers without a recent announcement
    /// are assumed to have the average load of the others.
    pub fn work(&self, config: &Config, now: Moment) -> Map<id::Upstream, Work> {
        let mut work = Map::filled(Work::default(), config.upstreams.len());
        let mut fresh_count = 0;
        for peer in &self.peers {
            if now.since(peer.received_at) >= LOAD_TTL {
                continue;
            }
            fresh_count += 1;
            for (upstream, load) in &peer.loads {
                let Some(id) = config.upstream(upstream.as_str()) else {
                    continue;
                };
                work[id].pending += load.pending;
                work[id].running += load.running;
            }
        }
        if fresh_count == 0 {
            return work;
        }
        let factor = (self.peer_count as f64 / f64::from(fresh_count)).max(1.0);
        for (_, load) in work.iter_mut() {
            load.pending *= factor;
            load.running *= factor;
        }
        work
    }
}
