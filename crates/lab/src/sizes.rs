//! Measures the memory that a client connection, a hit in work and a node connection occupy, and compares it with what
//! the memory plan counts for each.

use crate::load::LoadPlan;
use crate::node::NodeBehavior;
use crate::program::Program;
use crate::site::Limits;
use crate::wire;
use crate::world::World;
use std::fmt::Write as _;
use std::io::{Read, Write};
use std::net::TcpStream;
use std::path::Path;
use std::time::Duration;
use stonescale_budget::plan::{CLIENT_CONNECTION_BYTES, HIT_BYTES, NODE_CONNECTION_BYTES};

/// Client connections to open. Only the second half is measured, as the first connections also allocate what all of
/// them share.
const CONNECTIONS: usize = 400;
/// Hits sent on each connection in one write.
const HITS_PER_BURST: usize = 50;
/// Enough nodes that a burst of hits opens many connections to them.
const NODE_COUNT: usize = 64;
/// Time within which a reply or a log line must come.
const REPLY_TIMEOUT: Duration = Duration::from_secs(10);

/// Memory of one kind of item, measured and planned, in bytes per item.
#[derive(Clone, Copy, Debug)]
pub struct MeasuredSize {
    /// What was measured, as the table names it.
    pub item: &'static str,
    /// Number of items that were measured.
    pub count: usize,
    /// Growth of the marshal's memory per item.
    pub measured_bytes: f64,
    /// What the memory plan counts for an item.
    pub planned_bytes: f64,
}

/// A marshal's memory report, in bytes.
struct MemoryReport {
    resident_bytes: usize,
    /// By purpose: its name, what it holds, and the maximum that it has held.
    purposes: Vec<(String, usize, usize)>,
}

impl MemoryReport {
    /// Requests a report by SIGUSR1 and reads it from the log.
    fn request(program: &Program) -> Result<Self, String> {
        while program.log.try_recv().is_ok() {}
        program.signal("USR1");
        let process_line = program.wait_for_log_line("memory of the process", REPLY_TIMEOUT)?;
        let mut report =
            MemoryReport { resident_bytes: field_value(&process_line, "resident=")?, purposes: Vec::new() };
        // One line per fixed purpose, of which the log's is the last; then one per path group.
        for _ in 0..stonescale_budget::purpose::FIXED_PURPOSES.len() + crate::site::path_groups().len() {
            let line = program.wait_for_log_line("memory by purpose", REPLY_TIMEOUT)?;
            let name = line.split("purpose=\"").nth(1).and_then(|t| t.split('"').next()).unwrap_or_default();
            report.purposes.push((
                name.to_owned(),
                field_value(&line, " held=")?,
                field_value(&line, " high=")?,
            ));
        }
        Ok(report)
    }

    /// The maximum that a purpose has held, in bytes.
    fn max_held(&self, purpose: &str) -> usize {
        self.purposes.iter().find(|row| row.0 == purpose).map_or(0, |row| row.2)
    }

    /// Bytes that a purpose holds.
    fn held(&self, purpose: &str) -> usize {
        self.purposes.iter().find(|row| row.0 == purpose).map_or(0, |row| row.1)
    }

    /// Sum of the maxima of all purposes except these.
    fn max_held_except(&self, excluded: &[&str]) -> usize {
        self.purposes.iter().filter(|row| !excluded.contains(&row.0.as_str())).map(|row| row.2).sum()
    }
}

/// Reads the number behind `name` in a line of `key=value` fields.
fn field_value(line: &str, name: &str) -> Result<usize, String> {
    let text = line.split(name).nth(1).and_then(|t| t.split(' ').next());
    text.and_then(|t| t.trim().parse().ok()).ok_or_else(|| format!("no number behind '{name}' in '{line}'"))
}

fn query_command(number: usize) -> Vec<u8> {
    let id = format!("{number:016x}");
    wire::encode_command(&[b"SVC.QUERY", b"7f3a", id.as_bytes(), b"c=read,t=acme,d=900"])
}

/// Opens `count` connections, sends one query on each and reads its answer; `next_id` numbers the hits.
fn open_connections(world: &World, count: usize, next_id: &mut usize) -> std::io::Result<Vec<TcpStream>> {
    let connect = |_| {
        let mut stream = TcpStream::connect(world.program.addr)?;
        stream.set_read_timeout(Some(REPLY_TIMEOUT))?;
        stream.write_all(&query_command(*next_id))?;
        *next_id += 1;
        stream.read_exact(&mut [0; 8])?;
        Ok(stream)
    };
    (0..count).map(connect).collect()
}

/// Measures the three sizes, each on a marshal of its own.
pub fn run(binary: &Path) -> Result<Vec<MeasuredSize>, String> {
    let behavior = NodeBehavior { cores: 64, ..NodeBehavior::default() };
    let limits = Limits { memory_mb: 192, sockets: 2_048 };
    let start = || World::start(binary, NODE_COUNT, limits, &behavior, &["--operator", "/dev/null"]);
    let io_error = |e: std::io::Error| e.to_string();

    let world = start()?;
    let mut next_id = 1;
    let first_half = open_connections(&world, CONNECTIONS / 2, &mut next_id).map_err(io_error)?;
    let before = MemoryReport::request(&world.program)?;
    let second_half = open_connections(&world, CONNECTIONS / 2, &mut next_id).map_err(io_error)?;
    let after = MemoryReport::request(&world.program)?;
    let count = (after.held("clients") - before.held("clients")) / CLIENT_CONNECTION_BYTES;
    let growth_bytes = after.resident_bytes.saturating_sub(before.resident_bytes) as f64;
    let node_connection_bytes = (after.held("links") as f64 - before.held("links") as f64).max(0.0);
    let client = MeasuredSize {
        item: "client connection",
        count,
        measured_bytes: (growth_bytes - node_connection_bytes) / count.max(1) as f64,
        planned_bytes: CLIENT_CONNECTION_BYTES as f64,
    };
    drop((first_half, second_half, world));

    let world = start()?;
    let mut streams = open_connections(&world, CONNECTIONS, &mut next_id).map_err(io_error)?;
    let before = MemoryReport::request(&world.program)?;
    let mut command_bytes = 0;
    for stream in &mut streams {
        let burst: Vec<_> = (0..HITS_PER_BURST).flat_map(|n| query_command(next_id + n)).collect();
        command_bytes = burst.len() / HITS_PER_BURST;
        next_id += HITS_PER_BURST;
        stream.write_all(&burst).map_err(io_error)?;
    }
    std::thread::sleep(Duration::from_millis(1_500));
    let peak_bytes = world.program.usage().ok_or("the marshal exited")?.peak_bytes;
    let after = MemoryReport::request(&world.program)?;
    let count = after.max_held("work.read") / (HIT_BYTES + command_bytes);
    let others_growth_bytes =
        after.max_held_except(&["work.read"]) as f64 - before.max_held_except(&["work.read"]) as f64;
    let growth_bytes = peak_bytes.saturating_sub(before.resident_bytes) as f64;
    let hit = MeasuredSize {
        item: "hit in work, with its command",
        count,
        measured_bytes: (growth_bytes - others_growth_bytes.max(0.0)) / count.max(1) as f64,
        planned_bytes: (HIT_BYTES + command_bytes) as f64,
    };
    drop((streams, world));

    // With slow nodes the number of node connections rises with the rate of hits. The difference between two rates
    // excludes what all connections share.
    let world = start()?;
    world
        .nodes
        .iter()
        .for_each(|node| node.update_behavior(|behavior| behavior.work_median = Duration::from_millis(50)));
    let report_at_rate = |hits_per_second: f64| {
        let load =
            world.start_load(LoadPlan { max_connections: 1_024, ..LoadPlan::repeatable(hits_per_second, 1) });
        std::thread::sleep(Duration::from_secs(3));
        let report = MemoryReport::request(&world.program);
        load.finish();
        report
    };
    let (low, high) = (report_at_rate(100.0)?, report_at_rate(1_500.0)?);
    let growth_bytes = |purpose: &str| high.held(purpose) as f64 - low.held(purpose) as f64;
    let node_connections = growth_bytes("links") / NODE_CONNECTION_BYTES as f64;
    let hit_bytes = growth_bytes("work.read") / hit.planned_bytes * hit.measured_bytes;
    let client_bytes = growth_bytes("clients") / client.planned_bytes * client.measured_bytes;
    let measured_bytes = (high.resident_bytes as f64 - low.resident_bytes as f64 - hit_bytes - client_bytes)
        / node_connections.max(1.0);
    let count = node_connections.max(0.0) as usize;
    Ok(vec![
        client,
        hit,
        MeasuredSize {
            item: "node connection",
            count,
            measured_bytes,
            planned_bytes: NODE_CONNECTION_BYTES as f64,
        },
    ])
}

/// The sizes as a table in Markdown.
pub fn table(sizes: &[MeasuredSize]) -> String {
    let mut text =
        String::from("| what | how many | bytes measured | bytes planned |\n| --- | --- | --- | --- |\n");
    for MeasuredSize { item, count, measured_bytes, planned_bytes } in sizes {
        let _ = writeln!(text, "| {item} | {count} | {measured_bytes:.0} | {planned_bytes:.0} |");
    }
    text
}
