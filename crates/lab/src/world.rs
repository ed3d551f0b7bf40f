//! A small site on loopback: one marshal, its nodes, discovery and platform, and the books on them.

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

/// The build that is released at the start.
pub const FIRST_BUILD: u16 = 4;

pub struct World {
    // The marshal ends first, then the stand-ins.
    pub program: Program,
    pub nodes: Vec<Node>,
    pub discovery: Discovery,
    pub platform: Platform,
    pub books: SharedChecker,
    pub groups: Vec<PathGroup>,
    pub stage: Runtime,
    /// Nodes started so far.
    started: usize,
}

impl World {
    /// Starts everything; `args` go to the marshal's command line.
    pub fn start(
        binary: &Path, nodes: usize, limits: Limits, manner: &NodeBehavior, args: &[&str],
    ) -> Result<Self, String> {
        Self::start_with(binary, nodes, limits, manner, args, |_| ())
    }

    /// The same, with a change to the marshal's configuration.
    pub fn start_with(
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
        let started = nodes.len();
        Ok(World { program, nodes, discovery, platform, books, groups, stage, started })
    }

    pub fn load(&self, plan: LoadPlan) -> Load {
        Load::start(&self.stage, self.books.clone(), self.groups.clone(), vec![self.program.addr], plan)
    }

    /// Clients that misbehave, with hits of this path group.
    pub fn rogues(
        &self, manner: misbehaving::Misbehavior, many: usize, group: usize, body: usize,
    ) -> MisbehavingClients {
        self.patient_rogues(manner, many, group, body, Duration::from_millis(1_500))
    }

    /// The same, with hits that say how long they wait.
    pub fn patient_rogues(
        &self, manner: misbehaving::Misbehavior, many: usize, group: usize, body: usize, patience: Duration,
    ) -> MisbehavingClients {
        let kind = HitKind { group, share: 1.0, body_bytes: body, client_timeout: patience };
        MisbehavingClients::start(
            &self.stage,
            &self.books,
            manner,
            many,
            self.program.addr,
            (&self.groups[group], &kind),
        )
    }

    pub fn mood(&self, mood: FaultMode) {
        self.nodes.iter().for_each(|node| node.set_fault_mode(mood));
    }

    /// Starts so many nodes of a build, cold, and lists them; returns their names.
    pub fn add(&mut self, many: usize, build: u16, manner: &NodeBehavior) -> Vec<String> {
        let now_ms = self.stage.clock.now() - stonescale::state::EPOCH;
        let now_ms = now_ms.as_nanos() / 1_000_000;
        let first = self.started;
        self.started += many;
        let capacity = manner.cores as f64 / manner.work_median.as_secs_f64().max(1e-6);
        let fresh: Vec<_> = (first..self.started)
            .map(|n| {
                Node::start(&self.stage, &format!("s-{n}"), n as u64, manner.clone(), self.books.clone())
            })
            .collect();
        let now = self.stage.clock.now();
        fresh.iter().for_each(|n| self.books.lock().node_started(&n.name, capacity, now));
        self.discovery
            .publish(fresh.iter().map(|n| Entry { started_ms: now_ms, ..Entry::up(&n.name, n.addr, build) }));
        let names = fresh.iter().map(|n| n.name.clone()).collect();
        self.nodes.extend(fresh);
        names
    }

    /// Lists nodes in another state, by their names; removed ones are forgotten here.
    pub fn state(&mut self, names: &[String], state: &str) {
        self.discovery.update(names, |entry| entry.state = state.into());
        if state == "removed" {
            self.nodes.iter().filter(|n| names.contains(&n.name)).for_each(Node::stop);
            self.nodes.retain(|n| !names.contains(&n.name));
        }
    }

    /// The most that the marshal was resident with, looked at until `over` says so.
    pub fn most_resident(&self, mut over: impl FnMut() -> bool) -> usize {
        let mut most = 0;
        while !over() {
            most = most.max(self.program.sample().map_or(0, |s| s.resident));
            std::thread::sleep(Duration::from_millis(10));
        }
        most
    }
}
