//! Steps of loops whose length grows with the number of instances, upstreams or sessions.
//!
//! Tests measure by them how the work of one event grows with the size of a deployment. They are
//! counted only in builds with debug assertions.

use std::cell::Cell;

thread_local! {
    static STEPS: Cell<u64> = const { Cell::new(0) };
}

/// Counts the steps of a loop.
pub fn count(steps: usize) {
    if cfg!(debug_assertions) {
        STEPS.set(STEPS.get() + steps as u64);
    }
}

/// Runs a function and returns its result with the steps that it took on this thread.
pub fn measure<T>(run: impl FnOnce() -> T) -> (T, u64) {
    let before = STEPS.get();
    let result = run();
    (result, STEPS.get() - before)
}
