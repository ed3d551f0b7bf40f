//! The real program on loopback, against small stand-ins written from the operators' protocol page.

use rstest::rstest;
use serde_json::{Value, json};
use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpListener, TcpStream};
use std::path::PathBuf;
use std::process::{Child, Command, Output, Stdio};
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread;
use std::time::{Duration, Instant};

/// Longer than anything here takes; a story that waits for so long has failed.
const LONG: Duration = Duration::from_secs(20);

fn listen() -> (TcpListener, SocketAddr) {
    let listener = TcpListener::bind("127.0.0.1:0").unwrap();
    let addr = listener.local_addr().unwrap();
    (listener, addr)
}

/// Reads one command of bulk strings; none at the connection's end.
fn command(from: &mut impl BufRead) -> Option<Vec<String>> {
    let mut line = String::new();
    let mut number = |from: &mut dyn BufRead| {
        line.clear();
        from.read_line(&mut line).ok()?;
        line.trim_end().get(1..)?.parse::<usize>().ok()
    };
    (0..number(from)?)
        .map(|_| {
            let mut text = vec![0; number(from)? + 2];
            from.read_exact(&mut text).ok()?;
            text.truncate(text.len() - 2);
            String::from_utf8(text).ok()
        })
        .collect()
}

/// What a node does with its next command.
#[derive(Clone, Copy)]
enum Act {
    Say(&'static str),
    SayAndClose(&'static str),
    /// Serves it, and says something more a moment later.
    SayMore(&'static str),
    /// Serves it only once another command has come.
    Hold,
    Nothing,
}

const VALUE: &str = "*3\r\n$7\r\nva\r\nlue\r\n$-1\r\n$10\r\ninflight=1\r\n";

/// A node that does `first` with its first command and serves all others. Tells the commands it gets, and
/// an empty one for each connection that ends.
fn node(first: Act) -> (SocketAddr, Receiver<Vec<String>>) {
    let (listener, addr) = listen();
    let (tell, told) = channel();
    let acts = AtomicUsize::new(0);
    let acts: &'static AtomicUsize = Box::leak(Box::new(acts));
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let tell: Sender<Vec<String>> = tell.clone();
            thread::spawn(move || {
                let mut reader = BufReader::new(stream.try_clone().unwrap());
                let mut writer = stream;
                while let Some(words) = command(&mut reader) {
                    let _ = tell.send(words);
                    let act = if acts.fetch_add(1, Ordering::SeqCst) == 0 { first } else { Act::Say(VALUE) };
                    match act {
                        Act::Say(text) => writer.write_all(text.as_bytes()).unwrap(),
                        Act::SayAndClose(text) => {
                            writer.write_all(text.as_bytes()).unwrap();
                            break;
                        }
                        Act::SayMore(text) => {
                            writer.write_all(VALUE.as_bytes()).unwrap();
                            thread::sleep(Duration::from_millis(1));
                            let _ = writer.write_all(text.as_bytes());
                        }
                        Act::Hold => {
                            let mut writer = writer.try_clone().unwrap();
                            thread::spawn(move || {
                                while acts.load(Ordering::SeqCst) < 2 {
                                    thread::yield_now();
                                }
                                writer.write_all(VALUE.as_bytes()).unwrap();
                            });
                        }
                        Act::Nothing => {}
                    }
                }
                let _ = writer.shutdown(std::net::Shutdown::Both);
                let _ = tell.send(Vec::new());
            });
        }
    });
    (addr, told)
}

/// Discovery that tells each path asked for, and sends the lines it is given on the newest watch; it ends
/// that in place of a line that is none.
fn discovery() -> (SocketAddr, Receiver<String>, Sender<Option<String>>) {
    let (listener, addr) = listen();
    let (tell, told) = channel();
    let (send, lines) = channel::<Option<String>>();
    let newest: &'static Mutex<Option<TcpStream>> = Box::leak(Box::default());
    thread::spawn(move || {
        for mut stream in listener.incoming().flatten() {
            let mut path = String::new();
            BufReader::new(stream.try_clone().unwrap()).read_line(&mut path).unwrap();
            stream.write_all(b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n").unwrap();
            *newest.lock().unwrap() = Some(stream);
            let _ = tell.send(path);
        }
    });
    thread::spawn(move || {
        for line in lines {
            let mut newest = newest.lock().unwrap();
            match (line, newest.as_mut()) {
                (Some(line), Some(stream)) => {
                    stream.write_all(format!("{:x}\r\n{line}\n\r\n", line.len() + 1).as_bytes()).unwrap();
                }
                _ => *newest = None,
            }
        }
    });
    (addr, told, send)
}

/// A platform that tells the lines it gets, and answers each with `result`; it ends connections when told.
fn platform(result: &'static str) -> (SocketAddr, Receiver<String>, Sender<()>) {
    let (listener, addr) = listen();
    let (tell, told) = channel();
    let (send, ends) = channel::<()>();
    thread::spawn(move || {
        for stream in listener.incoming().flatten() {
            let (tell, end) = (tell.clone(), stream.try_clone().unwrap());
            let mut writer = stream.try_clone().unwrap();
            thread::spawn(move || {
                for line in BufReader::new(stream).lines().map_while(Result::ok) {
                    let call: Value = serde_json::from_str(&line).unwrap();
                    let _ = tell.send(line);
                    let answer =
                        format!("{{\"jsonrpc\":\"2.0\",\"id\":{},\"result\":{result}}}\n", call["id"]);
                    if writer.write_all(answer.as_bytes()).is_err() {
                        break;
                    }
                }
            });
            if ends.recv().is_err() {
                break;
            }
            end.shutdown(std::net::Shutdown::Both).unwrap();
        }
    });
    (addr, told, send)
}

fn entry(id: usize, addr: SocketAddr, state: &str) -> Value {
    json!({"id": format!("s-{id}"), "addr": addr, "zone": "a", "kind": "m", "cell": 0, "state": state,
        "weight": 1.0, "started_ms": 0, "image_id": 4})
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

fn config(nodes: &[SocketAddr], discovery: SocketAddr, platform: SocketAddr) -> Value {
    let servers: Vec<_> = nodes.iter().enumerate().map(|(id, addr)| entry(id, *addr, "up")).collect();
    json!({"name": "n0", "listen": "127.0.0.1:0", "discovery": discovery, "seed": "7",
        "limits": {"cores": 1.0, "memory_mb": 192, "sockets": 1024},
        "platform": {"address": platform,
            "news": {"build": 4, "stage": 1, "phase": "live", "cap": 1, "age_ms": 0}},
        "known": {"version": 3, "full": true, "servers": servers}, "settings": settings()})
}

fn program(command: &str, config: &Value) -> (Command, PathBuf) {
    static NUMBER: AtomicUsize = AtomicUsize::new(0);
    let name = format!("stonescale-{}-{}.json", std::process::id(), NUMBER.fetch_add(1, Ordering::SeqCst));
    let path = std::env::temp_dir().join(name);
    std::fs::write(&path, config.to_string()).unwrap();
    let mut program = Command::new(env!("CARGO_BIN_EXE_stonescale"));
    program.arg(command).env_clear().env("NODE_CONFIG", &path).stderr(Stdio::piped()).stdout(Stdio::piped());
    (program, path)
}

/// A marshal that serves, until the story ends.
struct Marshal {
    child: Child,
    addr: SocketAddr,
    /// Its configuration, and where that lies.
    config: (Value, PathBuf),
    log: Receiver<String>,
    discovery: (Receiver<String>, Sender<Option<String>>),
    platform: (Receiver<String>, Sender<()>),
}

impl Marshal {
    fn start(nodes: &[SocketAddr]) -> Self {
        Self::start_with(nodes, |_| ())
    }

    fn start_with(nodes: &[SocketAddr], change: impl Fn(&mut Value)) -> Self {
        let (discovery, paths, lines) = discovery();
        let (platform, calls, ends) = platform("true");
        let mut config = config(nodes, discovery, platform);
        change(&mut config);
        let (mut program, path) = program("serve", &config);
        let mut child = program.env("NODE_DISCOVERY", discovery.to_string()).spawn().unwrap();
        let mut log = BufReader::new(child.stderr.take().unwrap());
        let mut line = String::new();
        while !line.contains("listening at ") {
            line.clear();
            assert!(log.read_line(&mut line).unwrap() > 0, "the marshal ended at its start");
        }
        let addr = line.trim_end().rsplit(' ').next().unwrap().parse().unwrap();
        // Left alone, the log would fill its pipe.
        let (tell, told) = channel();
        thread::spawn(move || log.lines().map_while(Result::ok).try_for_each(|line| tell.send(line)));
        let (discovery, platform) = ((paths, lines), (calls, ends));
        Marshal { child, addr, config: (config, path), log: told, discovery, platform }
    }

    fn client(&self) -> Client {
        let stream = TcpStream::connect(self.addr).unwrap();
        stream.set_read_timeout(Some(LONG)).unwrap();
        Client(BufReader::new(stream))
    }

    fn signal(&self, name: &str) {
        let pid = self.child.id().to_string();
        assert!(Command::new("kill").args([name, &pid]).status().unwrap().success());
    }

    fn terminate(&self) {
        self.signal("-TERM");
    }

    /// Has it read `text` as its configuration; waits for the log to say `word`.
    fn reread(&self, text: &str, word: &str) -> String {
        std::fs::write(&self.config.1, text).unwrap();
        self.signal("-HUP");
        self.logged(word)
    }

    fn logged(&self, word: &str) -> String {
        loop {
            let line = self.log.recv_timeout(LONG).unwrap();
            if line.contains(word) {
                return line;
            }
        }
    }
}

impl Drop for Marshal {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
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

const SERVED: &str = "$7\r\nva\r\nlue\r\n";

// ---- Clients ----

#[rstest]
fn a_hit_passes_unchanged_but_for_its_wait_and_its_value_comes_as_the_node_sent_it() {
    let (addr, told) = node(Act::Say(VALUE));
    let marshal = Marshal::start(&[addr]);
    let mut client = marshal.client();
    client.send(&["PING"]);
    assert_eq!(client.answer(), "+PONG\r\n");
    assert_eq!(client.ask(), SERVED);
    let words = told.recv_timeout(LONG).unwrap();
    assert_eq!([&words[..3], &words[4..]].concat(), ["SVC.SUBMIT", "7f3a", "9b1f", "BODY"]);
    let wait = words[3].strip_prefix("c=book,t=acme,d=").and_then(|t| t.strip_suffix(",x=1")).unwrap();
    assert!((500..=900).contains(&wait.parse::<u32>().unwrap()), "{wait}");
}

#[rstest]
fn commands_written_at_once_start_at_once_and_are_answered_in_order() {
    let (addr, told) = node(Act::Hold);
    let marshal = Marshal::start(&[addr]);
    let mut client = marshal.client();
    client.book();
    client.read();
    client.send(&["PING"]);
    let mut got: Vec<_> = (0..2).map(|_| told.recv_timeout(LONG).unwrap()[0].clone()).collect();
    got.sort();
    assert_eq!(got, ["SVC.QUERY", "SVC.SUBMIT"]);
    assert_eq!([client.answer(), client.answer(), client.answer()], [SERVED, SERVED, "+PONG\r\n"]);
}

#[rstest]
fn a_client_that_leaves_has_its_forward_called_off() {
    let (addr, told) = node(Act::Nothing);
    let marshal = Marshal::start(&[addr]);
    let mut client = marshal.client();
    client.book();
    assert!(!told.recv_timeout(LONG).unwrap().is_empty());
    drop(client);
    assert!(told.recv_timeout(LONG).unwrap().is_empty(), "its connection is closed");
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
    let (addr, told) = node(Act::Say(VALUE));
    let marshal = Marshal::start(&[addr]);
    let mut client = marshal.client();
    client.send(words);
    let answer = client.answer();
    assert!(answer.starts_with("-ERR ") && answer.contains(why), "{answer}");
    client.read();
    assert_eq!(client.answer(), SERVED);
    assert_eq!(told.recv_timeout(LONG).unwrap()[1], "7f3a", "nothing else was forwarded");
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
    let (addr, _told) = node(Act::Say(VALUE));
    let marshal = Marshal::start(&[addr]);
    let mut client = marshal.client();
    assert_eq!(client.ask(), SERVED);
    assert_eq!(client.answer(), "", "its descriptor is for others");
}

#[rstest]
fn in_a_crowd_the_longest_idle_client_makes_room_before_its_time() {
    let (addr, _told) = node(Act::Say(VALUE));
    let few = |config: &mut Value| config["limits"]["sockets"] = json!(80);
    let marshal = Marshal::start_with(&[addr], few);
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
    let (addr, _told) = node(Act::Say(VALUE));
    let marshal = Marshal::start(&[addr]);
    for _ in 0..4 {
        let stream = TcpStream::connect(marshal.addr).unwrap();
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
    let (addr, _told) = node(Act::Say(VALUE));
    let short = |config: &mut Value| config["settings"]["limits"]["keepalive_ns"] = json!(200_000_000);
    let marshal = Marshal::start_with(&[addr], short);
    let round = |round: usize| {
        for part in 0..20 {
            let mut client = marshal.client();
            client.read();
            assert_eq!(client.answer(), SERVED);
            client.0.get_mut().write_all(b"*2\r\n$60000\r\nhalf of it").unwrap();
            for state in ["up", "removed"] {
                let one = |number| {
                    let mut entry = entry(1_000_000 * round + 1_000 * part + number, addr, state);
                    entry["image_id"] = json!(100 + round);
                    entry
                };
                let servers: Vec<_> = (0..200).map(one).collect();
                let line = json!({"version": 4 + 20 * round + part, "full": false, "servers": servers});
                marshal.discovery.1.send(Some(line.to_string())).unwrap();
            }
            // A second has the sweep in it twice.
            thread::sleep(Duration::from_millis(50));
        }
        let status = std::fs::read_to_string(format!("/proc/{}/status", marshal.child.id())).unwrap();
        let line = status.lines().find(|l| l.starts_with("RssAnon:")).unwrap();
        line.split_whitespace().nth(1).unwrap().parse::<usize>().unwrap()
    };
    let used: Vec<usize> = (1..7).map(round).collect();
    assert!(used[5] < used[1] + 1_000, "kB after each round: {used:?}");
}

// ---- Nodes: every ending ----

#[rstest]
#[case::failed(Act::Say("-ERR failed inflight=1\r\n"), "-ERR failed\r\n")]
#[case::turned_away(Act::Say("-BUSY\r\n"), SERVED)]
#[case::closed(Act::SayAndClose(""), "-ERR failed\r\n")]
#[case::half_a_value(Act::SayAndClose("*3\r\n$7\r\nva"), "-ERR failed\r\n")]
#[case::null(Act::Say("*3\r\n$-1\r\n$-1\r\n$-1\r\n"), "-ERR failed\r\n")]
#[case::garbage(Act::Say("what?\r\n"), "-ERR failed\r\n")]
#[case::too_long(Act::Say("*1\r\n$65537\r\n"), "-ERR failed\r\n")]
#[case::silent(Act::Nothing, "-ERR failed\r\n")]
fn a_mutating_hit_goes_again_only_if_it_never_ran(#[case] act: Act, #[case] expected: &str) {
    let (addr, _told) = node(act);
    let marshal = Marshal::start(&[addr]);
    let mut client = marshal.client();
    assert_eq!(client.ask(), expected);
    assert_eq!(client.ask(), SERVED, "the next one is served");
}

#[rstest]
fn a_refused_connection_proves_that_nothing_ran() {
    let (listener, addr) = listen();
    drop(listener);
    let marshal = Marshal::start(&[addr]);
    assert_eq!(marshal.client().ask(), "-BUSY 80\r\n");
}

#[rstest]
fn an_idle_connection_that_its_node_closed_loses_no_hit() {
    let (addr, told) = node(Act::SayAndClose(VALUE));
    let marshal = Marshal::start(&[addr]);
    let mut client = marshal.client();
    assert_eq!(client.ask(), SERVED);
    told.recv_timeout(LONG).unwrap();
    assert!(told.recv_timeout(LONG).unwrap().is_empty(), "the node has closed it");
    assert_eq!(client.ask(), SERVED);
}

#[rstest]
fn an_answer_that_nobody_asked_for_ends_the_connection() {
    let twice = "*1\r\n$2\r\nhi\r\n*1\r\n$2\r\nhi\r\n";
    let (addr, told) = node(Act::Say(twice));
    let marshal = Marshal::start(&[addr]);
    let mut client = marshal.client();
    assert_eq!(client.ask(), "$2\r\nhi\r\n");
    told.recv_timeout(LONG).unwrap();
    assert!(told.recv_timeout(LONG).unwrap().is_empty());
    assert_eq!(client.ask(), SERVED);
}

#[rstest]
fn a_second_copy_that_comes_a_moment_later_is_not_the_next_hits_answer() {
    let (addr, _told) = node(Act::SayMore("*1\r\n$5\r\nwrong\r\n"));
    let marshal = Marshal::start(&[addr]);
    let mut client = marshal.client();
    assert_eq!([client.ask(), client.ask()], [SERVED, SERVED]);
}

#[rstest]
#[case::length("*1\r\n$70\r\nva")]
#[case::line("*1\r\n$7")]
fn an_answer_whose_rest_never_comes_is_given_up_before_its_hit_is(#[case] text: &'static str) {
    let (addr, _told) = node(Act::Say(text));
    let marshal = Marshal::start(&[addr]);
    let mut client = marshal.client();
    client.send(&["SVC.SUBMIT", "7f3a", "9b1f", "c=book,t=acme,d=60000", "BODY"]);
    assert_eq!(client.answer(), "-ERR failed\r\n");
}

// ---- Discovery and platform ----

#[rstest]
fn a_drained_node_gets_nothing_more() {
    let ((one, to_one), (two, to_two)) = (node(Act::Say(VALUE)), node(Act::Say(VALUE)));
    let marshal = Marshal::start(&[one]);
    let mut client = marshal.client();
    assert_eq!(client.ask(), SERVED);
    assert!(
        marshal.discovery.0.recv_timeout(LONG).unwrap().starts_with("GET /v1/endpoints?follow=1&since=3 ")
    );
    let servers = [entry(0, one, "draining"), entry(1, two, "up")];
    let line = json!({"version": 4, "full": false, "servers": servers}).to_string();
    marshal.discovery.1.send(Some(line)).unwrap();
    assert!(!to_one.recv_timeout(LONG).unwrap().is_empty());
    assert!(to_one.recv_timeout(LONG).unwrap().is_empty(), "its connection is given up");
    assert_eq!(client.ask(), SERVED);
    assert!(!to_two.recv_timeout(LONG).unwrap().is_empty());
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
    marshal.discovery.0.recv_timeout(LONG).unwrap();
    line.into_iter().for_each(|line| marshal.discovery.1.send(line).unwrap());
    let again = marshal.discovery.0.recv_timeout(LONG).unwrap();
    assert_eq!(again.contains("&since=3"), !back, "{again}");
}

#[rstest]
fn the_marshal_subscribes_again_after_a_cut() {
    let marshal = Marshal::start(&[]);
    for _ in 0..3 {
        assert!(marshal.platform.0.recv_timeout(LONG).unwrap().contains("\"subscribe\""));
        marshal.platform.1.send(()).unwrap();
    }
}

// ---- Start and stop ----

#[rstest]
fn told_to_end_a_marshal_answers_what_it_took_and_closes_idle_connections() {
    let (addr, told) = node(Act::Nothing);
    let mut marshal = Marshal::start(&[addr]);
    let (mut idle, mut busy) = (marshal.client(), marshal.client());
    idle.send(&["PING"]);
    assert_eq!(idle.answer(), "+PONG\r\n");
    busy.book();
    told.recv_timeout(LONG).unwrap();
    marshal.terminate();
    idle.read();
    assert_eq!(idle.answer(), SERVED, "clients still come for a while");
    assert_eq!(busy.answer(), "-ERR failed\r\n");
    assert_eq!([idle.answer(), busy.answer()], ["", ""]);
    assert!(marshal.child.wait().unwrap().success());
}

#[rstest]
fn on_sighup_discovery_and_platform_move_to_what_the_file_says_without_a_gap() {
    let (addr, told) = node(Act::Say(VALUE));
    let marshal = Marshal::start(&[addr]);
    marshal.discovery.0.recv_timeout(LONG).unwrap();
    marshal.platform.0.recv_timeout(LONG).unwrap();
    let ((there, paths, lines), (platform, calls, _ends)) = (discovery(), platform("true"));
    let mut config = marshal.config.0.clone();
    (config["discovery"], config["platform"]["address"]) = (json!(there), json!(platform));
    config["seed"] = json!("8");
    let text = config.to_string();
    // Twice in a row is as good as once.
    marshal.reread(&text, "read the configuration again");
    let restart = marshal.reread(&text, "needing a new start");
    assert!(restart.ends_with("needing a new start: seed"), "{restart}");
    assert!(paths.recv_timeout(LONG).unwrap().starts_with("GET /v1/endpoints?follow=1&since=3 "));
    assert!(calls.recv_timeout(LONG).unwrap().contains("\"subscribe\""));
    marshal.logged("the platform has moved");
    // Until the new one has told something, the old one is still believed.
    let list = |version, entries: Value| {
        Some(json!({"version": version, "full": false, "servers": entries}).to_string())
    };
    marshal.discovery.1.send(list(4, json!([entry(0, addr, "draining")]))).unwrap();
    let mut client = marshal.client();
    while client.ask() == SERVED {
        told.recv_timeout(LONG).unwrap();
    }
    lines.send(list(5, json!([entry(1, addr, "up")]))).unwrap();
    while client.ask() != SERVED {}
    marshal.signal("-TERM");
    marshal.signal("-HUP");
    marshal.logged("told to end");
}

#[rstest]
#[case::not_json("{", "not JSON")]
#[case::no_platform("platform", "platform.address is not an address")]
#[case::no_discovery("discovery", "discovery is not an address")]
fn a_faulty_file_read_again_is_named_in_one_line_and_the_one_before_stays(
    #[case] change: &str, #[case] why: &str,
) {
    let (addr, _told) = node(Act::Say(VALUE));
    let marshal = Marshal::start(&[addr]);
    let mut config = marshal.config.0.clone();
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
    let (_, addr) = listen();
    let mut config = config(&[], addr, addr);
    change(&mut config);
    program(command, &config).0.output().unwrap()
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
