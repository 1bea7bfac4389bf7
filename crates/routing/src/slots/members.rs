//! What instances learn of each other.

use entity::name;
use std::sync::Arc;

/// The live instances, as one read of the instance list gave them.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Members {
    /// The list's version; a list with a smaller one than seen before is ignored.
    pub version: u64,
    /// Instances that are live and not leaving, by name.
    pub live: Arc<[name::Instance]>,
}

impl Members {
    /// The members of a list in any order.
    pub fn new(version: u64, mut live: Vec<name::Instance>) -> Self {
        live.sort_unstable();
        live.dedup();
        let live = live.into();
        Self { version, live }
    }
}

/// What an instance that takes no slots any more says about its requests on slots.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Ceased {
    /// The instance.
    pub instance: name::Instance,
    /// Slots on which a request of its runs still: upstream and number.
    pub running: Vec<(name::Upstream, u32)>,
}
