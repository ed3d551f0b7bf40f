//! Discovery: the whole list and the watch on its changes, over HTTP/1.1. When to ask is up to the module;
//! every failure is told to it.

use crate::inbox::{ControlEvent, Inbox, NodeEntry};
use crate::reactor::Async;
use crate::turn::{Signal, Wakeup, connect, read_available, wait_for_wakeup};
use async_executor::{LocalExecutor, Task};
use serde::Deserialize;
use std::borrow::Cow;
use std::cell::{Cell, RefCell};
use std::io::Write;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};
use stonescale::host::{ListUpdate, NodeAttributes, Readiness};
use stonescale::time::Time;
use stonescale_budget::{Ledger, Purpose};
use stonescale_formats::http::ResponseParser;
use stonescale_formats::lines::LineBuffer;
use stonescale_site::Names;
use tracing::info;

/// An empty line comes every 2 s, by the protocol page: after two without one, nothing will come.
const SILENCE: Duration = Duration::from_millis(4_000);
const UP_WITHIN: Duration = Duration::from_millis(1_000);
/// Longest line: a list of some twenty thousand nodes; and one part in so many of what the list may occupy while it is read,
/// as a line stands beside the next one and beside its entries.
const LINE: usize = 4 << 20;
const LINE_PART: usize = 4;
/// What an entry occupies over the bytes that state it: its address, place and times take less room than their text.
const ENTRIES: usize = 1;

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
    ledger: Ledger,
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
    fn entry(&self, told: &Server) -> Result<NodeEntry, String> {
        let at = |names: &[String], name: &str| names.iter().position(|n| n == name);
        let addr = told.addr.parse().map_err(|_| "addr is not an address and a port")?;
        let readiness = match &*told.state {
            "up" => Readiness::Ready,
            "draining" => Readiness::Draining,
            "removed" => Readiness::Gone,
            other => return Err(format!("state '{other}' is unknown")),
        };
        // A place of an unknown name is like no other.
        let place = NodeAttributes {
            zone: at(&self.zones, &told.zone).and_then(|at| u8::try_from(at).ok()).unwrap_or(u8::MAX),
            kind: at(&self.kinds, &told.kind).unwrap_or(self.kinds.len()) as u16,
            cell: told.cell.unwrap_or(0.0) as u16,
            weight: told.weight.unwrap_or(1.0) as f32,
        };
        let build =
            Some(told.image_id).filter(|b| (0.0..65536.0).contains(b)).ok_or("image_id is no build")?;
        let started = Time::at((told.started_ms.unwrap_or(0.0) as u64).saturating_mul(1_000_000));
        Ok((told.id.clone().into_owned(), addr, place, readiness, build as u16, started))
    }

    /// Version, whether it is the whole list, and the entries of one list object. It is true as a whole or not at
    /// all: with an entry passed over, a drain could be missed for ever.
    pub fn list(&self, told: List) -> Result<(u64, bool, Vec<NodeEntry>), String> {
        let entries: Result<Vec<_>, _> = told.servers.iter().map(|server| self.entry(server)).collect();
        Ok((told.version, told.full, entries?))
    }
}

/// A list object as discovery words it; its texts stay in the line that they came in.
#[derive(Deserialize)]
pub struct List<'a> {
    version: u64,
    full: bool,
    #[serde(borrow)]
    servers: Vec<Server<'a>>,
}

#[derive(Deserialize)]
struct Server<'a> {
    #[serde(borrow)]
    id: Cow<'a, str>,
    #[serde(borrow)]
    addr: Cow<'a, str>,
    #[serde(borrow)]
    zone: Cow<'a, str>,
    #[serde(borrow)]
    kind: Cow<'a, str>,
    cell: Option<f64>,
    #[serde(borrow)]
    state: Cow<'a, str>,
    weight: Option<f64>,
    /// Left out or none: a long time back.
    started_ms: Option<f64>,
    image_id: f64,
}

impl Discovery {
    pub fn new(
        addr: SocketAddr, places: Rc<Places>, inbox: Rc<Inbox>, tasks: Rc<LocalExecutor<'static>>,
        version: Option<u64>, ledger: Ledger,
    ) -> Self {
        let version = Rc::new(Cell::new(version));
        let (watch, fetch, before) = (RefCell::default(), RefCell::default(), Rc::default());
        let (addr, newest) = (Cell::new(addr), Rc::default());
        Discovery { addr, places, inbox, tasks, version, watch, fetch, before, newest, ledger }
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
        let ledger = self.ledger.clone();
        Call { addr: self.addr.get(), path, number, places, inbox, version, before, newest, ledger }
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
    ledger: Ledger,
}

impl Call {
    async fn run(self) {
        if let Err(why) = self.read().await {
            info!("discovery: {why}");
            if self.newest() {
                self.inbox.push_control_event(ControlEvent::ListFailed);
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
        let (mut response, mut lines) = (
            ResponseParser::default(),
            LineBuffer::new(LINE.min(self.ledger.cap(Purpose::Discovery) / LINE_PART)),
        );
        let mut charge = self.ledger.empty_charge(Purpose::Discovery);
        let (mut scratch, mut body, mut line) = (vec![0; 16 * 1024], Vec::new(), Vec::new());
        loop {
            let ended = Self::bytes(&stream, &mut scratch, &mut response, &mut body).await?;
            if response.status != 0 && response.status != 200 {
                return Err(format!("answered with status {}", response.status));
            }
            lines.feed(&body);
            let over = ended || response.is_complete();
            if over {
                lines.feed(b"\n");
            }
            // What is read but can't be held is asked for anew: a list is true as a whole or not at all.
            let held = |lines: &LineBuffer, line: &Vec<u8>| lines.allocated_bytes() + line.capacity();
            charge.resize(held(&lines, &line)).map_err(|_| "there is no room for the list")?;
            while lines.next_line(&mut line)? {
                charge.resize(held(&lines, &line)).map_err(|_| "there is no room for the list")?;
                self.line(&line)?;
            }
            if line.capacity() > scratch.len() {
                line = Vec::new();
            }
            charge.resize(held(&lines, &line)).map_err(|_| "there is no room for the list")?;
            if over {
                let whole = response.is_complete() || response.is_close_delimited();
                let watch = self.path.contains("follow");
                return if whole && !watch { Ok(()) } else { Err("ended by the other side".into()) };
            }
        }
    }

    /// The next bytes of the body; true at the connection's end.
    async fn bytes(
        stream: &Async<TcpStream>, scratch: &mut [u8], response: &mut ResponseParser, body: &mut Vec<u8>,
    ) -> Result<bool, String> {
        body.clear();
        let (signal, until) = (Signal::default(), Instant::now() + SILENCE);
        loop {
            if wait_for_wakeup(stream, true, false, &signal, Some(until)).await == Wakeup::DeadlineReached {
                return Err(format!("silent for {SILENCE:?}"));
            }
            match read_available(stream, scratch) {
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
        let charge = self.ledger.charge(Purpose::Discovery, line.len() * ENTRIES);
        let charge = charge.map_err(|_| "there is no room for the entries of the list")?;
        let told: List = serde_json::from_slice(line).map_err(|e| format!("a line can't be read: {e}"))?;
        let (version, full, entries) = self.places.list(told)?;
        if !full && self.version.get().is_some_and(|held| version < held) {
            // It can't be put on top of what is held; the next call is for the whole list.
            self.version.set(None);
            return Err(format!("changes of version {version}, which is older than the list held"));
        }
        if self.newest() {
            drop(self.before.take());
        }
        self.version.set(Some(version));
        self.inbox.push_control_event(ControlEvent::NodeList(
            if full { ListUpdate::Full } else { ListUpdate::Delta },
            entries,
            charge,
        ));
        Ok(())
    }
}

#[cfg(test)]
mod tests {
    use super::*;

    #[test]
    fn a_zone_past_those_that_are_told_apart_is_like_one_of_no_known_name() {
        let zones = (0..300).map(|n| format!("z{n}")).collect();
        let places = Places { zones, kinds: vec!["m".into()] };
        let zone = |name: &str| {
            let line = format!(
                r#"{{"version":1,"full":true,"servers":[{{"id":"s","addr":"127.0.0.1:1","zone":"{name}","kind":"m","state":"up","image_id":1}}]}}"#
            );
            let (_, _, entries) = places.list(serde_json::from_str(&line).unwrap()).unwrap();
            entries[0].2.zone
        };
        assert_eq!(["z0", "z254", "z256", "z299", "none"].map(zone), [0, 254, u8::MAX, u8::MAX, u8::MAX]);
    }
}
