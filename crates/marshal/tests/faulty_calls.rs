//! Socket calls that fail as Linux documents: interrupted, cut short, or failing for one connection. A preloaded library
//! (shim/faulty_calls.c) makes them fail by a seed; the usual clients must be served as without it.

use rstest::rstest;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::sync::LazyLock;
use std::time::Duration;
use stonescale_lab::World;
use stonescale_lab::load::LoadPlan;
use stonescale_lab::node::NodeBehavior;
use stonescale_lab::site::Limits;

const RUN: Duration = Duration::from_secs(3);
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
    for stats in load.finish() {
        let in_time = stats.in_time_share();
        assert!(in_time >= MIN_IN_TIME, "{in_time} of {}, {} unanswered", stats.hits, stats.unanswered);
    }
    assert_eq!(world.checker.violation_report(), "");
}
