//! A slab with generations whose keys are plain numbers: the low bits of a number are its slot, the high bits its
//! generation. Numbers are given out one after the other, and one whose slot is taken is passed over, so that finding
//! needs neither a hash nor a search. A number comes again only after all of 32 bits.

/// Slots at the least.
const LEAST: usize = 64;
/// Of the slots at most this part is taken: on a whole turn of the numbers, at most four are looked at for each given.
const FULL: (usize, usize) = (3, 4);
/// Emptied, it keeps this many slots; those of a flood are given back.
const KEPT: usize = 1_024;

pub struct Slots<T> {
    /// A power of two of them, each with the number that has it.
    rows: Vec<Option<(u32, T)>>,
    last: u32,
    taken: usize,
}

impl<T> Default for Slots<T> {
    fn default() -> Self {
        Slots { rows: Vec::new(), last: 0, taken: 0 }
    }
}

impl<T> Slots<T> {
    fn slot(&self, number: u32) -> usize {
        number as usize & (self.rows.len() - 1)
    }

    /// Takes in a value and returns its number. Zero is never given.
    pub fn enter(&mut self, value: T) -> u32 {
        if self.taken * FULL.1 >= self.rows.len() * FULL.0 {
            self.grow();
        }
        loop {
            self.last = self.last.wrapping_add(1);
            let at = self.slot(self.last);
            if self.last != 0 && self.rows[at].is_none() {
                self.rows[at] = Some((self.last, value));
                self.taken += 1;
                return self.last;
            }
        }
    }

    /// Twice as many slots: numbers that differ in their low bits still do with one bit more.
    fn grow(&mut self) {
        let size = (self.rows.len() * 2).max(LEAST);
        let mut rows = Vec::with_capacity(size);
        rows.resize_with(size, || None);
        for (number, value) in std::mem::replace(&mut self.rows, rows).into_iter().flatten() {
            let at = self.slot(number);
            self.rows[at] = Some((number, value));
        }
    }

    pub fn get(&self, number: u32) -> Option<&T> {
        if self.rows.is_empty() {
            return None;
        }
        self.rows[self.slot(number)].as_ref().filter(|(has, _)| *has == number).map(|(_, value)| value)
    }

    pub fn get_mut(&mut self, number: u32) -> Option<&mut T> {
        if self.rows.is_empty() {
            return None;
        }
        let at = self.slot(number);
        self.rows[at].as_mut().filter(|(has, _)| *has == number).map(|(_, value)| value)
    }

    pub fn remove(&mut self, number: u32) -> Option<T> {
        if self.rows.is_empty() {
            return None;
        }
        let at = self.slot(number);
        let (_, value) = self.rows[at].take_if(|(has, _)| *has == number)?;
        self.taken -= 1;
        if self.taken == 0 && self.rows.len() > KEPT {
            self.rows = Vec::new();
        }
        Some(value)
    }

    pub fn len(&self) -> usize {
        self.taken
    }

    pub fn is_empty(&self) -> bool {
        self.taken == 0
    }

    /// Numbers given out so far, those passed over counted in.
    pub fn last(&self) -> u32 {
        self.last
    }

    /// Bytes that it occupies.
    pub fn occupies(&self) -> usize {
        self.rows.capacity() * size_of::<Option<(u32, T)>>()
    }
}
