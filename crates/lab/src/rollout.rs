//! Carries a release out on a world: starts, drains and removes its nodes, tells the platform, counts the votes.

use crate::node::Manner;
use crate::platform::News;
use crate::release::{Course, Release, Step};
use crate::world::World;
use std::time::Duration;

/// For so long a vote stands, by the site's settings.
const STANDS: Duration = Duration::from_secs(4);

pub struct Rollout {
    pub build: u16,
    before: u16,
    release: Release,
    manner: Manner,
    /// How nodes of the earlier build work.
    usual: Manner,
    fresh: Vec<String>,
    leaving: Vec<String>,
}

impl Rollout {
    /// Offers `build` in place of `before`; its nodes work by `manner`.
    pub fn new(
        build: u16, before: u16, course: Course, now: Duration, manner: Manner, usual: Manner,
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
        let vote = world.platform.vote_on(self.build, STANDS);
        let said = |verdict: &str| vote.as_ref().is_some_and(|v| v.verdict == verdict);
        for step in self.release.poll(now, said("stop"), said("stay")) {
            match step {
                Step::Tell(stage, phase, cap) => {
                    world.platform.tell(News { build: self.build, stage, phase, cap });
                }
                Step::Start(many) => self.fresh.extend(world.add_nodes(many, self.build, &self.manner)),
                Step::Drain(many) => {
                    let old = world.nodes.iter().map(|n| n.name.clone());
                    let old = old.filter(|n| !self.fresh.contains(n) && !self.leaving.contains(n));
                    let old: Vec<_> = old.take(many).collect();
                    world.set_node_state(&old, "draining");
                    self.leaving.extend(old);
                }
                Step::Return(many) => {
                    let fresh = std::mem::take(&mut self.fresh);
                    world.set_node_state(&fresh, "draining");
                    self.leaving.extend(fresh);
                    world.add_nodes(many, self.before, &self.usual);
                }
                Step::Remove => {
                    let gone = std::mem::take(&mut self.leaving);
                    world.set_node_state(&gone, "removed");
                }
            }
        }
    }
}
