//! The command line of one stonescale marshal.

mod client;
mod clients;
mod clock;
mod command;
mod core;
mod discovery;
mod endings;
mod inbox;
mod logger;
mod nodes;
mod platform;
mod reactor;
mod serve;
mod startup;
mod turn;

use log::LevelFilter;
use pico_args::Arguments;
use std::path::PathBuf;
use std::process::ExitCode;

const USAGE: &str = "\
usage: stonescale <command> [options]

commands:
  serve     run one marshal in the foreground
  check     read and check the configuration, say what it holds, and end
  version   say the version

options of serve and check:
  --config FILE   the configuration; else the file that NODE_CONFIG names
  --log LEVEL     error, warn, info (the default), debug or trace

NODE_NAME, NODE_LISTEN and NODE_DISCOVERY are stronger than the file. On SIGHUP serve reads the file again: then
the addresses of discovery and the platform are as the file says, and all else waits for the next start.
";

fn main() -> ExitCode {
    let mut args = Arguments::from_env();
    if args.contains(["-h", "--help"]) {
        print!("{USAGE}");
        return ExitCode::SUCCESS;
    }
    match run(args) {
        Ok(()) => ExitCode::SUCCESS,
        Err(why) => {
            eprintln!("stonescale: {why}");
            ExitCode::FAILURE
        }
    }
}

fn run(mut args: Arguments) -> Result<(), String> {
    let usage = |why: String| format!("{why}\n{USAGE}");
    let command = args.subcommand().map_err(|e| usage(e.to_string()))?;
    let file: Option<PathBuf> = args.opt_value_from_str("--config").map_err(|e| usage(e.to_string()))?;
    let level: Option<LevelFilter> = args.opt_value_from_str("--log").map_err(|e| usage(e.to_string()))?;
    if let Some(other) = args.finish().first() {
        return Err(usage(format!("'{}' is not known here", other.to_string_lossy())));
    }
    match command.as_deref() {
        Some("serve") => {
            logger::start(level.unwrap_or(LevelFilter::Info));
            serve::serve(&startup::place(file)?)
        }
        Some("check") => {
            println!("{}", serve::check(&startup::read(&startup::place(file)?)?)?);
            Ok(())
        }
        Some("version") => {
            println!("stonescale {}", env!("CARGO_PKG_VERSION"));
            Ok(())
        }
        Some(other) => Err(usage(format!("'{other}' is not a command"))),
        None => Err(usage("no command".into())),
    }
}
