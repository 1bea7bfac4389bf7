//! Load reports of engines, which arrive with a lag.

use entity::Moment;

/// What an engine says about its load.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// The moment that the report describes, on the clock of the balancer's `now`.
    pub as_of: Moment,
    /// Requests that were running, of all instances.
    pub running: u32,
    /// Requests that were waiting inside the engine, of all instances.
    pub queued: u32,
    /// Whether it was in cold start.
    pub cold: bool,
    /// Hashes of the prompt prefixes in its cache; late and with gaps.
    pub prefixes: Vec<u64>,
}

impl Load {
    /// Requests that were running or waiting.
    pub fn total(&self) -> u32 {
        self.running.saturating_add(self.queued)
    }
}
