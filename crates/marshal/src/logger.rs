//! The program's log: an event a line to standard error, as text or JSON, at most so many a second. Lines are written
//! by a thread of their own, and left out where nobody takes them: hits never wait for the log.

use std::fmt;
use std::io::{self, Write};
use std::sync::atomic::{AtomicU32, AtomicUsize, Ordering};
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
/// Bytes that wait at most, whatever the log's memory: some thousand lines; nobody misses older ones.
const MOST: usize = 256 * 1024;
/// What a line occupies besides its text while it waits to be written.
const ENTRY: usize = 64;

/// Kept until the program ends: dropped, it writes what waits.
pub struct LogHandle {
    _guard: WorkerGuard,
    lines: Arc<AtomicU32>,
    waiting: Arc<AtomicUsize>,
}

impl LogHandle {
    /// So many lines a second from now on.
    pub fn set_lines_per_second(&self, lines: u32) {
        self.lines.store(lines, Ordering::Relaxed);
    }

    /// Bytes that wait to be written.
    pub fn queued_bytes(&self) -> usize {
        self.waiting.load(Ordering::Relaxed)
    }
}

/// Where lines end up, with what is written counted as waiting no more.
struct Counted<W> {
    out: W,
    waiting: Arc<AtomicUsize>,
}

impl<W: Write> Write for Counted<W> {
    /// A line that was put up for writing comes in one call.
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let done = self.out.write_all(line);
        self.waiting.fetch_sub(line.len() + ENTRY, Ordering::Relaxed);
        done.map(|()| line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        self.out.flush()
    }
}

/// Starts the log; `memory` bytes at most wait to be written.
pub fn start(level: LevelFilter, format: Format, lines: u32, memory: usize) -> LogHandle {
    let (bounded, log) = bounded(io::stderr(), format, lines, memory);
    let builder = tracing_subscriber::fmt().with_max_level(level).with_writer(bounded);
    // Only a second start in one process could fail, and there is none.
    let _ = match format {
        Format::Text => builder.with_ansi(false).event_format(Plain).try_init(),
        Format::Json => {
            builder.json().flatten_event(true).with_timer(Unix).with_current_span(false).try_init()
        }
    };
    log
}

fn bounded(
    out: impl Write + Send + 'static, format: Format, lines: u32, memory: usize,
) -> (Bounded, LogHandle) {
    let (memory, waiting) = (memory.min(MOST), Arc::new(AtomicUsize::new(0)));
    let counted = Counted { out, waiting: waiting.clone() };
    // The bytes are the bound: so many lines never come to wait, and none is lost uncounted.
    let most = memory / ENTRY + 1;
    let (out, guard) = NonBlockingBuilder::default().buffered_lines_limit(most).lossy(true).finish(counted);
    let lines = Arc::new(AtomicU32::new(lines));
    let second = Arc::new(Mutex::new(Second { start: Instant::now(), lines: 0, left_out: 0 }));
    let json = format == Format::Json;
    let bounded = Bounded { out, lines: lines.clone(), second, json, memory, waiting: waiting.clone() };
    (bounded, LogHandle { _guard: guard, lines, waiting })
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

/// Lets so many lines a second pass, as long as there is room for them; what goes past it is counted and told with the
/// next one.
struct Bounded {
    out: NonBlocking,
    lines: Arc<AtomicU32>,
    second: Arc<Mutex<Second>>,
    json: bool,
    /// Bytes that may wait, and that do.
    memory: usize,
    waiting: Arc<AtomicUsize>,
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
            let many = second.lines > self.bounded.lines.load(Ordering::Relaxed) && !self.always;
            // The longest that this line can come to, with how many were left out before it.
            let full = self.bounded.waiting.load(Ordering::Relaxed) + LINE.max(line.len()) + 2 * ENTRY
                > self.bounded.memory;
            if many || full {
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
        self.bounded.waiting.fetch_add(whole.len() + ENTRY, Ordering::Relaxed);
        out.write_all(&whole)?;
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use std::sync::mpsc::{Receiver, Sender, channel};

    /// A place where lines are written one by one, each when it is let through.
    struct Gate(Receiver<()>, Sender<String>);

    impl Write for Gate {
        fn write(&mut self, line: &[u8]) -> io::Result<usize> {
            let _ = self.0.recv();
            let _ = self.1.send(String::from_utf8_lossy(line).into_owned());
            Ok(line.len())
        }

        fn flush(&mut self) -> io::Result<()> {
            Ok(())
        }
    }

    #[test]
    fn lines_that_nobody_takes_stay_within_the_logs_memory_and_are_counted() {
        const MEMORY: usize = 16 * 1024;
        let ((let_through, gate), (write, written)) = (channel(), channel());
        let (bounded, log) = bounded(Gate(gate, write), Format::Text, u32::MAX, MEMORY);
        let line = "x".repeat(99) + "\n";
        for _ in 0..1_000 {
            bounded.make_writer().write_all(line.as_bytes()).unwrap();
            assert!(log.queued_bytes() <= MEMORY, "{}", log.queued_bytes());
        }
        let whole = log.queued_bytes() / (line.len() + ENTRY);
        drop(let_through);
        (0..whole).for_each(|_| assert_eq!(written.recv().unwrap(), line));
        // The thread counts a line as written right after it wrote it.
        while log.queued_bytes() > 0 {
            std::thread::yield_now();
        }
        bounded.make_writer().write_all(line.as_bytes()).unwrap();
        assert!(written.recv().unwrap().contains(&format!("({} lines left out)", 1_000 - whole)));
    }
}
