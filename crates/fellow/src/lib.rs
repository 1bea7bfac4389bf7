//! Protocol between instances: digests, pulls and held records.
