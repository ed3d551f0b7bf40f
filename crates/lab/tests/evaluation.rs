//! Tests of the parts of the laboratory that do no network I/O: the checker of the rules, trends, releases, fault
//! schedules and scenario files.

use proptest::prelude::*;
use rstest::rstest;
use std::time::Duration;
use stonescale::settings::{DedupScope, Effect};
use stonescale::time::{Span, Time};
use stonescale_lab::checker::{Bounds, Checker, Outcome, Request};
use stonescale_lab::faults::{ALL_FAULTS, FaultSchedule};
use stonescale_lab::release::{Action, Release, ReleasePlan};
use stonescale_lab::soak::Scenario;
use stonescale_lab::trend::Trend;
use stonescale_operator::IniSettings;

fn at(ms: u64) -> Time {
    Time::at((1_000_000 + ms) * 1_000_000)
}

fn request(effect: Effect) -> Request {
    Request { group: 0, effect, idempotency_key: None, client_timeout: Span::millis(500) }
}

/// A checker with the released build 4 on node `old`, build 5 on trial with a cap of 0.1 on node `new`, and a hit `h`
/// that a client sent at time zero.
fn checker(effect: Effect) -> Checker {
    let mut checker = Checker::new(Bounds::default(), 0.1);
    checker.build_reported(4, false, 1.0, at(0));
    checker.node_reported("old", 4, false, at(0));
    checker.node_reported("new", 5, false, at(0));
    checker.build_reported(5, true, 0.1, at(0));
    checker.hit_sent("h", request(effect), at(0));
    checker
}

const REPEATABLE: Effect = Effect::Repeatable;
const MUTATING: Effect = Effect::Mutating;
const TAGGED: Effect = Effect::Tagged { scope: DedupScope::All, dedup_window: Span::millis(1_000) };

/// Records the events of a case.
type RecordEvents = fn(&mut Checker);

/// Records four forwards to a node, one per millisecond from `from_ms` on.
fn forward_four(checker: &mut Checker, node: &str, from_ms: u64) {
    (0..4).for_each(|n| checker.forward_received(node, &n.to_string(), at(from_ms + n)));
}

#[rstest]
#[case::answered_twice(1, REPEATABLE, |checker: &mut Checker| {
    checker.hit_answered("h", Outcome::Delivered, at(10));
    checker.hit_answered("h", Outcome::Delivered, at(11));
})]
#[case::answered_late(1, REPEATABLE, |checker: &mut Checker| checker.hit_answered("h", Outcome::Errored, at(560)))]
#[case::never_answered(1, REPEATABLE, |checker: &mut Checker| checker.client_left("h", true, at(900)))]
#[case::value_of_another_hit(1, REPEATABLE, |checker: &mut Checker| {
    checker.hit_answered("h", Outcome::WrongValue, at(10));
})]
#[case::forwarded_after_its_answer(1, REPEATABLE, |checker: &mut Checker| {
    checker.hit_answered("h", Outcome::Bounced, at(10));
    checker.forward_received("old", "h", at(70));
})]
#[case::forwarded_after_its_deadline(1, REPEATABLE, |checker: &mut Checker| {
    checker.forward_received("old", "h", at(551));
})]
#[case::mutating_hit_forwarded_again(2, MUTATING, |checker: &mut Checker| {
    checker.forward_received("old", "h", at(1));
    checker.forward_received("old", "h", at(2));
})]
#[case::mutating_hit_bounced_after_a_forward(2, MUTATING, |checker: &mut Checker| {
    checker.forward_received("old", "h", at(1));
    checker.hit_answered("h", Outcome::Bounced, at(20));
})]
#[case::tagged_hit_ran_twice(2, TAGGED, |checker: &mut Checker| {
    checker.command_executed("old", "h", at(1));
    checker.command_executed("old", "h", at(2));
})]
#[case::forwarded_to_a_draining_node(3, REPEATABLE, |checker: &mut Checker| {
    checker.node_reported("old", 4, true, at(10));
    checker.hit_sent("late", request(REPEATABLE), at(1_070));
    checker.forward_received("old", "late", at(1_071));
})]
#[case::cold_node_overloaded(4, REPEATABLE, |checker: &mut Checker| {
    checker.node_started("old", 20.0, at(0));
    // Warm after 1 s, the node can do 20 commands per second: 50 per second are over twice that all the time.
    (0..200).for_each(|n| checker.forward_received("old", &n.to_string(), at(n * 20)));
})]
#[case::over_the_cap(5, REPEATABLE, |checker: &mut Checker| forward_four(checker, "new", 1))]
#[case::over_a_lowered_cap(5, REPEATABLE, |checker: &mut Checker| {
    checker.build_reported(5, true, 1.0, at(1));
    checker.build_reported(5, true, 0.0, at(2));
    forward_four(checker, "new", 3_000);
})]
#[case::over_the_first_cap_of_an_unannounced_build(5, REPEATABLE, |checker: &mut Checker| {
    checker.node_reported("newer", 6, false, at(0));
    forward_four(checker, "newer", 1);
})]
fn violation_is_reported_under_its_rule(
    #[case] rule: u8, #[case] effect: Effect, #[case] record_events: RecordEvents,
) {
    let mut checker = checker(effect);
    record_events(&mut checker);
    let rules: Vec<_> = checker.violations.iter().map(|v| v.rule).collect();
    assert!(!rules.is_empty() && rules.iter().all(|r| *r == rule), "{:?}", checker.violations);
}

#[rstest]
#[case::hit_delivered(MUTATING, |checker: &mut Checker| {
    checker.forward_received("old", "h", at(1));
    checker.command_executed("old", "h", at(2));
    checker.hit_answered("h", Outcome::Delivered, at(3));
})]
#[case::rejected_by_a_node_and_forwarded_again(MUTATING, |checker: &mut Checker| {
    checker.forward_received("old", "h", at(1));
    checker.forward_rejected("h");
    checker.forward_received("old", "h", at(2));
    checker.hit_answered("h", Outcome::Delivered, at(3));
})]
#[case::bounced_without_a_forward(MUTATING, |checker: &mut Checker| checker.hit_answered("h", Outcome::Bounced, at(3)))]
#[case::forwarded_within_the_drain_grace(REPEATABLE, |checker: &mut Checker| {
    checker.node_reported("old", 4, true, at(0));
    checker.forward_received("old", "h", at(400));
})]
#[case::cold_node_at_its_capacity(REPEATABLE, |checker: &mut Checker| {
    checker.node_started("old", 20.0, at(0));
    (0..200).for_each(|n| checker.forward_received("old", &n.to_string(), at(n * 50)));
})]
#[case::cold_node_overloaded_for_two_seconds(REPEATABLE, |checker: &mut Checker| {
    checker.node_started("old", 20.0, at(0));
    (0..100).for_each(|n| checker.forward_received("old", &n.to_string(), at(n * 20)));
    (0..40).for_each(|n| checker.forward_received("old", &n.to_string(), at(2_200 + n * 100)));
})]
#[case::warm_node_overloaded(REPEATABLE, |checker: &mut Checker| {
    checker.node_started("old", 20.0, at(0));
    (0..200).for_each(|n| checker.forward_received("old", &n.to_string(), at(1_500 + n * 20)));
})]
#[case::within_the_allowance(REPEATABLE, |checker: &mut Checker| {
    (0..3).for_each(|n| checker.forward_received("new", &n.to_string(), at(n)));
})]
#[case::client_that_disconnected(REPEATABLE, |checker: &mut Checker| checker.client_left("h", false, at(100)))]
fn permitted_behaviour_is_not_reported(#[case] effect: Effect, #[case] record_events: RecordEvents) {
    let mut checker = checker(effect);
    record_events(&mut checker);
    assert_eq!(checker.violations, []);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(100) })]

    #[test]
    fn rising_series_is_distinguished_from_a_flat_one(noise in prop::collection::vec(-50.0..50.0f64, 240)) {
        let series = |slope: f64| -> Vec<(f64, f64)> {
            noise.iter().enumerate().map(|(at, noise)| (at as f64, 1_000.0 + slope * at as f64 + noise)).collect()
        };
        let flat = Trend::fit(&series(0.0), 20.0).unwrap();
        let rising = Trend::fit(&series(10.0), 20.0).unwrap();
        prop_assert!(flat.is_flat(1.0) && !flat.is_growing(1.0), "{flat:?}");
        prop_assert!(!rising.is_flat(1.0) && rising.is_growing(1.0), "{rising:?}");
    }
}

#[test]
fn too_few_blocks_give_no_trend() {
    assert_eq!(Trend::fit(&[(0.0, 1.0), (1.0, 2.0), (2.0, 3.0)], 1.0), None);
}

/// Runs a release over ten nodes and polls it every 50 ms; from `stop_from_ms` on, a vote to stop it is valid.
fn run_release(stop_from_ms: Option<u64>) -> (Release, Vec<Action>) {
    let (node_start_duration, stage_duration) = (Duration::from_millis(100), Duration::from_millis(500));
    let plan = ReleasePlan {
        node_count: 10,
        stage_shares: vec![0.1, 0.35, 1.0],
        node_start_duration,
        stage_duration,
    };
    let mut release = Release::new(plan, Duration::ZERO);
    let mut actions = Vec::new();
    for ms in (0..5_000).step_by(50) {
        actions.extend(release.poll(
            Duration::from_millis(ms),
            stop_from_ms.is_some_and(|from| ms >= from),
            false,
        ));
    }
    (release, actions)
}

#[test]
fn release_passes_its_stages_and_replaces_every_node() {
    let (release, actions) = run_release(None);
    let sum = |node_count: fn(&Action) -> usize| actions.iter().map(node_count).sum::<usize>();
    assert_eq!(release.outcome(), Some(true));
    assert_eq!(sum(|action| if let Action::StartNodes(count) = action { *count } else { 0 }), 10);
    assert_eq!(sum(|action| if let Action::DrainNodes(count) = action { *count } else { 0 }), 10);
    assert!(
        actions.contains(&Action::Announce(1, "testing", 0.35))
            && actions.ends_with(&[Action::Announce(2, "live", 1.0)])
    );
}

#[test]
fn stop_vote_restarts_as_many_old_nodes_as_were_drained() {
    let (release, actions) = run_release(Some(900));
    assert_eq!(release.outcome(), Some(false));
    assert!(actions.contains(&Action::RollBack(4)), "{actions:?}");
}

#[test]
fn schedule_is_the_same_for_a_seed_and_has_each_fault_once_per_cycle() {
    let faults_of_seed = |seed| {
        let schedule = FaultSchedule::generate(&ALL_FAULTS, 2, Duration::from_secs(1), seed);
        let at = |s: u64| schedule.phase_at(Duration::from_millis(s * 1_000 + 100)).map(|p| p.1);
        (0..=2 * ALL_FAULTS.len() as u64).map(at).collect::<Vec<_>>()
    };
    let of_seed_7 = faults_of_seed(7);
    assert!(
        of_seed_7 == faults_of_seed(7) && of_seed_7 != faults_of_seed(8) && of_seed_7.last() == Some(&None)
    );
    assert!(ALL_FAULTS.iter().all(|fault| of_seed_7.iter().filter(|f| **f == Some(*fault)).count() == 2));
}

#[rstest]
#[case("[soak]\nrate = fast", "line 2: [soak] rate = 'fast' is not a number")]
#[case("[soak]\ntroubles = calm, plague", "names an unknown trouble 'plague'")]
#[case("[soak]\nphase = 0", "must be greater than zero")]
#[case("[soak]\nphases = 3", "[soak] phases is an unknown key")]
#[case("[tolerance]\nunaccounted = 15", "is not a percentage such as 25%")]
fn invalid_scenario_is_rejected_with_a_one_line_error(#[case] text: &str, #[case] message: &str) {
    let error = IniSettings::parse("s.ini", text).and_then(Scenario::from_settings).unwrap_err();
    assert!(error.contains(message) && error.lines().count() == 1, "{error}");
}

#[rstest]
#[case(include_str!("../../../deploy/soak-short.ini"))]
#[case(include_str!("../../../deploy/soak-long.ini"))]
fn shipped_scenarios_are_valid(#[case] text: &str) {
    IniSettings::parse("s.ini", text).and_then(Scenario::from_settings).unwrap();
}
