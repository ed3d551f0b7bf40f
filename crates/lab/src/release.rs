//! One release over the fleet, as the platform drives it: stages by the clock, back where a vote says so. No I/O: the
//! time and the votes are handed in, and what is to be done comes back.

use std::time::Duration;

/// What is to be done next.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Step {
    /// Tell where the build stands: its stage, phase and cap.
    Tell(u8, &'static str, f64),
    /// Start so many nodes of the new build.
    Start(usize),
    /// Drain so many nodes of the earlier build.
    Drain(usize),
    /// Drain all nodes of the new build, and start so many of the earlier one.
    Return(usize),
    /// What drains is gone.
    Remove,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    Offered,
    /// In a stage: its nodes are starting, then carry it.
    Starting(usize),
    Carrying(usize),
    /// On the way back, until the earlier build's nodes are up again.
    Returning,
    Live,
    Recalled,
}

/// How a release goes over a fleet.
#[derive(Clone, Debug)]
pub struct Course {
    pub nodes: usize,
    /// Share of the fleet, and cap, by stage; the last is all of it.
    pub stages: Vec<f64>,
    /// How long a node takes to start, and a stage to pass.
    pub start: Duration,
    pub stage: Duration,
}

#[derive(Debug)]
pub struct Release {
    course: Course,
    state: State,
    since: Duration,
    /// Nodes of the new build started, and of the earlier one drained, so far.
    started: usize,
    drained: usize,
}

impl Release {
    pub fn new(course: Course, now: Duration) -> Self {
        Release { course, state: State::Offered, since: now, started: 0, drained: 0 }
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
            State::Starting(stage) | State::Carrying(stage) => stage,
            State::Live => self.course.stages.len(),
            _ => 0,
        }
    }

    /// The only place where the state changes.
    fn shift(&mut self, to: State, now: Duration) {
        (self.state, self.since) = (to, now);
    }

    fn cap(&self, stage: usize) -> f64 {
        self.course.stages.get(stage).copied().unwrap_or(1.0)
    }

    fn enter(&mut self, stage: usize, now: Duration) -> Vec<Step> {
        let wanted = (self.cap(stage) * self.course.nodes as f64).ceil() as usize;
        let more = wanted.saturating_sub(self.started);
        self.started += more;
        self.shift(State::Starting(stage), now);
        vec![Step::Tell(stage as u8, "testing", self.cap(stage)), Step::Start(more)]
    }

    /// What is to be done by `now`; `back` where a vote against the build stands, `hold` where one stops the clock.
    pub fn poll(&mut self, now: Duration, back: bool, hold: bool) -> Vec<Step> {
        let age = now.saturating_sub(self.since);
        match self.state {
            State::Live | State::Recalled => Vec::new(),
            State::Starting(_) | State::Carrying(_) if back => {
                self.shift(State::Returning, now);
                vec![Step::Tell(0, "recalling", 0.0), Step::Return(self.drained)]
            }
            State::Offered => self.enter(0, now),
            State::Starting(stage) if age >= self.course.start => {
                let drain = self.started - self.drained;
                self.drained = self.started;
                self.shift(State::Carrying(stage), now);
                vec![Step::Drain(drain)]
            }
            State::Carrying(stage) if age >= self.course.stage && !hold => {
                let mut steps = vec![Step::Remove];
                if stage + 1 < self.course.stages.len() {
                    steps.extend(self.enter(stage + 1, now));
                } else {
                    self.shift(State::Live, now);
                    steps.push(Step::Tell(stage as u8, "live", 1.0));
                }
                steps
            }
            State::Returning if age >= self.course.start => {
                self.shift(State::Recalled, now);
                vec![Step::Remove, Step::Tell(0, "recalled", 0.0)]
            }
            _ => Vec::new(),
        }
    }
}
