//! Instance lists and the notices of draining instances.

use entity::name;
use std::sync::Arc;

/// The live instances, as returned by one read of the instance list.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Members {
    /// Version of the list; a list older than the newest one read is ignored.
    pub version: u64,
    /// Instances that are live and not draining, sorted by name.
    pub live: Arc<[name::Instance]>,
}

impl Members {
    /// Creates the members from a list in any order.
    pub fn new(version: u64, mut live: Vec<name::Instance>) -> Self {
        live.sort_unstable();
        live.dedup();
        let live = live.into();
        Self { version, live }
    }
}

/// Notice of a draining instance that it takes no more slots, with the slots that it still uses.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct DrainNotice {
    /// Name of the draining instance.
    pub instance: name::Instance,
    /// Slots on which its requests still run, as upstream and number.
    pub running: Vec<(name::Upstream, u32)>,
}
