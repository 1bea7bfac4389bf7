//! citrontrack: a model-aware router for versions and cascades.
fn main() {}
