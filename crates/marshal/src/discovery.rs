//! Discovery: the whole list and the watch on its changes, over HTTP/1.1. When to ask is up to the module;
//! every failure is told to it.

use crate::inbox::{Entry, Inbox, News};
use crate::reactor::Async;
use crate::turn::{Signal, Turn, connect, read_some, turn};
use async_executor::{LocalExecutor, Task};
use log::info;
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};
use stonescale::host::{Listing, Place, Readiness};
use stonescale::time::Time;
use stonescale_formats::chunked::Response;
use stonescale_formats::lines::Lines;
use stonescale_site::Names;

/// An empty line comes every 2 s, by the protocol page: after two without one, nothing will come.
const SILENCE: Duration = Duration::from_millis(4_000);
const UP_WITHIN: Duration = Duration::from_millis(1_000);
/// Longest line: a list of thousands of nodes.
const LINE: usize = 1 << 20;

pub struct Discovery {
    addr: Cell<SocketAddr>,
    places: Rc<Places>,
    inbox: Rc<Inbox>,
    tasks: Rc<LocalExecutor<'static>>,
    /// Version of the list held.
    version: Rc<Cell<Option<u64>>>,
    watch: RefCell<Option<Task<()>>>,
    fetch: RefCell<Option<Task<()>>>,
    /// The watch at the address before, until something comes from the present one.
    before: Rc<RefCell<Option<Task<()>>>>,
    /// Number of the newest call: a failure of any other is not told.
    newest: Rc<Cell<u64>>,
}

/// The names of zones and kinds, to read entries by.
pub struct Places {
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
}

impl Places {
    pub fn of(names: &Names) -> Self {
        Places { zones: names.zones.clone(), kinds: names.kinds.clone() }
    }

    /// One entry; an error says what is wrong with it.
    fn entry(&self, told: &Value) -> Result<Entry, String> {
        let text = |key: &str| told.get(key).and_then(Value::as_str).ok_or(format!("{key} is not a text"));
        let number = |key: &str| told.get(key).and_then(Value::as_f64);
        let at = |names: &[String], name: &str| names.iter().position(|n| n == name);
        let addr = text("addr")?.parse().map_err(|_| "addr is not an address and a port")?;
        let readiness = match text("state")? {
            "up" => Readiness::Ready,
            "draining" => Readiness::Draining,
            "removed" => Readiness::Gone,
            other => return Err(format!("state '{other}' is unknown")),
        };
        // A place of an unknown name is like no other.
        let place = Place {
            zone: at(&self.zones, text("zone")?).map_or(u8::MAX, |at| at as u8),
            kind: at(&self.kinds, text("kind")?).unwrap_or(self.kinds.len()) as u16,
            cell: number("cell").unwrap_or(0.0) as u16,
            weight: number("weight").unwrap_or(1.0) as f32,
        };
        let build =
            number("image_id").filter(|b| (0.0..65536.0).contains(b)).ok_or("image_id is no build")?;
        let started = told.get("started_ms").and_then(Value::as_u64).unwrap_or(0);
        let started = Time::at(started.saturating_mul(1_000_000));
        Ok((text("id")?.to_owned(), addr, place, readiness, build as u16, started))
    }

    /// Version, whether it is the whole list, and the entries of one list object.
    pub fn list(&self, told: &Value) -> Result<(u64, bool, Vec<Entry>), String> {
        let version = told.get("version").and_then(Value::as_u64).ok_or("version is not a number")?;
        let full = told.get("full").and_then(Value::as_bool).ok_or("full is not true or false")?;
        let servers = told.get("servers").and_then(Value::as_array).ok_or("servers is not a list")?;
        // A line is true as a whole or not at all: with an entry passed over, a drain could be missed for ever.
        let entries: Result<Vec<_>, _> = servers.iter().map(|server| self.entry(server)).collect();
        Ok((version, full, entries?))
    }
}

impl Discovery {
    pub fn new(
        addr: SocketAddr, places: Rc<Places>, inbox: Rc<Inbox>, tasks: Rc<LocalExecutor<'static>>,
        version: Option<u64>,
    ) -> Self {
        let version = Rc::new(Cell::new(version));
        let (watch, fetch, before) = (RefCell::default(), RefCell::default(), Rc::default());
        let (addr, newest) = (Cell::new(addr), Rc::default());
        Discovery { addr, places, inbox, tasks, version, watch, fetch, before, newest }
    }

    /// From now on discovery is at `addr`. The watch that stands goes on until something comes from there, so
    /// that no drain falls into a gap.
    pub fn at(&self, addr: SocketAddr) {
        self.addr.set(addr);
        if let Some(watch) = self.watch.take() {
            // Of several moves in a row, the oldest watch is the one that stands for sure.
            self.before.borrow_mut().get_or_insert(watch);
            self.watch(true);
        }
    }

    /// Opens a watch in place of any other, or ends it.
    pub fn watch(&self, on: bool) {
        // What runs is ended first: two watches would tell things twice.
        self.watch.take();
        if on {
            let since = self.version.get().map_or(String::new(), |v| format!("&since={v}"));
            let call = self.call(format!("/v1/endpoints?follow=1{since}"));
            *self.watch.borrow_mut() = Some(self.tasks.spawn(call.run()));
        }
    }

    pub fn fetch(&self) {
        let call = self.call("/v1/endpoints".into());
        *self.fetch.borrow_mut() = Some(self.tasks.spawn(call.run()));
    }

    fn call(&self, path: String) -> Call {
        let (places, inbox, version) = (self.places.clone(), self.inbox.clone(), self.version.clone());
        let (before, newest) = (self.before.clone(), self.newest.clone());
        let number = newest.get() + 1;
        newest.set(number);
        Call { addr: self.addr.get(), path, number, places, inbox, version, before, newest }
    }
}

struct Call {
    addr: SocketAddr,
    path: String,
    number: u64,
    places: Rc<Places>,
    inbox: Rc<Inbox>,
    version: Rc<Cell<Option<u64>>>,
    before: Rc<RefCell<Option<Task<()>>>>,
    newest: Rc<Cell<u64>>,
}

impl Call {
    async fn run(self) {
        if let Err(why) = self.read().await {
            info!("discovery: {why}");
            if self.newest() {
                self.inbox.news(News::ListFailed);
            }
        }
    }

    fn newest(&self) -> bool {
        self.newest.get() == self.number
    }

    async fn read(&self) -> Result<(), String> {
        let stream = connect(self.addr, UP_WITHIN).await.map_err(|e| format!("no connection: {e}"))?;
        let ask =
            format!("GET {} HTTP/1.1\r\nHost: {}\r\nAccept: application/json\r\n\r\n", self.path, self.addr);
        // A fresh connection takes so few bytes at once.
        stream.get_ref().write_all(ask.as_bytes()).map_err(|e| format!("not asked: {e}"))?;
        let (mut response, mut lines) = (Response::default(), Lines::new(LINE));
        let (mut scratch, mut body, mut line) = (vec![0; 16 * 1024], Vec::new(), Vec::new());
        loop {
            let ended = Self::bytes(&stream, &mut scratch, &mut response, &mut body).await?;
            if response.status != 0 && response.status != 200 {
                return Err(format!("answered with status {}", response.status));
            }
            lines.feed(&body);
            let over = ended || response.done();
            if over {
                lines.feed(b"\n");
            }
            while lines.next(&mut line)? {
                self.line(&line)?;
            }
            if over {
                let whole = response.done() || response.ends_with_connection();
                let watch = self.path.contains("follow");
                return if whole && !watch { Ok(()) } else { Err("ended by the other side".into()) };
            }
        }
    }

    /// The next bytes of the body; true at the connection's end.
    async fn bytes(
        stream: &Async<TcpStream>, scratch: &mut [u8], response: &mut Response, body: &mut Vec<u8>,
    ) -> Result<bool, String> {
        body.clear();
        let (signal, until) = (Signal::default(), Instant::now() + SILENCE);
        loop {
            if turn(stream, true, false, &signal, Some(until)).await == Turn::Due {
                return Err(format!("silent for {SILENCE:?}"));
            }
            match read_some(stream, scratch) {
                Ok(None) => {}
                Ok(Some([])) => return Ok(true),
                Ok(Some(bytes)) => return response.feed(bytes, body).map(|()| false).map_err(Into::into),
                Err(e) => return Err(format!("broke: {e}")),
            }
        }
    }

    fn line(&self, line: &[u8]) -> Result<(), String> {
        if line.trim_ascii().is_empty() {
            return Ok(());
        }
        let told: Value = serde_json::from_slice(line).map_err(|_| "a line is not JSON")?;
        let (version, full, entries) = self.places.list(&told)?;
        if !full && self.version.get().is_some_and(|held| version < held) {
            // It can't be put on top of what is held; the next call is for the whole list.
            self.version.set(None);
            return Err(format!("changes of version {version}, which is older than the list held"));
        }
        if self.newest() {
            drop(self.before.take());
        }
        self.version.set(Some(version));
        self.inbox.news(News::Listed(if full { Listing::Full } else { Listing::Delta }, entries));
        Ok(())
    }
}
