//! The score by which upstreams that may take a request are compared.

use crate::state::State;
use config::Config;
use entity::Moment;
use entity::id;

/// What an upstream in another zone of the region adds, as a share of its limit.
const OTHER_ZONE: f64 = 0.02;

/// What an upstream in another region adds.
const OTHER_REGION: f64 = 0.5;

/// What a cached prefix takes off.
const CACHED: f64 = 0.2;

/// What being the prefix's home takes off, where no report says that it is cached.
const HOME: f64 = 0.1;

/// What a cold upstream adds: it is used where the warm ones are nearly full.
const COLD: f64 = 0.7;

/// How well placed an upstream is for a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Affinity {
    /// Nothing is known to tie the request to it.
    None,
    /// The prefix belongs there by hashing.
    Home,
    /// The prefix is in its cache.
    Cached,
}

/// The score of an upstream; the lowest is best. Its unit is the share of the upstream's limit.
pub fn score(
    config: &Config,
    zone: Option<id::Zone>,
    upstream: id::Upstream,
    state: &State,
    affinity: Affinity,
    now: Moment,
) -> f64 {
    let upstream = &config.upstreams[upstream];
    let ramp = state.ramp(now);
    let cold = if ramp == 0.0 { COLD } else { 0.0 };
    let limit = if ramp == 0.0 {
        f64::from(upstream.cold)
    } else {
        f64::from(upstream.warm) * ramp
    };
    let load = f64::from(state.total()) / limit.max(1.0);
    let gain = match affinity {
        Affinity::None => 0.0,
        Affinity::Home => HOME,
        Affinity::Cached => CACHED,
    };
    load + cold + distance(config, zone, upstream.zone) - gain
}

fn distance(config: &Config, own: Option<id::Zone>, other: id::Zone) -> f64 {
    let Some(own) = own else {
        return 0.0;
    };
    if own == other {
        0.0
    } else if config.zones[own].region == config.zones[other].region {
        OTHER_ZONE
    } else {
        OTHER_REGION
    }
}
