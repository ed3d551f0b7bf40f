//! A small site on loopback: one marshal, its nodes, discovery and platform, and the books on them.

use crate::checker::{Books, Bounds, Checker};
use crate::discovery::{Discovery, Entry};
use crate::load::{Kind, Load, Plan};
use crate::node::{Manner, Mood, Node};
use crate::platform::{News, Platform};
use crate::program::Program;
use crate::rogue::{self, Rogues};
use crate::site::{self, Group, Limits};
use crate::stage::Stage;
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
    pub books: Books,
    pub groups: Vec<Group>,
    pub stage: Stage,
    /// Nodes started so far.
    started: usize,
}

impl World {
    /// Starts everything; `args` go to the marshal's command line.
    pub fn start(
        binary: &Path, nodes: usize, limits: Limits, manner: &Manner, args: &[&str],
    ) -> Result<Self, String> {
        Self::start_with_config(binary, nodes, limits, manner, args, |_| ())
    }

    /// The same, with a change to the marshal's configuration.
    pub fn start_with_config(
        binary: &Path, nodes: usize, limits: Limits, manner: &Manner, args: &[&str],
        change: impl FnOnce(&mut Value),
    ) -> Result<Self, String> {
        let (stage, groups) = (Stage::default(), site::groups());
        let books = Books::new(Checker::new(Bounds::default(), 0.1));
        let discovery = Discovery::start(&stage, books.clone());
        let platform = Platform::start(&stage, News::live(FIRST_BUILD), books.clone());
        let nodes: Vec<_> = (0..nodes)
            .map(|n| Node::start(&stage, &format!("s-{n}"), n as u64, manner.clone(), books.clone()))
            .collect();
        discovery.list(nodes.iter().map(|n| Entry::up(&n.name, n.addr, FIRST_BUILD)));
        let news = platform.news().json(0);
        let mut config = site::config(limits, discovery.addr, platform.addr, &news, &discovery.all());
        change(&mut config);
        let program = Program::start(binary, &config, args)?;
        let started = nodes.len();
        Ok(World { program, nodes, discovery, platform, books, groups, stage, started })
    }

    pub fn start_load(&self, plan: Plan) -> Load {
        Load::start(&self.stage, self.books.clone(), self.groups.clone(), vec![self.program.addr], plan)
    }

    /// Clients that misbehave, with hits of this path group.
    pub fn start_rogues(&self, manner: rogue::Manner, many: usize, group: usize, body: usize) -> Rogues {
        self.start_rogues_with_timeout(manner, many, group, body, Duration::from_millis(1_500))
    }

    /// The same, with hits that say how long they wait.
    pub fn start_rogues_with_timeout(
        &self, manner: rogue::Manner, many: usize, group: usize, body: usize, patience: Duration,
    ) -> Rogues {
        let kind = Kind { group, share: 1.0, body, patience };
        Rogues::start(&self.stage, &self.books, manner, many, self.program.addr, (&self.groups[group], &kind))
    }

    pub fn set_all_nodes_mode(&self, mood: Mood) {
        self.nodes.iter().for_each(|node| node.mood(mood));
    }

    /// Starts so many nodes of a build, cold, and lists them; returns their names.
    pub fn add_nodes(&mut self, many: usize, build: u16, manner: &Manner) -> Vec<String> {
        let now_ms = self.stage.clock.now() - stonescale::state::LONG_AGO;
        let now_ms = now_ms.as_nanos() / 1_000_000;
        let first = self.started;
        self.started += many;
        let capacity = manner.cores as f64 / manner.work.as_secs_f64().max(1e-6);
        let fresh: Vec<_> = (first..self.started)
            .map(|n| {
                Node::start(&self.stage, &format!("s-{n}"), n as u64, manner.clone(), self.books.clone())
            })
            .collect();
        let now = self.stage.clock.now();
        fresh.iter().for_each(|n| self.books.lock().starts(&n.name, capacity, now));
        self.discovery
            .list(fresh.iter().map(|n| Entry { started_ms: now_ms, ..Entry::up(&n.name, n.addr, build) }));
        let names = fresh.iter().map(|n| n.name.clone()).collect();
        self.nodes.extend(fresh);
        names
    }

    /// Lists nodes in another state, by their names; removed ones are forgotten here.
    pub fn set_node_state(&mut self, names: &[String], state: &str) {
        self.discovery.change(names, |entry| entry.state = state.into());
        if state == "removed" {
            self.nodes.iter().filter(|n| names.contains(&n.name)).for_each(Node::stop);
            self.nodes.retain(|n| !names.contains(&n.name));
        }
    }

    /// The most that the marshal was resident with, looked at until `over` says so.
    pub fn max_resident_bytes_until(&self, mut over: impl FnMut() -> bool) -> usize {
        let mut most = 0;
        while !over() {
            most = most.max(self.program.usage().map_or(0, |s| s.resident_bytes));
            std::thread::sleep(Duration::from_millis(10));
        }
        most
    }
}
