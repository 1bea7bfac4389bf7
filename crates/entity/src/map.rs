//! Vectors indexed by a dense id.

use crate::id::Id;
use std::marker::PhantomData;
use std::ops::{Index, IndexMut};

/// A vector indexed by the dense id `K`.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Map<K, V> {
    values: Vec<V>,
    key: PhantomData<K>,
}

impl<K: Id, V> Map<K, V> {
    /// Creates a map of the values, keyed by their positions.
    pub fn new(values: Vec<V>) -> Self {
        Self {
            values,
            key: PhantomData,
        }
    }

    /// Creates a map with `count` copies of a value.
    pub fn filled(value: V, count: usize) -> Self
    where
        V: Clone,
    {
        Self::new(vec![value; count])
    }

    /// Returns the number of values.
    pub fn len(&self) -> usize {
        self.values.len()
    }

    /// Returns whether the map has no values.
    pub fn is_empty(&self) -> bool {
        self.values.is_empty()
    }

    /// Returns the value of a key, or `None` if the key is out of range.
    pub fn get(&self, key: K) -> Option<&V> {
        self.values.get(key.index())
    }

    /// Returns the value of a key for modification, or `None` if the key is out of range.
    pub fn get_mut(&mut self, key: K) -> Option<&mut V> {
        self.values.get_mut(key.index())
    }

    /// Returns all keys, in order.
    pub fn keys(&self) -> impl Iterator<Item = K> + use<K, V> {
        (0..self.values.len()).map(K::new)
    }

    /// Returns all keys with their values, in order.
    pub fn iter(&self) -> impl Iterator<Item = (K, &V)> {
        self.values
            .iter()
            .enumerate()
            .map(|(index, value)| (K::new(index), value))
    }

    /// Returns all keys with mutable references to their values, in order.
    pub fn iter_mut(&mut self) -> impl Iterator<Item = (K, &mut V)> {
        self.values
            .iter_mut()
            .enumerate()
            .map(|(index, value)| (K::new(index), value))
    }

    /// Returns all values, in the order of their keys.
    pub fn values(&self) -> &[V] {
        &self.values
    }

    /// Appends a value and returns its key.
    pub fn push(&mut self, value: V) -> K {
        let key = K::new(self.values.len());
        self.values.push(value);
        key
    }
}

impl<K: Id, V> Default for Map<K, V> {
    fn default() -> Self {
        Self::new(Vec::new())
    }
}

impl<K: Id, V> Index<K> for Map<K, V> {
    type Output = V;

    fn index(&self, key: K) -> &V {
        &self.values[key.index()]
    }
}

impl<K: Id, V> IndexMut<K> for Map<K, V> {
    fn index_mut(&mut self, key: K) -> &mut V {
        &mut self.values[key.index()]
    }
}
