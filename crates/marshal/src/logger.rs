//! The program's log: an event a line to standard error, as text or JSON, at most so many a second. Lines are written
//! by a thread of their own, and left out where nobody takes them: hits never wait for the log.

use std::fmt;
use std::io::{self, Write};
use std::sync::atomic::{AtomicU32, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Instant, SystemTime, UNIX_EPOCH};
use stonescale_operator::Format;
use tracing::level_filters::LevelFilter;
use tracing::{Event, Level, Metadata, Subscriber};
use tracing_appender::non_blocking::{NonBlocking, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::time::FormatTime;
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields, MakeWriter};
use tracing_subscriber::registry::LookupSpan;

/// Bytes of a line at most; what is longer is cut.
const LINE: usize = 2 * 1024;
/// Lines that may wait to be written, where the log's memory allows: a second of the default's lines and more.
const WAITING: usize = 128;

/// Kept until the program ends: dropped, it writes what waits.
pub struct Log {
    _guard: WorkerGuard,
    lines: Arc<AtomicU32>,
}

impl Log {
    /// So many lines a second from now on.
    pub fn lines(&self, lines: u32) {
        self.lines.store(lines, Ordering::Relaxed);
    }
}

/// Starts the log; `memory` bytes at most wait to be written.
pub fn start(level: LevelFilter, format: Format, lines: u32, memory: usize) -> Log {
    let waiting = (memory / LINE).clamp(8, WAITING);
    let (out, guard) =
        NonBlockingBuilder::default().buffered_lines_limit(waiting).lossy(true).finish(io::stderr());
    let lines = Arc::new(AtomicU32::new(lines));
    let second = Arc::new(Mutex::new(Second { start: Instant::now(), lines: 0, left_out: 0 }));
    let bounded = Bounded { out, lines: lines.clone(), second, json: format == Format::Json };
    let builder = tracing_subscriber::fmt().with_max_level(level).with_writer(bounded);
    // Only a second start in one process could fail, and there is none.
    let _ = match format {
        Format::Text => builder.with_ansi(false).event_format(Plain).try_init(),
        Format::Json => {
            builder.json().flatten_event(true).with_timer(Unix).with_current_span(false).try_init()
        }
    };
    Log { _guard: guard, lines }
}

struct Unix;

impl FormatTime for Unix {
    fn format_time(&self, w: &mut Writer<'_>) -> fmt::Result {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        write!(w, "{}.{:03}", unix.as_secs(), unix.subsec_millis())
    }
}

/// Time, level, place, message and fields on one line.
struct Plain;

impl<S: Subscriber + for<'a> LookupSpan<'a>, N: for<'a> FormatFields<'a> + 'static> FormatEvent<S, N>
    for Plain
{
    fn format_event(&self, ctx: &FmtContext<'_, S, N>, mut w: Writer<'_>, event: &Event<'_>) -> fmt::Result {
        Unix.format_time(&mut w)?;
        let place = event.metadata().target().rsplit("::").next().unwrap_or_default();
        let level = event.metadata().level().as_str().to_ascii_lowercase();
        write!(w, " {level} {place}: ")?;
        ctx.field_format().format_fields(w.by_ref(), event)?;
        writeln!(w)
    }
}

/// The present second, lines in it, and lines left out so far.
struct Second {
    start: Instant,
    lines: u32,
    left_out: u32,
}

/// Lets so many lines a second pass; what goes past it is counted and told with the next one.
struct Bounded {
    out: NonBlocking,
    lines: Arc<AtomicU32>,
    second: Arc<Mutex<Second>>,
    json: bool,
}

struct Pass<'a> {
    bounded: &'a Bounded,
    always: bool,
}

impl<'a> MakeWriter<'a> for Bounded {
    type Writer = Pass<'a>;

    fn make_writer(&'a self) -> Pass<'a> {
        Pass { bounded: self, always: false }
    }

    fn make_writer_for(&'a self, meta: &Metadata<'_>) -> Pass<'a> {
        Pass { bounded: self, always: *meta.level() == Level::ERROR }
    }
}

impl Write for Pass<'_> {
    /// A whole line comes in one call.
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let left_out = {
            let mut second = self.bounded.second.lock().unwrap_or_else(PoisonError::into_inner);
            if second.start.elapsed().as_secs() >= 1 {
                (second.start, second.lines) = (Instant::now(), 0);
            }
            second.lines += 1;
            if second.lines > self.bounded.lines.load(Ordering::Relaxed) && !self.always {
                second.left_out += 1;
                return Ok(line.len());
            }
            std::mem::take(&mut second.left_out)
        };
        let mut out = self.bounded.out.clone();
        let text = line.strip_suffix(b"\n").unwrap_or(line);
        // A cut JSON line would be none.
        let text = if text.len() > LINE && !self.bounded.json { &text[..LINE] } else { text };
        let mut whole = text.to_vec();
        if left_out > 0 && self.bounded.json {
            whole.pop();
            whole.extend_from_slice(format!(",\"left_out\":{left_out}}}").as_bytes());
        } else if left_out > 0 {
            whole.extend_from_slice(format!(" ({left_out} lines left out)").as_bytes());
        }
        whole.push(b'\n');
        out.write_all(&whole)?;
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}
