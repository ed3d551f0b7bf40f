//! The program's logger: a line an event to standard error, at most so many a second.

use log::{Level, LevelFilter, Log, Metadata, Record};
use std::io::Write;
use std::sync::Mutex;
use std::time::{Instant, SystemTime, UNIX_EPOCH};

/// Lines a second; what goes past it is counted and told with the next one.
const LINES: u32 = 40;

struct Logger {
    level: LevelFilter,
    /// Start of the present second, lines in it, lines left out so far.
    second: Mutex<(Instant, u32, u32)>,
}

impl Log for Logger {
    fn enabled(&self, metadata: &Metadata) -> bool {
        metadata.level() <= self.level
    }

    fn log(&self, record: &Record) {
        if !self.enabled(record.metadata()) {
            return;
        }
        let Ok(mut second) = self.second.lock() else { return };
        if second.0.elapsed().as_secs() >= 1 {
            (second.0, second.1) = (Instant::now(), 0);
        }
        second.1 += 1;
        if second.1 > LINES && record.level() != Level::Error {
            second.2 += 1;
            return;
        }
        let left_out = std::mem::take(&mut second.2);
        let left_out = if left_out > 0 { format!(" ({left_out} lines left out)") } else { String::new() };
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let (target, args) = (record.target().rsplit("::").next().unwrap_or_default(), record.args());
        let level = record.level().as_str().to_ascii_lowercase();
        let line =
            format!("{}.{:03} {level} {target}: {args}{left_out}\n", unix.as_secs(), unix.subsec_millis());
        // Nobody is left to tell where standard error is gone.
        let _ = std::io::stderr().write_all(line.as_bytes());
    }

    fn flush(&self) {}
}

pub fn start(level: LevelFilter) {
    let logger = Logger { level, second: Mutex::new((Instant::now(), 0, 0)) };
    if log::set_boxed_logger(Box::new(logger)).is_ok() {
        log::set_max_level(level);
    }
}
