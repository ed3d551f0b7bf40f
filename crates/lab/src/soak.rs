//! Soak test: runs a marshal through repeated cycles of faults and judges its memory. After the warm-up cycles each
//! purpose must stay flat, and the resident size must be accounted for by the purposes that the marshal reports.

use crate::faults::{self, Fault, FaultSchedule};
use crate::load::{GroupStats, Load, LoadPlan};
use crate::misbehaving::{MisbehavingClients, Misbehavior};
use crate::node::{FaultMode, NodeBehavior};
use crate::plot;
use crate::program::unique_temp_path;
use crate::release::ReleasePlan;
use crate::rollout::Rollout;
use crate::site::{Limits, REPEATABLE, TAGGED};
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
/// Interval at which the run starts and ends faults, advances a release and reads the marshal's log.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Unaccounted memory up to this size is always tolerated: it covers what the process holds before it serves any
/// client, with some margin.
const UNACCOUNTED_FLOOR_BYTES: f64 = 4.0 * MIB;

/// Settings of a soak test, read from an INI file.
#[derive(Clone, Debug)]
pub struct Scenario {
    /// Seed of the load and of the order of the faults.
    pub seed: u64,
    /// Number of nodes while no release is under way.
    pub node_count: usize,
    /// Limits stated in the marshal's configuration.
    pub limits: Limits,
    /// Time after which nodes close an idle connection, as stated in the marshal's settings. Connections left open by
    /// a fault must close soon after it; otherwise the order of the faults shows up as noise in the samples that are
    /// taken without a fault.
    pub keepalive: Duration,
    /// Hits per second of well-behaved clients.
    pub hits_per_second: f64,
    /// Number of misbehaving clients in a phase whose fault consists of them.
    pub misbehaving_clients_per_phase: usize,
    /// Length of a phase, which has one fault in its first half and none in the second.
    pub phase_length: Duration,
    /// Number of cycles, including those of the warm-up; each has one phase per fault.
    pub cycles: usize,
    /// Number of cycles at the start that are excluded from the verdict.
    pub warm_up_cycles: usize,
    /// Interval of the marshal's memory reports.
    pub sample_interval: Duration,
    /// The faults of each cycle, one per phase.
    pub faults: Vec<Fault>,
    /// Tolerated growth of a purpose, in bytes per second; compared with the upper bound of the slope.
    pub max_purpose_slope: f64,
    /// Tolerated growth of the resident size and of its unaccounted part, in bytes per second.
    pub max_resident_slope: f64,
    /// Tolerated growth of the number of open descriptors, per second.
    pub max_descriptor_slope: f64,
    /// Tolerated unaccounted share of the resident size, 0 to 1; applies where more than 4 MiB are unaccounted for.
    pub max_unaccounted_share: f64,
}

/// A parser of numbers from `min` to `max`.
fn parse_number<T: std::str::FromStr + PartialOrd + Copy + std::fmt::Display + 'static>(
    min: T, max: T,
) -> impl Fn(&str) -> Result<T, String> {
    move |text| {
        let number = text.parse().ok().filter(|n: &T| *n >= min && *n <= max);
        number.ok_or_else(|| format!("is not a number from {min} to {max}"))
    }
}

/// Parses `all` or a comma-separated list of fault names.
fn parse_faults(text: &str) -> Result<Vec<Fault>, String> {
    if text == "all" {
        return Ok(faults::ALL_FAULTS.to_vec());
    }
    let parse_name =
        |name: &str| Fault::from_name(name).ok_or_else(|| format!("names an unknown trouble '{name}'"));
    text.split(',').map(|name| parse_name(name.trim())).collect()
}

fn to_duration(span: Span) -> Duration {
    Duration::from_nanos(span.as_nanos())
}

impl Scenario {
    /// Reads a scenario file.
    pub fn read(path: &Path) -> Result<Self, String> {
        Self::from_settings(IniSettings::read(path)?)
    }

    /// Takes a scenario from parsed settings; a wrong value or an unknown key is an error that names its line.
    pub fn from_settings(mut ini: IniSettings) -> Result<Self, String> {
        let take_duration = |ini: &mut IniSettings, key, default| {
            ini.take_value("soak", key, default, ini_settings::parse_duration, |span| {
                ini_settings::format_duration(*span)
            })
            .map(to_duration)
        };
        let phase_length = take_duration(&mut ini, "phase", Span::millis(4_000))?;
        let sample_interval = take_duration(&mut ini, "sample", Span::millis(500))?;
        let keepalive = take_duration(&mut ini, "keepalive", Span::millis(3_000))?;
        if phase_length.is_zero() || sample_interval.is_zero() {
            return Err(ini.error_message("soak", Some("phase"), "and sample must be greater than zero"));
        }
        let scenario = Scenario {
            phase_length,
            sample_interval,
            keepalive,
            seed: ini.take_value("soak", "seed", 1, parse_number(0, u64::MAX), u64::to_string)?,
            node_count: ini.take_value("soak", "nodes", 6, parse_number(1, 200), usize::to_string)?,
            limits: Limits {
                memory_mb: ini.take_value(
                    "soak",
                    "memory_mb",
                    32,
                    parse_number(1, 65_536),
                    usize::to_string,
                )?,
                sockets: ini.take_value(
                    "soak",
                    "sockets",
                    512,
                    parse_number(32, 65_536),
                    usize::to_string,
                )?,
            },
            hits_per_second: ini.take_value(
                "soak",
                "rate",
                200.0,
                parse_number(1.0, 100_000.0),
                f64::to_string,
            )?,
            misbehaving_clients_per_phase: ini.take_value(
                "soak",
                "rogues",
                40,
                parse_number(1, 10_000),
                usize::to_string,
            )?,
            cycles: ini.take_value("soak", "cycles", 2, parse_number(1, 10_000), usize::to_string)?,
            warm_up_cycles: ini.take_value(
                "soak",
                "warm_up",
                1,
                parse_number(0, 10_000),
                usize::to_string,
            )?,
            faults: ini.take_value(
                "soak",
                "troubles",
                faults::ALL_FAULTS.to_vec(),
                parse_faults,
                |faults| faults.iter().map(|fault| fault.name()).collect::<Vec<_>>().join(", "),
            )?,
            max_purpose_slope: ini.take_value(
                "tolerance",
                "purposes",
                500.0,
                parse_number(0.0, 1e9),
                f64::to_string,
            )?,
            max_resident_slope: ini.take_value(
                "tolerance",
                "resident",
                4_000.0,
                parse_number(0.0, 1e9),
                f64::to_string,
            )?,
            max_descriptor_slope: ini.take_value(
                "tolerance",
                "descriptors",
                0.2,
                parse_number(0.0, 1e9),
                f64::to_string,
            )?,
            max_unaccounted_share: ini.take_value(
                "tolerance",
                "unaccounted",
                0.15,
                ini_settings::parse_percentage,
                |share| format!("{:.0}%", share * 100.0),
            )?,
        };
        ini.finish()?;
        Ok(scenario)
    }
}

/// One row of the report: the trend of a purpose or of a figure of the process.
#[derive(Clone, Debug)]
pub struct ReportRow {
    /// A purpose, or `resident`, `unaccounted` or `descriptors`.
    pub name: String,
    /// Trend of the samples taken without a fault; the maximum is that of the whole run.
    pub trend: Trend,
    /// Tolerated slope, in units per second.
    pub tolerance: f64,
    /// The purpose's cap in bytes, if it has one.
    pub cap: Option<f64>,
}

/// Results of a soak test.
#[derive(Clone, Debug)]
pub struct Report {
    /// Rows in the order of their names; there is none for a name with too few samples for a trend.
    pub rows: Vec<ReportRow>,
    /// Unaccounted share of the resident size (0 to 1, mean) and the maximum of unaccounted bytes.
    pub unaccounted_share_and_max_bytes: (f64, f64),
    /// Maximum resident size after the warm-up cycles.
    pub max_resident_bytes: f64,
    /// Memory limit of the marshal; a larger resident size misses the tolerances.
    pub memory_limit_bytes: f64,
    /// Results of the well-behaved clients, by path group.
    pub group_stats: Vec<GroupStats>,
    /// Hits sent by all misbehaving clients.
    pub misbehaving_client_hits: u64,
    /// Builds whose release was started, besides the initial one.
    pub builds_offered: u64,
    /// Length of all phases together, including the warm-up cycles.
    pub duration_seconds: f64,
    /// Processor time of the marshal.
    pub cpu_time: Duration,
    /// Violations of the five rules as a text; empty where there were none.
    pub rule_violations: String,
    /// Missed tolerances and violations, one text each; the soak passes if there are none.
    pub missed_tolerances: Vec<String>,
}

/// Samples (seconds since the start, value) by name.
type Series = BTreeMap<String, Vec<(f64, f64)>>;

/// State of a running soak test.
struct SoakRun<'a> {
    scenario: &'a Scenario,
    world: World,
    misbehaving_clients: Option<MisbehavingClients>,
    misbehaving_client_hits: u64,
    rollout: Option<Rollout>,
    /// The latest build that was released to all nodes.
    released_build: u16,
    builds_offered: u64,
    /// Behavior of the nodes while no fault changes it.
    normal_behavior: NodeBehavior,
    series: Series,
    /// Samples taken without a fault: only what is held permanently shows in them.
    fault_free_series: Series,
    /// Start of the current period without a fault, in seconds since the start of the run.
    fault_free_since: Option<f64>,
    /// Caps in bytes, by purpose.
    caps: BTreeMap<String, f64>,
}

/// Runs a soak test against this binary and writes samples, plots and report to `output_folder`, if given.
/// `on_progress` is called at every poll with the elapsed time, the total length and the fault of the current phase.
pub fn run(
    scenario: &Scenario, binary: &Path, output_folder: Option<&Path>,
    mut on_progress: impl FnMut(Duration, Duration, Fault),
) -> Result<Report, String> {
    let operator_file = unique_temp_path("ini");
    let report_every = ini_settings::format_duration(Span::nanos(scenario.sample_interval.as_nanos() as u64));
    let text =
        format!("[log]\nformat = json\nlines_per_second = 10000\n[memory]\nreport_every = {report_every}\n");
    std::fs::write(&operator_file, text).map_err(|e| format!("{}: {e}", operator_file.display()))?;
    let normal_behavior = NodeBehavior { cores: 8, ..NodeBehavior::default() };
    let args = ["--operator", operator_file.to_str().unwrap_or_default()];
    let keepalive = scenario.keepalive.as_nanos() as u64;
    let set_keepalive = |config: &mut Value| config["settings"]["limits"]["keepalive_ns"] = keepalive.into();
    let world = World::start_with_config(
        binary,
        scenario.node_count,
        scenario.limits,
        &normal_behavior,
        &args,
        set_keepalive,
    )?;
    let load = world.start_load(LoadPlan::mixed(scenario.hits_per_second, scenario.seed));
    let schedule =
        FaultSchedule::generate(&scenario.faults, scenario.cycles, scenario.phase_length, scenario.seed);
    let mut run = SoakRun {
        scenario,
        world,
        misbehaving_clients: None,
        misbehaving_client_hits: 0,
        rollout: None,
        released_build: FIRST_BUILD,
        builds_offered: 0,
        normal_behavior,
        series: Series::new(),
        fault_free_series: Series::new(),
        fault_free_since: None,
        caps: BTreeMap::new(),
    };
    let mut previous = None;
    let start = run.world.runtime.clock.elapsed();
    loop {
        let elapsed = run.world.runtime.clock.elapsed() - start;
        let Some((phase, fault, active)) = schedule.phase_at(elapsed) else { break };
        if previous != Some((phase, active)) {
            previous = Some((phase, active));
            run.end_fault();
            run.fault_free_since = (!active).then_some(elapsed.as_secs_f64());
            if active {
                run.start_fault(fault, elapsed);
            }
        }
        if fault == Fault::Restarts && active {
            run.restart_due_node(elapsed);
        }
        run.poll(elapsed);
        on_progress(elapsed, schedule.duration(), fault);
        if let Some(status) = run.world.program.exit_status() {
            return Err(format!("the marshal exited during the soak: {status}"));
        }
        std::thread::sleep(POLL_INTERVAL);
    }
    run.end_fault();
    let report = run.evaluate(&load, &schedule);
    if let Some(folder) = output_folder {
        std::fs::create_dir_all(folder).map_err(|e| format!("{}: {e}", folder.display()))?;
        run.write_files(folder, &report)?;
    }
    let _ = std::fs::remove_file(&operator_file);
    Ok(report)
}

impl SoakRun<'_> {
    /// Ends the fault of the previous phase.
    fn end_fault(&mut self) {
        if let Some(clients) = self.misbehaving_clients.take() {
            self.misbehaving_client_hits += clients.sent.load(std::sync::atomic::Ordering::Relaxed);
        }
        self.world.set_fault_mode_of_all_nodes(FaultMode::Healthy);
        self.world.discovery.set_down(false);
        self.world.platform.set_silent(false);
        let (released, normal) = (self.released_build, self.normal_behavior.clone());
        // While a release is under way, nodes keep the behavior of their build.
        let build_on_trial = self.rollout.as_ref().map(|r| r.build).filter(|b| *b != released);
        if build_on_trial.is_none() {
            self.world.nodes.iter().for_each(|n| n.update_behavior(|behavior| *behavior = normal.clone()));
        }
    }

    /// Starts the fault of the current phase.
    fn start_fault(&mut self, fault: Fault, elapsed: Duration) {
        let (world, client_count) = (&self.world, self.scenario.misbehaving_clients_per_phase);
        let half_count = world.nodes.len().div_ceil(2);
        let start_clients = |misbehavior, group, body_bytes| {
            Some(world.start_misbehaving_clients(misbehavior, client_count, group, body_bytes))
        };
        let change =
            |change: fn(&mut NodeBehavior)| world.nodes.iter().for_each(|n| n.update_behavior(change));
        match fault {
            Fault::Calm | Fault::Restarts => {}
            Fault::Silent => {
                world.nodes[..half_count].iter().for_each(|n| n.set_fault_mode(FaultMode::Silent))
            }
            Fault::AllSilent => world.set_fault_mode_of_all_nodes(FaultMode::Silent),
            Fault::Slow => change(|behavior| behavior.work_median *= 8),
            Fault::Resets => {
                world.nodes[..half_count].iter().for_each(|n| n.set_fault_mode(FaultMode::Resetting))
            }
            Fault::Spoilt => change(|behavior| behavior.malformed_rate = 0.1),
            Fault::Deaf => world.nodes[0].set_fault_mode(FaultMode::NotReading),
            Fault::LargeValues => change(|behavior| behavior.value_bytes = 60_000),
            Fault::Flood => self.misbehaving_clients = start_clients(Misbehavior::Flood, TAGGED, 40_000),
            Fault::NeverRead => {
                self.misbehaving_clients = start_clients(Misbehavior::NeverReads, REPEATABLE, 0)
            }
            Fault::Half => {
                self.misbehaving_clients = start_clients(Misbehavior::IncompleteCommand, TAGGED, 65_000)
            }
            Fault::Mute => self.misbehaving_clients = start_clients(Misbehavior::SendsNothing, REPEATABLE, 0),
            Fault::Leave => {
                self.misbehaving_clients = start_clients(Misbehavior::DisconnectsAtOnce, REPEATABLE, 0)
            }
            Fault::Stay => self.misbehaving_clients = start_clients(Misbehavior::StaysIdle, REPEATABLE, 0),
            Fault::Outage => {
                world.discovery.set_down(true);
                world.platform.set_silent(true);
            }
            Fault::GoodBuild | Fault::BadBuild if self.rollout.is_none() => {
                let error_rate = if fault == Fault::BadBuild { 0.4 } else { 0.0 };
                let behavior = NodeBehavior { error_rate, ..self.normal_behavior.clone() };
                // Three stages, each of one part to start nodes and two parts of traffic, take 9/14 of a phase.
                let part = self.scenario.phase_length / 14;
                let plan = ReleasePlan {
                    node_count: self.scenario.node_count,
                    stage_shares: vec![0.1, 0.35, 1.0],
                    node_start_duration: part,
                    stage_duration: part * 2,
                };
                self.builds_offered += 1;
                let build = FIRST_BUILD + self.builds_offered as u16;
                self.rollout = Some(Rollout::new(
                    build,
                    self.released_build,
                    plan,
                    elapsed,
                    behavior,
                    self.normal_behavior.clone(),
                ));
            }
            Fault::GoodBuild | Fault::BadBuild => {}
        }
    }

    /// Restarts the node whose turn it is: one after another, spread evenly over the first half of the phase.
    fn restart_due_node(&mut self, elapsed: Duration) {
        let (phase_length, node_count) = (self.scenario.phase_length, self.world.nodes.len().max(1) as u32);
        let interval = phase_length / 2 / node_count;
        let in_phase = Duration::from_nanos((elapsed.as_nanos() % phase_length.as_nanos()) as u64);
        if in_phase.as_nanos() % interval.as_nanos().max(1) < POLL_INTERVAL.as_nanos() {
            let node = &self.world.nodes
                [(in_phase.as_nanos() / interval.as_nanos().max(1)) as usize % node_count as usize];
            node.restart();
            let since_epoch = self.world.runtime.clock.now() - stonescale::state::EPOCH;
            let names = [node.name.clone()];
            self.world
                .discovery
                .update(&names, |entry| entry.started_ms = since_epoch.as_nanos() / 1_000_000);
        }
    }

    /// Adds a sample to the series of this name; `at` is in seconds since the start of the run.
    fn record_sample(&mut self, name: &str, at: f64, value: f64) {
        // A report may be as old as the last poll, and connections take a moment to close: samples count as taken
        // without a fault only after an eighth of the phase.
        let settling_seconds = self.scenario.phase_length.as_secs_f64() / 8.0;
        let fault_free = self.fault_free_since.is_some_and(|since| at - since >= settling_seconds);
        for series in
            std::iter::once(&mut self.series).chain(fault_free.then_some(&mut self.fault_free_series))
        {
            match series.get_mut(name) {
                Some(samples) => samples.push((at, value)),
                None => drop(series.insert(name.to_owned(), vec![(at, value)])),
            }
        }
    }

    /// Advances the release, and reads the memory reports in the marshal's log.
    fn poll(&mut self, elapsed: Duration) {
        if let Some(mut rollout) = self.rollout.take() {
            rollout.poll(&mut self.world, elapsed);
            match rollout.outcome() {
                None => self.rollout = Some(rollout),
                Some(true) => self.released_build = rollout.build,
                Some(false) => {}
            }
        }
        let at = elapsed.as_secs_f64();
        while let Ok(line) = self.world.program.log.try_recv() {
            let Ok(event) = serde_json::from_str::<Value>(&line) else { continue };
            let number = |key: &str| event[key].as_f64();
            match event["message"].as_str() {
                Some("memory by purpose") => {
                    let (Some(purpose), Some(held)) = (event["purpose"].as_str(), number("held")) else {
                        continue;
                    };
                    self.record_sample(purpose, at, held);
                    self.caps.insert(purpose.to_owned(), number("cap").unwrap_or(0.0));
                }
                Some("memory of the process") => {
                    for key in ["resident", "unaccounted"] {
                        if let Some(value) = number(key) {
                            self.record_sample(key, at, value);
                        }
                    }
                    if let Some(usage) = self.world.program.usage() {
                        self.record_sample("descriptors", at, usage.descriptors as f64);
                    }
                }
                _ => {}
            }
        }
    }

    /// Judges the samples after the warm-up cycles against the scenario's tolerances.
    fn evaluate(&self, load: &Load, schedule: &FaultSchedule) -> Report {
        let scenario = self.scenario;
        let cycle_seconds = scenario.phase_length.as_secs_f64() * scenario.faults.len() as f64;
        let warm_up_seconds = cycle_seconds * scenario.warm_up_cycles as f64;
        // A block is a whole cycle, so that every block contains all faults.
        let block_seconds = cycle_seconds;
        let mut rows = Vec::new();
        let mut missed_tolerances = Vec::new();
        for (name, all_samples) in &self.series {
            let fault_free = self.fault_free_series.get(name).map_or(&[][..], Vec::as_slice);
            let after_warm_up: Vec<_> =
                fault_free.iter().copied().filter(|s| s.0 >= warm_up_seconds).collect();
            let max = all_samples.iter().map(|s| s.1).fold(0.0, f64::max);
            let Some(trend) = Trend::fit(&after_warm_up, block_seconds) else {
                missed_tolerances.push(format!("{name}: too few samples for a trend"));
                continue;
            };
            let tolerance = match name.as_str() {
                "resident" | "unaccounted" => scenario.max_resident_slope,
                "descriptors" => scenario.max_descriptor_slope,
                _ => scenario.max_purpose_slope,
            };
            let cap = self.caps.get(name).copied();
            if !trend.is_flat(tolerance) {
                let (slope, margin) = (trend.slope, trend.slope_margin);
                let finding = if trend.is_growing(tolerance) { "grows" } else { "is not shown to be flat" };
                missed_tolerances.push(format!(
                    "{name} {finding}: {slope:.1} +- {margin:.1} per second, {tolerance} tolerated"
                ));
            }
            if cap.is_some_and(|cap| max > cap) {
                missed_tolerances.push(format!("{name} exceeded its cap: {max}"));
            }
            rows.push(ReportRow { name: name.clone(), trend: Trend { max, ..trend }, tolerance, cap });
        }
        let values_after_warm_up = |name: &str| {
            let series = self.series.get(name).map_or(&[][..], Vec::as_slice);
            series.iter().filter(|s| s.0 >= warm_up_seconds).map(|s| s.1).collect::<Vec<_>>()
        };
        let (resident, unaccounted) = (values_after_warm_up("resident"), values_after_warm_up("unaccounted"));
        let max_resident_bytes = resident.iter().copied().fold(0.0, f64::max);
        let unaccounted_share = unaccounted.iter().sum::<f64>() / resident.iter().sum::<f64>().max(1.0);
        let max_unaccounted = unaccounted.iter().copied().fold(0.0, f64::max);
        let memory_limit = scenario.limits.memory_mb as f64 * MIB;
        if resident.is_empty() {
            missed_tolerances.push("the marshal sent no memory report".into());
        }
        if unaccounted_share > scenario.max_unaccounted_share && max_unaccounted > UNACCOUNTED_FLOOR_BYTES {
            missed_tolerances.push(format!(
                "{:.0} % of the memory is unaccounted for, {max_unaccounted:.0} bytes at most",
                unaccounted_share * 100.0
            ));
        }
        if max_resident_bytes > memory_limit {
            missed_tolerances.push(format!(
                "{max_resident_bytes:.0} bytes were resident, more than the limit of {memory_limit:.0}"
            ));
        }
        let rule_violations = self.world.checker.violation_report();
        if !rule_violations.is_empty() {
            missed_tolerances.push(format!("rule violations: {rule_violations}"));
        }
        let cpu_time = self.world.program.usage().map_or(Duration::ZERO, |usage| usage.cpu_time);
        Report {
            rows,
            unaccounted_share_and_max_bytes: (unaccounted_share, max_unaccounted),
            max_resident_bytes,
            memory_limit_bytes: memory_limit,
            group_stats: load.finish(),
            misbehaving_client_hits: self.misbehaving_client_hits,
            builds_offered: self.builds_offered,
            duration_seconds: schedule.duration().as_secs_f64(),
            cpu_time,
            rule_violations,
            missed_tolerances,
        }
    }

    /// Writes the samples, the plots and the report to a folder.
    fn write_files(&self, folder: &Path, report: &Report) -> Result<(), String> {
        let io_error = |e: std::io::Error| format!("{}: {e}", folder.display());
        let mut csv = String::from("seconds,name,value\n");
        for (name, series) in &self.series {
            for (at, value) in series {
                let _ = writeln!(csv, "{at:.2},{name},{value}");
            }
        }
        std::fs::write(folder.join("samples.csv"), csv).map_err(io_error)?;
        std::fs::write(folder.join("report.md"), report.table()).map_err(io_error)?;
        let series_in_kib = |selects: &dyn Fn(&str) -> bool| -> Vec<plot::NamedSeries> {
            let selected = self.series.iter().filter(|(name, _)| selects(name));
            selected
                .map(|(name, s)| (name.clone(), s.iter().map(|(t, v)| (*t, v / 1024.0)).collect()))
                .collect()
        };
        let process_series = ["resident", "unaccounted"];
        let purposes = series_in_kib(&|name| !process_series.contains(&name) && name != "descriptors");
        plot::draw(&folder.join("purposes.svg"), "Held by purpose", "KiB", &purposes)?;
        plot::draw(
            &folder.join("process.svg"),
            "The process",
            "KiB",
            &series_in_kib(&|name| process_series.contains(&name)),
        )
    }
}

impl Report {
    /// The report as Markdown: totals, a table of trends, and the missed tolerances.
    pub fn table(&self) -> String {
        let mut text = String::new();
        let sum = |f: fn(&GroupStats) -> u64| self.group_stats.iter().map(f).sum::<u64>();
        let (hits, delivered, tries) = (sum(|t| t.hits), sum(|t| t.delivered), sum(|t| t.tries));
        let _ = writeln!(
            text,
            "{:.0} s; {hits} regular hits in {tries} tries, {delivered} delivered; {} hits of misbehaving clients; \
             {} builds; {:.1} s of processor time; resident {:.2} MiB at most of {:.0}; \
             unaccounted {:.0} % on average, {:.2} MiB at most\n",
            self.duration_seconds,
            self.misbehaving_client_hits,
            self.builds_offered,
            self.cpu_time.as_secs_f64(),
            self.max_resident_bytes / MIB,
            self.memory_limit_bytes / MIB,
            self.unaccounted_share_and_max_bytes.0 * 100.0,
            self.unaccounted_share_and_max_bytes.1 / MIB,
        );
        let _ = writeln!(
            text,
            "| what | slope a second, while quiet | bound (95 %) | tolerated | mean, while quiet | most | cap |"
        );
        let _ = writeln!(text, "| --- | --- | --- | --- | --- | --- | --- |");
        for ReportRow { name, trend, tolerance, cap } in &self.rows {
            let cap = cap.map_or("-".into(), |cap| format!("{cap:.0}"));
            let Trend { slope, slope_margin, mean, max, .. } = trend;
            let _ = writeln!(
                text,
                "| {name} | {slope:.2} | {slope_margin:.2} | {tolerance} | {mean:.0} | {max:.0} | {cap} |"
            );
        }
        for missed in &self.missed_tolerances {
            let _ = writeln!(text, "\nmissed: {missed}");
        }
        text
    }
}
