//! The instance list as the platform last told it.

use entity::name;
use serde::Deserialize;
use std::net::SocketAddr;

/// Whether an instance is to stay.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// It serves.
    Live,
    /// It is being shut down.
    Leaving,
}

/// One entry instance.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Instance {
    /// Its name.
    pub name: name::Instance,
    /// Its availability zone.
    pub zone: name::Zone,
    /// Its region.
    pub region: name::Region,
    /// Where other instances reach it.
    pub address: SocketAddr,
    /// Whether it is to stay.
    pub state: State,
}

/// All instances, sorted by name.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct List {
    /// Grows with each change.
    pub version: u64,
    /// The instances.
    pub instances: Vec<Instance>,
}

impl List {
    /// The instance of this name, by binary search.
    pub fn get(&self, name: &name::Instance) -> Option<&Instance> {
        let found = self
            .instances
            .binary_search_by(|instance| instance.name.cmp(name));
        found.ok().map(|index| &self.instances[index])
    }
}
