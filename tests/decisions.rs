//! Decisions of one marshal when nodes, builds, marshals or the platform fail. Each test sets up one condition.

mod support;

use rstest::rstest;
use stonescale::host::*;
use stonescale::settings::*;
use stonescale::state::{Node, Nodes};
use stonescale::time::{Span, Time};
use support::*;

const OLD_BUILD: u16 = 4;
const NEW_BUILD: u16 = 5;

/// Starts a marshal with ready nodes that run the released build.
fn start_released_with(settings: Settings, node_count: u64) -> Harness {
    let mut harness = settings.start_marshal();
    harness.add_ready_nodes(0..node_count, OLD_BUILD);
    harness.set_stage(OLD_BUILD, 2, BuildStatus::Released, 1.0);
    harness
}

fn start_released(node_count: u64) -> Harness {
    start_released_with(default_settings(), node_count)
}

/// Starts a marshal with ten earlier nodes and 6 s of good traffic, then puts `new_nodes` nodes of a new build on trial
/// at a cap of 0.5.
fn start_trial_with(settings: Settings, new_nodes: u64) -> Harness {
    let mut harness = start_released_with(settings, 10);
    harness.run_traffic(600, REPEATABLE, ok_in_60_ms);
    harness.set_stage(NEW_BUILD, 0, BuildStatus::OnTrial, 0.5);
    harness.add_ready_nodes(100..100 + new_nodes, NEW_BUILD);
    harness
}

fn start_trial(new_nodes: u64) -> Harness {
    start_trial_with(default_settings(), new_nodes)
}

fn ok_in_60_ms(_: u64) -> (ForwardOutcome, u64) {
    (ForwardOutcome::Ok, 60)
}

// ---- Each hit gets exactly one answer, in time ----

#[rstest]
#[case::repeatable(REPEATABLE, true)]
#[case::tagged(TAGGED, true)]
#[case::mutating(MUTATING, false)]
fn unanswered_forwards_end_in_a_bounce_or_error_by_the_deadline(
    #[case] path_group: usize, #[case] bounced: bool,
) {
    let mut harness = start_released(4);
    let hit = harness.submit(path_group);
    harness.advance(SECOND);
    let answers = [HostCall::Bounce(hit), HostCall::Error(hit)].map(|c| harness.was_called(c));
    assert_eq!(answers, [bounced, !bounced]);
    let forwards = harness.nodes_of(hit).len();
    harness.advance(SECOND * 3.0);
    assert_eq!(harness.nodes_of(hit).len(), forwards, "nothing is sent after the answer");
}

#[rstest]
fn hit_without_nodes_is_held_then_bounced_after_the_hold_limit() {
    let mut harness = default_settings().start_marshal();
    harness.set_stage(OLD_BUILD, 2, BuildStatus::Released, 1.0);
    let hit = harness.submit(MUTATING);
    harness.advance(Span::millis(100));
    assert!(!harness.was_called(HostCall::Bounce(hit)));
    harness.advance(Span::millis(400));
    assert!(harness.was_called(HostCall::Bounce(hit)), "held past the hold limit");
}

#[rstest]
fn held_hit_is_forwarded_when_a_node_is_listed() {
    let mut harness = default_settings().start_marshal();
    harness.set_stage(OLD_BUILD, 2, BuildStatus::Released, 1.0);
    let hit = harness.submit(MUTATING);
    harness.add_ready_nodes(3..4, OLD_BUILD);
    assert_eq!(harness.nodes_of(hit), [3]);
}

#[rstest]
fn answered_hedge_cancels_the_first_forward() {
    let mut harness = start_released(4);
    harness.run_traffic(50, REPEATABLE, ok_in_60_ms);
    let hit = harness.submit(REPEATABLE);
    harness.advance(Span::millis(300));
    assert_eq!(harness.nodes_of(hit).len(), 2);
    harness.complete_forward(hit, 1, ForwardOutcome::Ok, 50);
    assert!(harness.was_called(HostCall::Cancel(hit, 0)));
}

// ---- No duplicate effects ----

#[rstest]
#[case(REPEATABLE, ForwardOutcome::Error, 2, false)]
#[case(TAGGED, ForwardOutcome::Error, 2, false)]
#[case(MUTATING, ForwardOutcome::Error, 1, true)]
#[case(MUTATING, ForwardOutcome::Reset, 1, true)]
#[case(MUTATING, ForwardOutcome::Rejected, 2, false)]
#[case(MUTATING, ForwardOutcome::Unreached, 2, false)]
fn forwards_that_may_run_twice_or_never_ran_are_retried_and_others_errored(
    #[case] path_group: usize, #[case] outcome: ForwardOutcome, #[case] forwards: usize,
    #[case] errored: bool,
) {
    let mut harness = start_released(4);
    let hit = harness.submit(path_group);
    harness.complete_forward(hit, 0, outcome, 5);
    assert_eq!((harness.nodes_of(hit).len(), harness.was_called(HostCall::Error(hit))), (forwards, errored));
    assert!(!harness.was_called(HostCall::Bounce(hit)));
}

#[rstest]
fn tagged_hit_is_retried_only_within_its_dedup_scope_and_window() {
    let mut settings = default_settings();
    settings.path_groups[TAGGED].effect =
        Effect::Tagged { scope: DedupScope::Zone, dedup_window: Span::millis(100) };
    let mut harness = start_released_with(settings, 6);
    let hit = harness.submit(TAGGED);
    harness.complete_forward(hit, 0, ForwardOutcome::Error, 5);
    let nodes = harness.nodes_of(hit);
    assert_eq!(nodes.len(), 2);
    assert_eq!(nodes[0] % 2, nodes[1] % 2);
    harness.advance(Span::millis(99));
    harness.complete_forward(hit, 1, ForwardOutcome::Error, 99);
    assert_eq!(harness.nodes_of(hit).len(), 2, "the dedup window has passed");
    assert!(harness.was_called(HostCall::Error(hit)) && !harness.was_called(HostCall::Bounce(hit)));
}

#[rstest]
fn mutating_hit_is_not_hedged() {
    let mut harness = start_released(4);
    harness.run_traffic(50, MUTATING, ok_in_60_ms);
    let hit = harness.submit(MUTATING);
    harness.advance(Span::millis(900));
    assert_eq!(harness.nodes_of(hit).len(), 1);
}

// ---- Draining and cold nodes ----

#[rstest]
fn draining_and_gone_nodes_get_no_new_forwards() {
    let mut harness = start_released(3);
    harness.update_nodes(&[(0, OLD_BUILD, Readiness::Draining), (1, OLD_BUILD, Readiness::Gone)], None);
    assert!(harness.run_traffic(30, REPEATABLE, ok_in_60_ms).iter().all(|n| *n == 2));
}

#[rstest]
fn failed_hit_is_not_retried_on_cold_nodes() {
    // With all nodes cold, every retry of a failed hit went to the same open node and overloaded it.
    let mut harness = start_released(0);
    harness.update_nodes(
        &[(0, OLD_BUILD, Readiness::Ready), (2, OLD_BUILD, Readiness::Ready)],
        Some(Span::ZERO),
    );
    let forwards = harness.run_traffic(100, REPEATABLE, |_| (ForwardOutcome::Error, 5)).len();
    assert!((1..=100).contains(&forwards), "{forwards} forwards of 100 hits");
    assert!((1..=100).all(|hit| harness.nodes_of(hit).len() <= 1));
}

#[rstest]
fn cold_node_gets_no_more_than_its_warm_up_share_from_many_marshals() {
    // Each marshal once granted a cold node a whole hit of credit; those of many marshals made a burst that
    // overloaded it.
    let cold_forwards: usize = (0..100)
        .map(|marshal_index| {
            let mut settings = default_settings();
            settings.node_list.marshal_index = marshal_index;
            let mut harness = settings.start_marshal();
            harness.add_ready_nodes(0..4, OLD_BUILD);
            harness.set_stage(OLD_BUILD, 2, BuildStatus::Released, 1.0);
            harness.update_nodes(&[(8, OLD_BUILD, Readiness::Ready)], Some(Span::ZERO));
            harness.run_traffic(5, REPEATABLE, ok_in_60_ms).iter().filter(|n| **n == 8).count()
        })
        .sum();
    assert!(
        (1..=40).contains(&cold_forwards),
        "{cold_forwards} of 500 hits went to the cold one of five nodes"
    );
}

#[rstest]
fn repeated_placement_of_held_hits_does_not_overload_cold_nodes() {
    // After a rollback all nodes were cold, and each new attempt to place a held hit granted them more hits:
    // one was overloaded.
    let mut harness = default_settings().start_marshal();
    harness.set_stage(OLD_BUILD, 2, BuildStatus::Released, 1.0);
    let cold_nodes: Vec<_> = (0..4).map(|id| (id, OLD_BUILD, Readiness::Ready)).collect();
    harness.update_nodes(&cold_nodes, Some(Span::ZERO));
    let hits: Vec<u32> = (0..40).map(|_| harness.submit(REPEATABLE)).collect();
    harness.advance(Span::millis(150));
    let forwards: usize = hits.iter().map(|h| harness.nodes_of(*h).len()).sum();
    assert!((4..=24).contains(&forwards), "{forwards} of 40 hits");
}

// ---- Exposure of the build on trial ----

#[rstest]
#[case(0.5, 200, 102)]
#[case(0.1, 200, 22)]
#[case(0.0, 200, 0)]
fn build_on_trial_gets_its_cap_and_no_more(
    #[case] cap: f64, #[case] hits: usize, #[case] max_trial_forwards: usize,
) {
    let mut harness = start_released(4);
    harness.set_stage(NEW_BUILD, 0, BuildStatus::OnTrial, cap);
    harness.add_ready_nodes(100..110, NEW_BUILD);
    let nodes = harness.run_traffic(hits, REPEATABLE, ok_in_60_ms);
    let trial_forwards = nodes.iter().filter(|n| **n >= 100).count();
    assert!(
        trial_forwards <= max_trial_forwards && trial_forwards * 2 >= max_trial_forwards,
        "{trial_forwards} of {hits}"
    );
}

#[rstest]
fn unannounced_build_is_capped_as_in_stage_0() {
    let mut harness = start_released(1);
    harness.add_ready_nodes(100..110, NEW_BUILD);
    let trial_forwards =
        harness.run_traffic(200, REPEATABLE, ok_in_60_ms).iter().filter(|n| **n >= 100).count();
    assert!((10..=22).contains(&trial_forwards), "{trial_forwards} of 200 at a stage 0 cap of 0.1");
}

#[rstest]
fn during_rollback_without_earlier_nodes_hits_are_bounced_not_forwarded() {
    let mut harness = default_settings().start_marshal();
    harness.add_ready_nodes(100..104, NEW_BUILD);
    harness.set_stage(NEW_BUILD, 2, BuildStatus::OnTrial, 1.0);
    harness.set_stage(NEW_BUILD, 2, BuildStatus::GoingBack, 0.0);
    let hit = harness.submit(MUTATING);
    harness.advance(SECOND);
    assert!(harness.nodes_of(hit).is_empty() && harness.was_called(HostCall::Bounce(hit)));
}

#[rstest]
fn repeatable_only_stages_and_caps_per_path_group_are_respected() {
    let mut settings = default_settings();
    (settings.exposure.repeatable_only_stages, settings.exposure.per_group) = (1, true);
    let mut harness = start_trial_with(settings, 5);
    harness.run_traffic(60, REPEATABLE, ok_in_60_ms);
    assert!(harness.run_traffic(40, TAGGED, ok_in_60_ms).iter().all(|n| *n < 100));
    harness.set_stage(NEW_BUILD, 1, BuildStatus::OnTrial, 0.1);
    let trial_forwards = harness.run_traffic(100, TAGGED, ok_in_60_ms).iter().filter(|n| **n >= 100).count();
    assert!(
        (5..=12).contains(&trial_forwards),
        "{trial_forwards} of 100 hits of this path group at a cap of 0.1"
    );
}

#[rstest]
fn sticky_key_stays_with_the_new_build_until_rollback() {
    let mut settings = default_settings();
    settings.exposure.sticky_keys = true;
    let mut harness = start_trial_with(settings, 3);
    let first = harness.submit_with_key(REPEATABLE, 77);
    assert!(harness.nodes_of(first)[0] >= 100);
    harness.complete_forward(first, 0, ForwardOutcome::Ok, 60);
    harness.set_stage(NEW_BUILD, 0, BuildStatus::OnTrial, 0.0);
    let held = harness.submit_with_key(REPEATABLE, 77);
    assert!(harness.nodes_of(held).is_empty());
    harness.set_stage(NEW_BUILD, 0, BuildStatus::GoingBack, 0.0);
    assert!(harness.nodes_of(held)[0] < 100);
}

/// Submits hits of this key until one of them is answered by a node of a new build; returns whether one was.
fn answer_by_new_build(harness: &mut Harness, key: u64) -> bool {
    (0..200).any(|_| {
        let hit = harness.submit_with_key(REPEATABLE, key);
        harness.advance(Span::millis(10));
        let node = harness.nodes_of(hit).first().copied();
        harness.complete_forward(hit, 0, ForwardOutcome::Ok, 60);
        node.is_some_and(|node| node >= 100)
    })
}

/// The nodes that hits of this key go to.
fn nodes_of_key(harness: &mut Harness, key: u64) -> Vec<u64> {
    (0..60)
        .filter_map(|_| {
            let hit = harness.submit_with_key(REPEATABLE, key);
            harness.advance(Span::millis(10));
            let node = harness.nodes_of(hit).first().copied();
            harness.complete_forward(hit, 0, ForwardOutcome::Ok, 60);
            node
        })
        .collect()
}

/// Keys that a build answered before its announcement were not kept, and went back to the earlier build once it was on
/// trial (review/9).
#[rstest]
fn a_key_answered_by_an_unannounced_build_does_not_return_before_or_after_its_announcement() {
    let mut settings = default_settings();
    settings.exposure.sticky_keys = true;
    let mut harness = start_released_with(settings, 10);
    harness.run_traffic(600, REPEATABLE, ok_in_60_ms);
    harness.add_ready_nodes(100..103, NEW_BUILD);
    assert!(answer_by_new_build(&mut harness, 77));
    let unannounced = nodes_of_key(&mut harness, 77);
    assert!(unannounced.iter().all(|node| *node >= 100), "{unannounced:?}");
    harness.set_stage(NEW_BUILD, 0, BuildStatus::OnTrial, 0.5);
    let on_trial = nodes_of_key(&mut harness, 77);
    assert!(!on_trial.is_empty() && on_trial.iter().all(|node| *node >= 100), "{on_trial:?}");
    harness.set_stage(NEW_BUILD, 0, BuildStatus::GoingBack, 0.0);
    let going_back = nodes_of_key(&mut harness, 77);
    assert!(!going_back.is_empty() && going_back.iter().all(|node| *node < 100), "{going_back:?}");
}

/// The announcement of a further build, or its withdrawal, does not let keys of the build before it return.
#[rstest]
fn a_key_does_not_return_when_a_further_build_is_announced_or_goes_back() {
    let mut settings = default_settings();
    settings.exposure.sticky_keys = true;
    let mut harness = start_trial_with(settings, 3);
    assert!(answer_by_new_build(&mut harness, 77));
    harness.set_stage(NEW_BUILD, 2, BuildStatus::Released, 1.0);
    for status in [BuildStatus::OnTrial, BuildStatus::GoingBack] {
        harness.set_stage(NEW_BUILD + 1, 0, status, 0.1);
        let nodes = nodes_of_key(&mut harness, 77);
        assert!(!nodes.is_empty() && nodes.iter().all(|node| *node >= 100), "{status:?}: {nodes:?}");
    }
}

#[rstest]
fn with_the_sticky_key_table_full_new_keys_stay_with_the_earlier_build_while_it_has_nodes() {
    let mut settings = default_settings();
    settings.exposure.sticky_keys = true;
    let mut harness = settings.start_marshal();
    harness.set_stage(NEW_BUILD, 0, BuildStatus::OnTrial, 1.0);
    harness.add_ready_nodes(100..103, NEW_BUILD);
    let max_keys = stonescale::answered_keys::MAX_ANSWERED_KEYS as u64;
    for key in 1..=max_keys {
        harness.clear_calls_and_timers();
        let hit = harness.submit_with_key(REPEATABLE, key);
        harness.complete_forward(hit, 0, ForwardOutcome::Ok, 60);
    }
    harness.add_ready_nodes(0..10, OLD_BUILD);
    let mut node_for_key = |key: u64| {
        let hit = harness.submit_with_key(REPEATABLE, key);
        harness.advance(Span::millis(10));
        let node = harness.nodes_of(hit).first().copied();
        harness.complete_forward(hit, 0, ForwardOutcome::Ok, 60);
        node
    };
    // A hit with a key of the new build is held when its random draw opens no node of that build to it.
    let sticky_nodes: Vec<_> = (1..=50).filter_map(&mut node_for_key).collect();
    assert!(
        sticky_nodes.len() > 10 && sticky_nodes.iter().all(|n| *n >= 100),
        "keys answered by the new build: {sticky_nodes:?}"
    );
    assert!(
        (1..=50).all(|key| node_for_key(max_keys + key).is_some_and(|n| n < 100)),
        "new keys while the table is full"
    );
    harness.update_nodes(&(0..10).map(|id| (id, OLD_BUILD, Readiness::Gone)).collect::<Vec<_>>(), None);
    let new_key_hit = harness.submit_with_key(REPEATABLE, max_keys + 1);
    assert!(harness.nodes_of(new_key_hit)[0] >= 100, "no earlier node is left");
}

#[rstest]
fn mutating_hits_reach_the_new_build_only_after_repeatable_hits() {
    let mut harness = start_trial(5);
    assert!(harness.run_traffic(10, MUTATING, ok_in_60_ms).iter().all(|n| *n < 100));
    harness.run_traffic(200, REPEATABLE, ok_in_60_ms);
    assert!(harness.run_traffic(20, MUTATING, ok_in_60_ms).iter().any(|n| *n >= 100));
}

// ---- Evaluation of the build on trial, and votes ----

#[rstest]
fn hold_vote_without_outcomes_is_withdrawn_after_three_seconds() {
    let mut harness = start_trial(4);
    assert_eq!(harness.votes_cast(Verdict::Hold), 1);
    let now = harness.now;
    harness.marshal.on_stage(
        &mut harness.host,
        now,
        (NEW_BUILD, 0),
        BuildStatus::OnTrial,
        0.5,
        Span::ZERO,
        Some(ForwardOutcome::Ok),
    );
    harness.advance(SECOND);
    assert_eq!(harness.votes_cast(Verdict::None), 0);
    harness.advance(SECOND * 2.5);
    assert_eq!((harness.votes_cast(Verdict::None), harness.votes_cast(Verdict::On)), (1, 0));
}

#[rstest]
fn good_stage_gets_an_on_vote_under_stage_control_by_votes() {
    let mut settings = default_settings();
    settings.voting.control = StageControl::Votes;
    let mut harness = start_trial_with(settings, 4);
    harness.run_traffic(400, REPEATABLE, ok_in_60_ms);
    assert!(harness.votes_cast(Verdict::On) > 0);
    assert_eq!(harness.votes_cast(Verdict::Hold) + harness.votes_cast(Verdict::Back), 0);
}

#[rstest]
#[case::errors((ForwardOutcome::Error, 5))]
#[case::slow((ForwardOutcome::Ok, 900))]
fn build_that_is_bad_on_every_third_forward_gets_a_rollback_vote(#[case] bad_outcome: (ForwardOutcome, u64)) {
    let mut harness = start_trial(4);
    let mut trial_forwards = 0;
    harness.run_traffic(1500, REPEATABLE, |node| {
        trial_forwards += usize::from(node >= 100);
        if node >= 100 && trial_forwards % 3 == 0 { bad_outcome } else { (ForwardOutcome::Ok, 60) }
    });
    assert!(harness.votes_cast(Verdict::Back) > 0);
}

#[rstest]
fn one_failing_node_causes_no_rollback_vote() {
    let mut harness = start_trial(4);
    harness.run_traffic(300, REPEATABLE, |node| {
        if node == 101 { (ForwardOutcome::Error, 5) } else { (ForwardOutcome::Ok, 60) }
    });
    assert_eq!(harness.votes_cast(Verdict::Back), 0);
}

#[rstest]
fn as_many_failing_nodes_as_on_the_earlier_build_cause_no_rollback_vote() {
    let mut harness = start_trial(3);
    let failing_nodes = [1, 2, 101, 102];
    harness.run_traffic(300, REPEATABLE, |node| {
        if failing_nodes.contains(&node) { (ForwardOutcome::Error, 5) } else { (ForwardOutcome::Ok, 60) }
    });
    assert_eq!(harness.votes_cast(Verdict::Back), 0);
}

#[rstest]
#[case::by_chance(120, 1, 8, false)]
#[case::beyond_chance(60, 3, 4, true)]
fn one_failing_path_group_must_exceed_chance_when_the_earlier_build_has_few_outcomes(
    #[case] rounds: usize, #[case] repeatable_hits_per_round: usize, #[case] failure_interval: u32,
    #[case] expect_rollback: bool,
) {
    // During a stage change the earlier build had some 30 outcomes of the path group left, none bad, and the
    // new build had many. Compared with the floor of the bad share, a good build was rolled back while a
    // tenth of all answers were late or corrupted.
    let mut harness = start_trial(9);
    harness.run_traffic(60, REPEATABLE, ok_in_60_ms);
    harness.run_traffic(60, MUTATING, ok_in_60_ms);
    harness.set_stage(NEW_BUILD, 2, BuildStatus::OnTrial, 1.0);
    harness.update_nodes(&(0..10).map(|id| (id, OLD_BUILD, Readiness::Draining)).collect::<Vec<_>>(), None);
    let mut trial_forwards = 0;
    for _ in 0..rounds {
        harness.run_traffic(repeatable_hits_per_round, REPEATABLE, ok_in_60_ms);
        harness.run_traffic(1, MUTATING, |node| {
            trial_forwards += u32::from(node >= 100);
            if node >= 100 && trial_forwards.is_multiple_of(failure_interval) {
                (ForwardOutcome::Error, 5)
            } else {
                (ForwardOutcome::Ok, 60)
            }
        });
    }
    assert_eq!(harness.votes_cast(Verdict::Back) > 0, expect_rollback);
}

#[rstest]
fn silent_nodes_of_the_new_build_cause_no_rollback_vote() {
    let mut harness = start_trial(4);
    for _ in 0..200 {
        let hit = harness.submit(REPEATABLE);
        harness.advance(Span::millis(10));
        for (hop, node) in harness.nodes_of(hit).into_iter().enumerate() {
            if node < 100 {
                harness.complete_forward(hit, hop as u8, ForwardOutcome::Ok, 60);
            }
        }
    }
    harness.advance(SECOND);
    assert_eq!(harness.votes_cast(Verdict::Back), 0);
}

#[rstest]
fn late_answers_after_the_earlier_nodes_are_gone_cause_no_rollback_vote() {
    // A burst right after a release looked like a slow build, and the rollback left no node to send to.
    let mut harness = start_trial(6);
    harness.run_traffic(300, REPEATABLE, ok_in_60_ms);
    let gone: Vec<_> = (0..10).map(|id| (id, OLD_BUILD, Readiness::Gone)).collect();
    harness.update_nodes(&gone, None);
    harness.set_stage(NEW_BUILD, 2, BuildStatus::Released, 1.0);
    harness.advance(SECOND * 6.0);
    let mut forwards = 0;
    harness.run_traffic(150, REPEATABLE, |_| {
        forwards += 1;
        (ForwardOutcome::Ok, if forwards % 4 == 0 { 600 } else { 60 })
    });
    assert_eq!(harness.votes_cast(Verdict::Back), 0);
}

#[rstest]
fn first_build_gets_no_rollback_vote() {
    let mut harness = start_released(4);
    harness.run_traffic(100, REPEATABLE, |_| (ForwardOutcome::Error, 5));
    assert_eq!(harness.votes_cast(Verdict::Back), 0);
}

#[rstest]
#[case::one_report(1, false)]
#[case::eight_reports(8, true)]
fn enough_wrong_answer_reports_cause_a_rollback_vote(#[case] reports: usize, #[case] expect_rollback: bool) {
    let mut harness = start_trial(4);
    harness.run_traffic(100, REPEATABLE, ok_in_60_ms);
    for _ in 0..reports {
        let now = harness.now;
        harness.marshal.on_wrong_answer_report(now, 101, REPEATABLE, Span::millis(500));
    }
    harness.advance(SECOND);
    assert_eq!(harness.votes_cast(Verdict::Back) > 0, expect_rollback);
}

#[rstest]
#[case::share_rises(0.5, true)]
#[case::share_stays_zero(0.0, false)]
fn fleet_slowdown_in_step_with_the_new_builds_share_causes_a_rollback_vote(
    #[case] share: f64, #[case] expect_rollback: bool,
) {
    let mut harness = start_released(2);
    harness.run_traffic(600, REPEATABLE, |_| (ForwardOutcome::Ok, 20));
    harness.set_stage(NEW_BUILD, 0, BuildStatus::OnTrial, 0.0);
    harness.run_traffic(50, REPEATABLE, |_| (ForwardOutcome::Ok, 20));
    harness.set_stage(NEW_BUILD, 0, BuildStatus::OnTrial, share);
    harness.add_ready_nodes(100..102, NEW_BUILD);
    harness.run_traffic(500, REPEATABLE, |_| (ForwardOutcome::Ok, 80));
    assert_eq!(harness.votes_cast(Verdict::Back) > 0, expect_rollback);
}

#[rstest]
fn rollback_vote_is_cast_again_while_the_build_keeps_failing() {
    let mut harness = start_trial(4);
    let mut trial_forwards = 0;
    let mut outcome_of = |node: u64| {
        trial_forwards += usize::from(node >= 100);
        if node >= 100 && trial_forwards % 2 == 0 {
            (ForwardOutcome::Error, 5)
        } else {
            (ForwardOutcome::Ok, 60)
        }
    };
    harness.run_traffic(1500, REPEATABLE, &mut outcome_of);
    let first_votes = harness.votes_cast(Verdict::Back);
    harness.run_traffic(800, REPEATABLE, &mut outcome_of);
    assert!(first_votes >= 1 && harness.votes_cast(Verdict::Back) > first_votes);
}

#[rstest]
fn marshals_agree_on_the_holders_and_draw_few_more_than_needed() {
    let hold_votes = |marshal_index, marshal_count, votes_needed| {
        let mut settings = default_settings();
        (settings.voting.marshal_index, settings.voting.marshal_count, settings.voting.votes_needed) =
            (marshal_index, marshal_count, votes_needed);
        settings.voting.holds_needed = votes_needed;
        start_trial_with(settings, 2).votes_cast(Verdict::Hold)
    };
    let holder_count = |marshal_count, votes_needed| {
        (0..marshal_count)
            .map(|marshal_index| hold_votes(marshal_index, marshal_count, votes_needed))
            .sum::<usize>()
    };
    assert_eq!([holder_count(1, 1), holder_count(8, 1), holder_count(20, 10)], [1, 3, 12]);
}

#[rstest]
fn rollback_vote_stands_when_the_next_stage_draws_other_voters() {
    let votes_of = |marshal_index| {
        let mut settings = default_settings();
        (settings.voting.marshal_index, settings.voting.marshal_count, settings.voting.votes_needed) =
            (marshal_index, 30, 2);
        let mut harness = start_trial_with(settings, 4);
        let outcome_of =
            |node| if node >= 100 { (ForwardOutcome::Error, 5) } else { (ForwardOutcome::Ok, 60) };
        harness.run_traffic(400, REPEATABLE, outcome_of);
        let votes_before = harness.votes_cast(Verdict::Back);
        harness.set_stage(NEW_BUILD, 1, BuildStatus::OnTrial, 0.5);
        harness.run_traffic(50, REPEATABLE, outcome_of);
        (
            votes_before,
            harness
                .host
                .calls
                .iter()
                .rev()
                .find_map(|c| if let HostCall::Vote(_, _, v) = c { Some(*v) } else { None }),
        )
    };
    let voters: Vec<_> = (0..30).map(votes_of).filter(|(votes_before, _)| *votes_before > 0).collect();
    assert!(!voters.is_empty() && voters.iter().all(|(_, last_vote)| *last_vote == Some(Verdict::Back)));
}

#[rstest]
#[case::no_bad_counts(0, 0, false)]
#[case::new_build_fails(400, 20, true)]
fn platform_counts_decide_when_own_outcomes_are_few(
    #[case] new_bad_count: u32, #[case] old_bad_count: u32, #[case] expect_rollback: bool,
) {
    let mut harness = start_trial(4);
    for round in 0..40 {
        harness.run_traffic(1, REPEATABLE, |node| {
            if node >= 100 && round % 2 == 0 { (ForwardOutcome::Error, 5) } else { (ForwardOutcome::Ok, 60) }
        });
        harness.advance(SECOND * 0.2);
        let now = harness.now;
        harness.marshal.on_platform_counts(now, (NEW_BUILD, REPEATABLE), (1000, new_bad_count));
        harness.marshal.on_platform_counts(now, (OLD_BUILD, REPEATABLE), (1000, old_bad_count));
    }
    assert_eq!(harness.votes_cast(Verdict::Back) > 0, expect_rollback);
}

#[rstest]
#[case::slower(180, true)]
#[case::similar(70, false)]
fn build_slower_than_the_earlier_one_within_the_target_latency_gets_a_rollback_vote(
    #[case] latency_ms: u64, #[case] expect_rollback: bool,
) {
    let mut harness = start_trial(10);
    harness
        .run_traffic(900, REPEATABLE, |node| (ForwardOutcome::Ok, if node >= 100 { latency_ms } else { 60 }));
    assert_eq!(harness.votes_cast(Verdict::Back) > 0, expect_rollback);
}

// ---- Voting where many votes are needed ----

/// Starts one of 300 marshals, of which `votes_needed` must vote for a rollback, with ten earlier nodes, good traffic
/// and six nodes on trial at `cap`. The platform accepts 16 calls a second, and a vote expires after 4 s.
fn start_trial_of_300_marshals(marshal_index: usize, votes_needed: usize, cap: f64) -> Harness {
    let mut settings = default_settings();
    settings.voting = VotingRules {
        marshal_index,
        marshal_count: 300,
        votes_needed,
        holds_needed: 30,
        vote_lifetime: SECOND * 4.0,
        calls_per_s: 16.0,
        ..settings.voting
    };
    let mut harness = start_released_with(settings, 10);
    harness.run_traffic(600, REPEATABLE, ok_in_60_ms);
    harness.set_stage(NEW_BUILD, 0, BuildStatus::OnTrial, cap);
    harness.add_ready_nodes(100..106, NEW_BUILD);
    harness
}

/// Outcomes in which the forwards to the build on trial fail from the second on, `failures` of them, and all others
/// succeed.
fn failing_trial_forwards(failures: usize) -> impl FnMut(u64) -> (ForwardOutcome, u64) {
    let mut trial_forwards = 0;
    move |node| {
        trial_forwards += usize::from(node >= 100);
        if node >= 100 && (2..2 + failures).contains(&trial_forwards) {
            (ForwardOutcome::Error, 5)
        } else {
            (ForwardOutcome::Ok, 60)
        }
    }
}

#[rstest]
#[case::many_votes_needed(75, 2, true)]
#[case::no_failures(75, 0, false)]
#[case::one_vote_needed(1, 2, false)]
fn with_many_votes_needed_a_marshal_votes_on_failures_that_chance_makes_unlikely(
    #[case] votes_needed: usize, #[case] failures: usize, #[case] expect_rollback: bool,
) {
    let votes_rollback = |marshal_index: &usize| {
        let mut harness = start_trial_of_300_marshals(*marshal_index, votes_needed, 0.03);
        if failures > 0 {
            harness.run_traffic(500, REPEATABLE, failing_trial_forwards(2))
        } else {
            harness.run_traffic(500, REPEATABLE, ok_in_60_ms)
        };
        harness.votes_cast(Verdict::Back) > 0
    };
    assert_eq!((0..20).filter(votes_rollback).count() > 10, expect_rollback);
}

#[rstest]
#[case::many_votes_needed(75, true)]
#[case::one_vote_needed(1, false)]
fn with_many_votes_needed_one_wrong_answer_report_causes_a_rollback_vote(
    #[case] votes_needed: usize, #[case] expect_rollback: bool,
) {
    let votes_rollback = |marshal_index: &usize| {
        let mut harness = start_trial_of_300_marshals(*marshal_index, votes_needed, 0.03);
        harness.run_traffic(100, REPEATABLE, ok_in_60_ms);
        let now = harness.now;
        harness.marshal.on_wrong_answer_report(now, 101, REPEATABLE, Span::millis(500));
        harness.advance(SECOND * 4.0);
        harness.votes_cast(Verdict::Back) > 0
    };
    assert_eq!((0..20).any(|marshal_index| votes_rollback(&marshal_index)), expect_rollback);
}

#[rstest]
fn with_many_votes_needed_rollback_votes_share_time_slots_and_rejected_ones_are_retried_soon() {
    // The first 3 s are for hold votes; then 3.6 s of every 75 x 1.2 / 16 s are for rollback votes.
    let in_rollback_slot =
        |stage_age_s: f64| stage_age_s >= 3.0 && (stage_age_s - 3.0).rem_euclid(75.0 * 1.2 / 16.0) < 3.6;
    let mut rejected_votes = Vec::new();
    for marshal_index in 0..20 {
        let mut harness = start_trial_of_300_marshals(marshal_index, 75, 0.03);
        let stage_start = harness.now;
        let mut outcome_of = failing_trial_forwards(2);
        for _ in 0..120 {
            let votes_before = harness.votes_cast(Verdict::Back);
            harness.run_traffic(10, REPEATABLE, &mut outcome_of);
            if harness.votes_cast(Verdict::Back) > votes_before {
                let stage_age_s = (harness.now - stage_start).seconds();
                assert!(
                    in_rollback_slot(stage_age_s) || in_rollback_slot(stage_age_s - 0.1),
                    "marshal {marshal_index} voted for a rollback at {stage_age_s} s"
                );
                rejected_votes.push((marshal_index, stage_age_s));
                let now = harness.now;
                let (cap, reply) = (0.03, Some(ForwardOutcome::Rejected));
                harness.marshal.on_stage(
                    &mut harness.host,
                    now,
                    (NEW_BUILD, 0),
                    BuildStatus::OnTrial,
                    cap,
                    Span::ZERO,
                    reply,
                );
            }
        }
    }
    let retry_delays = rejected_votes.windows(2).filter(|w| w[0].0 == w[1].0).map(|w| w[1].1 - w[0].1);
    let short_delays = retry_delays.clone().filter(|p| *p < 2.6).count();
    assert!(
        short_delays > 20 && retry_delays.clone().all(|p| p > 0.7),
        "{short_delays} short ones of {} retry delays",
        retry_delays.count()
    );
}

#[rstest]
fn with_many_votes_needed_a_hold_vote_stands_until_it_expires_without_a_call() {
    let votes_of = |marshal_index| {
        let mut harness = start_trial_of_300_marshals(marshal_index, 75, 0.03);
        // A holder that finds the build bad early leaves its hold vote standing, which keeps the stage from
        // advancing while the others vote.
        harness.run_traffic(350, REPEATABLE, failing_trial_forwards(2));
        let early_rollback_votes = harness.votes_cast(Verdict::Back);
        harness.run_traffic(300, REPEATABLE, ok_in_60_ms);
        (harness.votes_cast(Verdict::Hold), harness.votes_cast(Verdict::None), early_rollback_votes)
    };
    let holders: Vec<_> = (0..300).map(votes_of).filter(|(hold_votes, ..)| *hold_votes > 0).collect();
    assert_eq!(holders.len(), 36);
    assert!(holders.iter().all(|votes| *votes == (1, 0, 0)), "{holders:?}");
}

#[rstest]
#[case::many_votes_needed(75, true)]
#[case::few_votes_needed(4, false)]
fn with_many_votes_needed_mutating_hits_wait_for_a_part_of_the_good_outcomes_only(
    #[case] votes_needed: usize, #[case] forwarded: bool,
) {
    let mut harness = start_trial_of_300_marshals(0, votes_needed, 0.5);
    // Two good answers of the new build at each of 300 marshals are 600 in all.
    let mut good_answers = 0;
    while good_answers < 2 {
        good_answers +=
            harness.run_traffic(1, REPEATABLE, ok_in_60_ms).iter().filter(|node| **node >= 100).count();
    }
    let nodes = harness.run_traffic(40, MUTATING, ok_in_60_ms);
    assert_eq!(nodes.iter().any(|node| *node >= 100), forwarded);
}

/// Counts the marshals out of twenty that vote for a rollback. `earlier_outcome` gives the outcome of a forward to an
/// earlier node by node id and running number of such forwards; `trial_failures` forwards to the build on trial fail.
fn count_rollback_voters(
    trial_failures: usize, earlier_outcome: impl Fn(u64, usize) -> (ForwardOutcome, u64),
) -> usize {
    let votes_rollback = |marshal_index: &usize| {
        let mut harness = start_trial_of_300_marshals(*marshal_index, 75, 0.0);
        let mut earlier_forwards = 0;
        let mut outcome_of_earlier = |node| {
            earlier_forwards += 1;
            earlier_outcome(node, earlier_forwards)
        };
        harness.run_traffic(1500, REPEATABLE, &mut outcome_of_earlier);
        harness.set_stage(NEW_BUILD, 0, BuildStatus::OnTrial, 0.03);
        let mut outcome_of_trial = failing_trial_forwards(trial_failures);
        harness.run_traffic(450, REPEATABLE, |node| {
            if node < 100 { outcome_of_earlier(node) } else { outcome_of_trial(node) }
        });
        harness.votes_cast(Verdict::Back) > 0
    };
    (0..20).filter(votes_rollback).count()
}

#[rstest]
fn late_answers_of_all_builds_do_not_hide_failures_of_the_new_one() {
    assert!(
        count_rollback_voters(1, |_, forwards| (
            ForwardOutcome::Ok,
            if forwards % 6 == 0 { 410 } else { 60 }
        )) > 10
    );
}

#[rstest]
fn with_many_votes_needed_failing_nodes_are_excused_in_proportion_to_the_earlier_build() {
    assert!(
        count_rollback_voters(2, |node, _| if node < 2 {
            (ForwardOutcome::Error, 5)
        } else {
            (ForwardOutcome::Ok, 60)
        }) > 10
    );
}

#[rstest]
#[case::many_votes_needed(75, false)]
#[case::few_votes_needed(4, true)]
fn with_many_votes_needed_a_burst_on_a_light_marshal_is_no_fleet_slowdown(
    #[case] votes_needed: usize, #[case] expect_rollback: bool,
) {
    // Five hits a second, then 7.5 slower ones a second from when the new build gets its share.
    let votes_rollback = |marshal_index: &usize| {
        let mut harness = start_trial_of_300_marshals(*marshal_index, votes_needed, 0.0);
        let run_at_interval = |harness: &mut Harness, hits: usize, interval_ms: u64, latency_ms: u64| {
            for _ in 0..hits {
                harness.run_traffic(1, REPEATABLE, |_| (ForwardOutcome::Ok, latency_ms));
                harness.advance(Span::millis(interval_ms - 10));
            }
        };
        run_at_interval(&mut harness, 60, 200, 60);
        harness.set_stage(NEW_BUILD, 0, BuildStatus::OnTrial, 0.5);
        run_at_interval(&mut harness, 50, 133, 110);
        harness.votes_cast(Verdict::Back) > 0
    };
    assert_eq!((0..300).any(|marshal_index| votes_rollback(&marshal_index)), expect_rollback);
}

#[rstest]
fn light_marshals_use_small_and_different_node_subsets() {
    let nodes_used_by = |marshal_index| {
        let mut settings = default_settings();
        settings.node_list.marshal_index = marshal_index;
        let mut harness = start_released_with(settings, 60);
        let mut nodes = std::collections::BTreeSet::new();
        for _ in 0..60 {
            nodes.extend(harness.run_traffic(1, REPEATABLE, ok_in_60_ms));
            harness.advance(SECOND * 0.3);
        }
        nodes
    };
    assert!(nodes_used_by(1).len() <= 12 && nodes_used_by(1) != nodes_used_by(2));
}

// ---- Failing nodes, overload and the node list ----

#[rstest]
fn failing_node_is_avoided_and_retried_later() {
    let mut harness = start_released(5);
    let mut outcome_of =
        |node: u64| if node == 2 { (ForwardOutcome::Error, 1) } else { (ForwardOutcome::Ok, 60) };
    harness.run_traffic(100, MUTATING, &mut outcome_of);
    let nodes = harness.run_traffic(100, MUTATING, &mut outcome_of);
    assert!(nodes.iter().filter(|n| **n == 2).count() < 10, "fast failures must not make the node look idle");
    assert!(harness.run_traffic(2000, REPEATABLE, ok_in_60_ms).contains(&2));
}

#[rstest]
fn lost_answers_make_nodes_look_neither_silent_nor_slow() {
    // With lost answers, nodes were taken for silent and the fleet for slow: hits were shed while most nodes were
    // idle.
    let mut harness = start_released(6);
    harness.run_traffic(200, REPEATABLE, ok_in_60_ms);
    let (mut forwards, mut bounced, mut forwards_by_node) = (Vec::new(), 0, [0; 6]);
    for _ in 0..1500 {
        harness.submit(REPEATABLE);
        harness.advance(Span::millis(10));
        for call in std::mem::take(&mut harness.host.calls) {
            match call {
                HostCall::Forward(hit, node) => {
                    forwards_by_node[node as usize] += 1;
                    let hop = forwards.iter().filter(|f: &&(u32, u8, Time)| f.0 == hit).count() as u8;
                    forwards.push((hit, hop, harness.now));
                }
                HostCall::Cancel(hit, hop) => {
                    harness.complete_forward(hit, hop, ForwardOutcome::Cancelled, 400)
                }
                HostCall::Bounce(_) => bounced += 1,
                _ => {}
            }
        }
        // Every third answer is lost.
        let now = harness.now;
        let answered =
            forwards.iter().enumerate().filter(|(at, f)| at % 3 > 0 && now - f.2 == Span::millis(60));
        for (_, (hit, hop, _)) in answered.map(|(at, f)| (at, *f)).collect::<Vec<_>>() {
            harness.complete_forward(hit, hop, ForwardOutcome::Ok, 60);
        }
    }
    assert!(
        bounced < 300 && forwards_by_node.iter().all(|n| *n > 200),
        "{bounced} bounced, {forwards_by_node:?}"
    );
}

#[rstest]
fn resets_of_the_previous_process_do_not_count_against_a_restarted_node() {
    let mut settings = default_settings();
    settings.warm_up.duration = Span::millis(10);
    let mut harness = start_released_with(settings, 2);
    let hits: Vec<u32> = (0..40).map(|_| harness.submit(MUTATING)).collect();
    harness.advance(Span::millis(20));
    harness.update_nodes(&[(1, OLD_BUILD, Readiness::Ready)], Some(Span::millis(10)));
    let previous_process_hits: Vec<u32> = hits.into_iter().filter(|h| harness.nodes_of(*h) == [1]).collect();
    assert!(previous_process_hits.len() >= 3, "{previous_process_hits:?}");
    previous_process_hits.into_iter().for_each(|h| harness.complete_forward(h, 0, ForwardOutcome::Reset, 20));
    harness.advance(SECOND * 0.1);
    assert!(harness.run_traffic(20, MUTATING, ok_in_60_ms).iter().filter(|n| **n == 1).count() >= 5);
}

#[rstest]
fn gone_nodes_are_dropped_and_their_ids_can_be_reused() {
    let mut nodes = Nodes::default();
    let update_node = |nodes: &mut Nodes, id: u64, readiness| {
        nodes.begin_list(false);
        nodes.update_entry(Node::new(id, NodeAttributes::default(), readiness, OLD_BUILD, Time::at(0)));
        nodes.end_list();
    };
    for id in 0..1000 {
        update_node(&mut nodes, id, Readiness::Ready);
        update_node(&mut nodes, id, Readiness::Gone);
        update_node(&mut nodes, id / 2, Readiness::Ready);
        update_node(&mut nodes, id / 2, Readiness::Gone);
    }
    update_node(&mut nodes, 7, Readiness::Ready);
    assert!(nodes.rows.len() <= 2 && nodes.ready().map(|n| n.id).eq([7]), "{} rows", nodes.rows.len());
}

#[rstest]
fn scarce_room_goes_to_high_benefit_hits_and_bounced_ones_get_a_short_retry_after() {
    // The platform stopped answering at a cap of 0.5, and all nodes run the build on trial.
    let mut harness = start_released(4);
    harness.run_traffic(100, MUTATING, ok_in_60_ms);
    harness.set_stage(NEW_BUILD, 1, BuildStatus::OnTrial, 0.5);
    harness.add_ready_nodes(0..4, NEW_BUILD);
    let (mut hits, mut forwarded) = ([Vec::new(), Vec::new()], [0, 0]);
    for _ in 0..200 {
        hits[0].push(harness.submit(REPEATABLE));
        hits[1].push(harness.submit(MUTATING));
        harness.advance(Span::millis(10));
        for (hits, forwarded) in std::iter::zip(&mut hits, &mut forwarded) {
            let newly_forwarded: Vec<u32> =
                hits.extract_if(.., |hit| !harness.nodes_of(*hit).is_empty()).collect();
            *forwarded += newly_forwarded.len();
            newly_forwarded
                .into_iter()
                .for_each(|hit| harness.complete_forward(hit, 0, ForwardOutcome::Ok, 10));
        }
    }
    let [low_benefit, high_benefit] = forwarded;
    assert!(
        low_benefit + high_benefit > 180 && high_benefit > low_benefit,
        "{high_benefit} high-benefit and {low_benefit} low-benefit hits"
    );
    assert!(
        low_benefit * 3 > high_benefit,
        "starvation: {high_benefit} high-benefit and {low_benefit} low-benefit hits"
    );
    assert!(
        harness.host.retry_after_delays.iter().all(|wait| *wait <= Span::millis(100)),
        "retry-after exceeds a quarter of the target latency"
    );
}

#[rstest]
fn hedged_requests_stay_within_their_budget() {
    let mut harness = start_released(8);
    harness.run_traffic(100, REPEATABLE, ok_in_60_ms);
    let hits: Vec<u32> = (0..200).map(|_| harness.submit(REPEATABLE)).collect();
    harness.advance(Span::millis(500));
    let forwarded_hits = hits.iter().filter(|h| !harness.nodes_of(**h).is_empty()).count();
    let forwards: usize = hits.iter().map(|h| harness.nodes_of(*h).len()).sum();
    assert!(forwards - forwarded_hits <= 50, "{forwards} forwards for {forwarded_hits} hits");
}

#[rstest]
fn overload_sheds_low_benefit_hits_first_but_not_all_of_them() {
    let mut harness = start_released(2);
    harness.run_traffic(100, REPEATABLE, |_| (ForwardOutcome::Ok, 150));
    let (mut low_benefit, mut high_benefit) = (0, 0);
    for _ in 0..20 {
        let hits: Vec<(u32, u32)> =
            (0..20).map(|_| (harness.submit(REPEATABLE), harness.submit(MUTATING))).collect();
        low_benefit += hits.iter().filter(|h| !harness.was_called(HostCall::Bounce(h.0))).count();
        high_benefit += hits.iter().filter(|h| !harness.was_called(HostCall::Bounce(h.1))).count();
        for hit in hits.iter().flat_map(|h| [h.0, h.1]) {
            (0..harness.nodes_of(hit).len())
                .for_each(|hop| harness.complete_forward(hit, hop as u8, ForwardOutcome::Ok, 150));
        }
        harness.advance(SECOND);
    }
    assert!(
        high_benefit > low_benefit && low_benefit * 3 > high_benefit,
        "{low_benefit} low-benefit and {high_benefit} high-benefit hits not bounced"
    );
}

#[rstest]
fn shedding_ends_when_answers_are_fast_again() {
    // With every hit shed there were no answers left to learn from, and the fleet looked slow for good.
    let mut harness = start_released(3);
    harness.run_traffic(300, REPEATABLE, |_| (ForwardOutcome::Ok, 900));
    harness.run_traffic(1500, REPEATABLE, ok_in_60_ms);
    assert!(harness.run_traffic(100, REPEATABLE, ok_in_60_ms).len() >= 95);
}

#[rstest]
fn tenant_over_its_share_is_shed_before_the_others() {
    let mut settings = default_settings();
    settings.tenancy = Tenancy { shares: vec![0.5, 0.5], over_share_factor: 0.05 };
    let mut harness = start_released_with(settings, 4);
    harness.run_traffic(200, REPEATABLE, ok_in_60_ms);
    let mut bounced = [0, 0];
    for number in 0..400u32 {
        let (tenant, id) = (usize::from(number % 10 == 0), 10_000 + number);
        let now = harness.now;
        harness.marshal.on_hit(&mut harness.host, now, id, (MUTATING, tenant), 0, SECOND, None);
        bounced[tenant] += usize::from(harness.was_called(HostCall::Bounce(id)));
        if number % 40 == 39 {
            let forwarded: Vec<u32> = (id - 39..=id).filter(|id| !harness.nodes_of(*id).is_empty()).collect();
            forwarded.into_iter().for_each(|id| harness.complete_forward(id, 0, ForwardOutcome::Ok, 60));
            harness.advance(SECOND);
        }
    }
    assert!(bounced[0] > 30 && bounced[1] * 9 < bounced[0], "{bounced:?}");
}

#[rstest]
fn node_list_is_requested_again_with_growing_delays() {
    let mut settings = default_settings();
    settings.node_list.on_request = true;
    let mut harness = settings.start_marshal();
    let list_requests =
        |harness: &Harness| harness.host.calls.iter().filter(|c| **c == HostCall::Watch).count();
    assert_eq!(list_requests(&harness), 1);
    for _ in 0..6 {
        let now = harness.now;
        harness.marshal.on_list_failed(&mut harness.host, now);
        harness.advance(SECOND * 8.0);
    }
    assert_eq!(list_requests(&harness), 7);
    let now = harness.now;
    harness.marshal.on_list_failed(&mut harness.host, now);
    harness.advance(Span::millis(800));
    assert_eq!(list_requests(&harness), 7, "the delay has grown past the first one");
}

#[rstest]
fn same_events_give_the_same_host_calls() {
    let run = || {
        let mut harness = start_trial(3);
        harness.run_traffic(200, TAGGED, |node| {
            if node == 4 { (ForwardOutcome::Error, 5) } else { (ForwardOutcome::Ok, 60) }
        });
        harness.host.calls
    };
    assert_eq!(run(), run());
}
