//! HTTP/1.1 client of discovery: watches the node list. The decision module chooses when to call, and is told how each
//! call and each watch ended.

use crate::clock::{Clock, duration};
use crate::inbox::{ControlEvent, Inbox};
use crate::metrics::Metrics;
use crate::node_list::{List, LocalityNames};
use crate::reactor::{Async, Timer};
use crate::turn::{Interest, Signal, Wakeup, connect, read_available, wait_for_wakeup};
use async_executor::{LocalExecutor, Task};
use futures_lite::future::or;
use std::cell::{Cell, RefCell};
use std::fmt;
use std::io::{self, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};
use stonescale::host::ListUpdate;
use stonescale::list_lease::{ListCallFailure, WatchEnd};
use stonescale::time::{Span, Time};
use stonescale_budget::{Charge, Ledger, Purpose};
use stonescale_connection::socket_errors::{ConnectFailure, classify_connect_error};
use stonescale_formats::http::ResponseParser;
use stonescale_formats::json_objects::{ObjectAssembler, Progress};
use stonescale_formats::lines::LineBuffer;
use tracing::{debug, info};

/// The protocol page promises an empty line every 2 s; a watch on which nothing comes for longer is reported as silent.
const WATCH_SILENCE_TIMEOUT: Duration = Duration::from_millis(2_600);
/// A call without an answer for so long is made again beside the first one, which may still have its turn.
const OVERDUE_TIMEOUT: Duration = Duration::from_millis(4_000);
/// Longest wait for the next byte.
const READ_TIMEOUT: Duration = Duration::from_secs(30);
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Room for a list of some twenty thousand nodes, sent as one line or indented over many.
const MAX_LIST_BYTES: usize = 4 << 20;
/// A list may take up one part in this many of discovery's memory cap, as it is held beside the next line and its own
/// entries.
const LIST_BUDGET_DIVISOR: usize = 4;
/// Bytes charged for the parsed entries per byte of their text: address, locality and times take less room parsed.
const ENTRY_BYTES_PER_TEXT_BYTE: usize = 1;
const READ_BUFFER_BYTES: usize = 16 * 1024;

/// Calls discovery, and passes the lists received to the inbox.
pub struct Discovery {
    shared: Rc<Shared>,
    executor: Rc<LocalExecutor<'static>>,
}

/// What all calls use.
struct Shared {
    addr: Cell<SocketAddr>,
    locality_names: Rc<LocalityNames>,
    inbox: Rc<Inbox>,
    clock: Clock,
    /// Time after which an attempt to connect that has not come up is reported, and another one made beside it.
    connect_attempt_timeout: Duration,
    /// Version of the node list last received.
    version: Cell<Option<u64>>,
    /// The newest call, or the watch that it has become.
    current: RefCell<Option<Task<()>>>,
    /// An earlier one that may still deliver: a watch on the previous address, one that is silent, or a call that waits for
    /// its turn. It ends once the current one has delivered a list.
    earlier: RefCell<Option<Task<()>>>,
    /// Number of the last call.
    last_number: Cell<u64>,
    /// Number of the call whose end is reported.
    current_number: Cell<u64>,
    /// Calls that failed since the last list.
    failures_in_a_row: Cell<u32>,
    ledger: Ledger,
    metrics: Rc<Metrics>,
}

impl Discovery {
    /// `version` is that of the node list already held, from which a watch continues. An attempt to connect that has not
    /// come up within `connect_attempt_timeout` is reported.
    pub fn new(
        addr: SocketAddr, locality_names: Rc<LocalityNames>, inbox: Rc<Inbox>,
        executor: Rc<LocalExecutor<'static>>, version: Option<u64>, (ledger, metrics): (Ledger, Rc<Metrics>),
        (clock, connect_attempt_timeout): (Clock, Span),
    ) -> Self {
        let shared = Shared {
            addr: Cell::new(addr),
            locality_names,
            inbox,
            clock,
            connect_attempt_timeout: duration(connect_attempt_timeout),
            version: Cell::new(version),
            current: RefCell::default(),
            earlier: RefCell::default(),
            last_number: Cell::default(),
            current_number: Cell::default(),
            failures_in_a_row: Cell::default(),
            ledger,
            metrics,
        };
        Discovery { shared: Rc::new(shared), executor }
    }

    /// Calls go to `addr` from now on. The open watch goes on until the new address has delivered a list, so that no
    /// drain is missed in between.
    pub fn set_address(&self, addr: SocketAddr) {
        self.shared.addr.set(addr);
    }

    /// Calls discovery for a watch, or ends all calls and watches.
    pub fn watch(&self, on: bool) {
        let shared = &self.shared;
        let previous = shared.current.take();
        if !on {
            drop((previous, shared.earlier.take()));
            return;
        }
        // Of several earlier ones only the oldest is kept: it is the next to have its turn, or the one sure to be
        // connected.
        let earlier = shared.earlier.take().filter(|task| !task.is_finished());
        *shared.earlier.borrow_mut() = earlier.or(previous.filter(|task| !task.is_finished()));
        let number = shared.last_number.get() + 1;
        shared.last_number.set(number);
        shared.current_number.set(number);
        let call = Call {
            shared: shared.clone(),
            addr: shared.addr.get(),
            number,
            attempt_started_at: Cell::new(shared.clock.now()),
            phase: Cell::new(CallPhase::Waiting),
            last_heard_at: Cell::new(shared.clock.now()),
        };
        *shared.current.borrow_mut() = Some(self.executor.spawn(call.run()));
    }
}

/// How far a call has come.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CallPhase {
    /// No list has come yet.
    Waiting,
    /// The same, and the call was reported as failed for want of an answer.
    Overdue,
    /// It has delivered a list, and is a watch now.
    Watching,
    /// The same, and the watch was reported as silent.
    Silent,
}

/// Why a call or a watch ended.
#[derive(Debug)]
enum CallError {
    Connect(io::Error),
    /// The connection failed or was closed before the first byte of an answer.
    NoAnswer(Option<io::Error>),
    Status(u16),
    /// Nothing was received for this long.
    Silent(Duration),
    /// The connection failed or was closed later.
    Ended(Option<io::Error>),
    /// What came can't be used.
    Invalid(String),
    NoRoom,
}

impl fmt::Display for CallError {
    fn fmt(&self, f: &mut fmt::Formatter) -> fmt::Result {
        match self {
            CallError::Connect(e) => write!(f, "connect failed: {e}"),
            CallError::NoAnswer(Some(e)) | CallError::Ended(Some(e)) => write!(f, "connection failed: {e}"),
            CallError::NoAnswer(None) => f.write_str("connection closed by discovery without an answer"),
            CallError::Ended(None) => f.write_str("connection closed by discovery"),
            CallError::Status(status) => write!(f, "response status {status}"),
            CallError::Silent(wait) => write!(f, "nothing received for {wait:?}"),
            CallError::Invalid(text) => f.write_str(text),
            CallError::NoRoom => f.write_str("no room for the list"),
        }
    }
}

impl CallError {
    /// What the failure of a call shows; for a call that has delivered nothing.
    fn failure(&self) -> ListCallFailure {
        match self {
            CallError::Connect(e) => match classify_connect_error(e) {
                ConnectFailure::NoLocalResources => ListCallFailure::Inconclusive,
                ConnectFailure::Refused | ConnectFailure::TimedOut | ConnectFailure::Unreachable => {
                    ListCallFailure::Unreachable
                }
            },
            CallError::NoAnswer(_) | CallError::Status(500..=599) => ListCallFailure::Rejected,
            CallError::Status(_)
            | CallError::Silent(_)
            | CallError::Ended(_)
            | CallError::Invalid(_)
            | CallError::NoRoom => ListCallFailure::Inconclusive,
        }
    }
}

/// A call for a watch, which becomes that watch.
struct Call {
    shared: Rc<Shared>,
    addr: SocketAddr,
    number: u64,
    /// When the attempt to connect began that failed last, or that came up.
    attempt_started_at: Cell<Time>,
    phase: Cell<CallPhase>,
    last_heard_at: Cell<Time>,
}

impl Call {
    async fn run(self) {
        let Err(error) = self.follow().await;
        self.log_end(&error);
        if !self.is_current() {
            return;
        }
        match (self.phase.get(), &error) {
            (CallPhase::Watching, _) => self.report_watch_end(WatchEnd::Closed),
            (CallPhase::Waiting, error) => self.report_failure(error.failure()),
            // Reported before.
            (CallPhase::Overdue | CallPhase::Silent, _) => {}
        }
    }

    /// Is it the one whose end counts?
    fn is_current(&self) -> bool {
        self.shared.current_number.get() == self.number
    }

    fn log_end(&self, error: &CallError) {
        // One line for each outage, not one for each of its calls.
        if matches!(self.phase.get(), CallPhase::Watching | CallPhase::Silent)
            || self.shared.failures_in_a_row.get() == 0
        {
            info!("discovery: {error}");
        } else {
            debug!("discovery: {error}");
        }
    }

    fn report_watch_end(&self, end: WatchEnd) {
        self.shared.inbox.push_control_event(ControlEvent::WatchEnded(end));
    }

    fn report_failure(&self, failure: ListCallFailure) {
        let shared = &self.shared;
        shared.failures_in_a_row.set(shared.failures_in_a_row.get().saturating_add(1));
        shared.metrics.list_call_failed(failure);
        let started_at = self.attempt_started_at.get();
        shared.inbox.push_control_event(ControlEvent::ListCallFailed { started_at, failure });
    }

    /// Sends the request and applies each line of the response as it arrives, until the connection ends.
    async fn follow(&self) -> Result<std::convert::Infallible, CallError> {
        let stream = self.connect().await.map_err(CallError::Connect)?;
        self.send_request(&stream).map_err(|e| CallError::NoAnswer(Some(e)))?;
        let ledger = &self.shared.ledger;
        let max_list_bytes = MAX_LIST_BYTES.min(ledger.cap(Purpose::Discovery) / LIST_BUDGET_DIVISOR);
        let (mut response, mut lines) = (ResponseParser::default(), LineBuffer::new(max_list_bytes));
        let mut list = ObjectAssembler::new(max_list_bytes);
        let mut charge = ledger.empty_charge(Purpose::Discovery);
        let (mut scratch, mut body, mut line) = (vec![0; READ_BUFFER_BYTES], Vec::new(), Vec::new());
        loop {
            let closed = self.read_body(&stream, &mut scratch, &mut response, &mut body).await?;
            if response.status != 0 && response.status != 200 {
                return Err(CallError::Status(response.status));
            }
            lines.feed(&body);
            let finished = closed || response.is_complete();
            if finished {
                lines.feed(b"\n");
            }
            let held_bytes = |lines: &LineBuffer, line: &Vec<u8>, list: &ObjectAssembler| {
                lines.allocated_bytes() + line.capacity() + list.allocated_bytes()
            };
            resize_charge(&mut charge, held_bytes(&lines, &line, &list))?;
            while lines.next_line(&mut line).map_err(|e| CallError::Invalid(e.into()))? {
                let progress = list.push_line(&mut line).map_err(|e| CallError::Invalid(e.into()))?;
                resize_charge(&mut charge, held_bytes(&lines, &line, &list))?;
                match progress {
                    Progress::Empty => self.apply_empty_line(),
                    Progress::Partial => {}
                    Progress::Complete => self.apply_list(list.text())?,
                }
            }
            if line.capacity() > scratch.len() {
                line = Vec::new();
            }
            list.release_complete(scratch.len());
            resize_charge(&mut charge, held_bytes(&lines, &line, &list))?;
            if finished {
                return Err(CallError::Ended(None));
            }
        }
    }

    /// Connects within `CONNECT_TIMEOUT`. While the attempt does not come up, others are made beside it: a network that
    /// comes back is noticed by them, as the first one is repeated by the system a second later at the earliest.
    async fn connect(&self) -> io::Result<Async<TcpStream>> {
        let attempt_timeout = self.shared.connect_attempt_timeout;
        let further_attempts = async {
            Timer::after(attempt_timeout).await;
            self.report_unreachable();
            loop {
                self.attempt_started_at.set(self.shared.clock.now());
                match connect(self.addr, attempt_timeout).await {
                    Err(e) if e.kind() == ErrorKind::TimedOut => self.report_unreachable(),
                    end => return end,
                }
            }
        };
        or(connect(self.addr, CONNECT_TIMEOUT), further_attempts).await
    }

    fn report_unreachable(&self) {
        if self.is_current() {
            let started_at = self.attempt_started_at.get();
            self.shared.inbox.push_control_event(ControlEvent::DiscoveryUnreachable { started_at });
        }
    }

    fn send_request(&self, stream: &Async<TcpStream>) -> io::Result<()> {
        let since = self.shared.version.get().map_or(String::new(), |version| format!("&since={version}"));
        let head = format!(
            "GET /v1/endpoints?follow=1{since} HTTP/1.1\r\nHost: {}\r\nAccept: application/json\r\n\r\n",
            self.addr
        );
        // The send buffer of a new connection has room for these few bytes, so that the write does not block.
        stream.get_ref().write_all(head.as_bytes())
    }

    /// Reads the next bytes of the body; true once the peer has closed the connection.
    async fn read_body(
        &self, stream: &Async<TcpStream>, scratch: &mut [u8], response: &mut ResponseParser,
        body: &mut Vec<u8>,
    ) -> Result<bool, CallError> {
        body.clear();
        let has_answer = response.status != 0;
        let (signal, wait_began) = (Signal::default(), Instant::now());
        let mut timeout = match self.phase.get() {
            CallPhase::Waiting => OVERDUE_TIMEOUT,
            CallPhase::Watching => WATCH_SILENCE_TIMEOUT,
            CallPhase::Overdue | CallPhase::Silent => READ_TIMEOUT,
        };
        let interest = Interest { read: true, ..Interest::default() };
        loop {
            let deadline = wait_began + timeout;
            if wait_for_wakeup(stream, interest, &signal, Some(deadline)).await == Wakeup::DeadlineReached {
                if timeout == READ_TIMEOUT {
                    return Err(CallError::Silent(timeout));
                }
                self.report_silence(timeout);
                timeout = READ_TIMEOUT;
                continue;
            }
            match read_available(stream, scratch) {
                Ok(None) => {}
                Ok(Some([])) if !has_answer => return Err(CallError::NoAnswer(None)),
                Ok(Some([])) => return Ok(true),
                Ok(Some(bytes)) => {
                    self.last_heard_at.set(self.shared.clock.now());
                    let fed = response.feed(bytes, body).map_err(|e| CallError::Invalid(e.into()));
                    return fed.map(|()| false);
                }
                Err(e) if !has_answer => return Err(CallError::NoAnswer(Some(e))),
                Err(e) => return Err(CallError::Ended(Some(e))),
            }
        }
    }

    /// Reports that nothing came for so long. Both go on waiting: a crowded discovery answers in turn, and a call that is
    /// given up loses its turn; a watch may only be late.
    fn report_silence(&self, waited: Duration) {
        let is_watch = self.phase.get() == CallPhase::Watching;
        self.phase.set(if is_watch { CallPhase::Silent } else { CallPhase::Overdue });
        if !self.is_current() {
            return;
        }
        info!("discovery: nothing received for {waited:?}, calling again");
        if is_watch {
            self.report_watch_end(WatchEnd::Silent { last_heard_at: self.last_heard_at.get() });
        } else {
            self.shared.metrics.list_call_overdue();
            self.shared.inbox.push_control_event(ControlEvent::ListCallOverdue);
        }
    }

    /// An empty line shows that nothing has changed. Without a version, a list has to come first.
    fn apply_empty_line(&self) {
        if self.shared.version.get().is_some() {
            self.confirm_list();
        }
    }

    /// Parses a list and passes it to the inbox.
    fn apply_list(&self, text: &[u8]) -> Result<(), CallError> {
        let shared = &self.shared;
        let charge = shared.ledger.charge(Purpose::Discovery, text.len() * ENTRY_BYTES_PER_TEXT_BYTE);
        let charge = charge.map_err(|_| CallError::NoRoom)?;
        let list: List =
            serde_json::from_slice(text).map_err(|e| CallError::Invalid(format!("invalid list: {e}")))?;
        let (version, full, entries) = shared.locality_names.parse_list(list).map_err(CallError::Invalid)?;
        if !full && shared.version.get().is_some_and(|current| version < current) {
            // The changes don't apply to the list held, so that the next request is for the full list.
            shared.version.set(None);
            let text = format!("changes of version {version} are older than the list held");
            return Err(CallError::Invalid(text));
        }
        shared.version.set(Some(version));
        let update = if full { ListUpdate::Full } else { ListUpdate::Delta };
        shared.inbox.push_control_event(ControlEvent::NodeList(update, entries, charge));
        self.confirm_list();
        Ok(())
    }

    /// The list held is current. Ends the other call or watch, unless this is a watch on the previous address.
    fn confirm_list(&self) {
        let shared = &self.shared;
        let was_watching = self.phase.replace(CallPhase::Watching) == CallPhase::Watching;
        if self.addr != shared.addr.get() || (was_watching && self.is_current()) {
            return;
        }
        let earlier = shared.earlier.take();
        if !self.is_current() {
            // This is the earlier one: it takes the place of the call that was made beside it.
            shared.current_number.set(self.number);
            drop(shared.current.replace(earlier));
        }
        shared.metrics.list_call_answered();
        let failures = shared.failures_in_a_row.replace(0);
        if failures > 0 {
            info!("discovery: watch opened after {failures} failed calls");
        }
        shared.inbox.push_control_event(ControlEvent::ListConfirmed);
    }
}

/// Charges the memory of what is received. A list for which there is no room is requested again as a whole, as part of a
/// list is of no use.
fn resize_charge(charge: &mut Charge, bytes: usize) -> Result<(), CallError> {
    charge.resize(bytes).map_err(|_| CallError::NoRoom)
}
