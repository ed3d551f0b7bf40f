//! Measures the processor time per hit of two builds of the marshal. Their rounds alternate within one run, so that a
//! drift of the machine's speed affects both alike.

use crate::load::LoadPlan;
use crate::node::NodeBehavior;
use crate::site::Limits;
use crate::world::World;
use std::fmt::Write as _;
use std::path::Path;
use std::time::Duration;

const NODE_COUNT: usize = 6;

/// Parameters of a measurement.
#[derive(Clone, Copy, Debug)]
pub struct Measurement {
    /// Counted rounds of each build, besides the warm-up round.
    pub rounds: usize,
    /// Time for which hits are sent in each round.
    pub round_duration: Duration,
    /// Rate of the mixed load, without retries.
    pub hits_per_second: f64,
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
}

/// Runs one round and adds its results to `cost`; none if the marshal's resource usage can't be read.
fn run_round(world: &World, measurement: Measurement, cost: &mut BuildCost, seed: u64) -> Option<()> {
    let cpu_before = world.program.usage()?.cpu_time;
    let load = world
        .start_load(LoadPlan { max_connections: 256, ..LoadPlan::mixed(measurement.hits_per_second, seed) });
    std::thread::sleep(measurement.round_duration);
    let group_stats = load.finish();
    let cpu_time = world.program.usage()?.cpu_time - cpu_before;
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
    let behavior = NodeBehavior { cores: 64, ..NodeBehavior::default() };
    let start = |binary: &Path| World::start(binary, NODE_COUNT, Limits::default(), &behavior, &[]);
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
        "| build | us of processor a hit: least, median, most | p99, us (median) | delivered |\n",
    );
    text += "| --- | --- | --- | --- |\n";
    for (name, cost) in names.iter().zip(costs) {
        let (min, median, max) = min_median_max(&cost.cpu_micros_per_hit);
        let p99: Vec<f64> = cost.p99_micros.iter().map(|v| *v as f64).collect();
        let (delivered, sent) = (cost.hits_delivered, cost.hits_sent);
        let _ = writeln!(
            text,
            "| {name} | {min:.1}, {median:.1}, {max:.1} | {:.0} | {delivered} of {sent} |",
            min_median_max(&p99).1
        );
    }
    let ratios: Vec<f64> =
        costs[0].cpu_micros_per_hit.iter().zip(&costs[1].cpu_micros_per_hit).map(|(a, b)| a / b).collect();
    let (min, median, max) = min_median_max(&ratios);
    let _ =
        writeln!(text, "\nratio of the first to the second, round by round: {min:.3}, {median:.3}, {max:.3}");
    text
}
