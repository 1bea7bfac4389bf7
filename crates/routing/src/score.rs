//! Scores for comparing the upstreams that may take a request.

use crate::state::State;
use config::Config;
use entity::Moment;
use entity::id;
use entity::name;

/// Weight of a mean prompt whose first token is still to come, in requests. Prompts are processed
/// one after another, while tokens are generated for all requests together.
const PENDING_PROMPT_WEIGHT: f64 = 6.0;

/// Weight of a peer's request, in own requests. It is low because reports of these requests lag and
/// other instances react to them as well.
const PEER_REQUEST_WEIGHT: f64 = 0.2;

/// Weight of the request to be placed, in requests. It is not 0, so that limits and caches count on
/// idle upstreams as well.
const NEW_REQUEST_WEIGHT: f64 = 1.0;

/// Factor on the load where the prompt's prefix is cached.
const CACHED_PREFIX_FACTOR: f64 = 0.4;

/// Factor on the load at the home of the prefix, where no report shows it as cached.
const HOME_FACTOR: f64 = 0.6;

/// Factor on the load of a cold upstream, which is used only where the warm ones are nearly full.
const COLD_FACTOR: f64 = 4.0;

/// Factor on the load of an upstream in another region. Zones of one region are a few milliseconds
/// apart, which is short compared to the time to first token, so they have no factor.
const OTHER_REGION_FACTOR: f64 = 3.0;

/// Prefix affinity of a request to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Affinity {
    /// No known affinity.
    None,
    /// The upstream is a home of the prefix by rendezvous hashing.
    Home,
    /// The prefix is in the upstream's cache.
    Cached,
}

/// An upstream in relation to one instance and one request.
#[derive(Clone, Copy, Debug)]
pub struct Placement {
    /// The upstream.
    pub upstream: id::Upstream,
    /// Number of instances that share the upstream.
    pub sharers: usize,
    /// Prefix affinity of the request to the upstream.
    pub affinity: Affinity,
}

/// Returns the score of an upstream; the lowest is best.
///
/// The requests of this instance are known at once and count in full. Those of other instances are
/// known with a lag and count little: just enough to avoid an upstream that is slow for all.
pub fn score(
    config: &Config,
    zone: Option<id::Zone>,
    placement: Placement,
    state: &State,
    now: Moment,
) -> f64 {
    let upstream = &config.upstreams[placement.upstream];
    let slow_start_share = state.slow_start_share(now);
    let (limit, readiness) = if slow_start_share > 0.0 {
        (f64::from(upstream.warm) * slow_start_share, 1.0)
    } else {
        (f64::from(upstream.cold), COLD_FACTOR)
    };
    let own = f64::from(state.running);
    let others = f64::from(state.estimated_requests().saturating_sub(state.running));
    let others = others / (placement.sharers as f64 - 1.0).max(1.0);
    let load = PENDING_PROMPT_WEIGHT * state.recent_prompts(now)
        + own
        + PEER_REQUEST_WEIGHT * others
        + NEW_REQUEST_WEIGHT;
    let part = match placement.affinity {
        Affinity::None => 1.0,
        Affinity::Home => HOME_FACTOR,
        Affinity::Cached => CACHED_PREFIX_FACTOR,
    };
    let remote = zone.is_some_and(|own| config.zones[own].region != *region(config, placement));
    let distance = if remote { OTHER_REGION_FACTOR } else { 1.0 };
    load / limit.max(1.0) * part * readiness * distance
}

fn region(config: &Config, placement: Placement) -> &name::Region {
    &config.zones[config.upstreams[placement.upstream].zone].region
}
