//! One marshal from its start to its end: parts are made and joined here.

use crate::Files;
use crate::client::Crowd;
use crate::clients::Clients;
use crate::clock::{Clock, duration};
use crate::core::{Core, Doors};
use crate::discovery::{Discovery, List, Places};
use crate::inbox::{ControlEvent, Inbox, NodeEntry};
use crate::nodes::Nodes;
use crate::platform::{self, Platform};
use crate::reactor::{self, Async, Timer};
use crate::{logger, memory, startup};
use async_executor::LocalExecutor;
use futures_lite::future::or;
use serde::Deserialize;
use serde_json::Value;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM, SIGUSR1};
use std::cell::Cell;
use std::io::{self, Read as _};
use std::net::{SocketAddr, TcpListener};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};
use stonescale::host::{Host, ListUpdate};
use stonescale::time::Span;
use stonescale_budget::{Ledger, Plan, Purpose};
use stonescale_operator::{InForce, Operator};
use tracing::{error, info, warn};

/// After SIGTERM new connections come for 0.4 s at most, by the protocol page; for so long all goes on.
const STILL_COMING: Duration = Duration::from_millis(550);
/// How often it is looked whether a level of memory changed.
const CHANGES: Duration = Duration::from_millis(250);
/// How often the way out looks whether all clients have left.
const LOOK: Duration = Duration::from_millis(10);

/// Both files as they were read.
struct Read {
    root: Value,
    operator: Operator,
    in_force: Vec<InForce>,
    plan: Plan,
    /// What the configuration holds, in a line.
    said: String,
}

impl Read {
    fn of(config: &Path, operator: Option<&Path>) -> Result<Self, String> {
        let (operator, in_force) = Operator::read(operator)?;
        let root = startup::read(config)?;
        let (said, plan) = look_through(&root, &operator)?;
        Ok(Read { root, operator, in_force, plan, said })
    }
}

/// Checks both files as far as that goes without sockets; says what they hold.
pub fn check(files: &Files) -> Result<(String, Vec<InForce>), String> {
    let read = Read::of(&startup::place(files.config.clone())?, files.operator.as_deref())?;
    Ok((read.said, read.in_force))
}

fn look_through(root: &Value, operator: &Operator) -> Result<(String, Plan), String> {
    let (name, listen, discovery) = startup::identity(root)?;
    startup::seed(root)?;
    let ((clients, _), links, memory) = startup::limits(root)?;
    let (platform, news) = startup::platform(root)?;
    platform::stage(news).map_err(|e| format!("platform.news: {e}"))?;
    let settings = startup::settings(root)?;
    let names = stonescale_site::names(settings).map_err(|e| format!("settings.{e}"))?;
    let (_, _, entries) = known(root, &Places::of(&names))?;
    let plan = startup::plan(root, names.groups.len(), &operator.memory.shares)?;
    stonescale_site::links(settings).map_err(|e| format!("settings.{e}"))?;
    stonescale_site::outside(settings).map_err(|e| format!("settings.{e}"))?;
    stonescale_site::marshal(settings, 0, Clock::start().now(), &mut Nobody)
        .map_err(|e| format!("settings.{e}"))?;
    let said = format!(
        "{name} at {listen}; discovery {discovery}, platform {platform}; {} path groups, {} nodes known; \
         at most {clients} client and {links} node connections; {} of {} KiB by purpose, {} KiB for hits of one group",
        names.groups.len(),
        entries.len(),
        plan.total_bytes >> 10,
        memory >> 10,
        plan.account(Purpose::in_flight(0)).cap >> 10,
    );
    Ok((said, plan))
}

/// The node list that the configuration holds.
fn known(root: &Value, places: &Places) -> Result<(u64, bool, Vec<NodeEntry>), String> {
    let list = List::deserialize(startup::known(root)?).map_err(|e| format!("known: {e}"))?;
    places.list(list).map_err(|e| format!("known: {e}"))
}

/// Serves until SIGTERM, then until all that was taken is answered. On SIGHUP both files are read again.
pub fn serve(files: Files) -> Result<(), String> {
    // Before anything else: a signal that nobody waits for would end the program.
    let ends = signals(&[SIGTERM, SIGINT]).map_err(|e| format!("signals: {e}"))?;
    let rereads = signals(&[SIGHUP]).map_err(|e| format!("signals: {e}"))?;
    let asked = signals(&[SIGUSR1]).map_err(|e| format!("signals: {e}"))?;
    let config = startup::place(files.config)?;
    let Read { mut root, operator, plan, said, .. } = Read::of(&config, files.operator.as_deref())?;
    let lines = operator.log.lines_per_second;
    let log = logger::start(files.log, operator.log.format, lines, plan.account(Purpose::Log).reserve);
    info!("{said}");
    let (_, listen, there) = startup::identity(&root)?;
    let (most_clients, most_links, _) = startup::limits(&root)?;
    let (platform, news) = startup::platform(&root)?;
    let news = platform::stage(news)?;
    let seed = startup::seed(&root)?;
    let names = stonescale_site::names(startup::settings(&root)?)?;
    let places = Rc::new(Places::of(&names));
    let (version, _, entries) = known(&root, &places)?;
    // Only what is compared when it is read again is kept: a list of thousands of nodes is not.
    startup::forget_news(&mut root);
    let settings = startup::settings(&root)?;
    let (watched, call_timeout) = stonescale_site::outside(settings)?;
    let ledger = Ledger::new(&plan);

    let listener = TcpListener::bind(listen).and_then(|l| l.set_nonblocking(true).map(|()| l));
    // What is taken on it inherits this.
    listener.iter().for_each(reactor::quicken);
    let listener = listener.and_then(Async::new).map_err(|e| format!("listen: {listen}: {e}"))?;
    info!("listening at {}", listener.get_ref().local_addr().unwrap_or(listen));
    let (clock, inbox) = (Clock::start(), Rc::new(Inbox::default()));
    let tasks = Rc::new(LocalExecutor::new());
    let nodes = Nodes::new(
        inbox.clone(),
        tasks.clone(),
        clock,
        stonescale_site::links(settings)?,
        most_links,
        ledger.clone(),
    );
    let discovery =
        Discovery::new(there, places, inbox.clone(), tasks.clone(), Some(version), ledger.clone());
    let groups: Vec<String> = names.groups.iter().map(|g| g.name.clone()).collect();
    let there = (there, platform);
    let platform =
        Platform::new(inbox.clone(), tasks.clone(), call_timeout, groups.clone(), seed, ledger.clone());
    platform.at(there.1);

    let mut doors = Doors::new(clock, ledger.clone(), inbox.clone(), nodes, discovery, platform);
    let marshal = stonescale_site::marshal(settings, seed, clock.now(), &mut doors)?;
    if !watched {
        // Where changes come without being asked for, that is the watch.
        doors.watch(true);
    }
    let mut core = Core::new(marshal, doors);
    core.staged(news, None);
    core.listed(ListUpdate::Cached, entries);
    tasks.spawn(core.run()).detach();
    let report_every = Rc::new(Cell::new(operator.memory.report_every));
    let log = Rc::new(log);
    let running = Running {
        log: log.clone(),
        ledger: ledger.clone(),
        report_every: report_every.clone(),
        inbox: inbox.clone(),
    };
    let files = (config, files.operator);
    tasks.spawn(reread(rereads, files, (root, operator), there, running)).detach();

    let clients = Clients::new(inbox, Crowd::new(ledger.clone(), clock), names, most_clients);
    tasks.spawn(tell_memory(asked, (ledger, log), groups, clients.clone(), report_every)).detach();
    tasks.spawn(clients.clone().ease()).detach();
    let listener = Rc::new(listener);
    let accepting = tasks.spawn(clients.clone().accept(listener, tasks.clone()));
    let until_the_end = async move {
        told(&ends).await;
        info!("told to end: serving on for {STILL_COMING:?}, then until all is answered");
        Timer::after(STILL_COMING).await;
        accepting.cancel().await;
        clients.leave();
        let left = async {
            while clients.count() > 0 {
                Timer::after(LOOK).await;
            }
        };
        or(left, told(&ends)).await;
        info!("ended, {} client connections left", clients.count());
    };
    reactor::run(&tasks, until_the_end).map_err(|e| format!("waiting for sockets: {e}"))
}

/// What changes while serving goes on.
struct Running {
    log: Rc<logger::Log>,
    ledger: Ledger,
    report_every: Rc<Cell<Span>>,
    inbox: Rc<Inbox>,
}

/// On each SIGHUP reads both files again. The addresses of discovery and platform move to what the configuration
/// says, the operator's settings are in force at once but for the log's form; all else needs a new start. A fault in
/// either file changes nothing.
async fn reread(
    signals: Async<UnixStream>, (config, file): (PathBuf, Option<PathBuf>),
    (running, mut operator): (Value, Operator), mut there: (SocketAddr, SocketAddr), parts: Running,
) {
    loop {
        told(&signals).await;
        let read = Read::of(&config, file.as_deref());
        let (read, now) = match read.and_then(|read| startup::moved(&read.root).map(|now| (read, now))) {
            Ok(read) => read,
            Err(why) => {
                error!("told to read the configuration again: it is faulty, the one before stays: {why}");
                continue;
            }
        };
        info!("told to read the configuration again: discovery {}, platform {}", now.0, now.1);
        let mut differing = startup::differing(&read.root, &running);
        if read.operator.log.format != operator.log.format {
            differing.push("[log] format".into());
        }
        if !differing.is_empty() {
            warn!("changed, and needing a new start: {}", differing.join(", "));
        }
        if read.operator != operator {
            info!("the operator's settings changed");
            parts.log.lines(read.operator.log.lines_per_second);
            parts.report_every.set(read.operator.memory.report_every);
            // By the limits that the process started with: those of the file wait for the next start.
            let groups = running.pointer("/settings/classes").and_then(Value::as_array).map_or(1, Vec::len);
            match startup::plan(&running, groups, &read.operator.memory.shares) {
                Ok(plan) => parts.ledger.apply_plan(&plan),
                Err(why) => error!("the shares of memory stay as they are: {why}"),
            }
            operator = read.operator;
        }
        let moved = |now: SocketAddr, was: SocketAddr| (now != was).then_some(now);
        parts
            .inbox
            .push_control_event(ControlEvent::AddressesChanged(moved(now.0, there.0), moved(now.1, there.1)));
        there = now;
    }
}

/// Reports what memory is held for: every so often, and on each SIGUSR1; and changes of a level as they come.
async fn tell_memory(
    asked: Async<UnixStream>, (ledger, log): (Ledger, Rc<logger::Log>), groups: Vec<String>,
    clients: Rc<Clients>, every: Rc<Cell<Span>>,
) {
    let (mut last, mut lines) = (Instant::now(), ledger.empty_charge(Purpose::Log));
    loop {
        let asked = async {
            told(&asked).await;
            true
        };
        let tick = async {
            Timer::after(CHANGES).await;
            false
        };
        let asked = or(asked, tick).await;
        // The log's thread has no part in the ledger; its bound is the reserve, which nobody else can take.
        let _ = lines.resize(log.waiting());
        memory::changes(&ledger, &groups);
        let due = every.get() > Span::ZERO && last.elapsed() >= duration(every.get());
        if asked || due {
            last = Instant::now();
            memory::report(&ledger, &groups, clients.count());
        }
    }
}

/// A stream on which a byte comes for each of these signals.
fn signals(which: &[i32]) -> io::Result<Async<UnixStream>> {
    let (ours, theirs) = UnixStream::pair()?;
    for signal in which {
        signal_hook::low_level::pipe::register(*signal, theirs.try_clone()?)?;
    }
    ours.set_nonblocking(true)?;
    Async::new(ours)
}

/// Waits for the next signal.
async fn told(signals: &Async<UnixStream>) {
    while !matches!(signals.get_ref().read(&mut [0]), Ok(1)) {
        signals.drained();
        signals.readable().await;
    }
}

/// A host for a marshal that is made only to see whether its settings can be read.
struct Nobody;

impl Host for Nobody {
    fn forward(&mut self, _: u32, _: u64, _: stonescale::time::Span) {}
    fn bounce(&mut self, _: u32, _: stonescale::time::Span) {}
    fn error(&mut self, _: u32) {}
    fn cancel(&mut self, _: u32, _: u8) {}
    fn vote(&mut self, _: u16, _: u8, _: stonescale::host::Verdict) {}
    fn watch(&mut self, _: bool) {}
    fn fetch(&mut self) {}
    fn set_timer(&mut self, _: stonescale::time::Span, _: u64) {}
    fn log(&mut self, _: &str) {}
}
