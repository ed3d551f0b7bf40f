//! Test harness for one marshal: a host that records every call, a manual clock and default settings.

use stonescale::host::*;
use stonescale::policy::Marshal;
use stonescale::settings::*;
use stonescale::time::{Span, Time};

/// A recorded call of the marshal to its host, with the call's arguments in order.
#[derive(Clone, Debug, PartialEq)]
pub enum HostCall {
    Forward(u32, u64),
    Bounce(u32),
    Error(u32),
    Cancel(u32, u8),
    Vote(u16, u8, Verdict),
    Watch,
}

/// Host that records the marshal's calls and keeps its timers until the clock is advanced.
#[derive(Default)]
pub struct RecordingHost {
    pub calls: Vec<HostCall>,
    /// Retry-after delay of each bounce, in the order of the bounces.
    pub retry_after_delays: Vec<Span>,
    /// Due time and token of each pending timer.
    timers: Vec<(Time, u64)>,
    now: Time,
}

impl Host for RecordingHost {
    fn forward(&mut self, hit: u32, node: u64, _timeout: Span) {
        self.calls.push(HostCall::Forward(hit, node));
    }
    fn bounce(&mut self, hit: u32, retry_after: Span) {
        self.retry_after_delays.push(retry_after);
        self.calls.push(HostCall::Bounce(hit));
    }
    fn error(&mut self, hit: u32) {
        self.calls.push(HostCall::Error(hit));
    }
    fn cancel(&mut self, hit: u32, hop: u8) {
        self.calls.push(HostCall::Cancel(hit, hop));
    }
    fn vote(&mut self, build: u16, stage: u8, verdict: Verdict) {
        self.calls.push(HostCall::Vote(build, stage, verdict));
    }
    fn watch(&mut self, _on: bool) {
        self.calls.push(HostCall::Watch);
    }
    fn set_timer(&mut self, delay: Span, token: u64) {
        self.timers.push((self.now + delay, token));
    }
    fn log(&mut self, _text: &str) {}
}

/// Indices of the path groups of `default_settings`, named by the effect of their hits.
pub const REPEATABLE: usize = 0;
pub const TAGGED: usize = 1;
pub const MUTATING: usize = 2;
pub const SECOND: Span = Span::millis(1_000);

/// Settings that a marshal starts with.
pub struct Settings {
    pub path_groups: Vec<PathGroup>,
    pub tenancy: Tenancy,
    pub site_limits: SiteLimits,
    pub exposure: ExposureLimits,
    pub voting: VotingRules,
    pub node_list: NodeListSettings,
    pub warm_up: WarmUp,
}

/// One marshal alone and one path group of each effect; tests change the fields that they need.
pub fn default_settings() -> Settings {
    let path_group = |effect, benefit| PathGroup {
        effect,
        target_latency: Span::millis(400),
        target_stretch: 0.0,
        timeout: SECOND,
        late_benefit: 0.0,
        benefit,
    };
    let tagged = Effect::Tagged { scope: DedupScope::All, dedup_window: SECOND };
    Settings {
        path_groups: vec![
            path_group(Effect::Repeatable, 1.0),
            path_group(tagged, 3.0),
            path_group(Effect::Mutating, 9.0),
        ],
        tenancy: Tenancy::default(),
        site_limits: SiteLimits {
            max_forwards: 5,
            hedging: true,
            cancellation: true,
            max_retry_after: SECOND,
            tick: Span::millis(5),
        },
        exposure: ExposureLimits {
            allowance: 2.0,
            per_group: false,
            repeatable_only_stages: 0,
            sticky_keys: false,
            stage_caps: vec![0.1, 0.5, 1.0],
        },
        voting: VotingRules {
            marshal_index: 0,
            marshal_count: 1,
            control: StageControl::Clock,
            votes_needed: 1,
            holds_needed: 1,
            vote_lifetime: SECOND * 10.0,
            call_timeout: SECOND * 0.1,
            calls_per_s: 50.0,
            reported_share: 0.3,
        },
        node_list: NodeListSettings {
            marshal_index: 0,
            zone: 0,
            cross_zone_cost: 0.02,
            on_request: false,
            max_request_interval: SECOND * 10.0,
            drain_grace: SECOND,
            parallel_layout: true,
        },
        warm_up: WarmUp { initial_share: 0.3, duration: SECOND * 4.0, overload_multiple: 2.0 },
    }
}

/// A marshal with its recording host and the manual clock.
pub struct Harness {
    pub marshal: Marshal,
    pub host: RecordingHost,
    pub now: Time,
    last_hit: u32,
}

impl Settings {
    pub fn start_marshal(self) -> Harness {
        let mut host = RecordingHost { now: Time::at(1_000_000_000_000), ..RecordingHost::default() };
        let now = host.now;
        let hit_settings = (self.path_groups, self.tenancy, self.site_limits);
        let marshal = Marshal::new(
            &mut host,
            now,
            7 + self.node_list.marshal_index as u64,
            hit_settings,
            self.exposure,
            self.voting,
            (self.node_list, self.warm_up),
        );
        Harness { marshal, host, now, last_hit: 0 }
    }
}

impl Harness {
    /// Sends a delta list of nodes, each as id, build and readiness. Odd ids are in zone 1, even ids in zone 0. The
    /// nodes started `age` ago, or at time zero without one.
    pub fn update_nodes(&mut self, nodes: &[(u64, u16, Readiness)], age: Option<Span>) {
        let started = age.map_or(Time::at(0), |age| self.now - age);
        self.marshal.on_list_begin(self.now, ListUpdate::Delta);
        for &(id, build, readiness) in nodes {
            let attributes = NodeAttributes { zone: (id % 2) as u8, ..NodeAttributes::default() };
            self.marshal.on_list_entry(id, attributes, readiness, build, started);
        }
        self.marshal.on_list_end(&mut self.host);
    }

    /// Lists warm, ready nodes of a build.
    pub fn add_ready_nodes(&mut self, ids: std::ops::Range<u64>, build: u16) {
        let nodes: Vec<_> = ids.map(|id| (id, build, Readiness::Ready)).collect();
        self.update_nodes(&nodes, None);
    }

    pub fn set_stage(&mut self, build: u16, stage: u8, status: BuildStatus, cap: f64) {
        let now = self.now;
        self.marshal.on_stage(&mut self.host, now, (build, stage), status, cap, Span::ZERO, None);
    }

    /// Submits a hit without a key and returns its id.
    pub fn submit(&mut self, path_group: usize) -> u32 {
        self.submit_with_key(path_group, 0)
    }

    pub fn submit_with_key(&mut self, path_group: usize, key: u64) -> u32 {
        self.last_hit += 1;
        let (id, grace) = (self.last_hit, SECOND);
        self.marshal.on_hit(&mut self.host, self.now, id, (path_group, 0), key, grace, None);
        id
    }

    pub fn complete_forward(&mut self, hit: u32, hop: u8, outcome: ForwardOutcome, latency_ms: u64) {
        let (latency, last) = (Span::millis(latency_ms), outcome == ForwardOutcome::Ok);
        self.marshal.on_forward_completed(&mut self.host, self.now, (hit, hop), outcome, last, latency);
    }

    /// Advances the clock and fires the timers that come due, in the order of their due times.
    pub fn advance(&mut self, span: Span) {
        let until = self.now + span;
        while let Some(at) = (0..self.host.timers.len()).min_by_key(|at| self.host.timers[*at].0) {
            let (due, token) = self.host.timers[at];
            if due > until {
                break;
            }
            self.host.timers.remove(at);
            (self.now, self.host.now) = (due, due);
            self.marshal.on_timer(&mut self.host, due, token);
        }
        (self.now, self.host.now) = (until, until);
    }

    /// Nodes that a hit was forwarded to, in order of its hops.
    pub fn nodes_of(&self, hit: u32) -> Vec<u64> {
        let node_of = |call: &HostCall| match call {
            HostCall::Forward(forwarded, node) if *forwarded == hit => Some(*node),
            _ => None,
        };
        self.host.calls.iter().filter_map(node_of).collect()
    }

    pub fn was_called(&self, call: HostCall) -> bool {
        self.host.calls.contains(&call)
    }

    /// Submits a hit every 10 ms. `outcome_of` gives the outcome and the latency in milliseconds of a forward to a
    /// node. Returns the node of each forward.
    pub fn run_traffic(
        &mut self, hits: usize, path_group: usize, mut outcome_of: impl FnMut(u64) -> (ForwardOutcome, u64),
    ) -> Vec<u64> {
        let mut nodes = Vec::new();
        for _ in 0..hits {
            let hit = self.submit(path_group);
            self.advance(Span::millis(10));
            let mut hop = 0;
            while let Some(&node) = self.nodes_of(hit).get(usize::from(hop)) {
                let (outcome, latency_ms) = outcome_of(node);
                nodes.push(node);
                self.complete_forward(hit, hop, outcome, latency_ms);
                hop += 1;
            }
        }
        nodes
    }

    /// Discards the recorded calls and the pending timers.
    pub fn clear_calls_and_timers(&mut self) {
        self.host.calls.clear();
        self.host.timers.clear();
    }

    /// Number of votes cast with this verdict, renewals included.
    pub fn votes_cast(&self, verdict: Verdict) -> usize {
        self.host.calls.iter().filter(|c| matches!(c, HostCall::Vote(_, _, v) if *v == verdict)).count()
    }
}
