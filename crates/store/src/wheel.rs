//! A hierarchical timer wheel whose timers can be cancelled. Timers of the current tick are kept in a small heap, so
//! that timers fire in the exact order of their due times, and in the order of scheduling where those are equal.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use stonescale::time::Time;

/// A tick is 2^18 ns, about a quarter of a millisecond.
const TICK_BITS: u32 = 18;
/// The number of slots in a level, as a power of two. A slot spans the whole level below.
const LEVEL_BITS: u32 = 6;
const SLOTS_PER_LEVEL: usize = 1 << LEVEL_BITS;
/// 48 bits of ticks: two thousand years.
const LEVELS: usize = 8;
/// The index of no entry.
const NIL: u32 = u32::MAX;
/// An empty wheel keeps the memory of at most this many entries.
const MAX_RETAINED_ENTRIES: usize = 1_024;

/// A scheduled timer. Cancelling it a second time, or after it fired, does nothing.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct TimerHandle {
    index: u32,
    generation: u32,
}

#[derive(Clone, Copy, PartialEq, Eq)]
enum Location {
    Free,
    /// In the heap of the current tick.
    Heap,
    /// In the list of a slot, by level and slot.
    Slot(u8, u8),
}

struct Entry<T> {
    due: Time,
    /// Position in the order of scheduling.
    sequence: u64,
    /// Neighbours in the slot's list, or the next free entry.
    previous: u32,
    next: u32,
    generation: u32,
    location: Location,
    value: Option<T>,
}

/// The wheel: entries by index, linked into lists by slot.
pub struct TimerWheel<T> {
    entries: Vec<Entry<T>>,
    first_free: u32,
    slots: [[u32; SLOTS_PER_LEVEL]; LEVELS],
    /// Bit sets of the slots that hold entries.
    occupied: [u64; LEVELS],
    heap: BinaryHeap<Reverse<(Time, u64, u32, u32)>>,
    current_tick: u64,
    last_sequence: u64,
    len: usize,
}

impl<T> TimerWheel<T> {
    /// An empty wheel, with `now` in its current tick.
    pub fn new(now: Time) -> Self {
        TimerWheel {
            entries: Vec::new(),
            first_free: NIL,
            slots: [[NIL; SLOTS_PER_LEVEL]; LEVELS],
            occupied: [0; LEVELS],
            heap: BinaryHeap::new(),
            current_tick: Self::tick_of(now),
            last_sequence: 0,
            len: 0,
        }
    }

    fn tick_of(time: Time) -> u64 {
        (time - Time::default()).as_nanos() >> TICK_BITS
    }

    /// The number of scheduled timers.
    pub fn len(&self) -> usize {
        self.len
    }

    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Bytes that it has allocated.
    pub fn allocated_bytes(&self) -> usize {
        self.entries.capacity() * size_of::<Entry<T>>()
            + self.heap.capacity() * size_of::<(Time, u64, u32, u32)>()
    }

    /// Schedules a timer that fires at `due` with `value`.
    pub fn schedule(&mut self, due: Time, value: T) -> TimerHandle {
        self.last_sequence += 1;
        let sequence = self.last_sequence;
        let index = self.first_free;
        let index = match self.entries.get_mut(index as usize) {
            Some(entry) => {
                self.first_free = entry.next;
                (entry.due, entry.sequence, entry.value) = (due, sequence, Some(value));
                index
            }
            None => {
                let (generation, location) = (0, Location::Free);
                let value = Some(value);
                self.entries.push(Entry {
                    due,
                    sequence,
                    previous: NIL,
                    next: NIL,
                    generation,
                    location,
                    value,
                });
                (self.entries.len() - 1) as u32
            }
        };
        self.len += 1;
        self.place(index);
        TimerHandle { index, generation: self.entries[index as usize].generation }
    }

    /// Puts an entry into the heap or into its slot, relative to the current tick.
    fn place(&mut self, index: u32) {
        let entry = &mut self.entries[index as usize];
        let tick = Self::tick_of(entry.due);
        if tick <= self.current_tick {
            entry.location = Location::Heap;
            self.heap.push(Reverse((entry.due, entry.sequence, index, entry.generation)));
            return;
        }
        // The level is that of the highest bit in which the ticks differ: all bits above it are the same for both.
        let level = ((63 - (tick ^ self.current_tick).leading_zeros()) / LEVEL_BITS).min(LEVELS as u32 - 1);
        let slot = (tick >> (LEVEL_BITS * level)) as usize & (SLOTS_PER_LEVEL - 1);
        let head = &mut self.slots[level as usize][slot];
        (entry.location, entry.previous, entry.next) = (Location::Slot(level as u8, slot as u8), NIL, *head);
        let next = std::mem::replace(head, index);
        if next != NIL {
            self.entries[next as usize].previous = index;
        }
        self.occupied[level as usize] |= 1 << slot;
    }

    /// Cancels a timer and returns its value; `None` if it fired or was cancelled before.
    pub fn cancel(&mut self, handle: TimerHandle) -> Option<T> {
        let entry = self.entries.get(handle.index as usize)?;
        if entry.generation != handle.generation || entry.value.is_none() {
            return None;
        }
        if let Location::Slot(level, slot) = entry.location {
            let (previous, next) = (entry.previous, entry.next);
            let head = &mut self.slots[usize::from(level)][usize::from(slot)];
            match previous {
                NIL => *head = next,
                previous => self.entries[previous as usize].next = next,
            }
            if next != NIL {
                self.entries[next as usize].previous = previous;
            }
            if self.slots[usize::from(level)][usize::from(slot)] == NIL {
                self.occupied[usize::from(level)] &= !(1 << slot);
            }
        }
        // An entry in the heap stays there: its old generation marks it as cancelled.
        self.free_entry(handle.index)
    }

    fn free_entry(&mut self, index: u32) -> Option<T> {
        let entry = &mut self.entries[index as usize];
        entry.generation = entry.generation.wrapping_add(1);
        (entry.location, entry.next) = (Location::Free, self.first_free);
        let value = entry.value.take();
        self.first_free = index;
        self.len -= 1;
        if self.len == 0 && self.entries.len() > MAX_RETAINED_ENTRIES {
            // Continues from the highest generation, so that a handle to a dropped entry matches no later timer.
            let generation = self.entries.iter().map(|e| e.generation).max().unwrap_or(0);
            self.entries = vec![Entry {
                due: Time::default(),
                sequence: 0,
                previous: NIL,
                next: NIL,
                generation,
                location: Location::Free,
                value: None,
            }];
            (self.first_free, self.heap) = (0, BinaryHeap::new());
        }
        value
    }

    /// The earliest occupied slot: its level, its index, and the tick at which it begins.
    fn first_occupied(&self) -> Option<(usize, usize, u64)> {
        for level in 0..LEVELS {
            let shift = LEVEL_BITS * level as u32;
            let current_slot = (self.current_tick >> shift) as usize & (SLOTS_PER_LEVEL - 1);
            // On each level, all occupied slots come after the current one.
            let later_slots = self.occupied[level] & (!1u64 << current_slot);
            if later_slots != 0 {
                let slot = later_slots.trailing_zeros() as usize;
                let level_start = self.current_tick >> (shift + LEVEL_BITS) << (shift + LEVEL_BITS);
                return Some((level, slot, level_start | (slot as u64) << shift));
            }
        }
        None
    }

    /// When to call `pop` next. No timer is due before that time, but none may be due then either, as slots of the
    /// higher levels only give a lower bound.
    pub fn next_wakeup(&mut self) -> Option<Time> {
        self.drop_cancelled();
        if let Some(Reverse((due, ..))) = self.heap.peek() {
            return Some(*due);
        }
        let (level, slot, tick) = self.first_occupied()?;
        if level > 0 {
            return Some(Time::at(tick << TICK_BITS));
        }
        let mut index = self.slots[0][slot];
        let mut earliest = None;
        while let Some(entry) = self.entries.get(index as usize) {
            earliest = Some(earliest.map_or(entry.due, |earliest: Time| earliest.min(entry.due)));
            index = entry.next;
        }
        earliest
    }

    /// Drops cancelled timers from the top of the heap.
    fn drop_cancelled(&mut self) {
        while let Some(Reverse((_, _, index, generation))) = self.heap.peek() {
            let entry = self.entries.get(*index as usize);
            if entry.is_some_and(|e| e.generation == *generation && e.value.is_some()) {
                return;
            }
            self.heap.pop();
        }
    }

    /// Removes the next timer that is due at `now`, and returns its due time and value.
    pub fn pop(&mut self, now: Time) -> Option<(Time, T)> {
        loop {
            self.drop_cancelled();
            if let Some(Reverse((due, _, index, _))) = self.heap.peek().copied() {
                if due > now {
                    return None;
                }
                self.heap.pop();
                return self.free_entry(index).map(|value| (due, value));
            }
            let now_tick = Self::tick_of(now).max(self.current_tick);
            match self.first_occupied().filter(|(_, _, tick)| *tick <= now_tick) {
                Some((level, slot, tick)) => {
                    self.current_tick = tick;
                    self.occupied[level] &= !(1 << slot);
                    let mut index = std::mem::replace(&mut self.slots[level][slot], NIL);
                    while index != NIL {
                        let next = self.entries[index as usize].next;
                        self.place(index);
                        index = next;
                    }
                }
                None => {
                    self.current_tick = now_tick;
                    return None;
                }
            }
        }
    }
}
