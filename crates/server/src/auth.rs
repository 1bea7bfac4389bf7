//! Who sends a request, by its bearer key.

use adoption::Snapshot;
use entity::{Generation, id};
use sha2::{Digest, Sha256};
use std::sync::Mutex;

/// Most keys that are remembered.
const CAPACITY: usize = 4096;

type Fingerprint = [u8; 32];

#[derive(Debug, Default)]
struct Cache {
    generation: Generation,
    /// Sorted by the hash of the bearer key.
    known: Vec<(Fingerprint, id::Organisation)>,
}

/// Finds organisations, and remembers them within one generation, since the keys of the
/// configuration have to be tried one by one.
#[derive(Debug, Default)]
pub struct Authenticator {
    cache: Mutex<Cache>,
}

impl Authenticator {
    /// The organisation that a bearer key belongs to.
    pub fn find(&self, bearer: &str, snapshot: &Snapshot) -> Option<id::Organisation> {
        let fingerprint: Fingerprint = Sha256::digest(bearer.as_bytes()).into();
        if let Some(known) = self.recall(&fingerprint, snapshot.generation) {
            return Some(known);
        }
        let found = search(bearer, snapshot)?;
        self.remember(fingerprint, found, snapshot.generation);
        Some(found)
    }

    fn recall(
        &self,
        fingerprint: &Fingerprint,
        generation: Generation,
    ) -> Option<id::Organisation> {
        let cache = self.cache.lock().expect("no holder of this lock panics");
        if cache.generation != generation {
            return None;
        }
        let found = cache
            .known
            .binary_search_by(|(known, _)| known.cmp(fingerprint));
        found.ok().map(|index| cache.known[index].1)
    }

    fn remember(&self, fingerprint: Fingerprint, found: id::Organisation, generation: Generation) {
        let mut cache = self.cache.lock().expect("no holder of this lock panics");
        if generation < cache.generation {
            return;
        }
        if generation > cache.generation || cache.known.len() >= CAPACITY {
            *cache = Cache {
                generation,
                known: Vec::new(),
            };
        }
        let at = cache
            .known
            .binary_search_by(|(known, _)| known.cmp(&fingerprint));
        if let Err(index) = at {
            cache.known.insert(index, (fingerprint, found));
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
