//! System calls that fail as Linux documents: interrupted, cut short, or failing for one connection; a wall clock that is
//! stepped. A preloaded library (shim/faulty_calls.c) makes them do so; the usual clients must be served as without it.

use rstest::rstest;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::LazyLock;
use std::time::Duration;
use stonescale_lab::World;
use stonescale_lab::load::{Load, LoadPlan};
use stonescale_lab::node::NodeBehavior;
use stonescale_lab::raw_client::RawClient;
use stonescale_lab::site::{Limits, REPEATABLE};
use stonescale_lab::soak_clients::ClientSite;
use stonescale_lab::world::FIRST_BUILD;

const RUN: Duration = Duration::from_secs(3);
/// After this the wall clock has been stepped, and calls fail that are to.
const STEP_PASSED: Duration = Duration::from_millis(800);
/// The warm-up of the laboratory's site, and some more.
const WARM_UP: Duration = Duration::from_millis(1_300);
/// Of the hits, delivered within the target latency.
const MIN_IN_TIME: f64 = 0.99;

/// The preloaded library, built with the system's C compiler, which links Rust programs too.
static SHIM: LazyLock<PathBuf> = LazyLock::new(|| {
    let source = concat!(env!("CARGO_MANIFEST_DIR"), "/tests/shim/faulty_calls.c");
    let library = Path::new(env!("CARGO_TARGET_TMPDIR")).join("faulty_calls.so");
    let status = Command::new("cc")
        .args(["-shared", "-fPIC", "-O1", "-o"])
        .args([library.as_os_str(), source.as_ref()])
        .arg("-ldl")
        .status();
    assert!(status.unwrap().success());
    library
});

/// Stops the load; its hits were served within the target latency, and no rule was broken.
fn assert_served_in_time(world: &World, load: &Load) {
    for stats in load.finish() {
        let in_time = stats.in_time_share();
        assert!(in_time >= MIN_IN_TIME, "{in_time} of {}, {} unanswered", stats.hits, stats.unanswered);
    }
    assert_eq!(world.checker.violation_report(), "");
}

#[rstest]
#[case::none("none")]
#[case::interrupted("interrupt")]
#[case::cut_short("short")]
#[case::aborted_connections("abort")]
#[case::no_descriptors_now_and_then("exhaust")]
fn usual_clients_are_served_while_calls_fail(#[case] kind: &str, #[values("20", "3")] one_in: &str) {
    let env = [
        ("LD_PRELOAD", SHIM.to_str().unwrap()),
        ("FAULT_KIND", kind),
        ("FAULT_ONE_IN", one_in),
        ("FAULT_SEED", "7"),
    ];
    let binary = Path::new(env!("CARGO_BIN_EXE_stonescale"));
    let world =
        World::start_with_env(binary, 4, Limits::default(), &NodeBehavior::default(), &[], &env).unwrap();
    let load = world.start_load(LoadPlan::mixed(100.0, 5));
    std::thread::sleep(RUN);
    assert_served_in_time(&world, &load);
}

/// A node that started after the wall clock was stepped forward counted as cold for as long as the step, and one that started
/// after a step back as warm from the start.
#[rstest]
#[case::all_clocks_forward(3_600, 3_600)]
#[case::all_clocks_back(-3_600, -3_600)]
#[case::all_clocks_by_seconds(5, 5)]
#[case::only_the_marshal_forward(3_600, 0)]
#[case::only_the_marshal_back(-3_600, 0)]
fn nodes_that_start_after_a_step_of_the_wall_clock_warm_up_in_real_time(
    #[case] marshal_step_s: i64, #[case] node_step_s: i64,
) {
    let step = marshal_step_s.to_string();
    let env =
        [("LD_PRELOAD", SHIM.to_str().unwrap()), ("CLOCK_STEP_S", &step), ("CLOCK_STEP_AFTER_MS", "300")];
    let binary = Path::new(env!("CARGO_BIN_EXE_stonescale"));
    let behavior = NodeBehavior::default();
    let mut world = World::start_with_env(binary, 2, Limits::default(), &behavior, &[], &env).unwrap();
    let old: Vec<_> = world.nodes.iter().map(|node| node.name.clone()).collect();
    let load = world.start_load(LoadPlan::mixed(100.0, 6));
    std::thread::sleep(STEP_PASSED);
    world.add_nodes_by_stepped_clock(3, FIRST_BUILD, &behavior, node_step_s);
    std::thread::sleep(WARM_UP);
    world.set_node_state(&old, "draining");
    std::thread::sleep(WARM_UP);
    load.take_stats();
    std::thread::sleep(RUN);
    assert_served_in_time(&world, &load);
}

/// Calls of the reactor itself, which no preloaded library reaches: debug builds fail them by a plan (system_faults.rs).
#[rstest]
#[case::no_descriptor_for_a_socket("socket=EMFILE")]
#[case::no_descriptor_in_the_system("socket=ENFILE")]
#[case::no_buffers_for_a_socket("socket=ENOBUFS")]
#[case::no_memory_for_a_socket("socket=ENOMEM")]
#[case::no_local_port("connect=EADDRNOTAVAIL")]
#[case::no_route("connect=ENETUNREACH")]
#[case::host_unreachable("connect=EHOSTUNREACH")]
#[case::routing_cache_full("connect=EAGAIN")]
#[case::connect_interrupted("connect=EINTR")]
#[case::host_unreachable_later("connect_later=EHOSTUNREACH")]
#[case::timed_out_later("connect_later=ETIMEDOUT")]
#[case::refused_later("connect_later=ECONNREFUSED")]
#[case::options_refused("set_option=ENOPROTOOPT")]
#[case::no_memory_to_register("epoll_add=ENOMEM")]
#[case::no_room_to_register("epoll_add=ENOSPC")]
#[case::wait_interrupted("epoll_wait=EINTR")]
#[case::fewer_events("fewer_events=1")]
#[case::events_for_nothing("spurious_events=1")]
fn usual_clients_are_served_while_calls_of_the_reactor_fail(#[case] fault: &str) {
    // A marshal that can't register its signals and its listener ends at its start with an error.
    let plan = format!("seed=11 from_ms=300 {fault}/3");
    let binary = Path::new(env!("CARGO_BIN_EXE_stonescale"));
    let env = [("STONESCALE_FAULTS", plan.as_str())];
    let world =
        World::start_with_env(binary, 4, Limits::default(), &NodeBehavior::default(), &[], &env).unwrap();
    let load = world.start_load(LoadPlan::mixed(100.0, 5));
    std::thread::sleep(RUN);
    assert_served_in_time(&world, &load);
}

/// A connection that was accepted but could not be registered was closed, with the hit that its client had sent.
#[rstest]
#[case::no_memory_to_register("epoll_add=ENOMEM")]
#[case::no_room_to_register("epoll_add=ENOSPC")]
#[case::options_refused("set_option=ENOPROTOOPT")]
#[case::wait_interrupted("epoll_wait=EINTR")]
#[case::fewer_events("fewer_events=1")]
#[case::events_for_nothing("spurious_events=1")]
fn a_hit_on_each_new_connection_is_answered_while_calls_of_the_reactor_fail(#[case] fault: &str) {
    let plan = format!("seed=12 from_ms=300 {fault}/3");
    let binary = Path::new(env!("CARGO_BIN_EXE_stonescale"));
    let env = [("STONESCALE_FAULTS", plan.as_str())];
    let world =
        World::start_with_env(binary, 4, Limits::default(), &NodeBehavior::default(), &[], &env).unwrap();
    std::thread::sleep(STEP_PASSED);
    let site = ClientSite::of(&world);
    for number in 0..60 {
        let hit = site.hit(number, REPEATABLE);
        let mut client = RawClient::connect(site.addr).unwrap();
        client.send(&hit.encode()).unwrap();
        let reply = client.read_reply().unwrap();
        assert!(reply.as_ref().is_some_and(|text| text.starts_with(&hit.id)), "hit {number}: {reply:?}");
    }
}
