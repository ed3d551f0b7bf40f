//! The laboratory's command line.

use clap::{Args, Parser, Subcommand};
use indicatif::{ProgressBar, ProgressStyle};
use std::path::PathBuf;
use std::process::ExitCode;
use stonescale_lab::{cost, demo, sizes, soak};

/// A stated tolerance was missed.
const MISSED: u8 = 3;

/// Tries a marshal on loopback, with stand-ins for everything else. Ends with 0 where all is good, 1 where something
/// failed, 2 on wrong usage, 3 where a stated tolerance was missed.
#[derive(Parser)]
#[command(name = "stonescale-lab", version, about, long_about, disable_help_subcommand = true)]
struct Line {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// See a good and a bad build offered to a small fleet; under a minute, needs no file
    Demo {
        #[command(flatten)]
        marshal: Marshal,
        /// Where the plot goes
        #[arg(long, value_name = "FILE", default_value = "stonescale-demo.svg")]
        plot: PathBuf,
    },
    /// Time two builds of the marshal against each other, in turns within one run
    Cost {
        #[command(flatten)]
        marshal: Marshal,
        /// The build to compare with
        #[arg(long, value_name = "FILE")]
        versus: PathBuf,
        /// Rounds of each
        #[arg(long, default_value_t = 9)]
        rounds: usize,
        /// Hits a second
        #[arg(long, default_value_t = 3_000.0)]
        rate: f64,
        /// Seconds a round
        #[arg(long, default_value_t = 3)]
        seconds: u64,
    },
    /// Measure what connections and a hit occupy, against what the plan of memory counts for them
    Sizes {
        #[command(flatten)]
        marshal: Marshal,
    },
    /// Run a marshal among troubles for long, and say whether its memory stays flat
    Soak {
        /// The scenario, an INI file (deploy/soak-short.ini shows one)
        scenario: PathBuf,
        #[command(flatten)]
        marshal: Marshal,
        /// The folder for samples, plots and table
        #[arg(long, value_name = "FOLDER")]
        out: Option<PathBuf>,
    },
}

#[derive(Args)]
struct Marshal {
    /// The program of the marshal; else `stonescale` beside this one
    #[arg(long, value_name = "FILE")]
    marshal: Option<PathBuf>,
}

impl Marshal {
    fn program(&self) -> Result<PathBuf, String> {
        let here = std::env::current_exe().map_err(|e| e.to_string())?;
        let program = self.marshal.clone().unwrap_or_else(|| here.with_file_name("stonescale"));
        if program.is_file() {
            return Ok(program);
        }
        Err(format!("{}: no such program; build it, or name one by --marshal", program.display()))
    }
}

fn main() -> ExitCode {
    match run(Line::parse().command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(MISSED),
        Err(why) => {
            eprintln!("stonescale-lab: {why}");
            ExitCode::FAILURE
        }
    }
}

fn bar() -> ProgressBar {
    let bar = ProgressBar::new(1_000);
    let style = ProgressStyle::with_template("{bar:30} {percent:>3} %  {wide_msg}");
    bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
    bar
}

/// Runs a command; false where a stated tolerance was missed.
fn run(command: Command) -> Result<bool, String> {
    match command {
        Command::Demo { marshal, plot } => {
            let (program, bar) = (marshal.program()?, bar());
            let table = demo::run(&program, &plot, |seen| {
                bar.set_position((seen.fraction_done * 1_000.0) as u64);
                bar.set_message(seen.message);
            })?;
            bar.finish_and_clear();
            println!("{table}");
            Ok(true)
        }
        Command::Cost { marshal, versus, rounds, rate, seconds } => {
            let course = cost::Measurement {
                rounds,
                hits_per_second: rate,
                round_duration: std::time::Duration::from_secs(seconds),
            };
            let sides = cost::run(&marshal.program()?, &versus, course)?;
            println!("{}", cost::table(["this", "versus"], &sides));
            Ok(true)
        }
        Command::Sizes { marshal } => {
            println!("{}", sizes::table(&sizes::run(&marshal.program()?)?));
            Ok(true)
        }
        Command::Soak { scenario, marshal, out } => {
            let scenario = soak::Scenario::read(&scenario)?;
            let (program, bar) = (marshal.program()?, bar());
            let report = soak::run(&scenario, &program, out.as_deref(), |at, length, trouble| {
                bar.set_position((at.as_secs_f64() / length.as_secs_f64() * 1_000.0) as u64);
                bar.set_message(trouble.name());
            })?;
            bar.finish_and_clear();
            println!("{}", report.table());
            Ok(report.missed_tolerances.is_empty())
        }
    }
}
