//! A marshal as a process of its own, and what can be seen of it from outside.

use serde_json::Value;
use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, ExitStatus, Stdio};
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, RecvTimeoutError, SyncSender, TrySendError, sync_channel};
use std::time::{Duration, Instant};

/// Lines of the log that wait to be looked at; what goes past it is counted only.
const LINES: usize = 100_000;
/// How long a marshal may take to listen.
const READY: Duration = Duration::from_secs(20);

/// What a process holds and has used.
#[derive(Clone, Copy, Debug, Default)]
pub struct ProcessUsage {
    /// Resident bytes of the process alone, without the program's own pages: what a limit is held against.
    pub resident_bytes: usize,
    /// The most that was resident at once so far, counted alike.
    pub peak_bytes: usize,
    /// Processor time, user and system.
    pub cpu_time: Duration,
    pub descriptors: usize,
}

pub struct Program {
    child: Child,
    pub addr: SocketAddr,
    /// Where its configuration lies.
    pub config_path: PathBuf,
    pub log: Receiver<String>,
}

/// A path of its own in the folder for temporary files.
pub fn unique_temp_path(ending: &str) -> PathBuf {
    static NUMBER: AtomicUsize = AtomicUsize::new(0);
    let number = NUMBER.fetch_add(1, Ordering::SeqCst);
    std::env::temp_dir().join(format!("stonescale-lab-{}-{number}.{ending}", std::process::id()))
}

impl Program {
    /// Starts `binary serve` with this configuration and further arguments, and waits until it listens.
    pub fn start(binary: &Path, config: &Value, args: &[&str]) -> Result<Self, String> {
        Self::start_with_env(binary, config, args, &[])
    }

    /// The same, in an environment of these variables.
    pub fn start_with_env(
        binary: &Path, config: &Value, args: &[&str], env: &[(&str, &str)],
    ) -> Result<Self, String> {
        let path = unique_temp_path("json");
        std::fs::write(&path, config.to_string()).map_err(|e| format!("{}: {e}", path.display()))?;
        let mut command = Command::new(binary);
        command.arg("serve").arg("--config").arg(&path).args(args);
        command.env_clear().envs(env.iter().copied());
        // Which deliberate fault a build for tests is to have.
        command.envs(std::env::var("STONESCALE_MUTANT").map(|mutant| ("STONESCALE_MUTANT", mutant)));
        command.stdin(Stdio::null()).stdout(Stdio::null()).stderr(Stdio::piped());
        let mut child = command.spawn().map_err(|e| format!("{}: {e}", binary.display()))?;
        let stderr = child.stderr.take().ok_or("no log")?;
        let (tell, log) = sync_channel(LINES);
        std::thread::spawn(move || pass_on(BufReader::new(stderr), &tell));
        let mut program = Program { child, addr: ([127, 0, 0, 1], 0).into(), config_path: path, log };
        let line = program.wait_for_log_line("listening at ", READY)?;
        let addr = line.split("listening at ").nth(1).and_then(|t| t.split(['"', ' ']).next());
        program.addr = addr.and_then(|a| a.parse().ok()).ok_or_else(|| format!("no address in '{line}'"))?;
        Ok(program)
    }

    /// Waits for a line of the log that holds `word`.
    pub fn wait_for_log_line(&self, word: &str, limit: Duration) -> Result<String, String> {
        let until = Instant::now() + limit;
        let mut last = String::new();
        loop {
            match self.log.recv_timeout(until.saturating_duration_since(Instant::now())) {
                Ok(line) if line.contains(word) => return Ok(line),
                Ok(line) => last = line,
                Err(RecvTimeoutError::Timeout) => {
                    return Err(format!("the log did not say '{word}'; last: {last}"));
                }
                Err(RecvTimeoutError::Disconnected) => return Err(format!("the marshal ended: {last}")),
            }
        }
    }

    pub fn pid(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal by its name, such as `TERM`.
    pub fn signal(&self, name: &str) {
        let _ = Command::new("kill").args([&format!("-{name}"), &self.pid().to_string()]).status();
    }

    /// Has it ended?
    pub fn exit_status(&mut self) -> Option<ExitStatus> {
        self.child.try_wait().ok().flatten()
    }

    /// What it holds now.
    pub fn usage(&self) -> Option<ProcessUsage> {
        process_usage(self.pid())
    }
}

fn pass_on(log: impl BufRead, tell: &SyncSender<String>) {
    for line in log.lines().map_while(Result::ok) {
        // Nobody may be looking: then the newest lines are left out, but the pipe is emptied.
        if let Err(TrySendError::Disconnected(_)) = tell.try_send(line) {
            break;
        }
    }
}

/// Reads what a process holds from the system's pages on it.
pub fn process_usage(pid: u32) -> Option<ProcessUsage> {
    let status = std::fs::read_to_string(format!("/proc/{pid}/status")).ok()?;
    let kib = |name: &str| {
        let line = status.lines().find_map(|l| l.strip_prefix(name));
        line.and_then(|l| l.trim().split(' ').next()?.parse::<usize>().ok()).unwrap_or(0)
    };
    let resident = (kib("RssAnon:") + kib("RssShmem:")) * 1024;
    let peak = (kib("VmHWM:").saturating_sub(kib("RssFile:")) * 1024).max(resident);
    // Each thread's time on a processor, in nanoseconds.
    let threads = std::fs::read_dir(format!("/proc/{pid}/task")).ok()?.flatten();
    let on_cpu = |thread: std::fs::DirEntry| {
        let text = std::fs::read_to_string(thread.path().join("schedstat")).ok()?;
        text.split(' ').next()?.parse::<u64>().ok()
    };
    let cpu = Duration::from_nanos(threads.filter_map(on_cpu).sum());
    let descriptors = std::fs::read_dir(format!("/proc/{pid}/fd")).map_or(0, |d| d.count());
    Some(ProcessUsage { resident_bytes: resident, peak_bytes: peak, cpu_time: cpu, descriptors })
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
        let _ = std::fs::remove_file(&self.config_path);
    }
}
