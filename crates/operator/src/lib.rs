//! The operator's file, `deploy/operator.ini`: what operators set besides the platform's configuration. It is read as
//! a whole or not at all; every value has a default, and an unknown section or key is an error.

pub mod ini_settings;

pub use ini_settings::{EffectiveSetting, IniSettings};
use std::path::Path;
use stonescale::time::Span;
use stonescale_budget::Shares;
use stonescale_budget::plan::{PlanError, Share};

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LogFormat {
    /// A line an event, for people: time, level, place, message, `key=value`.
    #[default]
    Text,
    /// A JSON object an event.
    Json,
}

#[derive(Clone, Debug, PartialEq)]
pub struct LogSettings {
    pub format: LogFormat,
    /// Events a second; what goes past it is counted and told with the next one. Errors always pass.
    pub lines_per_second: u32,
}

#[derive(Clone, Debug, PartialEq)]
pub struct MemorySettings {
    /// How often what is held by purpose is reported; zero for only when asked (SIGUSR1).
    pub report_every: Span,
    pub shares: Shares,
}

/// All that an operator sets.
#[derive(Clone, Debug, PartialEq)]
pub struct OperatorSettings {
    pub log: LogSettings,
    pub memory: MemorySettings,
}

impl Default for OperatorSettings {
    fn default() -> Self {
        OperatorSettings {
            // Some tens of lines tell what goes on; more of them only cost the core that hits need.
            log: LogSettings { format: LogFormat::Text, lines_per_second: 40 },
            memory: MemorySettings { report_every: Span::millis(60_000), shares: Shares::default() },
        }
    }
}

impl OperatorSettings {
    /// Reads a file; without one all is as by default. Also says what is in force and where each value comes from.
    pub fn read(file: Option<&Path>) -> Result<(Self, Vec<EffectiveSetting>), String> {
        match file {
            Some(file) => Self::from_ini(IniSettings::read(file)?),
            None => Self::from_ini(IniSettings::empty()),
        }
    }

    /// Takes what a sheet says.
    pub fn from_ini(mut sheet: IniSettings) -> Result<(Self, Vec<EffectiveSetting>), String> {
        let OperatorSettings { log, memory } = OperatorSettings::default();
        let log = LogSettings {
            format: sheet.take_value("log", "format", log.format, format, |f| {
                match f {
                    LogFormat::Text => "text",
                    LogFormat::Json => "json",
                }
                .into()
            })?,
            lines_per_second: sheet.take_value(
                "log",
                "lines_per_second",
                log.lines_per_second,
                lines,
                u32::to_string,
            )?,
        };
        let report_every = sheet.take_value(
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
            let part = |x: &f64| format!("{:.0}%", x * 100.0);
            let cap = sheet.take_value(&section, "cap", share.cap, ini_settings::parse_percentage, part)?;
            let reserve =
                sheet.take_value(&section, "reserve", share.reserve, ini_settings::parse_percentage, part)?;
            shares.set(name, Share { cap, reserve });
        }
        shares.check().map_err(|wrong| {
            let name = match &wrong {
                PlanError::NotAFraction(name)
                | PlanError::ZeroCap(name)
                | PlanError::ReserveAboveCap(name, _) => {
                    format!("memory.{name}")
                }
                _ => "memory".into(),
            };
            sheet.error_message(&name, None, &wrong.to_string())
        })?;
        let in_force = sheet.finish()?;
        Ok((OperatorSettings { log, memory: MemorySettings { report_every, shares } }, in_force))
    }
}

fn format(text: &str) -> Result<LogFormat, String> {
    match text {
        "text" => Ok(LogFormat::Text),
        "json" => Ok(LogFormat::Json),
        _ => Err("is neither 'text' nor 'json'".into()),
    }
}

fn lines(text: &str) -> Result<u32, String> {
    let lines = text.parse().ok().filter(|n| (1..=100_000).contains(n));
    lines.ok_or_else(|| "is not a number of lines from 1 to 100000".into())
}
