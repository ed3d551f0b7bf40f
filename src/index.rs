//! Dense indices for external ids, so that state can live in plain vectors, and the hash that all marshals
//! compute alike.

use std::collections::HashMap;
use std::hash::Hash;

/// Assigns small indices to ids. The index of a removed id is assigned again.
pub struct IdIndex<K> {
    indices: HashMap<K, usize>,
    free: Vec<usize>,
    next: usize,
}

impl<K: Copy + Eq + Hash> Default for IdIndex<K> {
    fn default() -> Self {
        IdIndex { indices: HashMap::new(), free: Vec::new(), next: 0 }
    }
}

impl<K: Copy + Eq + Hash> IdIndex<K> {
    /// The index of an id, newly assigned if the id has none.
    pub fn insert(&mut self, id: K) -> usize {
        if let Some(&index) = self.indices.get(&id) {
            return index;
        }
        let index = self.free.pop().unwrap_or_else(|| {
            self.next += 1;
            self.next - 1
        });
        self.indices.insert(id, index);
        index
    }

    /// The index of an id; `None` if none is assigned.
    pub fn get(&self, id: K) -> Option<usize> {
        self.indices.get(&id).copied()
    }

    /// Frees the index of an id; an id without one is ignored.
    pub fn remove(&mut self, id: K) {
        if let Some(index) = self.indices.remove(&id) {
            self.free.push(index);
        }
    }
}

/// Hash of a pair of numbers, evenly distributed and the same on every machine.
pub fn hash_pair(first: u64, second: u64) -> u64 {
    let x = first.wrapping_mul(0x9e37_79b9_7f4a_7c15)
        ^ second.wrapping_add(1).wrapping_mul(0xd6e8_feb8_6659_fd93);
    let x = (x ^ (x >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let x = (x ^ (x >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    x ^ (x >> 31)
}
