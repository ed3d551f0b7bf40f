//! Start times of nodes while the wall clock is stepped: a node just started is never taken for warm, and none stays cold
//! for longer than a warm-up.

use rstest::rstest;
use stonescale::start_times::StartTimes;
use stonescale::state::EPOCH;
use stonescale::time::{Span, Time};

const NOW: Time = Time::at(10_000_000_000_000);
const HOUR: Span = Span::millis(3_600_000);
const AGE: Span = Span::millis(1_500);

/// A step of the wall clock since the host's start, forward or back.
#[derive(Clone, Copy)]
enum Step {
    None,
    Forward(Span),
    Back(Span),
}

impl Step {
    fn apply(self, at: Time) -> Time {
        match self {
            Step::None => at,
            Step::Forward(span) => at + span,
            Step::Back(span) => at - span,
        }
    }
}

#[rstest]
#[case::no_step(Step::None, Step::None, AGE)]
#[case::all_clocks_forward(Step::Forward(HOUR), Step::Forward(HOUR), Span::ZERO)]
#[case::all_clocks_back(Step::Back(HOUR), Step::Back(HOUR), AGE)]
#[case::only_this_host_forward(Step::Forward(HOUR), Step::None, AGE)]
#[case::only_this_host_back(Step::Back(HOUR), Step::None, Span::ZERO)]
#[case::forward_after_the_node_started(Step::Forward(HOUR), Step::None, AGE)]
#[case::seconds(Step::Back(Span::millis(1_000)), Step::Back(Span::millis(1_000)), AGE)]
fn the_age_of_a_process_is_never_overstated(
    #[case] host_step: Step, #[case] node_step: Step, #[case] expected_age: Span,
) {
    let mut starts = StartTimes::default();
    let listed = node_step.apply(NOW - AGE);
    let started = starts.host_time(3, listed, NOW, host_step.apply(NOW));
    assert_eq!(NOW - started, expected_age);
}

/// The mapped time tells a restart from a repeated entry: it may not change with the wall clock.
#[rstest]
fn a_repeated_entry_keeps_its_time_over_a_step_and_another_process_gets_its_own() {
    let mut starts = StartTimes::default();
    let listed = NOW - AGE;
    let started = starts.host_time(0, listed, NOW, NOW);
    let later = NOW + HOUR;
    assert_eq!(starts.host_time(0, listed, later, later + HOUR), started);
    let restarted = starts.host_time(0, later + HOUR - AGE, later, later + HOUR);
    assert_ne!(restarted, started);
    starts.forget(0);
    assert_ne!(starts.host_time(0, listed, later, later - HOUR), started, "another node may have the number");
}

#[rstest]
fn a_start_long_ago_stays_long_ago() {
    assert_eq!(StartTimes::default().host_time(0, EPOCH, NOW, NOW + HOUR), EPOCH);
}
