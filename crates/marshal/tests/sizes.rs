//! Full fleets: lists and settings of 1,024 nodes and marshals are taken, served and replaced, with little memory too.

use rstest::rstest;
use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::TcpStream;
use std::ops::{Deref, Range};
use std::path::Path;
use std::time::Duration;
use stonescale_lab::World;
use stonescale_lab::discovery::Entry;
use stonescale_lab::node::{Node, NodeBehavior};
use stonescale_lab::runtime::wait_until;
use stonescale_lab::site::Limits;
use stonescale_lab::wire;
use stonescale_lab::world::FIRST_BUILD;

const MANY: usize = 1_024;
const ZONES: [&str; 4] = ["a", "b", "c", "d"];
const LONG: Duration = Duration::from_secs(20);

/// One listener stands for all nodes of a list: that has as many ids for it as it likes. Another is for those that come
/// in their place.
struct Fleet(World);

impl Deref for Fleet {
    type Target = World;
    fn deref(&self) -> &World {
        &self.0
    }
}

fn entries(node: &Node, ids: Range<usize>, state: &str) -> Vec<Entry> {
    let entry = |id: usize| Entry {
        zone: ZONES[id % ZONES.len()].into(),
        state: state.into(),
        ..Entry::up(&format!("s-{id:08x}"), node.addr, FIRST_BUILD)
    };
    ids.map(entry).collect()
}

/// A marshal that is told of so many nodes and marshals.
fn fleet(nodes: usize, marshals: usize, memory_mb: usize, change: impl Fn(&mut Value)) -> Fleet {
    let binary = Path::new(env!("CARGO_BIN_EXE_stonescale"));
    let manner = NodeBehavior { cores: 64, ..NodeBehavior::default() };
    let change = |config: &mut Value| {
        let settings = &mut config["settings"];
        settings["azs"] = json!(ZONES);
        (settings["me"], settings["siblings"]) = (json!(marshals - 1), json!(marshals));
        settings["specifics"]["noes_needed"] = json!(marshals / 4);
        settings["specifics"]["votes_to_hold"] = json!(marshals / 10);
        // As many ids as wanted, for the listener of the first node.
        let servers = config["known"]["servers"].as_array_mut().unwrap();
        let first = servers.swap_remove(0);
        servers.clear();
        servers.extend((0..nodes).map(|id| {
            let mut server = first.clone();
            server["id"] = json!(format!("s-{id:08x}"));
            server["zone"] = json!(ZONES[id % ZONES.len()]);
            server
        }));
        change(config);
    };
    Fleet(
        World::start_with_config(binary, 2, Limits { memory_mb, sockets: 512 }, &manner, &[], change)
            .unwrap(),
    )
}

impl Fleet {
    /// Asks until the list that leads to a listener has been taken in.
    fn reaches(&self, node: usize) {
        let before = self.nodes[node].commands_received();
        let there =
            wait_until(LONG, || self.served(1, "read") == 1 && self.nodes[node].commands_received() > before);
        assert!(there, "{:?}", self.program.log.try_iter().collect::<Vec<_>>());
    }

    /// Asks so many hits one after another; how many are served.
    fn served(&self, hits: usize, class: &str) -> usize {
        let mut stream = BufReader::new(TcpStream::connect(self.program.addr).unwrap());
        stream.get_ref().set_read_timeout(Some(LONG)).unwrap();
        let list = format!("c={class},t=acme,d=1400");
        let mut one = |at: usize| {
            let id = format!("{at:016x}");
            let command = match class {
                "read" => wire::encode_command(&[b"SVC.QUERY", b"7f3a", id.as_bytes(), list.as_bytes()]),
                _ => wire::encode_command(&[b"SVC.SUBMIT", b"7f3a", id.as_bytes(), list.as_bytes(), b"body"]),
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
        (0..hits).filter(|at| one(*at)).count()
    }
}

#[rstest]
#[case::by_far_enough_memory(192)]
#[case::as_the_full_fleet_has(56)]
#[case::little(8)]
fn lists_of_many_nodes_are_taken_served_and_replaced(#[case] memory_mb: usize) {
    let fleet = fleet(MANY, MANY, memory_mb, |_| ());
    assert_eq!(fleet.served(50, "read") + fleet.served(50, "book"), 100);
    // All of them go at once, and others come; then the same ids are back.
    for (gone, here, node) in [(0..MANY, MANY..2 * MANY, 1), (MANY..2 * MANY, 0..MANY, 0)] {
        fleet.discovery.publish(entries(&fleet.nodes[1 - node], gone, "removed"));
        fleet.discovery.publish(entries(&fleet.nodes[node], here, "up"));
        fleet.reaches(node);
        assert_eq!(fleet.served(50, "read"), 50);
    }
    let lines: Vec<String> = fleet.program.log.try_iter().collect();
    assert!(lines.iter().all(|line| !line.contains("left out") && !line.contains("no room")), "{lines:?}");
    let resident = fleet.program.usage().unwrap().peak_bytes;
    assert!(resident < memory_mb << 20, "{resident} of {memory_mb} MiB");
}

#[rstest]
#[case::none_named(json!([]))]
#[case::nothing_said(Value::Null)]
fn a_node_of_no_known_zone_and_a_zone_without_nodes_are_no_trouble(#[case] zones: Value) {
    let fleet = fleet(8, 4, 56, |config| {
        config["settings"]["azs"] = zones.clone();
        config["settings"]["zone"] = Value::Null;
    });
    assert_eq!(fleet.served(20, "read"), 20);
    fleet.discovery.publish(entries(&fleet.nodes[0], 0..8, "removed"));
    assert!(wait_until(LONG, || fleet.served(1, "read") == 0), "no node is left");
    fleet.discovery.publish(entries(&fleet.nodes[1], 0..8, "up"));
    fleet.reaches(1);
    assert_eq!(fleet.served(20, "book"), 20);
}

#[rstest]
#[case::nothing_said(Value::Null)]
#[case::nothing(json!(0.0))]
#[case::a_little(json!(0.001))]
fn a_path_group_of_no_worth_is_served_where_there_is_room(#[case] worth: Value) {
    let fleet = fleet(16, 4, 56, |config| config["settings"]["classes"][2]["worth"] = worth.clone());
    assert_eq!(fleet.served(50, "book"), 50);
}

#[rstest]
fn a_marshal_has_few_threads_whatever_the_fleet() {
    let fleet = fleet(MANY, MANY, 56, |_| ());
    assert_eq!(fleet.served(20, "read"), 20);
    let threads = std::fs::read_dir(format!("/proc/{}/task", fleet.program.pid())).unwrap().count();
    assert!(threads <= 3, "{threads} threads");
}

/// Prints what a marshal holds with so many nodes and marshals in its list and settings (docs/sizes.md):
/// `cargo test --release -p stonescale-marshal --test sizes -- --ignored --nocapture`.
#[test]
#[ignore = "a measurement"]
fn what_nodes_and_marshals_occupy() {
    println!("| nodes | marshals | KiB at its most, after 200 hits | threads |\n| --- | --- | --- | --- |");
    for (nodes, marshals) in [16, 150, 350, 1_024].into_iter().flat_map(|n| [(n, 1), (n, 350)]) {
        let fleet = fleet(nodes, marshals, 56, |_| ());
        assert_eq!(fleet.served(200, "read"), 200);
        let peak = fleet.program.usage().unwrap().peak_bytes >> 10;
        let threads = std::fs::read_dir(format!("/proc/{}/task", fleet.program.pid())).unwrap().count();
        println!("| {nodes} | {marshals} | {peak} | {threads} |");
    }
}
