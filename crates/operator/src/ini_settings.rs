//! INI settings: sections of keys with values. Each key is read once, by the code that uses it; a key or section that
//! no code has read is an error at the end, so that a misspelt name is never ignored silently.

use ini::Ini;
use std::path::Path;
use std::time::Duration;
use stonescale::time::Span;

/// Largest settings file that is read; a usual one has a few dozen lines.
const MAX_FILE_BYTES: u64 = 1 << 20;

/// The value in effect for one key, with its origin, as shown to operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct EffectiveSetting {
    /// Name of the section without its brackets.
    pub section: String,
    pub key: String,
    /// In the file's notation, such as `60s` or `25%`.
    pub value: String,
    /// Line of the file that sets the value, counted from 1; `None` for a default.
    pub line: Option<usize>,
}

/// A parsed settings file and the record of which of its keys have been read.
pub struct IniSettings {
    /// The file's name in error messages; empty if there is no file.
    file_name: String,
    /// Section, key, value and line, in the order of the file.
    entries: Vec<(String, String, String, usize)>,
    /// Sections and their lines, including sections without keys.
    sections: Vec<(String, usize)>,
    /// For each of `entries`, whether it has been read.
    taken: Vec<bool>,
    effective: Vec<EffectiveSetting>,
}

impl IniSettings {
    /// Settings without any section, so that every key has its default.
    pub fn empty() -> Self {
        let (file_name, entries, sections, taken, effective) = Default::default();
        IniSettings { file_name, entries, sections, taken, effective }
    }

    /// Reads and parses a file. Errors name the file, and the line where it cannot be parsed.
    pub fn read(path: &Path) -> Result<Self, String> {
        let name = path.display().to_string();
        let size = std::fs::metadata(path).map_err(|e| format!("{name}: {e}"))?.len();
        if size > MAX_FILE_BYTES {
            return Err(format!(
                "{name}: file size of {size} bytes exceeds the limit of {MAX_FILE_BYTES} bytes"
            ));
        }
        let text = std::fs::read_to_string(path).map_err(|e| format!("{name}: {e}"))?;
        Self::parse(&name, &text)
    }

    /// Parses the text of a file; `name` stands for the file in error messages.
    pub fn parse(name: &str, text: &str) -> Result<Self, String> {
        let ini = Ini::load_from_str(text).map_err(|e| format!("{name}: line {}: {}", e.line + 1, e.msg))?;
        let mut settings = IniSettings { file_name: name.to_owned(), ..IniSettings::empty() };
        for (section, properties) in ini.iter() {
            let section = section.unwrap_or_default();
            if !section.is_empty() || !properties.is_empty() {
                settings.sections.push((section.to_owned(), find_section(text, section)));
            }
            for (key, value) in properties.iter() {
                let line = find_key(text, section, key);
                if settings.entries.iter().any(|entry| (entry.0.as_str(), entry.1.as_str()) == (section, key))
                {
                    return Err(settings.error_message(section, Some(key), "is a duplicate key"));
                }
                settings.entries.push((section.to_owned(), key.to_owned(), value.trim().to_owned(), line));
            }
        }
        settings.taken = vec![false; settings.entries.len()];
        Ok(settings)
    }

    /// Formats an error message with file, line, section and key as far as they are known, followed by `reason`.
    pub fn error_message(&self, section: &str, key: Option<&str>, reason: &str) -> String {
        let entry = self.entries.iter().find(|entry| entry.0 == section && Some(entry.1.as_str()) == key);
        let line = entry.map(|entry| entry.3).or(self.sections.iter().find(|s| s.0 == section).map(|s| s.1));
        let line = line.filter(|line| *line > 0).map_or(String::new(), |line| format!(" line {line}:"));
        let key = key.map_or(String::new(), |key| format!(" {key}"));
        let name = if self.file_name.is_empty() { String::new() } else { format!("{}:", self.file_name) };
        format!("{name}{line} [{section}]{key} {reason}").trim_start().to_owned()
    }

    /// Names of the file's sections, in the order of the file.
    pub fn sections(&self) -> impl Iterator<Item = &str> {
        self.sections.iter().map(|s| s.0.as_str())
    }

    /// Returns the value of a key, or `default` if the file does not set it, and marks the key as read. `parse`
    /// converts the text and gives the reason if it cannot; `format` turns the value back into text for operators.
    pub fn take_value<T>(
        &mut self, section: &str, key: &str, default: T, parse: impl Fn(&str) -> Result<T, String>,
        format: impl Fn(&T) -> String,
    ) -> Result<T, String> {
        let index = self.entries.iter().position(|entry| entry.0 == section && entry.1 == key);
        let (value, line) = match index {
            Some(index) => {
                self.taken[index] = true;
                let (_, _, text, line) = &self.entries[index];
                let value = parse(text).map_err(|reason| {
                    self.error_message(section, Some(key), &format!("= '{text}' {reason}"))
                })?;
                (value, Some(*line))
            }
            None => (default, None),
        };
        let setting =
            EffectiveSetting { section: section.into(), key: key.into(), value: format(&value), line };
        self.effective.push(setting);
        Ok(value)
    }

    /// Ends reading and returns all values in effect. A section or key that was not read is reported as unknown,
    /// together with the known ones.
    pub fn finish(self) -> Result<Vec<EffectiveSetting>, String> {
        let is_known = |section: &str| self.effective.iter().any(|setting| setting.section == section);
        if let Some((section, _)) = self.sections.iter().find(|(section, _)| !is_known(section)) {
            let names: Vec<_> = self.effective.iter().map(|setting| setting.section.as_str()).collect();
            let reason = format!("is an unknown section{}", known_names(&names));
            return Err(self.error_message(section, None, &reason));
        }
        if let Some(index) = self.taken.iter().position(|taken| !taken) {
            let (section, key, ..) = &self.entries[index];
            let keys: Vec<_> = self
                .effective
                .iter()
                .filter(|setting| setting.section == *section)
                .map(|setting| setting.key.as_str())
                .collect();
            return Err(self.error_message(
                section,
                Some(key),
                &format!("is an unknown key{}", known_names(&keys)),
            ));
        }
        Ok(self.effective)
    }
}

/// The end of a message that lists all known names; they are few enough to be listed in full.
fn known_names(known: &[&str]) -> String {
    let mut names: Vec<_> = known.to_vec();
    names.dedup();
    if names.is_empty() { String::new() } else { format!("; known: {}", names.join(", ")) }
}

/// The line of a section's first header, counted from 1; 0 if there is none.
fn find_section(text: &str, section: &str) -> usize {
    let is_header =
        |line: &str| line.trim().strip_prefix('[').and_then(|l| l.split(']').next()) == Some(section);
    text.lines().position(is_header).map_or(0, |index| index + 1)
}

/// The line that sets a key, counted from 1, or the last such line if several do; 0 if there is none.
fn find_key(text: &str, section: &str, key: &str) -> usize {
    let mut current_section = String::new();
    let mut found = 0;
    for (index, line) in text.lines().enumerate() {
        let line = line.trim();
        if let Some(header) = line.strip_prefix('[').and_then(|l| l.split(']').next()) {
            current_section = header.to_owned();
        } else if current_section == section && line.split(['=', ':']).next().map(str::trim) == Some(key) {
            found = index + 1;
        }
    }
    found
}

/// Parses a duration such as `60s` or `250ms` of at most 366 days; `0` and `never` are both zero.
pub fn parse_duration(text: &str) -> Result<Span, String> {
    if text == "0" || text == "never" {
        return Ok(Span::ZERO);
    }
    let duration = humantime::parse_duration(text)
        .map_err(|e| format!("is not a duration such as 60s or 250ms: {e}"))?;
    let max = Duration::from_secs(366 * 86_400);
    if duration > max {
        return Err("is longer than 366 days".into());
    }
    Ok(Span::nanos(duration.as_nanos() as u64))
}

/// Formats a duration in the notation that `parse_duration` reads.
pub fn format_duration(span: Span) -> String {
    humantime::format_duration(Duration::from_nanos(span.as_nanos())).to_string()
}

/// Parses a percentage such as `25%`, from 0% to 100%, into a fraction from 0 to 1.
pub fn parse_percentage(text: &str) -> Result<f64, String> {
    let number = text.strip_suffix('%').and_then(|t| t.trim().parse::<f64>().ok());
    let number = number.filter(|n| (0.0..=100.0).contains(n));
    number.map(|n| n / 100.0).ok_or_else(|| "is not a percentage such as 25%, from 0% to 100%".into())
}
