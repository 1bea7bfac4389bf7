//! Rendezvous hashing over instances, which assigns an owner to each key without communication.

use entity::name;
use std::cmp::Reverse;

/// Orders instances by their rank for a key that all of them know, the owner first (Thaler and
/// Ravishankar, "Using name-based mappings to increase hit rates", 1998). `name` returns the name
/// of an element.
pub fn ranked<'a, T>(
    instances: impl Iterator<Item = &'a T>,
    name: impl Fn(&T) -> &name::Instance,
    text: &str,
) -> Vec<&'a T> {
    let key = routing::hash::text(text);
    let mut weighted: Vec<_> = instances
        .map(|instance| {
            let node = routing::hash::text(name(instance).as_str());
            (routing::hash::weight(key, node), instance)
        })
        .collect();
    weighted.sort_by(|(left, a), (right, b)| {
        let by_weight = Reverse(left).cmp(&Reverse(right));
        by_weight.then_with(|| name(a).cmp(name(b)))
    });
    weighted.into_iter().map(|(_, instance)| instance).collect()
}
