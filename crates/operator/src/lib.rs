//! The operator's file, `deploy/operator.ini`: what operators set besides the platform's configuration. It is read as
//! a whole or not at all; every value has a default, and an unknown section or key is an error.

pub mod sheet;

pub use sheet::{InForce, Sheet};
use std::path::Path;
use stonescale::time::Span;
use stonescale_budget::Shares;
use stonescale_budget::plan::{PlanError, Share};

#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum Format {
    /// A line an event, for people: time, level, place, message, `key=value`.
    #[default]
    Text,
    /// A JSON object an event.
    Json,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Log {
    pub format: Format,
    /// Events a second; what goes past it is counted and told with the next one. Errors always pass.
    pub lines_per_second: u32,
}

#[derive(Clone, Debug, PartialEq)]
pub struct Memory {
    /// How often what is held by purpose is reported; zero for only when asked (SIGUSR1).
    pub report_every: Span,
    pub shares: Shares,
}

/// All that an operator sets.
#[derive(Clone, Debug, PartialEq)]
pub struct Operator {
    pub log: Log,
    pub memory: Memory,
}

impl Default for Operator {
    fn default() -> Self {
        Operator {
            // Some tens of lines tell what goes on; more of them only cost the core that hits need.
            log: Log { format: Format::Text, lines_per_second: 40 },
            memory: Memory { report_every: Span::millis(60_000), shares: Shares::default() },
        }
    }
}

impl Operator {
    /// Reads a file; without one all is as by default. Also says what is in force and where each value comes from.
    pub fn read(file: Option<&Path>) -> Result<(Self, Vec<InForce>), String> {
        match file {
            Some(file) => Self::of(Sheet::read(file)?),
            None => Self::of(Sheet::empty()),
        }
    }

    /// Takes what a sheet says.
    pub fn of(mut sheet: Sheet) -> Result<(Self, Vec<InForce>), String> {
        let Operator { log, memory } = Operator::default();
        let log = Log {
            format: sheet.take("log", "format", log.format, format, |f| {
                match f {
                    Format::Text => "text",
                    Format::Json => "json",
                }
                .into()
            })?,
            lines_per_second: sheet.take(
                "log",
                "lines_per_second",
                log.lines_per_second,
                lines,
                u32::to_string,
            )?,
        };
        let report_every =
            sheet.take("memory", "report_every", memory.report_every, sheet::span, |span| {
                sheet::shown(*span)
            })?;
        let mut shares = memory.shares;
        for name in Shares::names() {
            let section = format!("memory.{name}");
            let Some(share) = shares.get(name) else { continue };
            let part = |x: &f64| format!("{:.0}%", x * 100.0);
            let cap = sheet.take(&section, "cap", share.cap, sheet::part, part)?;
            let reserve = sheet.take(&section, "reserve", share.reserve, sheet::part, part)?;
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
            sheet.wrong(&name, None, &wrong.to_string())
        })?;
        let in_force = sheet.finish()?;
        Ok((Operator { log, memory: Memory { report_every, shares } }, in_force))
    }
}

fn format(text: &str) -> Result<Format, String> {
    match text {
        "text" => Ok(Format::Text),
        "json" => Ok(Format::Json),
        _ => Err("is neither 'text' nor 'json'".into()),
    }
}

fn lines(text: &str) -> Result<u32, String> {
    let lines = text.parse().ok().filter(|n| (1..=100_000).contains(n));
    lines.ok_or_else(|| "is not a number of lines from 1 to 100000".into())
}
