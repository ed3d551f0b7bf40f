//! Both structures against plain ones that do the same.

use proptest::prelude::*;
use std::collections::{BTreeMap, HashMap};
use stonescale::time::Time;
use stonescale_store::{Set, Slots, Wheel};

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    #[test]
    fn slots_find_what_a_map_finds(steps in prop::collection::vec((0..4u8, any::<u16>()), 1..600)) {
        let (mut slots, mut map, mut numbers) = (Slots::default(), HashMap::new(), Vec::new());
        for (step, value) in steps {
            let some = numbers.get(usize::from(value) % numbers.len().max(1)).copied().unwrap_or(7);
            match step {
                0 | 1 => {
                    let number = slots.enter(value);
                    prop_assert!(map.insert(number, value).is_none(), "{number} is given already");
                    numbers.push(number);
                }
                2 => prop_assert_eq!(slots.remove(some), map.remove(&some)),
                _ => {
                    prop_assert_eq!(slots.get(some), map.get(&some));
                    if let (Some(one), Some(other)) = (slots.get_mut(some), map.get_mut(&some)) {
                        (*one, *other) = (value, value);
                    }
                }
            }
            prop_assert_eq!(slots.len(), map.len());
        }
        prop_assert!(numbers.iter().all(|n| slots.get(*n) == map.get(n)));
    }

    #[test]
    fn the_wheel_gives_timers_in_the_order_of_a_sorted_map(
        steps in prop::collection::vec((0..5u8, any::<u32>(), 0..40u32), 1..400)
    ) {
        let mut now = 1_796_000_000_000_000_000u64;
        let mut wheel = Wheel::new(Time::at(now));
        let mut map: BTreeMap<(u64, u64), u64> = BTreeMap::new();
        let mut set: Vec<(Set, (u64, u64))> = Vec::new();
        let mut order = 0;
        for (step, far, scale) in steps {
            // From nanoseconds to minutes.
            let span = u64::from(far) >> (31 - scale.min(31)) << scale.saturating_sub(31);
            match step {
                0..=2 => {
                    order += 1;
                    let key = (now + span, order);
                    set.push((wheel.set(Time::at(key.0), order), key));
                    map.insert(key, order);
                }
                3 => {
                    if !set.is_empty() {
                        let (handle, key) = set[far as usize % set.len()];
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
            // Never later than the first: whoever sleeps until then misses none.
            let first = map.first_key_value().map(|(key, _)| Time::at(key.0));
            let next = wheel.rest_until();
            prop_assert!(next.is_some() == first.is_some() && next <= first, "{next:?} {first:?}");
        }
    }
}

#[test]
fn who_sleeps_until_the_wheel_says_so_wakes_few_times_for_a_timer_far_off() {
    let start = 1_796_000_000_000_000_000;
    let mut wheel = Wheel::new(Time::at(start));
    let due = Time::at(start + 3_600_000_000_000 + 1);
    wheel.set(due, ());
    let mut wakes = 0;
    while wheel.rest_until().is_some_and(|at| wheel.pop(at).is_none()) {
        wakes += 1;
    }
    assert!(wheel.is_empty() && wakes <= 8, "{wakes}");
}

#[test]
fn what_a_flood_took_is_given_back() {
    let mut slots = Slots::default();
    let mut wheel = Wheel::new(Time::at(0));
    let all: Vec<_> = (0..100_000u64).map(|n| (slots.enter(n), wheel.set(Time::at(n), n))).collect();
    let most = (slots.occupies(), wheel.occupies());
    let stale = all[0].1;
    for (number, set) in all {
        assert!(slots.remove(number).is_some() && wheel.cancel(set).is_some());
    }
    assert!(slots.occupies() * 50 < most.0 && wheel.occupies() * 50 < most.1);
    // Handles from before stay without effect.
    let fresh = wheel.set(Time::at(5), 5);
    assert_eq!((wheel.cancel(stale), wheel.cancel(fresh)), (None, Some(5)));
}
