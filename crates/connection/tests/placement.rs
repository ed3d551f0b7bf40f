//! Where a forward goes, and the queue of those that wait for a connection.

use rstest::rstest;
use stonescale::time::{Span, Time};
use stonescale_connection::ForwardKey;
use stonescale_connection::placement::{
    MAX_WAITING_FORWARDS, NodeConnections, Placement, PoolRoom, WaitingForward, WaitingForwards, place,
};

fn at(ms: u64) -> Time {
    Time::default() + Span::millis(ms)
}

fn connecting(count: usize, since_ms: u64) -> NodeConnections {
    NodeConnections { connecting: count, newest_connecting_at: at(since_ms), ..NodeConnections::default() }
}

const REUSABLE: NodeConnections = NodeConnections {
    has_reusable: true,
    next_reusable_at: None,
    connecting: 0,
    newest_connecting_at: Time::at(0),
};

#[rstest]
#[case::free_connection(REUSABLE, PoolRoom::Full, 1, Placement::Reuse)]
#[case::room(NodeConnections::default(), PoolRoom::Free, 1, Placement::Open)]
#[case::no_room(NodeConnections::default(), PoolRoom::Full, 1, Placement::Wait { until: None })]
#[case::idle_elsewhere(NodeConnections::default(), PoolRoom::Replaceable, 1, Placement::Replace)]
#[case::one_connecting_for_one(connecting(1, 0), PoolRoom::Free, 1, Placement::Wait { until: None })]
#[case::just_begun(connecting(1, 95), PoolRoom::Free, 2, Placement::Wait { until: Some(at(115)) })]
#[case::begun_long_ago(connecting(1, 80), PoolRoom::Free, 2, Placement::Open)]
#[case::many_connecting(connecting(4, 0), PoolRoom::Free, 9, Placement::Wait { until: None })]
fn a_forward_goes_on_a_free_connection_a_new_one_or_waits(
    #[case] connections: NodeConnections, #[case] room: PoolRoom, #[case] waiting: usize,
    #[case] expected: Placement,
) {
    assert_eq!(place(connections, room, waiting, at(100)), expected);
}

/// A resting connection is waited for beside one that is being established: whichever comes first is used.
#[test]
fn a_wait_ends_when_a_resting_connection_may_be_used() {
    let connections = NodeConnections { next_reusable_at: Some(at(104)), ..connecting(1, 95) };
    let until = |placement| if let Placement::Wait { until } = placement { until } else { None };
    assert_eq!(until(place(connections, PoolRoom::Free, 2, at(100))), Some(at(104)));
    assert_eq!(until(place(connections, PoolRoom::Free, 1, at(100))), Some(at(104)));
}

fn forward(hit: u32) -> WaitingForward {
    WaitingForward { key: ForwardKey { hit, hop: 0 }, deadline: at(1_000) }
}

#[test]
fn forwards_leave_in_their_order_unless_they_are_given_up() {
    let mut waiting = WaitingForwards::default();
    (1..=4).for_each(|hit| waiting.push(forward(hit)).unwrap());
    assert!(waiting.remove(forward(2).key));
    assert!(!waiting.remove(forward(2).key), "it is gone");
    assert_eq!(waiting.pop(), Some(forward(1)));
    assert_eq!(waiting.take_all().map(|key| key.hit).collect::<Vec<_>>(), [3, 4]);
    assert!(waiting.is_empty());
}

#[test]
fn the_queue_of_one_node_is_bounded() {
    let mut waiting = WaitingForwards::default();
    (0..MAX_WAITING_FORWARDS as u32).for_each(|hit| waiting.push(forward(hit)).unwrap());
    assert!(waiting.push(forward(u32::MAX)).is_err());
    assert_eq!(waiting.len(), MAX_WAITING_FORWARDS);
}
