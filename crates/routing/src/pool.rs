//! Pools: the upstreams that an instance may use for each version and each plain service.

use crate::subset;
use config::Config;
use entity::Map;
use entity::id::{self, Id};
use entity::name;

/// The upstreams of one version or plain service.
#[derive(Clone, Debug, Default)]
pub struct Pool {
    /// Number of upstreams in service, over the subsets of all instances.
    pub serving: usize,
    /// Upstreams that this instance uses, sorted.
    pub used: Vec<id::Upstream>,
}

/// The pools of one configuration.
#[derive(Clone, Debug, Default)]
pub struct Pools {
    versions: Map<id::Version, Pool>,
    services: Map<id::Service, Pool>,
}

impl Pools {
    /// Creates the pools of an instance. Each consists of the instance's subset and of all
    /// upstreams of which the instance may own a slot.
    pub fn new(own: &name::Instance, config: &Config, slotted: &[id::Upstream]) -> Self {
        let mut versions = Map::filled(Vec::new(), config.versions.len());
        let mut services = Map::filled(Vec::new(), config.services.len());
        for (id, upstream) in config.upstreams.iter() {
            if !config.is_in_service(id) {
                continue;
            }
            for &version in &upstream.versions {
                versions[version].push(id);
            }
            for &service in &upstream.services {
                services[service].push(id);
            }
        }
        let pool = |serving: &Vec<id::Upstream>| Pool::new(own, config, serving, slotted);
        Self {
            versions: Map::new(versions.values().iter().map(pool).collect()),
            services: Map::new(services.values().iter().map(pool).collect()),
        }
    }

    /// Returns the pool of a version or, if `version` is none, of a plain service.
    pub fn pool(&self, service: id::Service, version: Option<id::Version>) -> &Pool {
        match version {
            Some(version) => &self.versions[version],
            None => &self.services[service],
        }
    }

    /// Returns all pools.
    pub fn all(&self) -> impl Iterator<Item = &Pool> {
        let pools = self.versions.values().iter();
        pools.chain(self.services.values())
    }

    /// Returns all upstreams that this instance uses, sorted.
    pub fn used(&self) -> Vec<id::Upstream> {
        let mut used = Vec::new();
        for pool in self.all() {
            used.extend_from_slice(&pool.used);
        }
        used.sort_unstable();
        used.dedup();
        used
    }

    /// Returns how many of `live` instances share an upstream: the fewest over its pools, so that
    /// the shares of its limit add up to at least the limit.
    pub fn sharers(&self, config: &Config, upstream: id::Upstream, live: usize) -> usize {
        let upstream = &config.upstreams[upstream];
        let versions = upstream.versions.iter().map(|&id| &self.versions[id]);
        let services = upstream.services.iter().map(|&id| &self.services[id]);
        versions
            .chain(services)
            .map(|pool| subset::sharers(live, pool.serving, subset::MAX_SIZE))
            .min()
            .unwrap_or(live)
    }
}

impl Pool {
    fn new(
        own: &name::Instance,
        config: &Config,
        serving: &[id::Upstream],
        slotted: &[id::Upstream],
    ) -> Self {
        let mut used = subset::pick(own, config, serving, subset::MAX_SIZE);
        used.extend(
            serving
                .iter()
                .filter(|id| slotted.binary_search(id).is_ok()),
        );
        used.sort_unstable();
        used.dedup();
        debug_assert!(used.iter().all(|id| id.index() < config.upstreams.len()));
        Self {
            serving: serving.len(),
            used,
        }
    }
}
