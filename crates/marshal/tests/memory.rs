//! Memory pressure on one purpose must not affect the others: the marshal's binary on loopback, with misbehaving
//! clients and nodes.

use std::ops::Deref;
use std::path::Path;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::thread;
use std::time::{Duration, Instant};
use stonescale_lab::World;
use stonescale_lab::discovery::Entry;
use stonescale_lab::load::{HitKind, Load, LoadPlan};
use stonescale_lab::misbehaving::Misbehavior;
use stonescale_lab::node::{FaultMode, NodeBehavior, ScriptedReply};
use stonescale_lab::program::unique_temp_path;
use stonescale_lab::raw_client::{RawClient, TestHit};
use stonescale_lab::runtime::wait_until;
use stonescale_lab::site::{Limits, MUTATING, REPEATABLE, TAGGED};
use stonescale_lab::wire;

const MIB: usize = 1 << 20;

/// A site that runs while no other test does: the load of one test would delay the clients of tests beside it.
struct ExclusiveWorld {
    world: World,
    _guard: MutexGuard<'static, ()>,
}

impl Deref for ExclusiveWorld {
    type Target = World;
    fn deref(&self) -> &World {
        &self.world
    }
}

fn exclusive_world(nodes: usize, limits: Limits, args: &[&str]) -> ExclusiveWorld {
    static RUNNING: Mutex<()> = Mutex::new(());
    let _guard = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
    let binary = Path::new(env!("CARGO_BIN_EXE_stonescale"));
    ExclusiveWorld {
        world: World::start(binary, nodes, limits, &NodeBehavior::default(), args).unwrap(),
        _guard,
    }
}

fn four_node_world(memory_mb: usize, sockets: usize) -> ExclusiveWorld {
    exclusive_world(4, Limits { memory_mb, sockets }, &[])
}

/// Minimum duration of a fault.
const FAULT_DURATION: Duration = Duration::from_millis(3_000);
/// Time after which a condition counts as never met, even on the slowest machine.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);
/// Number of finished repeatable hits for which the share of delivered ones is computed.
const SAMPLE_HITS: u64 = 50;

/// Waits for `span`; returns the maximum of the resident bytes meanwhile.
fn peak_resident_during(world: &World, span: Duration) -> usize {
    let start = Instant::now();
    world.max_resident_bytes_until(|| start.elapsed() >= span)
}

/// Runs the load for at least `min_duration`, and until more than `min_share` of `SAMPLE_HITS` consecutive
/// repeatable hits is delivered; further samples are taken, as a brief stall of the machine can fail one. Then stops
/// the load and returns the maximum of the resident bytes meanwhile.
fn assert_hits_served(world: &World, load: &Load, min_share: f64, min_duration: Duration) -> usize {
    let (start, mut reached, mut sample) = (Instant::now(), false, String::new());
    load.take_stats();
    let peak = world.max_resident_bytes_until(|| {
        let stats = load.stats().swap_remove(REPEATABLE);
        let finished = stats.delivered + stats.bounced + stats.errored + stats.unanswered;
        if finished >= SAMPLE_HITS {
            reached = stats.delivered as f64 > min_share * finished as f64;
            let (bounced, errored) = (stats.bounced, stats.errored);
            sample = format!("{} of {finished} ({bounced} bounced, {errored} errored)", stats.delivered);
            load.take_stats();
        }
        start.elapsed() >= TEST_TIMEOUT || reached && start.elapsed() >= min_duration
    });
    assert!(reached, "delivered {sample}");
    load.finish();
    peak
}

/// Ends the nodes' faults and asserts that well-behaved clients are soon served as before.
fn assert_recovered(world: &World) {
    world.set_fault_mode_of_all_nodes(FaultMode::Healthy);
    let load = world.start_load(LoadPlan::repeatable(100.0, 9));
    assert_hits_served(world, &load, 0.95, Duration::ZERO);
}

// Floods of tagged commands of 40 KB or more, each with a new idempotency key, some of them against silent nodes.

#[test]
fn a_flood_is_limited_by_its_cap_and_service_recovers_after_it() {
    let world = four_node_world(32, 1024);
    world.set_fault_mode_of_all_nodes(FaultMode::Silent);
    let flood = world.start_misbehaving_clients(Misbehavior::Flood, 450, TAGGED, 60_000);
    let peak = peak_resident_during(&world, FAULT_DURATION);
    drop(flood);
    assert!(peak < 32 * MIB, "resident {peak}");
    assert_recovered(&world);
    assert_eq!(world.checker.violation_report(), "");
}

#[test]
fn repeatable_hits_are_served_while_a_flood_waits_for_silent_nodes() {
    // Half of the nodes are silent, so that the flood's hits stay in flight for long and fill their purpose.
    let world = four_node_world(8, 1024);
    world.nodes[..2].iter().for_each(|node| node.set_fault_mode(FaultMode::Silent));
    let flood = world.start_misbehaving_clients(Misbehavior::Flood, 150, TAGGED, 40_000);
    std::thread::sleep(Duration::from_millis(1_000));
    let load = world.start_load(LoadPlan::repeatable(100.0, 3));
    let peak = assert_hits_served(&world, &load, 0.9, FAULT_DURATION);
    drop(flood);
    assert!(peak < 8 * MIB, "resident {peak}");
    assert_recovered(&world);
    assert_eq!(world.checker.violation_report(), "");
}

#[test]
fn other_clients_are_served_while_a_flood_holds_every_connection() {
    let world = four_node_world(32, 256);
    let flood = world.start_misbehaving_clients(Misbehavior::Flood, 200, TAGGED, 40_000);
    std::thread::sleep(Duration::from_millis(1_500));
    let load = world.start_load(LoadPlan::repeatable(50.0, 3));
    assert_hits_served(&world, &load, 0.5, FAULT_DURATION);
    drop(flood);
    assert_recovered(&world);
}

// Clients that do not read their replies, or do not complete their commands.

#[test]
fn clients_that_never_read_are_disconnected_before_memory_runs_out() {
    let world = four_node_world(8, 1024);
    world.nodes.iter().for_each(|node| node.update_behavior(|behavior| behavior.value_bytes = 60_000));
    let never_reading = world.start_misbehaving_clients(Misbehavior::NeverReads, 150, REPEATABLE, 0);
    let peak = peak_resident_during(&world, FAULT_DURATION);
    drop(never_reading);
    assert!(peak < 8 * MIB, "resident {peak}");
    assert_recovered(&world);
}

#[test]
fn incomplete_commands_leave_room_for_complete_ones() {
    let world = four_node_world(8, 1024);
    let incomplete = world.start_misbehaving_clients(Misbehavior::IncompleteCommand, 400, TAGGED, 65_000);
    std::thread::sleep(Duration::from_millis(500));
    let load = world.start_load(LoadPlan::repeatable(100.0, 3));
    let peak = assert_hits_served(&world, &load, 0.9, FAULT_DURATION);
    drop(incomplete);
    assert!(peak < 8 * MIB, "resident {peak}");
    assert_recovered(&world);
    assert_eq!(world.checker.violation_report(), "");
}

#[test]
fn simultaneous_values_of_all_nodes_for_disconnected_clients_stay_within_their_cap() {
    let world = exclusive_world(128, Limits { memory_mb: 8, sockets: 1024 }, &[]);
    world.nodes.iter().for_each(|node| node.update_behavior(|behavior| behavior.value_bytes = 65_000));
    // No value can be forwarded, as each lacks its last byte; together they exceed the memory limit of the process.
    world.set_fault_mode_of_all_nodes(FaultMode::WithholdingLastByte);
    let idle_clients = world.start_misbehaving_clients(Misbehavior::StaysIdle, 500, REPEATABLE, 0);
    let hits_arrived = || world.nodes.iter().map(|n| n.commands_received()).sum::<u64>() > 200;
    assert!(wait_until(TEST_TIMEOUT, hits_arrived), "hits reach the nodes");
    peak_resident_during(&world, FAULT_DURATION / 10);
    drop(idle_clients);
    assert_recovered(&world);
    let peak = world.program.usage().unwrap().peak_bytes;
    assert!(peak < 8 * MIB, "peak {peak}");
}

// A node that accepts connections and never reads.

#[test]
fn unread_output_for_one_node_does_not_affect_the_others() {
    let world = four_node_world(8, 256);
    world.nodes[0].set_fault_mode(FaultMode::NotReading);
    let flood = world.start_misbehaving_clients(Misbehavior::Flood, 40, TAGGED, 40_000);
    let load = world.start_load(LoadPlan::repeatable(100.0, 3));
    std::thread::sleep(Duration::from_millis(500));
    let peak = assert_hits_served(&world, &load, 0.9, FAULT_DURATION);
    drop(flood);
    assert!(peak < 8 * MIB, "resident {peak}");
    assert_recovered(&world);
    assert_eq!(world.checker.violation_report(), "");
}

#[test]
fn answered_hits_with_long_deadlines_leave_no_memory_behind() {
    let world = four_node_world(8, 256);
    let flood = world.start_misbehaving_clients_with_timeout(
        Misbehavior::Flood,
        40,
        REPEATABLE,
        0,
        Duration::from_secs(600),
    );
    std::thread::sleep(Duration::from_millis(500));
    let before = world.program.usage().unwrap().resident_bytes;
    let answered = || flood.answered.load(std::sync::atomic::Ordering::Relaxed);
    let answered_before = answered();
    let peak = world.max_resident_bytes_until(|| answered() - answered_before > 30_000);
    assert!(peak < before + MIB, "resident {before}, then {peak}");
}

// Node lists that are long or change all the time.

fn unreachable_nodes(ids: std::ops::Range<usize>, state: &str) -> Vec<Entry> {
    let addr = ([127, 0, 0, 1], 9).into();
    let entry = |id| Entry { state: state.into(), ..Entry::up(&format!("stranger-{id}"), addr, 3) };
    ids.map(entry).collect()
}

#[test]
fn a_list_of_ten_thousand_nodes_is_accepted_up_to_the_cap_and_hits_are_still_served() {
    let world = four_node_world(32, 256);
    let load = world.start_load(LoadPlan::repeatable(100.0, 3));
    world.discovery.publish(unreachable_nodes(0..10_000, "draining"));
    let line = world.program.wait_for_log_line("are left out", TEST_TIMEOUT).unwrap();
    assert!(line.contains("nodes of the list"), "{line}");
    let peak = assert_hits_served(&world, &load, 0.95, FAULT_DURATION / 2);
    assert!(peak < 32 * MIB, "resident {peak}");
    assert_eq!(world.checker.violation_report(), "");
}

#[test]
fn an_unterminated_line_and_lists_of_new_nodes_do_not_grow_memory() {
    let world = four_node_world(8, 256);
    let load = world.start_load(LoadPlan::repeatable(100.0, 3));
    // A node's index is free again only some seconds after the node is gone, so the lists bring no more than a few
    // hundred ids a second.
    let round = |number: usize| {
        let ids = number * 100..number * 100 + 100;
        world.discovery.publish(unreachable_nodes(ids.clone(), "draining"));
        world.discovery.publish(unreachable_nodes(ids, "removed"));
        std::thread::sleep(Duration::from_millis(100));
    };
    (0..40).for_each(round);
    let before = world.program.usage().unwrap().resident_bytes;
    (40..80).for_each(round);
    world.discovery.send_raw(Some("x".repeat(6 << 20)));
    let peak = assert_hits_served(&world, &load, 0.95, FAULT_DURATION / 2);
    assert!(peak < before + MIB, "resident {before}, then {peak}");
}

// Reports to operators, and the operator's file.

fn world_with_operator_file(text: &str) -> (ExclusiveWorld, std::path::PathBuf) {
    let path = unique_temp_path("ini");
    std::fs::write(&path, text).unwrap();
    let args = ["--operator", path.to_str().unwrap()];
    (exclusive_world(2, Limits { memory_mb: 8, sockets: 256 }, &args), path)
}

#[test]
fn sigusr1_logs_the_memory_of_every_purpose() {
    let (world, _path) =
        world_with_operator_file("[memory]\nreport_every = 0\n[log]\nlines_per_second = 1000\n");
    world.program.signal("USR1");
    let line = world.program.wait_for_log_line("memory of the process", TEST_TIMEOUT).unwrap();
    assert!(line.contains("resident=") && line.contains("unaccounted="), "{line}");
    for purpose in ["clients", "halves", "owed", "log", "work.read", "work.book"] {
        let line = world.program.wait_for_log_line(&format!("purpose=\"{purpose}\""), TEST_TIMEOUT).unwrap();
        let fields = ["held=", "cap=", "reserve=", "high=", "refusals=", "reclaimed=", "level=\"easy\""];
        assert!(fields.iter().all(|f| line.contains(f)), "{line}");
    }
}

#[test]
fn the_periodic_report_is_logged_as_json_if_configured() {
    let (world, _path) = world_with_operator_file(
        "[memory]\nreport_every = 250ms\n[log]\nformat = json\nlines_per_second = 1000\n",
    );
    let line = world.program.wait_for_log_line("memory by purpose", TEST_TIMEOUT).unwrap();
    let event: serde_json::Value = serde_json::from_str(&line).unwrap();
    assert_eq!(event["purpose"], "clients");
    assert!(event["cap"].as_u64() > Some(0) && event["level"] == "easy", "{line}");
}

#[test]
fn a_level_change_is_logged_and_reverts_once_the_pressure_ends() {
    let (world, _path) = world_with_operator_file("[memory.halves]\ncap = 8%\n");
    let incomplete = world.start_misbehaving_clients(Misbehavior::IncompleteCommand, 40, TAGGED, 65_000);
    let line = world.program.wait_for_log_line("memory level", TEST_TIMEOUT).unwrap();
    assert!(line.contains("purpose=\"halves\"") && line.contains("from=\"easy\""), "{line}");
    drop(incomplete);
    let next_recovery = || world.program.wait_for_log_line("to=\"easy\"", TEST_TIMEOUT).unwrap();
    while !next_recovery().contains("purpose=\"halves\"") {}
}

/// Waits until a report shows that memory of this purpose has been reclaimed.
fn assert_reclaims(world: &World, purpose: &str) {
    let pattern = format!("memory by purpose purpose=\"{purpose}\"");
    let line = || world.program.wait_for_log_line(&pattern, TEST_TIMEOUT).unwrap();
    assert!(wait_until(TEST_TIMEOUT, || !line().contains(" reclaimed=0 ")), "{purpose}");
}

const FREQUENT_REPORTS: &str = "[memory]\nreport_every = 250ms\n[log]\nlines_per_second = 1000\n";

#[test]
fn idle_clients_are_closed_before_connections_run_out() {
    // At most 144 connections are accepted; a silent one is closed anyway after 2.5 s.
    let (world, _path) = world_with_operator_file(FREQUENT_REPORTS);
    let _silent_clients = world.start_misbehaving_clients(Misbehavior::SendsNothing, 120, REPEATABLE, 0);
    assert_reclaims(&world, "clients");
}

#[test]
fn gone_nodes_are_evicted_before_listed_nodes_are_left_out() {
    let (world, _path) = world_with_operator_file(FREQUENT_REPORTS);
    // At most 2,048 nodes are held. Two lists are sent, as a single one would use up the memory that the nodes are
    // to fill.
    world.discovery.publish(unreachable_nodes(0..950, "removed"));
    world.discovery.publish(unreachable_nodes(950..1_900, "removed"));
    assert_reclaims(&world, "nodes");
}

#[test]
fn sighup_applies_the_operators_file_completely_or_not_at_all() {
    let (world, path) = world_with_operator_file("[memory]\nreport_every = 0\n");
    std::fs::write(&path, "[memory]\nreport_every = 250ms\n[memory.hats]\ncap = 1%\n").unwrap();
    world.program.signal("HUP");
    let line = world
        .program
        .wait_for_log_line("configuration reload failed, keeping the previous configuration", TEST_TIMEOUT)
        .unwrap();
    assert!(line.contains("[memory.hats] is an unknown section") && line.contains("line 3"), "{line}");
    std::fs::write(&path, "[memory]\nreport_every = 250ms\n[log]\nformat = json\n").unwrap();
    world.program.signal("HUP");
    let line = world.program.wait_for_log_line("changed keys that need a restart", TEST_TIMEOUT).unwrap();
    assert!(line.contains("[log] format"), "{line}");
    world.program.wait_for_log_line("memory by purpose", TEST_TIMEOUT).unwrap();
}

// Pipelined commands with large values, of which the first is not answered.

#[test]
fn pipelined_values_are_returned_in_order_or_errored_if_there_is_no_room() {
    use std::io::{BufRead, BufReader, Read, Write};
    let world = four_node_world(8, 256);
    world.nodes.iter().for_each(|node| node.update_behavior(|behavior| behavior.value_bytes = 60_000));
    world.nodes.iter().for_each(|node| node.script([ScriptedReply::NoReply]));
    let mut stream = std::net::TcpStream::connect(world.program.addr).unwrap();
    stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
    let ids: Vec<_> = (0..60).map(|n| format!("{n:016x}")).collect();
    for id in &ids {
        let command = wire::encode_command(&[b"SVC.QUERY", b"7f3a", id.as_bytes(), b"c=read,t=acme,d=900"]);
        stream.write_all(&command).unwrap();
    }
    let mut answers = BufReader::new(stream);
    let mut values = 0;
    for id in &ids {
        let mut line = String::new();
        answers.read_line(&mut line).unwrap();
        if let Some(length) = line.strip_prefix('$') {
            let mut value = vec![0; length.trim_end().parse::<usize>().unwrap() + 2];
            answers.read_exact(&mut value).unwrap();
            assert!(value.starts_with(id.as_bytes()), "value of another hit, for {id}");
            values += 1;
        } else {
            assert!(line.starts_with("-ERR failed") || line.starts_with("-BUSY"), "{line}");
        }
    }
    assert!(values > 0, "no value was returned");
    assert!(world.program.usage().unwrap().resident_bytes < 8 * MIB);
    assert_recovered(&world);
}

/// Hits behind the first one of a connection: their values are about the whole memory for client output.
const HITS_BEHIND: u64 = 100;

/// Sends a hit to which no node replies, and behind it hits whose replies have to wait for that one's.
fn send_behind_unanswered(world: &World, first_id: u64) -> RawClient {
    let hit = |number: u64, group: usize| {
        let client_timeout = Duration::from_millis(1_400);
        let kind = HitKind { group, share: 1.0, body_bytes: 4, client_timeout };
        TestHit { id: format!("{:016x}", first_id + number), group: &world.path_groups[group], kind }
    };
    let commands_received = || world.nodes.iter().map(|node| node.commands_received()).sum::<u64>();
    let mut client = RawClient::connect(world.program.addr).unwrap();
    world.set_fault_mode_of_all_nodes(FaultMode::Silent);
    let before = commands_received();
    client.send(&hit(0, MUTATING).encode()).unwrap();
    assert!(wait_until(TEST_TIMEOUT, || commands_received() > before));
    world.set_fault_mode_of_all_nodes(FaultMode::Healthy);
    let behind = (1..=HITS_BEHIND).flat_map(|number| hit(number, REPEATABLE).encode());
    client.send(&behind.collect::<Vec<_>>()).unwrap();
    client
}

/// Replies that wait in the marshal behind one that a node owes counted as output that their client does not take: whole
/// connections of clients that read all that they are sent were cut (review/6).
#[test]
fn a_client_is_not_cut_for_replies_that_wait_behind_an_earlier_one() {
    let world = exclusive_world(6, Limits { memory_mb: 32, sockets: 256 }, &[]);
    for node in &world.nodes {
        node.update_behavior(|behavior| (behavior.value_bytes, behavior.cores) = (60_000, 64));
    }
    let mut clients: Vec<_> = (1..=3_u64)
        .map(|number| {
            let client = send_behind_unanswered(&world, number << 16);
            // Longer than a client may take no output while others need the memory.
            thread::sleep(Duration::from_millis(600));
            client
        })
        .collect();
    let answered: Vec<_> = clients
        .iter_mut()
        .map(|client| (0..=HITS_BEHIND).take_while(|_| matches!(client.read_reply(), Ok(Some(_)))).count())
        .collect();
    let peak = world.program.usage().map_or(usize::MAX, |usage| usage.peak_bytes);
    assert!(peak < 32 * MIB, "peak {peak}");
    assert_eq!(answered, [HITS_BEHIND as usize + 1; 3]);
}
