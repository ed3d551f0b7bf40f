//! State machine of one release over the fleet, as the platform drives it: stages advance with time, and a vote can
//! roll the build back. It does no I/O: time and votes are arguments, and the actions to take are returned.

use std::time::Duration;

/// An action that the release asks for.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Action {
    /// Report the build's stage, phase and cap to the marshals.
    Announce(u8, &'static str, f64),
    /// Start this many nodes of the new build.
    StartNodes(usize),
    /// Drain this many nodes of the previous build.
    DrainNodes(usize),
    /// Drain all nodes of the new build, and start this many of the previous one.
    RollBack(usize),
    /// Remove the nodes that are draining.
    RemoveDrained,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Not started yet.
    Offered,
    /// In this stage: its nodes are starting, then serving.
    Starting(usize),
    Serving(usize),
    /// Rolling back, until the nodes of the previous build have started.
    RollingBack,
    /// Released.
    Live,
    /// Rolled back, and the previous build's nodes have started.
    Recalled,
}

/// Plan of a release.
#[derive(Clone, Debug)]
pub struct ReleasePlan {
    /// Number of nodes of the fleet, to which the stage shares apply.
    pub node_count: usize,
    /// Share of the fleet by stage, which is also the stage's cap; the last is 1.
    pub stage_shares: Vec<f64>,
    /// Time that the nodes of a stage or of a rollback are given to start.
    pub node_start_duration: Duration,
    /// Time that a stage lasts once its nodes have started; a vote that holds the stage extends it.
    pub stage_duration: Duration,
}

/// A release under way.
#[derive(Debug)]
pub struct Release {
    plan: ReleasePlan,
    state: State,
    /// Time at which the state was entered.
    state_since: Duration,
    /// Nodes of the new build started so far, and of the previous one drained.
    started: usize,
    drained: usize,
}

impl Release {
    /// A release whose first stage starts at the first poll. `now` and the times of all polls have a common origin.
    pub fn new(plan: ReleasePlan, now: Duration) -> Self {
        Release { plan, state: State::Offered, state_since: now, started: 0, drained: 0 }
    }

    /// Whether the build was released (true) or rolled back (false); none while the release is under way.
    pub fn outcome(&self) -> Option<bool> {
        match self.state {
            State::Live => Some(true),
            State::Recalled => Some(false),
            _ => None,
        }
    }

    /// The current stage, for display.
    pub fn stage(&self) -> usize {
        match self.state {
            State::Starting(stage) | State::Serving(stage) => stage,
            State::Live => self.plan.stage_shares.len(),
            _ => 0,
        }
    }

    /// Changes the state; no other code does.
    fn enter_state(&mut self, state: State, now: Duration) {
        (self.state, self.state_since) = (state, now);
    }

    fn cap(&self, stage: usize) -> f64 {
        self.plan.stage_shares.get(stage).copied().unwrap_or(1.0)
    }

    /// Starts a stage: reports it, and starts as many nodes as its share asks for.
    fn enter_stage(&mut self, stage: usize, now: Duration) -> Vec<Action> {
        let target_nodes = (self.cap(stage) * self.plan.node_count as f64).ceil() as usize;
        let additional = target_nodes.saturating_sub(self.started);
        self.started += additional;
        self.enter_state(State::Starting(stage), now);
        vec![Action::Announce(stage as u8, "testing", self.cap(stage)), Action::StartNodes(additional)]
    }

    /// Actions due at `now`. `stop_vote` is true while a vote against the build is valid, `hold_vote` while one holds
    /// the stage.
    pub fn poll(&mut self, now: Duration, stop_vote: bool, hold_vote: bool) -> Vec<Action> {
        let age = now.saturating_sub(self.state_since);
        match self.state {
            State::Live | State::Recalled => Vec::new(),
            State::Starting(_) | State::Serving(_) if stop_vote => {
                self.enter_state(State::RollingBack, now);
                vec![Action::Announce(0, "recalling", 0.0), Action::RollBack(self.drained)]
            }
            State::Offered => self.enter_stage(0, now),
            State::Starting(stage) if age >= self.plan.node_start_duration => {
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
            State::RollingBack if age >= self.plan.node_start_duration => {
                self.enter_state(State::Recalled, now);
                vec![Action::RemoveDrained, Action::Announce(0, "recalled", 0.0)]
            }
            _ => Vec::new(),
        }
    }
}
