//! Work that a generation causes at an engine before its first event.
//!
//! An engine prefills prompts one after another, so the time to the first event is the work queued
//! at the engine plus the request's own. Work is measured in tokens that the largest model reads in
//! the same time. The part of a prompt that is in the engine's KV cache for the same model costs
//! nothing.

use crate::estimate::length::Claim;
use crate::score::Affinity;
use entity::name;

/// Work that each running generation adds for other requests, in tokens: it makes every step of the
/// engine slightly longer.
pub(crate) const RUNNING_COST_TOKENS: f64 = 150.0;

/// Probability of a cache hit on the shared part of a prompt at an engine that read it recently.
const CACHE_HIT_PROBABILITY: f64 = 0.9;

/// Probability of a cache hit at the homes of the prefix, to which all instances send it.
const HOME_CACHE_HIT_PROBABILITY: f64 = 0.9;

/// Probability of a cache hit at all other engines.
const OTHER_CACHE_HIT_PROBABILITY: f64 = 0.1;

/// Cost of a request to another availability zone, in tokens.
pub(crate) const OTHER_ZONE_COST_TOKENS: f64 = 100.0;

/// Cost of reading a shared token again, besides the time until the first event, in tokens: it takes
/// engine time and memory from other requests, whatever the model.
const REREAD_COST: f64 = 2.0;

/// Size of a generation.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Prompt tokens that are not shared with other requests.
    pub own: u32,
    /// Prompt tokens that are shared with other requests.
    pub shared: u32,
    /// Time per token of the model, in relation to the largest model.
    pub weight: f64,
    /// What the request says of the length of its answer; none where it says nothing.
    pub output: Option<Claim>,
}

/// Known work of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Work {
    /// Work of the generations whose first event is still to come, in tokens of the largest model.
    pub pending: f64,
    /// Number of running generations.
    pub running: f64,
}

impl Demand {
    /// Returns the work of the request itself, in tokens, less the expected cache hits on its
    /// shared part.
    pub fn work(&self, affinity: Affinity) -> f64 {
        self.weight * (f64::from(self.own) + self.missing(affinity))
    }

    /// Returns the cost of reading shared tokens again at an engine, in tokens.
    pub fn reread(&self, affinity: Affinity) -> f64 {
        REREAD_COST * self.missing(affinity)
    }

    /// Returns the expected number of shared tokens that an engine doesn't have in its cache.
    fn missing(&self, affinity: Affinity) -> f64 {
        let hit_probability = match affinity {
            Affinity::Cached => CACHE_HIT_PROBABILITY,
            Affinity::Home => HOME_CACHE_HIT_PROBABILITY,
            Affinity::None => OTHER_CACHE_HIT_PROBABILITY,
        };
        f64::from(self.shared) * (1.0 - hit_probability)
    }

    /// Returns the work at an engine before the first event of the answer, in tokens: that of the
    /// request itself and that of the requests before it.
    pub fn ahead(&self, affinity: Affinity, engine: Work) -> f64 {
        self.work(affinity) + engine.pending + RUNNING_COST_TOKENS * engine.running
    }
}

/// Work of one instance at each upstream, as announced to its peers.
pub type Loads = Vec<(name::Upstream, Work)>;
