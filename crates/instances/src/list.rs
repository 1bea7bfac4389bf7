//! Instance list as published by the platform.

use entity::name;
use serde::Deserialize;
use std::net::SocketAddr;

/// State of an instance in the list.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Deserialize)]
#[serde(rename_all = "lowercase")]
pub enum State {
    /// The instance serves requests.
    Live,
    /// The instance is being shut down.
    Leaving,
}

/// One instance of the router.
#[derive(Clone, Debug, PartialEq, Eq, Deserialize)]
pub struct Instance {
    /// Name of the instance.
    pub name: name::Instance,
    /// Availability zone.
    pub zone: name::Zone,
    /// Region.
    pub region: name::Region,
    /// Address at which other instances reach it.
    pub address: SocketAddr,
    /// Whether the instance serves or is being shut down.
    pub state: State,
}

/// All instances, sorted by name.
#[derive(Clone, Debug, Default, PartialEq, Eq, Deserialize)]
pub struct List {
    /// Version number, which grows with each change of the list.
    pub version: u64,
    /// Listed instances.
    pub instances: Vec<Instance>,
}

impl List {
    /// Returns the instance of this name, if it is listed.
    pub fn get(&self, name: &name::Instance) -> Option<&Instance> {
        let found = self
            .instances
            .binary_search_by(|instance| instance.name.cmp(name));
        found.ok().map(|index| &self.instances[index])
    }
}
