//! Load shedding: how long an answer may be expected to take before a hit is bounced at once. One queue at each node
//! serves all path groups. If each path group let it grow as its own target latency allows, hits with much patience
//! would fill it past the target of those with little, which would get no answers in time, however much capacity was
//! left for the others. So all hits keep to the wait that the least patient path group tolerates, as long as that is a
//! real part of the traffic and can be served in time at all. Hits of the least value are shed first, but no path group
//! is shed entirely for the sake of the others.

use crate::settings::PathGroup;

/// Part of the slack, which is the target latency less the usual answer time, that a queue may use up for hits of the
/// highest value. With more, answers whose times vary are late as often as not, and so are those of clients that were
/// bounced once, whose time keeps running.
const QUEUE_SLACK_SHARE: f64 = 0.5;
/// Of that part, what hits of no value may use up.
const ZERO_VALUE_SLACK_SHARE: f64 = 0.4;
/// Share of the traffic from which a path group's target limits the others too: a rarer one costs more than it brings.
const MIN_BINDING_SHARE: f64 = 1.0 / 20.0;
/// Weight of a hit in the traffic shares of the path groups.
const TRAFFIC_SHARE_WEIGHT: f64 = 0.01;
/// A path group's usual answer time is the minimum over time of a moving average with this weight, raised by a small
/// factor with each answer, in case answers have become slower for good. With a mean over all answers, the queue that a
/// marshal found at its start, or a day that is overloaded from its start, would count as usual. The initial estimate
/// counts as a number of answers.
const RECENT_WEIGHT: f64 = 1.0 / 16.0;
const USUAL_GROWTH: f64 = 0.001;
const INITIAL_ESTIMATE_ANSWERS: f64 = 2.0;
/// Of the target latency: a path group that usually takes longer can hardly be served, and would limit the others in
/// vain.
const MAX_USUAL_TARGET_SHARE: f64 = 0.5;
/// Weight of an evaluation interval in the recent answer time, and the number of answers in their usual time that it
/// starts with.
const INTERVAL_WEIGHT: f64 = 0.2;
const INITIAL_ANSWERS: f64 = 2.0;
/// Queued forwards that don't count as a queue: a single one may be lost.
const IGNORED_FORWARDS: f64 = 1.0;
/// How steeply more hits are shed past the longest expected time: half of them at 1.1 times it, nearly all at 1.5 times.
/// If all were shed at once, a marshal would alternate between no queue and a full one; with a flatter curve, the wait
/// would settle far past its bound.
const SHED_EXPONENT: i32 = 8;
/// Most that is shed: the few hits that are forwarded anyway show when the wait is over.
const MAX_SHED_SHARE: f64 = 0.95;
/// Share of all hits that are shed by the wait alone, whatever their value: each path group so keeps half of what the
/// one of the highest value gets. Only path groups of no benefit by the settings have no such share.
pub const VALUE_BLIND_SHARE: f64 = 0.5;

/// Usual answer times by path group in seconds, the traffic shares, and the recent answer time.
#[derive(Default)]
pub struct LoadShedder {
    target_seconds: Vec<f64>,
    usual_seconds: Vec<f64>,
    recent_seconds: Vec<f64>,
    answer_counts: Vec<f64>,
    traffic_shares: Vec<f64>,
    /// Seconds that forwards stood in queues, and how many left them, both with exponential decay.
    queued_seconds: f64,
    dequeued: f64,
}

impl LoadShedder {
    /// Before any answer, answers are expected in a quarter of the target latency, and equal traffic from all path
    /// groups.
    pub fn new(groups: &[PathGroup]) -> Self {
        let target_seconds: Vec<f64> = groups.iter().map(|g| g.target_latency.seconds()).collect();
        let usual_seconds: Vec<f64> = target_seconds.iter().map(|target| target / 4.0).collect();
        let traffic_shares = vec![1.0 / groups.len().max(1) as f64; groups.len()];
        LoadShedder {
            target_seconds,
            recent_seconds: usual_seconds.clone(),
            usual_seconds,
            answer_counts: vec![0.0; groups.len()],
            traffic_shares,
            ..LoadShedder::default()
        }
    }

    /// Usual answer time of a path group, in seconds.
    pub fn usual_seconds(&self, group: usize) -> f64 {
        self.usual_seconds[group]
    }

    /// A hit was received.
    pub fn record_hit(&mut self, group: usize) {
        for (at, share) in self.traffic_shares.iter_mut().enumerate() {
            *share += TRAFFIC_SHARE_WEIGHT * (f64::from(at == group) - *share);
        }
    }

    /// A hit was answered after `seconds`. The average is a plain mean at first, as light traffic would take hours to
    /// correct the initial estimate.
    pub fn record_answer(&mut self, group: usize, seconds: f64) {
        self.answer_counts[group] += 1.0;
        let weight = (1.0 / (self.answer_counts[group] + INITIAL_ESTIMATE_ANSWERS)).max(RECENT_WEIGHT);
        self.recent_seconds[group] += weight * (seconds - self.recent_seconds[group]);
        let usual = if weight > RECENT_WEIGHT {
            self.recent_seconds[group]
        } else {
            self.usual_seconds[group] * (1.0 + USUAL_GROWTH)
        };
        self.usual_seconds[group] = usual.min(self.recent_seconds[group]);
    }

    /// A forward left its node's queue: served, failed, or overtaken by a later answer, so that its own is lost.
    pub fn record_dequeued(&mut self) {
        self.dequeued += 1.0;
    }

    /// Ends an evaluation interval of `seconds`, at the end of which `queued` forwards stand in queues.
    pub fn end_interval(&mut self, queued: f64, seconds: f64) {
        self.queued_seconds =
            self.queued_seconds * (1.0 - INTERVAL_WEIGHT) + (queued - IGNORED_FORWARDS).max(0.0) * seconds;
        self.dequeued *= 1.0 - INTERVAL_WEIGHT;
    }

    /// Recent answer time in seconds: the time that forwards stand in queues for each one that leaves (Little's law).
    /// It counts forwards that are not answered yet from the start, where the times of answers would show a queue only
    /// after they have passed it; and a marshal with a few hits per second sees it as soon as one with many.
    /// Limitation: forwards to nodes that are dead and not yet known to be silent count as a queue.
    fn recent_answer_seconds(&self) -> f64 {
        (self.queued_seconds + INITIAL_ANSWERS * self.mean_usual_seconds())
            / (self.dequeued + INITIAL_ANSWERS)
    }

    /// Usual answer time of a path group, bounded by `MAX_USUAL_TARGET_SHARE` of its target latency, in case the
    /// marshal started with a queue and took it for usual.
    fn servable_seconds(&self, group: usize) -> f64 {
        self.usual_seconds[group].min(self.target_seconds[group] * MAX_USUAL_TARGET_SHARE)
    }

    /// Mean of the usual answer times over the traffic.
    fn mean_usual_seconds(&self) -> f64 {
        self.traffic_shares.iter().enumerate().map(|(at, share)| share * self.servable_seconds(at)).sum()
    }

    /// What a queue may add to a path group's answers, in seconds.
    fn queue_slack_seconds(&self, group: usize) -> f64 {
        (self.target_seconds[group] - self.servable_seconds(group)) * QUEUE_SLACK_SHARE
    }

    /// Share to be shed of the hits of a path group and value (0 to 1) that have waited for `waited_seconds` already,
    /// where the state of the node alone lets a mean hit expect an answer after `node_seconds`.
    pub fn shed_probability(
        &self, (group, value): (usize, f64), waited_seconds: f64, node_seconds: f64,
    ) -> f64 {
        let longest = (self.max_expected_seconds(group, value) - waited_seconds).max(0.0);
        let expected = self.recent_answer_seconds().max(node_seconds);
        if expected <= longest {
            0.0
        } else {
            (1.0 - (longest / expected).powi(SHED_EXPONENT)).min(MAX_SHED_SHARE)
        }
    }

    /// Longest expected time of a mean hit's answer, in seconds, up to which hits of `group` with this value (0 to 1)
    /// are all forwarded.
    /// Limitation: hits with much patience are bounced in a burst that their own target would have let them sit out.
    fn max_expected_seconds(&self, group: usize, value: f64) -> f64 {
        let binds = |at: &usize| {
            self.traffic_shares[*at] >= MIN_BINDING_SHARE
                && self.usual_seconds[*at] < self.target_seconds[*at] * MAX_USUAL_TARGET_SHARE
        };
        let slack = (0..self.target_seconds.len()).filter(binds).map(|at| self.queue_slack_seconds(at));
        let slack = slack.fold(self.queue_slack_seconds(group), f64::min);
        self.mean_usual_seconds() + slack * (ZERO_VALUE_SLACK_SHARE + (1.0 - ZERO_VALUE_SLACK_SHARE) * value)
    }
}

#[cfg(test)]
mod tests {
    use super::*;
    use crate::settings::Effect;
    use crate::time::Span;
    use proptest::prelude::*;
    use rstest::rstest;

    const INTERVAL_SECONDS: f64 = 0.25;

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

    /// A load shedder without a queue, for two path groups with these targets. One hit in `second_every` is of the
    /// second one; answers take 60 ms.
    fn idle(targets: [u64; 2], second_every: usize) -> LoadShedder {
        let groups: Vec<_> = targets.into_iter().map(group).collect();
        let mut shedder = LoadShedder::new(&groups);
        for at in 0..1_000 {
            let of = usize::from(at % second_every == 0);
            shedder.record_hit(of);
            shedder.record_answer(of, 0.06);
            shedder.record_dequeued();
        }
        (0..20).for_each(|_| shedder.end_interval(0.0, INTERVAL_SECONDS));
        shedder
    }

    /// Share shed at a node where a mean hit is expected to take `ms` milliseconds; 60 are usual.
    fn shed(shedder: &LoadShedder, group: usize, value: f64, ms: f64) -> f64 {
        shedder.shed_probability((group, value), 0.0, ms / 1e3)
    }

    #[rstest]
    #[case::shorter_target_limits_both([3_000, 300], 2, true)]
    #[case::not_if_rare([3_000, 300], 100, false)]
    #[case::not_if_hardly_servable([3_000, 100], 2, false)]
    fn the_shortest_target_limits_the_wait_of_all_path_groups(
        #[case] targets: [u64; 2], #[case] second_every: usize, #[case] limits: bool,
    ) {
        let shedder = idle(targets, second_every);
        assert!(shed(&shedder, 0, 1.0, 60.0) == 0.0);
        assert_eq!(shed(&shedder, 0, 1.0, 600.0) > 0.9, limits);
    }

    #[rstest]
    fn a_path_group_with_a_zero_target_does_not_limit_the_others() {
        let shedder = LoadShedder::new(&[group(1_200), group(0)]);
        assert!(shed(&shedder, 0, 1.0, 400.0) == 0.0);
    }

    #[rstest]
    fn answer_times_of_a_start_under_overload_do_not_become_usual() {
        let mut shedder = LoadShedder::new(&[group(1_200)]);
        (0..200).for_each(|n| shedder.record_answer(0, 0.06 + 0.0042 * f64::from(n)));
        assert!(shed(&shedder, 0, 1.0, 900.0) > 0.5, "the first answers took some 100 ms");
    }

    #[rstest]
    fn the_least_value_is_shed_first_but_nothing_at_the_usual_time() {
        let shedder = idle([300, 300], 2);
        let at = |value| [60.0, 120.0, 200.0, 400.0].map(|ms| shed(&shedder, 0, value, ms));
        let (none, little, full) = (at(0.0), at(0.1), at(1.0));
        assert!(none[0] == 0.0 && none[1] > 0.0 && full[1] == 0.0 && full[2] > 0.0, "{none:?} {full:?}");
        assert!((1..4).all(|k| none[k] >= little[k] && little[k] >= full[k]));
    }

    #[rstest]
    #[case::a_few_hits_a_second(4.0)]
    #[case::many_hits_a_second(400.0)]
    fn a_queue_is_detected_before_its_answers_arrive_and_forgotten_soon_after(#[case] rate: f64) {
        let mut shedder = idle([1_200, 1_200], 2);
        let intervals = |shedder: &mut LoadShedder, n: usize, queued: f64, answer_rate: f64| {
            for _ in 0..n {
                for _ in 0..(answer_rate * INTERVAL_SECONDS) as usize {
                    shedder.record_answer(0, 0.06);
                    shedder.record_dequeued();
                }
                shedder.end_interval(queued, INTERVAL_SECONDS);
            }
        };
        intervals(&mut shedder, 20, rate * 0.06, rate);
        assert!(shed(&shedder, 0, 1.0, 60.0) == 0.0);
        // No answers arrive, and the open forwards add up.
        (1..=8).for_each(|n| intervals(&mut shedder, 1, rate * INTERVAL_SECONDS * f64::from(n), 0.0));
        assert!(shed(&shedder, 0, 1.0, 60.0) > 0.5);
        intervals(&mut shedder, 16, 0.0, rate);
        assert!(shed(&shedder, 0, 1.0, 60.0) == 0.0);
    }

    proptest! {
        #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

        #[test]
        fn the_shed_share_is_bounded_and_falls_with_value(
            targets in prop::array::uniform2(0u64..100_000), ms in 0.0..1e6f64, value in 0.0..1.0f64,
            waited in 0.0..1e3f64,
        ) {
            let shedder = idle(targets, 2);
            let share = |value| shedder.shed_probability((0, value), waited, ms / 1e3);
            prop_assert!((0.0..=MAX_SHED_SHARE).contains(&share(value)));
            prop_assert!(share(1.0) <= share(value));
        }
    }
}
