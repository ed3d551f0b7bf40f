//! The real program on loopback, against small stand-ins written from the operators' protocol page.

use rstest::rstest;
use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::path::Path;
use std::process::{Command, Output};
use std::sync::LazyLock;
use std::thread;
use std::time::{Duration, Instant};
use stonescale_lab::Runtime;
use stonescale_lab::checker::{Bounds, Checker, SharedChecker};
use stonescale_lab::discovery::{Discovery, Entry};
use stonescale_lab::node::{Node, NodeBehavior, ScriptedReply};
use stonescale_lab::platform::{BuildStatus, Platform};
use stonescale_lab::program::{Program, unique_temp_path};
use stonescale_lab::runtime::{next_within, wait_until};

/// Longer than anything here takes; a story that waits for so long has failed.
const LONG: Duration = Duration::from_secs(20);

/// All stories' stand-ins.
static STAGE: LazyLock<Runtime> = LazyLock::new(Runtime::default);

fn books() -> SharedChecker {
    SharedChecker::new(Checker::new(Bounds::default(), 0.1))
}

/// A node that does `first` with its first command and serves all others.
fn node(first: impl IntoIterator<Item = ScriptedReply>) -> Node {
    let node = Node::start(&STAGE, "s-0", 0, NodeBehavior::default(), books());
    node.script(first);
    node
}

fn serving() -> Node {
    node([])
}

fn say(text: &str) -> ScriptedReply {
    ScriptedReply::Send(text.into())
}

fn say_and_close(text: &str) -> ScriptedReply {
    ScriptedReply::SendAndClose(text.into())
}

/// The words of the next command that a node gets; none at a connection's end.
fn told(node: &Node) -> Vec<String> {
    next_within(&node.received, LONG).unwrap()
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

/// A marshal that serves, until the story ends.
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

    fn start_with(nodes: &[&Node], change: impl Fn(&mut Value)) -> Self {
        let discovery = Discovery::start(&STAGE, books());
        let platform = Platform::start(&STAGE, BuildStatus::live(BUILD), books());
        discovery.publish(nodes.iter().enumerate().map(|(id, node)| entry(id, node, "up")));
        let mut config = config(discovery.full_list(), discovery.addr, platform.addr);
        change(&mut config);
        let env = [("NODE_DISCOVERY", &*discovery.addr.to_string())];
        let binary = Path::new(env!("CARGO_BIN_EXE_stonescale"));
        let program = Program::start_with_env(binary, &config, &[], &env).unwrap();
        Marshal { program, config, discovery, platform }
    }

    fn client(&self) -> Client {
        let stream = TcpStream::connect(self.program.addr).unwrap();
        stream.set_read_timeout(Some(LONG)).unwrap();
        Client(BufReader::new(stream))
    }

    /// Has it read `text` as its configuration; waits for the log to say `word`.
    fn reread(&self, text: &str, word: &str) -> String {
        std::fs::write(&self.program.config_path, text).unwrap();
        self.program.signal("HUP");
        self.logged(word)
    }

    fn logged(&self, word: &str) -> String {
        self.program.wait_for_log_line(word, LONG).unwrap()
    }
}

struct Client(BufReader<TcpStream>);

impl Client {
    fn send(&mut self, words: &[&str]) {
        let mut text = format!("*{}\r\n", words.len());
        words.iter().for_each(|w| text += &format!("${}\r\n{w}\r\n", w.len()));
        self.0.get_mut().write_all(text.as_bytes()).unwrap();
    }

    fn read(&mut self) {
        self.send(&["SVC.QUERY", "7f3a", "9b1f", "c=read,t=acme,d=900"]);
    }

    fn book(&mut self) {
        self.send(&["SVC.SUBMIT", "7f3a", "9b1f", "c=book,t=acme,d=900,x=1", "BODY"]);
    }

    /// The next answer, a bulk string with its text; empty at the connection's end.
    fn answer(&mut self) -> String {
        let mut text = String::new();
        self.0.read_line(&mut text).unwrap();
        if let Some(length) = text.strip_prefix('$').and_then(|t| t.trim_end().parse::<usize>().ok()) {
            let mut value = vec![0; length + 2];
            self.0.read_exact(&mut value).unwrap();
            text += str::from_utf8(&value).unwrap();
        }
        text
    }

    fn ask(&mut self) -> String {
        self.book();
        self.answer()
    }
}

const SERVED: &str = "$7\r\n9b1f...\r\n";
/// A node's value with a line's end in it, and as the client is given it.
const VALUE: &str = "*3\r\n$7\r\nva\r\nlue\r\n$-1\r\n$10\r\ninflight=1\r\n";
const GIVEN: &str = "$7\r\nva\r\nlue\r\n";

// ---- Clients ----

#[rstest]
fn a_hit_passes_unchanged_but_for_its_wait_and_its_value_comes_as_the_node_sent_it() {
    let node = serving();
    let marshal = Marshal::start(&[&node]);
    let mut client = marshal.client();
    client.send(&["PING"]);
    assert_eq!(client.answer(), "+PONG\r\n");
    node.script([say(VALUE)]);
    assert_eq!(client.ask(), GIVEN);
    let words = told(&node);
    assert_eq!([&words[..3], &words[4..]].concat(), ["SVC.SUBMIT", "7f3a", "9b1f", "BODY"]);
    let wait = words[3].strip_prefix("c=book,t=acme,d=").and_then(|t| t.strip_suffix(",x=1")).unwrap();
    assert!((500..=900).contains(&wait.parse::<u32>().unwrap()), "{wait}");
}

#[rstest]
fn commands_written_at_once_start_at_once_and_are_answered_in_order() {
    let node = node([ScriptedReply::ServeAfterNextCommand]);
    let marshal = Marshal::start(&[&node]);
    let mut client = marshal.client();
    client.book();
    client.read();
    client.send(&["PING"]);
    let mut got: Vec<_> = (0..2).map(|_| told(&node)[0].clone()).collect();
    got.sort();
    assert_eq!(got, ["SVC.QUERY", "SVC.SUBMIT"]);
    assert_eq!([client.answer(), client.answer(), client.answer()], [SERVED, SERVED, "+PONG\r\n"]);
}

#[rstest]
fn a_client_that_leaves_has_its_forward_called_off() {
    let node = node([ScriptedReply::NoReply]);
    let marshal = Marshal::start(&[&node]);
    let mut client = marshal.client();
    client.book();
    assert!(!told(&node).is_empty());
    drop(client);
    assert!(told(&node).is_empty(), "its connection is closed");
}

#[rstest]
#[case::command(&["SVC.DELETE", "k", "1", "c=read,t=acme,d=9"], "unknown command")]
#[case::arguments(&["SVC.QUERY", "k", "1"], "arguments")]
#[case::group(&["SVC.QUERY", "k", "1", "c=other,t=acme,d=9"], "unknown class")]
#[case::no_group(&["SVC.QUERY", "k", "1", "t=acme,d=9"], "c is missing")]
#[case::tenant(&["SVC.QUERY", "k", "1", "c=read,t=other,d=9"], "unknown tenant")]
#[case::no_wait(&["SVC.QUERY", "k", "1", "c=read,t=acme"], "d is missing")]
#[case::odd_wait(&["SVC.QUERY", "k", "1", "c=read,t=acme,d=-9"], "d is not a wait")]
#[case::no_key(&["SVC.SUBMIT", "k", "1", "c=push,t=acme,d=9", "BODY"], "k is missing")]
#[case::wrong_command(&["SVC.QUERY", "k", "1", "c=book,t=acme,d=9"], "does not serve")]
fn a_wrong_command_is_told_so_and_the_connection_goes_on(#[case] words: &[&str], #[case] why: &str) {
    let node = serving();
    let marshal = Marshal::start(&[&node]);
    let mut client = marshal.client();
    client.send(words);
    let answer = client.answer();
    assert!(answer.starts_with("-ERR ") && answer.contains(why), "{answer}");
    client.read();
    assert_eq!(client.answer(), SERVED);
    assert_eq!(told(&node)[1], "7f3a", "nothing else was forwarded");
}

#[rstest]
#[case::inline("PING\r\n")]
#[case::huge("*1\r\n$99999999\r\n")]
#[case::null("*1\r\n$-1\r\n")]
#[case::nothing("*0\r\n")]
fn lost_framing_is_told_and_ends_the_connection(#[case] text: &str) {
    let marshal = Marshal::start(&[]);
    let mut client = marshal.client();
    client.0.get_mut().write_all(text.as_bytes()).unwrap();
    assert!(client.answer().starts_with("-ERR protocol error"));
    assert_eq!(client.answer(), "");
}

#[rstest]
#[case::silent("", "")]
#[case::half_a_command("*2\r\n$4\r\nPI", "-ERR protocol error: command not ended in time\r\n")]
#[case::half_a_line("*", "-ERR protocol error: command not ended in time\r\n")]
fn who_sends_no_whole_command_is_told_so_or_left_within_3_s(#[case] text: &str, #[case] expected: &str) {
    let marshal = Marshal::start(&[]);
    let mut client = marshal.client();
    let start = Instant::now();
    client.0.get_mut().write_all(text.as_bytes()).unwrap();
    assert_eq!(client.answer(), expected);
    assert!(start.elapsed() < Duration::from_secs(3), "{:?}", start.elapsed());
}

#[rstest]
fn a_client_that_falls_idle_is_left_after_a_while() {
    let node = serving();
    let marshal = Marshal::start(&[&node]);
    let mut client = marshal.client();
    assert_eq!(client.ask(), SERVED);
    assert_eq!(client.answer(), "", "its descriptor is for others");
}

#[rstest]
fn in_a_crowd_the_longest_idle_client_makes_room_before_its_time() {
    let node = serving();
    let few = |config: &mut Value| config["limits"]["sockets"] = json!(80);
    let marshal = Marshal::start_with(&[&node], few);
    let start = Instant::now();
    let ask = || {
        let mut client = marshal.client();
        assert_eq!(client.ask(), SERVED);
        client
    };
    let mut clients: Vec<_> = (0..20).map(|_| ask()).collect();
    thread::sleep(Duration::from_millis(600));
    clients.push(ask());
    assert_eq!(clients[0].answer(), "");
    assert!(start.elapsed() < Duration::from_millis(1_900), "{:?}", start.elapsed());
    assert_eq!(clients[19].ask(), SERVED, "those used last stay");
}

#[rstest]
fn who_sends_without_end_does_not_keep_the_others_from_their_turn() {
    let node = serving();
    let marshal = Marshal::start(&[&node]);
    for _ in 0..4 {
        let stream = TcpStream::connect(marshal.program.addr).unwrap();
        let (mut writer, mut reader) = (stream.try_clone().unwrap(), stream);
        thread::spawn(move || while writer.write_all(&b"*1\r\n$4\r\nPING\r\n".repeat(4096)).is_ok() {});
        thread::spawn(move || std::io::copy(&mut reader, &mut std::io::sink()));
    }
    let mut client = marshal.client();
    for _ in 0..20 {
        assert_eq!(client.ask(), SERVED);
    }
}

#[rstest]
fn memory_stays_flat_over_connections_nodes_and_builds() {
    let node = serving();
    let short = |config: &mut Value| config["settings"]["limits"]["keepalive_ns"] = json!(200_000_000);
    let marshal = Marshal::start_with(&[&node], short);
    let round = |round: usize| {
        for part in 0..20 {
            let mut client = marshal.client();
            client.read();
            assert_eq!(client.answer(), SERVED);
            client.0.get_mut().write_all(b"*2\r\n$60000\r\nhalf of it").unwrap();
            for state in ["up", "removed"] {
                let one = |number| Entry {
                    build: 100 + round as u16,
                    ..entry(1_000_000 * round + 1_000 * part + number, &node, state)
                };
                marshal.discovery.publish((0..200).map(one));
            }
            // A second has the sweep in it twice.
            thread::sleep(Duration::from_millis(50));
        }
        let status = std::fs::read_to_string(format!("/proc/{}/status", marshal.program.pid())).unwrap();
        let line = status.lines().find(|l| l.starts_with("RssAnon:")).unwrap();
        line.split_whitespace().nth(1).unwrap().parse::<usize>().unwrap()
    };
    let used: Vec<usize> = (1..7).map(round).collect();
    assert!(used[5] < used[1] + 1_000, "kB after each round: {used:?}");
}

// ---- Nodes: every ending ----

#[rstest]
#[case::failed(say("-ERR failed inflight=1\r\n"), "-ERR failed\r\n")]
#[case::turned_away(say("-BUSY\r\n"), SERVED)]
#[case::closed(say_and_close(""), "-ERR failed\r\n")]
#[case::half_a_value(say_and_close("*3\r\n$7\r\nva"), "-ERR failed\r\n")]
#[case::null(say("*3\r\n$-1\r\n$-1\r\n$-1\r\n"), "-ERR failed\r\n")]
#[case::garbage(say("what?\r\n"), "-ERR failed\r\n")]
#[case::too_long(say("*1\r\n$65537\r\n"), "-ERR failed\r\n")]
#[case::silent(ScriptedReply::NoReply, "-ERR failed\r\n")]
fn a_mutating_hit_goes_again_only_if_it_never_ran(#[case] act: ScriptedReply, #[case] expected: &str) {
    let node = node([act]);
    let marshal = Marshal::start(&[&node]);
    let mut client = marshal.client();
    assert_eq!(client.ask(), expected);
    assert_eq!(client.ask(), SERVED, "the next one is served");
}

#[rstest]
fn a_refused_connection_proves_that_nothing_ran() {
    let node = serving();
    node.stop();
    let marshal = Marshal::start(&[&node]);
    assert_eq!(marshal.client().ask(), "-BUSY 80\r\n");
}

#[rstest]
fn an_idle_connection_that_its_node_closed_loses_no_hit() {
    let node = node([say_and_close(VALUE)]);
    let marshal = Marshal::start(&[&node]);
    let mut client = marshal.client();
    assert_eq!(client.ask(), GIVEN);
    told(&node);
    assert!(told(&node).is_empty(), "the node has closed it");
    assert_eq!(client.ask(), SERVED);
}

#[rstest]
fn an_answer_that_nobody_asked_for_ends_the_connection() {
    let twice = "*1\r\n$2\r\nhi\r\n*1\r\n$2\r\nhi\r\n";
    let node = node([say(twice)]);
    let marshal = Marshal::start(&[&node]);
    let mut client = marshal.client();
    assert_eq!(client.ask(), "$2\r\nhi\r\n");
    told(&node);
    assert!(told(&node).is_empty());
    assert_eq!(client.ask(), SERVED);
}

#[rstest]
#[case::failed("-ERR failed\r\n", "-ERR failed\r\n")]
#[case::with_a_report("-ERR failed inflight=7,queue=2,util=0.61\r\n", "-ERR failed\r\n")]
#[case::turned_away_with_both("-BUSY 80 inflight=7,queue=2,util=0.61\r\n", SERVED)]
fn an_error_line_as_the_protocol_words_it_keeps_the_connection(#[case] text: &str, #[case] expected: &str) {
    let node = node([say(text)]);
    let marshal = Marshal::start(&[&node]);
    let mut client = marshal.client();
    assert_eq!(client.ask(), expected);
    assert_eq!(client.ask(), SERVED);
    assert!((0..2).all(|_| !told(&node).is_empty()), "a build that fails is no connection that breaks");
}

#[rstest]
#[case::run_on("-ERR a line without its end*x\r\n")]
#[case::run_on_into_a_failure("-ERR failed inflight=1-ERR failed inflight=1\r\n")]
#[case::run_on_into_a_value("-ERR failed inflight=7,queue=2,util=0.61*3\r\n")]
#[case::run_on_into_noise("-BUSY \u{1}\r\n")]
#[case::of_another_kind("-WRONGTYPE of value\r\n")]
fn an_error_line_of_no_known_form_ends_the_connection(#[case] text: &str) {
    let node = node([say(text)]);
    let marshal = Marshal::start(&[&node]);
    let mut client = marshal.client();
    assert_eq!(client.ask(), "-ERR failed\r\n");
    assert!(!told(&node).is_empty());
    assert!(told(&node).is_empty(), "what came behind it could be another hit's");
    assert_eq!(client.ask(), SERVED);
}

#[rstest]
fn a_second_copy_that_comes_a_moment_later_is_not_the_next_hits_answer() {
    let node = node([ScriptedReply::ServeThenSend("*1\r\n$5\r\nwrong\r\n".into())]);
    let marshal = Marshal::start(&[&node]);
    let mut client = marshal.client();
    assert_eq!([client.ask(), client.ask()], [SERVED, SERVED]);
}

#[rstest]
#[case::length("*1\r\n$70\r\nva")]
#[case::line("*1\r\n$7")]
fn an_answer_whose_rest_never_comes_is_given_up_before_its_hit_is(#[case] text: &'static str) {
    let node = node([say(text)]);
    let marshal = Marshal::start(&[&node]);
    let mut client = marshal.client();
    client.send(&["SVC.SUBMIT", "7f3a", "9b1f", "c=book,t=acme,d=60000", "BODY"]);
    assert_eq!(client.answer(), "-ERR failed\r\n");
}

// ---- Discovery and platform ----

#[rstest]
fn a_drained_node_gets_nothing_more() {
    let (one, two) = (serving(), serving());
    let marshal = Marshal::start(&[&one]);
    let mut client = marshal.client();
    assert_eq!(client.ask(), SERVED);
    assert_eq!(
        next_within(&marshal.discovery.requested_paths, LONG).unwrap(),
        "/v1/endpoints?follow=1&since=2"
    );
    marshal.discovery.publish([entry(0, &one, "draining"), entry(1, &two, "up")]);
    assert!(!told(&one).is_empty());
    assert!(told(&one).is_empty(), "its connection is given up");
    assert_eq!(client.ask(), SERVED);
    assert!(!told(&two).is_empty());
}

#[rstest]
#[case::ended(Some(None))]
#[case::silent(None)]
#[case::garbage(Some(Some("{\"version\":".into())))]
#[case::odd_entry(Some(Some("{\"version\":4,\"full\":false,\"servers\":[{\"id\":\"s-0\"}]}".into())))]
#[case::going_back(Some(Some("{\"version\":1,\"full\":false,\"servers\":[]}".into())))]
fn a_watch_that_is_of_no_use_is_opened_again(#[case] line: Option<Option<String>>) {
    let back = line.as_ref().is_some_and(|l| l.as_ref().is_some_and(|l| l.contains(":1,")));
    let marshal = Marshal::start(&[]);
    marshal.discovery.set_silent(line.is_none());
    next_within(&marshal.discovery.requested_paths, LONG).unwrap();
    while marshal.discovery.watch_count() == 0 {
        thread::yield_now();
    }
    line.into_iter().for_each(|line| marshal.discovery.send_raw(line));
    let again = next_within(&marshal.discovery.requested_paths, LONG).unwrap();
    assert_eq!(again.contains("&since=2"), !back, "{again}");
}

#[rstest]
fn the_marshal_subscribes_again_after_a_cut() {
    let marshal = Marshal::start(&[]);
    for _ in 0..3 {
        assert!(next_within(&marshal.platform.received, LONG).unwrap().contains("\"subscribe\""));
        marshal.platform.close_connections();
    }
}

// ---- Start and stop ----

#[rstest]
fn told_to_end_a_marshal_answers_what_it_took_and_closes_idle_connections() {
    let node = node([ScriptedReply::NoReply]);
    let mut marshal = Marshal::start(&[&node]);
    let (mut idle, mut busy) = (marshal.client(), marshal.client());
    idle.send(&["PING"]);
    assert_eq!(idle.answer(), "+PONG\r\n");
    busy.book();
    told(&node);
    marshal.program.signal("TERM");
    idle.read();
    assert_eq!(idle.answer(), SERVED, "clients still come for a while");
    assert_eq!(busy.answer(), "-ERR failed\r\n");
    assert_eq!([idle.answer(), busy.answer()], ["", ""]);
    let mut end = None;
    assert!(wait_until(LONG, || {
        end = marshal.program.exit_status();
        end.is_some()
    }));
    assert!(end.unwrap().success());
}

#[rstest]
fn on_sighup_discovery_and_platform_move_to_what_the_file_says_without_a_gap() {
    let node = serving();
    let marshal = Marshal::start(&[&node]);
    next_within(&marshal.discovery.requested_paths, LONG).unwrap();
    next_within(&marshal.platform.received, LONG).unwrap();
    let there = Discovery::start(&STAGE, books());
    there.set_silent(true);
    // It counts its versions on from those of the one before.
    (0..3).for_each(|_| there.publish([]));
    let platform = Platform::start(&STAGE, BuildStatus::live(BUILD), books());
    let mut config = marshal.config.clone();
    (config["discovery"], config["platform"]["address"]) = (json!(there.addr), json!(platform.addr));
    config["seed"] = json!("8");
    let text = config.to_string();
    // Twice in a row is as good as once.
    marshal.reread(&text, "read the configuration again");
    let restart = marshal.reread(&text, "needing a new start");
    assert!(restart.ends_with("needing a new start: seed"), "{restart}");
    assert_eq!(next_within(&there.requested_paths, LONG).unwrap(), "/v1/endpoints?follow=1&since=2");
    assert!(next_within(&platform.received, LONG).unwrap().contains("\"subscribe\""));
    marshal.logged("the platform has moved");
    // Until the new one has told something, the old one is still believed.
    marshal.discovery.publish([entry(0, &node, "draining")]);
    let mut client = marshal.client();
    while client.ask() == SERVED {
        told(&node);
    }
    there.publish([entry(1, &node, "up")]);
    while client.ask() != SERVED {}
    marshal.program.signal("TERM");
    marshal.program.signal("HUP");
    marshal.logged("told to end");
}

#[rstest]
#[case::not_json("{", "not JSON")]
#[case::no_platform("platform", "platform.address is not an address")]
#[case::no_discovery("discovery", "discovery is not an address")]
fn a_faulty_file_read_again_is_named_in_one_line_and_the_one_before_stays(
    #[case] change: &str, #[case] why: &str,
) {
    let node = serving();
    let marshal = Marshal::start(&[&node]);
    let mut config = marshal.config.clone();
    match change {
        "platform" => config["platform"]["address"] = json!("nowhere"),
        key => config[key] = json!("nowhere"),
    }
    let text = if change == "{" { change.to_owned() } else { config.to_string() };
    let line = marshal.reread(&text, "told to read the configuration again");
    assert!(line.contains("error serve: ") && line.contains(why), "{line}");
    assert_eq!(marshal.client().ask(), SERVED);
}

fn ends(command: &str, change: impl Fn(&mut Value)) -> Output {
    let (addr, known) = (([127, 0, 0, 1], 9).into(), json!({"version": 3, "full": true, "servers": []}));
    let (mut config, path) = (config(known, addr, addr), unique_temp_path("json"));
    change(&mut config);
    std::fs::write(&path, config.to_string()).unwrap();
    let mut program = Command::new(env!("CARGO_BIN_EXE_stonescale"));
    program.arg(command).env_clear().env("NODE_CONFIG", &path).output().unwrap()
}

#[rstest]
#[case("seed", json!("xyz"), "seed is not")]
#[case("seed", Value::Null, "seed is missing")]
#[case("listen", json!("here"), "listen is not an address")]
#[case("limits", json!({"sockets": 1024}), "limits.memory_mb is missing")]
#[case("limits", json!({"sockets": 1024, "memory_mb": 4}), "limits.memory_mb: 4 MiB are too little")]
#[case("limits", json!({"sockets": 256, "memory_mb": 2}), "KiB are missing")]
#[case("platform", json!({"address": "127.0.0.1:1"}), "platform.news is missing")]
#[case("platform", json!({"address": "127.0.0.1:1", "news": {"build": 4}}), "platform.news: stage is not")]
#[case("known", json!({}), "known: missing field `version`")]
#[case("settings", json!({}), "settings.classes is missing")]
fn a_faulty_configuration_is_named_in_one_line(#[case] key: &str, #[case] value: Value, #[case] why: &str) {
    for command in ["serve", "check"] {
        let out = ends(command, |config| config[key] = value.clone());
        let told = String::from_utf8_lossy(&out.stderr).into_owned();
        assert!(!out.status.success() && told.contains(why) && told.lines().count() == 1, "{told}");
    }
}

#[rstest]
fn a_sound_configuration_is_found_so_and_unknown_keys_are_skipped() {
    let out = ends("check", |config| config["novelty"] = json!(1));
    assert!(out.status.success() && String::from_utf8_lossy(&out.stdout).contains("3 path groups"));
}

#[rstest]
#[case(&["serve", "--fast"])]
#[case(&["fly"])]
#[case(&[])]
fn an_unknown_command_line_gets_the_usage(#[case] args: &[&str]) {
    let out = Command::new(env!("CARGO_BIN_EXE_stonescale")).args(args).output().unwrap();
    assert!(!out.status.success() && String::from_utf8_lossy(&out.stderr).contains("Usage: stonescale"));
}
