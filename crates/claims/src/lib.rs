//! At most one run of each request that must not be repeated.
