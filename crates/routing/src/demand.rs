//! Demand: what a generation asks of an engine before its first event.
//!
//! An engine reads prompts one after another, so that the time to the first event is the work that
//! waits there plus the request's own. Work is counted in tokens that the largest model reads in the
//! same time; a part of the prompt that the engine has kept for the same model costs nothing.

use crate::score::Affinity;
use entity::name;

/// What a running generation adds to the wait of others, in tokens: each makes the steps of the
/// engine a little longer.
const RUNNING: f64 = 150.0;

/// How likely the shared part of a prompt is kept where it was read a moment ago.
const KEPT: f64 = 0.95;

/// The same at the upstreams where it belongs by hashing, to which all instances send it.
const KEPT_AT_HOME: f64 = 0.75;

/// The same elsewhere.
const KEPT_ELSEWHERE: f64 = 0.1;

/// What reaching another zone costs, in tokens.
pub(crate) const OTHER_ZONE: f64 = 400.0;

/// What a generation asks of an engine.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Demand {
    /// Tokens of the prompt that no other request shares.
    pub own: u32,
    /// Tokens that other requests share.
    pub shared: u32,
    /// Time that the model takes for a token in relation to the largest one.
    pub weight: f64,
}

/// What is known of an engine's work.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Work {
    /// Work of generations whose first event is still to come, in tokens of the largest model.
    pub pending: f64,
    /// Generations that run.
    pub running: f64,
}

impl Demand {
    /// The work of the request itself, where a share of its shared part is kept.
    pub fn work(&self, affinity: Affinity) -> f64 {
        let kept = match affinity {
            Affinity::Cached => KEPT,
            Affinity::Home => KEPT_AT_HOME,
            Affinity::None => KEPT_ELSEWHERE,
        };
        self.weight * (f64::from(self.own) + f64::from(self.shared) * (1.0 - kept))
    }

    /// Work at an engine before the first event of the answer, in tokens: the request's own and what
    /// it waits for.
    pub fn ahead(&self, affinity: Affinity, engine: Work) -> f64 {
        self.work(affinity) + engine.pending + RUNNING * engine.running
    }
}

/// What one instance has running at upstreams, as it tells the others.
pub type Loads = Vec<(name::Upstream, Work)>;
