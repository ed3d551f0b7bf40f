//! The reply queue against a plain list of replies, and its bound on entries.

use proptest::prelude::*;
use stonescale_connection::{NextReply, ReplyQueue};

const MAX_COMMANDS: usize = 4;

#[derive(Clone, Debug)]
enum Step {
    /// A command arrives: refused if the queue is full, or if this says so.
    Command { refuse: bool },
    /// The pending command at this position, modulo their number, gets its reply.
    Answer(usize),
    /// Ready replies are sent, refusals by this number of bytes.
    Send(usize),
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        any::<bool>().prop_map(|refuse| Step::Command { refuse }),
        any::<usize>().prop_map(Step::Answer),
        (0..40_usize).prop_map(Step::Send),
    ];
    proptest::collection::vec(step, 0..300)
}

fn text_of(reply: NextReply<String>) -> String {
    match reply {
        NextReply::Single(reply) => reply,
        NextReply::Refusals(bytes) => String::from_utf8(bytes).unwrap(),
    }
}

proptest! {
    #[test]
    fn each_command_gets_exactly_its_reply_in_order(steps in steps()) {
        let mut queue = ReplyQueue::new(MAX_COMMANDS);
        let (mut expected, mut pending, mut sent) = (Vec::new(), Vec::new(), String::new());
        for step in steps {
            match step {
                Step::Command { refuse } if refuse || queue.is_full() => {
                    queue.push_refused(b"busy;");
                    expected.push("busy;".to_owned());
                }
                Step::Command { .. } => {
                    let sequence = queue.push_pending();
                    prop_assert_eq!(sequence, expected.len() as u64);
                    queue.bind_hit(sequence, sequence as u32);
                    expected.push(format!("{sequence};"));
                    pending.push(sequence);
                }
                Step::Answer(position) if !pending.is_empty() => {
                    let sequence = pending.remove(position % pending.len());
                    prop_assert!(queue.is_pending(sequence));
                    let first = queue.set_reply(sequence, format!("{sequence};"));
                    let second = queue.set_reply(sequence, "again;".to_owned());
                    prop_assert_eq!((first, second), (true, false));
                }
                Step::Answer(_) => {}
                Step::Send(max_refusal_bytes) => {
                    while let Some(reply) = queue.pop_ready(max_refusal_bytes) {
                        sent += &text_of(reply);
                    }
                }
            }
            prop_assert!(pending.len() <= MAX_COMMANDS);
            let mut hits: Vec<_> = queue.pending_hits().map(u64::from).collect();
            hits.sort_unstable();
            let mut open = pending.clone();
            open.sort_unstable();
            prop_assert_eq!(hits, open);
        }
        for sequence in pending {
            queue.set_reply(sequence, format!("{sequence};"));
        }
        while let Some(reply) = queue.pop_ready(1) {
            sent += &text_of(reply);
        }
        prop_assert!(queue.is_empty());
        prop_assert_eq!(sent, expected.concat());
    }
}

#[test]
fn refused_commands_share_an_entry_and_are_sent_in_parts() {
    let mut queue = ReplyQueue::<()>::new(1);
    queue.push_pending();
    (0..100_000).for_each(|_| queue.push_refused(b"-BUSY\r\n"));
    assert_eq!(queue.pop_ready(1_000), None, "the first command has no reply");
    assert!(queue.set_reply(0, ()));
    assert_eq!(queue.pop_ready(1_000), Some(NextReply::Single(())));
    let Some(NextReply::Refusals(part)) = queue.pop_ready(1_000) else { panic!("no refusals") };
    assert_eq!(part, b"-BUSY\r\n".repeat(1_000 / 7));
    assert_eq!(queue.commands(), 100_001);
}
