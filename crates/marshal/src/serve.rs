//! Start-up and shutdown of one marshal: creates its parts and connects them.

use crate::Files;
use crate::client::ClientRegistry;
use crate::clients::ClientServer;
use crate::clock::{Clock, duration};
use crate::core::{Core, MarshalHost};
use crate::discovery::Discovery;
use crate::inbox::{ControlEvent, Inbox, NodeEntry};
use crate::metrics::Metrics;
use crate::node_list::{List, LocalityNames};
use crate::nodes::NodePool;
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
use std::net::SocketAddr;
use std::os::unix::net::UnixStream;
use std::path::{Path, PathBuf};
use std::rc::Rc;
use std::time::{Duration, Instant};
use stonescale::host::{Host, ListUpdate};
use stonescale::time::Span;
use stonescale_budget::{Ledger, Plan, Purpose};
use stonescale_connection::HitIds;
use stonescale_operator::{EffectiveSetting, OperatorSettings};
use tracing::{error, info, warn};

/// After SIGTERM clients may still connect for 0.4 s by the protocol page; serving continues unchanged for
/// this long.
const SHUTDOWN_ACCEPT_PERIOD: Duration = Duration::from_millis(550);
/// The memory limit divided by this is the number of ids of ended hits that are remembered, some 100 bytes each.
const MEMORY_PER_ENDED_ID: usize = 16 * 1024;
/// Interval of checks for changed memory levels.
const LEVEL_CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Interval of checks during shutdown whether all clients have disconnected.
const SHUTDOWN_POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Contents of both configuration files.
struct LoadedFiles {
    root: Value,
    operator: OperatorSettings,
    effective_settings: Vec<EffectiveSetting>,
    plan: Plan,
    /// Summary of the configuration in one line.
    summary: String,
}

impl LoadedFiles {
    fn load(config: &Path, operator: Option<&Path>) -> Result<Self, String> {
        let (operator, effective_settings) = OperatorSettings::read(operator)?;
        let root = startup::read_config(config)?;
        let (summary, plan) = validate(&root, &operator)?;
        Ok(LoadedFiles { root, operator, effective_settings, plan, summary })
    }
}

/// Checks both files as far as possible without opening sockets; returns a summary and the operator's
/// settings in force.
pub fn check(files: &Files) -> Result<(String, Vec<EffectiveSetting>), String> {
    let loaded = LoadedFiles::load(&startup::config_path(files.config.clone())?, files.operator.as_deref())?;
    Ok((loaded.summary, loaded.effective_settings))
}

/// Parses every section of both files; returns a summary and the memory plan.
fn validate(root: &Value, operator: &OperatorSettings) -> Result<(String, Plan), String> {
    let (name, listen, discovery) = startup::identity(root)?;
    startup::seed(root)?;
    let ((clients, _), node_connections, memory_bytes) = startup::limits(root)?;
    let (platform, build_status) = startup::platform(root)?;
    platform::parse_stage(build_status).map_err(|e| format!("platform.news: {e}"))?;
    let settings = startup::settings(root)?;
    let names = stonescale_site::wire_names(settings).map_err(|e| format!("settings.{e}"))?;
    let (_, _, entries) = known_nodes(root, &LocalityNames::new(&names))?;
    let plan = startup::memory_plan(root, names.groups.len(), &operator.memory.shares)?;
    stonescale_site::node_connection_settings(settings).map_err(|e| format!("settings.{e}"))?;
    stonescale_site::control_plane_settings(settings).map_err(|e| format!("settings.{e}"))?;
    stonescale_site::start_marshal(settings, 0, Clock::start().now(), &mut NullHost)
        .map_err(|e| format!("settings.{e}"))?;
    let summary = format!(
        "{name} at {listen}; discovery {discovery}, platform {platform}; {} path groups, {} nodes known; \
         at most {clients} client and {node_connections} node connections; {} of {} KiB by purpose, {} KiB for hits of one group",
        names.groups.len(),
        entries.len(),
        plan.total_bytes >> 10,
        memory_bytes >> 10,
        plan.account(Purpose::in_flight(0)).cap >> 10,
    );
    Ok((summary, plan))
}

/// Reads the node list in the configuration.
fn known_nodes(root: &Value, locality_names: &LocalityNames) -> Result<(u64, bool, Vec<NodeEntry>), String> {
    let list = List::deserialize(startup::known_nodes(root)?).map_err(|e| format!("known: {e}"))?;
    locality_names.parse_list(list).map_err(|e| format!("known: {e}"))
}

/// Serves until SIGTERM or SIGINT, then until every accepted hit is answered. On SIGHUP both files are read
/// again.
pub fn serve(files: Files) -> Result<(), String> {
    // Registered first: a signal without a handler would end the process.
    let shutdown_signals = register_signals(&[SIGTERM, SIGINT]).map_err(|e| format!("signals: {e}"))?;
    let reload_signals = register_signals(&[SIGHUP]).map_err(|e| format!("signals: {e}"))?;
    let report_signals = register_signals(&[SIGUSR1]).map_err(|e| format!("signals: {e}"))?;
    let config = startup::config_path(files.config)?;
    let LoadedFiles { mut root, operator, plan, summary, .. } =
        LoadedFiles::load(&config, files.operator.as_deref())?;
    let lines_per_second = operator.log.lines_per_second;
    let log =
        logger::start(files.log, operator.log.format, lines_per_second, plan.account(Purpose::Log).reserve);
    info!("{summary}");
    let (_, listen, discovery_addr) = startup::identity(&root)?;
    let (max_clients, max_node_connections, memory_bytes) = startup::limits(&root)?;
    let (platform_addr, build_status) = startup::platform(&root)?;
    let newest_build = platform::parse_stage(build_status)?;
    let seed = startup::seed(&root)?;
    let names = stonescale_site::wire_names(startup::settings(&root)?)?;
    let locality_names = Rc::new(LocalityNames::new(&names));
    let (version, _, entries) = known_nodes(&root, &locality_names)?;
    // Keep only what a reload compares; a node list may have thousands of entries.
    startup::remove_snapshot(&mut root);
    let settings = startup::settings(&root)?;
    let (list_lease, call_timeout) = stonescale_site::control_plane_settings(settings)?;
    let ledger = Ledger::new(&plan);

    let listener = reactor::listen(listen).map_err(|e| format!("listen: {listen}: {e}"))?;
    info!("listening at {}", listener.get_ref().local_addr().unwrap_or(listen));
    let (clock, inbox) = (Clock::start(), Rc::new(Inbox::default()));
    let metrics = Rc::new(Metrics::default());
    let executor = Rc::new(LocalExecutor::new());
    let nodes = NodePool::new(
        inbox.clone(),
        executor.clone(),
        clock,
        stonescale_site::node_connection_settings(settings)?,
        max_node_connections,
        ledger.clone(),
        metrics.clone(),
    );
    let discovery = Discovery::new(
        discovery_addr,
        locality_names,
        inbox.clone(),
        executor.clone(),
        Some(version),
        (ledger.clone(), metrics.clone()),
        (clock, list_lease.connect_attempt_timeout()),
    );
    let groups: Vec<String> = names.groups.iter().map(|g| g.name.clone()).collect();
    let addresses = (discovery_addr, platform_addr);
    let platform =
        Platform::new(inbox.clone(), executor.clone(), call_timeout, groups.clone(), seed, ledger.clone());
    platform.set_address(addresses.1);

    let mut host = MarshalHost::new(
        clock,
        ledger.clone(),
        inbox.clone(),
        nodes,
        discovery,
        platform,
        HitIds::new(memory_bytes / MEMORY_PER_ENDED_ID),
        metrics.clone(),
    );
    let marshal = stonescale_site::start_marshal(settings, seed, clock.now(), &mut host)?;
    let mut core = Core::new(marshal, host);
    core.apply_stage(newest_build, None);
    core.apply_node_list(ListUpdate::Cached, entries);
    core.follow_discovery();
    executor.spawn(core.run()).detach();
    let report_every = Rc::new(Cell::new(operator.memory.report_every));
    let log = Rc::new(log);
    let log_at_exit = log.clone();
    let targets = ReloadTargets {
        log: log.clone(),
        ledger: ledger.clone(),
        report_every: report_every.clone(),
        inbox: inbox.clone(),
    };
    let files = (config, files.operator);
    executor.spawn(reload_on_signal(reload_signals, files, (root, operator), addresses, targets)).detach();

    let registry = ClientRegistry::new(ledger.clone(), clock);
    let clients = ClientServer::new(inbox, registry, names, metrics, max_clients);
    executor
        .spawn(report_memory(report_signals, (ledger, log), groups, clients.clone(), report_every))
        .detach();
    executor.spawn(clients.clone().reclaim_periodically()).detach();
    let listener = Rc::new(listener);
    let accepting = executor.spawn(clients.clone().accept(listener, executor.clone()));
    let until_shutdown = async move {
        wait_for_signal(&shutdown_signals).await;
        info!(
            "shutdown requested: serving for another {SHUTDOWN_ACCEPT_PERIOD:?}, then until every hit is answered"
        );
        Timer::after(SHUTDOWN_ACCEPT_PERIOD).await;
        accepting.cancel().await;
        clients.close_when_idle();
        let all_closed = async {
            while clients.count() > 0 {
                Timer::after(SHUTDOWN_POLL_INTERVAL).await;
            }
        };
        or(all_closed, wait_for_signal(&shutdown_signals)).await;
        info!("stopped, {} client connections left", clients.count());
    };
    let result = reactor::run(&executor, until_shutdown).map_err(|e| format!("waiting for sockets: {e}"));
    log_at_exit.finish();
    result
}

/// The parts that a reload changes.
struct ReloadTargets {
    log: Rc<logger::LogHandle>,
    ledger: Ledger,
    report_every: Rc<Cell<Span>>,
    inbox: Rc<Inbox>,
}

/// Reads both files again on each SIGHUP. Changed addresses of discovery and the platform and the operator's
/// settings take effect at once; the log format and everything else need a restart. If either file is
/// invalid, nothing changes.
async fn reload_on_signal(
    signals: Async<UnixStream>, (config, operator_file): (PathBuf, Option<PathBuf>),
    (running_root, mut operator): (Value, OperatorSettings), mut addresses: (SocketAddr, SocketAddr),
    targets: ReloadTargets,
) {
    loop {
        wait_for_signal(&signals).await;
        let loaded = LoadedFiles::load(&config, operator_file.as_deref());
        let (loaded, new_addresses) = match loaded
            .and_then(|loaded| startup::reloaded_addresses(&loaded.root).map(|addresses| (loaded, addresses)))
        {
            Ok(loaded) => loaded,
            Err(error) => {
                error!("configuration reload failed, keeping the previous configuration: {error}");
                continue;
            }
        };
        info!("configuration reloaded: discovery {}, platform {}", new_addresses.0, new_addresses.1);
        let mut changed_keys = startup::changed_keys(&loaded.root, &running_root);
        if loaded.operator.log.format != operator.log.format {
            changed_keys.push("[log] format".into());
        }
        if !changed_keys.is_empty() {
            warn!("changed keys that need a restart: {}", changed_keys.join(", "));
        }
        if loaded.operator != operator {
            info!("the operator's settings changed");
            targets.log.set_lines_per_second(loaded.operator.log.lines_per_second);
            targets.report_every.set(loaded.operator.memory.report_every);
            // With the limits the process started with; changed limits need a restart.
            let group_count =
                running_root.pointer("/settings/classes").and_then(Value::as_array).map_or(1, Vec::len);
            match startup::memory_plan(&running_root, group_count, &loaded.operator.memory.shares) {
                Ok(plan) => targets.ledger.apply_plan(&plan),
                Err(error) => error!("keeping the previous memory shares: {error}"),
            }
            operator = loaded.operator;
        }
        let changed = |new: SocketAddr, old: SocketAddr| (new != old).then_some(new);
        targets.inbox.push_control_event(ControlEvent::AddressesChanged(
            changed(new_addresses.0, addresses.0),
            changed(new_addresses.1, addresses.1),
        ));
        addresses = new_addresses;
    }
}

/// Reports memory held by purpose, periodically and on each SIGUSR1, and level changes as they occur.
async fn report_memory(
    report_signals: Async<UnixStream>, (ledger, log): (Ledger, Rc<logger::LogHandle>), groups: Vec<String>,
    clients: Rc<ClientServer>, interval: Rc<Cell<Span>>,
) {
    let (mut last_report, mut log_charge) = (Instant::now(), ledger.empty_charge(Purpose::Log));
    loop {
        let requested = async {
            wait_for_signal(&report_signals).await;
            true
        };
        let tick = async {
            Timer::after(LEVEL_CHECK_INTERVAL).await;
            false
        };
        let requested = or(requested, tick).await;
        // The log thread does not use the ledger: its memory is bounded by the reserve, which no other
        // purpose can take.
        let _ = log_charge.resize(log.queued_bytes());
        memory::log_level_changes(&ledger, &groups);
        let due = interval.get() > Span::ZERO && last_report.elapsed() >= duration(interval.get());
        if requested || due {
            last_report = Instant::now();
            memory::log_report(&ledger, &groups, clients.count());
            clients.metrics.log();
        }
    }
}

/// Returns a stream that receives one byte for each of these signals.
fn register_signals(numbers: &[i32]) -> io::Result<Async<UnixStream>> {
    let (reader, writer) = UnixStream::pair()?;
    for signal in numbers {
        signal_hook::low_level::pipe::register(*signal, writer.try_clone()?)?;
    }
    reader.set_nonblocking(true)?;
    Async::new(reader)
}

/// Waits for the next signal.
async fn wait_for_signal(signals: &Async<UnixStream>) {
    while !matches!(signals.get_ref().read(&mut [0]), Ok(1)) {
        signals.clear_readable();
        signals.readable().await;
    }
}

/// Host for a marshal created only to check that its settings can be read.
struct NullHost;

impl Host for NullHost {
    fn forward(&mut self, _: u32, _: u64, _: stonescale::time::Span) {}
    fn bounce(&mut self, _: u32, _: stonescale::time::Span) {}
    fn error(&mut self, _: u32) {}
    fn cancel(&mut self, _: u32, _: u8) {}
    fn vote(&mut self, _: u16, _: u8, _: stonescale::host::Verdict) {}
    fn watch(&mut self, _: bool) {}
    fn set_timer(&mut self, _: stonescale::time::Span, _: u64) {}
    fn log(&mut self, _: &str) {}
}
