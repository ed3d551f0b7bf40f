//! Discovery: the whole list, and watches on its changes, over HTTP/1.1.

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

/// An empty line comes so often where nothing changes.
const HEARTBEAT_INTERVAL: Duration = Duration::from_secs(2);

/// A node as it is listed.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    pub id: String,
    pub addr: SocketAddr,
    pub zone: String,
    /// `up`, `draining` or `removed`.
    pub state: String,
    pub build: u16,
    /// Unix time in milliseconds; zero for a long time back.
    pub started_ms: u64,
}

impl Entry {
    pub fn up(id: &str, addr: SocketAddr, build: u16) -> Self {
        Entry { id: id.into(), addr, zone: "a".into(), state: "up".into(), build, started_ms: 0 }
    }

    pub fn to_json(&self) -> Value {
        json!({"id": self.id, "addr": self.addr, "zone": self.zone, "kind": "m", "cell": 0, "state": self.state,
            "weight": 1.0, "started_ms": self.started_ms, "image_id": self.build})
    }
}

#[derive(Default)]
struct Inner {
    version: u64,
    entries: BTreeMap<String, (u64, Entry)>,
    watches: Vec<Sender<String>>,
    /// Watches end at once, and calls fail.
    down: bool,
    /// Calls are taken, and nothing is said but what is listed from then on.
    silent: bool,
}

/// A handle to discovery; clones are the same.
#[derive(Clone)]
pub struct Discovery {
    pub addr: SocketAddr,
    inner: Arc<Mutex<Inner>>,
    clock: Clock,
    books: SharedChecker,
    path_sender: Sender<String>,
    /// The paths asked for.
    pub requested_paths: Receiver<String>,
}

impl Discovery {
    pub fn start(stage: &Runtime, books: SharedChecker) -> Self {
        let (listener, addr) = stage.listen();
        let (path_sender, requested_paths) = async_channel::bounded(1024);
        let inner = Arc::new(Mutex::new(Inner { version: 1, ..Inner::default() }));
        let discovery = Discovery { addr, inner, clock: stage.clock, books, path_sender, requested_paths };
        stage.spawn(discovery.clone().accept(stage.executor(), listener));
        discovery
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Lists entries, and tells the watches.
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

    /// Changes entries that are listed already, by their ids.
    pub fn update(&self, ids: &[String], change: impl Fn(&mut Entry)) {
        let known: Vec<Entry> =
            self.lock().entries.values().map(|(_, e)| e).filter(|e| ids.contains(&e.id)).cloned().collect();
        self.publish(known.into_iter().map(|mut entry| {
            change(&mut entry);
            entry
        }));
    }

    fn inform_checker(&self, entries: &[Entry]) {
        let now = self.clock.now();
        let mut books = self.books.lock();
        entries.iter().for_each(|e| books.node_reported(&e.id, e.build, e.state != "up", now));
    }

    /// Sends a line as it stands on all watches, or ends them where there is none.
    pub fn send_raw(&self, line: Option<String>) {
        let mut inner = self.lock();
        match line {
            Some(line) => inner.watches.retain(|watch| watch.try_send(line.clone()).is_ok()),
            None => inner.watches.clear(),
        }
    }

    /// Goes down or comes up: while down, watches end and calls fail.
    pub fn set_down(&self, down: bool) {
        let mut inner = self.lock();
        inner.down = down;
        if down {
            inner.watches.clear();
        }
    }

    /// Neither tells a new watch how things stand nor gives signs of life.
    pub fn set_silent(&self, silent: bool) {
        self.lock().silent = silent;
    }

    pub fn watch_count(&self) -> usize {
        self.lock().watches.iter().filter(|w| !w.is_closed()).count()
    }

    /// The whole list.
    pub fn full_list(&self) -> Value {
        self.list_since(None)
    }

    fn list_since(&self, since: Option<u64>) -> Value {
        let inner = self.lock();
        let full = since.is_none_or(|since| since > inner.version);
        let fits = |(at, e): &&(u64, Entry)| if full { e.state != "removed" } else { Some(*at) > since };
        let servers: Vec<_> = inner.entries.values().filter(fits).map(|(_, e)| e.to_json()).collect();
        json!({"version": inner.version, "full": full, "servers": servers})
    }

    async fn accept(self, tasks: Arc<async_executor::Executor<'static>>, listener: Listener) {
        loop {
            let Ok((stream, _)) = listener.accept().await else { continue };
            let discovery = self.clone();
            tasks.spawn(async move { drop(discovery.serve(stream).await) }).detach();
        }
    }

    async fn serve(&self, mut stream: Stream) -> std::io::Result<()> {
        let mut head = Vec::new();
        let mut byte = [0; 1024];
        while !head.ends_with(b"\r\n\r\n") {
            let n = stream.read(&mut byte).await?;
            if n == 0 || head.len() > 8192 {
                return Ok(());
            }
            head.extend_from_slice(&byte[..n]);
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
        let (send, lines) = async_channel::bounded(4096);
        let first = self.list_since(since);
        self.lock().watches.push(send);
        if !self.lock().silent {
            stream.write_all(&chunk(&first.to_string())).await?;
        }
        loop {
            let next = async { Some(lines.recv().await) };
            let beat = async {
                Timer::after(HEARTBEAT_INTERVAL).await;
                None
            };
            let line = match or(next, beat).await {
                Some(Ok(line)) => line,
                // It is ended: without the last chunk, as when discovery goes down.
                Some(Err(_)) => return Ok(()),
                None if self.lock().silent => continue,
                None => String::new(),
            };
            stream.write_all(&chunk(&line)).await?;
        }
    }
}
