//! A slab with generational keys: the low bits of a key are its slot, the high bits its generation. Keys are
//! assigned in ascending order, and a key whose slot is occupied is skipped, so that a lookup needs neither a hash
//! nor a search. A key is reused only after all 32-bit values.

/// The smallest number of slots.
const MIN_SLOTS: usize = 64;
/// The largest load factor, as a fraction: over a full cycle of the slots, at most four keys are tried for each one
/// assigned.
const MAX_LOAD: (usize, usize) = (3, 4);
/// An empty slab keeps at most this many slots; more of them, from a flood, are freed.
const MAX_RETAINED_SLOTS: usize = 1_024;

/// Values by generational key.
pub struct Slots<T> {
    /// The slots, each with the key that occupies it; their number is a power of two.
    slots: Vec<Option<(u32, T)>>,
    last_key: u32,
    len: usize,
}

impl<T> Default for Slots<T> {
    fn default() -> Self {
        Slots { slots: Vec::new(), last_key: 0, len: 0 }
    }
}

impl<T> Slots<T> {
    fn slot(&self, key: u32) -> usize {
        key as usize & (self.slots.len() - 1)
    }

    /// Inserts a value and returns its key, which is never zero.
    pub fn insert(&mut self, value: T) -> u32 {
        if self.len * MAX_LOAD.1 >= self.slots.len() * MAX_LOAD.0 {
            self.grow();
        }
        loop {
            self.last_key = self.last_key.wrapping_add(1);
            let slot = self.slot(self.last_key);
            if self.last_key != 0 && self.slots[slot].is_none() {
                self.slots[slot] = Some((self.last_key, value));
                self.len += 1;
                return self.last_key;
            }
        }
    }

    /// Doubles the number of slots: keys that differ in their low bits still differ with one bit more.
    fn grow(&mut self) {
        let size = (self.slots.len() * 2).max(MIN_SLOTS);
        let mut slots = Vec::with_capacity(size);
        slots.resize_with(size, || None);
        for (key, value) in std::mem::replace(&mut self.slots, slots).into_iter().flatten() {
            let slot = self.slot(key);
            self.slots[slot] = Some((key, value));
        }
    }

    /// The value of a key; `None` once it is removed, even if its slot holds another value.
    pub fn get(&self, key: u32) -> Option<&T> {
        if self.slots.is_empty() {
            return None;
        }
        self.slots[self.slot(key)].as_ref().filter(|(occupant, _)| *occupant == key).map(|(_, value)| value)
    }

    pub fn get_mut(&mut self, key: u32) -> Option<&mut T> {
        if self.slots.is_empty() {
            return None;
        }
        let slot = self.slot(key);
        self.slots[slot].as_mut().filter(|(occupant, _)| *occupant == key).map(|(_, value)| value)
    }

    /// Removes and returns the value of a key; `None` if it was removed before.
    pub fn remove(&mut self, key: u32) -> Option<T> {
        if self.slots.is_empty() {
            return None;
        }
        let slot = self.slot(key);
        let (_, value) = self.slots[slot].take_if(|(occupant, _)| *occupant == key)?;
        self.len -= 1;
        if self.len == 0 && self.slots.len() > MAX_RETAINED_SLOTS {
            self.slots = Vec::new();
        }
        Some(value)
    }

    pub fn len(&self) -> usize {
        self.len
    }

    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// The last key assigned. Until the keys wrap around it is also the number of keys used, skipped ones included.
    pub fn last_key(&self) -> u32 {
        self.last_key
    }

    /// Bytes that it has allocated.
    pub fn allocated_bytes(&self) -> usize {
        self.slots.capacity() * size_of::<Option<(u32, T)>>()
    }
}
