//! When a usage record is safe, as its owner sees it.

use entity::{name, request};

/// Copies at fellow instances that make a record safe without the log.
pub const COPIES: usize = 2;

/// Another instance, which can hold records.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Fellow {
    /// Its name.
    pub name: name::Instance,
    /// The availability zone that it is in.
    pub zone: name::Zone,
}

/// The fellows that are asked to hold a record, the preferred ones first.
///
/// Fellows in other zones come first, one of each zone before a second of any, so that as many
/// zones as possible have to be lost together. Rendezvous hashing over the request spreads the
/// records. The rest follows as substitutes for fellows that don't answer.
pub fn rank<'a>(fellows: &'a [Fellow], home: &name::Zone, request: request::Id) -> Vec<&'a Fellow> {
    let mut ranked: Vec<&Fellow> = fellows.iter().collect();
    ranked.sort_by_key(|fellow| (weight(request, &fellow.name), &fellow.name));
    let mut rounds: Vec<(bool, usize, &Fellow)> = Vec::with_capacity(ranked.len());
    for fellow in ranked {
        let same = rounds
            .iter()
            .filter(|(_, _, other)| other.zone == fellow.zone);
        let round = same.count();
        rounds.push((fellow.zone == *home, round, fellow));
    }
    rounds.sort_by_key(|(at_home, round, _)| (*at_home, *round));
    rounds.into_iter().map(|(_, _, fellow)| fellow).collect()
}

/// FNV-1a over the request and a name; only the owner computes it, so instances need not agree.
fn weight(request: request::Id, name: &name::Instance) -> u64 {
    const BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const PRIME: u64 = 0x0100_0000_01b3;
    let mut hash = BASIS;
    for byte in request
        .0
        .to_be_bytes()
        .iter()
        .chain(name.as_str().as_bytes())
    {
        hash = (hash ^ u64::from(*byte)).wrapping_mul(PRIME);
    }
    hash
}

/// Where the copies of one record are, as far as its owner knows.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Custody {
    needed: usize,
    asked: Vec<name::Instance>,
    holders: Vec<name::Instance>,
    appended: bool,
}

impl Custody {
    /// A record of an instance that has `fellows` others; copies at [`COPIES`] of them, or at all
    /// if there are fewer, make it safe. Without fellows, only the log does.
    pub fn new(fellows: usize) -> Self {
        Self {
            needed: fellows.min(COPIES),
            asked: Vec::new(),
            holders: Vec::new(),
            appended: false,
        }
    }

    /// Notes that the number of other instances changed.
    pub fn resize(&mut self, fellows: usize) {
        self.needed = fellows.min(COPIES);
    }

    /// Notes that a fellow was asked to hold the record: it may hold it even if it never answers.
    pub fn ask(&mut self, fellow: name::Instance) {
        insert(&mut self.asked, fellow);
    }

    /// Notes that a fellow holds the record.
    ///
    /// # Panics
    ///
    /// If that fellow was never asked.
    pub fn confirm(&mut self, fellow: name::Instance) {
        assert!(self.asked.binary_search(&fellow).is_ok(), "asked before");
        insert(&mut self.holders, fellow);
    }

    /// Notes that a fellow is gone, so that another has to be asked.
    pub fn lose(&mut self, fellow: &name::Instance) {
        self.holders.retain(|holder| holder != fellow);
        self.asked.retain(|asked| asked != fellow);
    }

    /// Whether a fellow confirmed that it holds the record. One that was asked and did not answer
    /// is asked again: the message may have been lost.
    pub fn is_held_by(&self, fellow: &name::Instance) -> bool {
        self.holders.binary_search(fellow).is_ok()
    }

    /// Notes that the log confirmed the append.
    pub fn append(&mut self) {
        self.appended = true;
    }

    /// Whether the answer of the request may be completed.
    pub fn is_safe(&self) -> bool {
        let held = self.needed > 0 && self.missing() == 0;
        self.appended || held
    }

    /// How many more fellows have to hold the record while it is not appended.
    pub fn missing(&self) -> usize {
        self.needed.saturating_sub(self.holders.len())
    }

    /// Whether the log confirmed the append.
    pub fn is_appended(&self) -> bool {
        self.appended
    }

    /// Fellows that may hold a copy, which they may drop; none until the append is confirmed.
    pub fn droppable(&self) -> &[name::Instance] {
        if self.appended {
            return &self.asked;
        }
        &[]
    }
}

fn insert(names: &mut Vec<name::Instance>, name: name::Instance) {
    if let Err(index) = names.binary_search(&name) {
        names.insert(index, name);
    }
}
