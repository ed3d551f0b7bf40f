//! The program's log: one line per event on standard error, as text or JSON, with a rate limit. A separate thread
//! writes the lines, and lines for which the queue has no room are left out: hits never wait for the log.

use std::cell::RefCell;
use std::fmt;
use std::io::{self, Write};
use std::sync::atomic::{AtomicU32, AtomicUsize, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Instant, SystemTime, UNIX_EPOCH};
use stonescale_operator::LogFormat;
use tracing::level_filters::LevelFilter;
use tracing::{Event, Level, Metadata, Subscriber};
use tracing_appender::non_blocking::{NonBlocking, NonBlockingBuilder, WorkerGuard};
use tracing_subscriber::fmt::format::Writer;
use tracing_subscriber::fmt::time::FormatTime;
use tracing_subscriber::fmt::{FmtContext, FormatEvent, FormatFields, MakeWriter};
use tracing_subscriber::registry::LookupSpan;

/// Longest line; longer ones are truncated.
const MAX_LINE_BYTES: usize = 2 * 1024;
/// Maximum number of bytes that may be queued, however large the log's memory is: some thousand lines, as older ones
/// are of no use.
const MAX_QUEUED_BYTES: usize = 256 * 1024;
/// Memory that a queued line occupies besides its text.
const LINE_OVERHEAD_BYTES: usize = 64;

/// Keeps the log running; dropping it writes the queued lines.
pub struct LogHandle {
    /// Writes the queued lines when it is dropped.
    guard: RefCell<Option<WorkerGuard>>,
    lines_per_second: Arc<AtomicU32>,
    queued_bytes: Arc<AtomicUsize>,
}

impl LogHandle {
    /// Writes the queued lines and ends the log. Tasks may hold the handle up to the end of the process, so that dropping it is
    /// not enough.
    pub fn finish(&self) {
        self.guard.take();
    }

    /// Changes the rate limit.
    pub fn set_lines_per_second(&self, lines_per_second: u32) {
        self.lines_per_second.store(lines_per_second, Ordering::Relaxed);
    }

    /// Bytes queued for the writer thread, with the overhead of each line.
    pub fn queued_bytes(&self) -> usize {
        self.queued_bytes.load(Ordering::Relaxed)
    }
}

/// Writes the lines and subtracts their size from the queued bytes.
struct CountingWriter<W> {
    inner: W,
    queued_bytes: Arc<AtomicUsize>,
}

impl<W: Write> Write for CountingWriter<W> {
    /// Each queued line is passed in one call.
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let result = self.inner.write_all(line);
        self.queued_bytes.fetch_sub(line.len() + LINE_OVERHEAD_BYTES, Ordering::Relaxed);
        result.map(|()| line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        self.inner.flush()
    }
}

/// Starts the log with at most `lines_per_second`; lines of at most `memory_bytes` in all are queued.
pub fn start(level: LevelFilter, format: LogFormat, lines_per_second: u32, memory_bytes: usize) -> LogHandle {
    let (writer, log) = limited_writer(io::stderr(), format, lines_per_second, memory_bytes);
    let builder = tracing_subscriber::fmt().with_max_level(level).with_writer(writer);
    // Fails only if a global subscriber is set already; the log is started once per process.
    let _ = match format {
        LogFormat::Text => builder.with_ansi(false).event_format(TextFormat).try_init(),
        LogFormat::Json => {
            builder.json().flatten_event(true).with_timer(UnixTime).with_current_span(false).try_init()
        }
    };
    log
}

fn limited_writer(
    out: impl Write + Send + 'static, format: LogFormat, lines_per_second: u32, memory_bytes: usize,
) -> (LimitedWriter, LogHandle) {
    let (max_queued_bytes, queued_bytes) =
        (memory_bytes.min(MAX_QUEUED_BYTES), Arc::new(AtomicUsize::new(0)));
    let writer = CountingWriter { inner: out, queued_bytes: queued_bytes.clone() };
    // The bytes are the effective limit: the queue never reaches this many lines, so that none is dropped uncounted.
    let max_lines = max_queued_bytes / LINE_OVERHEAD_BYTES + 1;
    let (queue, guard) =
        NonBlockingBuilder::default().buffered_lines_limit(max_lines).lossy(true).finish(writer);
    let lines_per_second = Arc::new(AtomicU32::new(lines_per_second));
    let window = Arc::new(Mutex::new(RateWindow { start: Instant::now(), lines: 0, left_out: 0 }));
    let json = format == LogFormat::Json;
    let writer = LimitedWriter {
        queue,
        lines_per_second: lines_per_second.clone(),
        window,
        json,
        max_queued_bytes,
        queued_bytes: queued_bytes.clone(),
    };
    (writer, LogHandle { guard: RefCell::new(Some(guard)), lines_per_second, queued_bytes })
}

/// Formats the time as Unix seconds with milliseconds.
struct UnixTime;

impl FormatTime for UnixTime {
    fn format_time(&self, w: &mut Writer<'_>) -> fmt::Result {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        write!(w, "{}.{:03}", unix.as_secs(), unix.subsec_millis())
    }
}

/// Formats an event as one line: Unix time, level, module, message and fields.
struct TextFormat;

impl<S: Subscriber + for<'a> LookupSpan<'a>, N: for<'a> FormatFields<'a> + 'static> FormatEvent<S, N>
    for TextFormat
{
    fn format_event(&self, ctx: &FmtContext<'_, S, N>, mut w: Writer<'_>, event: &Event<'_>) -> fmt::Result {
        UnixTime.format_time(&mut w)?;
        let module = event.metadata().target().rsplit("::").next().unwrap_or_default();
        let level = event.metadata().level().as_str().to_ascii_lowercase();
        write!(w, " {level} {module}: ")?;
        ctx.field_format().format_fields(w.by_ref(), event)?;
        writeln!(w)
    }
}

/// The current second of the rate limit, the lines in it, and the lines left out since the last one written.
struct RateWindow {
    start: Instant,
    lines: u32,
    left_out: u32,
}

/// Queues lines for the writer thread within the rate limit and the memory limit; lines that are left out are counted,
/// and the next line states their number.
struct LimitedWriter {
    queue: NonBlocking,
    lines_per_second: Arc<AtomicU32>,
    window: Arc<Mutex<RateWindow>>,
    json: bool,
    /// Maximum number of bytes that may be queued, and the number that are, with the overhead of each line.
    max_queued_bytes: usize,
    queued_bytes: Arc<AtomicUsize>,
}

/// Writes one event; errors are exempt from the rate limit.
struct EventWriter<'a> {
    writer: &'a LimitedWriter,
    exempt: bool,
}

impl<'a> MakeWriter<'a> for LimitedWriter {
    type Writer = EventWriter<'a>;

    fn make_writer(&'a self) -> EventWriter<'a> {
        EventWriter { writer: self, exempt: false }
    }

    fn make_writer_for(&'a self, meta: &Metadata<'_>) -> EventWriter<'a> {
        EventWriter { writer: self, exempt: *meta.level() == Level::ERROR }
    }
}

impl Write for EventWriter<'_> {
    /// Each line is passed in one call.
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        let left_out = {
            let mut window = self.writer.window.lock().unwrap_or_else(PoisonError::into_inner);
            if window.start.elapsed().as_secs() >= 1 {
                (window.start, window.lines) = (Instant::now(), 0);
            }
            window.lines += 1;
            let over_rate =
                window.lines > self.writer.lines_per_second.load(Ordering::Relaxed) && !self.exempt;
            // The longest that this line can become, with the count of lines left out before it.
            let queue_full = self.writer.queued_bytes.load(Ordering::Relaxed)
                + MAX_LINE_BYTES.max(line.len())
                + 2 * LINE_OVERHEAD_BYTES
                > self.writer.max_queued_bytes;
            if over_rate || queue_full {
                window.left_out += 1;
                return Ok(line.len());
            }
            std::mem::take(&mut window.left_out)
        };
        let mut queue = self.writer.queue.clone();
        let text = line.strip_suffix(b"\n").unwrap_or(line);
        // A truncated JSON line would be invalid.
        let text =
            if text.len() > MAX_LINE_BYTES && !self.writer.json { &text[..MAX_LINE_BYTES] } else { text };
        let mut full_line = text.to_vec();
        if left_out > 0 && self.writer.json {
            full_line.pop();
            full_line.extend_from_slice(format!(",\"left_out\":{left_out}}}").as_bytes());
        } else if left_out > 0 {
            full_line.extend_from_slice(format!(" ({left_out} lines left out)").as_bytes());
        }
        full_line.push(b'\n');
        self.writer.queued_bytes.fetch_add(full_line.len() + LINE_OVERHEAD_BYTES, Ordering::Relaxed);
        queue.write_all(&full_line)?;
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

    /// A writer that blocks until the test lets it write the next line.
    struct BlockingWriter(Receiver<()>, Sender<String>);

    impl Write for BlockingWriter {
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
    fn lines_beyond_the_memory_limit_of_a_blocked_log_are_left_out_and_counted() {
        const MEMORY: usize = 16 * 1024;
        let ((release, released), (write, written)) = (channel(), channel());
        let (writer, log) =
            limited_writer(BlockingWriter(released, write), LogFormat::Text, u32::MAX, MEMORY);
        let line = "x".repeat(99) + "\n";
        for _ in 0..1_000 {
            writer.make_writer().write_all(line.as_bytes()).unwrap();
            assert!(log.queued_bytes() <= MEMORY, "{}", log.queued_bytes());
        }
        let queued_lines = log.queued_bytes() / (line.len() + LINE_OVERHEAD_BYTES);
        drop(release);
        (0..queued_lines).for_each(|_| assert_eq!(written.recv().unwrap(), line));
        // The writer thread subtracts a line only after it has written it.
        while log.queued_bytes() > 0 {
            std::thread::yield_now();
        }
        writer.make_writer().write_all(line.as_bytes()).unwrap();
        assert!(written.recv().unwrap().contains(&format!("({} lines left out)", 1_000 - queued_lines)));
    }
}
