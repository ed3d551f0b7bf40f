//! A minute's look at what a marshal does: a fleet on loopback, a good build and a bad one offered in turn.

use crate::load::Plan;
use crate::node::Manner;
use crate::plot;
use crate::release::Course;
use crate::rollout::Rollout;
use crate::site::Limits;
use crate::world::{FIRST_BUILD, World};
use std::fmt::Write as _;
use std::path::Path;
use std::time::Duration;

/// What is shown while it runs.
pub struct Progress {
    /// Part of the whole that is over, 0 to 1.
    pub fraction_done: f64,
    pub message: String,
}

const NODES: usize = 8;
const RATE: f64 = 250.0;
const TICK: Duration = Duration::from_millis(100);
/// How long each build has: three stages, and some seconds of calm.
const EACH: Duration = Duration::from_secs(18);

/// Runs it; returns the closing table.
pub fn run(binary: &Path, out: &Path, mut show: impl FnMut(Progress)) -> Result<String, String> {
    // As long as such services take; with answers of 2 ms each new connection would look like drag.
    let usual = Manner { cores: 32, work: Duration::from_millis(40), ..Manner::default() };
    let mut world = World::start(binary, NODES, Limits::default(), &usual, &[])?;
    let load = world.start_load(Plan::mixed(RATE, 7));
    let stages = vec![0.1, 0.35, 1.0];
    let builds = [("good", 0.0, FIRST_BUILD + 1), ("bad", 0.35, FIRST_BUILD + 2)];
    let (mut table, mut served, mut share_new) = (String::new(), Vec::new(), Vec::new());
    let _ = writeln!(
        table,
        "| build | kind | what became of it | after | delivered in time | hits | bounced | errored |"
    );
    let _ = writeln!(table, "| --- | --- | --- | --- | --- | --- | --- | --- |");
    let mut said = Vec::new();
    let start = world.stage.clock.elapsed();
    let mut released = FIRST_BUILD;
    for (turn, (kind, fails, build)) in builds.into_iter().enumerate() {
        let course = Course {
            nodes: NODES,
            stages: stages.clone(),
            start: Duration::from_millis(800),
            stage: Duration::from_millis(3_500),
        };
        let begun = world.stage.clock.elapsed();
        let manner = Manner { fails, ..usual.clone() };
        let mut rollout = Rollout::new(build, released, course, begun, manner, usual.clone());
        let mut settled = None;
        load.count_anew();
        let mut sums = (0, 0, 0, 0);
        loop {
            let now = world.stage.clock.elapsed();
            if now - begun >= EACH {
                break;
            }
            rollout.poll(&mut world, now);
            if settled.is_none() && rollout.outcome().is_some() {
                settled = Some(now - begun);
            }
            std::thread::sleep(TICK);
            said.extend(world.program.log.try_iter().filter(|line| line.contains(" back, ")));
            let tallies = load.count_anew();
            let sum = |f: fn(&crate::load::Tally) -> u64| tallies.iter().map(f).sum::<u64>();
            let (asked, in_time) = (sum(|t| t.asked), sum(|t| t.in_time));
            sums =
                (sums.0 + asked, sums.1 + in_time, sums.2 + sum(|t| t.bounced), sums.3 + sum(|t| t.errored));
            let at = (now - start).as_secs_f64();
            served.push((at, in_time as f64 / (asked as f64).max(1.0) * 100.0));
            let news = world.platform.news();
            share_new.push((at, if news.phase == "testing" { news.cap * 100.0 } else { 0.0 }));
            let vote =
                world.platform.vote_on(build, Duration::from_secs(4)).map_or("none".into(), |v| v.verdict);
            let text = format!(
                "build {build} ({kind}): {}, stage {}, cap {:.0} %, vote {vote}, delivered {:.1} %",
                news.phase,
                rollout.stage(),
                news.cap * 100.0,
                sums.1 as f64 / (sums.0 as f64).max(1.0) * 100.0,
            );
            let part = (now - begun).as_secs_f64() / EACH.as_secs_f64();
            show(Progress {
                fraction_done: (turn as f64 + part.min(1.0)) / builds.len() as f64,
                message: text,
            });
        }
        let (became, after) = match (rollout.outcome(), settled) {
            (Some(true), Some(at)) => ("released", format!("{:.1} s", at.as_secs_f64())),
            (Some(false), Some(at)) => ("sent back", format!("{:.1} s", at.as_secs_f64())),
            _ => ("still on trial", "-".into()),
        };
        if rollout.outcome() == Some(true) {
            released = build;
        }
        let (asked, in_time, bounced, errored) = sums;
        let delivered = in_time as f64 / (asked as f64).max(1.0) * 100.0;
        let _ = writeln!(
            table,
            "| {build} | {kind} | {became} | {after} | {delivered:.1} % | {asked} | {bounced} | {errored} |"
        );
    }
    load.finish();
    let smooth = |points: &[(f64, f64)]| -> Vec<(f64, f64)> {
        let mean = |w: &[(f64, f64)]| (w[w.len() - 1].0, w.iter().map(|p| p.1).sum::<f64>() / w.len() as f64);
        points.windows(10).map(mean).collect()
    };
    let lines = [
        ("delivered in time".to_owned(), smooth(&served)),
        ("cap of the build on trial".to_owned(), share_new),
    ];
    plot::draw(out, "A good build, then a bad one", "per cent", &lines)?;
    let broken = world.books.verdict();
    let rules =
        if broken.is_empty() { "The five rules were kept.".to_owned() } else { format!("Broken: {broken}") };
    for line in said {
        let why = line.split(": ").skip(1).collect::<Vec<_>>().join(": ");
        let _ = writeln!(table, "\nThe marshal's reason: {why}");
    }
    let _ = writeln!(table, "\n{rules} Plot: {}", out.display());
    if broken.is_empty() { Ok(table) } else { Err(table) }
}
