//! Load reports of engines, which arrive with a lag.

use entity::Moment;

/// The load of an engine, as it reports it.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Load {
    /// Time that the report describes, on the clock of the balancer's `now`.
    pub as_of: Moment,
    /// Running requests of all instances.
    pub running: u32,
    /// Requests of all instances that were queued inside the engine.
    pub queued: u32,
    /// Whether the engine was in cold start.
    pub cold: bool,
    /// Hashes of the prompt prefixes in the engine's cache; lagging and incomplete.
    pub prefixes: Vec<u64>,
}

impl Load {
    /// Returns the number of running and queued requests.
    pub fn total(&self) -> u32 {
        self.running.saturating_add(self.queued)
    }
}
