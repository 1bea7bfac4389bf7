//! Vectors of key-value pairs, sorted by key.

/// Returns the value of a key, and inserts `new()` if the key is missing.
pub fn entry<'a, K: Ord + Clone, V>(
    pairs: &'a mut Vec<(K, V)>,
    key: &K,
    new: impl FnOnce() -> V,
) -> &'a mut V {
    let found = pairs.binary_search_by(|(other, _)| other.cmp(key));
    let index = found.unwrap_or_else(|index| {
        pairs.insert(index, (key.clone(), new()));
        index
    });
    &mut pairs[index].1
}
