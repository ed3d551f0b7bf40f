//! The cases of the second review. Usage: cases NAME RECORD. Exits with 1 if the rule was broken, 0 if it held, 2 if the
//! case couldn't run.

mod world;

use std::collections::HashMap;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::Arc;
use std::time::{Duration, Instant};
use world::*;

/// Limits of a marshal's process: memory in MiB, and sockets.
const LIMITS: (usize, usize) = (192, 1024);

fn trouble() -> bool {
    std::env::var("TROUBLE").map_or(true, |value| value != "0")
}

/// A hash of a text, to choose by it.
fn hash(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |h, b| (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3)) >> 7
}

fn live(build: u16) -> News {
    News { build, stage: 2, phase: "live", cap: 1.0, since: Instant::now() }
}

/// Records what broke the rule; true if nothing did.
fn judge(record: &Record, broken: Vec<String>, checked: usize) -> Result<bool, String> {
    if checked == 0 {
        return Err("nothing to check".into());
    }
    for text in &broken {
        record.line(format!("BROKEN: {text}"));
    }
    record.line(format!("RESULT: {} of {checked} break the rule", broken.len()));
    println!("{} of {checked} break the rule", broken.len());
    broken.iter().take(5).for_each(|text| println!("  {text}"));
    Ok(broken.is_empty())
}

/// What becomes of some hits at the nodes.
#[derive(Clone, Copy, PartialEq)]
enum Unanswered {
    /// Nodes drop hits with very little time left without a word.
    Dropped,
    /// Three of four nodes run each hit, but a tenth of their answers does not come back.
    Lost,
}

/// Some hits stay unanswered. Nobody may get the value of another hit, and no mutating hit may be begun twice, or be
/// refused once it is begun.
fn unanswered(record: &Record, class: &'static str, which: Unanswered) -> Result<bool, String> {
    let seen = SharedSeen::default();
    let mutating = class == "book";
    let losing = Arc::new(AtomicU64::new(0));
    let entries: Vec<_> = (0..4)
        .map(|n| {
            let losing = losing.clone();
            let treat = move |_: &str, id: &str, wait_ms: u64| Treatment {
                work_ms: 30 + hash(id) % 30,
                // A mutating hit may be turned away by one node in eight, for a full queue.
                busy: mutating && hash(id) % 8 == 0,
                dropped: trouble() && which == Unanswered::Dropped && wait_ms < 20,
                lost: n < 3 && losing.load(Ordering::SeqCst) == 1 && hash(id) % 10 == 3,
                ..Treatment::default()
            };
            let name = format!("s-{n}");
            Entry::up(&name, start_node(&name, 41, record, &seen, treat), 41)
        })
        .collect();
    let discovery = Discovery::start(record, entries);
    let platform = Platform::start(record, live(41));
    let known = discovery.full();
    let mut marshal = Marshal::start(record, None, &discovery, &platform, &known, &settings(&[]), LIMITS)?;
    let clients = Clients::new(marshal.addr, record);
    sleep_ms(500);
    // Sixty hits a second, in groups as they come from a page or a batch.
    for group in 0..100 {
        if group == 5 && trouble() && which == Unanswered::Lost {
            losing.store(1, Ordering::SeqCst);
            record.line("from now on a tenth of the answers of s-0, s-1 and s-2 is lost");
        }
        // With `Dropped`, one client in six waits only 25 ms more.
        let wait_ms = |n| if which == Unanswered::Dropped && n % 6 == 0 { 25 } else { 2_500 };
        let hits: Vec<_> = (0..24).map(|n| (class, group * 100 + n, wait_ms(n))).collect();
        clients.send_group(&hits);
        sleep_ms(380);
    }
    clients.finish();
    if !marshal.is_running() {
        return Err("the marshal ended".into());
    }
    let hits = clients.hits.lock().unwrap();
    let mut broken = Vec::new();
    for hit in hits.iter() {
        match &hit.answer {
            Answer::Served(value) if !value.starts_with(&format!("id={} ", hit.id)) => {
                broken.push(format!("the client of {} was served '{value}'", hit.id))
            }
            _ => {}
        }
    }
    if mutating {
        broken.clear();
        let refused: HashMap<_, _> = hits
            .iter()
            .filter(|h| h.answer == Answer::Refused)
            .map(|h| (h.id.clone(), h.answered_at))
            .collect();
        let mut runs: HashMap<String, Vec<(String, f64)>> = HashMap::new();
        for forward in seen.lock().unwrap().forwards.iter().filter(|f| f.begun) {
            runs.entry(forward.id.clone()).or_default().push((forward.node.clone(), forward.at));
        }
        for (id, runs) in &runs {
            if runs.len() > 1 {
                broken.push(format!("mutating hit {id} was begun {} times: {runs:?}", runs.len()));
            } else if let Some(at) = refused.get(id).filter(|at| **at > runs[0].1) {
                broken.push(format!(
                    "mutating hit {id} was refused at {at:.0} ms although it was begun: {runs:?}"
                ));
            }
        }
        broken.sort();
    }
    judge(record, broken, hits.len())
}

/// Lists are pushed; discovery is down for 8 s, twice, and what it learns at its return is that a node drains.
fn outage(record: &Record) -> Result<bool, String> {
    let seen = SharedSeen::default();
    let treat = |_: &str, id: &str, _: u64| Treatment { work_ms: 20 + hash(id) % 20, ..Treatment::default() };
    let entries: Vec<_> = (0..5)
        .map(|n| format!("s-{n}"))
        .map(|name| Entry::up(&name, start_node(&name, 41, record, &seen, treat), 41))
        .collect();
    let discovery = Discovery::start(record, entries.clone());
    let platform = Platform::start(record, live(41));
    let settings = settings(&[
        (r#""membership_mode":"ask""#, r#""membership_mode":"push""#),
        (r#""stop_sending_within_ns":1000000000"#, r#""stop_sending_within_ns":250000000"#),
    ]);
    let marshal = Marshal::start(record, None, &discovery, &platform, &discovery.full(), &settings, LIMITS)?;
    let clients = Clients::new(marshal.addr, record);
    let (feeder, stop) = feed(&clients, 25, |clients, n| clients.send("read", n % 500, 3_000));
    sleep_ms(3_000);
    let mut told = Vec::new();
    for leaving in [&entries[4], &entries[3]] {
        discovery.set_down(trouble());
        sleep_ms(8_000);
        discovery.set_down(false);
        // What discovery gets at its return counts at once.
        discovery.set(Entry { state: "draining", ..leaving.clone() });
        told.push((leaving.id.clone(), record.line(format!("told: {} drains", leaving.id))));
        sleep_ms(9_000);
    }
    stop.store(1, Ordering::SeqCst);
    feeder.join().unwrap();
    clients.finish();
    late_sends(record, &seen, &told, 250.0 + 50.0)
}

/// Sends hits in this interval until `stop` is set.
fn feed(
    clients: &Clients, interval_ms: u64, send: impl Fn(&Clients, u64) + Send + 'static,
) -> (std::thread::JoinHandle<()>, Arc<AtomicU64>) {
    let (clients, stop) = (clients.clone(), Arc::new(AtomicU64::new(0)));
    let stopped = stop.clone();
    let feeder = std::thread::spawn(move || {
        for n in 0.. {
            if stopped.load(Ordering::SeqCst) != 0 {
                return;
            }
            send(&clients, n);
            sleep_ms(interval_ms);
        }
    });
    (feeder, stop)
}

/// Judges that nothing went to a node more than `grace_ms` after the marshal was told that it drains.
fn late_sends(
    record: &Record, seen: &SharedSeen, told: &[(String, f64)], grace_ms: f64,
) -> Result<bool, String> {
    let seen = seen.lock().unwrap();
    let (mut broken, mut checked) = (Vec::new(), 0);
    for (node, told) in told {
        let before = seen.forwards.iter().filter(|f| f.node == *node && f.at < *told).count();
        record.line(format!("{before} hits went to {node} before the marshal was told"));
        if before == 0 && trouble() {
            return Err(format!("{node} was not in use"));
        }
        let after = seen.forwards.iter().filter(|f| f.at > told + grace_ms);
        checked += after.clone().count();
        let late = after.filter(|f| f.node == *node);
        broken.extend(late.map(|f| {
            format!(
                "{} was sent to {node} {:.0} ms after the marshal was told that it drains",
                f.id,
                f.at - told
            )
        }));
    }
    judge(record, broken, checked)
}

/// Lists are pushed; a marshal is killed and comes back while discovery has many callers, and a node has left meanwhile.
fn restart(record: &Record) -> Result<bool, String> {
    let seen = SharedSeen::default();
    let treat = |_: &str, id: &str, _: u64| Treatment { work_ms: 20 + hash(id) % 20, ..Treatment::default() };
    let entries: Vec<_> = (0..4)
        .map(|n| format!("s-{n}"))
        .map(|name| Entry::up(&name, start_node(&name, 41, record, &seen, treat), 41))
        .collect();
    let leaving = entries[3].clone();
    let discovery = Discovery::start(record, entries);
    let platform = Platform::start(record, live(41));
    let settings = settings(&[
        (r#""membership_mode":"ask""#, r#""membership_mode":"push""#),
        (r#""stop_sending_within_ns":1000000000"#, r#""stop_sending_within_ns":250000000"#),
    ]);
    let known = discovery.full();
    let first = Marshal::start(record, None, &discovery, &platform, &known, &settings, LIMITS)?;
    let addr = first.addr;
    let clients = Clients::new(addr, record);
    for n in 0..100 {
        clients.send("read", n, 3_000);
        sleep_ms(25);
    }
    clients.finish();
    drop(first);
    record.line("marshal killed");
    sleep_ms(500);
    discovery.set(Entry { state: "draining", ..leaving });
    sleep_ms(1_500);
    if trouble() {
        discovery.set_call_ms(3_000);
    }
    let _marshal = Marshal::start(record, Some(addr), &discovery, &platform, &known, &settings, LIMITS)?;
    let told = record.line("told: s-3 drains, from the first moment of the new process");
    let (feeder, stop) = feed(&clients, 25, |clients, n| clients.send("read", n % 500, 3_000));
    sleep_ms(6_000);
    stop.store(1, Ordering::SeqCst);
    feeder.join().unwrap();
    clients.finish();
    late_sends(record, &seen, &[("s-3".into(), told)], 250.0 + 50.0)
}

/// Discovery is asked and answers slowly; a node drains meanwhile.
fn slow_discovery(record: &Record) -> Result<bool, String> {
    let seen = SharedSeen::default();
    let treat = |_: &str, id: &str, _: u64| Treatment { work_ms: 20 + hash(id) % 20, ..Treatment::default() };
    let entries: Vec<_> = (0..4)
        .map(|n| format!("s-{n}"))
        .map(|name| Entry::up(&name, start_node(&name, 41, record, &seen, treat), 41))
        .collect();
    let leaving = entries[3].clone();
    let discovery = Discovery::start(record, entries);
    let platform = Platform::start(record, live(41));
    let known = discovery.full();
    discovery.set(Entry { state: "draining", ..leaving });
    discovery.set_call_ms(if trouble() { 4_500 } else { 0 });
    let marshal = Marshal::start(record, None, &discovery, &platform, &known, &settings(&[]), LIMITS)?;
    let started = record.now();
    let clients = Clients::new(marshal.addr, record);
    let (feeder, stop) = feed(&clients, 25, |clients, n| clients.send("read", n % 500, 3_000));
    sleep_ms(18_000);
    stop.store(1, Ordering::SeqCst);
    feeder.join().unwrap();
    clients.finish();
    late_sends(record, &seen, &[("s-3".into(), started + 6_000.0)], 1_000.0 + 50.0)
}

/// The news of a new build comes later than its nodes. A key that the new build has answered may not return to the
/// earlier one.
fn no_return(record: &Record) -> Result<bool, String> {
    let seen = SharedSeen::default();
    let treat = |_: &str, id: &str, _: u64| Treatment { work_ms: 20 + hash(id) % 20, ..Treatment::default() };
    let entries: Vec<_> = (0..4)
        .map(|n| format!("s-{n}"))
        .map(|name| Entry::up(&name, start_node(&name, 41, record, &seen, treat), 41))
        .collect();
    let new_addr = start_node("n-0", 42, record, &seen, treat);
    let discovery = Discovery::start(record, entries);
    let platform = Platform::start(record, live(41));
    let settings = settings(&[(r#""no_return":false"#, r#""no_return":true"#)]);
    let marshal = Marshal::start(record, None, &discovery, &platform, &discovery.full(), &settings, LIMITS)?;
    let clients = Clients::new(marshal.addr, record);
    let (feeder, stop) = feed(&clients, 20, |clients, n| clients.send("read", 1 + n * 7 % 60, 3_000));
    let trial = News { build: 42, stage: 0, phase: "testing", cap: 0.12, since: Instant::now() };
    sleep_ms(3_000);
    let told;
    let list_new_node = || discovery.set(Entry { started_ms: unix_ms(), ..Entry::up("n-0", new_addr, 42) });
    if trouble() {
        list_new_node();
        sleep_ms(6_000);
        told = platform.tell(News { since: Instant::now() - Duration::from_secs(6), ..trial });
    } else {
        told = platform.tell(News { since: Instant::now(), ..trial });
        sleep_ms(500);
        list_new_node();
        sleep_ms(5_500);
    }
    sleep_ms(6_000);
    stop.store(1, Ordering::SeqCst);
    feeder.join().unwrap();
    clients.finish();
    // Since when each key has been answered by the new build, as its client saw it.
    let mut answered: HashMap<String, f64> = HashMap::new();
    let mut hits = clients.hits.lock().unwrap().clone();
    hits.sort_by(|a, b| a.answered_at.total_cmp(&b.answered_at));
    for hit in &hits {
        if matches!(&hit.answer, Answer::Served(value) if value.ends_with("build=42")) {
            answered.entry(hit.key.clone()).or_insert(hit.answered_at);
        }
    }
    let sent: HashMap<_, _> = hits.iter().map(|hit| (hit.id.clone(), hit.sent_at)).collect();
    let (mut broken, mut checked) = (Vec::new(), 0);
    for forward in &seen.lock().unwrap().forwards {
        let (Some(sent_at), Some(since)) = (sent.get(&forward.id), answered.get(&forward.key)) else {
            continue;
        };
        // Only hits sent after the news of the build on trial was told.
        if *sent_at > told + 150.0 && sent_at > since {
            checked += 1;
            if forward.build < 42 {
                broken.push(format!(
                    "{} of key {} went to {} (build 41) at {:.0} ms; build 42 had answered that key at {since:.0} ms, \
                     and was told to be on trial at {told:.0} ms",
                    forward.id, forward.key, forward.node, forward.at
                ));
            }
        }
    }
    judge(record, broken, checked)
}

/// Clients send several hits one behind another; a node hangs. Every hit gets its answer.
fn in_line(record: &Record) -> Result<bool, String> {
    let seen = SharedSeen::default();
    let hung = Arc::new(AtomicU64::new(0));
    let entries: Vec<_> = (0..6)
        .map(|n| {
            let hung = hung.clone();
            let treat = move |class: &str, id: &str, _: u64| Treatment {
                work_ms: 5 + hash(id) % 10,
                silent: hung.load(Ordering::SeqCst) == n + 1,
                value_bytes: if class == "read" { 60_000 } else { 100 },
                ..Treatment::default()
            };
            let name = format!("s-{n}");
            Entry::up(&name, start_node(&name, 41, record, &seen, treat), 41)
        })
        .collect();
    let discovery = Discovery::start(record, entries);
    let platform = Platform::start(record, live(41));
    let limits = (32, 256);
    let marshal =
        Marshal::start(record, None, &discovery, &platform, &discovery.full(), &settings(&[]), limits)?;
    let clients = Clients::new(marshal.addr, record);
    sleep_ms(500);
    // Two nodes are silent, each for 9 s, one after the other.
    let (silence, silent_record) = (hung.clone(), record.clone());
    std::thread::spawn(move || {
        sleep_ms(5_000);
        for node in 1..=if trouble() { 2 } else { 0 } {
            silence.store(node, Ordering::SeqCst);
            silent_record.line(format!("s-{} is silent from now on", node - 1));
            sleep_ms(9_000);
            silence.store(0, Ordering::SeqCst);
            silent_record.line(format!("s-{} is back", node - 1));
            sleep_ms(4_000);
        }
    });
    let start = Instant::now();
    for round in 0.. {
        if start.elapsed() > Duration::from_secs(30) {
            break;
        }
        for connection in 0..20 {
            let hits: Vec<_> = (0..24)
                .map(|n| (if n < 4 { "book" } else { "read" }, round * 10_000 + connection * 100 + n))
                .collect();
            clients.send_in_line(&hits, 2_500);
        }
        clients.finish();
        sleep_ms(1_500);
    }
    let hits = clients.hits.lock().unwrap();
    let lost = hits.iter().filter(|hit| matches!(hit.answer, Answer::None(_)));
    let broken = lost.map(|hit| format!("{} got no answer: {:?}", hit.id, hit.answer)).collect();
    let served = hits.iter().filter(|hit| matches!(hit.answer, Answer::Served(_))).count();
    record.line(format!("{served} of {} hits were served", hits.len()));
    judge(record, broken, hits.len())
}

fn main() {
    let arguments: Vec<_> = std::env::args().collect();
    let (name, path) = (arguments[1].clone(), arguments[2].clone());
    let record = Record::new();
    // A case that does not end is ended, with all that it started.
    let watched = record.clone();
    let watched_path = path.clone();
    std::thread::spawn(move || {
        std::thread::sleep(Duration::from_secs(100));
        let children = CHILDREN.lock().unwrap_or_else(|e| e.into_inner()).clone();
        for id in children {
            let _ = std::process::Command::new("kill").args(["-KILL", &id.to_string()]).status();
        }
        watched.line("the case did not end in time");
        watched.write_to(&watched_path);
        std::process::exit(2);
    });
    record.line(format!(
        "case {name}, {}",
        if trouble() { "with the disruption" } else { "without the disruption" }
    ));
    let result = match name.as_str() {
        "foreign-value" => unanswered(&record, "read", Unanswered::Lost),
        "second-run" => unanswered(&record, "book", Unanswered::Dropped),
        "outage" => outage(&record),
        "restart" => restart(&record),
        "slow-discovery" => slow_discovery(&record),
        "no-return" => no_return(&record),
        "in-line" => in_line(&record),
        other => Err(format!("no case {other}")),
    };
    let code = match &result {
        Ok(true) => 0,
        Ok(false) => 1,
        Err(error) => {
            record.line(format!("could not run: {error}"));
            eprintln!("could not run: {error}");
            2
        }
    };
    record.write_to(&path);
    std::process::exit(code);
}
