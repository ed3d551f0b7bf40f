//! A sheet of INI settings: sections of keys. Every key is taken once, by whoever it is for; what nobody took is an
//! error at the end, so that no misspelt key is passed over.

use ini::Ini;
use std::path::Path;
use std::time::Duration;
use stonescale::time::Span;

/// Largest file that is read, in bytes: settings are some dozens of lines.
const MOST: u64 = 1 << 20;

/// One value as it is in force, for operators to look at.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EffectiveSetting {
    pub section: String,
    pub key: String,
    pub value: String,
    /// The line of the file that it stands in; none where it is the default.
    pub line: Option<usize>,
}

pub struct IniSettings {
    /// As it is named in messages.
    name: String,
    /// Section, key, value and line, in the file's order.
    rows: Vec<(String, String, String, usize)>,
    /// Sections with their lines, also empty ones.
    sections: Vec<(String, usize)>,
    taken: Vec<bool>,
    in_force: Vec<EffectiveSetting>,
}

impl IniSettings {
    /// One that says nothing.
    pub fn empty() -> Self {
        let (name, rows, sections, taken, in_force) = Default::default();
        IniSettings { name, rows, sections, taken, in_force }
    }

    pub fn read(path: &Path) -> Result<Self, String> {
        let name = path.display().to_string();
        let size = std::fs::metadata(path).map_err(|e| format!("{name}: {e}"))?.len();
        if size > MOST {
            return Err(format!(
                "{name}: {size} bytes, more than the {MOST} that a file of settings may have"
            ));
        }
        let text = std::fs::read_to_string(path).map_err(|e| format!("{name}: {e}"))?;
        Self::parse(&name, &text)
    }

    /// Takes the text of a file that is called `name`.
    pub fn parse(name: &str, text: &str) -> Result<Self, String> {
        let ini = Ini::load_from_str(text).map_err(|e| format!("{name}: line {}: {}", e.line + 1, e.msg))?;
        let mut sheet = IniSettings { name: name.to_owned(), ..IniSettings::empty() };
        for (section, rows) in ini.iter() {
            let section = section.unwrap_or_default();
            if !section.is_empty() || !rows.is_empty() {
                sheet.sections.push((section.to_owned(), find_section(text, section)));
            }
            for (key, value) in rows.iter() {
                let line = find_key(text, section, key);
                if sheet.rows.iter().any(|r| (r.0.as_str(), r.1.as_str()) == (section, key)) {
                    return Err(sheet.error_message(section, Some(key), "is set twice"));
                }
                sheet.rows.push((section.to_owned(), key.to_owned(), value.trim().to_owned(), line));
            }
        }
        sheet.taken = vec![false; sheet.rows.len()];
        Ok(sheet)
    }

    /// A message that names file, line, section and key.
    pub fn error_message(&self, section: &str, key: Option<&str>, why: &str) -> String {
        let row = self.rows.iter().find(|r| r.0 == section && Some(r.1.as_str()) == key);
        let line = row.map(|r| r.3).or(self.sections.iter().find(|s| s.0 == section).map(|s| s.1));
        let line = line.filter(|l| *l > 0).map_or(String::new(), |line| format!(" line {line}:"));
        let key = key.map_or(String::new(), |key| format!(" {key}"));
        let name = if self.name.is_empty() { String::new() } else { format!("{}:", self.name) };
        format!("{name}{line} [{section}]{key} {why}").trim_start().to_owned()
    }

    /// The sections that the file has, in its order.
    pub fn sections(&self) -> impl Iterator<Item = &str> {
        self.sections.iter().map(|s| s.0.as_str())
    }

    /// The value of a key, or `default`; an error says what `read` found wrong with it.
    pub fn take_value<T>(
        &mut self, section: &str, key: &str, default: T, read: impl Fn(&str) -> Result<T, String>,
        show: impl Fn(&T) -> String,
    ) -> Result<T, String> {
        let at = self.rows.iter().position(|r| r.0 == section && r.1 == key);
        let (value, line) = match at {
            Some(at) => {
                self.taken[at] = true;
                let (_, _, text, line) = &self.rows[at];
                let value = read(text)
                    .map_err(|why| self.error_message(section, Some(key), &format!("= '{text}' {why}")))?;
                (value, Some(*line))
            }
            None => (default, None),
        };
        let row = EffectiveSetting { section: section.into(), key: key.into(), value: show(&value), line };
        self.in_force.push(row);
        Ok(value)
    }

    /// All that was asked for is taken: what is left over is unknown.
    pub fn finish(self) -> Result<Vec<EffectiveSetting>, String> {
        let known = |section: &str| self.in_force.iter().any(|f| f.section == section);
        if let Some((section, _)) = self.sections.iter().find(|(section, _)| !known(section)) {
            let names: Vec<_> = self.in_force.iter().map(|f| f.section.as_str()).collect();
            let why = format!("is no section here{}", known_are(&names));
            return Err(self.error_message(section, None, &why));
        }
        if let Some(at) = self.taken.iter().position(|taken| !taken) {
            let (section, key, ..) = &self.rows[at];
            let keys: Vec<_> =
                self.in_force.iter().filter(|f| f.section == *section).map(|f| f.key.as_str()).collect();
            return Err(self.error_message(
                section,
                Some(key),
                &format!("is no key here{}", known_are(&keys)),
            ));
        }
        Ok(self.in_force)
    }
}

/// Names what could have been meant: all that is known, as it is little.
fn known_are(known: &[&str]) -> String {
    let mut names: Vec<_> = known.to_vec();
    names.dedup();
    if names.is_empty() { String::new() } else { format!("; known: {}", names.join(", ")) }
}

fn find_section(text: &str, section: &str) -> usize {
    let heads = |line: &str| line.trim().strip_prefix('[').and_then(|l| l.split(']').next()) == Some(section);
    text.lines().position(heads).map_or(0, |at| at + 1)
}

/// The line where a key is set (the last one, where that is twice).
fn find_key(text: &str, section: &str, key: &str) -> usize {
    let mut current = String::new();
    let mut found = 0;
    for (at, line) in text.lines().enumerate() {
        let line = line.trim();
        if let Some(head) = line.strip_prefix('[').and_then(|l| l.split(']').next()) {
            current = head.to_owned();
        } else if current == section && line.split(['=', ':']).next().map(str::trim) == Some(key) {
            found = at + 1;
        }
    }
    found
}

/// A span such as `60s` or `250ms`; zero stands for never.
pub fn parse_duration(text: &str) -> Result<Span, String> {
    if text == "0" || text == "never" {
        return Ok(Span::ZERO);
    }
    let told =
        humantime::parse_duration(text).map_err(|e| format!("is not a span such as 60s or 250ms: {e}"))?;
    let most = Duration::from_secs(366 * 86_400);
    if told > most {
        return Err("is longer than a year".into());
    }
    Ok(Span::nanos(told.as_nanos() as u64))
}

/// A span as it would be written.
pub fn format_duration(span: Span) -> String {
    humantime::format_duration(Duration::from_nanos(span.as_nanos())).to_string()
}

/// A part of a whole such as `25%`.
pub fn parse_percentage(text: &str) -> Result<f64, String> {
    let number = text.strip_suffix('%').and_then(|t| t.trim().parse::<f64>().ok());
    let number = number.filter(|n| (0.0..=100.0).contains(n));
    number.map(|n| n / 100.0).ok_or_else(|| "is not a part such as 25%, from 0% to 100%".into())
}
