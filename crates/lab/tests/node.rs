//! The stand-in node follows the protocol where a marshal depends on it.

use stonescale_lab::checker::{Books, Bounds, Checker};
use stonescale_lab::node::{Act, Manner, Node};
use stonescale_lab::stage::{Stage, until};
use stonescale_lab::wire;

#[test]
fn command_after_an_unanswered_one_gets_no_answer() {
    use std::io::{Read, Write};
    let (stage, books) = (Stage::default(), Books::new(Checker::new(Bounds::default(), 0.1)));
    let node = Node::start(&stage, "s-0", 0, Manner::default(), books);
    node.script([Act::Nothing]);
    let mut stream = std::net::TcpStream::connect(node.addr).unwrap();
    let command = |id: &[u8]| wire::command(&[b"SVC.QUERY", b"7f3a", id, b"c=read,t=acme,d=900"]);
    // Both in one write. A marshal pairs answers with commands by their order: it would take an answer to the second
    // command for that of the first.
    stream.write_all(&[command(b"one"), command(b"two")].concat()).unwrap();
    assert!(until(std::time::Duration::from_secs(20), || node.taken() == 2));
    // A command on another connection is answered first, so that an answer to the second one would have come by then.
    let mut other = std::net::TcpStream::connect(node.addr).unwrap();
    other.write_all(&command(b"three")).unwrap();
    other.read_exact(&mut [0]).unwrap();
    node.restart();
    let mut received = Vec::new();
    let _ = stream.read_to_end(&mut received);
    assert!(received.is_empty(), "{}", String::from_utf8_lossy(&received));
}
