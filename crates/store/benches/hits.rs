//! Hits in work: a map by number against `Slots`, as the core uses them. Run with `cargo bench -p stonescale-store`.

use divan::{AllocProfiler, Bencher, black_box};
use std::collections::{HashMap, VecDeque};
use stonescale_store::Slots;

#[global_allocator]
static ALLOCATOR: AllocProfiler = AllocProfiler::system();

fn main() {
    divan::main();
}

/// As large as the core's record of a hit.
type Open = [u64; 20];
const OPEN: [usize; 3] = [100, 10_000, 1_000_000];
/// Hits in one sample: each is entered, looked at for its forward, its answer and its end, and removed.
const HITS: usize = 1_000;

#[divan::bench(args = OPEN)]
fn map(bencher: Bencher, open: usize) {
    let (mut map, mut last, mut order) = (HashMap::<u32, Open>::new(), 0u32, VecDeque::new());
    let mut enter = |map: &mut HashMap<u32, Open>, order: &mut VecDeque<u32>| {
        last += 1;
        map.insert(last, [1; 20]);
        order.push_back(last);
    };
    (0..open).for_each(|_| enter(&mut map, &mut order));
    bencher.counter(HITS).bench_local(|| {
        for _ in 0..HITS {
            enter(&mut map, &mut order);
            let done = order.pop_front().unwrap();
            for _ in 0..3 {
                map.get_mut(&done).unwrap()[0] += 1;
            }
            black_box(map.remove(&done));
        }
    });
}

#[divan::bench(args = OPEN)]
fn slots(bencher: Bencher, open: usize) {
    let (mut slots, mut order) = (Slots::<Open>::default(), VecDeque::new());
    (0..open).for_each(|_| order.push_back(slots.enter([1; 20])));
    bencher.counter(HITS).bench_local(|| {
        for _ in 0..HITS {
            order.push_back(slots.enter([1; 20]));
            let done = order.pop_front().unwrap();
            for _ in 0..3 {
                slots.get_mut(done).unwrap()[0] += 1;
            }
            black_box(slots.remove(done));
        }
    });
}

/// The bytes that so many take: what stands allocated at the end of a sample.
#[divan::bench(args = OPEN, sample_count = 3)]
fn map_filled(open: usize) -> HashMap<u32, Open> {
    (0..open as u32).map(|n| (n, [1; 20])).collect::<Vec<_>>().into_iter().fold(
        HashMap::new(),
        |mut map, (n, hit)| {
            map.insert(n, hit);
            map
        },
    )
}

#[divan::bench(args = OPEN, sample_count = 3)]
fn slots_filled(open: usize) -> Slots<Open> {
    let mut slots = Slots::default();
    (0..open).for_each(|_| {
        slots.enter([1; 20]);
    });
    slots
}
