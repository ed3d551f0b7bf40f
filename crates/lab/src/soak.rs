//! A long run among troubles, and the verdict on what a marshal's memory did: each purpose is to be flat after the
//! first cycles, and what is held is to be accounted for.

use crate::faults::{self, Fault, FaultSchedule};
use crate::load::{GroupStats, Load, LoadPlan};
use crate::misbehaving::{self, MisbehavingClients};
use crate::node::{FaultMode, NodeBehavior};
use crate::plot;
use crate::program::fresh_path;
use crate::release::ReleasePlan;
use crate::rollout::Rollout;
use crate::site::{Limits, PUSH, READ};
use crate::trend::Trend;
use crate::world::{FIRST_BUILD, World};
use serde_json::Value;
use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::path::Path;
use std::time::Duration;
use stonescale::time::Span;
use stonescale_operator::{IniSettings, ini_settings};

const MIB: f64 = 1024.0 * 1024.0;
/// How often the world is looked after.
const TICK: Duration = Duration::from_millis(50);
/// What may be unaccounted for at least: what the process holds before it serves anyone, and some more.
const UNACCOUNTED: f64 = 4.0 * MIB;

/// What a soak is, as its file states it.
#[derive(Clone, Debug)]
pub struct Scenario {
    pub seed: u64,
    pub nodes: usize,
    pub limits: Limits,
    /// Time in which nodes close an idle connection, as the marshal is told: what a trouble leaves open is to be closed
    /// soon after it, or the order of troubles shows as noise in what is looked at while it is quiet.
    pub keepalive: Duration,
    /// Usual hits a second, and clients of each kind that misbehave.
    pub rate: f64,
    pub rogues: usize,
    pub phase: Duration,
    pub cycles: usize,
    /// First cycles that are left out of the verdict.
    pub warm_up: usize,
    pub sample: Duration,
    pub troubles: Vec<Fault>,
    /// Bytes a second by which a purpose may seem to grow, and the process as a whole.
    pub purposes: f64,
    pub resident: f64,
    pub descriptors: f64,
    /// Part of the resident size that may be unaccounted for, where that is more than 4 MiB.
    pub unaccounted: f64,
}

fn number<T: std::str::FromStr + PartialOrd + Copy + std::fmt::Display + 'static>(
    least: T, most: T,
) -> impl Fn(&str) -> Result<T, String> {
    move |text| {
        let number = text.parse().ok().filter(|n: &T| *n >= least && *n <= most);
        number.ok_or_else(|| format!("is not a number from {least} to {most}"))
    }
}

fn troubles(text: &str) -> Result<Vec<Fault>, String> {
    if text == "all" {
        return Ok(faults::ALL.to_vec());
    }
    let named =
        |name: &str| Fault::from_name(name).ok_or_else(|| format!("names an unknown trouble '{name}'"));
    text.split(',').map(|name| named(name.trim())).collect()
}

fn duration(span: Span) -> Duration {
    Duration::from_nanos(span.as_nanos())
}

impl Scenario {
    pub fn read(path: &Path) -> Result<Self, String> {
        Self::of(IniSettings::read(path)?)
    }

    pub fn of(mut sheet: IniSettings) -> Result<Self, String> {
        let span = |sheet: &mut IniSettings, key, default| {
            sheet
                .take_value("soak", key, default, ini_settings::parse_duration, |s| {
                    ini_settings::format_duration(*s)
                })
                .map(duration)
        };
        let phase = span(&mut sheet, "phase", Span::millis(4_000))?;
        let sample = span(&mut sheet, "sample", Span::millis(500))?;
        let keepalive = span(&mut sheet, "keepalive", Span::millis(3_000))?;
        if phase.is_zero() || sample.is_zero() {
            return Err(sheet.error_message("soak", Some("phase"), "and sample must be longer than nothing"));
        }
        let scenario = Scenario {
            phase,
            sample,
            keepalive,
            seed: sheet.take_value("soak", "seed", 1, number(0, u64::MAX), u64::to_string)?,
            nodes: sheet.take_value("soak", "nodes", 6, number(1, 200), usize::to_string)?,
            limits: Limits {
                memory_mb: sheet.take_value("soak", "memory_mb", 32, number(1, 65_536), usize::to_string)?,
                sockets: sheet.take_value("soak", "sockets", 512, number(32, 65_536), usize::to_string)?,
            },
            rate: sheet.take_value("soak", "rate", 200.0, number(1.0, 100_000.0), f64::to_string)?,
            rogues: sheet.take_value("soak", "rogues", 40, number(1, 10_000), usize::to_string)?,
            cycles: sheet.take_value("soak", "cycles", 2, number(1, 10_000), usize::to_string)?,
            warm_up: sheet.take_value("soak", "warm_up", 1, number(0, 10_000), usize::to_string)?,
            troubles: sheet.take_value("soak", "troubles", faults::ALL.to_vec(), troubles, |t| {
                t.iter().map(|t| t.name()).collect::<Vec<_>>().join(", ")
            })?,
            purposes: sheet.take_value("tolerance", "purposes", 500.0, number(0.0, 1e9), f64::to_string)?,
            resident: sheet.take_value("tolerance", "resident", 4_000.0, number(0.0, 1e9), f64::to_string)?,
            descriptors: sheet.take_value(
                "tolerance",
                "descriptors",
                0.2,
                number(0.0, 1e9),
                f64::to_string,
            )?,
            unaccounted: sheet.take_value(
                "tolerance",
                "unaccounted",
                0.15,
                ini_settings::parse_percentage,
                |p| format!("{:.0}%", p * 100.0),
            )?,
        };
        sheet.finish()?;
        Ok(scenario)
    }
}

/// One row of the verdict.
#[derive(Clone, Debug)]
pub struct Row {
    pub name: String,
    /// While no trouble is on; the most is that of the whole run.
    pub trend: Trend,
    pub tolerance: f64,
    /// The cap, where it has one.
    pub cap: Option<f64>,
}

/// What a soak showed.
#[derive(Clone, Debug)]
pub struct Report {
    pub rows: Vec<Row>,
    /// Mean share of the resident size that is unaccounted for, and the most bytes.
    pub unaccounted: (f64, f64),
    pub most_resident: f64,
    pub limit: f64,
    pub tallies: Vec<GroupStats>,
    pub rogue_hits: u64,
    pub builds: u64,
    pub seconds: f64,
    pub cpu: Duration,
    /// Broken rules, as a text.
    pub broken: String,
    /// What is not as it should be; empty where all is.
    pub misses: Vec<String>,
}

type Series = BTreeMap<String, Vec<(f64, f64)>>;

/// Everything that is under way in a soak.
struct Run<'a> {
    scenario: &'a Scenario,
    world: World,
    rogues: Option<MisbehavingClients>,
    rogue_hits: u64,
    rollout: Option<Rollout>,
    build: u16,
    builds: u64,
    usual: NodeBehavior,
    series: Series,
    /// The same, while no trouble is on: what is held for good stands out from what comes and goes.
    quiet: Series,
    /// Since when it is quiet.
    quiet_since: Option<f64>,
    caps: BTreeMap<String, f64>,
}

/// Runs a soak against this binary; `told` is called at every look with the time, the length and the trouble that is on.
pub fn run(
    scenario: &Scenario, binary: &Path, out: Option<&Path>, mut told: impl FnMut(Duration, Duration, Fault),
) -> Result<Report, String> {
    let operator = fresh_path("ini");
    let sample = ini_settings::format_duration(Span::nanos(scenario.sample.as_nanos() as u64));
    let text = format!("[log]\nformat = json\nlines_per_second = 10000\n[memory]\nreport_every = {sample}\n");
    std::fs::write(&operator, text).map_err(|e| format!("{}: {e}", operator.display()))?;
    let usual = NodeBehavior { cores: 8, ..NodeBehavior::default() };
    let args = ["--operator", operator.to_str().unwrap_or_default()];
    let keepalive = scenario.keepalive.as_nanos() as u64;
    let change = |config: &mut Value| config["settings"]["limits"]["keepalive_ns"] = keepalive.into();
    let world = World::start_with(binary, scenario.nodes, scenario.limits, &usual, &args, change)?;
    let load = world.load(LoadPlan::mixed(scenario.rate, scenario.seed));
    let table = FaultSchedule::generate(&scenario.troubles, scenario.cycles, scenario.phase, scenario.seed);
    let mut run = Run {
        scenario,
        world,
        rogues: None,
        rogue_hits: 0,
        rollout: None,
        build: FIRST_BUILD,
        builds: 0,
        usual,
        series: Series::new(),
        quiet: Series::new(),
        quiet_since: None,
        caps: BTreeMap::new(),
    };
    let mut before = None;
    let start = run.world.stage.clock.elapsed();
    loop {
        let at = run.world.stage.clock.elapsed() - start;
        let Some((phase, trouble, on)) = table.phase_at(at) else { break };
        if before != Some((phase, on)) {
            before = Some((phase, on));
            run.settle();
            run.quiet_since = (!on).then_some(at.as_secs_f64());
            if on {
                run.trouble(trouble, at);
            }
        }
        if trouble == Fault::Restarts && on {
            run.restart(at);
        }
        run.look(at);
        told(at, table.duration(), trouble);
        if let Some(status) = run.world.program.ended() {
            return Err(format!("the marshal ended in the middle of it, {status}"));
        }
        std::thread::sleep(TICK);
    }
    run.settle();
    let report = run.verdict(&load, &table);
    if let Some(out) = out {
        std::fs::create_dir_all(out).map_err(|e| format!("{}: {e}", out.display()))?;
        run.write(out, &report)?;
    }
    let _ = std::fs::remove_file(&operator);
    Ok(report)
}

impl Run<'_> {
    /// Ends the trouble of the phase before.
    fn settle(&mut self) {
        if let Some(rogues) = self.rogues.take() {
            self.rogue_hits += rogues.sent.load(std::sync::atomic::Ordering::Relaxed);
        }
        self.world.mood(FaultMode::Healthy);
        self.world.discovery.set_down(false);
        self.world.platform.set_silent(false);
        let (build, usual) = (self.build, self.usual.clone());
        let bad = self.rollout.as_ref().map(|r| r.build).filter(|b| *b != build);
        if bad.is_none() {
            self.world.nodes.iter().for_each(|n| n.update_behavior(|m| *m = usual.clone()));
        }
    }

    fn trouble(&mut self, trouble: Fault, at: Duration) {
        let (world, many) = (&self.world, self.scenario.rogues);
        let half = world.nodes.len().div_ceil(2);
        let rogues = |manner, group, body| Some(world.rogues(manner, many, group, body));
        let change =
            |change: fn(&mut NodeBehavior)| world.nodes.iter().for_each(|n| n.update_behavior(change));
        match trouble {
            Fault::Calm | Fault::Restarts => {}
            Fault::Silent => world.nodes[..half].iter().for_each(|n| n.set_fault_mode(FaultMode::Silent)),
            Fault::AllSilent => world.mood(FaultMode::Silent),
            Fault::Slow => change(|m| m.work_median *= 8),
            Fault::Resets => world.nodes[..half].iter().for_each(|n| n.set_fault_mode(FaultMode::Resetting)),
            Fault::Spoilt => change(|m| m.malformed_rate = 0.1),
            Fault::Deaf => world.nodes[0].set_fault_mode(FaultMode::NotReading),
            Fault::LargeValues => change(|m| m.value_bytes = 60_000),
            Fault::Flood => self.rogues = rogues(misbehaving::Misbehavior::Flood, PUSH, 40_000),
            Fault::NeverRead => self.rogues = rogues(misbehaving::Misbehavior::NeverReads, READ, 0),
            Fault::Half => self.rogues = rogues(misbehaving::Misbehavior::HalfCommand, PUSH, 65_000),
            Fault::Mute => self.rogues = rogues(misbehaving::Misbehavior::Mute, READ, 0),
            Fault::Leave => self.rogues = rogues(misbehaving::Misbehavior::LeavesAtOnce, READ, 0),
            Fault::Stay => self.rogues = rogues(misbehaving::Misbehavior::StaysIdle, READ, 0),
            Fault::Outage => {
                world.discovery.set_down(true);
                world.platform.set_silent(true);
            }
            Fault::GoodBuild | Fault::BadBuild if self.rollout.is_none() => {
                let fails = if trouble == Fault::BadBuild { 0.4 } else { 0.0 };
                let manner = NodeBehavior { error_rate: fails, ..self.usual.clone() };
                let part = self.scenario.phase / 14;
                let course = ReleasePlan {
                    nodes: self.scenario.nodes,
                    stage_shares: vec![0.1, 0.35, 1.0],
                    node_start: part,
                    stage_duration: part * 2,
                };
                self.builds += 1;
                let build = FIRST_BUILD + self.builds as u16;
                self.rollout = Some(Rollout::new(build, self.build, course, at, manner, self.usual.clone()));
            }
            Fault::GoodBuild | Fault::BadBuild => {}
        }
    }

    /// Restarts one node after the other, spread over the first half of the phase.
    fn restart(&mut self, at: Duration) {
        let (phase, nodes) = (self.scenario.phase, self.world.nodes.len().max(1) as u32);
        let each = phase / 2 / nodes;
        let within = Duration::from_nanos((at.as_nanos() % phase.as_nanos()) as u64);
        if within.as_nanos() % each.as_nanos().max(1) < TICK.as_nanos() {
            let node =
                &self.world.nodes[(within.as_nanos() / each.as_nanos().max(1)) as usize % nodes as usize];
            node.restart();
            let now_ms = self.world.stage.clock.now() - stonescale::state::EPOCH;
            let ids = [node.name.clone()];
            self.world.discovery.update(&ids, |e| e.started_ms = now_ms.as_nanos() / 1_000_000);
        }
    }

    fn note(&mut self, name: &str, at: f64, value: f64) {
        // What a report tells may be as old as the last look, and connections take a moment to close.
        let settled = self.scenario.phase.as_secs_f64() / 8.0;
        let quiet = self.quiet_since.is_some_and(|since| at - since >= settled);
        for series in std::iter::once(&mut self.series).chain(quiet.then_some(&mut self.quiet)) {
            match series.get_mut(name) {
                Some(row) => row.push((at, value)),
                None => drop(series.insert(name.to_owned(), vec![(at, value)])),
            }
        }
    }

    /// Looks after the release, and reads what the marshal reports.
    fn look(&mut self, at: Duration) {
        if let Some(mut rollout) = self.rollout.take() {
            rollout.poll(&mut self.world, at);
            match rollout.outcome() {
                None => self.rollout = Some(rollout),
                Some(true) => self.build = rollout.build,
                Some(false) => {}
            }
        }
        let at = at.as_secs_f64();
        while let Ok(line) = self.world.program.log.try_recv() {
            let Ok(event) = serde_json::from_str::<Value>(&line) else { continue };
            let number = |key: &str| event[key].as_f64();
            match event["message"].as_str() {
                Some("memory by purpose") => {
                    let (Some(purpose), Some(held)) = (event["purpose"].as_str(), number("held")) else {
                        continue;
                    };
                    self.note(purpose, at, held);
                    self.caps.insert(purpose.to_owned(), number("cap").unwrap_or(0.0));
                }
                Some("memory of the process") => {
                    for key in ["resident", "unaccounted"] {
                        if let Some(value) = number(key) {
                            self.note(key, at, value);
                        }
                    }
                    if let Some(sample) = self.world.program.sample() {
                        self.note("descriptors", at, sample.descriptors as f64);
                    }
                }
                _ => {}
            }
        }
    }

    fn verdict(&self, load: &Load, table: &FaultSchedule) -> Report {
        let scenario = self.scenario;
        let cycle = scenario.phase.as_secs_f64() * scenario.troubles.len() as f64;
        let from = cycle * scenario.warm_up as f64;
        // A block is a cycle: each has all troubles in it.
        let block = cycle;
        let mut rows = Vec::new();
        let mut misses = Vec::new();
        for (name, all) in &self.series {
            let series = self.quiet.get(name).map_or(&[][..], Vec::as_slice);
            let after: Vec<_> = series.iter().copied().filter(|s| s.0 >= from).collect();
            let most = all.iter().map(|s| s.1).fold(0.0, f64::max);
            let Some(trend) = Trend::of(&after, block) else {
                misses.push(format!("{name}: too few samples for a trend"));
                continue;
            };
            let tolerance = match name.as_str() {
                "resident" | "unaccounted" => scenario.resident,
                "descriptors" => scenario.descriptors,
                _ => scenario.purposes,
            };
            let cap = self.caps.get(name).copied();
            if !trend.flat(tolerance) {
                let (slope, bound) = (trend.slope, trend.bound);
                let sure = if trend.grows(tolerance) { "grows" } else { "is not shown to be flat" };
                misses
                    .push(format!("{name} {sure}: {slope:.1} +- {bound:.1} a second, {tolerance} tolerated"));
            }
            if cap.is_some_and(|cap| most > cap) {
                misses.push(format!("{name} passed its cap: {most}"));
            }
            rows.push(Row { name: name.clone(), trend: Trend { most, ..trend }, tolerance, cap });
        }
        let figures = |name: &str| {
            let series = self.series.get(name).map_or(&[][..], Vec::as_slice);
            series.iter().filter(|s| s.0 >= from).map(|s| s.1).collect::<Vec<_>>()
        };
        let (resident, unaccounted) = (figures("resident"), figures("unaccounted"));
        let most_resident = resident.iter().copied().fold(0.0, f64::max);
        let share = unaccounted.iter().sum::<f64>() / resident.iter().sum::<f64>().max(1.0);
        let most = unaccounted.iter().copied().fold(0.0, f64::max);
        let limit = scenario.limits.memory_mb as f64 * MIB;
        if resident.is_empty() {
            misses.push("the marshal reported nothing".into());
        }
        if share > scenario.unaccounted && most > UNACCOUNTED {
            misses.push(format!(
                "{:.0} % of the memory is unaccounted for, {most:.0} bytes at most",
                share * 100.0
            ));
        }
        if most_resident > limit {
            misses.push(format!("{most_resident:.0} bytes were resident, over the limit of {limit:.0}"));
        }
        let broken = self.world.books.violation_report();
        if !broken.is_empty() {
            misses.push(format!("rules broke: {broken}"));
        }
        let cpu = self.world.program.sample().map_or(Duration::ZERO, |s| s.cpu);
        Report {
            rows,
            unaccounted: (share, most),
            most_resident,
            limit,
            tallies: load.finish(),
            rogue_hits: self.rogue_hits,
            builds: self.builds,
            seconds: table.duration().as_secs_f64(),
            cpu,
            broken,
            misses,
        }
    }

    /// Leaves the samples, the plots and the table in a folder.
    fn write(&self, out: &Path, report: &Report) -> Result<(), String> {
        let fault = |e: std::io::Error| format!("{}: {e}", out.display());
        let mut csv = String::from("seconds,name,value\n");
        for (name, series) in &self.series {
            for (at, value) in series {
                let _ = writeln!(csv, "{at:.2},{name},{value}");
            }
        }
        std::fs::write(out.join("samples.csv"), csv).map_err(fault)?;
        std::fs::write(out.join("report.md"), report.table()).map_err(fault)?;
        let kib = |names: &dyn Fn(&str) -> bool| -> Vec<plot::Line> {
            let fits = self.series.iter().filter(|(name, _)| names(name));
            fits.map(|(name, s)| (name.clone(), s.iter().map(|(t, v)| (*t, v / 1024.0)).collect())).collect()
        };
        let process = ["resident", "unaccounted"];
        let purposes = kib(&|name| !process.contains(&name) && name != "descriptors");
        plot::draw(&out.join("purposes.svg"), "Held by purpose", "KiB", &purposes)?;
        plot::draw(&out.join("process.svg"), "The process", "KiB", &kib(&|name| process.contains(&name)))
    }
}

impl Report {
    /// The verdict as a table in Markdown.
    pub fn table(&self) -> String {
        let mut text = String::new();
        let sum = |f: fn(&GroupStats) -> u64| self.tallies.iter().map(f).sum::<u64>();
        let (asked, delivered, tries) = (sum(|t| t.hits), sum(|t| t.delivered), sum(|t| t.tries));
        let _ = writeln!(
            text,
            "{:.0} s; {asked} usual hits in {tries} tries, {delivered} delivered; {} hits of clients that misbehave; \
             {} builds; {:.1} s of processor time; resident {:.2} MiB at most of {:.0}; unaccounted {:.0} % on the mean, \
             {:.2} MiB at most\n",
            self.seconds,
            self.rogue_hits,
            self.builds,
            self.cpu.as_secs_f64(),
            self.most_resident / MIB,
            self.limit / MIB,
            self.unaccounted.0 * 100.0,
            self.unaccounted.1 / MIB,
        );
        let _ = writeln!(
            text,
            "| what | slope a second, while quiet | bound (95 %) | tolerated | mean, while quiet | most | cap |"
        );
        let _ = writeln!(text, "| --- | --- | --- | --- | --- | --- | --- |");
        for Row { name, trend, tolerance, cap } in &self.rows {
            let cap = cap.map_or("-".into(), |cap| format!("{cap:.0}"));
            let Trend { slope, bound, mean, most, .. } = trend;
            let _ = writeln!(
                text,
                "| {name} | {slope:.2} | {bound:.2} | {tolerance} | {mean:.0} | {most:.0} | {cap} |"
            );
        }
        for miss in &self.misses {
            let _ = writeln!(text, "\nmissed: {miss}");
        }
        text
    }
}
