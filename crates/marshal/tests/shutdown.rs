//! SIGTERM while clients go on sending on open connections: what is taken is answered, and the marshal ends by itself
//! before the earliest SIGKILL. The marshal's binary on loopback.

use rstest::rstest;
use std::path::Path;
use std::time::{Duration, Instant};
use stonescale_lab::World;
use stonescale_lab::load::HitKind;
use stonescale_lab::node::{FaultMode, NodeBehavior};
use stonescale_lab::raw_client::{RawClient, SentUntilClosed, TestHit, send_until_closed};
use stonescale_lab::runtime::wait_until;
use stonescale_lab::site::{Limits, MUTATING};

/// The longest client timeout (counted as 3 s where it is longer) and 0.7 s more after SIGTERM.
const EARLIEST_KILL: Duration = Duration::from_millis(3_700);
const CLIENT_TIMEOUT: Duration = Duration::from_millis(2_900);
const CONNECTIONS: u64 = 8;

#[rstest]
#[case::busy_nodes(FaultMode::Healthy, 25, true)]
#[case::silent_nodes(FaultMode::Silent, 25, true)]
// They write more than can be read: what stays unread is theirs to send again elsewhere.
#[case::clients_without_pause(FaultMode::Healthy, 0, false)]
fn connections_in_use_end_after_sigterm_with_every_hit_answered(
    #[case] mode: FaultMode, #[case] gap_ms: u64, #[case] all_can_be_read: bool,
) {
    let slow = NodeBehavior { cores: 64, work_median: Duration::from_millis(150), ..NodeBehavior::default() };
    let binary = Path::new(env!("CARGO_BIN_EXE_stonescale"));
    let mut world = World::start(binary, 4, Limits::default(), &slow, &[]).unwrap();
    world.set_fault_mode_of_all_nodes(mode);
    let threads: Vec<_> = (0..CONNECTIONS)
        .map(|connection| {
            let client = RawClient::connect(world.program.addr).unwrap();
            let kind = HitKind { group: MUTATING, share: 1.0, body_bytes: 4, client_timeout: CLIENT_TIMEOUT };
            let group = world.path_groups[MUTATING].clone();
            let hits = (1..).map(move |number: u64| {
                let id = format!("{:016x}", connection << 32 | number);
                TestHit { id, group: &group, kind: kind.clone() }.encode()
            });
            std::thread::spawn(move || {
                send_until_closed(client, hits, Duration::from_millis(gap_ms)).unwrap()
            })
        })
        .collect();
    assert!(wait_until(EARLIEST_KILL, || world.nodes.iter().map(|n| n.commands_received()).sum::<u64>() > 16));
    let signaled_at = Instant::now();
    world.program.signal("TERM");
    let ended = wait_until(EARLIEST_KILL, || world.program.exit_status().is_some());
    assert!(ended, "the marshal runs {:?} after SIGTERM", signaled_at.elapsed());
    assert!(world.program.exit_status().unwrap().success());
    for thread in threads {
        let SentUntilClosed { sent_in_time, answered } = thread.join().unwrap();
        let all_answered = answered >= sent_in_time;
        assert!(all_answered || !all_can_be_read && answered > 0, "{answered} of {sent_in_time} answered");
    }
}

#[test]
fn no_command_that_was_read_whole_is_left_unanswered_when_a_connection_ends() {
    let binary = Path::new(env!("CARGO_BIN_EXE_stonescale"));
    let args = ["--log", "debug"];
    let world = World::start(binary, 1, Limits::default(), &NodeBehavior::default(), &args).unwrap();
    let ping = b"*1\r\n$4\r\nPING\r\n";
    let threads: Vec<_> = (0..2 * CONNECTIONS)
        .map(|_| {
            let client = RawClient::connect(world.program.addr).unwrap();
            let bursts = std::iter::repeat_with(|| ping.repeat(1_000));
            std::thread::spawn(move || send_until_closed(client, bursts, Duration::ZERO).unwrap())
        })
        .collect();
    world.program.wait_for_log_line("hits pending", EARLIEST_KILL).unwrap();
    world.program.signal("TERM");
    for _ in 0..threads.len() {
        let line = world.program.wait_for_log_line("closed: Drained", EARLIEST_KILL).unwrap();
        let left_over = line.split("unanswered, ").nth(1).and_then(|text| text.split(' ').next());
        let left_over: usize = left_over.unwrap().parse().unwrap();
        assert!(left_over < ping.len(), "{line}");
    }
    for thread in threads {
        thread.join().unwrap();
    }
}
