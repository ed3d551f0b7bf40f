//! Stand-ins shared by the cases: discovery, platform, nodes, a client connection, and the start of the marshal with
//! the command of the deploy file. Standard library only; loopback addresses only.
#![allow(dead_code)]

use std::collections::VecDeque;
use std::fs::File;
use std::io::{self, BufRead, BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command as Process, Stdio};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::thread;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub const EXIT_HELD: i32 = 0;
pub const EXIT_BROKEN: i32 = 1;
pub const EXIT_CANNOT_RUN: i32 = 2;

pub const fn ms(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).map_or(0, |d| d.as_millis() as u64)
}

pub fn cannot_run(why: &str) -> ! {
    eprintln!("cannot run: {why}");
    std::process::exit(EXIT_CANNOT_RUN);
}

/// Whether the disruption is on: everywhere but with TROUBLE=0.
pub fn trouble() -> bool {
    std::env::var("TROUBLE").as_deref() != Ok("0")
}

pub fn sleep_until(at: Instant) {
    thread::sleep(at.saturating_duration_since(Instant::now()));
}

/// record.txt: one line for each thing sent, answered or run, with the milliseconds since the start.
#[derive(Clone)]
pub struct Record(Arc<(Mutex<io::BufWriter<File>>, Instant)>);

impl Record {
    pub fn create() -> Self {
        let path = std::env::var("RECORD").unwrap_or_else(|_| "record.txt".into());
        let file = File::create(&path).unwrap_or_else(|e| cannot_run(&format!("{path}: {e}")));
        Record(Arc::new((Mutex::new(io::BufWriter::new(file)), Instant::now())))
    }

    pub fn line(&self, text: impl AsRef<str>) {
        let at = self.0.1.elapsed();
        let mut file = self.0.0.lock().unwrap();
        let _ = writeln!(file, "{:>9.3} {}", at.as_secs_f64() * 1e3, text.as_ref());
        let _ = file.flush();
    }

    pub fn say(&self, text: impl AsRef<str>) {
        println!("{}", text.as_ref());
        self.line(text);
    }
}

// ---- RESP2 ----

/// One RESP2 message; an error or status line is kept as text.
#[derive(Clone, Debug, PartialEq)]
pub enum Message {
    Bulk(Option<Vec<u8>>),
    Array(Vec<Message>),
    Error(String),
    Text(String),
}

impl Message {
    pub fn text(&self) -> String {
        match self {
            Message::Bulk(Some(bytes)) => String::from_utf8_lossy(bytes).into_owned(),
            Message::Bulk(None) => "(null)".into(),
            Message::Array(items) => items.first().map_or(String::new(), Message::text),
            Message::Error(text) => format!("-{text}"),
            Message::Text(text) => format!("+{text}"),
        }
    }
    /// The protocol page: a bulk string that is not null, or an array that begins with one.
    pub fn is_served(&self) -> bool {
        match self {
            Message::Bulk(Some(_)) => true,
            Message::Array(items) => matches!(items.first(), Some(Message::Bulk(Some(_)))),
            _ => false,
        }
    }
}

/// Reads one message; `None` at the end of the stream.
pub fn read_message(reader: &mut impl BufRead) -> io::Result<Option<Message>> {
    let mut line = String::new();
    if reader.read_line(&mut line)? == 0 {
        return Ok(None);
    }
    if !line.ends_with("\r\n") {
        return Err(ErrorKind::UnexpectedEof.into());
    }
    let line = line.trim_end_matches("\r\n");
    let bad = || io::Error::from(ErrorKind::InvalidData);
    let (kind, rest) = line.split_at_checked(1).ok_or_else(bad)?;
    Ok(Some(match kind {
        "$" if rest == "-1" => Message::Bulk(None),
        "$" => {
            let mut bytes = vec![0; rest.parse::<usize>().map_err(|_| bad())? + 2];
            io::Read::read_exact(reader, &mut bytes)?;
            bytes.truncate(bytes.len() - 2);
            Message::Bulk(Some(bytes))
        }
        "*" => {
            let mut items = Vec::new();
            for _ in 0..rest.parse::<usize>().map_err(|_| bad())? {
                items.push(read_message(reader)?.ok_or_else(bad)?);
            }
            Message::Array(items)
        }
        "-" => Message::Error(rest.into()),
        _ => Message::Text(rest.into()),
    }))
}

pub fn command(words: &[&str]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", words.len());
    words.iter().for_each(|w| out += &format!("${}\r\n{w}\r\n", w.len()));
    out.into_bytes()
}

/// The answer of a node that served: the value, null, null.
pub fn served(value: &str) -> Vec<u8> {
    format!("*3\r\n${}\r\n{value}\r\n$-1\r\n$-1\r\n", value.len()).into_bytes()
}

// ---- Listening ----

/// Accepts connections until told to stop; a stopped listener refuses, as a dead process does.
struct Acceptor {
    addr: SocketAddr,
    running: Arc<AtomicBool>,
}

fn listen(addr: SocketAddr) -> TcpListener {
    for _ in 0..200 {
        match TcpListener::bind(addr) {
            Ok(listener) => return listener,
            Err(_) => thread::sleep(ms(5)),
        }
    }
    cannot_run(&format!("{addr}: no listener"))
}

fn accept_loop(
    listener: TcpListener, running: Arc<AtomicBool>, serve: impl Fn(TcpStream) + Send + Sync + 'static,
) {
    let serve = Arc::new(serve);
    listener.set_nonblocking(true).unwrap();
    thread::spawn(move || {
        while running.load(Ordering::SeqCst) {
            match listener.accept() {
                Ok((stream, _)) => {
                    let _ = stream.set_nonblocking(false);
                    let _ = stream.set_nodelay(true);
                    let serve = serve.clone();
                    thread::spawn(move || serve(stream));
                }
                Err(_) => thread::sleep(Duration::from_micros(500)),
            }
        }
    });
}

pub fn free_addr() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap_or_else(|e| cannot_run(&e.to_string()));
    listener.local_addr().unwrap()
}

// ---- Discovery ----

#[derive(Clone)]
pub struct Entry {
    pub id: String,
    pub addr: SocketAddr,
    pub zone: &'static str,
    pub state: &'static str,
    pub started_ms: u64,
    pub build: u16,
}

impl Entry {
    fn json(&self) -> String {
        format!(
            r#"{{"id":"{}","addr":"{}","zone":"{}","kind":"std","cell":0,"state":"{}","weight":1.0,"started_ms":{},"image_id":{}}}"#,
            self.id, self.addr, self.zone, self.state, self.started_ms, self.build
        )
    }
}

#[derive(Default)]
struct ListState {
    version: u64,
    /// Entries with the version of their last change.
    entries: Vec<(u64, Entry)>,
    /// Raised when the process dies; open watches end.
    life: u64,
    open: Vec<TcpStream>,
}

#[derive(Clone)]
pub struct Discovery {
    pub addr: SocketAddr,
    state: Arc<(Mutex<ListState>, Condvar)>,
    running: Arc<Mutex<Arc<AtomicBool>>>,
    record: Record,
}

impl Discovery {
    pub fn start(record: &Record, entries: Vec<Entry>) -> Self {
        let state = ListState {
            version: 41,
            entries: entries.into_iter().map(|e| (41, e)).collect(),
            ..ListState::default()
        };
        let discovery = Discovery {
            addr: free_addr(),
            state: Arc::new((Mutex::new(state), Condvar::new())),
            running: Arc::new(Mutex::new(Arc::new(AtomicBool::new(false)))),
            record: record.clone(),
        };
        discovery.up();
        discovery
    }

    /// Starts the process: it listens and answers.
    pub fn up(&self) {
        let running = Arc::new(AtomicBool::new(true));
        *self.running.lock().unwrap() = running.clone();
        let this = self.clone();
        accept_loop(listen(self.addr), running, move |stream| {
            let _ = this.serve(stream);
        });
    }

    /// Ends the process: connections end, new ones are refused.
    pub fn down(&self) {
        self.running.lock().unwrap().store(false, Ordering::SeqCst);
        thread::sleep(ms(5));
        let mut state = self.state.0.lock().unwrap();
        state.life += 1;
        state.open.drain(..).for_each(|s| drop(s.shutdown(std::net::Shutdown::Both)));
        self.state.1.notify_all();
    }

    pub fn change(&self, id: &str, state_text: &'static str) {
        let mut state = self.state.0.lock().unwrap();
        state.version += 1;
        let version = state.version;
        for (at, entry) in state.entries.iter_mut().filter(|(_, e)| e.id == id) {
            (*at, entry.state) = (version, state_text);
        }
        self.state.1.notify_all();
    }

    /// The whole list as one line.
    pub fn full_list(&self) -> String {
        Self::list(&self.state.0.lock().unwrap(), None)
    }

    fn list(state: &ListState, since: Option<u64>) -> String {
        let entries: Vec<_> = state
            .entries
            .iter()
            .filter(|(at, e)| since.map_or(e.state != "removed", |since| *at > since))
            .map(|(_, e)| e.json())
            .collect();
        format!(
            r#"{{"version":{},"full":{},"servers":[{}]}}"#,
            state.version,
            since.is_none(),
            entries.join(",")
        )
    }

    fn serve(&self, mut stream: TcpStream) -> io::Result<()> {
        let mut reader = BufReader::new(stream.try_clone()?);
        let mut request = String::new();
        reader.read_line(&mut request)?;
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 || line == "\r\n" {
                break;
            }
        }
        let path = request.split(' ').nth(1).unwrap_or_default().to_owned();
        let life = {
            let mut state = self.state.0.lock().unwrap();
            state.open.push(stream.try_clone()?);
            state.life
        };
        self.record.line(format!("discovery  call {path}"));
        if !path.contains("follow=1") {
            let body = self.full_list();
            return write!(stream, "HTTP/1.1 200 OK\r\nContent-Length: {}\r\n\r\n{body}", body.len());
        }
        let since = path.split("since=").nth(1).and_then(|s| s.parse::<u64>().ok());
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n")?;
        let chunk = |stream: &mut TcpStream, text: &str| {
            stream.write_all(format!("{:x}\r\n{text}\r\n", text.len()).as_bytes())
        };
        let mut held = None;
        let mut first = Some(since.filter(|since| *since >= 41));
        let mut last_line = Instant::now();
        loop {
            let mut state = self.state.0.lock().unwrap();
            if state.life != life {
                return Ok(());
            }
            let line = if let Some(since) = first.take() {
                Some(Self::list(&state, since))
            } else if held < Some(state.version) {
                Some(Self::list(&state, held))
            } else {
                None
            };
            held = Some(state.version);
            if line.is_none() {
                state = self.state.1.wait_timeout(state, ms(100)).unwrap().0;
            }
            drop(state);
            match line {
                Some(line) => {
                    chunk(&mut stream, &(line.clone() + "\n"))?;
                    self.record.line(format!("discovery  wrote {line}"));
                    last_line = Instant::now();
                }
                None if last_line.elapsed() >= ms(2_000) => {
                    chunk(&mut stream, "\n")?;
                    last_line = Instant::now();
                }
                None => {}
            }
        }
    }
}

// ---- Platform ----

/// A platform that tells one state of one build for the whole run.
pub fn start_platform(state: &'static str) -> SocketAddr {
    let addr = free_addr();
    accept_loop(listen(addr), Arc::new(AtomicBool::new(true)), move |stream| {
        let _ = serve_platform(stream, state);
    });
    addr
}

fn serve_platform(stream: TcpStream, state: &str) -> io::Result<()> {
    let out = Arc::new(Mutex::new(stream.try_clone()?));
    let pings = out.clone();
    thread::spawn(move || {
        while pings.lock().unwrap().write_all(b"{\"jsonrpc\":\"2.0\",\"method\":\"ping\"}\n").is_ok() {
            thread::sleep(ms(1_000));
        }
    });
    for line in BufReader::new(stream).lines() {
        let line = line?;
        let digits = line.split("\"id\":").nth(1).unwrap_or_default();
        let id: String = digits.chars().take_while(char::is_ascii_digit).collect();
        let mut out = out.lock().unwrap();
        if line.contains("\"subscribe\"") {
            writeln!(out, r#"{{"jsonrpc":"2.0","id":{id},"result":true}}"#)?;
            writeln!(out, r#"{{"jsonrpc":"2.0","method":"progress","params":{state}}}"#)?;
        } else {
            writeln!(out, r#"{{"jsonrpc":"2.0","id":{id},"result":{state}}}"#)?;
        }
    }
    Ok(())
}

// ---- Nodes ----

/// What a node does with one command.
pub struct Plan {
    /// Time from the command's last byte to its answer.
    pub work: Duration,
    pub answer: Vec<u8>,
    /// A second copy of the answer, so long after it, sent if nothing else waits on the connection then.
    pub second_copy: Option<Duration>,
}

struct Pending {
    arrived: Instant,
    due: Instant,
    answer: Vec<u8>,
    second_copy: Option<Duration>,
    label: String,
}

type Behavior = dyn Fn(&str, &[String]) -> Plan + Send + Sync;

/// A node behind a link of `latency` one way: it begins each command at once and answers in order.
pub fn start_node(
    record: &Record, id: &str, latency: Duration,
    behave: impl Fn(&str, &[String]) -> Plan + Send + Sync + 'static,
) -> Entry {
    let addr = free_addr();
    let (record, name, behave): (_, _, Arc<Behavior>) = (record.clone(), id.to_owned(), Arc::new(behave));
    accept_loop(listen(addr), Arc::new(AtomicBool::new(true)), move |stream| {
        let _ = serve_node(&record, &name, stream, latency, &behave);
    });
    Entry { id: id.into(), addr, zone: "a", state: "up", started_ms: 0, build: 4 }
}

fn serve_node(
    record: &Record, name: &str, stream: TcpStream, latency: Duration, behave: &Arc<Behavior>,
) -> io::Result<()> {
    let queue = Arc::new((Mutex::new((VecDeque::<Pending>::new(), false)), Condvar::new()));
    let mut writer = stream.try_clone()?;
    let mut reader = BufReader::new(stream);
    let (written, write_record, write_name) = (queue.clone(), record.clone(), name.to_owned());
    thread::spawn(move || {
        loop {
            let mut guard = written.0.lock().unwrap();
            while guard.0.is_empty() {
                if guard.1 {
                    let _ = writer.shutdown(std::net::Shutdown::Both);
                    return;
                }
                guard = written.1.wait(guard).unwrap();
            }
            let due = guard.0[0].due;
            drop(guard);
            sleep_until(due);
            let Pending { answer, second_copy, label, .. } = written.0.lock().unwrap().0.pop_front().unwrap();
            let alone = |at: Instant| !written.0.lock().unwrap().0.iter().any(|p| p.arrived <= at);
            let alone_at_answer = alone(due);
            sleep_until(due + latency);
            if writer.write_all(&answer).is_err() {
                return;
            }
            write_record.line(format!("node {write_name}  answered {label}"));
            if let Some(after) = second_copy.filter(|_| alone_at_answer) {
                sleep_until(due + after);
                if alone(due + after) {
                    sleep_until(due + after + latency);
                    if writer.write_all(&answer).is_err() {
                        return;
                    }
                    write_record
                        .line(format!("node {write_name}  sent a second copy of the answer to {label}"));
                }
            }
        }
    });
    let result = loop {
        let words: Vec<String> = match read_message(&mut reader) {
            Ok(Some(Message::Array(items))) => items.iter().map(Message::text).collect(),
            Ok(Some(_)) => break Ok(()),
            Ok(None) => break Ok(()),
            Err(e) => break Err(e),
        };
        let arrived = Instant::now() + latency;
        let plan = behave(name, &words);
        let label = format!(
            "{} {}",
            words.get(2).cloned().unwrap_or_default(),
            words.get(3).cloned().unwrap_or_default()
        );
        record.line(format!("node {name}  received {} {label}", words[0]));
        let pending = Pending {
            arrived,
            due: arrived + plan.work,
            answer: plan.answer,
            second_copy: plan.second_copy,
            label,
        };
        queue.0.lock().unwrap().0.push_back(pending);
        queue.1.notify_all();
    };
    queue.0.lock().unwrap().1 = true;
    queue.1.notify_all();
    result
}

// ---- The marshal ----

pub struct Marshal {
    pub addr: SocketAddr,
    pub child: Child,
    folder: PathBuf,
}

/// Sites differ in few settings; the others are like those of the small deployment in the brief.
pub struct Site {
    /// `push` or `ask`.
    pub membership: &'static str,
    pub stop_sending_ms: u64,
}

pub const CLASSES: [(&str, &str, u64, u64); 3] =
    [("read", "retryable", 1_200, 3_000), ("event", "dedup", 1_200, 3_000), ("seal", "fragile", 600, 2_500)];

fn settings(site: &Site, me: usize, siblings: usize) -> String {
    let classes: Vec<_> = CLASSES
        .iter()
        .map(|(name, effect, aim, deadline)| {
            format!(
                r#"{{"aim_ns":{aim}000000,"deadline_ns":{deadline}000000,"dedup_scope":"all","effect":"{effect}","late_share":0.0,"memory_span_ns":3000000000,"name":"{name}","streaming":false,"worth":1.0}}"#
            )
        })
        .collect();
    format!(
        r#"{{"azs":["a","b"],"classes":[{}],"clients":{{"marks_retry":false}},"family":"rollout","flavors":["std"],"layers":["nodes"],
"limits":{{"attempts_cap":6,"cancelling":true,"connect_timeout_ns":250000000,"cpu_us_per_request":0.0,"cpu_us_per_s":500000,"keepalive_ns":15000000000,"max_open":20000,"max_retry_after_ns":500000000,"multiplex":100,"peer_messages":false,"probing":false,"retry_after":true,"second_copies":true}},
"me":{me},"membership_mode":"{}","over_share_worth":0.05,"prices":{{"cross_zone":0.02,"late_fail":0.05,"waste":0.03}},
"realms":[{{"name":"acme","quota_per_s":300.0,"share":1.0}}],"report":{{"columns":["rif"],"via":"inline"}},
"rules":{{"answer_slack_ns":20000000,"ask_within_ns":10000000000,"cold_from":0.35,"fall_multiple":2.0,"fall_ns":3000000000,"stop_sending_within_ns":{}000000,"warm_up_ns":3400000000}},
"siblings":{siblings},"specifics":{{"allowance":1.0,"bake_ns":1500000000,"call_timeout_ns":2000000000,"calls_per_s":25.0,"closed_stages":0,"counts":"all","exposure_window_ns":2000000000,"gate_mode":"automatic","layout":"replace","most_shares":[0.12,0.42,1.0],"news_period_ns":6000000000,"no_return":false,"noes_needed":1,"reported_share":0.3,"sample":0.0,"stage_share":[0.1,0.35,1.0],"stage_time_ns":4000000000,"sums_every_ns":0,"to_advance":0,"vote_stands_ns":4000000000,"votes_to_hold":1}},
"stage":0,"tick_ns":5000000,"weights":"off","worth_by":"request","zone":0}}"#,
        classes.join(","),
        site.membership,
        site.stop_sending_ms,
    )
}

pub const NEWS: &str = r#"{"build":4,"stage":2,"phase":"live","cap":1.0,"age_ms":600000}"#;

/// The `run` command of the deploy file.
fn run_command(root: &str) -> String {
    let path = format!("{root}/deploy/balancer.toml");
    let text = std::fs::read_to_string(&path).unwrap_or_else(|e| cannot_run(&format!("{path}: {e}")));
    let line =
        text.lines().find(|l| l.starts_with("run = \"")).unwrap_or_else(|| cannot_run("no run command"));
    line["run = \"".len()..].split('"').next().unwrap_or_default().to_owned()
}

impl Marshal {
    /// Starts a marshal by the deploy file, and waits until it answers PING.
    pub fn start(
        record: &Record, site: &Site, me: usize, siblings: usize, discovery: &Discovery, platform: SocketAddr,
    ) -> Self {
        let root = std::env::var("ROOT").unwrap_or_else(|_| cannot_run("ROOT is not set"));
        let folder = PathBuf::from(std::env::var("WORK").unwrap_or_else(|_| cannot_run("WORK is not set")))
            .join(format!("n{me}"));
        std::fs::create_dir_all(&folder).unwrap_or_else(|e| cannot_run(&e.to_string()));
        let addr = free_addr();
        let config = format!(
            r#"{{"name":"n{me}","listen":"{addr}","discovery":"{}","seed":"{:x}","limits":{{"cores":1.0,"memory_mb":192,"sockets":1024}},
"platform":{{"address":"{platform}","news":{NEWS}}},"known":{},"settings":{}}}"#,
            discovery.addr,
            unix_ms() * 31 + me as u64,
            discovery.full_list(),
            settings(site, me, siblings),
        );
        let file = folder.join("config.json");
        std::fs::write(&file, config).unwrap_or_else(|e| cannot_run(&e.to_string()));
        let log = File::create(folder.join("log.txt")).unwrap_or_else(|e| cannot_run(&e.to_string()));
        let child = Process::new("/bin/sh")
            .arg("-c")
            .arg(run_command(&root))
            .current_dir(&root)
            .env("NODE_CONFIG", &file)
            .env("TMPDIR", &folder)
            .stdin(Stdio::null())
            .stdout(log.try_clone().unwrap())
            .stderr(log)
            .spawn()
            .unwrap_or_else(|e| cannot_run(&e.to_string()));
        let pids = format!("{}/pids", std::env::var("WORK").unwrap());
        let mut pids = File::options().create(true).append(true).open(pids).unwrap();
        let _ = writeln!(pids, "{}", child.id());
        let marshal = Marshal { addr, child, folder };
        for _ in 0..500 {
            if let Ok(mut conn) = Conn::open(addr) {
                if conn.send(&command(&["PING"])).is_ok()
                    && conn.answer(ms(500)).is_some_and(|m| m.text() == "+PONG")
                {
                    record.line(format!("marshal n{me} ready at {addr}"));
                    return marshal;
                }
            }
            thread::sleep(ms(10));
        }
        let log = std::fs::read_to_string(marshal.folder.join("log.txt")).unwrap_or_default();
        drop(marshal);
        cannot_run(&format!("the marshal is not ready\n{log}"))
    }

    pub fn signal(&self, name: &str) {
        let _ = Process::new("kill").arg(format!("-{name}")).arg(self.child.id().to_string()).status();
    }

    pub fn has_ended(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|s| s.is_some())
    }
}

impl Drop for Marshal {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

// ---- Clients ----

/// A client's connection with blocking calls.
pub struct Conn {
    pub stream: TcpStream,
    reader: BufReader<TcpStream>,
}

impl Conn {
    pub fn open(addr: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect_timeout(&addr, ms(500))?;
        stream.set_nodelay(true)?;
        Ok(Conn { reader: BufReader::new(stream.try_clone()?), stream })
    }

    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// The next answer; `None` if the connection ended or nothing came in time.
    pub fn answer(&mut self, within: Duration) -> Option<Message> {
        self.stream.set_read_timeout(Some(within)).ok()?;
        read_message(&mut self.reader).ok().flatten()
    }
}

/// Small generator of pseudo-random numbers (xorshift).
pub struct Rng(pub u64);

impl Rng {
    pub fn next(&mut self) -> u64 {
        self.0 ^= self.0 << 13;
        self.0 ^= self.0 >> 7;
        self.0 ^= self.0 << 17;
        self.0
    }

    pub fn below(&mut self, n: u64) -> u64 {
        self.next() % n.max(1)
    }
}
