//! The exchange of a connection against a model that keeps the bytes themselves and a node that drops commands, loses
//! replies and sends them twice: a reply is only ever paired with the forward that it was made for, and a node never gets
//! a whole command that was reported as never sent.

use proptest::prelude::*;
use std::collections::VecDeque;
use stonescale::time::{Span, Time};
use stonescale_connection::exchange::{Exchange, ForwardKey, GiveUp, NotFree, UnaskedInput};

#[derive(Clone, Debug)]
enum Step {
    /// A forward of this many bytes is to be sent.
    Begin(usize),
    /// The socket takes this many bytes.
    Write(usize),
    /// The newest forward is given up.
    GiveUpNewest,
    /// An earlier forward is given up.
    GiveUp(usize),
    /// The node handles the command that it has whole.
    Node(NodeStep),
    /// The oldest message of the node is read.
    Read,
}

#[derive(Clone, Copy, Debug)]
enum NodeStep {
    Reply,
    /// The command is dropped, or its reply lost.
    StaySilent,
    /// The last reply is sent once more, if no command waits.
    SendSecondCopy,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let node_step = prop_oneof![
        4 => Just(NodeStep::Reply),
        1 => Just(NodeStep::StaySilent),
        1 => Just(NodeStep::SendSecondCopy),
    ];
    let step = prop_oneof![
        4 => (1..20_usize).prop_map(Step::Begin),
        4 => (0..30_usize).prop_map(Step::Write),
        1 => Just(Step::GiveUpNewest),
        1 => any::<usize>().prop_map(Step::GiveUp),
        4 => node_step.prop_map(Step::Node),
        4 => Just(Step::Read),
    ];
    proptest::collection::vec(step, 0..300)
}

/// What the model knows of a forward.
#[derive(Clone, Copy, Debug, Default)]
struct Known {
    length: usize,
    /// Bytes of it that the socket took.
    written: usize,
    reported_unsent: bool,
    /// Its end has been reported, by a reply or as given up.
    ended: bool,
}

/// The bytes between both ends, and what the node does with them.
#[derive(Default)]
struct Model {
    known: Vec<Known>,
    unsent: usize,
    /// The forward that the node has whole and has not handled.
    at_node: Option<usize>,
    last_reply: Option<usize>,
    /// Messages on the way to the marshal, by the forward that they were made for.
    on_the_way: VecDeque<usize>,
}

impl Model {
    fn write(&mut self, count: usize) -> usize {
        let count = count.min(self.unsent);
        let Some(newest) = self.known.len().checked_sub(1) else { return 0 };
        let forward = &mut self.known[newest];
        forward.written += count;
        self.unsent -= count;
        if count > 0 && forward.written == forward.length {
            self.at_node = Some(newest);
        }
        count
    }

    fn node(&mut self, step: NodeStep) {
        match step {
            NodeStep::Reply => {
                if let Some(forward) = self.at_node.take() {
                    self.last_reply = Some(forward);
                    self.on_the_way.push_back(forward);
                }
            }
            NodeStep::StaySilent => self.at_node = None,
            NodeStep::SendSecondCopy => {
                let waits = self.at_node.is_some() || self.known.last().is_some_and(|k| !k.ended);
                self.on_the_way.extend(self.last_reply.filter(|_| !waits));
            }
        }
    }
}

fn key(hit: usize) -> ForwardKey {
    ForwardKey { hit: hit as u32, hop: 0 }
}

fn at(ms: u64) -> Time {
    Time::default() + Span::millis(ms)
}

proptest! {
    #[test]
    fn a_reply_is_paired_with_its_own_forward_and_what_was_never_sent_never_arrives(steps in steps()) {
        let (mut exchange, mut model, mut spent) = (Exchange::default(), Model::default(), false);
        for (number, step) in steps.into_iter().enumerate() {
            let now = at(number as u64);
            match step {
                Step::Begin(length) => {
                    let carries = model.known.last().is_some_and(|forward| !forward.ended);
                    // The caller looks at the socket first.
                    if !model.on_the_way.is_empty() {
                        continue;
                    }
                    let begun = exchange.begin(key(model.known.len()), length);
                    prop_assert_eq!(begun, if carries || spent { Err(NotFree) } else { Ok(()) });
                    if begun.is_ok() {
                        model.known.push(Known { length, ..Known::default() });
                        model.unsent = length;
                    }
                }
                Step::Write(count) => exchange.record_written(model.write(count)),
                Step::GiveUpNewest | Step::GiveUp(_) if model.known.is_empty() => {}
                Step::GiveUpNewest | Step::GiveUp(_) => {
                    let newest = model.known.len() - 1;
                    let hit = if let Step::GiveUp(any) = step { any % model.known.len() } else { newest };
                    let forward = &mut model.known[hit];
                    let given_up = exchange.give_up(key(hit));
                    let expected = match *forward {
                        Known { ended: true, .. } => GiveUp::NotCarried,
                        Known { written: 0, .. } => GiveUp::Unwritten,
                        Known { written, length, .. } if written < length => GiveUp::CutOff,
                        _ => GiveUp::Written,
                    };
                    prop_assert_eq!(given_up, expected);
                    if given_up != GiveUp::NotCarried {
                        forward.ended = true;
                        forward.reported_unsent = given_up != GiveUp::Written;
                        spent |= given_up != GiveUp::Unwritten;
                        model.unsent = 0;
                    }
                }
                Step::Node(step) => model.node(step),
                Step::Read => {
                    let Some(made_for) = model.on_the_way.pop_front() else { continue };
                    let awaits_reply = exchange.awaits_reply();
                    match exchange.take_replied(now) {
                        Ok(replied) => {
                            prop_assert!(awaits_reply);
                            prop_assert_eq!(replied, key(made_for));
                            model.known[made_for].ended = true;
                        }
                        Err(UnaskedInput { .. }) => {
                            prop_assert!(!awaits_reply);
                            spent = true;
                        }
                    }
                }
            }
            let carries = model.known.last().is_some_and(|forward| !forward.ended);
            prop_assert_eq!(exchange.is_free(), !carries && !spent);
            prop_assert!(model.known.iter().all(|k| !k.reported_unsent || k.written < k.length));
        }
        let left = model.known.last().filter(|forward| !forward.ended).map(|f| f.written == f.length);
        let unfinished = exchange.take_unfinished();
        prop_assert_eq!(unfinished.map(|unfinished| unfinished.written), left);
        prop_assert!(exchange.begin(key(0), 1).is_err(), "an ended connection carries nothing");
    }
}

#[test]
fn a_connection_rests_from_its_last_reply_and_an_unused_one_does_not() {
    let rest = Span::millis(15);
    let mut exchange = Exchange::default();
    assert_eq!(exchange.free_from(rest), Some(Time::default()));
    exchange.begin(key(1), 3).unwrap();
    assert_eq!(exchange.free_from(rest), None);
    exchange.record_written(3);
    exchange.take_replied(at(100)).unwrap();
    assert_eq!(exchange.free_from(rest), Some(at(115)));
}

#[test]
fn unasked_input_tells_how_late_after_the_last_reply_it_came() {
    let mut exchange = Exchange::default();
    exchange.begin(key(1), 3).unwrap();
    exchange.record_written(3);
    exchange.take_replied(at(100)).unwrap();
    let unasked = exchange.record_unasked_input(at(112));
    assert_eq!(unasked.since_last_reply, Some(Span::millis(12)));
    assert_eq!(exchange.begin(key(2), 3), Err(NotFree));
}

#[test]
fn input_before_a_forward_is_written_whole_is_no_reply_to_it() {
    let mut exchange = Exchange::default();
    exchange.begin(key(1), 3).unwrap();
    exchange.record_written(2);
    assert_eq!(exchange.take_replied(at(1)), Err(UnaskedInput { since_last_reply: None }));
    assert_eq!(exchange.take_unfinished().map(|unfinished| unfinished.written), Some(false));
}
