//! One release over the fleet, as the platform drives it: stages by the clock, back where a vote says so. No I/O: the
//! time and the votes are handed in, and what is to be done comes back.

use std::time::Duration;

/// What is to be done next.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Tell where the build stands: its stage, phase and cap.
    Announce(u8, &'static str, f64),
    /// Start so many nodes of the new build.
    StartNodes(usize),
    /// Drain so many nodes of the earlier build.
    DrainNodes(usize),
    /// Drain all nodes of the new build, and start so many of the earlier one.
    RollBack(usize),
    /// What drains is gone.
    RemoveDrained,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Offered,
    /// In a stage: its nodes are starting, then carry it.
    Starting(usize),
    Serving(usize),
    /// On the way back, until the earlier build's nodes are up again.
    RollingBack,
    Live,
    Recalled,
}

/// How a release goes over a fleet.
#[derive(Clone, Debug)]
pub struct ReleasePlan {
    pub nodes: usize,
    /// Share of the fleet, and cap, by stage; the last is all of it.
    pub stage_shares: Vec<f64>,
    /// How long a node takes to start, and a stage to pass.
    pub node_start: Duration,
    pub stage_duration: Duration,
}

#[derive(Debug)]
pub struct Release {
    plan: ReleasePlan,
    state: State,
    since: Duration,
    /// Nodes of the new build started, and of the earlier one drained, so far.
    started: usize,
    drained: usize,
}

impl Release {
    pub fn new(plan: ReleasePlan, now: Duration) -> Self {
        Release { plan, state: State::Offered, since: now, started: 0, drained: 0 }
    }

    /// Whether the build was released, once that is settled.
    pub fn outcome(&self) -> Option<bool> {
        match self.state {
            State::Live => Some(true),
            State::Recalled => Some(false),
            _ => None,
        }
    }

    /// The stage it is in, for people to look at.
    pub fn stage(&self) -> usize {
        match self.state {
            State::Starting(stage) | State::Serving(stage) => stage,
            State::Live => self.plan.stage_shares.len(),
            _ => 0,
        }
    }

    /// The only place where the state changes.
    fn enter_state(&mut self, to: State, now: Duration) {
        (self.state, self.since) = (to, now);
    }

    fn cap(&self, stage: usize) -> f64 {
        self.plan.stage_shares.get(stage).copied().unwrap_or(1.0)
    }

    fn enter_stage(&mut self, stage: usize, now: Duration) -> Vec<Action> {
        let target_nodes = (self.cap(stage) * self.plan.nodes as f64).ceil() as usize;
        let additional = target_nodes.saturating_sub(self.started);
        self.started += additional;
        self.enter_state(State::Starting(stage), now);
        vec![Action::Announce(stage as u8, "testing", self.cap(stage)), Action::StartNodes(additional)]
    }

    /// What is to be done by `now`; `back` where a vote against the build stands, `hold` where one stops the clock.
    pub fn poll(&mut self, now: Duration, stop_vote: bool, hold_vote: bool) -> Vec<Action> {
        let age = now.saturating_sub(self.since);
        match self.state {
            State::Live | State::Recalled => Vec::new(),
            State::Starting(_) | State::Serving(_) if stop_vote => {
                self.enter_state(State::RollingBack, now);
                vec![Action::Announce(0, "recalling", 0.0), Action::RollBack(self.drained)]
            }
            State::Offered => self.enter_stage(0, now),
            State::Starting(stage) if age >= self.plan.node_start => {
                let to_drain = self.started - self.drained;
                self.drained = self.started;
                self.enter_state(State::Serving(stage), now);
                vec![Action::DrainNodes(to_drain)]
            }
            State::Serving(stage) if age >= self.plan.stage_duration && !hold_vote => {
                let mut actions = vec![Action::RemoveDrained];
                if stage + 1 < self.plan.stage_shares.len() {
                    actions.extend(self.enter_stage(stage + 1, now));
                } else {
                    self.enter_state(State::Live, now);
                    actions.push(Action::Announce(stage as u8, "live", 1.0));
                }
                actions
            }
            State::RollingBack if age >= self.plan.node_start => {
                self.enter_state(State::Recalled, now);
                vec![Action::RemoveDrained, Action::Announce(0, "recalled", 0.0)]
            }
            _ => Vec::new(),
        }
    }
}
