//! Stand-in for discovery: the full list of nodes, and watches of its changes, over HTTP/1.1.

use crate::checker::SharedChecker;
use crate::runtime::{Clock, Listener, Runtime, Stream};
use async_channel::{Receiver, Sender};
use async_io::Timer;
use futures_lite::future::or;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use serde_json::{Value, json};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

/// Interval of the empty lines on a watch without changes.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);

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

#[derive(Default)]
struct Inner {
    version: u64,
    /// Entries by id, each with the version in which it changed last.
    entries: BTreeMap<String, (u64, Entry)>,
    watches: Vec<Sender<String>>,
    /// While set, watches end at once, and requests fail.
    down: bool,
    /// While set, requests are accepted, but only changes published afterwards are sent.
    silent: bool,
}

/// Handle to discovery; clones refer to the same stand-in.
#[derive(Clone)]
pub struct Discovery {
    /// Loopback address at which discovery accepts connections.
    pub addr: SocketAddr,
    inner: Arc<Mutex<Inner>>,
    clock: Clock,
    checker: SharedChecker,
    path_sender: Sender<String>,
    /// The paths requested.
    pub requested_paths: Receiver<String>,
}

impl Discovery {
    /// Starts discovery on a free port of the loopback address, with an empty list.
    pub fn start(runtime: &Runtime, checker: SharedChecker) -> Self {
        let (listener, addr) = runtime.listen();
        let (path_sender, requested_paths) = async_channel::bounded(1024);
        let inner = Arc::new(Mutex::new(Inner { version: 1, ..Inner::default() }));
        let discovery =
            Discovery { addr, inner, clock: runtime.clock, checker, path_sender, requested_paths };
        runtime.spawn(discovery.clone().accept(runtime.executor(), listener));
        discovery
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
        let line = json!({"version": version, "full": false, "servers": servers}).to_string();
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

    /// While discovery is down, watches end and requests fail.
    pub fn set_down(&self, down: bool) {
        let mut inner = self.lock();
        inner.down = down;
        if down {
            inner.watches.clear();
        }
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

    async fn accept(self, executor: Arc<async_executor::Executor<'static>>, listener: Listener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            let discovery = self.clone();
            executor.spawn(async move { drop(discovery.serve(stream).await) }).detach();
        }
    }

    async fn serve(&self, mut stream: Stream) -> std::io::Result<()> {
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
        if self.lock().down {
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
        self.lock().watches.push(line_sender);
        if !self.lock().silent {
            stream.write_all(&chunk(&initial_list.to_string())).await?;
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
                None if self.lock().silent => continue,
                None => String::new(),
            };
            stream.write_all(&chunk(&line)).await?;
        }
    }
}
