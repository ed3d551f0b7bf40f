//! Carries a release out on a world: starts, drains and removes its nodes, tells the platform, counts the votes.

use crate::node::NodeBehavior;
use crate::platform::BuildStatus;
use crate::release::{Action, Release, ReleasePlan};
use crate::world::World;
use std::time::Duration;

/// For so long a vote stands, by the site's settings.
const STANDS: Duration = Duration::from_secs(4);

pub struct Rollout {
    pub build: u16,
    before: u16,
    release: Release,
    manner: NodeBehavior,
    /// How nodes of the earlier build work.
    usual: NodeBehavior,
    fresh: Vec<String>,
    leaving: Vec<String>,
}

impl Rollout {
    /// Offers `build` in place of `before`; its nodes work by `manner`.
    pub fn new(
        build: u16, before: u16, course: ReleasePlan, now: Duration, manner: NodeBehavior,
        usual: NodeBehavior,
    ) -> Self {
        let (fresh, leaving) = (Vec::new(), Vec::new());
        Rollout { build, before, release: Release::new(course, now), manner, usual, fresh, leaving }
    }

    pub fn outcome(&self) -> Option<bool> {
        self.release.outcome()
    }

    pub fn stage(&self) -> usize {
        self.release.stage()
    }

    /// Does what is due.
    pub fn poll(&mut self, world: &mut World, now: Duration) {
        let vote = world.platform.latest_vote(self.build, STANDS);
        let said = |verdict: &str| vote.as_ref().is_some_and(|v| v.verdict == verdict);
        for step in self.release.poll(now, said("stop"), said("stay")) {
            match step {
                Action::Announce(stage, phase, cap) => {
                    world.platform.announce(BuildStatus { build: self.build, stage, phase, cap });
                }
                Action::StartNodes(many) => self.fresh.extend(world.add(many, self.build, &self.manner)),
                Action::DrainNodes(many) => {
                    let old = world.nodes.iter().map(|n| n.name.clone());
                    let old = old.filter(|n| !self.fresh.contains(n) && !self.leaving.contains(n));
                    let old: Vec<_> = old.take(many).collect();
                    world.state(&old, "draining");
                    self.leaving.extend(old);
                }
                Action::RollBack(many) => {
                    let fresh = std::mem::take(&mut self.fresh);
                    world.state(&fresh, "draining");
                    self.leaving.extend(fresh);
                    world.add(many, self.before, &self.usual);
                }
                Action::RemoveDrained => {
                    let gone = std::mem::take(&mut self.leaving);
                    world.state(&gone, "removed");
                }
            }
        }
    }
}
