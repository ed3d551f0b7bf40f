//! Demonstration of under a minute: a marshal with a small fleet on loopback, to which a good build and then a bad one
//! are offered.

use crate::load::LoadPlan;
use crate::node::NodeBehavior;
use crate::plot;
use crate::release::ReleasePlan;
use crate::rollout::Rollout;
use crate::site::Limits;
use crate::world::{FIRST_BUILD, World};
use std::fmt::Write as _;
use std::path::Path;
use std::time::Duration;

/// Progress of the demonstration.
pub struct Progress {
    /// Elapsed share of the whole run, 0 to 1.
    pub fraction_done: f64,
    /// State of the current build, as one line.
    pub message: String,
}

const NODE_COUNT: usize = 8;
const HITS_PER_SECOND: f64 = 250.0;
const POLL_INTERVAL: Duration = Duration::from_millis(100);
/// Time for each build: its three stages, and some seconds after the release.
const TIME_PER_BUILD: Duration = Duration::from_secs(18);

/// Runs the demonstration against this binary and draws its plot to `plot_path`; returns the closing table, as an error
/// if a rule was broken.
pub fn run(binary: &Path, plot_path: &Path, mut on_progress: impl FnMut(Progress)) -> Result<String, String> {
    // 40 ms is a usual latency of such services. At 2 ms, the time to open new connections would look like a slowdown
    // caused by the build.
    let normal_behavior =
        NodeBehavior { cores: 32, work_median: Duration::from_millis(40), ..NodeBehavior::default() };
    let mut world = World::start(binary, NODE_COUNT, Limits::default(), &normal_behavior, &[])?;
    let load = world.start_load(LoadPlan::mixed(HITS_PER_SECOND, 7));
    let stages = vec![0.1, 0.35, 1.0];
    let builds = [("good", 0.0, FIRST_BUILD + 1), ("bad", 0.35, FIRST_BUILD + 2)];
    let (mut table, mut in_time_percent, mut cap_percent) = (String::new(), Vec::new(), Vec::new());
    let _ = writeln!(
        table,
        "| build | kind | what became of it | after | delivered in time | hits | bounced | errored |"
    );
    let _ = writeln!(table, "| --- | --- | --- | --- | --- | --- | --- | --- |");
    let mut stop_vote_lines = Vec::new();
    let start = world.runtime.clock.elapsed();
    let mut released_build = FIRST_BUILD;
    for (index, (kind, error_rate, build)) in builds.into_iter().enumerate() {
        let plan = ReleasePlan {
            node_count: NODE_COUNT,
            stage_shares: stages.clone(),
            node_start_duration: Duration::from_millis(800),
            stage_duration: Duration::from_millis(3_500),
        };
        let build_start = world.runtime.clock.elapsed();
        let behavior = NodeBehavior { error_rate, ..normal_behavior.clone() };
        let mut rollout =
            Rollout::new(build, released_build, plan, build_start, behavior, normal_behavior.clone());
        let mut decided_after = None;
        load.take_stats();
        // Hits sent, delivered in time, bounced and errored.
        let mut totals = (0, 0, 0, 0);
        loop {
            let now = world.runtime.clock.elapsed();
            if now - build_start >= TIME_PER_BUILD {
                break;
            }
            rollout.poll(&mut world, now);
            if decided_after.is_none() && rollout.outcome().is_some() {
                decided_after = Some(now - build_start);
            }
            std::thread::sleep(POLL_INTERVAL);
            stop_vote_lines.extend(world.program.log.try_iter().filter(|line| line.contains(" back, ")));
            let group_stats = load.take_stats();
            let sum = |f: fn(&crate::load::GroupStats) -> u64| group_stats.iter().map(f).sum::<u64>();
            let (hits, in_time) = (sum(|t| t.hits), sum(|t| t.in_time));
            totals = (
                totals.0 + hits,
                totals.1 + in_time,
                totals.2 + sum(|t| t.bounced),
                totals.3 + sum(|t| t.errored),
            );
            let seconds = (now - start).as_secs_f64();
            in_time_percent.push((seconds, in_time as f64 / (hits as f64).max(1.0) * 100.0));
            let status = world.platform.build_status();
            cap_percent.push((seconds, if status.phase == "testing" { status.cap * 100.0 } else { 0.0 }));
            let vote = world
                .platform
                .latest_vote(build, Duration::from_secs(4))
                .map_or("none".into(), |v| v.verdict);
            let message = format!(
                "build {build} ({kind}): {}, stage {}, cap {:.0} %, vote {vote}, delivered {:.1} %",
                status.phase,
                rollout.stage(),
                status.cap * 100.0,
                totals.1 as f64 / (totals.0 as f64).max(1.0) * 100.0,
            );
            let share_of_build = (now - build_start).as_secs_f64() / TIME_PER_BUILD.as_secs_f64();
            on_progress(Progress {
                fraction_done: (index as f64 + share_of_build.min(1.0)) / builds.len() as f64,
                message,
            });
        }
        let (outcome, after) = match (rollout.outcome(), decided_after) {
            (Some(true), Some(elapsed)) => ("released", format!("{:.1} s", elapsed.as_secs_f64())),
            (Some(false), Some(elapsed)) => ("sent back", format!("{:.1} s", elapsed.as_secs_f64())),
            _ => ("still on trial", "-".into()),
        };
        if rollout.outcome() == Some(true) {
            released_build = build;
        }
        let (hits, in_time, bounced, errored) = totals;
        let delivered = in_time as f64 / (hits as f64).max(1.0) * 100.0;
        let _ = writeln!(
            table,
            "| {build} | {kind} | {outcome} | {after} | {delivered:.1} % | {hits} | {bounced} | {errored} |"
        );
    }
    load.finish();
    let moving_average = |points: &[(f64, f64)]| -> Vec<(f64, f64)> {
        let mean = |window: &[(f64, f64)]| {
            (
                window[window.len() - 1].0,
                window.iter().map(|point| point.1).sum::<f64>() / window.len() as f64,
            )
        };
        points.windows(10).map(mean).collect()
    };
    let series = [
        ("delivered in time".to_owned(), moving_average(&in_time_percent)),
        ("cap of the build on trial".to_owned(), cap_percent),
    ];
    plot::draw(plot_path, "A good build, then a bad one", "per cent", &series)?;
    let violations = world.checker.violation_report();
    let rules = if violations.is_empty() {
        "The five rules were kept.".to_owned()
    } else {
        format!("Broken: {violations}")
    };
    for line in stop_vote_lines {
        let reason = line.split(": ").skip(1).collect::<Vec<_>>().join(": ");
        let _ = writeln!(table, "\nThe marshal's reason: {reason}");
    }
    let _ = writeln!(table, "\n{rules} Plot: {}", plot_path.display());
    if violations.is_empty() { Ok(table) } else { Err(table) }
}
