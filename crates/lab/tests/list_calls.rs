//! Many marshals and a discovery that comes back, in virtual time.

use rstest::rstest;
use stonescale::time::Span;
use stonescale_lab::list_calls::{Scenario, Way, play};

fn scenario(marshals: usize, grace_ms: u64, outage_ms: u64, calls_per_second: f64) -> Scenario {
    Scenario {
        marshals,
        hits_per_second: 40.0,
        grace: Span::millis(grace_ms),
        outage: Span::millis(outage_ms),
        calls_per_second,
        max_wait: Span::millis(2_000),
        seed: 3,
    }
}

/// However crowded discovery is at its return, no marshal forwards by its old list after the grace.
#[rstest]
fn no_marshal_forwards_by_its_old_list_after_the_grace(
    #[values(1, 12, 300, 900)] marshals: usize, #[values(0, 250, 1_000)] grace_ms: u64,
    #[values(500, 8_000, 60_000)] outage_ms: u64, #[values(500.0, 5_000.0)] calls_per_second: f64,
) {
    let figures = play(scenario(marshals, grace_ms, outage_ms, calls_per_second), Way::LeaseOnDemand);
    assert_eq!(figures.late_forwards, 0);
    let listed = figures.all_listed_after.expect("all marshals have the list within a minute");
    assert!(listed < Span::millis(20_000), "{listed:?}");
    assert!(figures.calls_while_down <= 50.0, "{}", figures.calls_while_down);
}

/// The model shows the fault that the lease guards against: with backoff, forwards go on by the old list.
#[rstest]
fn with_backoff_alone_forwards_go_by_the_old_list() {
    let figures = play(scenario(300, 250, 8_000, 5_000.0), Way::Backoff);
    assert!(figures.late_forwards > 1_000, "{}", figures.late_forwards);
}

/// Where discovery can answer the calls that leases need, no hit is refused during the outage.
#[rstest]
#[case(300, 250)]
#[case(900, 1_000)]
fn hits_are_served_while_discovery_keeps_up_with_the_calls(#[case] marshals: usize, #[case] grace_ms: u64) {
    let figures = play(scenario(marshals, grace_ms, 8_000, 5_000.0), Way::LeaseOnDemand);
    assert!(figures.refused_while_down < 0.01, "{}", figures.refused_while_down);
}
