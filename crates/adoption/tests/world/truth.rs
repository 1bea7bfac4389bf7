//! What is in force after each prefix, by the rule alone and with nothing expired.

use super::{Entry, Kind};

/// The generation in force after each record; the first element is before all records.
pub struct Truth<'a> {
    log: &'a [Entry],
    in_force: Vec<u64>,
}

impl<'a> Truth<'a> {
    /// Applies the rule to the whole stream.
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

    /// The generation in force after the record at an offset.
    pub fn after(&self, offset: u64) -> u64 {
        self.in_force[offset as usize]
    }

    /// Whether a generation was ever in force.
    pub fn was_in_force(&self, generation: u64) -> bool {
        self.in_force.get(generation as usize) == Some(&generation)
    }

    /// The generation as which a publication went into force, if it ever did.
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
