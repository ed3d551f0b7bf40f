//! A timer wheel in levels, from which timers can be taken back. What is due within the present tick stands in a small
//! heap, so that timers come due in the exact order of their times, and in that of their setting where those are alike.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use stonescale::time::Time;

/// A tick is 2^18 ns, a quarter of a millisecond.
const TICK: u32 = 18;
/// Slots of a level, as a power of two; each level's slot spans all of the level below.
const BITS: u32 = 6;
const SLOTS: usize = 1 << BITS;
/// 48 bits of ticks: two thousand years.
const LEVELS: usize = 8;
const NONE: u32 = u32::MAX;
/// Emptied, it keeps the memory of so many entries.
const KEPT: usize = 1_024;

/// A timer that was set; taking it back a second time, or after it came due, does nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct Set {
    at: u32,
    generation: u32,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Place {
    Free,
    /// In the heap of the present tick.
    Near,
    Slot(u8, u8),
}

struct Entry<T> {
    due: Time,
    /// Place in the order of setting.
    order: u64,
    /// Neighbours in the slot's list, or the next free one.
    before: u32,
    next: u32,
    generation: u32,
    place: Place,
    value: Option<T>,
}

pub struct Wheel<T> {
    entries: Vec<Entry<T>>,
    free: u32,
    slots: [[u32; SLOTS]; LEVELS],
    /// Which slots hold anything.
    filled: [u64; LEVELS],
    near: BinaryHeap<Reverse<(Time, u64, u32, u32)>>,
    tick: u64,
    set: u64,
    len: usize,
}

impl<T> Wheel<T> {
    pub fn new(now: Time) -> Self {
        Wheel {
            entries: Vec::new(),
            free: NONE,
            slots: [[NONE; SLOTS]; LEVELS],
            filled: [0; LEVELS],
            near: BinaryHeap::new(),
            tick: Self::tick_of(now),
            set: 0,
            len: 0,
        }
    }

    fn tick_of(time: Time) -> u64 {
        (time - Time::default()).as_nanos() >> TICK
    }

    pub fn len(&self) -> usize {
        self.len
    }

    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Bytes that it occupies.
    pub fn occupies(&self) -> usize {
        self.entries.capacity() * size_of::<Entry<T>>()
            + self.near.capacity() * size_of::<(Time, u64, u32, u32)>()
    }

    pub fn set(&mut self, due: Time, value: T) -> Set {
        self.set += 1;
        let order = self.set;
        let at = self.free;
        let at = match self.entries.get_mut(at as usize) {
            Some(entry) => {
                self.free = entry.next;
                (entry.due, entry.order, entry.value) = (due, order, Some(value));
                at
            }
            None => {
                let (generation, place) = (0, Place::Free);
                let value = Some(value);
                self.entries.push(Entry { due, order, before: NONE, next: NONE, generation, place, value });
                (self.entries.len() - 1) as u32
            }
        };
        self.len += 1;
        self.put(at);
        Set { at, generation: self.entries[at as usize].generation }
    }

    /// Puts an entry where it belongs at the present tick.
    fn put(&mut self, at: u32) {
        let entry = &mut self.entries[at as usize];
        let tick = Self::tick_of(entry.due);
        if tick <= self.tick {
            entry.place = Place::Near;
            self.near.push(Reverse((entry.due, entry.order, at, entry.generation)));
            return;
        }
        // The level is that of the highest bit in which the ticks differ: all above it is the same for both.
        let level = ((63 - (tick ^ self.tick).leading_zeros()) / BITS).min(LEVELS as u32 - 1);
        let slot = (tick >> (BITS * level)) as usize & (SLOTS - 1);
        let head = &mut self.slots[level as usize][slot];
        (entry.place, entry.before, entry.next) = (Place::Slot(level as u8, slot as u8), NONE, *head);
        let next = std::mem::replace(head, at);
        if next != NONE {
            self.entries[next as usize].before = at;
        }
        self.filled[level as usize] |= 1 << slot;
    }

    /// Takes a timer back; none where it came due or was taken back before.
    pub fn cancel(&mut self, set: Set) -> Option<T> {
        let entry = self.entries.get(set.at as usize)?;
        if entry.generation != set.generation || entry.value.is_none() {
            return None;
        }
        if let Place::Slot(level, slot) = entry.place {
            let (before, next) = (entry.before, entry.next);
            let head = &mut self.slots[usize::from(level)][usize::from(slot)];
            match before {
                NONE => *head = next,
                before => self.entries[before as usize].next = next,
            }
            if next != NONE {
                self.entries[next as usize].before = before;
            }
            if self.slots[usize::from(level)][usize::from(slot)] == NONE {
                self.filled[usize::from(level)] &= !(1 << slot);
            }
        }
        // One in the heap is known there by its generation, and passed over.
        self.release(set.at)
    }

    fn release(&mut self, at: u32) -> Option<T> {
        let entry = &mut self.entries[at as usize];
        entry.generation = entry.generation.wrapping_add(1);
        (entry.place, entry.next) = (Place::Free, self.free);
        let value = entry.value.take();
        self.free = at;
        self.len -= 1;
        if self.len == 0 && self.entries.len() > KEPT {
            // Handles of a generation that is forgotten must not fit a later one: the count goes on.
            let generation = self.entries.iter().map(|e| e.generation).max().unwrap_or(0);
            self.entries = vec![Entry {
                due: Time::default(),
                order: 0,
                before: NONE,
                next: NONE,
                generation,
                place: Place::Free,
                value: None,
            }];
            (self.free, self.near) = (0, BinaryHeap::new());
        }
        value
    }

    /// The first slot that holds anything: its level, its place, and the tick at which it begins.
    fn first(&self) -> Option<(usize, usize, u64)> {
        for level in 0..LEVELS {
            let shift = BITS * level as u32;
            let here = (self.tick >> shift) as usize & (SLOTS - 1);
            // On each level all that stands lies behind the present slot.
            let behind = self.filled[level] & (!1u64 << here);
            if behind != 0 {
                let slot = behind.trailing_zeros() as usize;
                let above = self.tick >> (shift + BITS) << (shift + BITS);
                return Some((level, slot, above | (slot as u64) << shift));
            }
        }
        None
    }

    /// When to look again: no timer comes due before; one may not come due then either, where the first are far off.
    pub fn rest_until(&mut self) -> Option<Time> {
        self.pass_over();
        if let Some(Reverse((due, ..))) = self.near.peek() {
            return Some(*due);
        }
        let (level, slot, tick) = self.first()?;
        if level > 0 {
            return Some(Time::at(tick << TICK));
        }
        let mut at = self.slots[0][slot];
        let mut first = None;
        while let Some(entry) = self.entries.get(at as usize) {
            first = Some(first.map_or(entry.due, |first: Time| first.min(entry.due)));
            at = entry.next;
        }
        first
    }

    /// Drops what was taken back from the head of the heap.
    fn pass_over(&mut self) {
        while let Some(Reverse((_, _, at, generation))) = self.near.peek() {
            let entry = self.entries.get(*at as usize);
            if entry.is_some_and(|e| e.generation == *generation && e.value.is_some()) {
                return;
            }
            self.near.pop();
        }
    }

    /// The next timer that is due at `now`, with its time.
    pub fn pop(&mut self, now: Time) -> Option<(Time, T)> {
        loop {
            self.pass_over();
            if let Some(Reverse((due, _, at, _))) = self.near.peek().copied() {
                if due > now {
                    return None;
                }
                self.near.pop();
                return self.release(at).map(|value| (due, value));
            }
            let until = Self::tick_of(now).max(self.tick);
            match self.first().filter(|(_, _, tick)| *tick <= until) {
                Some((level, slot, tick)) => {
                    self.tick = tick;
                    self.filled[level] &= !(1 << slot);
                    let mut at = std::mem::replace(&mut self.slots[level][slot], NONE);
                    while at != NONE {
                        let next = self.entries[at as usize].next;
                        self.put(at);
                        at = next;
                    }
                }
                None => {
                    self.tick = until;
                    return None;
                }
            }
        }
    }
}
