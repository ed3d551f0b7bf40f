//! Carries out a release on a running site: starts, drains and removes its nodes, makes the platform announce its
//! stages, and follows the marshal's votes.

use crate::node::NodeBehavior;
use crate::platform::BuildStatus;
use crate::release::{Action, Release, ReleasePlan};
use crate::world::World;
use std::time::Duration;

/// Time for which a vote is valid, as `vote_stands_ns` in the site's settings.
const VOTE_VALIDITY: Duration = Duration::from_secs(4);

/// A release under way.
pub struct Rollout {
    /// The build that is offered.
    pub build: u16,
    /// The build that it replaces.
    old_build: u16,
    release: Release,
    /// How nodes of the new build work.
    new_manner: NodeBehavior,
    /// How nodes of the old build work.
    old_manner: NodeBehavior,
    /// Names of the new build's nodes.
    new_nodes: Vec<String>,
    /// Names of the nodes that are draining.
    draining: Vec<String>,
}

impl Rollout {
    /// Offers `build` in place of `old_build`, whose nodes work by `old_manner`; nodes of `build` work by `new_manner`.
    pub fn new(
        build: u16, old_build: u16, course: ReleasePlan, now: Duration, new_manner: NodeBehavior,
        old_manner: NodeBehavior,
    ) -> Self {
        let (new_nodes, draining) = (Vec::new(), Vec::new());
        Rollout {
            build,
            old_build,
            release: Release::new(course, now),
            new_manner,
            old_manner,
            new_nodes,
            draining,
        }
    }

    /// Whether the build was released, once that is decided.
    pub fn outcome(&self) -> Option<bool> {
        self.release.outcome()
    }

    /// The stage that it is in.
    pub fn stage(&self) -> usize {
        self.release.stage()
    }

    /// Carries out the steps that are due at `now`, by the marshal's present vote.
    pub fn poll(&mut self, world: &mut World, now: Duration) {
        let vote = world.platform.latest_vote(self.build, VOTE_VALIDITY);
        let verdict_is = |verdict: &str| vote.as_ref().is_some_and(|v| v.verdict == verdict);
        for step in self.release.poll(now, verdict_is("stop"), verdict_is("stay")) {
            match step {
                Action::Announce(stage, phase, cap) => {
                    world.platform.announce(BuildStatus { build: self.build, stage, phase, cap });
                }
                Action::StartNodes(count) => {
                    self.new_nodes.extend(world.add_nodes(count, self.build, &self.new_manner))
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
                    world.add_nodes(count, self.old_build, &self.old_manner);
                }
                Action::RemoveDrained => {
                    let drained = std::mem::take(&mut self.draining);
                    world.set_node_state(&drained, "removed");
                }
            }
        }
    }
}
