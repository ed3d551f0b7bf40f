//! How long an answer may be expected to take before a hit is bounced at once. One queue at each node serves all path
//! groups: where each let it grow as its own target latency allows, those with much patience would fill it past the
//! target of those with little, and these would get nothing, however much was left for the others. So hits keep to the
//! wait that the least patient path group can stand, as long as that is a real part of the traffic and can be served
//! in time at all. The least worth is given up first, but no path group for the sake of the others alone.

use crate::settings::PathGroup;

/// Of what the target latency leaves past the usual answer time: what a queue may add to the best hits' answers. With
/// more, answers that scatter come late as often as not, and so do those of clients that were turned away once, whose
/// time runs on.
const LONGEST: f64 = 0.5;
/// Of that, for worthless ones.
const LEAST_WORTH: f64 = 0.4;
/// Part of the traffic from which on a path group's target binds the others too: so rare a one costs more than it brings.
const COUNTS: f64 = 1.0 / 20.0;
/// Weight of a hit in the shares of the path groups.
const SHARE: f64 = 0.01;
/// A path group's usual answer time is the least that its answers took of late, a mean over so many; it rises by so much
/// with each, should they have become slower for good. A mean over all would take a marshal that began in a queue, or a day
/// that is overloaded from its start, for usual. The first guess counts for so many answers.
const RECENT: f64 = 1.0 / 16.0;
const LEARN: f64 = 0.001;
const GUESS: f64 = 2.0;
/// Of the target latency: a path group that usually takes longer can hardly be served, and would bind the others for
/// nothing.
const OVER: f64 = 0.5;
/// Weight of a look in what forwards took lately, and how many answers in their usual time it begins with.
const LATELY: f64 = 0.2;
const BEGIN: f64 = 2.0;
/// Forwards out that tell of no queue: one that stands alone may be lost.
const ALONE: f64 = 1.0;
/// How steeply more are shed past the longest wait: half of them at 1.1 times it, nearly all at 1.5 times. Were all shed at
/// once, a marshal would go without and with a queue by turns; were it flatter, the wait would stand far past its bound.
const STEEP: i32 = 8;
/// Most that is shed: the few that go all the same show when the wait is over.
const MOST: f64 = 0.95;
/// Of all hits, those that are given up by the wait alone, whatever they are worth: each path group so keeps half
/// of what the best one gets. Only what is worth nothing by the settings has no such part.
pub const ALIKE: f64 = 0.5;

/// What is usual: answer times by path group in seconds, and the traffic's parts.
#[derive(Default)]
pub struct Waits {
    targets: Vec<f64>,
    usual: Vec<f64>,
    recent: Vec<f64>,
    met: Vec<f64>,
    shares: Vec<f64>,
    /// Seconds that forwards were out, and how many left their queues, both lately.
    out: f64,
    answers: f64,
}

impl Waits {
    /// Until learnt, an answer is expected in a quarter of the target latency, and the path groups come alike.
    pub fn of(groups: &[PathGroup]) -> Self {
        let targets: Vec<f64> = groups.iter().map(|g| g.target_latency.seconds()).collect();
        let usual: Vec<f64> = targets.iter().map(|target| target / 4.0).collect();
        let shares = vec![1.0 / groups.len().max(1) as f64; groups.len()];
        Waits {
            targets,
            recent: usual.clone(),
            usual,
            met: vec![0.0; groups.len()],
            shares,
            ..Waits::default()
        }
    }

    /// Usual answer time of a path group, in seconds.
    pub fn usual(&self, group: usize) -> f64 {
        self.usual[group]
    }

    /// A hit was taken.
    pub fn taken(&mut self, group: usize) {
        for (at, share) in self.shares.iter_mut().enumerate() {
            *share += SHARE * (f64::from(at == group) - *share);
        }
    }

    /// A hit was answered in so many seconds: a plain mean at first, as light traffic would not learn it in hours.
    pub fn answered(&mut self, group: usize, seconds: f64) {
        self.met[group] += 1.0;
        let weight = (1.0 / (self.met[group] + GUESS)).max(RECENT);
        self.recent[group] += weight * (seconds - self.recent[group]);
        let usual = if weight > RECENT { self.recent[group] } else { self.usual[group] * (1.0 + LEARN) };
        self.usual[group] = usual.min(self.recent[group]);
    }

    /// A forward left its node's queue: served, failed, or overtaken by a later answer, so that its own is lost.
    pub fn done(&mut self) {
        self.answers += 1.0;
    }

    /// So many forwards stood in queues for a span of so many seconds.
    pub fn look(&mut self, open: f64, seconds: f64) {
        self.out = self.out * (1.0 - LATELY) + (open - ALONE).max(0.0) * seconds;
        self.answers *= 1.0 - LATELY;
    }

    /// What an answer takes lately, in seconds: the time that forwards are out for each that leaves. What has
    /// not been answered counts from the start, where the times of answers would tell of a queue only once it is
    /// behind them; and a marshal with a few hits a second knows it as soon as one with many.
    /// May harm: forwards to nodes that are dead and not known for silent yet count as a queue.
    fn lately(&self) -> f64 {
        (self.out + BEGIN * self.mean()) / (self.answers + BEGIN)
    }

    /// Usual answer time of a path group as far as its target latency bears it: what a marshal learnt that began in a
    /// queue counts for no more.
    fn borne(&self, group: usize) -> f64 {
        self.usual[group].min(self.targets[group] * OVER)
    }

    /// Mean of the usual answer times over the traffic.
    fn mean(&self) -> f64 {
        self.shares.iter().enumerate().map(|(at, share)| share * self.borne(at)).sum()
    }

    /// What a queue may add to a path group's answers, in seconds.
    fn slack(&self, group: usize) -> f64 {
        (self.targets[group] - self.borne(group)) * LONGEST
    }

    /// Part of the hits to be shed of those of a path group and worth (0 to 1) that have waited for so many seconds
    /// already, where a usual hit is expected to be answered in `there` by what is known of the node.
    pub fn shed(&self, (group, value): (usize, f64), waited: f64, there: f64) -> f64 {
        let longest = (self.longest(group, value) - waited).max(0.0);
        let expected = self.lately().max(there);
        if expected <= longest { 0.0 } else { (1.0 - (longest / expected).powi(STEEP)).min(MOST) }
    }

    /// Longest expected time of a usual hit's answer, in seconds, up to which one of `group` with this worth
    /// (0 to 1) is forwarded.
    /// May harm: hits with much patience, bounced in a burst that their own targets would have let them sit out.
    fn longest(&self, group: usize, value: f64) -> f64 {
        let binds = |at: &usize| self.shares[*at] >= COUNTS && self.usual[*at] < self.targets[*at] * OVER;
        let slack = (0..self.targets.len()).filter(binds).map(|at| self.slack(at));
        let slack = slack.fold(self.slack(group), f64::min);
        self.mean() + slack * (LEAST_WORTH + (1.0 - LEAST_WORTH) * value)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::settings::Effect;
    use crate::time::Span;
    use proptest::prelude::*;
    use rstest::rstest;

    const LOOK: f64 = 0.25;

    fn group(target_ms: u64) -> PathGroup {
        PathGroup {
            effect: Effect::Repeatable,
            target_latency: Span::millis(target_ms),
            target_stretch: 0.0,
            timeout: Span::millis(target_ms * 3),
            late_benefit: 0.0,
            benefit: 1.0,
        }
    }

    /// Path groups with these targets; their hits come by turns, one of the second in `rare`, and take 60 ms.
    fn calm(targets: [u64; 2], rare: usize) -> Waits {
        let groups: Vec<_> = targets.into_iter().map(group).collect();
        let mut waits = Waits::of(&groups);
        for at in 0..1_000 {
            let of = usize::from(at % rare == 0);
            waits.taken(of);
            waits.answered(of, 0.06);
            waits.done();
        }
        (0..20).for_each(|_| waits.look(0.0, LOOK));
        waits
    }

    /// Part shed at a node where a usual hit is expected to take so many milliseconds; in calm 60 do.
    fn shed(of: &Waits, group: usize, value: f64, ms: f64) -> f64 {
        of.shed((group, value), 0.0, ms / 1e3)
    }

    #[rstest]
    #[case::the_least_patient_binds_all([3_000, 300], 2, true)]
    #[case::not_if_it_is_rare([3_000, 300], 100, false)]
    #[case::nor_if_it_can_hardly_be_served([3_000, 100], 2, false)]
    fn the_patient_keep_to_what_the_others_can_stand(
        #[case] targets: [u64; 2], #[case] rare: usize, #[case] binds: bool,
    ) {
        let calm = calm(targets, rare);
        assert!(shed(&calm, 0, 1.0, 60.0) == 0.0);
        assert_eq!(shed(&calm, 0, 1.0, 600.0) > 0.9, binds);
    }

    #[rstest]
    fn who_has_no_target_latency_at_all_leaves_the_others_theirs() {
        let waits = Waits::of(&[group(1_200), group(0)]);
        assert!(shed(&waits, 0, 1.0, 400.0) == 0.0);
    }

    #[rstest]
    fn a_day_that_begins_in_a_queue_does_not_pass_for_usual() {
        let mut waits = Waits::of(&[group(1_200)]);
        (0..200).for_each(|n| waits.answered(0, 0.06 + 0.0042 * f64::from(n)));
        assert!(shed(&waits, 0, 1.0, 900.0) > 0.5, "the first answers took some 100 ms");
    }

    #[rstest]
    fn the_least_worth_goes_first_but_not_for_what_is_usual() {
        let calm = calm([300, 300], 2);
        let at = |value| [60.0, 120.0, 200.0, 400.0].map(|ms| shed(&calm, 0, value, ms));
        let (none, little, full) = (at(0.0), at(0.1), at(1.0));
        assert!(none[0] == 0.0 && none[1] > 0.0 && full[1] == 0.0 && full[2] > 0.0, "{none:?} {full:?}");
        assert!((1..4).all(|k| none[k] >= little[k] && little[k] >= full[k]));
    }

    #[rstest]
    #[case::a_few_hits_a_second(4.0)]
    #[case::many(400.0)]
    fn a_queue_is_known_before_its_answers_come_and_forgotten_soon_after(#[case] rate: f64) {
        let mut calm = calm([1_200, 1_200], 2);
        let looks = |waits: &mut Waits, n: usize, open: f64, answers: f64| {
            for _ in 0..n {
                for _ in 0..(answers * LOOK) as usize {
                    waits.answered(0, 0.06);
                    waits.done();
                }
                waits.look(open, LOOK);
            }
        };
        looks(&mut calm, 20, rate * 0.06, rate);
        assert!(shed(&calm, 0, 1.0, 60.0) == 0.0);
        // Nothing comes back, and what is out adds up.
        (1..=8).for_each(|n| looks(&mut calm, 1, rate * LOOK * f64::from(n), 0.0));
        assert!(shed(&calm, 0, 1.0, 60.0) > 0.5);
        looks(&mut calm, 16, 0.0, rate);
        assert!(shed(&calm, 0, 1.0, 60.0) == 0.0);
    }

    proptest! {
        #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

        #[test]
        fn a_part_is_a_part_and_less_for_more_worth(
            targets in prop::array::uniform2(0u64..100_000), ms in 0.0..1e6f64, value in 0.0..1.0f64,
            waited in 0.0..1e3f64,
        ) {
            let waits = calm(targets, 2);
            let part = |value| waits.shed((0, value), waited, ms / 1e3);
            prop_assert!((0.0..=MOST).contains(&part(value)));
            prop_assert!(part(1.0) <= part(value));
        }
    }
}
