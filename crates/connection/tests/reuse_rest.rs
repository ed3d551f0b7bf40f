//! The rest of connections after a reply grows with the lateness of second copies that were seen.

use stonescale::time::{Span, Time};
use stonescale_connection::reuse_rest::{MAX_REST, MIN_REST, ReuseRest};

fn at(ms: u64) -> Time {
    Time::default() + Span::millis(ms)
}

#[test]
fn the_rest_is_longer_than_the_latest_second_copy_seen() {
    let mut rest = ReuseRest::default();
    assert_eq!(rest.current(at(0)), MIN_REST);
    rest.record_late_input(Span::millis(12), at(10));
    assert_eq!(rest.current(at(10)), Span::millis(36));
    rest.record_late_input(Span::millis(30), at(20));
    rest.record_late_input(Span::millis(6), at(30));
    assert_eq!(rest.current(at(40)), Span::millis(90));
}

#[test]
fn the_rest_is_never_shorter_than_without_second_copies_nor_longer_than_its_bound() {
    let mut rest = ReuseRest::default();
    rest.record_late_input(Span::millis(1), at(0));
    assert_eq!(rest.current(at(0)), MIN_REST);
    rest.record_late_input(Span::millis(900), at(0));
    assert_eq!(rest.current(at(0)), MAX_REST);
}

#[test]
fn input_long_after_a_reply_and_second_copies_long_ago_do_not_count() {
    let mut rest = ReuseRest::default();
    rest.record_late_input(Span::millis(5_000), at(0));
    assert_eq!(rest.current(at(0)), MIN_REST);
    rest.record_late_input(Span::millis(40), at(0));
    assert_eq!(rest.current(at(599_999)), Span::millis(120));
    assert_eq!(rest.current(at(600_000)), MIN_REST);
    rest.record_late_input(Span::millis(10), at(700_000));
    assert_eq!(rest.current(at(700_000)), Span::millis(30), "what is forgotten does not come back");
}
