//! A small site on loopback: one marshal process with stand-ins for its nodes, discovery and platform, and a checker
//! that records what all of them see.

use crate::checker::{Bounds, Checker, SharedChecker};
use crate::discovery::{Discovery, Entry};
use crate::load::{HitKind, Load, LoadPlan};
use crate::misbehaving::{self, MisbehavingClients};
use crate::node::{FaultMode, Node, NodeBehavior};
use crate::platform::{BuildStatus, Platform};
use crate::program::Program;
use crate::runtime::Runtime;
use crate::site::{self, Limits, PathGroup};
use serde_json::Value;
use std::path::Path;
use std::time::Duration;

/// Number of the build that is released at the start.
pub const FIRST_BUILD: u16 = 4;

/// A running site. Dropped, it stops everything.
pub struct World {
    // Fields are dropped in this order: the marshal exits before the stand-ins do.
    pub program: Program,
    pub nodes: Vec<Node>,
    pub discovery: Discovery,
    pub platform: Platform,
    pub books: SharedChecker,
    pub groups: Vec<PathGroup>,
    pub stage: Runtime,
    /// Number of nodes started so far; the next node's name is made from it.
    started_nodes: usize,
}

impl World {
    /// Starts a site with this number of nodes; `args` are added to the marshal's command line.
    pub fn start(
        binary: &Path, nodes: usize, limits: Limits, manner: &NodeBehavior, args: &[&str],
    ) -> Result<Self, String> {
        Self::start_with_config(binary, nodes, limits, manner, args, |_| ())
    }

    /// Like [`World::start`]; `change` edits the marshal's configuration before it starts.
    pub fn start_with_config(
        binary: &Path, nodes: usize, limits: Limits, manner: &NodeBehavior, args: &[&str],
        change: impl FnOnce(&mut Value),
    ) -> Result<Self, String> {
        let (stage, groups) = (Runtime::default(), site::groups());
        let books = SharedChecker::new(Checker::new(Bounds::default(), 0.1));
        let discovery = Discovery::start(&stage, books.clone());
        let platform = Platform::start(&stage, BuildStatus::live(FIRST_BUILD), books.clone());
        let nodes: Vec<_> = (0..nodes)
            .map(|n| Node::start(&stage, &format!("s-{n}"), n as u64, manner.clone(), books.clone()))
            .collect();
        discovery.publish(nodes.iter().map(|n| Entry::up(&n.name, n.addr, FIRST_BUILD)));
        let news = platform.build_status().to_json(0);
        let mut config = site::config(limits, discovery.addr, platform.addr, &news, &discovery.full_list());
        change(&mut config);
        let program = Program::start(binary, &config, args)?;
        let started_nodes = nodes.len();
        Ok(World { program, nodes, discovery, platform, books, groups, stage, started_nodes })
    }

    /// Starts well-behaved clients; their results are in the returned value.
    pub fn start_load(&self, plan: LoadPlan) -> Load {
        Load::start(&self.stage, self.books.clone(), self.groups.clone(), vec![self.program.addr], plan)
    }

    /// Starts misbehaving clients, which send hits of this path group with bodies of `body` bytes until the returned
    /// value is dropped. Each hit states a wait of 1.5 s.
    pub fn start_rogues(
        &self, manner: misbehaving::Misbehavior, count: usize, group: usize, body: usize,
    ) -> MisbehavingClients {
        self.start_rogues_with_timeout(manner, count, group, body, Duration::from_millis(1_500))
    }

    /// Like [`World::start_rogues`]; each hit states `timeout` as the time that its client waits for the answer.
    pub fn start_rogues_with_timeout(
        &self, manner: misbehaving::Misbehavior, count: usize, group: usize, body: usize, timeout: Duration,
    ) -> MisbehavingClients {
        let kind = HitKind { group, share: 1.0, body_bytes: body, client_timeout: timeout };
        MisbehavingClients::start(
            &self.stage,
            &self.books,
            manner,
            count,
            self.program.addr,
            (&self.groups[group], &kind),
        )
    }

    /// Sets how all nodes treat what they receive.
    pub fn set_all_nodes_mode(&self, mode: FaultMode) {
        self.nodes.iter().for_each(|node| node.set_fault_mode(mode));
    }

    /// Starts `count` nodes of a build, cold, and lists them in discovery; returns their names.
    pub fn add_nodes(&mut self, count: usize, build: u16, manner: &NodeBehavior) -> Vec<String> {
        let since_epoch = self.stage.clock.now() - stonescale::state::EPOCH;
        let started_ms = since_epoch.as_nanos() / 1_000_000;
        let first = self.started_nodes;
        self.started_nodes += count;
        let commands_per_second = manner.cores as f64 / manner.work_median.as_secs_f64().max(1e-6);
        let added: Vec<_> = (first..self.started_nodes)
            .map(|n| {
                Node::start(&self.stage, &format!("s-{n}"), n as u64, manner.clone(), self.books.clone())
            })
            .collect();
        let now = self.stage.clock.now();
        added.iter().for_each(|n| self.books.lock().node_started(&n.name, commands_per_second, now));
        self.discovery
            .publish(added.iter().map(|n| Entry { started_ms, ..Entry::up(&n.name, n.addr, build) }));
        let names = added.iter().map(|n| n.name.clone()).collect();
        self.nodes.extend(added);
        names
    }

    /// Lists the named nodes in another state. Nodes in the state `removed` are stopped and dropped.
    pub fn set_node_state(&mut self, names: &[String], state: &str) {
        self.discovery.update(names, |entry| entry.state = state.into());
        if state == "removed" {
            self.nodes.iter().filter(|n| names.contains(&n.name)).for_each(Node::stop);
            self.nodes.retain(|n| !names.contains(&n.name));
        }
    }

    /// Samples the marshal's resident size every 10 ms until `done` returns true; returns the maximum in bytes.
    pub fn max_resident_bytes_until(&self, mut done: impl FnMut() -> bool) -> usize {
        let mut max_bytes = 0;
        while !done() {
            max_bytes = max_bytes.max(self.program.usage().map_or(0, |usage| usage.resident_bytes));
            std::thread::sleep(Duration::from_millis(10));
        }
        max_bytes
    }
}
