//! Crowds of clients that write slowly or never end a command, and single clients that send without pause: memory stays
//! within the limit, and the usual clients are served. The marshal's binary on loopback.

use rstest::rstest;
use std::io::{Read, Write};
use std::net::{Shutdown, TcpStream};
use std::path::Path;
use std::sync::atomic::Ordering;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use stonescale_lab::World;
use stonescale_lab::background::BackgroundThreads;
use stonescale_lab::load::LoadPlan;
use stonescale_lab::node::NodeBehavior;
use stonescale_lab::site::{Limits, REPEATABLE};
use stonescale_lab::wire::encode_command;

const MIB: usize = 1 << 20;
const FAULT_DURATION: Duration = Duration::from_secs(3);
/// Share of the usual clients' hits that are delivered beside a crowd.
const MIN_DELIVERED: f64 = 0.9;
/// Share of the usual clients' hits that are delivered within the target latency beside one client at full speed.
const MIN_IN_TIME: f64 = 0.95;

/// A site that runs while no other test of this file does.
fn exclusive_world(limits: Limits) -> (World, MutexGuard<'static, ()>) {
    static RUNNING: Mutex<()> = Mutex::new(());
    let guard = RUNNING.lock().unwrap_or_else(PoisonError::into_inner);
    let binary = Path::new(env!("CARGO_BIN_EXE_stonescale"));
    (World::start(binary, 4, limits, &NodeBehavior::default(), &[]).unwrap(), guard)
}

fn large_command() -> Vec<u8> {
    encode_command(&[b"SVC.SUBMIT", b"1", b"9b1f", b"c=book,t=acme,d=1400", &vec![b'b'; 60_000]])
}

fn command_of_many_fields() -> Vec<u8> {
    let fields = "a=1,".repeat(15_000) + "c=read,t=acme,d=1400";
    encode_command(&[b"SVC.QUERY", b"1", b"9b1f", fields.as_bytes()])
}

fn command_of_many_arguments() -> Vec<u8> {
    encode_command(&vec![&b"x"[..]; 16])
}

/// How the clients of a crowd send.
#[derive(Clone, Copy)]
enum Crowd {
    /// A few bytes of a large command at a time.
    WriteSlowly,
    /// Half of a large command, and then nothing.
    StopHalfWay,
    /// Commands with an attribute list of many fields, one behind another.
    ManyFields,
    /// Commands of many arguments, one behind another.
    ManyArguments,
}

/// Clients of a crowd, more than the marshal has connections for, and the threads that play them.
const CROWD: usize = 600;
const CROWD_THREADS: usize = 6;

fn run_crowd(crowd: Crowd, world: &World) -> BackgroundThreads {
    let mut background = BackgroundThreads::default();
    let addr = world.program.addr;
    for part in 0..CROWD_THREADS {
        background.spawn(move |stopping| {
            let mut clients: Vec<(Option<TcpStream>, usize)> =
                (0..CROWD / CROWD_THREADS).map(|_| (None, 0)).collect();
            let command = match crowd {
                Crowd::WriteSlowly | Crowd::StopHalfWay => large_command(),
                Crowd::ManyFields => command_of_many_fields(),
                Crowd::ManyArguments => command_of_many_arguments(),
            };
            let mut scratch = vec![0; 65_536];
            while !stopping.load(Ordering::SeqCst) {
                for (stream, position) in &mut clients {
                    if stream.is_none() {
                        *stream = TcpStream::connect_timeout(&addr, Duration::from_millis(100)).ok();
                        if let Some(stream) = stream {
                            stream.set_nonblocking(true).unwrap();
                        }
                        *position = 0;
                    }
                    let Some(open) = stream else { continue };
                    let end = match crowd {
                        Crowd::WriteSlowly => (*position + 200 + part).min(command.len()),
                        Crowd::StopHalfWay => command.len() / 2,
                        Crowd::ManyFields | Crowd::ManyArguments => command.len(),
                    };
                    match open.write(&command[*position..end]) {
                        Ok(count) => *position += count,
                        Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
                        Err(_) => *stream = None,
                    }
                    if *position == command.len() {
                        *position = 0;
                    }
                    let Some(open) = stream else { continue };
                    match open.read(&mut scratch) {
                        Ok(0) => *stream = None,
                        Ok(_) => {}
                        Err(e) if e.kind() == std::io::ErrorKind::WouldBlock => {}
                        Err(_) => *stream = None,
                    }
                }
                std::thread::sleep(Duration::from_millis(2));
            }
        });
    }
    background
}

#[rstest]
#[case::write_slowly(Crowd::WriteSlowly)]
#[case::stop_half_way(Crowd::StopHalfWay)]
#[case::many_fields(Crowd::ManyFields)]
#[case::many_arguments(Crowd::ManyArguments)]
fn a_crowd_passes_no_memory_limit_and_locks_no_client_out(
    #[case] crowd: Crowd, #[values((8, 1024), (48, 384))] (memory_mb, sockets): (usize, usize),
) {
    let (mut world, _guard) = exclusive_world(Limits { memory_mb, sockets });
    let background = run_crowd(crowd, &world);
    let load = world.start_load(LoadPlan::mixed(50.0, 3));
    std::thread::sleep(FAULT_DURATION);
    drop(background);
    let stats = load.finish().swap_remove(REPEATABLE);
    assert!(world.program.exit_status().is_none());
    let peak = world.program.usage().map_or(usize::MAX, |usage| usage.peak_bytes);
    assert!(peak < memory_mb * MIB, "peak {peak}");
    assert_eq!(stats.unanswered, 0, "of {}", stats.hits);
    assert!(
        stats.delivered as f64 >= MIN_DELIVERED * stats.hits as f64,
        "{} of {}",
        stats.delivered,
        stats.hits
    );
    assert_eq!(world.checker.violation_report(), "");
}

/// What a client sends without pause, each command under a new name.
#[derive(Clone, Copy)]
enum Flood {
    Ping,
    UnknownCommand,
    UnknownClass,
    RepeatableHit,
    MutatingHit,
}

fn flood_command(flood: Flood, number: u64) -> Vec<u8> {
    let name = format!("{number:016x}");
    let name = name.as_bytes();
    match flood {
        Flood::Ping => encode_command(&[b"PING"]),
        Flood::UnknownCommand => encode_command(&[name]),
        Flood::UnknownClass => {
            let fields = [b"c=", name, b",t=acme,d=900"].concat();
            encode_command(&[b"SVC.QUERY", name, name, &fields])
        }
        Flood::RepeatableHit => encode_command(&[b"SVC.QUERY", name, name, b"c=read,t=acme,d=900"]),
        Flood::MutatingHit => encode_command(&[b"SVC.SUBMIT", name, name, b"c=book,t=acme,d=900", b"b"]),
    }
}

/// One connection on which commands are written without pause, and what comes back is read.
fn run_flood(flood: Flood, world: &World) -> BackgroundThreads {
    let mut background = BackgroundThreads::default();
    let stream = TcpStream::connect(world.program.addr).unwrap();
    let mut reader = stream.try_clone().unwrap();
    background.spawn(move |_| {
        let mut scratch = vec![0; 65_536];
        while matches!(reader.read(&mut scratch), Ok(1..)) {}
    });
    background.spawn(move |stopping| {
        let mut numbers = 0..;
        let mut writer = &stream;
        while !stopping.load(Ordering::SeqCst) {
            let commands: Vec<_> =
                numbers.by_ref().take(1_000).map(|number| flood_command(flood, number)).collect();
            if writer.write_all(&commands.concat()).is_err() {
                break;
            }
        }
        let _ = stream.shutdown(Shutdown::Both);
    });
    background
}

#[rstest]
#[case::ping(Flood::Ping)]
#[case::unknown_command(Flood::UnknownCommand)]
#[case::unknown_class(Flood::UnknownClass)]
#[case::repeatable_hit(Flood::RepeatableHit)]
#[case::mutating_hit(Flood::MutatingHit)]
fn one_client_at_full_speed_delays_no_other_and_grows_no_memory(#[case] flood: Flood) {
    let (mut world, _guard) = exclusive_world(Limits { memory_mb: 48, sockets: 384 });
    let background = run_flood(flood, &world);
    let load = world.start_load(LoadPlan::mixed(50.0, 3));
    std::thread::sleep(FAULT_DURATION / 3);
    let early = world.program.usage().map_or(0, |usage| usage.peak_bytes);
    std::thread::sleep(FAULT_DURATION * 2 / 3);
    let late = world.program.usage().map_or(usize::MAX, |usage| usage.peak_bytes);
    drop(background);
    let stats = load.finish();
    assert!(world.program.exit_status().is_none());
    assert!(late < early + MIB, "{early} bytes, then {late}");
    for group in &stats {
        let in_time = group.in_time_share();
        assert!(in_time >= MIN_IN_TIME, "{in_time} of {}", group.hits);
    }
    assert_eq!(world.checker.violation_report(), "");
}
