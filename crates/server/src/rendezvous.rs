//! Rendezvous hashing over instances: who is home of what, without a message.

use entity::name;
use std::cmp::Reverse;

/// Orders instances, the home first, by a text that all of them know (Thaler and Ravishankar, "Using
/// name-based mappings to increase hit rates", 1998). `name` tells the name of one.
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
