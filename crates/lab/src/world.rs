//! A small site on loopback: one marshal process with stand-ins for its nodes, discovery and platform, and a checker
//! that records what all of them see.

use crate::checker::{Bounds, Checker, SharedChecker};
use crate::discovery::{Discovery, Entry};
use crate::load::{HitKind, Load, LoadPlan};
use crate::misbehaving::{MisbehavingClients, Misbehavior};
use crate::node::{FaultMode, Node, NodeBehavior};
use crate::platform::{BuildStatus, Platform};
use crate::program::Program;
use crate::runtime::Runtime;
use crate::site::{self, Limits, PathGroup};
use serde_json::Value;
use std::path::{Path, PathBuf};
use std::time::Duration;

/// Number of the build that all nodes run at the start.
pub const FIRST_BUILD: u16 = 4;

/// A running site; dropping it stops the marshal and all stand-ins.
pub struct World {
    // Fields are dropped in this order: the marshal exits before the stand-ins do.
    /// The marshal.
    pub program: Program,
    /// The running nodes; [`World::set_node_state`] drops those that it removes.
    pub nodes: Vec<Node>,
    pub discovery: Discovery,
    pub platform: Platform,
    /// Records what the clients and all stand-ins see, and the violations found in it.
    pub checker: SharedChecker,
    /// Path groups by index, as [`site::path_groups`] lists them.
    pub path_groups: Vec<PathGroup>,
    /// Runs all stand-ins and clients.
    pub runtime: Runtime,
    /// Number of nodes started so far; the next node's name is made from it.
    started_nodes: usize,
    /// How the marshal is started.
    launch: Launch,
}

/// Program, configuration, arguments and environment of a marshal.
struct Launch {
    binary: PathBuf,
    config: Value,
    args: Vec<String>,
    env: Vec<(String, String)>,
}

impl Launch {
    fn start(&self) -> Result<Program, String> {
        let args: Vec<_> = self.args.iter().map(String::as_str).collect();
        let env: Vec<_> = self.env.iter().map(|(name, value)| (name.as_str(), value.as_str())).collect();
        Program::start_with_env(&self.binary, &self.config, &args, &env)
    }
}

impl World {
    /// Starts a site with this number of nodes; `args` are added to the marshal's command line.
    pub fn start(
        binary: &Path, node_count: usize, limits: Limits, behavior: &NodeBehavior, args: &[&str],
    ) -> Result<Self, String> {
        Self::start_with_config(binary, node_count, limits, behavior, args, |_| ())
    }

    /// Like [`World::start`]; `edit_config` edits the marshal's configuration before it starts.
    pub fn start_with_config(
        binary: &Path, node_count: usize, limits: Limits, behavior: &NodeBehavior, args: &[&str],
        edit_config: impl FnOnce(&mut Value),
    ) -> Result<Self, String> {
        Self::start_with_config_and_env(binary, node_count, limits, behavior, args, edit_config, &[])
    }

    /// Like [`World::start`], with these environment variables of the marshal.
    pub fn start_with_env(
        binary: &Path, node_count: usize, limits: Limits, behavior: &NodeBehavior, args: &[&str],
        env: &[(&str, &str)],
    ) -> Result<Self, String> {
        Self::start_with_config_and_env(binary, node_count, limits, behavior, args, |_| (), env)
    }

    fn start_with_config_and_env(
        binary: &Path, node_count: usize, limits: Limits, behavior: &NodeBehavior, args: &[&str],
        edit_config: impl FnOnce(&mut Value), env: &[(&str, &str)],
    ) -> Result<Self, String> {
        let (runtime, path_groups) = (Runtime::default(), site::path_groups());
        let checker = SharedChecker::new(Checker::new(Bounds::default(), 0.1));
        let discovery = Discovery::start(&runtime, checker.clone());
        let platform = Platform::start(&runtime, BuildStatus::live(FIRST_BUILD), checker.clone());
        let nodes: Vec<_> = (0..node_count)
            .map(|n| Node::start(&runtime, &format!("s-{n}"), n as u64, behavior.clone(), checker.clone()))
            .collect();
        discovery.publish(nodes.iter().map(|n| Entry::up(&n.name, n.addr, FIRST_BUILD)));
        let build_status = platform.build_status().to_json(0);
        let mut config =
            site::config(limits, discovery.addr, platform.addr, &build_status, &discovery.full_list());
        edit_config(&mut config);
        let launch = Launch {
            binary: binary.to_owned(),
            config,
            args: args.iter().map(|arg| arg.to_string()).collect(),
            env: env.iter().map(|(name, value)| (name.to_string(), value.to_string())).collect(),
        };
        let program = launch.start()?;
        let started_nodes = nodes.len();
        Ok(World {
            program,
            nodes,
            discovery,
            platform,
            checker,
            path_groups,
            runtime,
            started_nodes,
            launch,
        })
    }

    /// Kills the marshal, and starts it again with the configuration of its first start, on another port.
    pub fn restart(&mut self) -> Result<(), String> {
        self.program.kill();
        self.program = self.launch.start()?;
        Ok(())
    }

    /// Starts well-behaved clients; the returned handle gives their results and stops them.
    pub fn start_load(&self, plan: LoadPlan) -> Load {
        Load::start(
            &self.runtime,
            self.checker.clone(),
            self.path_groups.clone(),
            vec![self.program.addr],
            plan,
        )
    }

    /// Starts misbehaving clients, which send hits of this path group with bodies of `body_bytes` until the returned
    /// value is dropped. Their client timeout is 1.5 s.
    pub fn start_misbehaving_clients(
        &self, misbehavior: Misbehavior, count: usize, group: usize, body_bytes: usize,
    ) -> MisbehavingClients {
        self.start_misbehaving_clients_with_timeout(
            misbehavior,
            count,
            group,
            body_bytes,
            Duration::from_millis(1_500),
        )
    }

    /// Like [`World::start_misbehaving_clients`]; each hit states `client_timeout`, the time for
    /// which its client waits for the answer.
    pub fn start_misbehaving_clients_with_timeout(
        &self, misbehavior: Misbehavior, count: usize, group: usize, body_bytes: usize,
        client_timeout: Duration,
    ) -> MisbehavingClients {
        let kind = HitKind { group, share: 1.0, body_bytes, client_timeout };
        MisbehavingClients::start(
            &self.runtime,
            &self.checker,
            misbehavior,
            count,
            self.program.addr,
            (&self.path_groups[group], &kind),
        )
    }

    /// Sets the fault mode of all nodes.
    pub fn set_fault_mode_of_all_nodes(&self, mode: FaultMode) {
        self.nodes.iter().for_each(|node| node.set_fault_mode(mode));
    }

    /// Starts `count` cold nodes of a build and lists them in discovery; returns their names.
    pub fn add_nodes(&mut self, count: usize, build: u16, behavior: &NodeBehavior) -> Vec<String> {
        self.add_nodes_by_stepped_clock(count, build, behavior, 0)
    }

    /// Like [`World::add_nodes`]; their start is listed by a wall clock that was stepped by this many seconds.
    pub fn add_nodes_by_stepped_clock(
        &mut self, count: usize, build: u16, behavior: &NodeBehavior, step_s: i64,
    ) -> Vec<String> {
        let since_epoch = self.runtime.clock.now() - stonescale::state::EPOCH;
        let started_ms = (since_epoch.as_nanos() / 1_000_000).saturating_add_signed(step_s * 1_000);
        let first_number = self.started_nodes;
        self.started_nodes += count;
        let commands_per_second = behavior.cores as f64 / behavior.work_median.as_secs_f64().max(1e-6);
        let added: Vec<_> = (first_number..self.started_nodes)
            .map(|n| {
                Node::start(
                    &self.runtime,
                    &format!("s-{n}"),
                    n as u64,
                    behavior.clone(),
                    self.checker.clone(),
                )
            })
            .collect();
        let now = self.runtime.clock.now();
        added.iter().for_each(|n| self.checker.lock().node_started(&n.name, commands_per_second, now));
        self.discovery
            .publish(added.iter().map(|n| Entry { started_ms, ..Entry::up(&n.name, n.addr, build) }));
        let names = added.iter().map(|n| n.name.clone()).collect();
        self.nodes.extend(added);
        names
    }

    /// Changes the state of the named nodes in discovery. Nodes in the state `removed` are also stopped and dropped.
    pub fn set_node_state(&mut self, names: &[String], state: &str) {
        self.discovery.update(names, |entry| entry.state = state.into());
        if state == "removed" {
            self.nodes.iter().filter(|n| names.contains(&n.name)).for_each(Node::stop);
            self.nodes.retain(|n| !names.contains(&n.name));
        }
    }

    /// Samples the marshal's resident size every 10 ms until `is_done` returns true; returns the maximum in bytes.
    pub fn max_resident_bytes_until(&self, mut is_done: impl FnMut() -> bool) -> usize {
        let mut max_bytes = 0;
        while !is_done() {
            max_bytes = max_bytes.max(self.program.usage().map_or(0, |usage| usage.resident_bytes));
            std::thread::sleep(Duration::from_millis(10));
        }
        max_bytes
    }
}
