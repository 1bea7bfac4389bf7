//! Vectors of pairs that are sorted by their keys.

/// The value of a key, which is inserted where there is none.
pub fn entry<'a, K: Ord + Clone, V>(
    pairs: &'a mut Vec<(K, V)>,
    key: &K,
    new: impl FnOnce() -> V,
) -> &'a mut V {
    let found = pairs.binary_search_by(|(known, _)| known.cmp(key));
    let index = found.unwrap_or_else(|index| {
        pairs.insert(index, (key.clone(), new()));
        index
    });
    &mut pairs[index].1
}
