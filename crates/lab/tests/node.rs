//! The stand-in node keeps to the protocol where a marshal depends on it.

use stonescale_lab::checker::{Bounds, Checker, SharedChecker};
use stonescale_lab::node::{Node, NodeBehavior, ScriptedReply};
use stonescale_lab::runtime::{Runtime, wait_until};
use stonescale_lab::wire;

#[test]
fn no_answer_comes_for_a_command_behind_one_that_is_passed_over() {
    use std::io::{Read, Write};
    let (stage, books) = (Runtime::default(), SharedChecker::new(Checker::new(Bounds::default(), 0.1)));
    let node = Node::start(&stage, "s-0", 0, NodeBehavior::default(), books);
    node.script([ScriptedReply::NoReply]);
    let mut stream = std::net::TcpStream::connect(node.addr).unwrap();
    let command = |id: &[u8]| wire::encode_command(&[b"SVC.QUERY", b"7f3a", id, b"c=read,t=acme,d=900"]);
    // In one write: a marshal pairs answers with commands by their order, and would take the second's answer for
    // the first's.
    stream.write_all(&[command(b"one"), command(b"two")].concat()).unwrap();
    assert!(wait_until(std::time::Duration::from_secs(20), || node.commands_received() == 2));
    // One on a connection of its own is answered meanwhile, so that the second's answer has had its time.
    let mut other = std::net::TcpStream::connect(node.addr).unwrap();
    other.write_all(&command(b"three")).unwrap();
    other.read_exact(&mut [0]).unwrap();
    node.restart();
    let mut rest = Vec::new();
    let _ = stream.read_to_end(&mut rest);
    assert!(rest.is_empty(), "{}", String::from_utf8_lossy(&rest));
}
