//! HTTP/1.1 client of discovery: fetches the full node list and watches it for changes. The decision module chooses
//! when to send a request, and is notified of every failure.

use crate::inbox::{ControlEvent, Inbox, NodeEntry};
use crate::reactor::Async;
use crate::turn::{Interest, Signal, Wakeup, connect, read_available, wait_for_wakeup};
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
use stonescale_site::WireNames;
use tracing::info;

/// The protocol page promises an empty line every 2 s; after two missing ones the connection is taken for dead.
const SILENCE_TIMEOUT: Duration = Duration::from_millis(4_000);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Room for a list of some twenty thousand nodes, which is sent as one line.
const MAX_LINE_BYTES: usize = 4 << 20;
/// A line may take up one part in this many of discovery's memory cap, as it is held beside the next line and its own
/// entries.
const LINE_BUDGET_DIVISOR: usize = 4;
/// Bytes charged for the parsed entries per byte of their text: address, locality and times take less room parsed.
const ENTRY_BYTES_PER_TEXT_BYTE: usize = 1;

/// Sends requests to discovery, and passes the lists received to the inbox.
pub struct Discovery {
    addr: Cell<SocketAddr>,
    locality_names: Rc<LocalityNames>,
    inbox: Rc<Inbox>,
    executor: Rc<LocalExecutor<'static>>,
    /// Version of the node list last received.
    version: Rc<Cell<Option<u64>>>,
    watch: RefCell<Option<Task<()>>>,
    fetch: RefCell<Option<Task<()>>>,
    /// The watch on the previous address, until the current one has delivered a list.
    previous_watch: Rc<RefCell<Option<Task<()>>>>,
    /// Number of the newest request; failures of older ones are not reported.
    newest_request: Rc<Cell<u64>>,
    ledger: Ledger,
}

/// Names of the zones and the kinds of nodes; an entry's locality is stored as indices into them.
pub struct LocalityNames {
    pub zones: Vec<String>,
    pub kinds: Vec<String>,
}

impl LocalityNames {
    pub fn new(names: &WireNames) -> Self {
        LocalityNames { zones: names.zones.clone(), kinds: names.kinds.clone() }
    }

    /// Converts one entry of the list. An error names the faulty key.
    fn parse_entry(&self, server: &Server) -> Result<NodeEntry, String> {
        let index_of = |names: &[String], name: &str| names.iter().position(|n| n == name);
        let addr = server.addr.parse().map_err(|_| "addr is not an IP address and port")?;
        let readiness = match &*server.state {
            "up" => Readiness::Ready,
            "draining" => Readiness::Draining,
            "removed" => Readiness::Gone,
            other => return Err(format!("state '{other}' is unknown")),
        };
        // All unknown zones share one index, as do all unknown kinds; no known kind has that index, nor
        // any of the first 255 zones.
        let attributes = NodeAttributes {
            zone: index_of(&self.zones, &server.zone)
                .and_then(|index| u8::try_from(index).ok())
                .unwrap_or(u8::MAX),
            kind: index_of(&self.kinds, &server.kind).unwrap_or(self.kinds.len()) as u16,
            cell: server.cell.unwrap_or(0.0) as u16,
            weight: server.weight.unwrap_or(1.0) as f32,
        };
        let build = Some(server.image_id)
            .filter(|b| (0.0..65536.0).contains(b))
            .ok_or("image_id is not a build number")?;
        let started_at = Time::at((server.started_ms.unwrap_or(0.0) as u64).saturating_mul(1_000_000));
        Ok((server.id.clone().into_owned(), addr, attributes, readiness, build as u16, started_at))
    }

    /// Returns the version of a list object, whether it is the full list, and its entries. One invalid entry makes
    /// the whole list invalid: if it were skipped, a drain could be missed for good.
    pub fn parse_list(&self, list: List) -> Result<(u64, bool, Vec<NodeEntry>), String> {
        let entries: Result<Vec<_>, _> = list.servers.iter().map(|server| self.parse_entry(server)).collect();
        Ok((list.version, list.full, entries?))
    }
}

/// A list object of discovery's protocol; its strings borrow from the line that holds them.
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
    /// Missing or null: started a long time ago.
    started_ms: Option<f64>,
    image_id: f64,
}

impl Discovery {
    /// `version` is that of the node list already held, from which a watch continues.
    pub fn new(
        addr: SocketAddr, locality_names: Rc<LocalityNames>, inbox: Rc<Inbox>,
        executor: Rc<LocalExecutor<'static>>, version: Option<u64>, ledger: Ledger,
    ) -> Self {
        let version = Rc::new(Cell::new(version));
        let (watch, fetch, previous_watch) = (RefCell::default(), RefCell::default(), Rc::default());
        let (addr, newest_request) = (Cell::new(addr), Rc::default());
        Discovery {
            addr,
            locality_names,
            inbox,
            executor,
            version,
            watch,
            fetch,
            previous_watch,
            newest_request,
            ledger,
        }
    }

    /// Sends requests to `addr` from now on. The open watch goes on until the new address has delivered a list, so
    /// that no drain is missed in between.
    pub fn set_address(&self, addr: SocketAddr) {
        self.addr.set(addr);
        if let Some(watch) = self.watch.take() {
            // After several changes of address in a row, only the oldest watch is sure to be connected.
            self.previous_watch.borrow_mut().get_or_insert(watch);
            self.watch(true);
        }
    }

    /// Opens a watch in place of any other one, or closes it.
    pub fn watch(&self, on: bool) {
        // The running watch is closed first: two of them would deliver each change twice.
        self.watch.take();
        if on {
            let since = self.version.get().map_or(String::new(), |version| format!("&since={version}"));
            let request = self.request(format!("/v1/endpoints?follow=1{since}"));
            *self.watch.borrow_mut() = Some(self.executor.spawn(request.run()));
        }
    }

    /// Requests the full list, in place of any running request for it.
    pub fn fetch(&self) {
        let request = self.request("/v1/endpoints".into());
        *self.fetch.borrow_mut() = Some(self.executor.spawn(request.run()));
    }

    fn request(&self, path: String) -> Request {
        let (locality_names, inbox, version) =
            (self.locality_names.clone(), self.inbox.clone(), self.version.clone());
        let (previous_watch, newest_request) = (self.previous_watch.clone(), self.newest_request.clone());
        let number = newest_request.get() + 1;
        newest_request.set(number);
        let ledger = self.ledger.clone();
        Request {
            addr: self.addr.get(),
            path,
            number,
            locality_names,
            inbox,
            version,
            previous_watch,
            newest_request,
            ledger,
        }
    }
}

struct Request {
    addr: SocketAddr,
    path: String,
    number: u64,
    locality_names: Rc<LocalityNames>,
    inbox: Rc<Inbox>,
    version: Rc<Cell<Option<u64>>>,
    previous_watch: Rc<RefCell<Option<Task<()>>>>,
    newest_request: Rc<Cell<u64>>,
    ledger: Ledger,
}

impl Request {
    async fn run(self) {
        if let Err(error) = self.read_response().await {
            info!("discovery: {error}");
            if self.is_newest() {
                self.inbox.push_control_event(ControlEvent::ListFailed);
            }
        }
    }

    fn is_newest(&self) -> bool {
        self.newest_request.get() == self.number
    }

    /// Sends the request and applies each line of the response as it arrives. An error says why the request failed;
    /// a watch always ends with one.
    async fn read_response(&self) -> Result<(), String> {
        let stream = connect(self.addr, CONNECT_TIMEOUT).await.map_err(|e| format!("connect failed: {e}"))?;
        let head =
            format!("GET {} HTTP/1.1\r\nHost: {}\r\nAccept: application/json\r\n\r\n", self.path, self.addr);
        // The send buffer of a new connection has room for these few bytes, so that the write does not block.
        stream.get_ref().write_all(head.as_bytes()).map_err(|e| format!("request not sent: {e}"))?;
        let (mut response, mut lines) = (
            ResponseParser::default(),
            LineBuffer::new(MAX_LINE_BYTES.min(self.ledger.cap(Purpose::Discovery) / LINE_BUDGET_DIVISOR)),
        );
        let mut charge = self.ledger.empty_charge(Purpose::Discovery);
        let (mut scratch, mut body, mut line) = (vec![0; 16 * 1024], Vec::new(), Vec::new());
        loop {
            let closed = Self::read_body(&stream, &mut scratch, &mut response, &mut body).await?;
            if response.status != 0 && response.status != 200 {
                return Err(format!("response status {}", response.status));
            }
            lines.feed(&body);
            let finished = closed || response.is_complete();
            if finished {
                lines.feed(b"\n");
            }
            // A list for which there is no room is requested again as a whole, as part of a list is of no use.
            let held_bytes = |lines: &LineBuffer, line: &Vec<u8>| lines.allocated_bytes() + line.capacity();
            charge.resize(held_bytes(&lines, &line)).map_err(|_| "no room for the list")?;
            while lines.next_line(&mut line)? {
                charge.resize(held_bytes(&lines, &line)).map_err(|_| "no room for the list")?;
                self.apply_line(&line)?;
            }
            if line.capacity() > scratch.len() {
                line = Vec::new();
            }
            charge.resize(held_bytes(&lines, &line)).map_err(|_| "no room for the list")?;
            if finished {
                let complete = response.is_complete() || response.is_close_delimited();
                let is_watch = self.path.contains("follow");
                return if complete && !is_watch {
                    Ok(())
                } else {
                    Err("connection closed by discovery".into())
                };
            }
        }
    }

    /// Reads the next bytes of the body; true once the peer has closed the connection.
    async fn read_body(
        stream: &Async<TcpStream>, scratch: &mut [u8], response: &mut ResponseParser, body: &mut Vec<u8>,
    ) -> Result<bool, String> {
        body.clear();
        let (signal, deadline) = (Signal::default(), Instant::now() + SILENCE_TIMEOUT);
        let interest = Interest { read: true, ..Interest::default() };
        loop {
            if wait_for_wakeup(stream, interest, &signal, Some(deadline)).await == Wakeup::DeadlineReached {
                return Err(format!("nothing received for {SILENCE_TIMEOUT:?}"));
            }
            match read_available(stream, scratch) {
                Ok(None) => {}
                Ok(Some([])) => return Ok(true),
                Ok(Some(bytes)) => return response.feed(bytes, body).map(|()| false).map_err(Into::into),
                Err(e) => return Err(format!("connection failed: {e}")),
            }
        }
    }

    /// Parses one line of a response and passes its list to the inbox; empty lines only keep the connection alive.
    fn apply_line(&self, line: &[u8]) -> Result<(), String> {
        if line.trim_ascii().is_empty() {
            return Ok(());
        }
        let charge = self.ledger.charge(Purpose::Discovery, line.len() * ENTRY_BYTES_PER_TEXT_BYTE);
        let charge = charge.map_err(|_| "no room for the entries of the list")?;
        let list: List = serde_json::from_slice(line).map_err(|e| format!("invalid line: {e}"))?;
        let (version, full, entries) = self.locality_names.parse_list(list)?;
        if !full && self.version.get().is_some_and(|current| version < current) {
            // The changes don't apply to the list held, so that the next request is for the full list.
            self.version.set(None);
            return Err(format!("changes of version {version} are older than the list held"));
        }
        if self.is_newest() {
            drop(self.previous_watch.take());
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
    fn a_zone_index_beyond_u8_is_treated_as_an_unknown_zone() {
        let zones = (0..300).map(|n| format!("z{n}")).collect();
        let names = LocalityNames { zones, kinds: vec!["m".into()] };
        let zone = |name: &str| {
            let line = format!(
                r#"{{"version":1,"full":true,"servers":[{{"id":"s","addr":"127.0.0.1:1","zone":"{name}","kind":"m","state":"up","image_id":1}}]}}"#
            );
            let (_, _, entries) = names.parse_list(serde_json::from_str(&line).unwrap()).unwrap();
            entries[0].2.zone
        };
        assert_eq!(["z0", "z254", "z256", "z299", "none"].map(zone), [0, 254, u8::MAX, u8::MAX, u8::MAX]);
    }
}
