//! Timers of hits: a heap that drops stale entries whenever it has doubled, a sorted map, and the wheel. Each hit
//! schedules three timers and ends long before any is due, as nearly all hits do.

use divan::{AllocProfiler, Bencher};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashSet, VecDeque};
use stonescale::time::{Span, Time};
use stonescale_store::TimerWheel;

#[global_allocator]
static ALLOCATOR: AllocProfiler = AllocProfiler::system();

fn main() {
    divan::main();
}

const OPEN_HITS: [usize; 3] = [100, 10_000, 1_000_000];
const HITS_PER_SAMPLE: usize = 1_000;
const START: Time = Time::at(1_796_000_000_000_000_000);
/// Delays of a hit's deadline, its hedged request, and its forward's timeout.
const DELAYS: [Span; 3] = [Span::millis(900), Span::millis(120), Span::millis(800)];
/// The time between two hits: with this many open hits, each ends before its first timer is due.
const fn arrival_interval(open_hits: usize) -> Span {
    Span::nanos(100_000_000 / open_hits as u64)
}

/// Hit and kind of timer, as large as the core's `Due`.
type TimerValue = (u32, u8);

/// Stale timers of ended hits are dropped once they may be as many as the live ones.
#[divan::bench(args = OPEN_HITS)]
fn heap(bencher: Bencher, open_hits: usize) {
    const MIN_PRUNE_LEN: usize = 1_024;
    let mut heap: BinaryHeap<Reverse<(Time, u64, TimerValue)>> = BinaryHeap::new();
    let (mut hits, mut order) = (HashSet::new(), VecDeque::new());
    let (mut now, mut sequence, mut last_hit, mut prune_len) = (START, 0, 0u32, MIN_PRUNE_LEN);
    let mut hit = |end_oldest: bool| {
        (now, last_hit) = (now + arrival_interval(open_hits), last_hit + 1);
        hits.insert(last_hit);
        order.push_back(last_hit);
        for (kind, delay) in DELAYS.iter().enumerate() {
            if heap.len() >= prune_len {
                heap.retain(|Reverse((_, _, due))| hits.contains(&due.0));
                prune_len = MIN_PRUNE_LEN.max(heap.len() * 2);
                heap.shrink_to(prune_len);
            }
            sequence += 1;
            heap.push(Reverse((now + *delay, sequence, (last_hit, kind as u8))));
        }
        while heap.peek().is_some_and(|Reverse(due)| due.0 <= now) {
            heap.pop();
        }
        if end_oldest {
            hits.remove(&order.pop_front().unwrap());
        }
        heap.capacity() * size_of::<Reverse<(Time, u64, TimerValue)>>()
    };
    (0..open_hits).for_each(|_| {
        hit(false);
    });
    let mut peak_bytes = 0;
    bencher
        .counter(HITS_PER_SAMPLE)
        .bench_local(|| (0..HITS_PER_SAMPLE).for_each(|_| peak_bytes = peak_bytes.max(hit(true))));
    println!("heap of {open_hits}: {} bytes a hit", peak_bytes / open_hits);
}

#[divan::bench(args = OPEN_HITS)]
fn map(bencher: Bencher, open_hits: usize) {
    let (mut map, mut order) = (BTreeMap::new(), VecDeque::new());
    let (mut now, mut sequence, mut last_hit) = (START, 0u64, 0u32);
    let mut hit = |end_oldest: bool| {
        (now, last_hit) = (now + arrival_interval(open_hits), last_hit + 1);
        let mut keys = [(START, 0); 3];
        for (kind, delay) in DELAYS.iter().enumerate() {
            sequence += 1;
            keys[kind] = (now + *delay, sequence);
            map.insert(keys[kind], (last_hit, kind as u8));
        }
        order.push_back(keys);
        while map.first_key_value().is_some_and(|(key, _)| key.0 <= now) {
            map.pop_first();
        }
        if end_oldest {
            order.pop_front().unwrap().iter().for_each(|key| {
                map.remove(key);
            });
        }
    };
    (0..open_hits).for_each(|_| hit(false));
    bencher.counter(HITS_PER_SAMPLE).bench_local(|| (0..HITS_PER_SAMPLE).for_each(|_| hit(true)));
}

#[divan::bench(args = OPEN_HITS)]
fn wheel(bencher: Bencher, open_hits: usize) {
    let (mut wheel, mut order) = (TimerWheel::new(START), VecDeque::new());
    let (mut now, mut last_hit) = (START, 0u32);
    let mut hit = |end_oldest: bool| {
        (now, last_hit) = (now + arrival_interval(open_hits), last_hit + 1);
        let mut kind = 0;
        order.push_back(DELAYS.map(|delay| {
            kind += 1;
            wheel.schedule(now + delay, (last_hit, kind))
        }));
        while wheel.pop(now).is_some() {}
        if end_oldest {
            order.pop_front().unwrap().into_iter().for_each(|handle| {
                wheel.cancel(handle);
            });
        }
        wheel.allocated_bytes()
    };
    (0..open_hits).for_each(|_| {
        hit(false);
    });
    let mut peak_bytes = 0;
    bencher
        .counter(HITS_PER_SAMPLE)
        .bench_local(|| (0..HITS_PER_SAMPLE).for_each(|_| peak_bytes = peak_bytes.max(hit(true))));
    println!("wheel of {open_hits}: {} bytes a hit, handles not included", peak_bytes / open_hits);
}
