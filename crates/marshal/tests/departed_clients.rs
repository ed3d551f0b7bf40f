//! Clients that close their connection while hits of theirs are open or unread: nothing is sent for them any more, and
//! their ids do not run twice. The marshal's binary on loopback, with scripted nodes.

use rstest::rstest;
use rustix::net::{AddressFamily, SocketType};
use serde_json::json;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, TcpStream};
use std::path::Path;
use std::time::{Duration, Instant};
use stonescale_lab::World;
use stonescale_lab::checker::Outcome;
use stonescale_lab::discovery::Entry;
use stonescale_lab::load::HitKind;
use stonescale_lab::node::{FaultMode, NodeBehavior, ScriptedReply};
use stonescale_lab::platform::BuildStatus;
use stonescale_lab::raw_client::{RawClient, TestHit};
use stonescale_lab::runtime::wait_until;
use stonescale_lab::site::{Limits, MUTATING, REPEATABLE, TAGGED};
use stonescale_lab::world::FIRST_BUILD;

/// Longer than any step of a test takes; a test that waits this long has failed.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);
/// Commands of one client, more than the marshal keeps open on a connection.
const PIPELINED_COMMANDS: u64 = 400;
const CLIENT_TIMEOUT: Duration = Duration::from_millis(900);

fn world(nodes: usize) -> World {
    let binary = Path::new(env!("CARGO_BIN_EXE_stonescale"));
    World::start(binary, nodes, Limits::default(), &NodeBehavior::default(), &[]).unwrap()
}

fn hit(world: &World, number: u64, group: usize, client_timeout: Duration) -> TestHit<'_> {
    let kind = HitKind { group, share: 1.0, body_bytes: 4, client_timeout };
    TestHit { id: format!("{number:016x}"), group: &world.path_groups[group], kind }
}

fn commands_received(world: &World) -> u64 {
    world.nodes.iter().map(|node| node.commands_received()).sum()
}

/// Sends the hits at once, and waits until a node has one of them.
fn send_pipelined(world: &World, hits: &[TestHit]) -> RawClient {
    let mut client = RawClient::connect(world.program.addr).unwrap();
    hits.iter().for_each(|hit| hit.record_sent(&world.checker, world.runtime.clock));
    client.send(&hits.iter().flat_map(TestHit::encode).collect::<Vec<_>>()).unwrap();
    assert!(wait_until(TEST_TIMEOUT, || commands_received(world) > 0), "the first hits are forwarded");
    client
}

/// Closes the connection, and waits until every hit would have ended by its timeout twice over.
fn leave(world: &World, client: RawClient, hits: &[TestHit]) {
    drop(client);
    hits.iter().for_each(|hit| hit.record_left(&world.checker, world.runtime.clock));
    std::thread::sleep(CLIENT_TIMEOUT * 2);
}

#[rstest]
#[case::silent_nodes(None)]
#[case::nodes_that_reject_late(Some(Duration::from_millis(500)))]
fn commands_of_a_client_that_left_with_many_unread_are_not_forwarded(
    #[case] rejected_after: Option<Duration>, #[values(REPEATABLE, TAGGED, MUTATING)] group: usize,
) {
    let world = world(4);
    match rejected_after {
        None => world.set_fault_mode_of_all_nodes(FaultMode::Silent),
        Some(delay) => world.nodes.iter().for_each(|node| {
            node.script(vec![ScriptedReply::SendAfter(delay, b"-BUSY\r\n".to_vec()); 1_000])
        }),
    }
    let hits: Vec<_> =
        (1..=PIPELINED_COMMANDS).map(|number| hit(&world, number, group, CLIENT_TIMEOUT)).collect();
    let client = send_pipelined(&world, &hits);
    leave(&world, client, &hits);
    assert_eq!(world.checker.violation_report(), "");
}

/// The end of the connection reaches the marshal only once it has read what the system holds for the client.
#[rstest]
#[case::silent_nodes(None)]
#[case::nodes_that_reject_late(Some(Duration::from_millis(500)))]
fn megabytes_unread_do_not_hide_that_their_client_left(#[case] rejected_after: Option<Duration>) {
    let world = world(4);
    match rejected_after {
        None => world.set_fault_mode_of_all_nodes(FaultMode::Silent),
        Some(delay) => world.nodes.iter().for_each(|node| {
            node.script(vec![ScriptedReply::SendAfter(delay, b"-BUSY\r\n".to_vec()); 1_000])
        }),
    }
    let hits: Vec<_> = (1..=PIPELINED_COMMANDS / 2)
        .map(|number| {
            let mut hit = hit(&world, number, MUTATING, CLIENT_TIMEOUT);
            hit.kind.body_bytes = 60_000;
            hit
        })
        .collect();
    let mut client = RawClient::connect(world.program.addr).unwrap();
    client.stream().set_write_timeout(Some(Duration::from_millis(100))).unwrap();
    let commands: Vec<_> = hits.iter().map(TestHit::encode).collect();
    let commands = commands.concat();
    hits.iter().for_each(|hit| hit.record_sent(&world.checker, world.runtime.clock));
    // As much as the system takes without waiting for the marshal; the rest is never sent.
    let _ = client.send(&commands);
    leave(&world, client, &hits);
    assert_eq!(world.checker.violation_report(), "");
}

#[test]
fn commands_read_only_after_their_client_half_closed_are_answered_without_a_forward() {
    let world = world(4);
    world.set_fault_mode_of_all_nodes(FaultMode::Silent);
    let hits: Vec<_> =
        (1..=PIPELINED_COMMANDS).map(|number| hit(&world, number, REPEATABLE, CLIENT_TIMEOUT)).collect();
    let mut client = send_pipelined(&world, &hits);
    client.end_sending().unwrap();
    let half_closed_at = Instant::now();
    hits.iter().for_each(|hit| hit.record_left(&world.checker, world.runtime.clock));
    for hit in &hits {
        let reply = client.read_reply().unwrap().unwrap_or_else(|| panic!("no reply to {}", hit.id));
        assert!(reply.starts_with('-'), "{reply}");
    }
    assert_eq!(client.read_reply().unwrap(), None);
    assert!(half_closed_at.elapsed() < CLIENT_TIMEOUT, "answered after {:?}", half_closed_at.elapsed());
    assert_eq!(world.checker.violation_report(), "");
}

#[test]
fn a_hit_of_a_client_that_resets_its_connection_is_not_retried() {
    let world = world(4);
    let reject_late = ScriptedReply::SendAfter(Duration::from_millis(500), b"-BUSY\r\n".to_vec());
    world.nodes.iter().for_each(|node| node.script([reject_late.clone()]));
    let hits = [hit(&world, 1, MUTATING, CLIENT_TIMEOUT)];
    let client = send_pipelined(&world, &hits);
    rustix::net::sockopt::set_socket_linger(client.stream(), Some(Duration::ZERO)).unwrap();
    leave(&world, client, &hits);
    assert_eq!(commands_received(&world), 1);
    assert_eq!(world.checker.violation_report(), "");
}

#[test]
fn a_client_that_half_closed_and_reads_nothing_does_not_hold_up_others() {
    let large_values = NodeBehavior { value_bytes: 60_000, ..NodeBehavior::default() };
    let binary = Path::new(env!("CARGO_BIN_EXE_stonescale"));
    let world = World::start(binary, 4, Limits::default(), &large_values, &[]).unwrap();
    let hits: Vec<_> =
        (1..=PIPELINED_COMMANDS).map(|number| hit(&world, number, REPEATABLE, CLIENT_TIMEOUT)).collect();
    let reader = RawClient::connect(world.program.addr).unwrap();
    rustix::net::sockopt::set_socket_recv_buffer_size(reader.stream(), 16 * 1024).unwrap();
    let mut reader = reader;
    reader.send(&hits.iter().flat_map(TestHit::encode).collect::<Vec<_>>()).unwrap();
    // The first values fill the buffers between the marshal and this client.
    assert!(wait_until(TEST_TIMEOUT, || commands_received(&world) > 16));
    reader.end_sending().unwrap();
    let mut other = RawClient::connect(world.program.addr).unwrap();
    for _ in 0..5 {
        let asked_at = Instant::now();
        other.send(b"*1\r\n$4\r\nPING\r\n").unwrap();
        assert_eq!(other.read_reply().unwrap().unwrap(), "+PONG");
        let latency = asked_at.elapsed();
        assert!(latency < world.path_groups[REPEATABLE].latency_target, "answered after {latency:?}");
        std::thread::sleep(Duration::from_millis(50));
    }
}

/// A listener whose queue of connections is full: a new connection comes up only after `accept_all`, when the system
/// sends its request again a second later.
struct FullListener {
    listener: TcpListener,
    addr: SocketAddr,
    _queued: Vec<TcpStream>,
}

impl FullListener {
    fn start() -> Self {
        let socket = rustix::net::socket(AddressFamily::INET, SocketType::STREAM, None).unwrap();
        rustix::net::bind(&socket, &SocketAddr::from((Ipv4Addr::LOCALHOST, 0))).unwrap();
        rustix::net::listen(&socket, 0).unwrap();
        let listener = TcpListener::from(socket);
        let addr = listener.local_addr().unwrap();
        let queued = std::iter::repeat_with(|| TcpStream::connect_timeout(&addr, Duration::from_millis(200)))
            .map_while(Result::ok)
            .collect();
        FullListener { listener, addr, _queued: queued }
    }

    /// Accepts what is queued, and then the connections that follow, until one of them has sent something; returns
    /// what it sent within `duration`.
    fn received_within(&self, duration: Duration) -> Vec<u8> {
        let until = Instant::now() + duration;
        let (mut accepted, mut received) = (Vec::new(), Vec::new());
        self.listener.set_nonblocking(true).unwrap();
        while Instant::now() < until {
            if let Ok((stream, _)) = self.listener.accept() {
                stream.set_nonblocking(true).unwrap();
                accepted.push(stream);
            }
            for stream in &mut accepted {
                let mut chunk = [0; 4096];
                if let Ok(count) = std::io::Read::read(stream, &mut chunk) {
                    received.extend_from_slice(&chunk[..count]);
                }
            }
            std::thread::sleep(Duration::from_millis(2));
        }
        received
    }
}

/// Longer than the connection to a [`FullListener`] takes.
const PATIENT_CLIENT_TIMEOUT: Duration = Duration::from_secs(5);

/// A site whose only node is this listener; connections to it may take some seconds.
fn world_with_slow_connections(node: &FullListener) -> World {
    let binary = Path::new(env!("CARGO_BIN_EXE_stonescale"));
    let world = World::start_with_config(
        binary,
        0,
        Limits::default(),
        &NodeBehavior::default(),
        &["--log", "trace"],
        |config| {
            config["settings"]["limits"]["connect_timeout_ns"] = json!(4_000_000_000_u64);
            config["settings"]["classes"][MUTATING]["deadline_ns"] =
                json!(PATIENT_CLIENT_TIMEOUT.as_nanos() as u64);
        },
    )
    .unwrap();
    world.discovery.publish([Entry::up("s-0", node.addr, FIRST_BUILD)]);
    world
}

/// A forward that waits for a connection must not be sent long after the stage by whose cap it was allowed.
#[test]
fn a_forward_that_waits_for_a_connection_is_decided_anew_when_the_stage_changes() {
    let node = FullListener::start();
    let world = world_with_slow_connections(&node);
    let waiting = hit(&world, 0xaaaa, MUTATING, PATIENT_CLIENT_TIMEOUT);
    let mut client = RawClient::connect(world.program.addr).unwrap();
    client.send(&waiting.encode()).unwrap();
    world.program.wait_for_log_line(&format!("hit {} forward 0", waiting.id), TEST_TIMEOUT).unwrap();
    world.platform.announce(BuildStatus::testing(FIRST_BUILD + 1, 0, 0.1));
    let withdrawn = format!("hit {} forward 0: Withdrawn", waiting.id);
    world.program.wait_for_log_line(&withdrawn, TEST_TIMEOUT).unwrap();
}

#[test]
fn a_forward_queued_on_a_connection_being_established_is_withdrawn_when_its_client_leaves() {
    let node = FullListener::start();
    let world = world_with_slow_connections(&node);
    let patient = PATIENT_CLIENT_TIMEOUT;
    let (staying, leaving) = (hit(&world, 0xaaaa, MUTATING, patient), hit(&world, 0xbbbb, MUTATING, patient));
    let mut clients = Vec::new();
    for hit in [&staying, &leaving] {
        let mut client = RawClient::connect(world.program.addr).unwrap();
        client.send(&hit.encode()).unwrap();
        world.program.wait_for_log_line(&format!("hit {} forward 0", hit.id), TEST_TIMEOUT).unwrap();
        clients.push(client);
    }
    drop(clients.pop());
    world
        .program
        .wait_for_log_line(&format!("hit {}: client disconnected", leaving.id), TEST_TIMEOUT)
        .unwrap();
    let received = node.received_within(Duration::from_secs(3));
    let received = String::from_utf8_lossy(&received);
    assert!(received.contains(&staying.id), "the connection came up");
    assert!(!received.contains(&leaving.id), "{received}");
}

#[test]
fn an_id_that_may_have_run_is_not_forwarded_again_after_its_client_left() {
    let world = world(2);
    world.nodes.iter().for_each(|node| node.script([ScriptedReply::NoReply]));
    let again = hit(&world, 0xcccc, MUTATING, CLIENT_TIMEOUT);
    let client = send_pipelined(&world, std::slice::from_ref(&again));
    drop(client);
    let mut second = RawClient::connect(world.program.addr).unwrap();
    second.send(&again.encode()).unwrap();
    let reply = second.read_reply().unwrap().unwrap();
    assert!(reply.starts_with("-ERR"), "{reply}");
    assert_eq!(commands_received(&world), 1);
}

#[rstest]
#[case(REPEATABLE)]
#[case(TAGGED)]
#[case(MUTATING)]
fn a_copy_of_an_open_id_gets_an_error_and_the_first_hit_its_value(#[case] group: usize) {
    let world = world(2);
    let delay = Duration::from_millis(200);
    let original = hit(&world, 0xdddd, group, CLIENT_TIMEOUT);
    let value = |id: &str| format!("*1\r\n$16\r\n{id}\r\n").into_bytes();
    let script = || [ScriptedReply::SendAfter(delay, value(&original.id))];
    world.nodes.iter().for_each(|node| node.script(script()));
    let mut first = send_pipelined(&world, std::slice::from_ref(&original));
    let mut copy = RawClient::connect(world.program.addr).unwrap();
    copy.send(&original.encode()).unwrap();
    let reply = copy.read_reply().unwrap().unwrap();
    assert!(reply.starts_with("-ERR") && reply.contains("id"), "{reply}");
    let reply = first.read_reply().unwrap().unwrap();
    assert_eq!(
        original.record_reply(&world.checker, world.runtime.clock, &reply),
        Outcome::Delivered,
        "{reply}"
    );
}

#[rstest]
#[case::empty_id("", "c=read,t=acme,d=900")]
#[case::long_id("0123456789abcdef0123456789abcdef0123456789abcdef0123456789abcdef0", "c=read,t=acme,d=900")]
#[case::id_with_a_line_break("9b\r\n1f", "c=read,t=acme,d=900")]
#[case::repeated_field("9b1f", "c=read,c=read,t=acme,d=900")]
fn a_hit_with_an_unusable_id_or_field_list_gets_an_error(#[case] id: &str, #[case] fields: &str) {
    let world = world(1);
    let mut client = RawClient::connect(world.program.addr).unwrap();
    let arguments = [&b"SVC.QUERY"[..], b"7f3a", id.as_bytes(), fields.as_bytes()];
    client.send(&stonescale_lab::wire::encode_command(&arguments)).unwrap();
    let reply = client.read_reply().unwrap().unwrap();
    assert!(reply.starts_with("-ERR "), "{reply}");
    assert_eq!(commands_received(&world), 0);
}

#[test]
fn the_report_counts_why_commands_and_connections_ended() {
    let world = world(1);
    world.nodes[0].script([ScriptedReply::NoReply]);
    let left = hit(&world, 0xeeee, MUTATING, CLIENT_TIMEOUT);
    let client = send_pipelined(&world, std::slice::from_ref(&left));
    drop(client);
    let mut second = RawClient::connect(world.program.addr).unwrap();
    second.send(&left.encode()).unwrap();
    assert_eq!(second.read_reply().unwrap().unwrap(), "-ERR id is in use");
    world.program.signal("USR1");
    let mut expected = vec![
        "client_connections_accepted_total 2",
        "client_connections_closed_total{reason=\"ClientLeft\"} 1",
        "commands_refused_total{reason=\"IdInUse\"} 1",
        "hits_total{answer=\"ClientLeft\"} 1",
        "forwards_total{reason=\"CalledOff\",sent=\"true\"} 1",
    ];
    while !expected.is_empty() {
        let line = world.program.wait_for_log_line("counters: ", TEST_TIMEOUT).unwrap();
        expected.retain(|sample| !line.contains(sample));
    }
}
