//! Tests of the stand-in node, where a marshal depends on its following the protocol.

use stonescale_lab::checker::{Bounds, Checker, SharedChecker};
use stonescale_lab::node::{Node, NodeBehavior, ScriptedReply};
use stonescale_lab::runtime::{Runtime, wait_until};
use stonescale_lab::wire;

#[test]
fn command_after_an_unanswered_one_gets_no_answer() {
    use std::io::{Read, Write};
    let (runtime, checker) = (Runtime::default(), SharedChecker::new(Checker::new(Bounds::default(), 0.1)));
    let node = Node::start(&runtime, "s-0", 0, NodeBehavior::default(), checker);
    node.script([ScriptedReply::NoReply]);
    let mut stream = std::net::TcpStream::connect(node.addr).unwrap();
    let command = |id: &[u8]| wire::encode_command(&[b"SVC.QUERY", b"7f3a", id, b"c=read,t=acme,d=900"]);
    // Both are sent in one write. A marshal pairs answers with commands by their order, so it would take an answer to
    // the second command for that of the first.
    stream.write_all(&[command(b"one"), command(b"two")].concat()).unwrap();
    assert!(wait_until(std::time::Duration::from_secs(20), || node.commands_received() == 2));
    // A command on another connection is answered first, so that an answer to the second one would have come by then.
    let mut other = std::net::TcpStream::connect(node.addr).unwrap();
    other.write_all(&command(b"three")).unwrap();
    other.read_exact(&mut [0]).unwrap();
    node.restart();
    let mut received = Vec::new();
    let _ = stream.read_to_end(&mut received);
    assert!(received.is_empty(), "{}", String::from_utf8_lossy(&received));
}
