//! Runs a marshal as a child process and observes it from outside: its log, its resource use and its exit status.

use serde_json::Value;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, TrySendError, sync_channel};
use std::time::{Duration, Instant};

/// Capacity of the queue of unread log lines; further lines are dropped while it is full.
const LOG_QUEUE_LINES: usize = 100_000;
/// Time within which a started marshal must listen.
const START_TIMEOUT: Duration = Duration::from_secs(20);

/// Resource use of a process.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProcessUsage {
    /// Resident anonymous and shared memory in bytes, without file-backed pages such as the program's code: the figure
    /// that memory limits are compared with.
    pub resident_bytes: usize,
    /// Maximum of the resident size so far, in bytes, also without file-backed pages.
    pub peak_bytes: usize,
    /// Processor time of all threads, user and system.
    pub cpu_time: Duration,
    /// Number of open file descriptors.
    pub descriptors: usize,
}

/// A running marshal; it is killed when this value is dropped.
pub struct Program {
    child: Child,
    /// The address at which it listens for clients.
    pub addr: SocketAddr,
    /// Its configuration file, which is removed when this value is dropped.
    pub config_path: PathBuf,
    /// Lines of its log, as written to standard error.
    pub log: Receiver<String>,
}

/// Returns a path in the folder for temporary files that no other call returns, with this file extension.
pub fn unique_temp_path(extension: &str) -> PathBuf {
    static NUMBER: AtomicUsize = AtomicUsize::new(0);
    let number = NUMBER.fetch_add(1, Ordering::SeqCst);
    std::env::temp_dir().join(format!("stonescale-lab-{}-{number}.{extension}", std::process::id()))
}

impl Program {
    /// Starts `binary serve` with this configuration and further arguments, and waits until it listens.
    pub fn start(binary: &Path, config: &Value, args: &[&str]) -> Result<Self, String> {
        Self::start_with_env(binary, config, args, &[])
    }

    /// Like [`Program::start`], with these environment variables.
    pub fn start_with_env(
        binary: &Path, config: &Value, args: &[&str], env: &[(&str, &str)],
    ) -> Result<Self, String> {
        let path = unique_temp_path("json");
        std::fs::write(&path, config.to_string()).map_err(|e| format!("{}: {e}", path.display()))?;
        let mut command = Command::new(binary);
        command.arg("serve").arg("--config").arg(&path).args(args);
        command.env_clear().envs(env.iter().copied());
        // Selects the deliberate fault in a build with the feature `mutants`.
        command.envs(std::env::var("STONESCALE_MUTANT").map(|mutant| ("STONESCALE_MUTANT", mutant)));
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
        let mut child = command.spawn().map_err(|e| format!("{}: {e}", binary.display()))?;
        let stderr = child.stderr.take().ok_or("the marshal's standard error is not captured")?;
        let (lines, log) = sync_channel(LOG_QUEUE_LINES);
        std::thread::spawn(move || read_log(BufReader::new(stderr), &lines));
        let mut program = Program { child, addr: ([127, 0, 0, 1], 0).into(), config_path: path, log };
        let line = program.wait_for_log_line("listening at ", START_TIMEOUT)?;
        let addr = line.split("listening at ").nth(1).and_then(|t| t.split(['"', ' ']).next());
        program.addr = addr.and_then(|a| a.parse().ok()).ok_or_else(|| format!("no address in '{line}'"))?;
        Ok(program)
    }

    /// Discards log lines up to the first one that contains `text`, and returns that one; an error if it doesn't come
    /// within `timeout`.
    pub fn wait_for_log_line(&self, text: &str, timeout: Duration) -> Result<String, String> {
        let deadline = Instant::now() + timeout;
        let mut last = String::new();
        loop {
            match self.log.recv_timeout(deadline.saturating_duration_since(Instant::now())) {
                Ok(line) if line.contains(text) => return Ok(line),
                Ok(line) => last = line,
                Err(RecvTimeoutError::Timeout) => {
                    return Err(format!("no log line contains '{text}'; last line: {last}"));
                }
                Err(RecvTimeoutError::Disconnected) => {
                    return Err(format!("the marshal exited; last line: {last}"));
                }
            }
        }
    }

    /// The process id.
    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal, given by its name without `SIG`, such as `TERM`.
    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").args([&format!("-{name}"), &self.pid().to_string()]).status();
    }

    /// Kills the process and waits for its end.
    pub fn kill(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }

    /// The exit status, once the process has exited.
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// Present resource use; none if it can't be read.
    pub fn usage(&self) -> Option<ProcessUsage> {
        process_usage(self.pid())
    }
}

/// Reads the log until it ends, and puts its lines in the queue.
fn read_log(log: impl BufRead, lines: &SyncSender<String>) {
    for line in log.lines().map_while(Result::ok) {
        // While the queue is full, lines are dropped: the pipe must still be drained, or the marshal would block on it.
        if let Err(TrySendError::Disconnected(_)) = lines.try_send(line) {
            break;
        }
    }
}

/// Reads the resource use of a process from `/proc`.
pub fn process_usage(pid: u32) -> Option<ProcessUsage> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let kib = |name: &str| {
        let line = status.lines().find_map(|l| l.strip_prefix(name));
        line.and_then(|l| l.trim().split(' ').next()?.parse::<usize>().ok()).unwrap_or(0)
    };
    let resident = (kib("RssAnon:") + kib("RssShmem:")) * 1024;
    let peak = (kib("VmHWM:").saturating_sub(kib("RssFile:")) * 1024).max(resident);
    // The first field of `schedstat` is the thread's time on a processor, in nanoseconds.
    let threads = std::fs::read_dir(format!("/proc/{pid}/task")).ok()?.flatten();
    let cpu_nanos = |thread: std::fs::DirEntry| {
        let text = std::fs::read_to_string(thread.path().join("schedstat")).ok()?;
        text.split(' ').next()?.parse::<u64>().ok()
    };
    let cpu = Duration::from_nanos(threads.filter_map(cpu_nanos).sum());
    let descriptors = std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, |d| d.count());
    Some(ProcessUsage { resident_bytes: resident, peak_bytes: peak, cpu_time: cpu, descriptors })
}

impl Drop for Program {
    fn drop(&mut self) {
        self.kill();
        let _ = std::fs::remove_file(&self.config_path);
    }
}
