//! The score by which upstreams that may take a request are compared.

use crate::state::State;
use config::Config;
use entity::Moment;
use entity::id;
use entity::name;

/// What a mean prompt whose first token is still to come weighs, in requests. Prompts are worked
/// off one after another, while tokens are generated for all requests together.
const PROMPT: f64 = 6.0;

/// What a request of another instance weighs: reports of them lag, and others act on them too.
const OTHERS: f64 = 0.2;

/// What the request itself weighs, so that limits and caches count on idle upstreams as well.
const ITSELF: f64 = 1.0;

/// What the load counts for where the prompt's prefix is cached.
const CACHED: f64 = 0.4;

/// What it counts for at the prefix's home, where no report says that it is cached.
const HOME: f64 = 0.6;

/// What it counts for at a cold upstream, which is used where the warm ones are nearly full.
const COLD: f64 = 4.0;

/// What it counts for in another region. Zones of one region are a few milliseconds apart, which
/// is little beside a first token.
const OTHER_REGION: f64 = 3.0;

/// How a request is tied to an upstream.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Affinity {
    /// Not at all, as far as is known.
    None,
    /// Its prefix belongs there by hashing.
    Home,
    /// Its prefix is in the cache.
    Cached,
}

/// An upstream as an instance sees it for one request.
#[derive(Clone, Copy, Debug)]
pub struct Place {
    /// The upstream.
    pub upstream: id::Upstream,
    /// How many instances share it.
    pub sharers: usize,
    /// What ties the request to it.
    pub affinity: Affinity,
}

/// The score of an upstream; the lowest is best.
///
/// What this instance sent itself is known at once and counts in full. What other instances sent is
/// known late, and counts little: enough to keep off an upstream that is slow for all.
pub fn score(
    config: &Config,
    zone: Option<id::Zone>,
    place: Place,
    state: &State,
    now: Moment,
) -> f64 {
    let upstream = &config.upstreams[place.upstream];
    let ramp = state.ramp(now);
    let (limit, readiness) = if ramp > 0.0 {
        (f64::from(upstream.warm) * ramp, 1.0)
    } else {
        (f64::from(upstream.cold), COLD)
    };
    let own = f64::from(state.running);
    let others = f64::from(state.total().saturating_sub(state.running));
    let others = others / (place.sharers as f64 - 1.0).max(1.0);
    let load = PROMPT * state.sent(now) + own + OTHERS * others + ITSELF;
    let part = match place.affinity {
        Affinity::None => 1.0,
        Affinity::Home => HOME,
        Affinity::Cached => CACHED,
    };
    let remote = zone.is_some_and(|own| config.zones[own].region != *region(config, place));
    let distance = if remote { OTHER_REGION } else { 1.0 };
    load / limit.max(1.0) * part * readiness * distance
}

fn region(config: &Config, place: Place) -> &name::Region {
    &config.zones[config.upstreams[place.upstream].zone].region
}
