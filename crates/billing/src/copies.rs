//! Copies of a usage record at peers, as tracked by the record's owner.

use entity::{name, request};

/// Number of peers that have to hold a record to make it safe before it is appended.
pub const REQUIRED_COPIES: usize = 2;

/// Another instance, which can hold records.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Peer {
    /// Name of the instance.
    pub name: name::Instance,
    /// Availability zone of the instance.
    pub zone: name::Zone,
}

/// Returns the peers in the order in which they are asked to hold a record.
///
/// Peers in other zones come first, one of each zone before a second one of any zone, so that a
/// record is lost only if as many zones as possible fail together. Within that order, rendezvous
/// hashing over the request id spreads the records. The later peers replace earlier ones that don't
/// answer.
pub fn rank<'a>(peers: &'a [Peer], own_zone: &name::Zone, request: request::Id) -> Vec<&'a Peer> {
    let mut ranked: Vec<&Peer> = peers.iter().collect();
    ranked.sort_by_key(|peer| (weight(request, &peer.name), &peer.name));
    let mut rounds: Vec<(bool, usize, &Peer)> = Vec::with_capacity(ranked.len());
    for peer in ranked {
        let same = rounds
            .iter()
            .filter(|(_, _, other)| other.zone == peer.zone);
        let round = same.count();
        rounds.push((peer.zone == *own_zone, round, peer));
    }
    rounds.sort_by_key(|(in_own_zone, round, _)| (*in_own_zone, *round));
    rounds.into_iter().map(|(_, _, peer)| peer).collect()
}

/// Returns the FNV-1a hash of a request id and a name. Only the owner of a record computes it, so
/// instances need not agree on it.
fn weight(request: request::Id, name: &name::Instance) -> u64 {
    const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const FNV_PRIME: u64 = 0x0100_0000_01b3;
    let mut hash = FNV_OFFSET_BASIS;
    for byte in request
        .0
        .to_be_bytes()
        .iter()
        .chain(name.as_str().as_bytes())
    {
        hash = (hash ^ u64::from(*byte)).wrapping_mul(FNV_PRIME);
    }
    hash
}

/// Which peers were asked to hold one record, which confirmed, and whether it is appended.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Copies {
    required: usize,
    requested: Vec<name::Instance>,
    holders: Vec<name::Instance>,
    appended: bool,
}

impl Copies {
    /// Creates the state of a record that has no copies yet, at an instance with `peers` peers. The
    /// record is safe with copies at [`REQUIRED_COPIES`] peers, or at all peers if there are fewer.
    /// Without peers, only the append makes it safe.
    pub fn new(peers: usize) -> Self {
        Self {
            required: peers.min(REQUIRED_COPIES),
            requested: Vec::new(),
            holders: Vec::new(),
            appended: false,
        }
    }

    /// Updates the number of peers.
    pub fn set_peer_count(&mut self, peers: usize) {
        self.required = peers.min(REQUIRED_COPIES);
    }

    /// Records that a peer was asked to hold the record: it may hold a copy even if it never
    /// answers.
    pub fn record_request(&mut self, peer: name::Instance) {
        insert(&mut self.requested, peer);
    }

    /// Records a peer's confirmation that it holds the record.
    ///
    /// # Panics
    ///
    /// Panics if that peer was not asked before.
    pub fn record_hold(&mut self, peer: name::Instance) {
        assert!(
            self.requested.binary_search(&peer).is_ok(),
            "a peer that confirms was asked before"
        );
        insert(&mut self.holders, peer);
    }

    /// Removes a peer that is gone, so that another one is asked.
    pub fn remove_peer(&mut self, peer: &name::Instance) {
        self.holders.retain(|holder| holder != peer);
        self.requested.retain(|requested| requested != peer);
    }

    /// Returns whether a peer confirmed that it holds the record. A peer that did not answer is
    /// asked again, because the message may have been lost.
    pub fn is_held_by(&self, peer: &name::Instance) -> bool {
        self.holders.binary_search(peer).is_ok()
    }

    /// Records that the log confirmed the append.
    pub fn record_append(&mut self) {
        self.appended = true;
    }

    /// Returns whether the record is safe, so that the request's answer may be completed.
    pub fn is_safe(&self) -> bool {
        let held = self.required > 0 && self.missing() == 0;
        self.appended || held
    }

    /// Returns how many more peers have to hold the record, unless it is appended.
    pub fn missing(&self) -> usize {
        self.required.saturating_sub(self.holders.len())
    }

    /// Returns whether the log confirmed the append.
    pub fn is_appended(&self) -> bool {
        self.appended
    }

    /// Returns the peers that may hold a copy and can drop it; none before the append is confirmed.
    pub fn drop_targets(&self) -> &[name::Instance] {
        if self.appended {
            return &self.requested;
        }
        &[]
    }
}

fn insert(names: &mut Vec<name::Instance>, name: name::Instance) {
    if let Err(index) = names.binary_search(&name) {
        names.insert(index, name);
    }
}
