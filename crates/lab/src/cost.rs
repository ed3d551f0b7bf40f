//! Measures what hits cost two builds of the marshal: processor time, connections to nodes, hits that are not served, and
//! broken rules. Their rounds alternate within one run, so that a drift of the machine's speed affects both alike.

use crate::load::LoadPlan;
use crate::node::NodeBehavior;
use crate::site::Limits;
use crate::world::World;
use std::fmt::Write as _;
use std::path::Path;
use std::time::Duration;

const NODE_COUNT: usize = 6;

/// What the nodes of a measurement do to the hits.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, clap::ValueEnum)]
pub enum Trouble {
    /// They serve all of them.
    #[default]
    None,
    /// They drop 1 % of the commands without a word, lose 3 % of the replies, turn 5 % of the commands away and send 1 %
    /// of the replies twice.
    LostReplies,
}

impl Trouble {
    fn behavior(self) -> NodeBehavior {
        let behavior = NodeBehavior { cores: 64, ..NodeBehavior::default() };
        match self {
            Trouble::None => behavior,
            Trouble::LostReplies => NodeBehavior {
                work_median: Duration::from_millis(20),
                dropped_rate: 0.01,
                lost_reply_rate: 0.03,
                busy_rate: 0.05,
                second_copy_rate: 0.01,
                ..behavior
            },
        }
    }
}

/// Parameters of a measurement.
#[derive(Clone, Copy, Debug)]
pub struct Measurement {
    /// Counted rounds of each build, besides the warm-up round.
    pub rounds: usize,
    /// Time for which hits are sent in each round.
    pub round_duration: Duration,
    /// Rate of the mixed load, without retries.
    pub hits_per_second: f64,
    pub trouble: Trouble,
    /// Descriptors of each marshal.
    pub sockets: usize,
}

/// Results of one build: times of each round in microseconds, and hits over all rounds.
#[derive(Clone, Debug, Default)]
pub struct BuildCost {
    /// Processor time per delivered hit, by round.
    pub cpu_micros_per_hit: Vec<f64>,
    /// 99th percentile of the latency of hits of the repeatable path group, by round.
    pub p99_micros: Vec<u64>,
    /// Hits sent in all counted rounds; a hit counts once, whatever the number of its tries.
    pub hits_sent: u64,
    pub hits_delivered: u64,
    /// Connections that nodes accepted, in all counted rounds.
    pub node_connections: u64,
    /// Violations of the rules, in all counted rounds.
    pub violations: u64,
}

/// Counters of a world that only grow.
#[derive(Clone, Copy)]
struct Counters {
    node_connections: u64,
    violations: u64,
}

impl Counters {
    fn read(world: &World) -> Self {
        Counters {
            node_connections: world.nodes.iter().map(|node| node.connections_accepted()).sum(),
            violations: world.checker.lock().violation_count,
        }
    }
}

/// Runs one round and adds its results to `cost`; none if the marshal's resource usage can't be read.
fn run_round(world: &World, measurement: Measurement, cost: &mut BuildCost, seed: u64) -> Option<()> {
    let (cpu_before, before) = (world.program.usage()?.cpu_time, Counters::read(world));
    let load = world
        .start_load(LoadPlan { max_connections: 256, ..LoadPlan::mixed(measurement.hits_per_second, seed) });
    std::thread::sleep(measurement.round_duration);
    let group_stats = load.finish();
    let (cpu_time, after) = (world.program.usage()?.cpu_time - cpu_before, Counters::read(world));
    cost.node_connections += after.node_connections - before.node_connections;
    cost.violations += after.violations - before.violations;
    let (sent, delivered) =
        group_stats.iter().fold((0, 0), |sum, stats| (sum.0 + stats.hits, sum.1 + stats.delivered));
    cost.hits_sent += sent;
    cost.hits_delivered += delivered;
    cost.cpu_micros_per_hit.push(cpu_time.as_secs_f64() * 1e6 / (delivered as f64).max(1.0));
    cost.p99_micros.push(group_stats[0].latency_micros.value_at_quantile(0.99));
    Some(())
}

/// Runs both builds in alternating rounds, after a warm-up round of each that isn't counted.
pub fn run(first: &Path, second: &Path, measurement: Measurement) -> Result<[BuildCost; 2], String> {
    let behavior = measurement.trouble.behavior();
    let limits = Limits { sockets: measurement.sockets, ..Limits::default() };
    let start = |binary: &Path| World::start(binary, NODE_COUNT, limits, &behavior, &[]);
    let worlds = [start(first)?, start(second)?];
    let mut costs = [BuildCost::default(), BuildCost::default()];
    for round in 0..=measurement.rounds {
        // The order alternates, as the machine may be warmer for the build that runs second.
        for index in if round % 2 == 0 { [0, 1] } else { [1, 0] } {
            let mut warm_up = BuildCost::default();
            let cost = if round == 0 { &mut warm_up } else { &mut costs[index] };
            run_round(&worlds[index], measurement, cost, round as u64).ok_or("a marshal exited")?;
        }
    }
    Ok(costs)
}

/// Minimum, median and maximum; zeros for no values.
fn min_median_max(values: &[f64]) -> (f64, f64, f64) {
    let mut values = values.to_vec();
    values.sort_by(f64::total_cmp);
    let quantile =
        |share: f64| values.get((share * (values.len().max(1) - 1) as f64).round() as usize).copied();
    (quantile(0.0).unwrap_or(0.0), quantile(0.5).unwrap_or(0.0), quantile(1.0).unwrap_or(0.0))
}

/// The results of both builds as a table in Markdown, and the ratio of the first to the second, round by round.
pub fn table(names: [&str; 2], costs: &[BuildCost; 2]) -> String {
    let mut text = String::from(
        "| build | us of processor a hit: least, median, most | p99, us (median) | delivered | connections to nodes | \
         broken rules |\n",
    );
    text += "| --- | --- | --- | --- | --- | --- |\n";
    for (name, cost) in names.iter().zip(costs) {
        let (min, median, max) = min_median_max(&cost.cpu_micros_per_hit);
        let p99: Vec<f64> = cost.p99_micros.iter().map(|v| *v as f64).collect();
        let (delivered, sent) = (cost.hits_delivered, cost.hits_sent);
        let _ = writeln!(
            text,
            "| {name} | {min:.1}, {median:.1}, {max:.1} | {:.0} | {delivered} of {sent} | {} | {} |",
            min_median_max(&p99).1,
            cost.node_connections,
            cost.violations
        );
    }
    let ratios: Vec<f64> =
        costs[0].cpu_micros_per_hit.iter().zip(&costs[1].cpu_micros_per_hit).map(|(a, b)| a / b).collect();
    let (min, median, max) = min_median_max(&ratios);
    let _ =
        writeln!(text, "\nratio of the first to the second, round by round: {min:.3}, {median:.3}, {max:.3}");
    text
}
