//! The cache of prompt prefixes, with eviction of the least recently used.

use std::collections::VecDeque;

/// A prefix cache of limited size.
pub(super) struct Cache {
    capacity: usize,
    used: usize,
    /// Hash and size of each prefix, the least recently used first.
    prefixes: VecDeque<(u64, usize)>,
}

impl Cache {
    pub(super) fn new(capacity: usize) -> Self {
        Self {
            capacity,
            used: 0,
            prefixes: VecDeque::new(),
        }
    }

    /// Marks a prefix as used and returns whether it was cached. A prefix that was not cached is
    /// inserted if it fits.
    pub(super) fn use_prefix(&mut self, hash: u64, bytes: usize) -> bool {
        let found = self.prefixes.iter().position(|entry| entry.0 == hash);
        if let Some(entry) = found.and_then(|index| self.prefixes.remove(index)) {
            self.prefixes.push_back(entry);
            return true;
        }
        if bytes > self.capacity {
            return false;
        }
        while self.used + bytes > self.capacity {
            let (_, freed) = self
                .prefixes
                .pop_front()
                .expect("the used size is that of the cached prefixes");
            self.used -= freed;
        }
        self.prefixes.push_back((hash, bytes));
        self.used += bytes;
        false
    }

    pub(super) fn clear(&mut self) {
        self.prefixes.clear();
        self.used = 0;
    }

    /// Returns the size of the cached prefixes, in bytes of prompt.
    pub(super) fn used(&self) -> usize {
        self.used
    }

    /// Returns the hashes of the cached prefixes, as 16 hexadecimal digits each.
    pub(super) fn hashes(&self) -> Vec<Box<str>> {
        let mut hashes = Vec::new();
        for (hash, _) in &self.prefixes {
            hashes.push(format!("{hash:016x}").into());
        }
        hashes
    }
}
