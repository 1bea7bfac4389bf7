//! Subsets of the upstreams, for which an instance keeps state.
//!
//! With hundreds of instances and hundreds of upstreams, each instance uses only a few upstreams of
//! each version, selected by rendezvous hashing, so that its cost doesn't grow with the number of
//! upstreams. Adding or removing one upstream or instance changes few subsets.

use crate::hash;
use config::Config;
use entity::id::{self, Id};
use entity::name;

/// Largest number of upstreams that an instance uses for a version.
pub const MAX_SIZE: usize = 16;

/// Returns the upstreams of one version or plain service that an instance uses, sorted: at most
/// `size` of those in service, in order of decreasing weight and taking the zones in turn.
pub fn pick(
    own: &name::Instance,
    config: &Config,
    serving: &[id::Upstream],
    size: usize,
) -> Vec<id::Upstream> {
    let mut picked = Vec::with_capacity(serving.len().min(size));
    if serving.len() <= size {
        picked.extend_from_slice(serving);
        return picked;
    }
    let own = hash::text(own.as_str());
    let mut ranked: Vec<(u32, u64, id::Upstream)> = Vec::with_capacity(serving.len());
    for &upstream in serving {
        let key = hash::text(config.upstreams[upstream].name.as_str());
        ranked.push((0, hash::weight(key, own), upstream));
    }
    ranked.sort_unstable_by_key(|&(_, weight, _)| std::cmp::Reverse(weight));
    // Sorting by the rank within the zone first takes one upstream of each zone in turn.
    let mut zones = vec![0; config.zones.len()];
    for (rank, _, upstream) in &mut ranked {
        let zone = config.upstreams[*upstream].zone.index();
        *rank = zones[zone];
        zones[zone] += 1;
    }
    ranked.sort_by_key(|&(rank, ..)| rank);
    picked.extend(ranked.iter().take(size).map(|&(_, _, upstream)| upstream));
    picked.sort_unstable();
    picked
}

/// Returns how many of `instances` share one upstream if each uses `size` of `serving` upstreams.
pub fn sharers(instances: usize, serving: usize, size: usize) -> usize {
    if serving <= size {
        return instances.max(1);
    }
    (instances * size).div_ceil(serving).max(1)
}
