//! Seeded soaks: faults of nodes, clients that leave, copy ids, write slowly or flood, signals in series, and SIGTERM while
//! clients use open connections until the earliest SIGKILL. The checker holds the rules; no hit of a usual client may be
//! lost.
//!
//! By hand: `STONESCALE_SOAK_SEEDS=1-50 cargo test -p stonescale-marshal --test fault_soak -- --nocapture`.

use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use std::ops::RangeInclusive;
use std::path::Path;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};
use stonescale_lab::World;
use stonescale_lab::background::BackgroundThreads;
use stonescale_lab::load::LoadPlan;
use stonescale_lab::node::{FaultMode, NodeBehavior};
use stonescale_lab::raw_client::{RawClient, TestHit, send_until_closed};
use stonescale_lab::runtime::wait_until;
use stonescale_lab::site::{Limits, MUTATING};
use stonescale_lab::soak_clients::{ClientSite, unanswered_of_lasting};
use stonescale_lab::wire::encode_command;

/// Seeds that run without a choice of others.
const DEFAULT_SEEDS: RangeInclusive<u64> = 1..=6;
const PHASES: usize = 4;
const PHASE_DURATION: Duration = Duration::from_millis(800);
/// The longest client timeout (counted as 3 s where it is longer) and 0.7 s more after SIGTERM.
const EARLIEST_KILL: Duration = Duration::from_millis(3_700);
const MEMORY_MB: usize = 48;
const CROWD: usize = 300;

fn seeds() -> RangeInclusive<u64> {
    let Ok(text) = std::env::var("STONESCALE_SOAK_SEEDS") else { return DEFAULT_SEEDS };
    let (first, last) = text.split_once('-').unwrap_or((&text, &text));
    first.parse().unwrap()..=last.parse().unwrap()
}

/// Sends many hits on one connection and leaves soon, by a close, a half-close or a reset.
fn leave_early(site: &ClientSite, rng: &mut Pcg64Mcg, next_id: &mut u64) {
    let Ok(mut client) = RawClient::connect(site.addr) else { return };
    let group = rng.random_range(0..site.groups.len());
    let count = *[1, 5, 40, 300].choose(rng).unwrap();
    let numbers = *next_id..*next_id + count;
    *next_id = numbers.end;
    let hits: Vec<_> = numbers.map(|number| site.hit(number, group)).collect();
    let commands: Vec<_> = hits.iter().map(TestHit::encode).collect();
    hits.iter().for_each(|hit| hit.record_sent(&site.checker, site.clock));
    let _ = client.send(&commands.concat());
    std::thread::sleep(Duration::from_millis(rng.random_range(0..120)));
    match rng.random_range(0..3) {
        0 => {}
        1 => drop(client.end_sending()),
        _ => drop(rustix::net::sockopt::set_socket_linger(client.stream(), Some(Duration::ZERO))),
    }
    let keeps_reading = rng.random_bool(0.3);
    if !keeps_reading {
        drop(client);
    } else {
        let _ = client.end_sending();
        hits.iter().for_each(|hit| hit.record_left(&site.checker, site.clock));
        while let Ok(Some(_)) = client.read_reply() {}
        return;
    }
    hits.iter().for_each(|hit| hit.record_left(&site.checker, site.clock));
}

/// Sends a hit that must not run twice, and a copy of it on another connection: at most one may be served.
fn copy_id(site: &ClientSite, next_id: &mut u64) {
    let (Ok(mut first), Ok(mut second)) = (RawClient::connect(site.addr), RawClient::connect(site.addr))
    else {
        return;
    };
    let hit = site.hit(*next_id, MUTATING);
    *next_id += 1;
    let sent = first.send(&hit.encode()).and_then(|()| second.send(&hit.encode()));
    if sent.is_err() {
        return;
    }
    let served = [first.read_reply(), second.read_reply()]
        .into_iter()
        .filter(|reply| matches!(reply, Ok(Some(text)) if text.starts_with(&hit.id)));
    assert!(served.count() <= 1, "hit {} and its copy were both served", hit.id);
}

/// One connection on which invalid commands are written without pause.
fn flood(site: &ClientSite, stopping: &AtomicBool) {
    let Ok(client) = RawClient::connect(site.addr) else { return };
    let stop = client.stream().try_clone().unwrap();
    let commands = (0_u64..).map(|number| encode_command(&[format!("{number:x}").as_bytes()]).repeat(100));
    let sending = std::thread::spawn(move || send_until_closed(client, commands, Duration::ZERO));
    while !stopping.load(Ordering::SeqCst) && !sending.is_finished() {
        std::thread::sleep(Duration::from_millis(5));
    }
    let _ = stop.shutdown(std::net::Shutdown::Both);
    let _ = sending.join();
}

/// Sets faults of the nodes as drawn.
fn draw_faults(world: &World, rng: &mut Pcg64Mcg) {
    // Not those in which a stand-in stops reading: what it reads later would count as sent then.
    let modes = [FaultMode::Silent, FaultMode::Resetting, FaultMode::Refusing];
    for node in &world.nodes {
        let faulty = rng.random_bool(0.4);
        let mode = if faulty { *modes.choose(rng).unwrap() } else { FaultMode::Healthy };
        node.set_fault_mode(mode);
        let work_factor = if rng.random_bool(0.3) { 20.0 } else { 1.0 };
        node.update_behavior(|behavior| behavior.work_factor = work_factor);
    }
}

fn start_clients(site: &ClientSite, rng: &mut Pcg64Mcg, seed: u64) -> BackgroundThreads {
    let mut background = BackgroundThreads::default();
    let (leaving, mut leaving_rng) = (site.clone(), Pcg64Mcg::seed_from_u64(seed ^ 0x1ea7e));
    background.spawn(move |stopping| {
        let mut next_id = 1 << 40;
        while !stopping.load(Ordering::SeqCst) {
            leave_early(&leaving, &mut leaving_rng, &mut next_id);
        }
    });
    let copying = site.clone();
    background.spawn(move |stopping| {
        let mut next_id = 1 << 41;
        while !stopping.load(Ordering::SeqCst) {
            copy_id(&copying, &mut next_id);
        }
    });
    if rng.random_bool(0.3) {
        let crowd = site.clone();
        background.spawn(move |stopping| crowd.hold_half_commands(CROWD, stopping));
    }
    if rng.random_bool(0.3) {
        let flooding = site.clone();
        background.spawn(move |stopping| flood(&flooding, stopping));
    }
    background
}

fn run_seed(seed: u64) -> String {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    let limits = Limits { memory_mb: MEMORY_MB, sockets: *[256, 512, 1024].choose(&mut rng).unwrap() };
    let binary = Path::new(env!("CARGO_BIN_EXE_stonescale"));
    let mut world = World::start(binary, 4, limits, &NodeBehavior::default(), &[]).unwrap();
    let site = ClientSite::of(&world);
    let load = world.start_load(LoadPlan::mixed(60.0, seed));
    let mut background = start_clients(&site, &mut rng, seed);
    for _ in 0..PHASES {
        draw_faults(&world, &mut rng);
        let signal = *["HUP", "USR1", "USR1"].choose(&mut rng).unwrap();
        for _ in 0..rng.random_range(0..4) {
            world.program.signal(signal);
        }
        std::thread::sleep(PHASE_DURATION);
    }
    let lasting = site.start_lasting_clients(6);
    std::thread::sleep(PHASE_DURATION / 2);
    let stats = load.take_stats();
    let lost: u64 = stats.iter().map(|group| group.unanswered).sum();
    let peak = world.program.usage().map_or(usize::MAX, |usage| usage.peak_bytes);
    world.program.signal("TERM");
    let signaled_at = Instant::now();
    world.program.signal("HUP");
    let ended = wait_until(EARLIEST_KILL, || world.program.exit_status().is_some());
    let took = signaled_at.elapsed();
    let exit = world.program.exit_status();
    background.stop();
    load.finish();
    let (hits, delivered): (u64, u64) =
        (stats.iter().map(|group| group.hits).sum(), stats.iter().map(|group| group.delivered).sum());
    let mut faults = world.checker.violation_report();
    if lost > 0 {
        faults += &format!("{lost} hits of usual clients were not answered\n");
    }
    if !ended || !exit.is_some_and(|status| status.success()) {
        faults += &format!("the marshal did not end by itself: {exit:?}\n");
    }
    if peak >= MEMORY_MB << 20 {
        faults += &format!("{peak} bytes at the peak\n");
    }
    faults += &unanswered_of_lasting(lasting);
    println!(
        "seed {seed}: {} sockets, {delivered} of {hits} hits delivered, peak {} KiB, ended after {took:.1?}: {}",
        limits.sockets,
        peak >> 10,
        if faults.is_empty() { "no rule broken" } else { &faults }
    );
    faults
}

#[test]
fn seeded_faults_break_no_rule_and_lose_no_hit() {
    let faults: String = seeds()
        .map(|seed| (seed, run_seed(seed)))
        .filter(|(_, faults)| !faults.is_empty())
        .map(|(seed, faults)| format!("STONESCALE_SOAK_SEEDS={seed}: {faults}"))
        .collect();
    assert_eq!(faults, "");
}
