//! Outages of discovery: a node that drains meanwhile gets no new forward once discovery is back and the grace has
//! passed, and hits are served throughout.

use rstest::rstest;
use serde_json::json;
use std::path::Path;
use std::time::Duration;
use stonescale::time::Span;
use stonescale_lab::World;
use stonescale_lab::discovery::{Discovery, Entry, Outage};
use stonescale_lab::load::{GroupStats, LoadPlan};
use stonescale_lab::node::NodeBehavior;
use stonescale_lab::site::Limits;
use stonescale_lab::world::FIRST_BUILD;

const NODES: usize = 4;
const HITS_PER_SECOND: f64 = 100.0;
/// Time after a watch fell silent until what it misses counts as told, by the operators' page.
const SILENCE_ALLOWANCE_MS: u64 = 6_000;
/// Hits go on for this long after discovery is back.
const OBSERVED_AFTER: Duration = Duration::from_millis(1_500);

/// A site whose discovery pushes lists, with this grace for drains.
fn start_pushed(grace: Duration) -> World {
    start(grace, "push")
}

fn start(grace: Duration, mode: &str) -> World {
    let binary = Path::new(env!("CARGO_BIN_EXE_stonescale"));
    let world =
        World::start_with_config(binary, NODES, Limits::default(), &NodeBehavior::default(), &[], |config| {
            config["settings"]["membership_mode"] = json!(mode);
            config["settings"]["rules"]["stop_sending_within_ns"] = json!(grace.as_nanos() as u64);
        })
        .unwrap();
    world.checker.lock().set_drain_grace(Span::nanos(grace.as_nanos() as u64));
    world
}

fn set_state(world: &World, node: usize, state: &str) {
    world.discovery.update(&[world.nodes[node].name.clone()], |entry| entry.state = state.into());
}

/// Time after the return of discovery until what it got meanwhile counts as told. What a watch misses that fell silent
/// counts later.
fn told_after_return(outage: Outage, outage_ms: u64) -> Span {
    match outage {
        Outage::Hanging | Outage::Unreachable => Span::millis(SILENCE_ALLOWANCE_MS.saturating_sub(outage_ms)),
        Outage::Unavailable | Outage::Reset | Outage::Refused => Span::ZERO,
    }
}

fn served_share(stats: &[GroupStats]) -> f64 {
    let (delivered, hits): (u64, u64) =
        (stats.iter().map(|group| group.delivered).sum(), stats.iter().map(|group| group.hits).sum());
    delivered as f64 / hits as f64
}

/// The marshal waited for up to 7.5 s between calls while discovery was down, and went on by the list that it had.
#[rstest]
#[case::status_503(Outage::Unavailable, 250)]
#[case::reset(Outage::Reset, 250)]
#[case::refused_port(Outage::Refused, 250)]
#[case::no_grace(Outage::Unavailable, 0)]
#[case::long_grace(Outage::Refused, 1_000)]
#[case::hanging(Outage::Hanging, 250)]
#[case::unreachable(Outage::Unreachable, 250)]
fn a_node_that_drains_during_outages_in_series_gets_nothing_after_the_grace(
    #[case] outage: Outage, #[case] grace_ms: u64,
) {
    let world = start_pushed(Duration::from_millis(grace_ms));
    let load = world.start_load(LoadPlan::mixed(HITS_PER_SECOND, 1));
    std::thread::sleep(OBSERVED_AFTER);
    for (node, length_ms) in [(0, 500), (1, 3_000), (2, 6_500)] {
        let told_after = told_after_return(outage, length_ms);
        world.checker.lock().set_drain_grace(told_after + Span::millis(grace_ms));
        load.take_stats();
        let calls_before = world.discovery.call_count();
        world.discovery.set_outage(Some(outage));
        std::thread::sleep(Duration::from_millis(length_ms));
        let (served, calls) = (served_share(&load.stats()), world.discovery.call_count() - calls_before);
        world.discovery.set_outage(None);
        set_state(&world, node, "draining");
        assert!(served > 0.9, "{served:.3} of the hits were served during {length_ms} ms without discovery");
        let max_calls = length_ms as usize / 20 + 2;
        assert!(calls <= max_calls, "{calls} calls during {length_ms} ms without discovery");
        std::thread::sleep(Duration::from_nanos(told_after.as_nanos()) + OBSERVED_AFTER);
        set_state(&world, node, "up");
        std::thread::sleep(Duration::from_millis(200));
    }
    load.finish();
    assert_eq!(world.checker.violation_report(), "");
}

/// After a restart with the list last held, the marshal sent to a node that had drained since, until its first call was
/// answered.
#[rstest]
fn a_restarted_marshal_sends_to_no_node_that_drained_before_it_started() {
    let grace = Duration::from_millis(250);
    let mut world = start_pushed(grace);
    let slow_call = Duration::from_millis(2_000);
    set_state(&world, 0, "draining");
    std::thread::sleep(grace * 2);
    world.discovery.set_service_time(slow_call);
    // The configuration still lists the node as it was when the file was written.
    world.restart().unwrap();
    let load = world.start_load(LoadPlan::mixed(HITS_PER_SECOND, 2));
    std::thread::sleep(slow_call + OBSERVED_AFTER);
    let stats = load.finish();
    assert_eq!(world.checker.violation_report(), "");
    assert!(served_share(&stats) > 0.2, "hits are served once the list has come: {stats:?}");
    assert_eq!(stats.iter().map(|group| group.unanswered).sum::<u64>(), 0);
}

/// A call that waited for its turn for more than 4 s was given up and made again, so that a discovery that takes longer
/// was never heard.
#[rstest]
#[case::pushed("push")]
#[case::on_request("ask")]
fn a_discovery_that_answers_each_call_after_4_5_s_is_heard(#[case] mode: &str) {
    let grace = Duration::from_millis(250);
    let mut world = start(grace, mode);
    set_state(&world, 0, "draining");
    std::thread::sleep(grace * 2);
    world.discovery.set_service_time(Duration::from_millis(4_500));
    let calls_before = world.discovery.call_count();
    world.restart().unwrap();
    // Where lists are asked for, the drain counts 6 s after the start.
    let counts_after = if mode == "ask" { Span::millis(6_000) } else { Span::ZERO };
    world.checker.lock().node_reported(&world.nodes[0].name, FIRST_BUILD, false, world.runtime.clock.now());
    world.checker.lock().node_reported(&world.nodes[0].name, FIRST_BUILD, true, world.runtime.clock.now());
    world.checker.lock().set_drain_grace(Span::millis(250) + counts_after);
    let load = world.start_load(LoadPlan::mixed(HITS_PER_SECOND, 3));
    std::thread::sleep(Duration::from_millis(6_500));
    load.take_stats();
    std::thread::sleep(Duration::from_millis(3_000));
    let stats = load.finish();
    assert_eq!(world.checker.violation_report(), "");
    assert!(served_share(&stats) > 0.95, "the list was received: {stats:?}");
    let calls = world.discovery.call_count() - calls_before;
    assert!(calls <= 3, "{calls} calls");
}

/// A watch that fell silent was opened anew only after 4 s and a delay, and its drains were missed for so long.
#[rstest]
#[case::pushed("push")]
#[case::on_request("ask")]
fn what_a_silent_watch_misses_is_known_within_6_s(#[case] mode: &str) {
    let grace = Duration::from_millis(250);
    let world = start(grace, mode);
    let load = world.start_load(LoadPlan::mixed(HITS_PER_SECOND, 4));
    std::thread::sleep(OBSERVED_AFTER);
    world.discovery.silence_watches();
    set_state(&world, 0, "draining");
    world.checker.lock().set_drain_grace(Span::millis(SILENCE_ALLOWANCE_MS + 250));
    std::thread::sleep(Duration::from_millis(8_000));
    let stats = load.finish();
    assert_eq!(world.checker.violation_report(), "");
    assert!(served_share(&stats) > 0.95, "{stats:?}");
}

/// SIGHUP moves discovery to an address that is down; the one before ends its watches, as the operators' page has it.
#[rstest]
fn a_move_to_a_discovery_that_is_down_sends_nothing_to_a_node_that_drains_as_it_comes_up() {
    let grace = Duration::from_millis(250);
    let world = start_pushed(grace);
    let load = world.start_load(LoadPlan::mixed(HITS_PER_SECOND, 5));
    std::thread::sleep(OBSERVED_AFTER);
    let moved = Discovery::start(&world.runtime, world.checker.clone());
    moved.publish(world.nodes.iter().map(|node| Entry::up(&node.name, node.addr, FIRST_BUILD)));
    moved.set_outage(Some(Outage::Unavailable));
    let text = std::fs::read_to_string(&world.program.config_path).unwrap();
    let config = text.replace(&world.discovery.addr.to_string(), &moved.addr.to_string());
    std::fs::write(&world.program.config_path, config).unwrap();
    world.program.signal("HUP");
    std::thread::sleep(Duration::from_millis(1_500));
    world.discovery.set_outage(Some(Outage::Refused));
    std::thread::sleep(Duration::from_millis(6_000));
    let served = served_share(&load.take_stats());
    assert!(served > 0.9, "{served:.3} of the hits were served meanwhile");
    moved.set_outage(None);
    moved.update(&[world.nodes[0].name.clone()], |entry| entry.state = "draining".into());
    std::thread::sleep(OBSERVED_AFTER);
    load.finish();
    assert_eq!(world.checker.violation_report(), "");
}
