//! Stand-in for discovery: the full list of nodes, and watches of its changes, over HTTP/1.1. It can go down in several
//! ways, and works through calls in turn.

use crate::checker::SharedChecker;
use crate::runtime::{Clock, Listener, ReservedPort, Runtime, Stream, listen_at, wait_until};
use async_channel::{Receiver, Sender};
use async_executor::{Executor, Task};
use async_io::Timer;
use futures_lite::future::or;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use rustix::net::sockopt::{set_socket_linger, set_socket_reuseaddr};
use rustix::net::{AddressFamily, SocketFlags, SocketType};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::os::fd::OwnedFd;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Interval of the empty lines on a watch without changes.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);
/// More connections than fit into the queue of a listener with the shortest one.
const QUEUE_FILLERS: usize = 4;
/// Time within which the reserved port must be free for another listener.
const LISTEN_TIMEOUT: Duration = Duration::from_secs(5);
/// Interval at which a call looks whether discovery hangs still.
const HANG_POLL_INTERVAL: Duration = Duration::from_millis(2);

/// A node in the list.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// Id by which the marshal and the checker know the node.
    pub id: String,
    /// Address at which the node accepts connections.
    pub addr: SocketAddr,
    /// Name of the zone, one of `azs` in the settings.
    pub zone: String,
    /// `up`, `draining` or `removed`.
    pub state: String,
    /// Build that the node runs, `image_id` on the wire.
    pub build: u16,
    /// Unix time in milliseconds; 0 if the node started long ago.
    pub started_ms: u64,
}

impl Entry {
    /// A node that is up and started long ago, in zone `a`.
    pub fn up(id: &str, addr: SocketAddr, build: u16) -> Self {
        Entry { id: id.into(), addr, zone: "a".into(), state: "up".into(), build, started_ms: 0 }
    }

    /// The node as an element of `servers`.
    pub fn to_json(&self) -> Value {
        json!({"id": self.id, "addr": self.addr, "zone": self.zone, "kind": "m", "cell": 0, "state": self.state,
            "weight": 1.0, "started_ms": self.started_ms, "image_id": self.build})
    }
}

/// What calls meet while discovery is down. Watches end when it goes down.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outage {
    /// Each call gets the status 503.
    Unavailable,
    /// Connections are accepted, and reset at once.
    Reset,
    /// Nothing listens at the port.
    Refused,
    /// Watches stay open but silent, also afterwards; calls are accepted, and get their answer when discovery is back.
    Hanging,
    /// Watches stay open but silent, also afterwards; connections do not come up.
    Unreachable,
}

#[derive(Default)]
struct Inner {
    version: u64,
    /// Entries by id, each with the version in which it changed last.
    entries: BTreeMap<String, (u64, Entry)>,
    watches: Vec<Sender<String>>,
    /// Watches that stay open and get nothing any more.
    silent_watches: Vec<Sender<String>>,
    /// Watches begun so far, and how many of them are silent.
    watches_begun: usize,
    watches_silenced: usize,
    /// Connections that fill the queue of a listener which accepts none.
    queue_fillers: Vec<OwnedFd>,
    outage: Option<Outage>,
    /// Accepts connections; none while the port refuses them.
    accepting: Option<Task<()>>,
    /// Lists come indented over several lines.
    indented: bool,
    /// Number of connections accepted.
    calls: usize,
    /// Time that discovery works on one call.
    service_time: Duration,
    /// When it will have worked through the calls that wait.
    busy_until: Option<Instant>,
    /// While set, requests are accepted, but only changes published afterwards are sent.
    silent: bool,
}

impl Inner {
    fn format(&self, list: &Value) -> String {
        if self.indented { format!("{list:#}") } else { list.to_string() }
    }

    fn silence_watches(&mut self) {
        let watches = std::mem::take(&mut self.watches);
        self.silent_watches.extend(watches);
        self.watches_silenced = self.watches_begun;
    }
}

/// Listens at the address with a queue that is full, so that the system answers no further attempt to connect.
fn full_listener(addr: SocketAddr) -> std::io::Result<Vec<OwnedFd>> {
    let listener = rustix::net::socket(AddressFamily::INET, SocketType::STREAM, None)?;
    set_socket_reuseaddr(&listener, true)?;
    rustix::net::bind(&listener, &addr)?;
    rustix::net::listen(&listener, 0)?;
    let mut sockets = vec![listener];
    for _ in 0..QUEUE_FILLERS {
        let flags = SocketFlags::NONBLOCK;
        let filler = rustix::net::socket_with(AddressFamily::INET, SocketType::STREAM, flags, None)?;
        // It is under way, or does not come up either.
        let _ = rustix::net::connect(&filler, &addr);
        sockets.push(filler);
    }
    Ok(sockets)
}

/// Handle to discovery; clones refer to the same stand-in.
#[derive(Clone)]
pub struct Discovery {
    /// Loopback address at which discovery accepts connections.
    pub addr: SocketAddr,
    inner: Arc<Mutex<Inner>>,
    /// Keeps the port while nothing listens there.
    _port: Arc<ReservedPort>,
    executor: Arc<Executor<'static>>,
    clock: Clock,
    checker: SharedChecker,
    path_sender: Sender<String>,
    /// The paths requested.
    pub requested_paths: Receiver<String>,
}

impl Discovery {
    /// Starts discovery on a free port of the loopback address, with an empty list.
    pub fn start(runtime: &Runtime, checker: SharedChecker) -> Self {
        let port = ReservedPort::new().expect("a loopback port");
        let (path_sender, requested_paths) = async_channel::bounded(1024);
        let inner = Arc::new(Mutex::new(Inner { version: 1, ..Inner::default() }));
        let discovery = Discovery {
            addr: port.addr,
            inner,
            _port: Arc::new(port),
            executor: runtime.executor(),
            clock: runtime.clock,
            checker,
            path_sender,
            requested_paths,
        };
        discovery.start_accepting();
        discovery
    }

    /// Listens at the port, unless it is done already.
    fn start_accepting(&self) {
        let mut inner = self.lock();
        if inner.accepting.is_none() {
            let (listener, _) = listen_at(self.addr).expect("the reserved port");
            inner.accepting = Some(self.executor.spawn(self.clone().accept(listener)));
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Adds or replaces entries, and sends them to all watches.
    pub fn publish(&self, entries: impl IntoIterator<Item = Entry>) {
        let mut inner = self.lock();
        inner.version += 1;
        let version = inner.version;
        let entries: Vec<_> = entries.into_iter().collect();
        let servers: Vec<_> = entries.iter().map(Entry::to_json).collect();
        self.inform_checker(&entries);
        for entry in entries {
            inner.entries.insert(entry.id.clone(), (version, entry));
        }
        let line = inner.format(&json!({"version": version, "full": false, "servers": servers}));
        inner.watches.retain(|watch| watch.try_send(line.clone()).is_ok());
    }

    /// Changes entries that are already listed, by id.
    pub fn update(&self, ids: &[String], change: impl Fn(&mut Entry)) {
        let listed: Vec<Entry> =
            self.lock().entries.values().map(|(_, e)| e).filter(|e| ids.contains(&e.id)).cloned().collect();
        self.publish(listed.into_iter().map(|mut entry| {
            change(&mut entry);
            entry
        }));
    }

    /// Passes the states that the marshal receives on to the checker.
    fn inform_checker(&self, entries: &[Entry]) {
        let now = self.clock.now();
        let mut checker = self.checker.lock();
        entries.iter().for_each(|e| checker.node_reported(&e.id, e.build, e.state != "up", now));
    }

    /// Sends a line unchanged to all watches; `None` ends them.
    pub fn send_raw(&self, line: Option<String>) {
        let mut inner = self.lock();
        match line {
            Some(line) => inner.watches.retain(|watch| watch.try_send(line.clone()).is_ok()),
            None => inner.watches.clear(),
        }
    }

    /// While discovery is down, watches end and calls get the status 503.
    pub fn set_down(&self, down: bool) {
        self.set_outage(down.then_some(Outage::Unavailable));
    }

    /// Takes discovery down in this way, or brings it back.
    pub fn set_outage(&self, outage: Option<Outage>) {
        let mut inner = self.lock();
        inner.outage = outage;
        inner.queue_fillers.clear();
        match outage {
            None => {}
            Some(Outage::Hanging | Outage::Unreachable) => inner.silence_watches(),
            Some(_) => inner.watches.clear(),
        }
        let accepts = !matches!(outage, Some(Outage::Refused | Outage::Unreachable));
        // Dropped after the lock is released, with its listener.
        let not_accepting = (!accepts).then(|| inner.accepting.take());
        drop(inner);
        drop(not_accepting);
        if accepts {
            self.start_accepting();
        } else if outage == Some(Outage::Unreachable) {
            // The former listener is closed on the executor's thread.
            let mut fillers = Vec::new();
            let is_listening = || {
                full_listener(self.addr)
                    .is_ok_and(|sockets| std::mem::replace(&mut fillers, sockets).is_empty())
            };
            assert!(wait_until(LISTEN_TIMEOUT, is_listening), "the reserved port is in use");
            self.lock().queue_fillers = fillers;
        }
    }

    /// All open watches fall silent, and stay open.
    pub fn silence_watches(&self) {
        self.lock().silence_watches();
    }

    /// Lists come indented over several lines from now on.
    pub fn set_indented(&self, indented: bool) {
        self.lock().indented = indented;
    }

    /// Time that discovery works on each call from now on; calls wait in turn.
    pub fn set_service_time(&self, service_time: Duration) {
        self.lock().service_time = service_time;
    }

    /// Number of connections accepted so far.
    pub fn call_count(&self) -> usize {
        self.lock().calls
    }

    /// While silent, a new watch gets neither the current list nor empty lines.
    pub fn set_silent(&self, silent: bool) {
        self.lock().silent = silent;
    }

    /// Number of open watches.
    pub fn watch_count(&self) -> usize {
        self.lock().watches.iter().filter(|watch| !watch.is_closed()).count()
    }

    /// The full list.
    pub fn full_list(&self) -> Value {
        self.list_since(None)
    }

    /// Entries changed after the version `since`, or the full list if it is none or later than the current version.
    fn list_since(&self, since: Option<u64>) -> Value {
        let inner = self.lock();
        let full = since.is_none_or(|since| since > inner.version);
        let is_selected = |(changed_in, e): &&(u64, Entry)| {
            if full { e.state != "removed" } else { Some(*changed_in) > since }
        };
        let servers: Vec<_> = inner.entries.values().filter(is_selected).map(|(_, e)| e.to_json()).collect();
        json!({"version": inner.version, "full": full, "servers": servers})
    }

    async fn accept(self, listener: Listener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            let discovery = self.clone();
            self.executor.spawn(async move { drop(discovery.serve(stream).await) }).detach();
        }
    }

    /// Time at which a call that comes now has had its turn.
    fn next_turn(&self) -> Instant {
        let mut inner = self.lock();
        let now = Instant::now();
        let done = inner.busy_until.map_or(now, |busy| busy.max(now)) + inner.service_time;
        inner.busy_until = Some(done);
        done
    }

    async fn serve(&self, mut stream: Stream) -> std::io::Result<()> {
        self.lock().calls += 1;
        if self.lock().outage == Some(Outage::Reset) {
            set_socket_linger(stream.get_ref(), Some(Duration::ZERO))?;
            return Ok(());
        }
        let mut head = Vec::new();
        let mut scratch = [0; 1024];
        while !head.ends_with(b"\r\n\r\n") {
            let count = stream.read(&mut scratch).await?;
            if count == 0 || head.len() > 8192 {
                return Ok(());
            }
            head.extend_from_slice(&scratch[..count]);
        }
        let head = String::from_utf8_lossy(&head).into_owned();
        let path = head.split(' ').nth(1).unwrap_or_default().to_owned();
        let _ = self.path_sender.try_send(path.clone());
        Timer::at(self.next_turn()).await;
        while self.lock().outage == Some(Outage::Hanging) {
            Timer::after(HANG_POLL_INTERVAL).await;
        }
        if self.lock().outage.is_some() {
            return stream.write_all(b"HTTP/1.1 503 Service Unavailable\r\nContent-Length: 0\r\n\r\n").await;
        }
        stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").await?;
        let chunk = |text: &str| format!("{:x}\r\n{text}\n\r\n", text.len() + 1).into_bytes();
        if !path.contains("follow=1") {
            stream.write_all(&chunk(&self.full_list().to_string())).await?;
            return stream.write_all(b"0\r\n\r\n").await;
        }
        let since = path.split("since=").nth(1).and_then(|v| v.split('&').next()?.parse().ok());
        let (line_sender, lines) = async_channel::bounded(4096);
        let initial_list = self.list_since(since);
        let watch_number = {
            let mut inner = self.lock();
            inner.watches.push(line_sender);
            inner.watches_begun += 1;
            inner.watches_begun
        };
        if !self.lock().silent {
            let text = self.lock().format(&initial_list);
            stream.write_all(&chunk(&text)).await?;
        }
        loop {
            let next = async { Some(lines.recv().await) };
            let heartbeat = async {
                Timer::after(HEARTBEAT_INTERVAL).await;
                None
            };
            let line = match or(next, heartbeat).await {
                Some(Ok(line)) => line,
                // The watch was ended: no last chunk is sent, as if discovery had gone down.
                Some(Err(_)) => return Ok(()),
                None if self.lock().silent || watch_number <= self.lock().watches_silenced => continue,
                None => String::new(),
            };
            stream.write_all(&chunk(&line)).await?;
        }
    }
}
