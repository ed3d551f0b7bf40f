//! What a client's connection, a hit in work and a node's connection occupy, against what the plan of memory counts for them.

use crate::load::Plan;
use crate::node::Manner;
use crate::program::Program;
use crate::site::Limits;
use crate::wire;
use crate::world::World;
use std::fmt::Write as _;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::Path;
use std::time::Duration;
use stonescale_budget::plan::{CLIENT, HIT, LINK};

/// Connections that are opened; half of them count, as the first ones bring what all share.
const CONNECTIONS: usize = 400;
/// Hits that come at once on each, in one write.
const BURST: usize = 50;
/// Enough nodes that a burst of hits brings up many connections to them.
const NODES: usize = 64;
const WAIT: Duration = Duration::from_secs(10);

/// Bytes of each, measured and planned; how many were there.
#[derive(Clone, Copy, Debug)]
pub struct MeasuredSize {
    pub what: &'static str,
    pub count: usize,
    pub measured_bytes: f64,
    pub planned_bytes: f64,
}

/// What a marshal says that it holds: resident bytes, and bytes by purpose as held and at their highest.
struct Report {
    resident: usize,
    rows: Vec<(String, usize, usize)>,
}

impl Report {
    fn of(program: &Program) -> Result<Self, String> {
        while program.log.try_recv().is_ok() {}
        program.signal("USR1");
        let whole = program.wait_for_log_line("memory of the process", WAIT)?;
        let mut report = Report { resident: number(&whole, "resident=")?, rows: Vec::new() };
        // The log's own purpose is the last fixed one; path groups follow.
        for _ in 0..stonescale_budget::purpose::FIXED.len() + crate::site::groups().len() {
            let line = program.wait_for_log_line("memory by purpose", WAIT)?;
            let name = line.split("purpose=\"").nth(1).and_then(|t| t.split('"').next()).unwrap_or_default();
            report.rows.push((name.to_owned(), number(&line, " held=")?, number(&line, " high=")?));
        }
        Ok(report)
    }

    fn high(&self, purpose: &str) -> usize {
        self.rows.iter().find(|row| row.0 == purpose).map_or(0, |row| row.2)
    }

    fn held(&self, purpose: &str) -> usize {
        self.rows.iter().find(|row| row.0 == purpose).map_or(0, |row| row.1)
    }

    /// At their highest, all but these.
    fn others(&self, but: &[&str]) -> usize {
        self.rows.iter().filter(|row| !but.contains(&row.0.as_str())).map(|row| row.2).sum()
    }
}

fn number(line: &str, name: &str) -> Result<usize, String> {
    let text = line.split(name).nth(1).and_then(|t| t.split(' ').next());
    text.and_then(|t| t.trim().parse().ok()).ok_or_else(|| format!("no {name} in '{line}'"))
}

fn ask(number: usize) -> Vec<u8> {
    let id = format!("{number:016x}");
    wire::command(&[b"SVC.QUERY", b"7f3a", id.as_bytes(), b"c=read,t=acme,d=900"])
}

/// Opens connections, each of which asks once and reads its answer.
fn open(world: &World, many: usize, at: &mut usize) -> std::io::Result<Vec<TcpStream>> {
    let connect = |_| {
        let mut stream = TcpStream::connect(world.program.addr)?;
        stream.set_read_timeout(Some(WAIT))?;
        stream.write_all(&ask(*at))?;
        *at += 1;
        stream.read_exact(&mut [0; 8])?;
        Ok(stream)
    };
    (0..many).map(connect).collect()
}

/// Measures all three, each on a marshal of its own.
pub fn run(binary: &Path) -> Result<Vec<MeasuredSize>, String> {
    let manner = Manner { cores: 64, ..Manner::default() };
    let limits = Limits { memory_mb: 192, sockets: 2_048 };
    let start = || World::start(binary, NODES, limits, &manner, &["--operator", "/dev/null"]);
    let io = |e: std::io::Error| e.to_string();

    let world = start()?;
    let mut at = 1;
    let first = open(&world, CONNECTIONS / 2, &mut at).map_err(io)?;
    let before = Report::of(&world.program)?;
    let second = open(&world, CONNECTIONS / 2, &mut at).map_err(io)?;
    let after = Report::of(&world.program)?;
    let many = (after.held("clients") - before.held("clients")) / CLIENT;
    let grown = after.resident.saturating_sub(before.resident) as f64;
    let links = (after.held("links") as f64 - before.held("links") as f64).max(0.0);
    let client = MeasuredSize {
        what: "client connection",
        count: many,
        measured_bytes: (grown - links) / many.max(1) as f64,
        planned_bytes: CLIENT as f64,
    };
    drop((first, second, world));

    let world = start()?;
    let mut streams = open(&world, CONNECTIONS, &mut at).map_err(io)?;
    let before = Report::of(&world.program)?;
    let mut length = 0;
    for stream in &mut streams {
        let burst: Vec<_> = (0..BURST).flat_map(|n| ask(at + n)).collect();
        length = burst.len() / BURST;
        at += BURST;
        stream.write_all(&burst).map_err(io)?;
    }
    std::thread::sleep(Duration::from_millis(1_500));
    let peak = world.program.usage().ok_or("the marshal exited")?.peak_bytes;
    let after = Report::of(&world.program)?;
    let many = after.high("work.read") / (HIT + length);
    let others = after.others(&["work.read"]) as f64 - before.others(&["work.read"]) as f64;
    let grown = peak.saturating_sub(before.resident) as f64;
    let hit = MeasuredSize {
        what: "hit in work, with its command",
        count: many,
        measured_bytes: (grown - others.max(0.0)) / many.max(1) as f64,
        planned_bytes: (HIT + length) as f64,
    };
    drop((streams, world));

    // Nodes that take their time: the more hits at once, the more connections to them. The difference of two rates
    // leaves out what all share.
    let world = start()?;
    world.nodes.iter().for_each(|n| n.manner(|m| m.work = Duration::from_millis(50)));
    let under = |rate: f64| {
        let load = world.start_load(Plan { connections: 1_024, ..Plan::reads(rate, 1) });
        std::thread::sleep(Duration::from_secs(3));
        let report = Report::of(&world.program);
        load.finish();
        report
    };
    let (few, more) = (under(100.0)?, under(1_500.0)?);
    let grown = |purpose: &str| more.held(purpose) as f64 - few.held(purpose) as f64;
    let many = grown("links") / LINK as f64;
    let hits = grown("work.read") / hit.planned_bytes * hit.measured_bytes;
    let clients = grown("clients") / client.planned_bytes * client.measured_bytes;
    let measured = (more.resident as f64 - few.resident as f64 - hits - clients) / many.max(1.0);
    let many = many.max(0.0) as usize;
    Ok(vec![
        client,
        hit,
        MeasuredSize {
            what: "node connection",
            count: many,
            measured_bytes: measured,
            planned_bytes: LINK as f64,
        },
    ])
}

pub fn table(sizes: &[MeasuredSize]) -> String {
    let mut text =
        String::from("| what | how many | bytes measured | bytes planned |\n| --- | --- | --- | --- |\n");
    for MeasuredSize { what, count: many, measured_bytes: measured, planned_bytes: planned } in sizes {
        let _ = writeln!(text, "| {what} | {many} | {measured:.0} | {planned:.0} |");
    }
    text
}
