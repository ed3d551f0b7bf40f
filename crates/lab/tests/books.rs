//! The laboratory's own judges: books on the rules, trends, releases, timetables, scenarios.

use proptest::prelude::*;
use rstest::rstest;
use std::time::Duration;
use stonescale::settings::{DedupScope, Effect};
use stonescale::time::{Span, Time};
use stonescale_lab::checker::{Bounds, Checker, Outcome, Request};
use stonescale_lab::faults::{ALL, FaultSchedule};
use stonescale_lab::release::{Action, Release, ReleasePlan};
use stonescale_lab::soak::Scenario;
use stonescale_lab::trend::Trend;
use stonescale_operator::IniSettings;

fn at(ms: u64) -> Time {
    Time::at((1_000_000 + ms) * 1_000_000)
}

fn asked(effect: Effect) -> Request {
    Request { group: 0, effect, idempotency_key: None, client_timeout: Span::millis(500) }
}

/// Books with a released build 4 on node `old`, build 5 on trial at a tenth on node `new`, and a hit `h` sent at zero.
fn books(effect: Effect) -> Checker {
    let mut books = Checker::new(Bounds::default(), 0.1);
    books.build_reported(4, false, 1.0, at(0));
    books.node_reported("old", 4, false, at(0));
    books.node_reported("new", 5, false, at(0));
    books.build_reported(5, true, 0.1, at(0));
    books.hit_sent("h", asked(effect), at(0));
    books
}

const READ: Effect = Effect::Repeatable;
const BOOK: Effect = Effect::Mutating;
const TAGGED: Effect = Effect::Tagged { scope: DedupScope::All, dedup_window: Span::millis(1_000) };

type Play = fn(&mut Checker);

/// Four forwards to a node, from a time on.
fn four(books: &mut Checker, node: &str, from: u64) {
    (0..4).for_each(|n| books.forward_received(node, &n.to_string(), at(from + n)));
}

#[rstest]
#[case::answered_twice(1, READ, |b: &mut Checker| {
    b.hit_answered("h", Outcome::Delivered, at(10));
    b.hit_answered("h", Outcome::Delivered, at(11));
})]
#[case::answered_late(1, READ, |b: &mut Checker| b.hit_answered("h", Outcome::Errored, at(560)))]
#[case::never_answered(1, READ, |b: &mut Checker| b.client_left("h", true, at(900)))]
#[case::anothers_value(1, READ, |b: &mut Checker| b.hit_answered("h", Outcome::WrongValue, at(10)))]
#[case::sent_after_its_answer(1, READ, |b: &mut Checker| {
    b.hit_answered("h", Outcome::Bounced, at(10));
    b.forward_received("old", "h", at(70));
})]
#[case::sent_after_its_time(1, READ, |b: &mut Checker| b.forward_received("old", "h", at(551)))]
#[case::mutating_sent_again(2, BOOK, |b: &mut Checker| {
    b.forward_received("old", "h", at(1));
    b.forward_received("old", "h", at(2));
})]
#[case::mutating_bounced_after_a_forward(2, BOOK, |b: &mut Checker| {
    b.forward_received("old", "h", at(1));
    b.hit_answered("h", Outcome::Bounced, at(20));
})]
#[case::tagged_ran_twice(2, TAGGED, |b: &mut Checker| {
    b.command_executed("old", "h", at(1));
    b.command_executed("old", "h", at(2));
})]
#[case::sent_to_a_draining_node(3, READ, |b: &mut Checker| {
    b.node_reported("old", 4, true, at(10));
    b.hit_sent("late", asked(READ), at(1_070));
    b.forward_received("old", "late", at(1_071));
})]
#[case::a_cold_node_pushed_over(4, READ, |b: &mut Checker| {
    b.node_started("old", 20.0, at(0));
    // Warm after a second, it can do 20 a second: 50 are too much all the time.
    (0..200).for_each(|n| b.forward_received("old", &n.to_string(), at(n * 20)));
})]
#[case::over_the_cap(5, READ, |b: &mut Checker| four(b, "new", 1))]
#[case::over_a_lowered_cap(5, READ, |b: &mut Checker| {
    b.build_reported(5, true, 1.0, at(1));
    b.build_reported(5, true, 0.0, at(2));
    four(b, "new", 3_000);
})]
#[case::over_the_first_cap_of_a_build_not_announced(5, READ, |b: &mut Checker| {
    b.node_reported("newer", 6, false, at(0));
    four(b, "newer", 1);
})]
fn a_planted_violation_is_found(#[case] rule: u8, #[case] effect: Effect, #[case] play: Play) {
    let mut books = books(effect);
    play(&mut books);
    let rules: Vec<_> = books.violations.iter().map(|v| v.rule).collect();
    assert!(!rules.is_empty() && rules.iter().all(|r| *r == rule), "{:?}", books.violations);
}

#[rstest]
#[case::a_usual_hit(BOOK, |b: &mut Checker| {
    b.forward_received("old", "h", at(1));
    b.command_executed("old", "h", at(2));
    b.hit_answered("h", Outcome::Delivered, at(3));
})]
#[case::turned_away_and_sent_on(BOOK, |b: &mut Checker| {
    b.forward_received("old", "h", at(1));
    b.forward_rejected("h");
    b.forward_received("old", "h", at(2));
    b.hit_answered("h", Outcome::Delivered, at(3));
})]
#[case::bounced_unsent(BOOK, |b: &mut Checker| b.hit_answered("h", Outcome::Bounced, at(3)))]
#[case::within_the_grace(READ, |b: &mut Checker| {
    b.node_reported("old", 4, true, at(0));
    b.forward_received("old", "h", at(400));
})]
#[case::a_cold_node_kept_busy(READ, |b: &mut Checker| {
    b.node_started("old", 20.0, at(0));
    (0..200).for_each(|n| b.forward_received("old", &n.to_string(), at(n * 50)));
})]
#[case::a_cold_node_pushed_for_two_seconds(READ, |b: &mut Checker| {
    b.node_started("old", 20.0, at(0));
    (0..100).for_each(|n| b.forward_received("old", &n.to_string(), at(n * 20)));
    (0..40).for_each(|n| b.forward_received("old", &n.to_string(), at(2_200 + n * 100)));
})]
#[case::a_warm_node_overloaded(READ, |b: &mut Checker| {
    b.node_started("old", 20.0, at(0));
    (0..200).for_each(|n| b.forward_received("old", &n.to_string(), at(1_500 + n * 20)));
})]
#[case::within_the_allowance(READ, |b: &mut Checker| (0..3).for_each(|n| b.forward_received("new", &n.to_string(), at(n))))]
#[case::a_client_that_left(READ, |b: &mut Checker| b.client_left("h", false, at(100)))]
fn what_is_lawful_is_not_held_against_it(#[case] effect: Effect, #[case] play: Play) {
    let mut books = books(effect);
    play(&mut books);
    assert_eq!(books.violations, []);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::with_cases(100) })]

    #[test]
    fn a_line_that_rises_is_told_from_one_that_does_not(noise in prop::collection::vec(-50.0..50.0f64, 240)) {
        let series = |slope: f64| -> Vec<(f64, f64)> {
            noise.iter().enumerate().map(|(at, n)| (at as f64, 1_000.0 + slope * at as f64 + n)).collect()
        };
        let flat = Trend::of(&series(0.0), 20.0).unwrap();
        let rising = Trend::of(&series(10.0), 20.0).unwrap();
        prop_assert!(flat.flat(1.0) && !flat.grows(1.0), "{flat:?}");
        prop_assert!(!rising.flat(1.0) && rising.grows(1.0), "{rising:?}");
    }
}

#[test]
fn too_few_blocks_tell_no_trend() {
    assert_eq!(Trend::of(&[(0.0, 1.0), (1.0, 2.0), (2.0, 3.0)], 1.0), None);
}

/// Plays a release of ten nodes in steps of 50 ms; `back` says from when on a vote against it stands.
fn play(back: Option<u64>) -> (Release, Vec<Action>) {
    let (start, stage) = (Duration::from_millis(100), Duration::from_millis(500));
    let course = ReleasePlan {
        nodes: 10,
        stage_shares: vec![0.1, 0.35, 1.0],
        node_start: start,
        stage_duration: stage,
    };
    let mut release = Release::new(course, Duration::ZERO);
    let mut steps = Vec::new();
    for ms in (0..5_000).step_by(50) {
        steps.extend(release.poll(Duration::from_millis(ms), back.is_some_and(|from| ms >= from), false));
    }
    (release, steps)
}

#[test]
fn a_release_passes_its_stages_and_replaces_every_node() {
    let (release, steps) = play(None);
    let sum = |f: fn(&Action) -> usize| steps.iter().map(f).sum::<usize>();
    assert_eq!(release.outcome(), Some(true));
    assert_eq!(sum(|s| if let Action::StartNodes(n) = s { *n } else { 0 }), 10);
    assert_eq!(sum(|s| if let Action::DrainNodes(n) = s { *n } else { 0 }), 10);
    assert!(
        steps.contains(&Action::Announce(1, "testing", 0.35))
            && steps.ends_with(&[Action::Announce(2, "live", 1.0)])
    );
}

#[test]
fn a_vote_against_it_brings_back_as_many_nodes_as_were_drained() {
    let (release, steps) = play(Some(900));
    assert_eq!(release.outcome(), Some(false));
    assert!(steps.contains(&Action::RollBack(4)), "{steps:?}");
}

#[test]
fn the_same_seed_gives_the_same_timetable_with_every_kind_in_each_cycle() {
    let table = |seed| {
        let table = FaultSchedule::generate(&ALL, 2, Duration::from_secs(1), seed);
        let at = |s: u64| table.phase_at(Duration::from_millis(s * 1_000 + 100)).map(|p| p.1);
        (0..=2 * ALL.len() as u64).map(at).collect::<Vec<_>>()
    };
    let one = table(7);
    assert!(one == table(7) && one != table(8) && one.last() == Some(&None));
    assert!(ALL.iter().all(|kind| one.iter().filter(|k| **k == Some(*kind)).count() == 2));
}

#[rstest]
#[case("[soak]\nrate = fast", "line 2: [soak] rate = 'fast' is not a number")]
#[case("[soak]\ntroubles = calm, plague", "names an unknown trouble 'plague'")]
#[case("[soak]\nphase = 0", "must be longer than nothing")]
#[case("[soak]\nphases = 3", "[soak] phases is no key here")]
#[case("[tolerance]\nunaccounted = 15", "is not a part such as 25%")]
fn a_wrong_scenario_is_refused_with_one_readable_line(#[case] text: &str, #[case] why: &str) {
    let told = IniSettings::parse("s.ini", text).and_then(Scenario::of).unwrap_err();
    assert!(told.contains(why) && told.lines().count() == 1, "{told}");
}

#[rstest]
#[case(include_str!("../../../deploy/soak-short.ini"))]
#[case(include_str!("../../../deploy/soak-long.ini"))]
fn the_shipped_scenarios_can_be_read(#[case] text: &str) {
    IniSettings::parse("s.ini", text).and_then(Scenario::of).unwrap();
}
