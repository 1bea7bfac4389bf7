//! Authentication of callers by their bearer keys.

use adoption::Snapshot;
use entity::{Generation, id};
use sha2::{Digest, Sha256};
use std::sync::Mutex;

/// Largest number of keys that are cached.
const CACHE_CAPACITY: usize = 4096;

type Fingerprint = [u8; 32];

#[derive(Debug, Default)]
struct Cache {
    generation: Generation,
    /// Sorted by the hash of the bearer key.
    entries: Vec<(Fingerprint, id::Organisation)>,
}

/// A lookup of organisations by bearer key. It caches the results within one generation, since a
/// search has to try the keys of the configuration one by one.
#[derive(Debug, Default)]
pub struct Authenticator {
    cache: Mutex<Cache>,
}

impl Authenticator {
    /// Returns the organisation that a bearer key belongs to; none if no organisation has it.
    pub fn find(&self, bearer: &str, snapshot: &Snapshot) -> Option<id::Organisation> {
        let fingerprint: Fingerprint = Sha256::digest(bearer.as_bytes()).into();
        if let Some(organisation) = self.cached(&fingerprint, snapshot.generation) {
            return Some(organisation);
        }
        let found = search(bearer, snapshot)?;
        self.insert(fingerprint, found, snapshot.generation);
        Some(found)
    }

    fn cached(
        &self,
        fingerprint: &Fingerprint,
        generation: Generation,
    ) -> Option<id::Organisation> {
        let cache = self.cache.lock().expect("the lock is never poisoned");
        if cache.generation != generation {
            return None;
        }
        let found = cache
            .entries
            .binary_search_by(|(key, _)| key.cmp(fingerprint));
        found.ok().map(|index| cache.entries[index].1)
    }

    fn insert(&self, fingerprint: Fingerprint, found: id::Organisation, generation: Generation) {
        let mut cache = self.cache.lock().expect("the lock is never poisoned");
        if generation < cache.generation {
            return;
        }
        if generation > cache.generation || cache.entries.len() >= CACHE_CAPACITY {
            *cache = Cache {
                generation,
                entries: Vec::new(),
            };
        }
        let at = cache
            .entries
            .binary_search_by(|(key, _)| key.cmp(&fingerprint));
        if let Err(index) = at {
            cache.entries.insert(index, (fingerprint, found));
        }
    }
}

fn search(bearer: &str, snapshot: &Snapshot) -> Option<id::Organisation> {
    for (id, organisation) in snapshot.config.organisations.iter() {
        if organisation.keys.iter().any(|key| key.matches(bearer)) {
            return Some(id);
        }
    }
    None
}
