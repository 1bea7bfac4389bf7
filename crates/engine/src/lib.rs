//! Fenced orders to model engines.
