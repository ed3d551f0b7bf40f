//! End-to-end tests: the marshal's binary on loopback sockets, with the laboratory's stand-ins for nodes, discovery and
//! platform.

use rstest::rstest;
use serde_json::{Value, json};
use std::collections::VecDeque;
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::{Command, Output};
use std::sync::LazyLock;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};
use stonescale_lab::Runtime;
use stonescale_lab::checker::{Bounds, Checker, SharedChecker};
use stonescale_lab::discovery::{Discovery, Entry};
use stonescale_lab::node::{Node, NodeBehavior, ScriptedReply};
use stonescale_lab::platform::{BuildStatus, Platform};
use stonescale_lab::program::{Program, unique_temp_path};
use stonescale_lab::runtime::{next_within, wait_until};

/// Longer than any step of a test takes; a test that waits this long has failed.
const TEST_TIMEOUT: Duration = Duration::from_secs(20);

/// Runs the stand-ins of all tests.
static RUNTIME: LazyLock<Runtime> = LazyLock::new(Runtime::default);

fn checker() -> SharedChecker {
    SharedChecker::new(Checker::new(Bounds::default(), 0.1))
}

/// A node that replies to its first commands by `script` and serves all others.
fn scripted_node(script: impl IntoIterator<Item = ScriptedReply>) -> Node {
    let node = Node::start(&RUNTIME, "s-0", 0, NodeBehavior::default(), checker());
    node.script(script);
    node
}

fn healthy_node() -> Node {
    scripted_node([])
}

fn reply(text: &str) -> ScriptedReply {
    ScriptedReply::Send(text.into())
}

fn reply_and_close(text: &str) -> ScriptedReply {
    ScriptedReply::SendAndClose(text.into())
}

/// The arguments of the next command that the node receives; empty where a connection ends instead.
fn next_command(node: &Node) -> Vec<String> {
    next_within(&node.received, TEST_TIMEOUT).unwrap()
}

const BUILD: u16 = 4;

fn entry(id: usize, node: &Node, state: &str) -> Entry {
    Entry { state: state.into(), ..Entry::up(&format!("s-{id}"), node.addr, BUILD) }
}

fn settings() -> Value {
    let class = |name, effect| {
        json!({"name": name, "aim_ns": 400_000_000u64, "deadline_ns": 1_500_000_000u64, "effect": effect,
            "dedup_scope": "all", "memory_span_ns": 1_000_000_000u64, "worth": 1.0})
    };
    json!({"azs": ["a"], "flavors": ["m"], "me": 0, "siblings": 1, "zone": 0, "tick_ns": 1_000_000u64,
        "classes": [class("read", "retryable"), class("push", "dedup"), class("book", "fragile")],
        "realms": [{"name": "acme", "share": 1.0}],
        "limits": {"attempts_cap": 5, "cancelling": true, "second_copies": true, "retry_after": true,
            "max_retry_after_ns": 250_000_000u64, "connect_timeout_ns": 250_000_000u64,
            "keepalive_ns": 15_000_000_000u64, "multiplex": 100},
        "membership_mode": "ask",
        "rules": {"ask_within_ns": 10_000_000_000u64, "cold_from": 0.3, "warm_up_ns": 4_000_000_000u64,
            "fall_multiple": 2.0},
        "specifics": {"allowance": 1.0, "call_timeout_ns": 800_000_000u64, "calls_per_s": 20.0, "counts": "all",
            "gate_mode": "automatic", "most_shares": [0.1, 1.0], "noes_needed": 1,
            "vote_stands_ns": 4_000_000_000u64}})
}

fn config(known: Value, discovery: SocketAddr, platform: SocketAddr) -> Value {
    json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": discovery, "seed": "7",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "platform": {"address": platform, "news": BuildStatus::live(BUILD).to_json(0)},
        "known": known, "settings": settings()})
}

/// A running marshal with its discovery and platform; it is stopped when dropped.
struct Marshal {
    program: Program,
    config: Value,
    discovery: Discovery,
    platform: Platform,
}

impl Marshal {
    fn start(nodes: &[&Node]) -> Self {
        Self::start_with(nodes, |_| ())
    }

    fn start_with(nodes: &[&Node], edit_config: impl Fn(&mut Value)) -> Self {
        let discovery = Discovery::start(&RUNTIME, checker());
        let platform = Platform::start(&RUNTIME, BuildStatus::live(BUILD), checker());
        discovery.publish(nodes.iter().enumerate().map(|(id, node)| entry(id, node, "up")));
        let mut config = config(discovery.full_list(), discovery.addr, platform.addr);
        edit_config(&mut config);
        let env = [("NODE_DISCOVERY", &*discovery.addr.to_string())];
        let binary = Path::new(env!("CARGO_BIN_EXE_stonescale"));
        let program = Program::start_with_env(binary, &config, &[], &env).unwrap();
        Marshal { program, config, discovery, platform }
    }

    fn client(&self) -> Client {
        let stream = TcpStream::connect(self.program.addr).unwrap();
        stream.set_read_timeout(Some(TEST_TIMEOUT)).unwrap();
        Client { stream: BufReader::new(stream), sent_ids: VecDeque::new() }
    }

    /// Writes `text` to the configuration file, sends SIGHUP and returns the next log line that contains `pattern`.
    fn reload_config(&self, text: &str, pattern: &str) -> String {
        std::fs::write(&self.program.config_path, text).unwrap();
        self.program.signal("HUP");
        self.wait_for_log(pattern)
    }

    fn wait_for_log(&self, pattern: &str) -> String {
        self.program.wait_for_log_line(pattern, TEST_TIMEOUT).unwrap()
    }
}

struct Client {
    stream: BufReader<TcpStream>,
    /// For each command without a read reply, the id of its hit; none for a command that is no hit.
    sent_ids: VecDeque<Option<String>>,
}

/// Stands for a new id in the arguments of a command: each request has one of its own.
const NEW_ID: &str = "9b1f";

fn new_id() -> String {
    static NUMBER: AtomicU64 = AtomicU64::new(0);
    format!("{NEW_ID}{:08x}", NUMBER.fetch_add(1, Ordering::SeqCst))
}

impl Client {
    fn send(&mut self, arguments: &[&str]) {
        let id = (arguments.get(2) == Some(&NEW_ID)).then(new_id);
        let mut text = format!("*{}\r\n", arguments.len());
        for argument in arguments {
            let argument = if *argument == NEW_ID { id.as_deref().unwrap_or(NEW_ID) } else { argument };
            text += &format!("${}\r\n{argument}\r\n", argument.len());
        }
        self.sent_ids.push_back(id);
        self.stream.get_mut().write_all(text.as_bytes()).unwrap();
    }

    fn send_query(&mut self) {
        self.send(&["SVC.QUERY", "7f3a", NEW_ID, "c=read,t=acme,d=900"]);
    }

    fn send_submit(&mut self) {
        self.send(&["SVC.SUBMIT", "7f3a", NEW_ID, "c=book,t=acme,d=900,x=1", "BODY"]);
    }

    /// The next reply; of a bulk string, header and value. Empty once the connection has ended, and `SERVED_REPLY` for
    /// the value that a node gives for the hit's id.
    fn read_reply(&mut self) -> String {
        let mut text = String::new();
        self.stream.read_line(&mut text).unwrap();
        if let Some(length) = text.strip_prefix('$').and_then(|t| t.trim_end().parse::<usize>().ok()) {
            let mut value = vec![0; length + 2];
            self.stream.read_exact(&mut value).unwrap();
            text += str::from_utf8(&value).unwrap();
        }
        match self.sent_ids.pop_front().flatten() {
            Some(id) if text == format!("${}\r\n{id}\r\n", id.len()) => SERVED_REPLY.to_owned(),
            _ => text,
        }
    }

    fn submit(&mut self) -> String {
        self.send_submit();
        self.read_reply()
    }
}

/// Stands for the value of the id that was sent; see `Client::read_reply`.
const SERVED_REPLY: &str = "the value of the hit";
/// A node's reply with a line break in its value, and the reply that the client gets for it.
const NODE_REPLY: &str = "*3\r\n$7\r\nva\r\nlue\r\n$-1\r\n$10\r\ninflight=1\r\n";
const CLIENT_REPLY: &str = "$7\r\nva\r\nlue\r\n";

// ---- Clients ----

#[rstest]
fn a_hit_is_forwarded_with_only_its_deadline_reduced_and_the_value_is_returned_unchanged() {
    let node = healthy_node();
    let marshal = Marshal::start(&[&node]);
    let mut client = marshal.client();
    client.send(&["PING"]);
    assert_eq!(client.read_reply(), "+PONG\r\n");
    node.script([reply(NODE_REPLY)]);
    client.send_submit();
    let id = client.sent_ids[0].clone().unwrap();
    assert_eq!(client.read_reply(), CLIENT_REPLY);
    let arguments = next_command(&node);
    assert_eq!([&arguments[..3], &arguments[4..]].concat(), ["SVC.SUBMIT", "7f3a", &id, "BODY"]);
    let deadline_ms =
        arguments[3].strip_prefix("c=book,t=acme,d=").and_then(|t| t.strip_suffix(",x=1")).unwrap();
    assert!((500..=900).contains(&deadline_ms.parse::<u32>().unwrap()), "{deadline_ms}");
}

#[rstest]
fn pipelined_commands_run_concurrently_and_are_answered_in_order() {
    let node = scripted_node([ScriptedReply::ServeAfterNextCommand]);
    let marshal = Marshal::start(&[&node]);
    let mut client = marshal.client();
    client.send_submit();
    client.send_query();
    client.send(&["PING"]);
    let mut got: Vec<_> = (0..2).map(|_| next_command(&node)[0].clone()).collect();
    got.sort();
    assert_eq!(got, ["SVC.QUERY", "SVC.SUBMIT"]);
    assert_eq!(
        [client.read_reply(), client.read_reply(), client.read_reply()],
        [SERVED_REPLY, SERVED_REPLY, "+PONG\r\n"]
    );
}

#[rstest]
fn the_forward_of_a_disconnected_client_is_cancelled() {
    let node = scripted_node([ScriptedReply::NoReply]);
    let marshal = Marshal::start(&[&node]);
    let mut client = marshal.client();
    client.send_submit();
    assert!(!next_command(&node).is_empty());
    drop(client);
    assert!(next_command(&node).is_empty(), "its connection is closed");
}

#[rstest]
#[case::command(&["SVC.DELETE", "k", "1", "c=read,t=acme,d=9"], "unknown command")]
#[case::arguments(&["SVC.QUERY", "k", "1"], "arguments")]
#[case::group(&["SVC.QUERY", "k", "1", "c=other,t=acme,d=9"], "unknown class")]
#[case::no_group(&["SVC.QUERY", "k", "1", "t=acme,d=9"], "c is missing")]
#[case::tenant(&["SVC.QUERY", "k", "1", "c=read,t=other,d=9"], "unknown tenant")]
#[case::no_deadline(&["SVC.QUERY", "k", "1", "c=read,t=acme"], "d is missing")]
#[case::negative_deadline(&["SVC.QUERY", "k", "1", "c=read,t=acme,d=-9"], "d is not a wait")]
#[case::no_key(&["SVC.SUBMIT", "k", "1", "c=push,t=acme,d=9", "BODY"], "k is missing")]
#[case::command_of_another_group(&["SVC.QUERY", "k", "1", "c=book,t=acme,d=9"], "does not serve")]
fn an_invalid_command_gets_an_error_and_the_connection_stays_open(
    #[case] arguments: &[&str], #[case] error: &str,
) {
    let node = healthy_node();
    let marshal = Marshal::start(&[&node]);
    let mut client = marshal.client();
    client.send(arguments);
    let reply = client.read_reply();
    assert!(reply.starts_with("-ERR ") && reply.contains(error), "{reply}");
    client.send_query();
    assert_eq!(client.read_reply(), SERVED_REPLY);
    assert_eq!(next_command(&node)[1], "7f3a", "the invalid command was not forwarded");
}

#[rstest]
#[case::inline("PING\r\n")]
#[case::excessive_length("*1\r\n$99999999\r\n")]
#[case::null("*1\r\n$-1\r\n")]
#[case::empty_array("*0\r\n")]
fn a_framing_error_is_reported_and_closes_the_connection(#[case] text: &str) {
    let marshal = Marshal::start(&[]);
    let mut client = marshal.client();
    client.stream.get_mut().write_all(text.as_bytes()).unwrap();
    assert!(client.read_reply().starts_with("-ERR protocol error"));
    assert_eq!(client.read_reply(), "");
}

#[rstest]
#[case::silent("", "")]
#[case::incomplete_command("*2\r\n$4\r\nPI", "-ERR protocol error: command not ended in time\r\n")]
#[case::incomplete_line("*", "-ERR protocol error: command not ended in time\r\n")]
fn a_connection_without_a_complete_command_is_closed_within_3_s(#[case] text: &str, #[case] expected: &str) {
    let marshal = Marshal::start(&[]);
    let mut client = marshal.client();
    let start = Instant::now();
    client.stream.get_mut().write_all(text.as_bytes()).unwrap();
    assert_eq!(client.read_reply(), expected);
    assert!(start.elapsed() < Duration::from_secs(3), "{:?}", start.elapsed());
}

#[rstest]
fn an_idle_client_connection_is_closed_after_a_timeout() {
    let node = healthy_node();
    let marshal = Marshal::start(&[&node]);
    let mut client = marshal.client();
    assert_eq!(client.submit(), SERVED_REPLY);
    assert_eq!(client.read_reply(), "", "the idle connection is closed");
}

#[rstest]
fn with_many_connections_the_longest_idle_one_is_closed_before_its_timeout() {
    let node = healthy_node();
    let few_sockets = |config: &mut Value| config["limits"]["sockets"] = json!(80);
    let marshal = Marshal::start_with(&[&node], few_sockets);
    let start = Instant::now();
    let connect_and_submit = || {
        let mut client = marshal.client();
        assert_eq!(client.submit(), SERVED_REPLY);
        client
    };
    let mut clients: Vec<_> = (0..20).map(|_| connect_and_submit()).collect();
    thread::sleep(Duration::from_millis(600));
    clients.push(connect_and_submit());
    assert_eq!(clients[0].read_reply(), "");
    assert!(start.elapsed() < Duration::from_millis(1_900), "{:?}", start.elapsed());
    assert_eq!(clients[19].submit(), SERVED_REPLY, "recently used connections stay open");
}

#[rstest]
fn clients_that_send_continuously_do_not_starve_the_others() {
    let node = healthy_node();
    let marshal = Marshal::start(&[&node]);
    for _ in 0..4 {
        let stream = TcpStream::connect(marshal.program.addr).unwrap();
        let (mut writer, mut reader) = (stream.try_clone().unwrap(), stream);
        thread::spawn(move || while writer.write_all(&b"*1\r\n$4\r\nPING\r\n".repeat(4096)).is_ok() {});
        thread::spawn(move || std::io::copy(&mut reader, &mut std::io::sink()));
    }
    let mut client = marshal.client();
    for _ in 0..20 {
        assert_eq!(client.submit(), SERVED_REPLY);
    }
}

#[rstest]
fn memory_does_not_grow_over_connections_nodes_and_builds() {
    let node = healthy_node();
    let short_keepalive =
        |config: &mut Value| config["settings"]["limits"]["keepalive_ns"] = json!(200_000_000);
    let marshal = Marshal::start_with(&[&node], short_keepalive);
    let round = |round: usize| {
        for part in 0..20 {
            let mut client = marshal.client();
            client.send_query();
            assert_eq!(client.read_reply(), SERVED_REPLY);
            client.stream.get_mut().write_all(b"*2\r\n$60000\r\nhalf of it").unwrap();
            for state in ["up", "removed"] {
                let numbered = |number| Entry {
                    build: 100 + round as u16,
                    ..entry(1_000_000 * round + 1_000 * part + number, &node, state)
                };
                marshal.discovery.publish((0..200).map(numbered));
            }
            // The 20 parts take a second, in which the marshal drops idle connections and gone nodes twice.
            thread::sleep(Duration::from_millis(50));
        }
        let status = std::fs::read_to_string(format!("/proc/{}/status", marshal.program.pid())).unwrap();
        let line = status.lines().find(|l| l.starts_with("RssAnon:")).unwrap();
        line.split_whitespace().nth(1).unwrap().parse::<usize>().unwrap()
    };
    let resident_kb: Vec<usize> = (1..7).map(round).collect();
    assert!(resident_kb[5] < resident_kb[1] + 1_000, "kB after each round: {resident_kb:?}");
}

// ---- Nodes: each outcome of a forward ----

#[rstest]
#[case::failed(reply("-ERR failed inflight=1\r\n"), "-ERR failed\r\n")]
#[case::busy(reply("-BUSY\r\n"), SERVED_REPLY)]
#[case::closed(reply_and_close(""), "-ERR failed\r\n")]
#[case::incomplete_value(reply_and_close("*3\r\n$7\r\nva"), "-ERR failed\r\n")]
#[case::null(reply("*3\r\n$-1\r\n$-1\r\n$-1\r\n"), "-ERR failed\r\n")]
#[case::garbage(reply("what?\r\n"), "-ERR failed\r\n")]
#[case::too_long(reply("*1\r\n$65537\r\n"), "-ERR failed\r\n")]
#[case::silent(ScriptedReply::NoReply, "-ERR failed\r\n")]
fn a_mutating_hit_is_retried_only_if_it_never_ran(#[case] script: ScriptedReply, #[case] expected: &str) {
    let node = scripted_node([script]);
    let marshal = Marshal::start(&[&node]);
    let mut client = marshal.client();
    assert_eq!(client.submit(), expected);
    assert_eq!(client.submit(), SERVED_REPLY, "the next hit is served");
}

/// A refused connection proves that the hit never ran, so that it is bounced rather than errored.
#[rstest]
fn a_refused_connection_bounces_a_mutating_hit() {
    let node = healthy_node();
    node.stop();
    let marshal = Marshal::start(&[&node]);
    assert_eq!(marshal.client().submit(), "-BUSY 80\r\n");
}

#[rstest]
fn an_idle_connection_closed_by_its_node_loses_no_hit() {
    let node = scripted_node([reply_and_close(NODE_REPLY)]);
    let marshal = Marshal::start(&[&node]);
    let mut client = marshal.client();
    assert_eq!(client.submit(), CLIENT_REPLY);
    next_command(&node);
    assert!(next_command(&node).is_empty(), "the node has closed it");
    assert_eq!(client.submit(), SERVED_REPLY);
}

#[rstest]
fn an_unsolicited_reply_closes_the_node_connection() {
    let duplicate = "*1\r\n$2\r\nhi\r\n*1\r\n$2\r\nhi\r\n";
    let node = scripted_node([reply(duplicate)]);
    let marshal = Marshal::start(&[&node]);
    let mut client = marshal.client();
    assert_eq!(client.submit(), "$2\r\nhi\r\n");
    next_command(&node);
    assert!(next_command(&node).is_empty());
    assert_eq!(client.submit(), SERVED_REPLY);
}

#[rstest]
#[case::failed("-ERR failed\r\n", "-ERR failed\r\n")]
#[case::with_load_report("-ERR failed inflight=7,queue=2,util=0.61\r\n", "-ERR failed\r\n")]
#[case::busy_with_retry_after_and_report("-BUSY 80 inflight=7,queue=2,util=0.61\r\n", SERVED_REPLY)]
fn an_error_line_of_the_protocol_keeps_the_node_connection(#[case] text: &str, #[case] expected: &str) {
    let node = scripted_node([reply(text)]);
    let marshal = Marshal::start(&[&node]);
    let mut client = marshal.client();
    assert_eq!(client.submit(), expected);
    assert_eq!(client.submit(), SERVED_REPLY);
    assert!((0..2).all(|_| !next_command(&node).is_empty()), "an error reply does not close the connection");
}

#[rstest]
#[case::no_line_end("-ERR a line without its end*x\r\n")]
#[case::no_line_end_before_an_error("-ERR failed inflight=1-ERR failed inflight=1\r\n")]
#[case::no_line_end_before_a_value("-ERR failed inflight=7,queue=2,util=0.61*3\r\n")]
#[case::control_character("-BUSY \u{1}\r\n")]
#[case::other_error_code("-WRONGTYPE of value\r\n")]
fn an_error_line_of_unknown_form_closes_the_node_connection(#[case] text: &str) {
    let node = scripted_node([reply(text)]);
    let marshal = Marshal::start(&[&node]);
    let mut client = marshal.client();
    assert_eq!(client.submit(), "-ERR failed\r\n");
    assert!(!next_command(&node).is_empty());
    assert!(next_command(&node).is_empty(), "what follows could be the reply to another hit");
    assert_eq!(client.submit(), SERVED_REPLY);
}

#[rstest]
#[case(1)]
#[case(6)]
#[case(12)]
fn a_late_duplicate_reply_is_not_taken_for_the_next_hits_reply(#[case] delay_ms: u64) {
    let wrong = "*1\r\n$5\r\nwrong\r\n";
    let duplicate = ScriptedReply::ServeThenSend(Duration::from_millis(delay_ms), wrong.into());
    let node = scripted_node(vec![duplicate; 100]);
    let marshal = Marshal::start(&[&node]);
    let mut client = marshal.client();
    // The next hit follows shortly before the duplicate, at it, or shortly after.
    for pause_ms in (0..50).map(|step| delay_ms * step / 40) {
        assert_eq!(client.submit(), SERVED_REPLY);
        thread::sleep(Duration::from_millis(pause_ms));
    }
}

#[rstest]
#[case::length("*1\r\n$70\r\nva")]
#[case::line("*1\r\n$7")]
fn an_incomplete_reply_times_out_before_its_hit(#[case] text: &'static str) {
    let node = scripted_node([reply(text)]);
    let marshal = Marshal::start(&[&node]);
    let mut client = marshal.client();
    client.send(&["SVC.SUBMIT", "7f3a", NEW_ID, "c=book,t=acme,d=60000", "BODY"]);
    assert_eq!(client.read_reply(), "-ERR failed\r\n");
}

// ---- Discovery and platform ----

#[rstest]
fn a_drained_node_receives_no_more_hits() {
    let (old, new) = (healthy_node(), healthy_node());
    let marshal = Marshal::start(&[&old]);
    let mut client = marshal.client();
    assert_eq!(client.submit(), SERVED_REPLY);
    assert_eq!(
        next_within(&marshal.discovery.requested_paths, TEST_TIMEOUT).unwrap(),
        "/v1/endpoints?follow=1&since=2"
    );
    marshal.discovery.publish([entry(0, &old, "draining"), entry(1, &new, "up")]);
    assert!(!next_command(&old).is_empty());
    assert!(next_command(&old).is_empty(), "the connection to it is closed");
    assert_eq!(client.submit(), SERVED_REPLY);
    assert!(!next_command(&new).is_empty());
}

#[rstest]
#[case::ended(Some(None))]
#[case::silent(None)]
#[case::garbage(Some(Some("{\"version\":".into())))]
#[case::invalid_entry(Some(Some("{\"version\":4,\"full\":false,\"servers\":[{\"id\":\"s-0\"}]}".into())))]
#[case::older_version(Some(Some("{\"version\":1,\"full\":false,\"servers\":[]}".into())))]
fn a_failed_watch_is_opened_again(#[case] line: Option<Option<String>>) {
    let older = line.as_ref().is_some_and(|l| l.as_ref().is_some_and(|l| l.contains(":1,")));
    let marshal = Marshal::start(&[]);
    marshal.discovery.set_silent(line.is_none());
    next_within(&marshal.discovery.requested_paths, TEST_TIMEOUT).unwrap();
    while marshal.discovery.watch_count() == 0 {
        thread::yield_now();
    }
    line.into_iter().for_each(|line| marshal.discovery.send_raw(line));
    let path = next_within(&marshal.discovery.requested_paths, TEST_TIMEOUT).unwrap();
    assert_eq!(path.contains("&since=2"), !older, "{path}");
}

/// A list that came indented over several lines was refused as an invalid line, each time anew.
#[rstest]
fn an_indented_list_on_a_watch_is_applied() {
    let (old, new) = (healthy_node(), healthy_node());
    let marshal = Marshal::start(&[&old]);
    marshal.discovery.set_indented(true);
    marshal.discovery.send_raw(None);
    wait_until(TEST_TIMEOUT, || marshal.discovery.watch_count() == 1);
    marshal.discovery.publish([entry(0, &old, "draining"), entry(1, &new, "up")]);
    let calls = marshal.discovery.call_count();
    let mut client = marshal.client();
    assert!(wait_until(TEST_TIMEOUT, || client.submit() == SERVED_REPLY && !new.received.is_empty()));
    assert_eq!(marshal.discovery.call_count(), calls, "the watch stays open");
}

#[rstest]
fn the_marshal_subscribes_again_after_a_disconnect() {
    let marshal = Marshal::start(&[]);
    for _ in 0..3 {
        assert!(next_within(&marshal.platform.received, TEST_TIMEOUT).unwrap().contains("\"subscribe\""));
        marshal.platform.close_connections();
    }
}

// ---- Start and stop ----

#[rstest]
fn on_sigterm_accepted_hits_are_answered_and_idle_connections_closed() {
    let node = scripted_node([ScriptedReply::NoReply]);
    let mut marshal = Marshal::start(&[&node]);
    let (mut idle, mut busy) = (marshal.client(), marshal.client());
    idle.send(&["PING"]);
    assert_eq!(idle.read_reply(), "+PONG\r\n");
    busy.send_submit();
    next_command(&node);
    marshal.program.signal("TERM");
    idle.send_query();
    assert_eq!(idle.read_reply(), SERVED_REPLY, "hits are still accepted for a while");
    assert_eq!(busy.read_reply(), "-ERR failed\r\n");
    assert_eq!([idle.read_reply(), busy.read_reply()], ["", ""]);
    let mut status = None;
    assert!(wait_until(TEST_TIMEOUT, || {
        status = marshal.program.exit_status();
        status.is_some()
    }));
    assert!(status.unwrap().success());
}

#[rstest]
fn on_sighup_new_addresses_of_discovery_and_platform_take_effect_without_a_gap() {
    let node = healthy_node();
    let marshal = Marshal::start(&[&node]);
    next_within(&marshal.discovery.requested_paths, TEST_TIMEOUT).unwrap();
    next_within(&marshal.platform.received, TEST_TIMEOUT).unwrap();
    let new_discovery = Discovery::start(&RUNTIME, checker());
    new_discovery.set_silent(true);
    // Its versions continue those of the previous discovery.
    (0..3).for_each(|_| new_discovery.publish([]));
    let new_platform = Platform::start(&RUNTIME, BuildStatus::live(BUILD), checker());
    let mut config = marshal.config.clone();
    (config["discovery"], config["platform"]["address"]) =
        (json!(new_discovery.addr), json!(new_platform.addr));
    config["seed"] = json!("8");
    let text = config.to_string();
    // Reloading the same file twice has the same effect as once.
    marshal.reload_config(&text, "configuration reloaded");
    let restart = marshal.reload_config(&text, "changed keys that need a restart");
    assert!(restart.ends_with("changed keys that need a restart: seed"), "{restart}");
    assert_eq!(
        next_within(&new_discovery.requested_paths, TEST_TIMEOUT).unwrap(),
        "/v1/endpoints?follow=1&since=2"
    );
    assert!(next_within(&new_platform.received, TEST_TIMEOUT).unwrap().contains("\"subscribe\""));
    marshal.wait_for_log("the platform's address changed");
    // Until the new discovery has delivered a list, changes from the old one still apply.
    marshal.discovery.publish([entry(0, &node, "draining")]);
    let mut client = marshal.client();
    while client.submit() == SERVED_REPLY {
        next_command(&node);
    }
    new_discovery.publish([entry(1, &node, "up")]);
    while client.submit() != SERVED_REPLY {}
    marshal.program.signal("TERM");
    marshal.program.signal("HUP");
    marshal.wait_for_log("shutdown requested");
}

#[rstest]
#[case::not_json("{", "not JSON")]
#[case::no_platform("platform", "platform.address is not an IP address and port")]
#[case::no_discovery("discovery", "discovery is not an IP address and port")]
fn a_faulty_reloaded_configuration_is_reported_in_one_line_and_not_applied(
    #[case] change: &str, #[case] error: &str,
) {
    let node = healthy_node();
    let marshal = Marshal::start(&[&node]);
    let mut config = marshal.config.clone();
    match change {
        "platform" => config["platform"]["address"] = json!("nowhere"),
        key => config[key] = json!("nowhere"),
    }
    let text = if change == "{" { change.to_owned() } else { config.to_string() };
    let line = marshal.reload_config(&text, "configuration reload failed");
    assert!(line.contains("error serve: ") && line.contains(error), "{line}");
    assert_eq!(marshal.client().submit(), SERVED_REPLY);
}

fn run_to_exit(command: &str, edit_config: impl Fn(&mut Value)) -> Output {
    let (addr, known) = (([127, 0, 0, 1], 9).into(), json!({"version": 3, "full": true, "servers": []}));
    let (mut config, path) = (config(known, addr, addr), unique_temp_path("json"));
    edit_config(&mut config);
    std::fs::write(&path, config.to_string()).unwrap();
    let mut program = Command::new(env!("CARGO_BIN_EXE_stonescale"));
    program.arg(command).env_clear().env("NODE_CONFIG", &path).output().unwrap()
}

#[rstest]
#[case("seed", json!("xyz"), "seed is not")]
#[case("seed", Value::Null, "seed is missing")]
#[case("listen", json!("here"), "listen is not an IP address and port")]
#[case("limits", json!({"sockets": 1024}), "limits.memory_mb is missing")]
#[case("limits", json!({"sockets": 1024, "memory_mb": 4}), "limits.memory_mb: 4 MiB is not enough")]
#[case("limits", json!({"sockets": 256, "memory_mb": 2}), "KiB are missing")]
#[case("platform", json!({"address": "127.0.0.1:1"}), "platform.news is missing")]
#[case("platform", json!({"address": "127.0.0.1:1", "news": {"build": 4}}), "platform.news: stage is not")]
#[case("known", json!({}), "known: missing field `version`")]
#[case("settings", json!({}), "settings.classes is missing")]
fn a_faulty_configuration_is_reported_in_one_line(
    #[case] key: &str, #[case] value: Value, #[case] error: &str,
) {
    for command in ["serve", "check"] {
        let out = run_to_exit(command, |config| config[key] = value.clone());
        let stderr = String::from_utf8_lossy(&out.stderr).into_owned();
        assert!(!out.status.success() && stderr.contains(error) && stderr.lines().count() == 1, "{stderr}");
    }
}

#[rstest]
fn a_valid_configuration_passes_check_and_unknown_keys_are_ignored() {
    let out = run_to_exit("check", |config| config["novelty"] = json!(1));
    assert!(out.status.success() && String::from_utf8_lossy(&out.stdout).contains("3 path groups"));
}

#[rstest]
#[case(&["serve", "--fast"])]
#[case(&["fly"])]
#[case(&[])]
fn an_invalid_command_line_prints_the_usage(#[case] args: &[&str]) {
    let out = Command::new(env!("CARGO_BIN_EXE_stonescale")).args(args).output().unwrap();
    assert!(!out.status.success() && String::from_utf8_lossy(&out.stderr).contains("Usage: stonescale"));
}
