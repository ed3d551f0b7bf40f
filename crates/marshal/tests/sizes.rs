//! Tests at full fleet size: node lists and settings of 1,024 nodes and marshals are applied, served and replaced, also
//! with little memory.

use rstest::rstest;
use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::ops::{Deref, Range};
use std::path::Path;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;
use stonescale_lab::World;
use stonescale_lab::discovery::Entry;
use stonescale_lab::node::{Node, NodeBehavior};
use stonescale_lab::runtime::wait_until;
use stonescale_lab::site::Limits;
use stonescale_lab::wire;
use stonescale_lab::world::FIRST_BUILD;

const FLEET_SIZE: usize = 1_024;
const ZONES: [&str; 4] = ["a", "b", "c", "d"];
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// A fleet of two stand-in nodes: the ids of a list all have the address of the first one, and those that replace them
/// that of the second.
struct Fleet(World);

impl Deref for Fleet {
    type Target = World;
    fn deref(&self) -> &World {
        &self.0
    }
}

fn list_entries(node: &Node, ids: Range<usize>, state: &str) -> Vec<Entry> {
    let entry = |id: usize| Entry {
        zone: ZONES[id % ZONES.len()].into(),
        state: state.into(),
        ..Entry::up(&format!("s-{id:08x}"), node.addr, FIRST_BUILD)
    };
    ids.map(entry).collect()
}

/// Starts a marshal whose configuration has this many nodes and marshals.
fn start_fleet(
    node_count: usize, marshal_count: usize, memory_mb: usize, edit_config: impl Fn(&mut Value),
) -> Fleet {
    let binary = Path::new(env!("CARGO_BIN_EXE_stonescale"));
    let behavior = NodeBehavior { cores: 64, ..NodeBehavior::default() };
    let change = |config: &mut Value| {
        let settings = &mut config["settings"];
        settings["azs"] = json!(ZONES);
        (settings["me"], settings["siblings"]) = (json!(marshal_count - 1), json!(marshal_count));
        settings["specifics"]["noes_needed"] = json!(marshal_count / 4);
        settings["specifics"]["votes_to_hold"] = json!(marshal_count / 10);
        // All ids get the address of the first node.
        let servers = config["known"]["servers"].as_array_mut().unwrap();
        let first = servers.swap_remove(0);
        servers.clear();
        servers.extend((0..node_count).map(|id| {
            let mut server = first.clone();
            server["id"] = json!(format!("s-{id:08x}"));
            server["zone"] = json!(ZONES[id % ZONES.len()]);
            server
        }));
        edit_config(config);
    };
    Fleet(
        World::start_with_config(binary, 2, Limits { memory_mb, sockets: 512 }, &behavior, &[], change)
            .unwrap(),
    )
}

impl Fleet {
    /// Sends hits until one reaches this node, which shows that the list with its address has been applied.
    fn wait_until_reached(&self, node: usize) {
        let before = self.nodes[node].commands_received();
        let reached = wait_until(TEST_TIMEOUT, || {
            self.count_served(1, "read") == 1 && self.nodes[node].commands_received() > before
        });
        assert!(reached, "{:?}", self.program.log.try_iter().collect::<Vec<_>>());
    }

    /// Sends this many hits one after another; returns how many are served.
    fn count_served(&self, hit_count: usize, path_group: &str) -> usize {
        let mut stream = BufReader::new(TcpStream::connect(self.program.addr).unwrap());
        stream.get_ref().set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        let fields = format!("c={path_group},t=acme,d=1400");
        // Each request has an id of its own.
        static IDS: AtomicU64 = AtomicU64::new(0);
        let mut is_served = || {
            let id = format!("{:016x}", IDS.fetch_add(1, Ordering::SeqCst));
            let command = match path_group {
                "read" => wire::encode_command(&[b"SVC.QUERY", b"7f3a", id.as_bytes(), fields.as_bytes()]),
                _ => {
                    wire::encode_command(&[b"SVC.SUBMIT", b"7f3a", id.as_bytes(), fields.as_bytes(), b"body"])
                }
            };
            stream.get_mut().write_all(&command).unwrap();
            let mut line = String::new();
            stream.read_line(&mut line).unwrap();
            let Some(length) = line.strip_prefix('$').and_then(|n| n.trim().parse::<usize>().ok()) else {
                return false;
            };
            stream.read_exact(&mut vec![0; length + 2]).unwrap();
            true
        };
        (0..hit_count).filter(|_| is_served()).count()
    }
}

#[rstest]
#[case::ample_memory(192)]
#[case::memory_of_the_full_fleet(56)]
#[case::little_memory(8)]
fn lists_of_many_nodes_are_applied_served_and_replaced(#[case] memory_mb: usize) {
    let fleet = start_fleet(FLEET_SIZE, FLEET_SIZE, memory_mb, |_| ());
    assert_eq!(fleet.count_served(50, "read") + fleet.count_served(50, "book"), 100);
    // All nodes are replaced at once by others; then the first ids return.
    for (removed, added, node) in
        [(0..FLEET_SIZE, FLEET_SIZE..2 * FLEET_SIZE, 1), (FLEET_SIZE..2 * FLEET_SIZE, 0..FLEET_SIZE, 0)]
    {
        fleet.discovery.publish(list_entries(&fleet.nodes[1 - node], removed, "removed"));
        fleet.discovery.publish(list_entries(&fleet.nodes[node], added, "up"));
        fleet.wait_until_reached(node);
        assert_eq!(fleet.count_served(50, "read"), 50);
    }
    let lines: Vec<String> = fleet.program.log.try_iter().collect();
    assert!(lines.iter().all(|line| !line.contains("left out") && !line.contains("no room")), "{lines:?}");
    let resident = fleet.program.usage().unwrap().peak_bytes;
    assert!(resident < memory_mb << 20, "{resident} of {memory_mb} MiB");
}

#[rstest]
#[case::no_zones(json!([]))]
#[case::missing(Value::Null)]
fn nodes_of_unknown_zones_and_zones_without_nodes_are_handled(#[case] zones: Value) {
    let fleet = start_fleet(8, 4, 56, |config| {
        config["settings"]["azs"] = zones.clone();
        config["settings"]["zone"] = Value::Null;
    });
    assert_eq!(fleet.count_served(20, "read"), 20);
    fleet.discovery.publish(list_entries(&fleet.nodes[0], 0..8, "removed"));
    assert!(wait_until(TEST_TIMEOUT, || fleet.count_served(1, "read") == 0), "no node is left");
    fleet.discovery.publish(list_entries(&fleet.nodes[1], 0..8, "up"));
    fleet.wait_until_reached(1);
    assert_eq!(fleet.count_served(20, "book"), 20);
}

#[rstest]
#[case::missing(Value::Null)]
#[case::zero(json!(0.0))]
#[case::small(json!(0.001))]
fn a_path_group_of_zero_or_small_benefit_is_served_if_there_is_room(#[case] benefit: Value) {
    let fleet = start_fleet(16, 4, 56, |config| config["settings"]["classes"][2]["worth"] = benefit.clone());
    assert_eq!(fleet.count_served(50, "book"), 50);
}

#[rstest]
fn a_marshal_with_a_full_fleet_has_few_threads() {
    let fleet = start_fleet(FLEET_SIZE, FLEET_SIZE, 56, |_| ());
    assert_eq!(fleet.count_served(20, "read"), 20);
    let threads = std::fs::read_dir(format!("/proc/{}/task", fleet.program.pid())).unwrap().count();
    assert!(threads <= 3, "{threads} threads");
}

/// Prints the memory and threads of a marshal by the number of nodes and marshals in its settings (docs/sizes.md):
/// `cargo test --release -p stonescale-marshal --test sizes -- --ignored --nocapture`.
#[test]
#[ignore = "a measurement"]
fn memory_and_threads_by_fleet_size() {
    println!("| nodes | marshals | KiB at its most, after 200 hits | threads |\n| --- | --- | --- | --- |");
    for (nodes, marshals) in [16, 150, 350, 1_024].into_iter().flat_map(|n| [(n, 1), (n, 350)]) {
        let fleet = start_fleet(nodes, marshals, 56, |_| ());
        assert_eq!(fleet.count_served(200, "read"), 200);
        let peak = fleet.program.usage().unwrap().peak_bytes >> 10;
        let threads = std::fs::read_dir(format!("/proc/{}/task", fleet.program.pid())).unwrap().count();
        println!("| {nodes} | {marshals} | {peak} | {threads} |");
    }
}
