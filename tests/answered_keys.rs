//! Which keys are remembered, for how long, and what happens when there is no room.

use stonescale::answered_keys::{AnsweredKeys, MAX_ANSWERED_KEYS};

#[test]
fn the_highest_build_that_answered_a_key_counts() {
    let mut keys = AnsweredKeys::default();
    keys.record(7, 5, 4);
    keys.record(7, 4, 4);
    assert_eq!((keys.build_of(7), keys.build_of(8)), (Some(5), None));
}

#[test]
fn a_withdrawn_build_loses_its_keys_and_no_other_does() {
    let mut keys = AnsweredKeys::default();
    (4..=6).for_each(|build| keys.record(u64::from(build), build, 4));
    keys.forget_withdrawn(5);
    assert_eq!([4, 5, 6].map(|key| keys.build_of(key)), [Some(4), None, None]);
}

#[test]
fn keys_are_kept_over_one_further_build() {
    let mut keys = AnsweredKeys::default();
    (4..=6).for_each(|build| keys.record(u64::from(build), build, 4));
    keys.forget_before(5);
    assert_eq!([4, 5, 6].map(|key| keys.build_of(key)), [None, Some(5), Some(6)]);
}

/// Without this, keys of builds that were released long ago would keep all new keys from the build on trial.
#[test]
fn a_full_table_makes_room_by_the_keys_of_earlier_builds_only() {
    let mut keys = AnsweredKeys::default();
    (0..MAX_ANSWERED_KEYS as u64).for_each(|key| keys.record(key, 4 + (key % 2) as u16, 4));
    assert!(keys.is_full());
    keys.record(u64::MAX, 5, 5);
    assert!(!keys.is_full());
    assert_eq!([0, 1, u64::MAX].map(|key| keys.build_of(key)), [None, Some(5), Some(5)]);
    (0..MAX_ANSWERED_KEYS as u64).for_each(|key| keys.record(1_000_000 + key, 5, 5));
    assert!(keys.is_full());
    keys.record(u64::MAX - 1, 5, 5);
    assert_eq!(keys.build_of(u64::MAX - 1), None, "keys of the newest build stay");
}
