//! The newest position of each key of a topic, by which late records are recognised.

use crate::source::{Item, Position};
use entity::sorted;

/// Largest number of keys that are remembered.
const MAX_KEY_COUNT: usize = 256;

/// Positions of the records that were applied.
#[derive(Clone, Debug, Default)]
pub struct Positions {
    /// Sorted by key.
    keys: Vec<(Box<str>, Position)>,
    /// End of the last listing. An older record of a key that the listing lacks is out of date.
    listed: Position,
}

impl Positions {
    /// Returns whether a newer record of the key was applied, or its removal.
    pub fn is_outdated(&self, item: &Item) -> bool {
        let found = self
            .keys
            .binary_search_by(|(known, _)| known.cmp(&item.key));
        let newest = found.map_or(self.listed, |index| self.keys[index].1);
        item.position < newest
    }

    /// Records that a record was applied.
    pub fn record(&mut self, item: &Item) {
        *sorted::entry(&mut self.keys, &item.key, || item.position) = item.position;
        if self.keys.len() <= MAX_KEY_COUNT {
            return;
        }
        let oldest = (0..self.keys.len()).min_by_key(|&index| self.keys[index].1);
        if let Some(oldest) = oldest {
            self.listed = self.listed.max(self.keys.remove(oldest).1);
        }
    }

    /// Records a listing that ends at `end`. Keys that it lacks were deleted before that.
    pub fn record_listing(&mut self, items: &[Item], end: Position) {
        self.keys = items
            .iter()
            .map(|item| (item.key.clone(), item.position))
            .collect();
        self.keys.sort();
        self.listed = end;
    }
}
