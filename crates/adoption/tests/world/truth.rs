//! Reference result of each prefix, by the acceptance rule alone and without expiry.

use super::{Entry, Kind};

/// Reference results of all prefixes of a log. `in_force[n]` is the generation in force after the
/// first `n` records.
pub struct Truth<'a> {
    log: &'a [Entry],
    in_force: Vec<u64>,
}

impl<'a> Truth<'a> {
    /// Applies the acceptance rule to the whole stream.
    pub fn new(log: &'a [Entry]) -> Self {
        let mut in_force = vec![0];
        let mut now = 0;
        for (index, entry) in log.iter().enumerate() {
            if let Kind::Publication { base, valid, .. } = entry.kind
                && valid
                && base == now
            {
                now = index as u64 + 1;
            }
            in_force.push(now);
        }
        Self { log, in_force }
    }

    /// Returns the generation in force after the record at an offset.
    pub fn after(&self, offset: u64) -> u64 {
        self.in_force[offset as usize]
    }

    /// Whether a generation was ever in force.
    pub fn was_in_force(&self, generation: u64) -> bool {
        self.in_force.get(generation as usize) == Some(&generation)
    }

    /// Returns the generation as which a publication went into force, if it ever did.
    pub fn accepted(&self, id: u128) -> Option<u64> {
        for (index, entry) in self.log.iter().enumerate() {
            let offset = index as u64 + 1;
            let Kind::Publication { id: other, .. } = entry.kind else {
                continue;
            };
            if other == id && self.was_in_force(offset) {
                return Some(offset);
            }
        }
        None
    }
}
