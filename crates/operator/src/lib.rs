//! The operator's settings file, `deploy/operator.ini`: settings that operators choose independently of the platform's
//! configuration. The file is accepted as a whole or rejected; every key has a default, and an unknown section or key
//! is an error.

pub mod ini_settings;

pub use ini_settings::{EffectiveSetting, IniSettings};
use std::path::Path;
use stonescale::time::Span;
use stonescale_budget::Shares;
use stonescale_budget::plan::{PlanError, Share};

/// Format of the log's lines.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// One line of text per event: time, level, module, message, `key=value`.
    #[default]
    Text,
    /// One JSON object per event.
    Json,
}

/// The section `[log]`.
#[derive(Clone, Debug, PartialEq)]
pub struct LogSettings {
    pub format: LogFormat,
    /// Maximum number of events logged per second. Events beyond it are counted, and the count is logged with the
    /// next event; errors are always logged.
    pub lines_per_second: u32,
}

/// The section `[memory]` and its subsections.
#[derive(Clone, Debug, PartialEq)]
pub struct MemorySettings {
    /// Interval of the report on memory use by purpose; zero to report only on request (SIGUSR1).
    pub report_every: Span,
    /// Cap and reserve of each purpose, as fractions of the memory that connections leave over.
    pub shares: Shares,
}

/// All settings of the operator's file.
#[derive(Clone, Debug, PartialEq)]
pub struct OperatorSettings {
    pub log: LogSettings,
    pub memory: MemorySettings,
}

impl Default for OperatorSettings {
    fn default() -> Self {
        OperatorSettings {
            // A few dozen lines a second are enough to follow events; more would take processor time from hits.
            log: LogSettings { format: LogFormat::Text, lines_per_second: 40 },
            memory: MemorySettings { report_every: Span::millis(60_000), shares: Shares::default() },
        }
    }
}

impl OperatorSettings {
    /// Reads the settings from a file, or the defaults if there is none. Also returns each value in effect with its
    /// origin. Errors name the file, line, section and key.
    pub fn read(file: Option<&Path>) -> Result<(Self, Vec<EffectiveSetting>), String> {
        match file {
            Some(file) => Self::from_ini(IniSettings::read(file)?),
            None => Self::from_ini(IniSettings::empty()),
        }
    }

    /// Converts and checks parsed INI settings; see [`OperatorSettings::read`].
    pub fn from_ini(mut ini: IniSettings) -> Result<(Self, Vec<EffectiveSetting>), String> {
        let OperatorSettings { log, memory } = OperatorSettings::default();
        let log = LogSettings {
            format: ini.take_value("log", "format", log.format, parse_log_format, |format| {
                match format {
                    LogFormat::Text => "text",
                    LogFormat::Json => "json",
                }
                .into()
            })?,
            lines_per_second: ini.take_value(
                "log",
                "lines_per_second",
                log.lines_per_second,
                parse_lines_per_second,
                u32::to_string,
            )?,
        };
        let report_every = ini.take_value(
            "memory",
            "report_every",
            memory.report_every,
            ini_settings::parse_duration,
            |span| ini_settings::format_duration(*span),
        )?;
        let mut shares = memory.shares;
        for name in Shares::names() {
            let section = format!("memory.{name}");
            let Some(share) = shares.get(name) else { continue };
            let percentage = |fraction: &f64| format!("{:.0}%", fraction * 100.0);
            let cap =
                ini.take_value(&section, "cap", share.cap, ini_settings::parse_percentage, percentage)?;
            let reserve = ini.take_value(
                &section,
                "reserve",
                share.reserve,
                ini_settings::parse_percentage,
                percentage,
            )?;
            shares.set(name, Share { cap, reserve });
        }
        shares.check().map_err(|error| {
            let section = match &error {
                PlanError::NotAFraction(name)
                | PlanError::ZeroCap(name)
                | PlanError::ReserveAboveCap(name, _) => {
                    format!("memory.{name}")
                }
                _ => "memory".into(),
            };
            ini.error_message(&section, None, &error.to_string())
        })?;
        let effective = ini.finish()?;
        Ok((OperatorSettings { log, memory: MemorySettings { report_every, shares } }, effective))
    }
}

fn parse_log_format(text: &str) -> Result<LogFormat, String> {
    match text {
        "text" => Ok(LogFormat::Text),
        "json" => Ok(LogFormat::Json),
        _ => Err("is not one of 'text' and 'json'".into()),
    }
}

fn parse_lines_per_second(text: &str) -> Result<u32, String> {
    let lines = text.parse().ok().filter(|n| (1..=100_000).contains(n));
    lines.ok_or_else(|| "is not an integer from 1 to 100000".into())
}
