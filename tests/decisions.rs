//! What a marshal does when things go wrong, one story each.

mod support;

use rstest::rstest;
use stonescale::host::*;
use stonescale::settings::*;
use stonescale::state::{Node, Nodes};
use stonescale::time::{Span, Time};
use support::*;

const OLD_BUILD: u16 = 4;
const NEW_BUILD: u16 = 5;

/// A fleet of nodes that run the released build.
fn start_released_with(settings: Settings, nodes: u64) -> Harness {
    let mut harness = settings.start_marshal();
    harness.add_ready_nodes(0..nodes, OLD_BUILD);
    harness.set_stage(OLD_BUILD, 2, BuildStatus::Released, 1.0);
    harness
}

fn start_released(nodes: u64) -> Harness {
    start_released_with(default_settings(), nodes)
}

/// Ten earlier nodes with some seconds of good traffic, then `new` nodes of a build on trial at half the hits.
fn start_trial_with(settings: Settings, new: u64) -> Harness {
    let mut harness = start_released_with(settings, 10);
    harness.run_traffic(600, REPEATABLE, ok_in_60_ms);
    harness.set_stage(NEW_BUILD, 0, BuildStatus::OnTrial, 0.5);
    harness.add_ready_nodes(100..100 + new, NEW_BUILD);
    harness
}

fn start_trial(new: u64) -> Harness {
    start_trial_with(default_settings(), new)
}

fn ok_in_60_ms(_: u64) -> (ForwardOutcome, u64) {
    (ForwardOutcome::Ok, 60)
}

// ---- One answer, in time, and nothing after ----

#[rstest]
#[case(REPEATABLE, true)]
#[case(TAGGED, true)]
#[case(MUTATING, false)]
fn a_silent_fleet_still_leaves_every_hit_answered(#[case] group: usize, #[case] bounced: bool) {
    let mut harness = start_released(4);
    let hit = harness.submit(group);
    harness.advance(SECOND);
    let told = [HostCall::Bounce(hit), HostCall::Error(hit)].map(|c| harness.was_called(c));
    assert_eq!(told, [bounced, !bounced]);
    let sent = harness.nodes_of(hit).len();
    harness.advance(SECOND * 3.0);
    assert_eq!(harness.nodes_of(hit).len(), sent, "nothing is sent after the answer");
}

#[rstest]
fn without_nodes_a_hit_is_held_then_bounced_at_once_when_given_up() {
    let mut harness = default_settings().start_marshal();
    harness.set_stage(OLD_BUILD, 2, BuildStatus::Released, 1.0);
    let hit = harness.submit(MUTATING);
    harness.advance(Span::millis(100));
    assert!(!harness.was_called(HostCall::Bounce(hit)));
    harness.advance(Span::millis(400));
    assert!(harness.was_called(HostCall::Bounce(hit)), "half the target latency is the longest wait");
}

#[rstest]
fn a_held_hit_goes_when_a_node_comes() {
    let mut harness = default_settings().start_marshal();
    harness.set_stage(OLD_BUILD, 2, BuildStatus::Released, 1.0);
    let hit = harness.submit(MUTATING);
    harness.add_ready_nodes(3..4, OLD_BUILD);
    assert_eq!(harness.nodes_of(hit), [3]);
}

#[rstest]
fn the_first_answer_calls_off_the_other_copy() {
    let mut harness = start_released(4);
    harness.run_traffic(50, REPEATABLE, ok_in_60_ms);
    let hit = harness.submit(REPEATABLE);
    harness.advance(Span::millis(300));
    assert_eq!(harness.nodes_of(hit).len(), 2);
    harness.complete_forward(hit, 1, ForwardOutcome::Ok, 50);
    assert!(harness.was_called(HostCall::Cancel(hit, 0)));
}

// ---- No double effect ----

#[rstest]
#[case(REPEATABLE, ForwardOutcome::Error, 2, false)]
#[case(TAGGED, ForwardOutcome::Error, 2, false)]
#[case(MUTATING, ForwardOutcome::Error, 1, true)]
#[case(MUTATING, ForwardOutcome::Reset, 1, true)]
#[case(MUTATING, ForwardOutcome::Rejected, 2, false)]
#[case(MUTATING, ForwardOutcome::Unreached, 2, false)]
fn what_may_run_again_does(
    #[case] group: usize, #[case] fate: ForwardOutcome, #[case] sent: usize, #[case] errored: bool,
) {
    let mut harness = start_released(4);
    let hit = harness.submit(group);
    harness.complete_forward(hit, 0, fate, 5);
    assert_eq!((harness.nodes_of(hit).len(), harness.was_called(HostCall::Error(hit))), (sent, errored));
    assert!(!harness.was_called(HostCall::Bounce(hit)));
}

#[rstest]
fn a_tagged_hit_stays_where_its_repeats_are_dropped() {
    let mut settings = default_settings();
    settings.path_groups[TAGGED].effect =
        Effect::Tagged { scope: DedupScope::Zone, dedup_window: Span::millis(100) };
    let mut harness = start_released_with(settings, 6);
    let hit = harness.submit(TAGGED);
    harness.complete_forward(hit, 0, ForwardOutcome::Error, 5);
    let went = harness.nodes_of(hit);
    assert_eq!(went.len(), 2);
    assert_eq!(went[0] % 2, went[1] % 2);
    harness.advance(Span::millis(99));
    harness.complete_forward(hit, 1, ForwardOutcome::Error, 99);
    assert_eq!(harness.nodes_of(hit).len(), 2, "the memory is over");
    assert!(harness.was_called(HostCall::Error(hit)) && !harness.was_called(HostCall::Bounce(hit)));
}

#[rstest]
fn mutating_hits_get_no_second_copy() {
    let mut harness = start_released(4);
    harness.run_traffic(50, MUTATING, ok_in_60_ms);
    let hit = harness.submit(MUTATING);
    harness.advance(Span::millis(900));
    assert_eq!(harness.nodes_of(hit).len(), 1);
}

// ---- Drains and cold nodes ----

#[rstest]
fn draining_and_gone_nodes_get_nothing_new() {
    let mut harness = start_released(3);
    harness.update_nodes(&[(0, OLD_BUILD, Readiness::Draining), (1, OLD_BUILD, Readiness::Gone)], None);
    assert!(harness.run_traffic(30, REPEATABLE, ok_in_60_ms).iter().all(|n| *n == 2));
}

#[rstest]
fn failed_hits_do_not_go_again_to_cold_nodes() {
    // With all nodes cold each failed hit went to the same open node again and again, and pushed it over.
    let mut harness = start_released(0);
    harness.update_nodes(
        &[(0, OLD_BUILD, Readiness::Ready), (2, OLD_BUILD, Readiness::Ready)],
        Some(Span::ZERO),
    );
    let hits = harness.run_traffic(100, REPEATABLE, |_| (ForwardOutcome::Error, 5)).len();
    assert!((1..=100).contains(&hits), "{hits} forwards of 100 hits");
    assert!((1..=100).all(|hit| harness.nodes_of(hit).len() <= 1));
}

#[rstest]
fn many_marshals_together_send_a_cold_node_its_ramps_part_of_a_share() {
    // Each of many marshals once had a whole hit of credit: together a burst that pushed the node over.
    let cold: usize = (0..100)
        .map(|me| {
            let mut settings = default_settings();
            settings.node_list.marshal_index = me;
            let mut harness = settings.start_marshal();
            harness.add_ready_nodes(0..4, OLD_BUILD);
            harness.set_stage(OLD_BUILD, 2, BuildStatus::Released, 1.0);
            harness.update_nodes(&[(8, OLD_BUILD, Readiness::Ready)], Some(Span::ZERO));
            harness.run_traffic(5, REPEATABLE, ok_in_60_ms).iter().filter(|n| **n == 8).count()
        })
        .sum();
    assert!((1..=40).contains(&cold), "{cold} of 500 hits with five nodes");
}

#[rstest]
fn held_hits_do_not_talk_cold_nodes_into_more() {
    // After a way back all nodes were cold, and each look at a held hit let them have more: one fell over.
    let mut harness = default_settings().start_marshal();
    harness.set_stage(OLD_BUILD, 2, BuildStatus::Released, 1.0);
    let cold: Vec<_> = (0..4).map(|id| (id, OLD_BUILD, Readiness::Ready)).collect();
    harness.update_nodes(&cold, Some(Span::ZERO));
    let hits: Vec<u32> = (0..40).map(|_| harness.submit(REPEATABLE)).collect();
    harness.advance(Span::millis(150));
    let sent: usize = hits.iter().map(|h| harness.nodes_of(*h).len()).sum();
    assert!((4..=24).contains(&sent), "{sent} of 40 hits");
}

// ---- Exposure ----

#[rstest]
#[case(0.5, 200, 102)]
#[case(0.1, 200, 22)]
#[case(0.0, 200, 0)]
fn a_build_on_trial_gets_its_cap_and_no_more(#[case] cap: f64, #[case] hits: usize, #[case] most: usize) {
    let mut harness = start_released(4);
    harness.set_stage(NEW_BUILD, 0, BuildStatus::OnTrial, cap);
    harness.add_ready_nodes(100..110, NEW_BUILD);
    let went = harness.run_traffic(hits, REPEATABLE, ok_in_60_ms);
    let new = went.iter().filter(|n| **n >= 100).count();
    assert!(new <= most && new * 2 >= most, "{new} of {hits}");
}

#[rstest]
fn an_unannounced_build_counts_as_in_stage_0() {
    let mut harness = start_released(1);
    harness.add_ready_nodes(100..110, NEW_BUILD);
    let new = harness.run_traffic(200, REPEATABLE, ok_in_60_ms).iter().filter(|n| **n >= 100).count();
    assert!((10..=22).contains(&new), "{new} of 200 at a first cap of a tenth");
}

#[rstest]
fn on_the_way_back_with_the_earlier_nodes_gone_hits_are_bounced_not_forwarded() {
    let mut harness = default_settings().start_marshal();
    harness.add_ready_nodes(100..104, NEW_BUILD);
    harness.set_stage(NEW_BUILD, 2, BuildStatus::OnTrial, 1.0);
    harness.set_stage(NEW_BUILD, 2, BuildStatus::GoingBack, 0.0);
    let hit = harness.submit(MUTATING);
    harness.advance(SECOND);
    assert!(harness.nodes_of(hit).is_empty() && harness.was_called(HostCall::Bounce(hit)));
}

#[rstest]
fn closed_stages_and_counting_by_path_group_are_kept() {
    let mut settings = default_settings();
    (settings.exposure.repeatable_only_stages, settings.exposure.per_group) = (1, true);
    let mut harness = start_trial_with(settings, 5);
    harness.run_traffic(60, REPEATABLE, ok_in_60_ms);
    assert!(harness.run_traffic(40, TAGGED, ok_in_60_ms).iter().all(|n| *n < 100));
    harness.set_stage(NEW_BUILD, 1, BuildStatus::OnTrial, 0.1);
    let new = harness.run_traffic(100, TAGGED, ok_in_60_ms).iter().filter(|n| **n >= 100).count();
    assert!((5..=12).contains(&new), "{new} of 100 hits of this path group at a cap of a tenth");
}

#[rstest]
fn a_key_that_the_new_build_answered_does_not_return_until_it_goes_back() {
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

#[rstest]
fn past_the_keys_that_are_remembered_new_ones_stay_with_the_earlier_build_while_it_has_nodes() {
    let mut settings = default_settings();
    settings.exposure.sticky_keys = true;
    let mut harness = settings.start_marshal();
    harness.set_stage(NEW_BUILD, 0, BuildStatus::OnTrial, 1.0);
    harness.add_ready_nodes(100..103, NEW_BUILD);
    let known = stonescale::policy::MAX_ANSWERED_KEYS as u64;
    for key in 1..=known {
        harness.clear_calls_and_timers();
        let hit = harness.submit_with_key(REPEATABLE, key);
        harness.complete_forward(hit, 0, ForwardOutcome::Ok, 60);
    }
    harness.add_ready_nodes(0..10, OLD_BUILD);
    let mut went = |key: u64| {
        let hit = harness.submit_with_key(REPEATABLE, key);
        harness.advance(Span::millis(10));
        let node = harness.nodes_of(hit).first().copied();
        harness.complete_forward(hit, 0, ForwardOutcome::Ok, 60);
        node
    };
    // A key of the new build waits where its lot falls on no node of that.
    let stays: Vec<_> = (1..=50).filter_map(&mut went).collect();
    assert!(stays.len() > 10 && stays.iter().all(|n| *n >= 100), "answered by the new build: {stays:?}");
    assert!((1..=50).all(|key| went(known + key).is_some_and(|n| n < 100)), "without room to be remembered");
    harness.update_nodes(&(0..10).map(|id| (id, OLD_BUILD, Readiness::Gone)).collect::<Vec<_>>(), None);
    let fresh = harness.submit_with_key(REPEATABLE, known + 1);
    assert!(harness.nodes_of(fresh)[0] >= 100, "there is no other to return to");
}

#[rstest]
fn the_cheapest_path_groups_go_to_the_new_build_first() {
    let mut harness = start_trial(5);
    assert!(harness.run_traffic(10, MUTATING, ok_in_60_ms).iter().all(|n| *n < 100));
    harness.run_traffic(200, REPEATABLE, ok_in_60_ms);
    assert!(harness.run_traffic(20, MUTATING, ok_in_60_ms).iter().any(|n| *n >= 100));
}

// ---- The gate ----

#[rstest]
fn voters_hold_until_twenty_outcomes_or_three_seconds() {
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
fn under_votes_a_good_stage_is_voted_on() {
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
fn a_build_that_fails_on_its_nodes_goes_back(#[case] every_third: (ForwardOutcome, u64)) {
    let mut harness = start_trial(4);
    let mut count = 0;
    harness.run_traffic(1500, REPEATABLE, |node| {
        count += usize::from(node >= 100);
        if node >= 100 && count % 3 == 0 { every_third } else { (ForwardOutcome::Ok, 60) }
    });
    assert!(harness.votes_cast(Verdict::Back) > 0);
}

#[rstest]
fn one_sick_node_does_not_send_a_good_build_back() {
    let mut harness = start_trial(4);
    harness.run_traffic(300, REPEATABLE, |node| {
        if node == 101 { (ForwardOutcome::Error, 5) } else { (ForwardOutcome::Ok, 60) }
    });
    assert_eq!(harness.votes_cast(Verdict::Back), 0);
}

#[rstest]
fn as_many_sick_nodes_are_spared_as_there_are_elsewhere() {
    let mut harness = start_trial(3);
    let sick = [1, 2, 101, 102];
    harness.run_traffic(300, REPEATABLE, |node| {
        if sick.contains(&node) { (ForwardOutcome::Error, 5) } else { (ForwardOutcome::Ok, 60) }
    });
    assert_eq!(harness.votes_cast(Verdict::Back), 0);
}

#[rstest]
#[case::by_chance(120, 1, 8, false)]
#[case::its_own_fault(60, 3, 4, true)]
fn a_path_group_alone_must_fail_beyond_chance_where_few_earlier_outcomes_tell_its_share(
    #[case] books: usize, #[case] reads: usize, #[case] one_in: u32, #[case] back: bool,
) {
    // While a stage changed, the earlier build had some 30 such outcomes left, none bad, and the new one
    // many: by the floor a good build went back, as a tenth of all answers were late or spoilt at the time.
    let mut harness = start_trial(9);
    harness.run_traffic(60, REPEATABLE, ok_in_60_ms);
    harness.run_traffic(60, MUTATING, ok_in_60_ms);
    harness.set_stage(NEW_BUILD, 2, BuildStatus::OnTrial, 1.0);
    harness.update_nodes(&(0..10).map(|id| (id, OLD_BUILD, Readiness::Draining)).collect::<Vec<_>>(), None);
    let mut count = 0;
    for _ in 0..books {
        harness.run_traffic(reads, REPEATABLE, ok_in_60_ms);
        harness.run_traffic(1, MUTATING, |node| {
            count += u32::from(node >= 100);
            if node >= 100 && count.is_multiple_of(one_in) {
                (ForwardOutcome::Error, 5)
            } else {
                (ForwardOutcome::Ok, 60)
            }
        });
    }
    assert_eq!(harness.votes_cast(Verdict::Back) > 0, back);
}

#[rstest]
fn silence_is_its_nodes_doing_not_its_builds() {
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
fn late_answers_after_the_earlier_nodes_are_gone_prove_nothing() {
    // A burst just after a release looked like a slow build, and going back left no node to send to.
    let mut harness = start_trial(6);
    harness.run_traffic(300, REPEATABLE, ok_in_60_ms);
    let gone: Vec<_> = (0..10).map(|id| (id, OLD_BUILD, Readiness::Gone)).collect();
    harness.update_nodes(&gone, None);
    harness.set_stage(NEW_BUILD, 2, BuildStatus::Released, 1.0);
    harness.advance(SECOND * 6.0);
    let mut count = 0;
    harness.run_traffic(150, REPEATABLE, |_| {
        count += 1;
        (ForwardOutcome::Ok, if count % 4 == 0 { 600 } else { 60 })
    });
    assert_eq!(harness.votes_cast(Verdict::Back), 0);
}

#[rstest]
fn the_first_build_of_all_is_never_voted_back() {
    let mut harness = start_released(4);
    harness.run_traffic(100, REPEATABLE, |_| (ForwardOutcome::Error, 5));
    assert_eq!(harness.votes_cast(Verdict::Back), 0);
}

#[rstest]
#[case(1, false)]
#[case(8, true)]
fn reports_of_wrong_answers_convict_when_they_add_up(#[case] reports: usize, #[case] back: bool) {
    let mut harness = start_trial(4);
    harness.run_traffic(100, REPEATABLE, ok_in_60_ms);
    for _ in 0..reports {
        let now = harness.now;
        harness.marshal.on_wrong_answer_report(now, 101, REPEATABLE, Span::millis(500));
    }
    harness.advance(SECOND);
    assert_eq!(harness.votes_cast(Verdict::Back) > 0, back);
}

#[rstest]
#[case::in_step(0.5, true)]
#[case::without_it(0.0, false)]
fn a_fleet_that_slows_with_the_new_builds_share_sends_it_back(#[case] share: f64, #[case] back: bool) {
    let mut harness = start_released(2);
    harness.run_traffic(600, REPEATABLE, |_| (ForwardOutcome::Ok, 20));
    harness.set_stage(NEW_BUILD, 0, BuildStatus::OnTrial, 0.0);
    harness.run_traffic(50, REPEATABLE, |_| (ForwardOutcome::Ok, 20));
    harness.set_stage(NEW_BUILD, 0, BuildStatus::OnTrial, share);
    harness.add_ready_nodes(100..102, NEW_BUILD);
    harness.run_traffic(500, REPEATABLE, |_| (ForwardOutcome::Ok, 80));
    assert_eq!(harness.votes_cast(Verdict::Back) > 0, back);
}

#[rstest]
fn an_unanswered_vote_is_cast_again_and_a_standing_one_renewed() {
    let mut harness = start_trial(4);
    let mut count = 0;
    let mut bad = |node: u64| {
        count += usize::from(node >= 100);
        if node >= 100 && count % 2 == 0 { (ForwardOutcome::Error, 5) } else { (ForwardOutcome::Ok, 60) }
    };
    harness.run_traffic(1500, REPEATABLE, &mut bad);
    let cast = harness.votes_cast(Verdict::Back);
    harness.run_traffic(800, REPEATABLE, &mut bad);
    assert!(cast >= 1 && harness.votes_cast(Verdict::Back) > cast);
}

#[rstest]
fn holders_are_drawn_alike_and_few_more_than_the_clock_needs() {
    let holds = |me, marshals, needed| {
        let mut settings = default_settings();
        (settings.voting.marshal_index, settings.voting.marshal_count, settings.voting.votes_needed) =
            (me, marshals, needed);
        settings.voting.holds_needed = needed;
        start_trial_with(settings, 2).votes_cast(Verdict::Hold)
    };
    let holders = |marshals, needed| (0..marshals).map(|me| holds(me, marshals, needed)).sum::<usize>();
    assert_eq!([holders(1, 1), holders(8, 1), holders(20, 10)], [1, 3, 12]);
}

#[rstest]
fn who_votes_back_stays_when_a_stage_draws_other_voters() {
    let voted = |me| {
        let mut settings = default_settings();
        (settings.voting.marshal_index, settings.voting.marshal_count, settings.voting.votes_needed) =
            (me, 30, 2);
        let mut harness = start_trial_with(settings, 4);
        let fails = |node| if node >= 100 { (ForwardOutcome::Error, 5) } else { (ForwardOutcome::Ok, 60) };
        harness.run_traffic(400, REPEATABLE, fails);
        let before = harness.votes_cast(Verdict::Back);
        harness.set_stage(NEW_BUILD, 1, BuildStatus::OnTrial, 0.5);
        harness.run_traffic(50, REPEATABLE, fails);
        (
            before,
            harness
                .host
                .calls
                .iter()
                .rev()
                .find_map(|c| if let HostCall::Vote(_, _, v) = c { Some(*v) } else { None }),
        )
    };
    let ends: Vec<_> = (0..30).map(voted).filter(|(before, _)| *before > 0).collect();
    assert!(!ends.is_empty() && ends.iter().all(|(_, last)| *last == Some(Verdict::Back)));
}

#[rstest]
#[case::nothing_told(0, 0, false)]
#[case::the_build_fails(400, 20, true)]
fn the_platforms_sums_judge_where_own_outcomes_are_few(
    #[case] bad: u32, #[case] old: u32, #[case] back: bool,
) {
    let mut harness = start_trial(4);
    for round in 0..40 {
        harness.run_traffic(1, REPEATABLE, |node| {
            if node >= 100 && round % 2 == 0 { (ForwardOutcome::Error, 5) } else { (ForwardOutcome::Ok, 60) }
        });
        harness.advance(SECOND * 0.2);
        let now = harness.now;
        harness.marshal.on_platform_counts(now, (NEW_BUILD, REPEATABLE), (1000, bad));
        harness.marshal.on_platform_counts(now, (OLD_BUILD, REPEATABLE), (1000, old));
    }
    assert_eq!(harness.votes_cast(Verdict::Back) > 0, back);
}

#[rstest]
#[case::slower(180, true)]
#[case::alike(70, false)]
fn a_build_slow_within_the_target_latency_goes_back(#[case] millis: u64, #[case] back: bool) {
    let mut harness = start_trial(10);
    harness.run_traffic(900, REPEATABLE, |node| (ForwardOutcome::Ok, if node >= 100 { millis } else { 60 }));
    assert_eq!(harness.votes_cast(Verdict::Back) > 0, back);
}

// ---- Votes of many ----

/// Ten earlier nodes with good traffic, six nodes on trial at `cap`, seen by one of 300 marshals of whom `needed` must
/// vote back; the platform takes 16 calls a second, and a vote stands for 4 s.
fn start_trial_of_300_marshals(me: usize, needed: usize, cap: f64) -> Harness {
    let mut settings = default_settings();
    settings.voting = VotingRules {
        marshal_index: me,
        marshal_count: 300,
        votes_needed: needed,
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

/// So many forwards to the build on trial fail from the second on, and none after.
fn failing_trial_forwards(failures: usize) -> impl FnMut(u64) -> (ForwardOutcome, u64) {
    let mut met = 0;
    move |node| {
        met += usize::from(node >= 100);
        if node >= 100 && (2..2 + failures).contains(&met) {
            (ForwardOutcome::Error, 5)
        } else {
            (ForwardOutcome::Ok, 60)
        }
    }
}

#[rstest]
#[case::of_many(75, 2, true)]
#[case::nothing_failed(75, 0, false)]
#[case::alone_it_must_be_sure(1, 2, false)]
fn where_many_votes_are_needed_one_votes_on_what_chance_makes_unlikely(
    #[case] needed: usize, #[case] failures: usize, #[case] back: bool,
) {
    let voted = |me: &usize| {
        let mut harness = start_trial_of_300_marshals(*me, needed, 0.03);
        if failures > 0 {
            harness.run_traffic(500, REPEATABLE, failing_trial_forwards(2))
        } else {
            harness.run_traffic(500, REPEATABLE, ok_in_60_ms)
        };
        harness.votes_cast(Verdict::Back) > 0
    };
    assert_eq!((0..20).filter(voted).count() > 10, back);
}

#[rstest]
#[case(75, true)]
#[case(1, false)]
fn where_many_votes_are_needed_one_report_of_a_wrong_answer_is_enough(
    #[case] needed: usize, #[case] back: bool,
) {
    let voted = |me: &usize| {
        let mut harness = start_trial_of_300_marshals(*me, needed, 0.03);
        harness.run_traffic(100, REPEATABLE, ok_in_60_ms);
        let now = harness.now;
        harness.marshal.on_wrong_answer_report(now, 101, REPEATABLE, Span::millis(500));
        harness.advance(SECOND * 4.0);
        harness.votes_cast(Verdict::Back) > 0
    };
    assert_eq!((0..20).any(|me| voted(&me)), back);
}

#[rstest]
fn votes_of_many_go_in_common_turns_and_who_is_turned_away_asks_again_soon() {
    // Holds come in the first 3 s; then 3.6 s in every 75 x 1.2 / 16 s are for votes back.
    let in_turn = |age: f64| age >= 3.0 && (age - 3.0).rem_euclid(75.0 * 1.2 / 16.0) < 3.6;
    let mut turned_away = Vec::new();
    for me in 0..20 {
        let mut harness = start_trial_of_300_marshals(me, 75, 0.03);
        let begin = harness.now;
        let mut bad = failing_trial_forwards(2);
        for _ in 0..120 {
            let before = harness.votes_cast(Verdict::Back);
            harness.run_traffic(10, REPEATABLE, &mut bad);
            if harness.votes_cast(Verdict::Back) > before {
                let age = (harness.now - begin).seconds();
                assert!(in_turn(age) || in_turn(age - 0.1), "marshal {me} voted back at {age} s");
                turned_away.push((me, age));
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
    let pauses = turned_away.windows(2).filter(|w| w[0].0 == w[1].0).map(|w| w[1].1 - w[0].1);
    let soon = pauses.clone().filter(|p| *p < 2.6).count();
    assert!(soon > 20 && pauses.clone().all(|p| p > 0.7), "{soon} of {} pauses", pauses.count());
}

#[rstest]
fn a_hold_of_many_lapses_without_a_call_and_stands_until_then() {
    let holds = |me| {
        let mut harness = start_trial_of_300_marshals(me, 75, 0.03);
        // Convinced early, a holder leaves its hold standing: it keeps the stage while the others vote.
        harness.run_traffic(350, REPEATABLE, failing_trial_forwards(2));
        let early = harness.votes_cast(Verdict::Back);
        harness.run_traffic(300, REPEATABLE, ok_in_60_ms);
        (harness.votes_cast(Verdict::Hold), harness.votes_cast(Verdict::None), early)
    };
    let holders: Vec<_> = (0..300).map(holds).filter(|(holds, ..)| *holds > 0).collect();
    assert_eq!(holders.len(), 36);
    assert!(holders.iter().all(|told| *told == (1, 0, 0)), "{holders:?}");
}

#[rstest]
#[case(75, true)]
#[case(4, false)]
fn each_of_many_brings_its_part_of_the_proof_that_dearer_path_groups_wait_for(
    #[case] needed: usize, #[case] goes: bool,
) {
    let mut harness = start_trial_of_300_marshals(0, needed, 0.5);
    // Two good answers of the new build: 300 marshals with as many have 600.
    let mut met = 0;
    while met < 2 {
        met += harness.run_traffic(1, REPEATABLE, ok_in_60_ms).iter().filter(|node| **node >= 100).count();
    }
    let sent = harness.run_traffic(40, MUTATING, ok_in_60_ms);
    assert_eq!(sent.iter().any(|node| *node >= 100), goes);
}

/// Marshals of twenty that vote back, where an earlier node ends its forwards as `earlier` says, by its number and
/// its turn, and so many of the first forwards to the build on trial fail.
fn count_rollback_voters(times: usize, earlier: impl Fn(u64, usize) -> (ForwardOutcome, u64)) -> usize {
    let voted = |me: &usize| {
        let mut harness = start_trial_of_300_marshals(*me, 75, 0.0);
        let mut turn = 0;
        let mut ends = |node| {
            turn += 1;
            earlier(node, turn)
        };
        harness.run_traffic(1500, REPEATABLE, &mut ends);
        harness.set_stage(NEW_BUILD, 0, BuildStatus::OnTrial, 0.03);
        let mut bad = failing_trial_forwards(times);
        harness.run_traffic(450, REPEATABLE, |node| if node < 100 { ends(node) } else { bad(node) });
        harness.votes_cast(Verdict::Back) > 0
    };
    (0..20).filter(voted).count()
}

#[rstest]
fn lateness_that_strikes_all_builds_does_not_hide_the_failures_of_one_from_many() {
    assert!(
        count_rollback_voters(1, |_, turn| (ForwardOutcome::Ok, if turn % 6 == 0 { 410 } else { 60 })) > 10
    );
}

#[rstest]
fn of_many_each_spares_the_part_that_looks_sick_elsewhere_not_all_it_met() {
    assert!(
        count_rollback_voters(2, |node, _| if node < 2 {
            (ForwardOutcome::Error, 5)
        } else {
            (ForwardOutcome::Ok, 60)
        }) > 10
    );
}

#[rstest]
#[case::many(75, false)]
#[case::few(4, true)]
fn a_burst_met_by_a_marshal_with_little_traffic_is_no_drag(#[case] needed: usize, #[case] back: bool) {
    // Five hits a second, then seven and a half that take longer, as the new build comes into its share.
    let voted = |me: &usize| {
        let mut harness = start_trial_of_300_marshals(*me, needed, 0.0);
        let spell = |harness: &mut Harness, hits: usize, gap: u64, millis: u64| {
            for _ in 0..hits {
                harness.run_traffic(1, REPEATABLE, |_| (ForwardOutcome::Ok, millis));
                harness.advance(Span::millis(gap - 10));
            }
        };
        spell(&mut harness, 60, 200, 60);
        harness.set_stage(NEW_BUILD, 0, BuildStatus::OnTrial, 0.5);
        spell(&mut harness, 50, 133, 110);
        harness.votes_cast(Verdict::Back) > 0
    };
    assert_eq!((0..300).any(|me| voted(&me)), back);
}

#[rstest]
fn a_light_marshal_uses_few_nodes_and_each_marshal_others() {
    let used = |me| {
        let mut settings = default_settings();
        settings.node_list.marshal_index = me;
        let mut harness = start_released_with(settings, 60);
        let mut met = std::collections::BTreeSet::new();
        for _ in 0..60 {
            met.extend(harness.run_traffic(1, REPEATABLE, ok_in_60_ms));
            harness.advance(SECOND * 0.3);
        }
        met
    };
    assert!(used(1).len() <= 12 && used(1) != used(2));
}

// ---- Nodes, overload, the list ----

#[rstest]
fn a_failing_node_is_left_alone_and_tried_again_later() {
    let mut harness = start_released(5);
    let mut sick = |node: u64| if node == 2 { (ForwardOutcome::Error, 1) } else { (ForwardOutcome::Ok, 60) };
    harness.run_traffic(100, MUTATING, &mut sick);
    let went = harness.run_traffic(100, MUTATING, &mut sick);
    assert!(went.iter().filter(|n| **n == 2).count() < 10, "fast failures look idle");
    assert!(harness.run_traffic(2000, REPEATABLE, ok_in_60_ms).contains(&2));
}

#[rstest]
fn answers_that_go_astray_make_neither_silent_nor_slow_nodes() {
    // Nodes passed for silent and the fleet for slow: hits were shed while most of it stood idle.
    let mut harness = start_released(6);
    harness.run_traffic(200, REPEATABLE, ok_in_60_ms);
    let (mut sent, mut bounced, mut used) = (Vec::new(), 0, [0; 6]);
    for _ in 0..1500 {
        harness.submit(REPEATABLE);
        harness.advance(Span::millis(10));
        for call in std::mem::take(&mut harness.host.calls) {
            match call {
                HostCall::Forward(hit, node) => {
                    used[node as usize] += 1;
                    let hop = sent.iter().filter(|f: &&(u32, u8, Time)| f.0 == hit).count() as u8;
                    sent.push((hit, hop, harness.now));
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
        let due = sent.iter().enumerate().filter(|(at, f)| at % 3 > 0 && now - f.2 == Span::millis(60));
        for (_, (hit, hop, _)) in due.map(|(at, f)| (at, *f)).collect::<Vec<_>>() {
            harness.complete_forward(hit, hop, ForwardOutcome::Ok, 60);
        }
    }
    assert!(bounced < 300 && used.iter().all(|n| *n > 200), "{bounced} bounced, {used:?}");
}

#[rstest]
fn what_an_earlier_process_lost_is_not_held_against_the_one_that_came_back() {
    let mut settings = default_settings();
    settings.warm_up.duration = Span::millis(10);
    let mut harness = start_released_with(settings, 2);
    let hits: Vec<u32> = (0..40).map(|_| harness.submit(MUTATING)).collect();
    harness.advance(Span::millis(20));
    harness.update_nodes(&[(1, OLD_BUILD, Readiness::Ready)], Some(Span::millis(10)));
    let to_the_earlier: Vec<u32> = hits.into_iter().filter(|h| harness.nodes_of(*h) == [1]).collect();
    assert!(to_the_earlier.len() >= 3, "{to_the_earlier:?}");
    to_the_earlier.into_iter().for_each(|h| harness.complete_forward(h, 0, ForwardOutcome::Reset, 20));
    harness.advance(SECOND * 0.1);
    assert!(harness.run_traffic(20, MUTATING, ok_in_60_ms).iter().filter(|n| **n == 1).count() >= 5);
}

#[rstest]
fn nodes_that_are_gone_are_forgotten_and_their_ids_may_come_back() {
    let mut nodes = Nodes::default();
    let list = |nodes: &mut Nodes, id: u64, ready| {
        nodes.begin_list(false);
        nodes.update_entry(Node::new(id, NodeAttributes::default(), ready, OLD_BUILD, Time::at(0)));
        nodes.end_list();
    };
    for id in 0..1000 {
        list(&mut nodes, id, Readiness::Ready);
        list(&mut nodes, id, Readiness::Gone);
        list(&mut nodes, id / 2, Readiness::Ready);
        list(&mut nodes, id / 2, Readiness::Gone);
    }
    list(&mut nodes, 7, Readiness::Ready);
    assert!(nodes.rows.len() <= 2 && nodes.ready().map(|n| n.id).eq([7]), "{} rows", nodes.rows.len());
}

#[rstest]
fn where_room_is_short_the_most_worthy_hits_get_it_and_the_others_may_come_back_in_time() {
    // A platform that fell silent at half the way: all nodes are of the build on trial.
    let mut harness = start_released(4);
    harness.run_traffic(100, MUTATING, ok_in_60_ms);
    harness.set_stage(NEW_BUILD, 1, BuildStatus::OnTrial, 0.5);
    harness.add_ready_nodes(0..4, NEW_BUILD);
    let (mut hits, mut went) = ([Vec::new(), Vec::new()], [0, 0]);
    for _ in 0..200 {
        hits[0].push(harness.submit(REPEATABLE));
        hits[1].push(harness.submit(MUTATING));
        harness.advance(Span::millis(10));
        for (hits, went) in std::iter::zip(&mut hits, &mut went) {
            let sent: Vec<u32> = hits.extract_if(.., |hit| !harness.nodes_of(*hit).is_empty()).collect();
            *went += sent.len();
            sent.into_iter().for_each(|hit| harness.complete_forward(hit, 0, ForwardOutcome::Ok, 10));
        }
    }
    let [cheap, dear] = went;
    assert!(cheap + dear > 180 && dear > cheap, "{dear} dear and {cheap} cheap ones");
    assert!(cheap * 3 > dear, "nobody goes without: {dear} dear and {cheap} cheap ones");
    assert!(
        harness.host.retry_after_delays.iter().all(|wait| *wait <= Span::millis(100)),
        "a quarter of the target latency"
    );
}

#[rstest]
fn second_copies_stay_within_their_budget() {
    let mut harness = start_released(8);
    harness.run_traffic(100, REPEATABLE, ok_in_60_ms);
    let hits: Vec<u32> = (0..200).map(|_| harness.submit(REPEATABLE)).collect();
    harness.advance(Span::millis(500));
    let first = hits.iter().filter(|h| !harness.nodes_of(**h).is_empty()).count();
    let sent: usize = hits.iter().map(|h| harness.nodes_of(*h).len()).sum();
    assert!(sent - first <= 50, "{sent} forwards for {first} hits");
}

#[rstest]
fn overload_sheds_the_least_benefit_first_but_not_all_of_it() {
    let mut harness = start_released(2);
    harness.run_traffic(100, REPEATABLE, |_| (ForwardOutcome::Ok, 150));
    let (mut cheap, mut dear) = (0, 0);
    for _ in 0..20 {
        let hits: Vec<(u32, u32)> =
            (0..20).map(|_| (harness.submit(REPEATABLE), harness.submit(MUTATING))).collect();
        cheap += hits.iter().filter(|h| !harness.was_called(HostCall::Bounce(h.0))).count();
        dear += hits.iter().filter(|h| !harness.was_called(HostCall::Bounce(h.1))).count();
        for hit in hits.iter().flat_map(|h| [h.0, h.1]) {
            (0..harness.nodes_of(hit).len())
                .for_each(|hop| harness.complete_forward(hit, hop as u8, ForwardOutcome::Ok, 150));
        }
        harness.advance(SECOND);
    }
    assert!(dear > cheap && cheap * 3 > dear, "{cheap} cheap and {dear} dear ones went");
}

#[rstest]
fn shedding_ends_when_the_trouble_is_over() {
    // With every hit shed nothing was learnt any more, and the fleet looked slow for ever.
    let mut harness = start_released(3);
    harness.run_traffic(300, REPEATABLE, |_| (ForwardOutcome::Ok, 900));
    harness.run_traffic(1500, REPEATABLE, ok_in_60_ms);
    assert!(harness.run_traffic(100, REPEATABLE, ok_in_60_ms).len() >= 95);
}

#[rstest]
fn a_tenant_past_its_share_is_shed_before_the_others() {
    let mut settings = default_settings();
    settings.tenancy = Tenancy { shares: vec![0.5, 0.5], over_share_factor: 0.05 };
    let mut harness = start_released_with(settings, 4);
    harness.run_traffic(200, REPEATABLE, ok_in_60_ms);
    let mut bounced = [0, 0];
    for at in 0..400u32 {
        let (tenant, id) = (usize::from(at % 10 == 0), 10_000 + at);
        let now = harness.now;
        harness.marshal.on_hit(&mut harness.host, now, id, (MUTATING, tenant), 0, SECOND, None);
        bounced[tenant] += usize::from(harness.was_called(HostCall::Bounce(id)));
        if at % 40 == 39 {
            let went: Vec<u32> = (id - 39..=id).filter(|id| !harness.nodes_of(*id).is_empty()).collect();
            went.into_iter().for_each(|id| harness.complete_forward(id, 0, ForwardOutcome::Ok, 60));
            harness.advance(SECOND);
        }
    }
    assert!(bounced[0] > 30 && bounced[1] * 9 < bounced[0], "{bounced:?}");
}

#[rstest]
fn the_list_is_asked_again_with_growing_waits() {
    let mut settings = default_settings();
    settings.node_list.on_request = true;
    let mut harness = settings.start_marshal();
    let asked = |harness: &Harness| harness.host.calls.iter().filter(|c| **c == HostCall::Watch).count();
    assert_eq!(asked(&harness), 1);
    for _ in 0..6 {
        let now = harness.now;
        harness.marshal.on_list_failed(&mut harness.host, now);
        harness.advance(SECOND * 8.0);
    }
    assert_eq!(asked(&harness), 7);
    let now = harness.now;
    harness.marshal.on_list_failed(&mut harness.host, now);
    harness.advance(Span::millis(800));
    assert_eq!(asked(&harness), 7, "by now the wait is longer than the first");
}

#[rstest]
fn the_same_events_give_the_same_actions() {
    let run = || {
        let mut harness = start_trial(3);
        harness.run_traffic(200, TAGGED, |node| {
            if node == 4 { (ForwardOutcome::Error, 5) } else { (ForwardOutcome::Ok, 60) }
        });
        harness.host.calls
    };
    assert_eq!(run(), run());
}
