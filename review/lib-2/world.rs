//! Stand-ins for clients, nodes, discovery and the platform, from the protocol page; only the standard library is used.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Condvar, Mutex};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

pub fn sleep_ms(ms: u64) {
    std::thread::sleep(Duration::from_millis(ms));
}

pub fn unix_ms() -> u64 {
    SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis() as u64
}

/// The record of a run: lines with the time in milliseconds since its start.
#[derive(Clone)]
pub struct Record {
    start: Instant,
    lines: Arc<Mutex<Vec<(f64, String)>>>,
}

impl Record {
    pub fn new() -> Self {
        Record { start: Instant::now(), lines: Arc::default() }
    }

    pub fn now(&self) -> f64 {
        self.start.elapsed().as_secs_f64() * 1e3
    }

    pub fn line(&self, text: impl Into<String>) -> f64 {
        let now = self.now();
        self.lines.lock().unwrap().push((now, text.into()));
        now
    }

    pub fn line_at(&self, at: f64, text: impl Into<String>) {
        self.lines.lock().unwrap().push((at, text.into()));
    }

    pub fn write_to(&self, path: &str) {
        let mut lines = self.lines.lock().unwrap().clone();
        lines.sort_by(|a, b| a.0.total_cmp(&b.0));
        let text: String = lines.iter().map(|(at, text)| format!("{at:10.2} {text}\n")).collect();
        std::fs::write(path, text).expect("record.txt");
    }
}

// ---- Nodes ----

/// A forward as a node saw it.
#[derive(Clone, Debug)]
pub struct Forward {
    pub node: String,
    pub build: u16,
    pub id: String,
    pub key: String,
    /// When its last byte was read, in milliseconds of the record.
    pub at: f64,
    /// It was begun, and not turned away.
    pub begun: bool,
}

/// What a node does with a command.
#[derive(Clone, Copy, Default)]
pub struct Treatment {
    pub work_ms: u64,
    /// The command is turned away with `-BUSY`.
    pub busy: bool,
    /// The command is dropped without a word.
    pub dropped: bool,
    /// The command is run, but its answer does not come back.
    pub lost: bool,
    /// No answer is ever sent.
    pub silent: bool,
    /// The value is filled up to this length.
    pub value_bytes: usize,
}

/// What all nodes saw.
#[derive(Default)]
pub struct Seen {
    pub forwards: Vec<Forward>,
}

pub type SharedSeen = Arc<Mutex<Seen>>;
static CONNECTIONS: AtomicU64 = AtomicU64::new(0);

/// Starts a node; `treat` gets the command's class, its id and the stated wait in milliseconds, and decides.
pub fn start_node(
    name: &str, build: u16, record: &Record, seen: &SharedSeen,
    treat: impl Fn(&str, &str, u64) -> Treatment + Send + Sync + 'static,
) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    let (name, record, seen, treat) = (name.to_owned(), record.clone(), seen.clone(), Arc::new(treat));
    std::thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (name, record, seen, treat) = (name.clone(), record.clone(), seen.clone(), treat.clone());
            std::thread::spawn(move || serve_node(&name, build, stream, &record, &seen, &*treat));
        }
    });
    addr
}

fn serve_node(
    name: &str, build: u16, stream: TcpStream, record: &Record, seen: &SharedSeen,
    treat: &(dyn Fn(&str, &str, u64) -> Treatment + Send + Sync),
) {
    let connection = CONNECTIONS.fetch_add(1, Ordering::SeqCst);
    let _ = stream.set_nodelay(true);
    let (sender, receiver) = std::sync::mpsc::channel::<(Treatment, Instant, Vec<u8>, String)>();
    let mut writer = stream.try_clone().unwrap();
    let (record_w, name_w) = (record.clone(), name.to_owned());
    // Requests on a connection are begun at once and answered in order.
    std::thread::spawn(move || {
        for (treatment, arrived, reply, id) in receiver {
            if treatment.silent {
                sleep_ms(60_000);
                return;
            }
            let due = arrived + Duration::from_millis(if treatment.busy { 0 } else { treatment.work_ms });
            std::thread::sleep(due.saturating_duration_since(Instant::now()));
            let kind = if treatment.busy { "-BUSY" } else { "value" };
            record_w.line(format!("node {name_w} conn {connection}: answers {id} with {kind}"));
            if writer.write_all(&reply).is_err() {
                return;
            }
        }
    });
    let mut reader = BufReader::new(stream);
    while let Some(words) = read_command(&mut reader) {
        let arrived = Instant::now();
        if words.len() < 4 || !words[0].starts_with("SVC.") {
            let _ = reader.get_mut().write_all(b"+OK\r\n");
            continue;
        }
        let attribute = |name: &str| {
            words[3].split(',').find_map(|item| item.strip_prefix(name)).unwrap_or_default().to_owned()
        };
        let (key, id, class) = (words[1].clone(), words[2].clone(), attribute("c="));
        let treatment = treat(&class, &id, attribute("d=").parse().unwrap_or(0));
        let at = record
            .line(format!("node {name} conn {connection}: gets {} {id} key {key} {}", words[0], words[3]));
        let begun = !treatment.busy && !treatment.dropped;
        seen.lock().unwrap().forwards.push(Forward {
            node: name.to_owned(),
            build,
            id: id.clone(),
            key,
            at,
            begun,
        });
        if treatment.dropped {
            record.line(format!("node {name} conn {connection}: drops {id} without a word"));
            continue;
        }
        if treatment.lost {
            record.line(format!("node {name} conn {connection}: runs {id}, and its answer is lost"));
            continue;
        }
        let reply = if treatment.busy {
            b"-BUSY\r\n".to_vec()
        } else {
            let mut value = format!("id={id} node={name} build={build}");
            value.extend(std::iter::repeat_n('.', treatment.value_bytes.saturating_sub(value.len())));
            format!("*3\r\n${}\r\n{value}\r\n$-1\r\n$-1\r\n", value.len()).into_bytes()
        };
        if sender.send((treatment, arrived, reply, id)).is_err() {
            break;
        }
    }
    record.line(format!("node {name} conn {connection}: ended by the marshal"));
}

/// Reads one RESP array of bulk strings; none once the connection has ended.
fn read_command(reader: &mut BufReader<TcpStream>) -> Option<Vec<String>> {
    let count: usize = read_line(reader)?.strip_prefix('*')?.parse().ok()?;
    (0..count).map(|_| read_bulk(reader)).collect()
}

fn read_line(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let mut line = String::new();
    match reader.read_line(&mut line) {
        Ok(count) if count > 0 && line.ends_with("\r\n") => Some(line.trim_end().to_owned()),
        _ => None,
    }
}

fn read_bulk(reader: &mut BufReader<TcpStream>) -> Option<String> {
    let length: usize = read_line(reader)?.strip_prefix('$')?.parse().ok()?;
    let mut data = vec![0; length + 2];
    reader.read_exact(&mut data).ok()?;
    data.truncate(length);
    Some(String::from_utf8_lossy(&data).into_owned())
}

// ---- Discovery ----

#[derive(Clone)]
pub struct Entry {
    pub id: String,
    pub addr: SocketAddr,
    pub state: &'static str,
    pub started_ms: u64,
    pub build: u16,
}

impl Entry {
    pub fn up(id: &str, addr: SocketAddr, build: u16) -> Self {
        Entry { id: id.into(), addr, state: "up", started_ms: 0, build }
    }

    fn json(&self) -> String {
        format!(
            r#"{{"id":"{}","addr":"{}","zone":"a","kind":"m","cell":0,"state":"{}","weight":1.0,"started_ms":{},"image_id":{}}}"#,
            self.id, self.addr, self.state, self.started_ms, self.build
        )
    }
}

#[derive(Default)]
pub struct List {
    version: u64,
    entries: Vec<(u64, Entry)>,
    down: bool,
    /// Time that a call waits until it is answered.
    call_ms: u64,
}

/// Discovery: the whole list on a call, and watches.
#[derive(Clone)]
pub struct Discovery {
    pub addr: SocketAddr,
    list: Arc<(Mutex<List>, Condvar)>,
    record: Record,
}

impl Discovery {
    pub fn start(record: &Record, entries: Vec<Entry>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let entries = entries.into_iter().map(|entry| (1, entry)).collect();
        let list = Arc::new((Mutex::new(List { version: 1, entries, ..List::default() }), Condvar::new()));
        let discovery = Discovery { addr: listener.local_addr().unwrap(), list, record: record.clone() };
        let handle = discovery.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let handle = handle.clone();
                std::thread::spawn(move || handle.answer(stream));
            }
        });
        discovery
    }

    /// The whole list, in discovery's form.
    pub fn full(&self) -> String {
        Self::object(&self.list.0.lock().unwrap(), 0, true).0
    }

    fn object(list: &List, after: u64, full: bool) -> (String, u64) {
        let changed =
            list.entries.iter().filter(|(version, e)| *version > after && !(full && e.state == "removed"));
        let servers: Vec<_> = changed.map(|(_, entry)| entry.json()).collect();
        (
            format!(r#"{{"version":{},"full":{full},"servers":[{}]}}"#, list.version, servers.join(",")),
            list.version,
        )
    }

    /// Adds or replaces an entry; open watches get it.
    pub fn set(&self, entry: Entry) {
        let mut list = self.list.0.lock().unwrap();
        list.version += 1;
        let version = list.version;
        self.record.line(format!("discovery: version {version} has {}", entry.json()));
        list.entries.retain(|(_, old)| old.id != entry.id);
        list.entries.push((version, entry));
        self.list.1.notify_all();
    }

    /// While discovery is down, calls get 503 and watches end.
    pub fn set_down(&self, down: bool) -> f64 {
        self.list.0.lock().unwrap().down = down;
        self.list.1.notify_all();
        self.record.line(format!("discovery is {}", if down { "down" } else { "up" }))
    }

    pub fn set_call_ms(&self, ms: u64) {
        self.list.0.lock().unwrap().call_ms = ms;
        self.record.line(format!("discovery: calls are answered after {ms} ms"));
    }

    fn answer(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let mut stream = stream;
        let Some(request) = read_line(&mut reader) else { return };
        while read_line(&mut reader).is_some_and(|line| !line.is_empty()) {}
        self.record.line(format!("discovery: call {request}"));
        let call_ms = self.list.0.lock().unwrap().call_ms;
        sleep_ms(call_ms);
        if self.list.0.lock().unwrap().down {
            let _ = stream.write_all(
                b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\nConnection: close\r\n\r\n",
            );
            self.record.line("discovery: answers 503");
            return;
        }
        let (text, mut version) = Self::object(&self.list.0.lock().unwrap(), 0, true);
        if !request.contains("follow=1") {
            let head =
                format!("HTTP/1.1 200 OK\r\nContent-Length: {}\r\nConnection: close\r\n\r\n", text.len());
            let _ = stream.write_all((head + &text).as_bytes());
            return;
        }
        let head = "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nTransfer-Encoding: chunked\r\n\r\n";
        let chunk = |text: &str| format!("{:x}\r\n{text}\n\r\n", text.len() + 1);
        self.record.line(format!("discovery: watch begins with version {version}"));
        if stream.write_all((head.to_owned() + &chunk(&text)).as_bytes()).is_err() {
            return;
        }
        loop {
            let list = self.list.0.lock().unwrap();
            let known = version;
            let wait = Duration::from_secs(2);
            let (list, _) =
                self.list.1.wait_timeout_while(list, wait, |l| !l.down && l.version == known).unwrap();
            if list.down {
                let _ = stream.shutdown(Shutdown::Both);
                return;
            }
            let text = if list.version == known {
                String::new()
            } else {
                let (text, newest) = Self::object(&list, known, false);
                version = newest;
                text
            };
            drop(list);
            if !text.is_empty() {
                self.record.line(format!("discovery: watch gets version {version}"));
            }
            if stream.write_all(chunk(&text).as_bytes()).is_err() {
                return;
            }
        }
    }
}

// ---- Platform ----

/// The state of the newest build.
#[derive(Clone, Copy)]
pub struct News {
    pub build: u16,
    pub stage: u8,
    pub phase: &'static str,
    pub cap: f64,
    pub since: Instant,
}

impl News {
    pub fn json(&self) -> String {
        format!(
            r#"{{"build":{},"stage":{},"phase":"{}","cap":{},"age_ms":{}}}"#,
            self.build,
            self.stage,
            self.phase,
            self.cap,
            self.since.elapsed().as_millis()
        )
    }
}

#[derive(Clone)]
pub struct Platform {
    pub addr: SocketAddr,
    state: Arc<Mutex<(News, Vec<Arc<Mutex<TcpStream>>>)>>,
    record: Record,
}

impl Platform {
    pub fn start(record: &Record, news: News) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let state = Arc::new(Mutex::new((news, Vec::new())));
        let platform = Platform { addr: listener.local_addr().unwrap(), state, record: record.clone() };
        let handle = platform.clone();
        std::thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let handle = handle.clone();
                std::thread::spawn(move || handle.serve(stream));
            }
        });
        platform
    }

    pub fn news(&self) -> News {
        self.state.lock().unwrap().0
    }

    /// Tells a new state to all subscribers; returns when it was written.
    pub fn tell(&self, news: News) -> f64 {
        let mut state = self.state.lock().unwrap();
        state.0 = news;
        let line = format!("{{\"jsonrpc\":\"2.0\",\"method\":\"progress\",\"params\":{}}}\n", news.json());
        for stream in &state.1 {
            let _ = stream.lock().unwrap().write_all(line.as_bytes());
        }
        self.record.line(format!("platform tells {}", news.json()))
    }

    fn serve(&self, stream: TcpStream) {
        let _ = stream.set_nodelay(true);
        let mut reader = BufReader::new(stream.try_clone().unwrap());
        let stream = Arc::new(Mutex::new(stream));
        let mut line = String::new();
        while {
            line.clear();
            reader.read_line(&mut line).is_ok_and(|count| count > 0)
        } {
            let id: String = line
                .split("\"id\":")
                .nth(1)
                .unwrap_or("0")
                .chars()
                .take_while(char::is_ascii_digit)
                .collect();
            if line.contains("subscribe") {
                let mut state = self.state.lock().unwrap();
                let news = state.0.json();
                let text = format!(
                    "{{\"jsonrpc\":\"2.0\",\"id\":{id},\"result\":true}}\n{{\"jsonrpc\":\"2.0\",\"method\":\"progress\",\"params\":{news}}}\n"
                );
                let _ = stream.lock().unwrap().write_all(text.as_bytes());
                state.1.push(stream.clone());
                let pinged = stream.clone();
                std::thread::spawn(move || loop {
                    sleep_ms(1_000);
                    let ping = b"{\"jsonrpc\":\"2.0\",\"method\":\"ping\"}\n";
                    if pinged.lock().unwrap().write_all(ping).is_err() {
                        return;
                    }
                });
            } else {
                self.record.line(format!("platform gets {}", line.trim()));
                let news = self.news().json();
                let text = format!("{{\"jsonrpc\":\"2.0\",\"id\":{id},\"result\":{news}}}\n");
                let _ = stream.lock().unwrap().write_all(text.as_bytes());
            }
        }
    }
}

// ---- Clients ----

/// The answer of the marshal.
#[derive(Clone, Debug, PartialEq)]
pub enum Answer {
    Served(String),
    Refused,
    Failed(String),
    /// The connection ended, or nothing came for half a second past the client's time.
    None(String),
}

impl Answer {
    /// The answer without its padding.
    pub fn short(&self) -> String {
        match self {
            Answer::Served(value) => format!("Served({:?})", value.trim_end_matches('.')),
            other => format!("{other:?}"),
        }
    }
}

/// A hit as its client saw it.
#[derive(Clone, Debug)]
pub struct Hit {
    pub id: String,
    pub key: String,
    pub sent_at: f64,
    pub answered_at: f64,
    pub answer: Answer,
}

/// Clients that keep their connections and open more when every one is busy.
#[derive(Clone)]
pub struct Clients {
    addr: SocketAddr,
    record: Record,
    idle: Arc<Mutex<Vec<TcpStream>>>,
    next: Arc<AtomicU64>,
    open: Arc<AtomicU64>,
    pub hits: Arc<Mutex<Vec<Hit>>>,
}

impl Clients {
    pub fn new(addr: SocketAddr, record: &Record) -> Self {
        let (idle, next, open, hits) = Default::default();
        Clients { addr, record: record.clone(), idle, next, open, hits }
    }

    /// Sends a hit of this class from a thread of its own.
    pub fn send(&self, class: &str, key: u64, wait_ms: u64) {
        let number = self.next.fetch_add(1, Ordering::SeqCst) + 1;
        let (id, key) = (format!("{number:016x}"), format!("{key:016x}"));
        let (clients, class) = (self.clone(), class.to_owned());
        self.open.fetch_add(1, Ordering::SeqCst);
        std::thread::spawn(move || {
            clients.exchange(&id, &key, &class, wait_ms);
            clients.open.fetch_sub(1, Ordering::SeqCst);
        });
    }

    /// Sends these hits one right after another, each on a connection of its own; each hit is a class, a key and the
    /// time for which the client waits, in milliseconds.
    pub fn send_group(&self, hits: &[(&str, u64, u64)]) {
        let mut prepared = Vec::new();
        for &(class, key, wait_ms) in hits {
            let number = self.next.fetch_add(1, Ordering::SeqCst) + 1;
            let (id, key) = (format!("{number:016x}"), format!("{key:016x}"));
            let kept = self.idle.lock().unwrap().pop();
            let stream = kept.or_else(|| TcpStream::connect(self.addr).ok());
            prepared.push((Self::command(&id, &key, class, wait_ms), id, key, stream, wait_ms));
        }
        // So that connections are up.
        sleep_ms(20);
        let mut sent = Vec::new();
        for (command, id, key, mut stream, wait_ms) in prepared {
            let written = stream.as_mut().is_some_and(|stream| stream.write_all(command.as_bytes()).is_ok());
            sent.push((command, id, key, stream.filter(|_| written), wait_ms, self.record.now()));
        }
        for (command, id, key, stream, wait_ms, sent_at) in sent {
            self.record.line_at(sent_at, format!("client sends {id} key {key}"));
            let clients = self.clone();
            self.open.fetch_add(1, Ordering::SeqCst);
            std::thread::spawn(move || {
                let mut answer =
                    stream.map_or_else(|| Answer::None("write".into()), |s| clients.read_answer(s, wait_ms));
                if matches!(answer, Answer::None(_)) && clients.record.now() - sent_at < 50.0 {
                    clients.record.line(format!("client sends {id} once more on a new connection"));
                    answer = clients.on_connection(None, &command, wait_ms);
                }
                let answered_at = clients.record.line(format!("client of {id} gets {}", answer.short()));
                clients.hits.lock().unwrap().push(Hit { id, key, sent_at, answered_at, answer });
                clients.open.fetch_sub(1, Ordering::SeqCst);
            });
        }
    }

    /// Sends these hits one behind another on a new connection, and reads their answers in that order.
    pub fn send_in_line(&self, hits: &[(&str, u64)], wait_ms: u64) {
        let mut prepared = Vec::new();
        for (class, key) in hits {
            let number = self.next.fetch_add(1, Ordering::SeqCst) + 1;
            let (id, key) = (format!("{number:016x}"), format!("{key:016x}"));
            prepared.push((Self::command(&id, &key, class, wait_ms), id, key));
        }
        let clients = self.clone();
        self.open.fetch_add(1, Ordering::SeqCst);
        std::thread::spawn(move || {
            let mut stream = TcpStream::connect(clients.addr).expect("connect");
            let commands: String = prepared.iter().map(|(command, ..)| command.as_str()).collect();
            let sent_at = clients.record.line(format!(
                "client sends {} hits on one connection, {} to {}",
                prepared.len(),
                prepared[0].1,
                prepared[prepared.len() - 1].1
            ));
            let _ = stream.write_all(commands.as_bytes());
            let mut reader = BufReader::new(stream);
            for (_, id, key) in prepared {
                let answer = Self::read_one(&mut reader, wait_ms);
                let answered_at = clients.record.line(format!("client of {id} gets {}", answer.short()));
                clients.hits.lock().unwrap().push(Hit { id, key, sent_at, answered_at, answer });
            }
            clients.open.fetch_sub(1, Ordering::SeqCst);
        });
    }

    /// Waits until all hits are answered or overdue.
    pub fn finish(&self) {
        let start = Instant::now();
        while self.open.load(Ordering::SeqCst) > 0 && start.elapsed() < Duration::from_secs(15) {
            sleep_ms(10);
        }
        // Idle connections end here: the marshal closes them after some seconds anyway.
        self.idle.lock().unwrap().clear();
    }

    /// A hit's command; the class `read` is repeatable, `push` tagged, and `book` mutating.
    fn command(id: &str, key: &str, class: &str, wait_ms: u64) -> String {
        let tag = if class == "push" { format!(",k={id}") } else { String::new() };
        let attributes = format!("c={class},t=acme,d={wait_ms}{tag}");
        let mut words = vec!["SVC.SUBMIT", key, id, &attributes, "BODY"];
        if class == "read" {
            words[0] = "SVC.QUERY";
            words.pop();
        }
        std::iter::once(format!("*{}\r\n", words.len()))
            .chain(words.iter().map(|word| format!("${}\r\n{word}\r\n", word.len())))
            .collect()
    }

    fn exchange(&self, id: &str, key: &str, class: &str, wait_ms: u64) {
        let command = Self::command(id, key, class, wait_ms);
        let kept = self.idle.lock().unwrap().pop();
        let was_kept = kept.is_some();
        let sent_at = self.record.line(format!("client sends {id} key {key}"));
        let mut answer = self.on_connection(kept, &command, wait_ms);
        if was_kept && matches!(answer, Answer::None(_)) && self.record.now() - sent_at < 50.0 {
            // The marshal closed a resting connection: the request is sent once more on a new one.
            self.record.line(format!("client sends {id} once more on a new connection"));
            answer = self.on_connection(None, &command, wait_ms);
        }
        let answered_at = self.record.line(format!("client of {id} gets {}", answer.short()));
        let (id, key) = (id.to_owned(), key.to_owned());
        self.hits.lock().unwrap().push(Hit { id, key, sent_at, answered_at, answer });
    }

    fn on_connection(&self, kept: Option<TcpStream>, command: &str, wait_ms: u64) -> Answer {
        let mut stream = match kept.map_or_else(|| TcpStream::connect(self.addr), Ok) {
            Ok(stream) => stream,
            Err(e) => return Answer::None(format!("connect: {e}")),
        };
        let _ = stream.set_nodelay(true);
        match stream.write_all(command.as_bytes()) {
            Ok(()) => self.read_answer(stream, wait_ms),
            Err(e) => Answer::None(format!("write: {e}")),
        }
    }

    /// Reads an answer, for half a second longer than the client's time; the connection is kept.
    fn read_answer(&self, stream: TcpStream, wait_ms: u64) -> Answer {
        let mut reader = BufReader::new(stream);
        let answer = Self::read_one(&mut reader, wait_ms);
        if !matches!(answer, Answer::None(_)) {
            self.idle.lock().unwrap().push(reader.into_inner());
        }
        answer
    }

    fn read_one(reader: &mut BufReader<TcpStream>, wait_ms: u64) -> Answer {
        let _ = reader.get_ref().set_read_timeout(Some(Duration::from_millis(wait_ms + 500)));
        let mut line = String::new();
        match reader.read_line(&mut line) {
            Ok(count) if count > 0 => {}
            Ok(_) => return Answer::None("the connection ended".into()),
            Err(e) => return Answer::None(format!("read: {e}")),
        }
        match line.strip_prefix('$').and_then(|n| n.trim_end().parse::<usize>().ok()) {
            Some(length) => {
                let mut data = vec![0; length + 2];
                if let Err(e) = reader.read_exact(&mut data) {
                    return Answer::None(format!("read: {e}"));
                }
                data.truncate(length);
                Answer::Served(String::from_utf8_lossy(&data).into_owned())
            }
            None if line.starts_with("-BUSY") => Answer::Refused,
            None => Answer::Failed(line.trim_end().to_owned()),
        }
    }
}

// ---- The marshal ----

/// A marshal, started by the command of the deploy file.
pub struct Marshal {
    pub addr: SocketAddr,
    folder: PathBuf,
    child: Child,
}

/// The settings of a small deployment, in the form of the simulator's first message.
pub fn settings(edits: &[(&str, &str)]) -> String {
    let mut text = r#"{"azs":["a","b"],"classes":[
 {"name":"read","effect":"retryable","aim_ns":1200000000,"deadline_ns":3000000000,"dedup_scope":"all","late_share":0.0,"memory_span_ns":5000000000,"streaming":false,"worth":1.0},
 {"name":"push","effect":"dedup","aim_ns":1200000000,"deadline_ns":3000000000,"dedup_scope":"all","late_share":0.0,"memory_span_ns":3000000000,"streaming":false,"worth":3.0},
 {"name":"book","effect":"fragile","aim_ns":600000000,"deadline_ns":2500000000,"dedup_scope":"all","late_share":0.0,"memory_span_ns":5000000000,"streaming":false,"worth":5.0}],
"clients":{"marks_retry":false},"family":"rollout","flavors":["m"],"layers":["fleet"],
"limits":{"attempts_cap":6,"cancelling":true,"connect_timeout_ns":250000000,"cpu_us_per_request":0.0,"cpu_us_per_s":500000,"keepalive_ns":15000000000,"max_open":20000,"max_retry_after_ns":500000000,"multiplex":100,"peer_messages":false,"probing":false,"retry_after":true,"second_copies":true},
"me":0,"membership_mode":"ask","over_share_worth":0.05,
"prices":{"cross_zone":0.02,"late_fail":0.05,"membership_mode":0.02,"waste":0.03},
"realms":[{"name":"acme","quota_per_s":300.0,"share":1.0}],
"report":{"columns":["rif"],"via":"off"},
"rules":{"answer_slack_ns":20000000,"ask_within_ns":10000000000,"cold_from":0.35,"fall_multiple":2.0,"fall_ns":3000000000,"stop_sending_within_ns":1000000000,"warm_up_ns":3400000000},
"siblings":1,
"specifics":{"allowance":1.0,"bake_ns":1500000000,"behind_price":0.55,"call_timeout_ns":2000000000,"calls_per_s":25.0,"closed_stages":0,"counts":"all","exposure_window_ns":2000000000,"gate_mode":"automatic","harm_price":3.0,"layout":"replace","most_shares":[0.12,0.42,1.0],"news_period_ns":6000000000,"no_return":false,"noes_needed":1,"reported_share":0.3,"sample":0.0,"stage_share":[0.1,0.35,1.0],"stage_time_ns":4000000000,"sums_every_ns":0,"to_advance":0,"vote_stands_ns":4000000000,"votes_to_hold":1,"warm_keys":false},
"stage":0,"tick_ns":5000000,"weights":"off","worth_by":"request","zone":0}"#
        .replace('\n', "");
    for (from, to) in edits {
        assert!(text.contains(from), "settings have no {from}");
        text = text.replace(from, to);
    }
    text
}

impl Marshal {
    /// Starts a marshal as `try_start` does; at another free port if one was taken meanwhile.
    pub fn start(
        record: &Record, listen: Option<SocketAddr>, discovery: &Discovery, platform: &Platform, known: &str,
        settings: &str, limits: (usize, usize),
    ) -> Result<Self, String> {
        let attempt = || Self::try_start(record, listen, discovery, platform, known, settings, limits);
        attempt().or_else(|_| attempt()).or_else(|_| attempt())
    }

    /// Starts a marshal at `listen`, or at a free port, with these limits of memory in MiB and of sockets, and waits for its first `+PONG`.
    fn try_start(
        record: &Record, listen: Option<SocketAddr>, discovery: &Discovery, platform: &Platform, known: &str,
        settings: &str, limits: (usize, usize),
    ) -> Result<Self, String> {
        static NUMBER: AtomicU64 = AtomicU64::new(0);
        let number = NUMBER.fetch_add(1, Ordering::SeqCst);
        let folder = std::env::temp_dir().join(format!("stonescale-review-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder).map_err(|e| e.to_string())?;
        let free = || TcpListener::bind("127.0.0.1:0").and_then(|l| l.local_addr());
        let addr = listen.map_or_else(free, Ok).map_err(|e| e.to_string())?;
        let config = format!(
            r#"{{"name":"n0","listen":"{addr}","discovery":"{}","seed":"{:016x}","limits":{{"cores":1.0,"memory_mb":{},"sockets":{}}},"platform":{{"address":"{}","news":{}}},"known":{known},"settings":{settings}}}"#,
            discovery.addr,
            unix_ms().wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ number,
            limits.0,
            limits.1,
            platform.addr,
            platform.news().json()
        );
        let path = folder.join("config.json");
        std::fs::write(&path, config).map_err(|e| e.to_string())?;
        let log = std::fs::File::create(folder.join("log.txt")).map_err(|e| e.to_string())?;
        let run = std::env::var("RUN_COMMAND").map_err(|_| "RUN_COMMAND is not set")?;
        let child = Command::new("/bin/sh")
            .args(["-c", &run])
            .env("NODE_CONFIG", &path)
            .env("NODE_NAME", "n0")
            .env("NODE_LISTEN", addr.to_string())
            .env("NODE_DISCOVERY", discovery.addr.to_string())
            .env("TMPDIR", &folder)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log)
            .spawn()
            .map_err(|e| e.to_string())?;
        CHILDREN.lock().unwrap().push(child.id());
        record.line(format!("marshal started at {addr}"));
        let mut marshal = Marshal { addr, folder, child };
        let start = Instant::now();
        while start.elapsed() < Duration::from_secs(10) && marshal.is_running() {
            if marshal.answers_ping() {
                record.line("marshal answered PING");
                return Ok(marshal);
            }
            sleep_ms(20);
        }
        Err("the marshal did not answer PING".into())
    }

    fn answers_ping(&self) -> bool {
        let Ok(mut stream) = TcpStream::connect(self.addr) else { return false };
        let _ = stream.set_read_timeout(Some(Duration::from_secs(2)));
        let mut answer = [0; 7];
        stream.write_all(b"*1\r\n$4\r\nPING\r\n").is_ok()
            && stream.read_exact(&mut answer).is_ok()
            && &answer == b"+PONG\r\n"
    }

    /// Whether the process still runs.
    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_none())
    }
}

/// Ids of the processes started.
pub static CHILDREN: Mutex<Vec<u32>> = Mutex::new(Vec::new());

impl Drop for Marshal {
    fn drop(&mut self) {
        if let Ok(path) = std::env::var("KEEP_LOG") {
            let _ = std::process::Command::new("kill").args(["-USR1", &self.child.id().to_string()]).status();
            sleep_ms(300);
            let _ = std::fs::copy(self.folder.join("log.txt"), path);
        }
        let _ = self.child.kill();
        let _ = self.child.wait();
        CHILDREN.lock().unwrap().retain(|id| *id != self.child.id());
        let _ = std::fs::remove_dir_all(&self.folder);
    }
}
