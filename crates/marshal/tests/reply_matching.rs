//! Replies of nodes reach the hit that they were made for, or none: also where nodes drop commands, lose replies, send
//! them twice or late, turn commands away or fall silent. Replies carry no id; each value begins with that of its hit.
//!
//! By hand: `STONESCALE_REPLY_SEEDS=1-50 cargo test -p stonescale-marshal --test reply_matching lost_replies -- --nocapture`.

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;
use std::ops::RangeInclusive;
use std::path::Path;
use std::time::Duration;
use stonescale_lab::World;
use stonescale_lab::checker::Outcome;
use stonescale_lab::load::{GroupStats, HitKind, LoadPlan};
use stonescale_lab::node::{FaultMode, NodeBehavior, ScriptedReply};
use stonescale_lab::raw_client::{RawClient, TestHit};
use stonescale_lab::runtime::wait_until;
use stonescale_lab::site::{Limits, MUTATING, REPEATABLE};

/// Longer than any step of a test takes; a test that waits this long has failed.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);
const CLIENT_TIMEOUT: Duration = Duration::from_millis(900);

fn world(nodes: usize) -> World {
    let binary = Path::new(env!("CARGO_BIN_EXE_stonescale"));
    World::start(binary, nodes, Limits::default(), &NodeBehavior::default(), &[]).unwrap()
}

fn hit(world: &World, number: u64, group: usize, client_timeout: Duration) -> TestHit<'_> {
    let kind = HitKind { group, share: 1.0, body_bytes: 4, client_timeout };
    TestHit { id: format!("{number:016x}"), group: &world.path_groups[group], kind }
}

/// Sends the hits in one write, so that their forwards begin together, and returns their outcomes.
fn exchange_together(world: &World, hits: &[TestHit]) -> Vec<Outcome> {
    let (checker, clock) = (&world.checker, world.runtime.clock);
    let mut client = RawClient::connect(world.program.addr).unwrap();
    hits.iter().for_each(|hit| hit.record_sent(checker, clock));
    client.send(&hits.iter().flat_map(TestHit::encode).collect::<Vec<_>>()).unwrap();
    hits.iter().map(|hit| hit.record_reply(checker, clock, &client.read_reply().unwrap().unwrap())).collect()
}

/// A node drops a mutating hit with little time left, and its replies to the hits that came together with it were taken
/// for those of the hits before them: a refusal ended one that had run, which then ran again (review/7).
#[rstest]
#[case::dropped(ScriptedReply::Drop)]
#[case::reply_lost(ScriptedReply::LoseReply)]
fn a_refusal_is_not_taken_for_an_earlier_hits_reply(#[case] first: ScriptedReply) {
    let world = world(2);
    let refusal = ScriptedReply::Send(b"-BUSY\r\n".to_vec());
    for node in &world.nodes {
        let served = [ScriptedReply::ServeThenSend(Duration::from_secs(60), Vec::new())];
        node.script([first.clone()].into_iter().chain(served).chain(vec![refusal.clone(); 3]));
    }
    let timeout = |number| if number < 3 { Duration::from_millis(60) } else { CLIENT_TIMEOUT };
    let hits: Vec<_> = (1..=24).map(|number| hit(&world, number, MUTATING, timeout(number))).collect();
    exchange_together(&world, &hits);
    assert_eq!(world.checker.violation_report(), "");
}

/// A lost reply moved each later reply of its connection to the hit before its own (review/8).
#[test]
fn a_lost_reply_gives_no_hit_the_value_of_another() {
    let world = world(4);
    world.nodes.iter().for_each(|node| node.script([ScriptedReply::LoseReply]));
    let hits: Vec<_> = (1..=24).map(|number| hit(&world, number, REPEATABLE, CLIENT_TIMEOUT)).collect();
    let outcomes = exchange_together(&world, &hits);
    assert_eq!(world.checker.violation_report(), "");
    assert!(outcomes.contains(&Outcome::Delivered), "{outcomes:?}");
}

/// The first part of a second copy was read from a resting connection and kept; its rest, which came with the next hit on
/// that connection, completed a reply for that hit.
#[test]
fn a_second_copy_in_two_parts_is_not_taken_for_the_next_reply() {
    let world = world(1);
    let node = &world.nodes[0];
    let first_part = b"*1\r\n$5\r\nwr".to_vec();
    node.script([
        ScriptedReply::ServeThenSend(Duration::from_millis(3), first_part),
        ScriptedReply::Send(b"ong\r\n".to_vec()),
    ]);
    let hits: Vec<_> = (1..=2).map(|number| hit(&world, number, MUTATING, CLIENT_TIMEOUT)).collect();
    let mut outcomes = exchange_together(&world, &hits[..1]);
    assert_eq!(outcomes, [Outcome::Delivered]);
    // Longer than the rest of a connection, and shorter than the time for which the rest of a reply is awaited.
    std::thread::sleep(Duration::from_millis(60));
    outcomes = exchange_together(&world, &hits[1..]);
    assert_eq!(outcomes, [Outcome::Errored], "the second command's own reply is no reply");
    assert_eq!(world.checker.violation_report(), "");
}

/// A forward that waits for a connection goes to no node that has begun to drain meanwhile, and ends at once.
#[test]
fn a_forward_that_waits_for_a_connection_is_withdrawn_when_its_node_drains() {
    let binary = Path::new(env!("CARGO_BIN_EXE_stonescale"));
    let few_connections = Limits { sockets: 48, ..Limits::default() };
    let world = World::start(binary, 1, few_connections, &NodeBehavior::default(), &[]).unwrap();
    world.set_fault_mode_of_all_nodes(FaultMode::Silent);
    let hits: Vec<_> = (1..=60).map(|number| hit(&world, number, MUTATING, CLIENT_TIMEOUT)).collect();
    hits.iter().for_each(|hit| hit.record_sent(&world.checker, world.runtime.clock));
    let mut client = RawClient::connect(world.program.addr).unwrap();
    client.send(&hits.iter().flat_map(TestHit::encode).collect::<Vec<_>>()).unwrap();
    assert!(wait_until(TEST_TIMEOUT, || world.nodes[0].commands_received() > 0));
    world.discovery.update(&[world.nodes[0].name.clone()], |entry| entry.state = "draining".into());
    let outcomes: Vec<_> = hits
        .iter()
        .map(|hit| {
            let reply = client.read_reply().unwrap().unwrap();
            hit.record_reply(&world.checker, world.runtime.clock, &reply)
        })
        .collect();
    assert_eq!(world.checker.violation_report(), "");
    let bounced = outcomes.iter().filter(|outcome| **outcome == Outcome::Bounced).count();
    assert!(bounced > 0, "{outcomes:?}");
}

fn total(stats: &[GroupStats], count: impl Fn(&GroupStats) -> u64) -> u64 {
    stats.iter().map(count).sum()
}

/// Seeds that run without a choice of others.
const DEFAULT_SEEDS: RangeInclusive<u64> = 7..=7;

fn seeds() -> RangeInclusive<u64> {
    let Ok(text) = std::env::var("STONESCALE_REPLY_SEEDS") else { return DEFAULT_SEEDS };
    let (first, last) = text.split_once('-').unwrap_or((&text, &text));
    first.parse().unwrap()..=last.parse().unwrap()
}

fn draw_behavior(seed: u64, second_copies: bool) -> NodeBehavior {
    let mut rng = Pcg64Mcg::seed_from_u64(seed);
    NodeBehavior {
        work_median: Duration::from_millis(rng.random_range(5..60)),
        cores: 64,
        busy_rate: rng.random_range(0.0..0.15),
        dropped_rate: rng.random_range(0.0..0.05),
        lost_reply_rate: rng.random_range(0.02..0.1),
        second_copy_rate: if second_copies { rng.random_range(0.01..0.1) } else { 0.0 },
        second_copy_delay: Duration::from_millis(rng.random_range(1..10)),
        ..NodeBehavior::default()
    }
}

/// Returns what was broken in a run with this seed.
fn run_seed(seed: u64, sockets: usize, hits_per_second: f64, second_copies: bool) -> String {
    let binary = Path::new(env!("CARGO_BIN_EXE_stonescale"));
    let limits = Limits { sockets, ..Limits::default() };
    let world = World::start(binary, 4, limits, &draw_behavior(seed, second_copies), &[]).unwrap();
    let load = world.start_load(LoadPlan { max_connections: 48, ..LoadPlan::mixed(hits_per_second, seed) });
    for node in &world.nodes {
        node.set_fault_mode(FaultMode::Silent);
        std::thread::sleep(Duration::from_millis(700));
        node.set_fault_mode(FaultMode::Healthy);
        std::thread::sleep(Duration::from_millis(300));
    }
    let stats = load.finish();
    let mut broken = world.checker.violation_report();
    let unanswered = total(&stats, |group| group.unanswered);
    if unanswered > 0 {
        broken += &format!("{unanswered} hits were not answered\n");
    }
    let (hits, delivered) = (total(&stats, |group| group.hits), total(&stats, |group| group.delivered));
    if delivered * 2 < hits {
        broken += &format!("{delivered} of {hits} hits delivered\n");
    }
    println!("seed {seed}, {sockets} sockets: {delivered} of {hits} delivered; {broken}");
    broken
}

/// Few connections, of which lost replies and silent nodes take some away: forwards wait for the others, and were written
/// behind one another before.
#[rstest]
#[case::few_descriptors(100, 100.0, false)]
#[case::few_descriptors_and_second_copies(100, 100.0, true)]
#[case::many_descriptors_and_second_copies(1_024, 200.0, true)]
fn lost_replies_silent_nodes_and_few_connections_move_no_reply(
    #[case] sockets: usize, #[case] hits_per_second: f64, #[case] second_copies: bool,
) {
    let broken: String = seeds()
        .map(|seed| (seed, run_seed(seed, sockets, hits_per_second, second_copies)))
        .filter(|(_, broken)| !broken.is_empty())
        .map(|(seed, broken)| format!("STONESCALE_REPLY_SEEDS={seed}: {broken}"))
        .collect();
    assert_eq!(broken, "");
}
