//! What a hit costs a marshal: two builds side by side, in turns within one run, so that a machine whose pace drifts
//! drifts for both.

use crate::load::Plan;
use crate::node::Manner;
use crate::site::Limits;
use crate::world::World;
use std::fmt::Write as _;
use std::path::Path;
use std::time::Duration;

const NODES: usize = 6;

/// How it is measured.
#[derive(Clone, Copy, Debug)]
pub struct Measurement {
    pub rounds: usize,
    pub round_duration: Duration,
    /// Hits a second.
    pub hits_per_second: f64,
}

/// Processor time by hit in microseconds, round by round, and hits delivered of those asked.
#[derive(Clone, Debug, Default)]
pub struct BuildCost {
    pub micros: Vec<f64>,
    pub p99_micros: Vec<u64>,
    pub asked: u64,
    pub delivered: u64,
}

fn round(world: &World, course: Measurement, side: &mut BuildCost, seed: u64) -> Option<()> {
    let before = world.program.usage()?.cpu_time;
    let load = world.start_load(Plan { connections: 256, ..Plan::mixed(course.hits_per_second, seed) });
    std::thread::sleep(course.round_duration);
    let tallies = load.finish();
    let cpu = world.program.usage()?.cpu_time - before;
    let (asked, delivered) =
        tallies.iter().fold((0, 0), |sum, tally| (sum.0 + tally.asked, sum.1 + tally.delivered));
    side.asked += asked;
    side.delivered += delivered;
    side.micros.push(cpu.as_secs_f64() * 1e6 / (delivered as f64).max(1.0));
    side.p99_micros.push(tallies[0].latency.value_at_quantile(0.99));
    Some(())
}

/// Runs both in turns, after a round that is not counted.
pub fn run(one: &Path, other: &Path, course: Measurement) -> Result<[BuildCost; 2], String> {
    let manner = Manner { cores: 64, ..Manner::default() };
    let start = |binary: &Path| World::start(binary, NODES, Limits::default(), &manner, &[]);
    let worlds = [start(one)?, start(other)?];
    let mut sides = [BuildCost::default(), BuildCost::default()];
    for number in 0..=course.rounds {
        // Who goes first changes, as the one after may find a warmer machine.
        for at in if number % 2 == 0 { [0, 1] } else { [1, 0] } {
            let mut side = BuildCost::default();
            let counted = if number == 0 { &mut side } else { &mut sides[at] };
            round(&worlds[at], course, counted, number as u64).ok_or("a marshal ended")?;
        }
    }
    Ok(sides)
}

fn spread(values: &[f64]) -> (f64, f64, f64) {
    let mut values = values.to_vec();
    values.sort_by(f64::total_cmp);
    let at = |part: f64| values.get((part * (values.len().max(1) - 1) as f64).round() as usize).copied();
    (at(0.0).unwrap_or(0.0), at(0.5).unwrap_or(0.0), at(1.0).unwrap_or(0.0))
}

/// Both sides, and the ratio of the first to the second round by round.
pub fn table(names: [&str; 2], sides: &[BuildCost; 2]) -> String {
    let mut text = String::from(
        "| build | us of processor a hit: least, median, most | p99, us (median) | delivered |\n",
    );
    text += "| --- | --- | --- | --- |\n";
    for (name, side) in names.iter().zip(sides) {
        let (least, median, most) = spread(&side.micros);
        let p99: Vec<f64> = side.p99_micros.iter().map(|v| *v as f64).collect();
        let (delivered, asked) = (side.delivered, side.asked);
        let _ = writeln!(
            text,
            "| {name} | {least:.1}, {median:.1}, {most:.1} | {:.0} | {delivered} of {asked} |",
            spread(&p99).1
        );
    }
    let ratios: Vec<f64> = sides[0].micros.iter().zip(&sides[1].micros).map(|(a, b)| a / b).collect();
    let (least, median, most) = spread(&ratios);
    let _ = writeln!(
        text,
        "\nratio of the first to the second, round by round: {least:.3}, {median:.3}, {most:.3}"
    );
    text
}
