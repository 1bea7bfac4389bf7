//! Fault switches: a JSON object that is merged into the present ones.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Settings of a stand-in.
#[derive(Clone, Debug)]
pub struct Options<F> {
    /// Where it listens.
    pub address: SocketAddr,
    /// Seed of the random faults.
    pub seed: u64,
    /// Fault switches at the start.
    pub faults: F,
}

impl<F: Default> Default for Options<F> {
    fn default() -> Self {
        Self {
            address: ([127, 0, 0, 1], 0).into(),
            seed: 1,
            faults: F::default(),
        }
    }
}

/// The fault switches of one stand-in, with the seeded source of its random faults.
#[derive(Debug)]
pub struct Switch<F> {
    state: Mutex<(F, ChaCha8Rng)>,
}

impl<F: Clone + Serialize + DeserializeOwned> Switch<F> {
    /// Switches in their first position.
    pub fn new(faults: F, seed: u64) -> Self {
        Self {
            state: Mutex::new((faults, ChaCha8Rng::seed_from_u64(seed))),
        }
    }

    fn lock(&self) -> MutexGuard<'_, (F, ChaCha8Rng)> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// The present faults.
    pub fn get(&self) -> F {
        self.lock().0.clone()
    }

    /// Whether an event happens that has this probability.
    pub fn happens(&self, probability: f64) -> bool {
        probability > 0.0 && self.lock().1.random_bool(probability.min(1.0))
    }

    /// A uniform number from -1 to 1.
    pub fn deviation(&self) -> f64 {
        self.lock().1.random_range(-1.0..=1.0)
    }

    /// Merges a JSON object; keys that it lacks keep their value.
    ///
    /// # Errors
    ///
    /// Returns an error where the text is no JSON object or a key or value is unknown.
    pub fn merge(&self, patch: &[u8]) -> serde_json::Result<()> {
        let mut state = self.lock();
        state.0 = merge(&state.0, patch)?;
        Ok(())
    }
}

/// Faults with the keys of a JSON object replaced.
///
/// # Errors
///
/// Returns an error where the text is no JSON object or a key or value is unknown.
pub fn merge<F: Serialize + DeserializeOwned>(faults: &F, patch: &[u8]) -> serde_json::Result<F> {
    let patch: Map<String, Value> = serde_json::from_slice(patch)?;
    let mut merged = serde_json::to_value(faults)?;
    for (key, value) in patch {
        merged[key] = value;
    }
    serde_json::from_value(merged)
}
