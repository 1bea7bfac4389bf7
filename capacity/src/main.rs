//! Measures slopes per role and works out the load of the target size.

fn main() {}
