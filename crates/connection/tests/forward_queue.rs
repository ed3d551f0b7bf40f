//! The forwards of a connection against a model that keeps the bytes themselves: a node never gets a whole command that
//! was reported as never sent, and replies belong to the commands that it did get.

use proptest::prelude::*;
use stonescale_connection::forward_queue::{ForwardKey, ForwardQueue, GiveUp};

#[derive(Clone, Debug)]
enum Step {
    /// A forward of this many bytes is queued.
    Push(usize),
    /// The socket takes this many bytes.
    Write(usize),
    /// The forward at this position among all is given up.
    GiveUp(usize),
    /// The last forward is withdrawn, as for a node that drains.
    WithdrawLast,
    /// The node answers the oldest command that it has whole.
    Reply,
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        3 => (1..20_usize).prop_map(Step::Push),
        3 => (0..30_usize).prop_map(Step::Write),
        2 => any::<usize>().prop_map(Step::GiveUp),
        1 => Just(Step::WithdrawLast),
        2 => Just(Step::Reply),
    ];
    proptest::collection::vec(step, 0..200)
}

/// What the model knows of a forward.
#[derive(Clone, Copy, Debug, Default)]
struct Known {
    length: usize,
    never_sent: bool,
    /// Bytes of it that the socket took, and whether the node has answered it.
    written: usize,
    answered: bool,
}

fn key(hit: usize) -> ForwardKey {
    ForwardKey { hit: hit as u32, hop: 0 }
}

proptest! {
    #[test]
    fn what_is_reported_as_never_sent_never_arrives(steps in steps()) {
        let (mut queue, mut unsent) = (ForwardQueue::default(), Vec::<usize>::new());
        let (mut known, mut cut_off) = (Vec::<Known>::new(), false);
        for step in steps {
            match step {
                Step::Push(length) if !cut_off => {
                    let hit = known.len();
                    queue.push(key(hit), length);
                    unsent.extend(std::iter::repeat_n(hit, length));
                    known.push(Known { length, ..Known::default() });
                }
                Step::Push(_) => {}
                Step::Write(count) => {
                    let count = count.min(unsent.len());
                    unsent.drain(..count).for_each(|hit| known[hit].written += 1);
                    queue.record_written(count as u64);
                }
                Step::GiveUp(position) if !known.is_empty() => {
                    let hit = position % known.len();
                    match queue.give_up(key(hit)) {
                        GiveUp::Unknown => {}
                        GiveUp::Written => prop_assert_eq!(known[hit].written, known[hit].length),
                        GiveUp::Withdrawn(range) => {
                            prop_assert!(unsent.drain(range).all(|byte_of| byte_of == hit));
                            known[hit].never_sent = true;
                        }
                        GiveUp::CutOff(behind) => {
                            prop_assert!((1..known[hit].length).contains(&known[hit].written));
                            known[hit].never_sent = true;
                            behind.iter().for_each(|key| known[key.hit as usize].never_sent = true);
                            unsent.clear();
                            cut_off = true;
                        }
                    }
                }
                Step::GiveUp(_) => {}
                Step::WithdrawLast => {
                    if let Some((key, range)) = queue.withdraw_last() {
                        let hit = key.hit as usize;
                        prop_assert!(unsent.drain(range).all(|byte_of| byte_of == hit));
                        known[hit].never_sent = true;
                    }
                }
                Step::Reply => {
                    let oldest = known.iter().position(|k| !k.answered && k.written == k.length);
                    let replied = queue.take_replied().map(|replied| replied.key.hit as usize);
                    prop_assert_eq!(replied, oldest);
                    oldest.into_iter().for_each(|hit| known[hit].answered = true);
                }
            }
            prop_assert!(known.iter().all(|k| !k.never_sent || k.written < k.length));
        }
        for unfinished in queue.take_unfinished() {
            let forward = known[unfinished.key.hit as usize];
            prop_assert_eq!(unfinished.written, forward.written == forward.length);
        }
    }
}
