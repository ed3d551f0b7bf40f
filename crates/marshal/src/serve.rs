//! One marshal from its start to its end: parts are made and joined here.

use crate::client::Crowd;
use crate::clients::Clients;
use crate::clock::Clock;
use crate::core::{Core, Doors};
use crate::discovery::{Discovery, List, Places};
use crate::inbox::{Entry, Inbox, News};
use crate::nodes::Nodes;
use crate::platform::{self, Platform};
use crate::reactor::{self, Async, Timer};
use crate::startup;
use async_executor::LocalExecutor;
use futures_lite::future::or;
use log::{error, info, warn};
use serde::Deserialize;
use serde_json::Value;
use signal_hook::consts::{SIGHUP, SIGINT, SIGTERM};
use std::io::{self, Read};
use std::net::{SocketAddr, TcpListener};
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::Duration;
use stonescale::host::{Host, Listing};
use stonescale_budget::{Ledger, Purpose, Shares};

/// After SIGTERM new connections come for 0.4 s at most, by the protocol page; for so long all goes on.
const STILL_COMING: Duration = Duration::from_millis(550);
/// How often the way out looks whether all clients have left.
const LOOK: Duration = Duration::from_millis(10);

/// Checks a configuration as far as that goes without sockets.
pub fn check(root: &Value) -> Result<String, String> {
    let (name, listen, discovery) = startup::identity(root)?;
    startup::seed(root)?;
    let ((clients, _), links, memory) = startup::limits(root)?;
    let (platform, news) = startup::platform(root)?;
    platform::stage(news).map_err(|e| format!("platform.news: {e}"))?;
    let settings = startup::settings(root)?;
    let names = stonescale_site::names(settings).map_err(|e| format!("settings.{e}"))?;
    let (_, _, entries) = known(root, &Places::of(&names))?;
    let plan = startup::plan(root, names.groups.len(), &Shares::default())?;
    stonescale_site::links(settings).map_err(|e| format!("settings.{e}"))?;
    stonescale_site::outside(settings).map_err(|e| format!("settings.{e}"))?;
    stonescale_site::marshal(settings, 0, Clock::start().now(), &mut Nobody)
        .map_err(|e| format!("settings.{e}"))?;
    Ok(format!(
        "{name} at {listen}; discovery {discovery}, platform {platform}; {} path groups, {} nodes known; \
         at most {clients} client and {links} node connections; {} of {} KiB by purpose, {} KiB for hits of one group",
        names.groups.len(),
        entries.len(),
        plan.total >> 10,
        memory >> 10,
        plan.of(Purpose::work(0)).cap >> 10,
    ))
}

/// The node list that the configuration holds.
fn known(root: &Value, places: &Places) -> Result<(u64, bool, Vec<Entry>), String> {
    let list = List::deserialize(startup::known(root)?).map_err(|e| format!("known: {e}"))?;
    places.list(list).map_err(|e| format!("known: {e}"))
}

/// Serves until SIGTERM, then until all that was taken is answered. On SIGHUP `file` is read again.
pub fn serve(file: &Path) -> Result<(), String> {
    // Before anything else: a signal that nobody waits for would end the program.
    let ends = signals(&[SIGTERM, SIGINT]).map_err(|e| format!("signals: {e}"))?;
    let rereads = signals(&[SIGHUP]).map_err(|e| format!("signals: {e}"))?;
    let mut root = startup::read(file)?;
    info!("{}", check(&root)?);
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
    let (asked, call_timeout) = stonescale_site::outside(settings)?;
    let ledger = Ledger::new(&startup::plan(&root, names.groups.len(), &Shares::default())?);

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
    let groups = names.groups.iter().map(|g| g.name.clone()).collect();
    let there = (there, platform);
    let platform = Platform::new(inbox.clone(), tasks.clone(), call_timeout, groups, seed, ledger.clone());
    platform.at(there.1);

    let mut doors = Doors::new(clock, ledger.clone(), inbox.clone(), nodes, discovery, platform);
    let marshal = stonescale_site::marshal(settings, seed, clock.now(), &mut doors)?;
    if !asked {
        // Where changes come without being asked for, that is the watch.
        doors.watch(true);
    }
    let mut core = Core::new(marshal, doors);
    core.staged(news, None);
    core.listed(Listing::Cached, entries);
    tasks.spawn(core.run()).detach();
    tasks.spawn(reread(rereads, file.to_owned(), root, there, inbox.clone())).detach();

    let clients = Clients::new(inbox, Crowd::new(ledger, clock), names, most_clients);
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

/// On each SIGHUP reads the configuration again. The addresses of discovery and platform move to what it says,
/// all else needs a new start. A faulty file changes nothing.
async fn reread(
    signals: Async<UnixStream>, file: PathBuf, running: Value, mut there: (SocketAddr, SocketAddr),
    inbox: Rc<Inbox>,
) {
    loop {
        told(&signals).await;
        let read = startup::read(&file).and_then(|root| Ok((check(&root)?, startup::moved(&root)?, root)));
        let (_, now, root) = match read {
            Ok(read) => read,
            Err(why) => {
                error!("told to read the configuration again: it is faulty, the one before stays: {why}");
                continue;
            }
        };
        info!("told to read the configuration again: discovery {}, platform {}", now.0, now.1);
        let differing = startup::differing(&root, &running);
        if !differing.is_empty() {
            warn!("changed, and needing a new start: {}", differing.join(", "));
        }
        let moved = |now: SocketAddr, was: SocketAddr| (now != was).then_some(now);
        inbox.news(News::Moved(moved(now.0, there.0), moved(now.1, there.1)));
        there = now;
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
    fn wake(&mut self, _: stonescale::time::Span, _: u64) {}
    fn log(&mut self, _: &str) {}
}
