//! The command line of one stonescale marshal.

mod allocator;
mod client;
mod clients;
mod clock;
mod command;
mod core;
mod discovery;
mod endings;
mod inbox;
mod logger;
mod memory;
#[cfg(feature = "mutants")]
mod mutants;
mod nodes;
mod platform;
mod reactor;
mod serve;
mod startup;
mod turn;

use clap::{Args, Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;
use tracing::level_filters::LevelFilter;

/// One stonescale marshal: takes hits, forwards them to nodes of the earlier build and, within a cap, of the build on
/// trial, and votes on whether that goes on.
///
/// NODE_NAME, NODE_LISTEN and NODE_DISCOVERY are stronger than the configuration. On SIGHUP `serve` reads both files
/// again: the addresses of discovery and the platform move, the operator's settings change, and all else waits for the
/// next start. On SIGUSR1 it reports what its memory is held for.
#[derive(Parser)]
#[command(name = "stonescale", version, about, long_about, disable_help_subcommand = true)]
struct Line {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run one marshal in the foreground, until SIGTERM or SIGINT
    Serve(Files),
    /// Read and check both files, say what is in force and where it comes from, and end
    Check(Files),
    /// Say the version
    Version,
}

#[derive(Args)]
pub struct Files {
    /// The platform's configuration, a JSON file; else the one that NODE_CONFIG names
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    /// The operator's settings, an INI file (deploy/operator.ini shows the defaults)
    #[arg(long, value_name = "FILE")]
    operator: Option<PathBuf>,
    /// error, warn, info, debug or trace
    #[arg(long, value_name = "LEVEL", default_value = "info")]
    log: LevelFilter,
}

fn main() -> ExitCode {
    // Usage that can't be read ends with 2, by clap.
    let line = Line::parse();
    match run(line.command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("stonescale: {why}");
            ExitCode::FAILURE
        }
    }
}

fn run(command: Command) -> Result<(), String> {
    match command {
        Command::Serve(files) => {
            allocator::apply_settings();
            serve::serve(files)
        }
        Command::Check(files) => {
            let (said, in_force) = serve::check(&files)?;
            println!("{said}");
            for row in in_force {
                let from = row.line.map_or("default".into(), |line| format!("line {line}"));
                println!("[{}] {} = {} ({from})", row.section, row.key, row.value);
            }
            Ok(())
        }
        Command::Version => {
            println!("stonescale {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    }
}
