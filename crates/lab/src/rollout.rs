//! Carries out a release on a running site: starts, drains and removes its nodes, makes the platform announce its
//! stages, and acts on the marshal's votes.

use crate::node::NodeBehavior;
use crate::platform::BuildStatus;
use crate::release::{Action, Release, ReleasePlan};
use crate::world::World;
use std::time::Duration;

/// Time for which a vote is valid, as `vote_stands_ns` in the site's settings.
const VOTE_VALIDITY: Duration = Duration::from_secs(4);

/// A release under way on a running site.
pub struct Rollout {
    /// The build that is offered.
    pub build: u16,
    /// The build that it replaces.
    old_build: u16,
    release: Release,
    /// How nodes of the new build work.
    new_behavior: NodeBehavior,
    /// How nodes of the old build work.
    old_behavior: NodeBehavior,
    /// Names of the new build's nodes.
    new_nodes: Vec<String>,
    /// Names of the nodes that are draining.
    draining: Vec<String>,
}

impl Rollout {
    /// Offers `build` in place of `old_build`; nodes of the two work by `new_behavior` and `old_behavior`.
    pub fn new(
        build: u16, old_build: u16, plan: ReleasePlan, now: Duration, new_behavior: NodeBehavior,
        old_behavior: NodeBehavior,
    ) -> Self {
        let (new_nodes, draining) = (Vec::new(), Vec::new());
        Rollout {
            build,
            old_build,
            release: Release::new(plan, now),
            new_behavior,
            old_behavior,
            new_nodes,
            draining,
        }
    }

    /// Whether the build was released (true) or rolled back (false); none while the release is under way.
    pub fn outcome(&self) -> Option<bool> {
        self.release.outcome()
    }

    /// The current stage, for display.
    pub fn stage(&self) -> usize {
        self.release.stage()
    }

    /// Carries out the actions that are due at `now`, given the marshal's latest valid vote.
    pub fn poll(&mut self, world: &mut World, now: Duration) {
        let vote = world.platform.latest_vote(self.build, VOTE_VALIDITY);
        let verdict_is = |verdict: &str| vote.as_ref().is_some_and(|v| v.verdict == verdict);
        for action in self.release.poll(now, verdict_is("stop"), verdict_is("stay")) {
            match action {
                Action::Announce(stage, phase, cap) => {
                    world.platform.announce(BuildStatus { build: self.build, stage, phase, cap });
                }
                Action::StartNodes(count) => {
                    self.new_nodes.extend(world.add_nodes(count, self.build, &self.new_behavior))
                }
                Action::DrainNodes(count) => {
                    let old = world.nodes.iter().map(|n| n.name.clone());
                    let old = old.filter(|n| !self.new_nodes.contains(n) && !self.draining.contains(n));
                    let old: Vec<_> = old.take(count).collect();
                    world.set_node_state(&old, "draining");
                    self.draining.extend(old);
                }
                Action::RollBack(count) => {
                    let new_nodes = std::mem::take(&mut self.new_nodes);
                    world.set_node_state(&new_nodes, "draining");
                    self.draining.extend(new_nodes);
                    world.add_nodes(count, self.old_build, &self.old_behavior);
                }
                Action::RemoveDrained => {
                    let drained = std::mem::take(&mut self.draining);
                    world.set_node_state(&drained, "removed");
                }
            }
        }
    }
}
