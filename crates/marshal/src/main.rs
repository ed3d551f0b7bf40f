//! Command line of the marshal.

mod allocator;
mod client;
mod client_task;
mod clients;
mod clock;
mod command;
mod core;
mod discovery;
mod endings;
mod inbox;
mod logger;
mod memory;
mod metrics;
#[cfg(feature = "mutants")]
mod mutants;
mod node_connection;
mod node_list;
mod node_reply;
mod nodes;
mod platform;
mod reactor;
mod serve;
mod startup;
mod system;
#[cfg(debug_assertions)]
mod system_faults;
mod turn;

use clap::{Args, Parser, Subcommand};
use std::path::PathBuf;
use std::process::ExitCode;
use tracing::level_filters::LevelFilter;

/// A stonescale marshal: accepts hits, forwards them to nodes of the earlier build and, within a cap, of the build on
/// trial, and votes on whether the trial continues.
///
/// NODE_NAME, NODE_LISTEN and NODE_DISCOVERY take precedence over the configuration. On SIGHUP `serve` reloads both
/// files: the addresses of discovery and the platform and the operator's settings take effect at once, all else at the
/// next start. On SIGUSR1 it reports its memory by purpose.
#[derive(Parser)]
#[command(name = "stonescale", version, about, long_about, disable_help_subcommand = true)]
struct CommandLine {
    #[command(subcommand)]
    command: Command,
}

#[derive(Subcommand)]
enum Command {
    /// Run a marshal in the foreground until SIGTERM or SIGINT
    Serve(Files),
    /// Check both files and print the settings in force with their origin
    Check(Files),
    /// Print the version
    Version,
}

#[derive(Args)]
pub struct Files {
    /// The platform's configuration, a JSON file; by default the one that NODE_CONFIG names
    #[arg(long, value_name = "FILE")]
    config: Option<PathBuf>,
    /// The operator's settings, an INI file (deploy/operator.ini shows the defaults)
    #[arg(long, value_name = "FILE")]
    operator: Option<PathBuf>,
    /// Log level: error, warn, info, debug or trace
    #[arg(long, value_name = "LEVEL", default_value = "info")]
    log: LevelFilter,
}

fn main() -> ExitCode {
    // On invalid usage clap exits with code 2.
    let command_line = CommandLine::parse();
    match run(command_line.command) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("stonescale: {error}");
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
            let (summary, effective_settings) = serve::check(&files)?;
            println!("{summary}");
            for row in effective_settings {
                let origin = row.line.map_or("default".into(), |line| format!("line {line}"));
                println!("[{}] {} = {} ({origin})", row.section, row.key, row.value);
            }
            Ok(())
        }
        Command::Version => {
            println!("stonescale {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
    }
}
