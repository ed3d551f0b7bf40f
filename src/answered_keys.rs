//! Which build has answered which key: where keys may not return, no hit of a key goes to a build lower than the highest
//! one that has answered it, announced or not.

use std::collections::HashMap;

/// Most keys that are remembered: 57,344 fill a hash table of 64 Ki places, about a megabyte. Past it, new keys stay with
/// the earlier build as long as that has nodes, since a forgotten key might return to it.
pub const MAX_ANSWERED_KEYS: usize = (1 << 16) / 8 * 7;

/// The keys with the highest build that has answered each.
#[derive(Debug, Default)]
pub struct AnsweredKeys {
    builds: HashMap<u64, u16>,
    /// The newest announced build for which room was made in a full table; there is nothing more to forget for it.
    room_made_for: Option<u16>,
}

impl AnsweredKeys {
    /// The highest build that has answered the key, as far as it is remembered.
    pub fn build_of(&self, key: u64) -> Option<u16> {
        self.builds.get(&key).copied()
    }

    /// No further key can be remembered.
    pub fn is_full(&self) -> bool {
        self.builds.len() >= MAX_ANSWERED_KEYS
    }

    /// Records that a build has answered a key. If the table is full, keys of builds lower than `newest`, the newest
    /// announced build, make room; without any the key is not remembered.
    pub fn record(&mut self, key: u64, build: u16, newest: u16) {
        if let Some(highest) = self.builds.get_mut(&key) {
            *highest = build.max(*highest);
            return;
        }
        if self.is_full() && self.room_made_for != Some(newest) {
            self.room_made_for = Some(newest);
            self.builds.retain(|_, highest| *highest >= newest);
        }
        if !self.is_full() {
            self.builds.insert(key, build);
        }
    }

    /// Forgets the keys of builds lower than `previous`, the build announced before the newest one: they were released
    /// long ago.
    pub fn forget_before(&mut self, previous: u16) {
        self.builds.retain(|_, highest| *highest >= previous);
    }

    /// Forgets the keys of a build that goes back, and of later ones: they return to the builds before.
    pub fn forget_withdrawn(&mut self, build: u16) {
        self.builds.retain(|_, highest| *highest < build);
    }
}
