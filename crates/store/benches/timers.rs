//! Timers of hits: a heap that throws dead entries out when it has doubled, a sorted map, and the wheel. Each hit sets
//! three, and is done with long before any is due, as nearly all are.

use divan::{AllocProfiler, Bencher};
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashSet, VecDeque};
use stonescale::time::{Span, Time};
use stonescale_store::Wheel;

#[global_allocator]
static ALLOCATOR: AllocProfiler = AllocProfiler::system();

fn main() {
    divan::main();
}

const OPEN: [usize; 3] = [100, 10_000, 1_000_000];
const HITS: usize = 1_000;
const START: Time = Time::at(1_796_000_000_000_000_000);
/// A hit's end, its second copy, and its forward's end.
const SPANS: [Span; 3] = [Span::millis(900), Span::millis(120), Span::millis(800)];
/// Between hits: with so many open, each is done with before its first timer is due.
const fn gap(open: usize) -> Span {
    Span::nanos(100_000_000 / open as u64)
}

/// The core's `Due`.
type Due = (u32, u8);

/// Timers that a hit's end leaves behind go when they are as many as the others.
#[divan::bench(args = OPEN)]
fn heap(bencher: Bencher, open: usize) {
    const LEAST: usize = 1_024;
    let mut heap: BinaryHeap<Reverse<(Time, u64, Due)>> = BinaryHeap::new();
    let (mut hits, mut order) = (HashSet::new(), VecDeque::new());
    let (mut now, mut set, mut last, mut most) = (START, 0, 0u32, LEAST);
    let mut hit = |done: bool| {
        (now, last) = (now + gap(open), last + 1);
        hits.insert(last);
        order.push_back(last);
        for (kind, span) in SPANS.iter().enumerate() {
            if heap.len() >= most {
                heap.retain(|Reverse((_, _, due))| hits.contains(&due.0));
                most = LEAST.max(heap.len() * 2);
                heap.shrink_to(most);
            }
            set += 1;
            heap.push(Reverse((now + *span, set, (last, kind as u8))));
        }
        while heap.peek().is_some_and(|Reverse(due)| due.0 <= now) {
            heap.pop();
        }
        if done {
            hits.remove(&order.pop_front().unwrap());
        }
        heap.capacity() * size_of::<Reverse<(Time, u64, Due)>>()
    };
    (0..open).for_each(|_| {
        hit(false);
    });
    let mut bytes = 0;
    bencher.counter(HITS).bench_local(|| (0..HITS).for_each(|_| bytes = bytes.max(hit(true))));
    println!("heap of {open}: {} bytes a hit", bytes / open);
}

#[divan::bench(args = OPEN)]
fn map(bencher: Bencher, open: usize) {
    let (mut map, mut order) = (BTreeMap::new(), VecDeque::new());
    let (mut now, mut set, mut last) = (START, 0u64, 0u32);
    let mut hit = |done: bool| {
        (now, last) = (now + gap(open), last + 1);
        let mut keys = [(START, 0); 3];
        for (kind, span) in SPANS.iter().enumerate() {
            set += 1;
            keys[kind] = (now + *span, set);
            map.insert(keys[kind], (last, kind as u8));
        }
        order.push_back(keys);
        while map.first_key_value().is_some_and(|(key, _)| key.0 <= now) {
            map.pop_first();
        }
        if done {
            order.pop_front().unwrap().iter().for_each(|key| {
                map.remove(key);
            });
        }
    };
    (0..open).for_each(|_| hit(false));
    bencher.counter(HITS).bench_local(|| (0..HITS).for_each(|_| hit(true)));
}

#[divan::bench(args = OPEN)]
fn wheel(bencher: Bencher, open: usize) {
    let (mut wheel, mut order) = (Wheel::new(START), VecDeque::new());
    let (mut now, mut last) = (START, 0u32);
    let mut hit = |done: bool| {
        (now, last) = (now + gap(open), last + 1);
        let mut kind = 0;
        order.push_back(SPANS.map(|span| {
            kind += 1;
            wheel.set(now + span, (last, kind))
        }));
        while wheel.pop(now).is_some() {}
        if done {
            order.pop_front().unwrap().into_iter().for_each(|set| {
                wheel.cancel(set);
            });
        }
        wheel.occupies()
    };
    (0..open).for_each(|_| {
        hit(false);
    });
    let mut bytes = 0;
    bencher.counter(HITS).bench_local(|| (0..HITS).for_each(|_| bytes = bytes.max(hit(true))));
    println!("wheel of {open}: {} bytes a hit, handles besides", bytes / open);
}
