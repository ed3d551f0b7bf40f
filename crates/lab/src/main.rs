//! The laboratory's command line.

use clap::{Args, Parser, Subcommand};
use indicatif::{ProgressBar, ProgressStyle};
use std::path::PathBuf;
use std::process::ExitCode;
use stonescale::time::Span;
use stonescale_lab::{cost, demo, list_calls, sizes, soak};

/// Exit code if a stated tolerance was missed.
const EXIT_TOLERANCE_MISSED: u8 = 3;

/// Runs experiments with a marshal on loopback, with stand-ins for everything else. Exits with 0 on success, 1 on a
/// failure, 2 on wrong usage, 3 where a stated tolerance was missed.
#[derive(Parser)]
#[command(name = "stonescale-lab", version, about, long_about, disable_help_subcommand = true)]
struct CommandLine {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Offer a good and a bad build to a small fleet and show what happens; takes under a minute, needs no file
    Demo {
        #[command(flatten)]
        marshal: MarshalArgs,
        /// File to which the plot is written
        #[arg(long, value_name = "FILE", default_value = "stonescale-demo.svg")]
        plot: PathBuf,
    },
    /// Compare what hits cost two builds of the marshal, in alternating rounds: processor time, connections to nodes, hits
    /// not served, broken rules
    Cost {
        #[command(flatten)]
        marshal: MarshalArgs,
        /// Program of the build to compare with
        #[arg(long, value_name = "FILE")]
        versus: PathBuf,
        /// Rounds of each build
        #[arg(long, default_value_t = 9)]
        rounds: usize,
        /// Hits per second
        #[arg(long, default_value_t = 3_000.0)]
        rate: f64,
        /// Seconds per round
        #[arg(long, default_value_t = 3)]
        seconds: u64,
        /// What the nodes do to the hits
        #[arg(long, value_enum, default_value_t)]
        trouble: cost::Trouble,
        /// Descriptors of each marshal
        #[arg(long, default_value_t = 1_024)]
        sockets: usize,
    },
    /// Measure the memory of connections and of a hit, and compare it with what the memory plan counts for them
    Sizes {
        #[command(flatten)]
        marshal: MarshalArgs,
    },
    /// Compare ways to call a discovery that was down, for many marshals in virtual time: calls, time until all have the
    /// list, forwards by an old list, hits refused; needs no marshal
    ListCalls {
        /// Numbers of marshals
        #[arg(long, value_delimiter = ',', default_value = "1,12,300,900")]
        marshals: Vec<usize>,
        /// Hits per second of each marshal
        #[arg(long, default_value_t = 40.0)]
        rate: f64,
        /// Grace for drains in milliseconds
        #[arg(long, default_value_t = 250)]
        grace_ms: u64,
        /// Seconds for which discovery is down
        #[arg(long, default_value_t = 8.0)]
        outage: f64,
        /// Calls that discovery can work on in a second
        #[arg(long, default_value_t = 5_000.0)]
        capacity: f64,
        /// Seconds after which discovery rejects a call that waits
        #[arg(long, default_value_t = 2.0)]
        max_wait: f64,
        #[arg(long, default_value_t = 1)]
        seed: u64,
    },
    /// Run a marshal through cycles of faults, and report whether its memory stays flat
    Soak {
        /// Scenario, an INI file such as deploy/soak-short.ini
        scenario: PathBuf,
        #[command(flatten)]
        marshal: MarshalArgs,
        /// Folder to which samples, plots and report are written
        #[arg(long, value_name = "FOLDER")]
        out: Option<PathBuf>,
    },
}

#[derive(Args)]
struct MarshalArgs {
    /// Program of the marshal; by default `stonescale` in the folder of this program
    #[arg(long, value_name = "FILE")]
    marshal: Option<PathBuf>,
}

impl MarshalArgs {
    /// The marshal's program; an error if there is no such file.
    fn program(&self) -> Result<PathBuf, String> {
        let own_path = std::env::current_exe().map_err(|e| e.to_string())?;
        let program = self.marshal.clone().unwrap_or_else(|| own_path.with_file_name("stonescale"));
        if program.is_file() {
            return Ok(program);
        }
        Err(format!("{}: no such program; build it, or name one with --marshal", program.display()))
    }
}

fn main() -> ExitCode {
    match run(CommandLine::parse().command) {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(EXIT_TOLERANCE_MISSED),
        Err(error) => {
            eprintln!("stonescale-lab: {error}");
            ExitCode::FAILURE
        }
    }
}

fn progress_bar() -> ProgressBar {
    let bar = ProgressBar::new(1_000);
    let style = ProgressStyle::with_template("{bar:30} {percent:>3} %  {wide_msg}");
    bar.set_style(style.unwrap_or_else(|_| ProgressStyle::default_bar()));
    bar
}

/// Runs a command; returns false if a stated tolerance was missed.
fn run(command: Command) -> Result<bool, String> {
    match command {
        Command::Demo { marshal, plot } => {
            let (program, bar) = (marshal.program()?, progress_bar());
            let table = demo::run(&program, &plot, |progress| {
                bar.set_position((progress.fraction_done * 1_000.0) as u64);
                bar.set_message(progress.message);
            })?;
            bar.finish_and_clear();
            println!("{table}");
            Ok(true)
        }
        Command::Cost { marshal, versus, rounds, rate, seconds, trouble, sockets } => {
            let measurement = cost::Measurement {
                rounds,
                hits_per_second: rate,
                round_duration: std::time::Duration::from_secs(seconds),
                trouble,
                sockets,
            };
            let costs = cost::run(&marshal.program()?, &versus, measurement)?;
            println!("{}", cost::table(["this", "versus"], &costs));
            Ok(true)
        }
        Command::Sizes { marshal } => {
            println!("{}", sizes::table(&sizes::run(&marshal.program()?)?));
            Ok(true)
        }
        Command::ListCalls { marshals, rate, grace_ms, outage, capacity, max_wait, seed } => {
            let is_positive = |value: f64| value.is_finite() && value > 0.0;
            if marshals.contains(&0) || ![rate, outage, capacity, max_wait].into_iter().all(is_positive) {
                return Err("marshals, rate, outage, capacity and max-wait have to be above zero".into());
            }
            let scenario = list_calls::Scenario {
                marshals: 0,
                hits_per_second: rate,
                grace: Span::millis(grace_ms),
                outage: Span::from_seconds(outage),
                calls_per_second: capacity,
                max_wait: Span::from_seconds(max_wait),
                seed,
            };
            println!("{}", list_calls::table(scenario, &marshals));
            Ok(true)
        }
        Command::Soak { scenario, marshal, out } => {
            let scenario = soak::Scenario::read(&scenario)?;
            let (program, bar) = (marshal.program()?, progress_bar());
            let report = soak::run(&scenario, &program, out.as_deref(), |elapsed, length, fault| {
                bar.set_position((elapsed.as_secs_f64() / length.as_secs_f64() * 1_000.0) as u64);
                bar.set_message(fault.name());
            })?;
            bar.finish_and_clear();
            println!("{}", report.table());
            Ok(report.missed_tolerances.is_empty())
        }
    }
}
