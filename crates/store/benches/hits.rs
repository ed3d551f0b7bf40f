//! In-flight hits by key: a hash map against `Slots`, used as the core uses them. Run with
//! `cargo bench -p stonescale-store`.

use divan::{AllocProfiler, Bencher, black_box};
use std::collections::{HashMap, VecDeque};
use stonescale_store::Slots;

#[global_allocator]
static ALLOCATOR: AllocProfiler = AllocProfiler::system();

fn main() {
    divan::main();
}

/// A value as large as the core's record of a hit.
type HitRecord = [u64; 20];
const OPEN_HITS: [usize; 3] = [100, 10_000, 1_000_000];
/// Hits in one sample: each is inserted, looked up for its forward, its answer and its end, and removed.
const HITS_PER_SAMPLE: usize = 1_000;

#[divan::bench(args = OPEN_HITS)]
fn map(bencher: Bencher, open_hits: usize) {
    let (mut map, mut last_key, mut order) = (HashMap::<u32, HitRecord>::new(), 0u32, VecDeque::new());
    let mut insert = |map: &mut HashMap<u32, HitRecord>, order: &mut VecDeque<u32>| {
        last_key += 1;
        map.insert(last_key, [1; 20]);
        order.push_back(last_key);
    };
    (0..open_hits).for_each(|_| insert(&mut map, &mut order));
    bencher.counter(HITS_PER_SAMPLE).bench_local(|| {
        for _ in 0..HITS_PER_SAMPLE {
            insert(&mut map, &mut order);
            let oldest = order.pop_front().unwrap();
            for _ in 0..3 {
                map.get_mut(&oldest).unwrap()[0] += 1;
            }
            black_box(map.remove(&oldest));
        }
    });
}

#[divan::bench(args = OPEN_HITS)]
fn slots(bencher: Bencher, open_hits: usize) {
    let (mut slots, mut order) = (Slots::<HitRecord>::default(), VecDeque::new());
    (0..open_hits).for_each(|_| order.push_back(slots.insert([1; 20])));
    bencher.counter(HITS_PER_SAMPLE).bench_local(|| {
        for _ in 0..HITS_PER_SAMPLE {
            order.push_back(slots.insert([1; 20]));
            let oldest = order.pop_front().unwrap();
            for _ in 0..3 {
                slots.get_mut(oldest).unwrap()[0] += 1;
            }
            black_box(slots.remove(oldest));
        }
    });
}

/// The memory of this many hits: the bytes still allocated at the end of a sample.
#[divan::bench(args = OPEN_HITS, sample_count = 3)]
fn map_filled(open_hits: usize) -> HashMap<u32, HitRecord> {
    (0..open_hits as u32).map(|key| (key, [1; 20])).collect::<Vec<_>>().into_iter().fold(
        HashMap::new(),
        |mut map, (key, hit)| {
            map.insert(key, hit);
            map
        },
    )
}

#[divan::bench(args = OPEN_HITS, sample_count = 3)]
fn slots_filled(open_hits: usize) -> Slots<HitRecord> {
    let mut slots = Slots::default();
    (0..open_hits).for_each(|_| {
        slots.insert([1; 20]);
    });
    slots
}
