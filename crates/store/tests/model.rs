//! Compares both structures with standard collections as models.

use proptest::prelude::*;
use std::collections::{BTreeMap, HashMap};
use stonescale::time::Time;
use stonescale_store::{Slots, TimerHandle, TimerWheel};

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn slots_agree_with_a_hash_map(steps in prop::collection::vec((0..4u8, any::<u16>()), 1..600)) {
        let (mut slots, mut map, mut keys) = (Slots::default(), HashMap::new(), Vec::new());
        for (step, value) in steps {
            let key = keys.get(usize::from(value) % keys.len().max(1)).copied().unwrap_or(7);
            match step {
                0 | 1 => {
                    let key = slots.insert(value);
                    prop_assert!(map.insert(key, value).is_none(), "key {key} is assigned twice");
                    keys.push(key);
                }
                2 => prop_assert_eq!(slots.remove(key), map.remove(&key)),
                _ => {
                    prop_assert_eq!(slots.get(key), map.get(&key));
                    if let (Some(actual), Some(modelled)) = (slots.get_mut(key), map.get_mut(&key)) {
                        (*actual, *modelled) = (value, value);
                    }
                }
            }
            prop_assert_eq!(slots.len(), map.len());
        }
        prop_assert!(keys.iter().all(|key| slots.get(*key) == map.get(key)));
    }

    #[test]
    fn the_wheel_fires_timers_in_the_order_of_a_sorted_map(
        steps in prop::collection::vec((0..5u8, any::<u32>(), 0..40u32), 1..400)
    ) {
        let mut now = 1_796_000_000_000_000_000u64;
        let mut wheel = TimerWheel::new(Time::at(now));
        let mut map: BTreeMap<(u64, u64), u64> = BTreeMap::new();
        let mut scheduled: Vec<(TimerHandle, (u64, u64))> = Vec::new();
        let mut sequence = 0;
        for (step, operand, scale) in steps {
            // From nanoseconds to minutes.
            let span = u64::from(operand) >> (31 - scale.min(31)) << scale.saturating_sub(31);
            match step {
                0..=2 => {
                    sequence += 1;
                    let key = (now + span, sequence);
                    scheduled.push((wheel.schedule(Time::at(key.0), sequence), key));
                    map.insert(key, sequence);
                }
                3 => {
                    if !scheduled.is_empty() {
                        let (handle, key) = scheduled[operand as usize % scheduled.len()];
                        prop_assert_eq!(wheel.cancel(handle), map.remove(&key));
                    }
                }
                _ => {
                    now += span;
                    loop {
                        let due = map.first_key_value().filter(|(key, _)| key.0 <= now).map(|(key, _)| *key);
                        let popped = wheel.pop(Time::at(now));
                        prop_assert_eq!(popped, due.map(|key| (Time::at(key.0), map[&key])));
                        let Some(key) = due else { break };
                        map.remove(&key);
                    }
                }
            }
            prop_assert_eq!(wheel.len(), map.len());
            // Never later than the first timer: sleeping until the wake-up time misses none.
            let first = map.first_key_value().map(|(key, _)| Time::at(key.0));
            let next = wheel.next_wakeup();
            prop_assert!(next.is_some() == first.is_some() && next <= first, "{next:?} {first:?}");
        }
    }
}

#[test]
fn a_distant_timer_causes_few_wakeups() {
    let start = 1_796_000_000_000_000_000;
    let mut wheel = TimerWheel::new(Time::at(start));
    let due = Time::at(start + 3_600_000_000_000 + 1);
    wheel.schedule(due, ());
    let mut wakeups = 0;
    while wheel.next_wakeup().is_some_and(|at| wheel.pop(at).is_none()) {
        wakeups += 1;
    }
    assert!(wheel.is_empty() && wakeups <= 8, "{wakeups} wake-ups");
}

#[test]
fn memory_is_freed_after_a_flood_and_old_handles_stay_invalid() {
    let mut slots = Slots::default();
    let mut wheel = TimerWheel::new(Time::at(0));
    let all: Vec<_> = (0..100_000u64).map(|n| (slots.insert(n), wheel.schedule(Time::at(n), n))).collect();
    let peak = (slots.allocated_bytes(), wheel.allocated_bytes());
    let stale = all[0].1;
    for (key, handle) in all {
        assert!(slots.remove(key).is_some() && wheel.cancel(handle).is_some());
    }
    assert!(slots.allocated_bytes() * 50 < peak.0 && wheel.allocated_bytes() * 50 < peak.1);
    // A handle from before the memory was freed cancels nothing.
    let fresh = wheel.schedule(Time::at(5), 5);
    assert_eq!((wheel.cancel(stale), wheel.cancel(fresh)), (None, Some(5)));
}
