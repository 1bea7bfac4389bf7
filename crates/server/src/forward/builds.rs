//! Builds that the peers run, as their beacons name them. They are only logged.

use entity::{name, sorted};

/// Longest name of a build that is kept, in bytes.
pub const MAX_NAME_BYTES: usize = 96;
/// Largest number of peers whose builds are remembered.
pub const MAX_PEER_COUNT: usize = 4096;
/// Largest number of builds that are logged of one peer.
pub const MAX_BUILDS_PER_PEER: usize = 4;

/// The builds that peers have named, so that each is logged once.
#[derive(Clone, Debug)]
pub struct Builds {
    own: Box<str>,
    /// Other builds by peer, sorted by name.
    peers: Vec<(name::Instance, Vec<Box<str>>)>,
}

impl Builds {
    /// Creates an empty list for an instance that runs the build `own`.
    pub fn new(own: Box<str>) -> Self {
        Self {
            own,
            peers: Vec::new(),
        }
    }

    /// Records the build that a peer named, and returns whether it is to be logged: it differs from
    /// the own one and wasn't returned for this peer before.
    pub fn record(&mut self, peer: &name::Instance, build: &str) -> bool {
        if *build == *self.own || build.len() > MAX_NAME_BYTES {
            return false;
        }
        let found = self.peers.binary_search_by(|(name, _)| name.cmp(peer));
        if found.is_err() && self.peers.len() >= MAX_PEER_COUNT {
            return false;
        }
        let known = sorted::entry(&mut self.peers, peer, Vec::new);
        if known.len() >= MAX_BUILDS_PER_PEER || known.iter().any(|one| **one == *build) {
            return false;
        }
        known.push(build.into());
        true
    }

    /// Forgets the peers that are no longer known.
    pub fn retain(&mut self, mut is_known: impl FnMut(&name::Instance) -> bool) {
        self.peers.retain(|(name, _)| is_known(name));
    }
}
