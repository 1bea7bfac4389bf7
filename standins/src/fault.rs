//! Fault switches, which a JSON object changes key by key.

use rand::{RngExt, SeedableRng};
use rand_chacha::ChaCha8Rng;
use serde::Serialize;
use serde::de::DeserializeOwned;
use serde_json::{Map, Value};
use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};

/// Options of a stand-in.
#[derive(Clone, Debug)]
pub struct Options<F> {
    /// Address that the stand-in listens on.
    pub address: SocketAddr,
    /// Seed of the random faults.
    pub seed: u64,
    /// Initial fault switches.
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

/// The fault switches of one stand-in, with the seeded random number generator of its faults.
#[derive(Debug)]
pub struct Switches<F> {
    state: Mutex<(F, ChaCha8Rng)>,
}

impl<F: Clone + Serialize + DeserializeOwned> Switches<F> {
    /// Creates the switches with their initial values.
    pub fn new(faults: F, seed: u64) -> Self {
        Self {
            state: Mutex::new((faults, ChaCha8Rng::seed_from_u64(seed))),
        }
    }

    fn lock(&self) -> MutexGuard<'_, (F, ChaCha8Rng)> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Returns the current fault switches.
    pub fn get(&self) -> F {
        self.lock().0.clone()
    }

    /// Decides at random, with this probability, whether to inject a fault.
    pub fn should_inject(&self, probability: f64) -> bool {
        probability > 0.0 && self.lock().1.random_bool(probability.min(1.0))
    }

    /// Returns a uniformly distributed number from -1 to 1.
    pub fn random_deviation(&self) -> f64 {
        self.lock().1.random_range(-1.0..=1.0)
    }

    /// Merges a JSON object into the switches; keys that it does not contain keep their value.
    ///
    /// # Errors
    ///
    /// Returns an error if the text is not a JSON object, or if a key or value is unknown.
    pub fn merge(&self, patch: &[u8]) -> serde_json::Result<()> {
        let mut state = self.lock();
        state.0 = merge(&state.0, patch)?;
        Ok(())
    }
}

/// Returns the faults with the keys of a JSON object replaced.
///
/// # Errors
///
/// Returns an error if the text is not a JSON object, or if a key or value is unknown.
pub fn merge<F: Serialize + DeserializeOwned>(faults: &F, patch: &[u8]) -> serde_json::Result<F> {
    let patch: Map<String, Value> = serde_json::from_slice(patch)?;
    let mut merged = serde_json::to_value(faults)?;
    for (key, value) in patch {
        merged[key] = value;
    }
    serde_json::from_value(merged)
}
