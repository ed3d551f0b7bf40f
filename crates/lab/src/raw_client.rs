//! One blocking client connection for tests: it sends any bytes, and reads replies one at a time.

use crate::checker::{Outcome, Request, SharedChecker};
use crate::load::{HitKind, encode_hit};
use crate::runtime::Clock;
use crate::site::PathGroup;
use std::io::{self, BufRead, BufReader, Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::time::{Duration, Instant};
use stonescale::time::Span;

/// Time after which a reply that has not come counts as missing.
const REPLY_TIMEOUT: Duration = Duration::from_secs(20);

/// A client connection.
pub struct RawClient(BufReader<TcpStream>);

impl RawClient {
    /// Connects to a marshal.
    pub fn connect(addr: SocketAddr) -> io::Result<Self> {
        let stream = TcpStream::connect(addr)?;
        stream.set_nodelay(true)?;
        stream.set_read_timeout(Some(REPLY_TIMEOUT))?;
        Ok(RawClient::from_stream(stream))
    }

    /// A client on an open connection, of which no reply has been read.
    pub fn from_stream(stream: TcpStream) -> Self {
        RawClient(BufReader::new(stream))
    }

    /// The socket, for options and for reading and writing from different threads.
    pub fn stream(&self) -> &TcpStream {
        self.0.get_ref()
    }

    /// Writes these bytes.
    pub fn send(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.0.get_mut().write_all(bytes)
    }

    /// Ends the sending direction; replies can still be read.
    pub fn end_sending(&self) -> io::Result<()> {
        self.0.get_ref().shutdown(Shutdown::Write)
    }

    /// The next reply: a line with its sign, or the value of a bulk string. None once the connection has ended.
    pub fn read_reply(&mut self) -> io::Result<Option<String>> {
        let mut line = String::new();
        if self.0.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let Some(length) = line.strip_prefix('$').and_then(|text| text.trim_end().parse::<usize>().ok())
        else {
            return Ok(Some(line.trim_end().to_owned()));
        };
        let mut value = vec![0; length + 2];
        self.0.read_exact(&mut value)?;
        value.truncate(length);
        Ok(Some(String::from_utf8_lossy(&value).into_owned()))
    }
}

/// What became of the commands that were sent on a connection until it ended.
#[derive(Clone, Copy, Debug)]
pub struct SentUntilClosed {
    /// Commands that can't have crossed the end of the connection.
    pub sent_in_time: usize,
    /// Replies read.
    pub answered: usize,
}

/// Commands sent this shortly before a connection ended may have crossed its end.
const CROSSING_TIME: Duration = Duration::from_millis(50);

/// Sends the commands, one every `gap`, until the connection ends or there are no more; reads all replies meanwhile.
pub fn send_until_closed(
    mut client: RawClient, commands: impl Iterator<Item = Vec<u8>>, gap: Duration,
) -> io::Result<SentUntilClosed> {
    let mut reader = RawClient::from_stream(client.stream().try_clone()?);
    let reading = std::thread::spawn(move || {
        let mut answered = 0;
        while let Ok(Some(_)) = reader.read_reply() {
            answered += 1;
        }
        (answered, Instant::now())
    });
    let mut sent_at = Vec::new();
    for command in commands {
        if reading.is_finished() || client.send(&command).is_err() {
            break;
        }
        sent_at.push(Instant::now());
        std::thread::sleep(gap);
    }
    let (answered, ended_at) = reading.join().unwrap_or((0, Instant::now()));
    let sent_in_time = sent_at.iter().filter(|at| **at + CROSSING_TIME < ended_at).count();
    Ok(SentUntilClosed { sent_in_time, answered })
}

/// A hit of a test, with the id that its client gives it.
pub struct TestHit<'a> {
    pub id: String,
    pub group: &'a PathGroup,
    pub kind: HitKind,
}

impl TestHit<'_> {
    /// The command, as a client sends it.
    pub fn encode(&self) -> Vec<u8> {
        let key = u64::from_str_radix(&self.id, 16).unwrap_or(1);
        encode_hit(self.group, &self.id, key, key, &self.kind, false).0
    }

    /// Records with the checker that a client is about to send the hit.
    pub fn record_sent(&self, checker: &SharedChecker, clock: Clock) {
        let request = Request {
            group: self.kind.group,
            effect: self.group.effect,
            idempotency_key: None,
            client_timeout: Span::nanos(self.kind.client_timeout.as_nanos() as u64),
        };
        checker.lock().hit_sent(&self.id, request, clock.now());
    }

    /// Records the client's reply with the checker, and returns its outcome.
    pub fn record_reply(&self, checker: &SharedChecker, clock: Clock, reply: &str) -> Outcome {
        let outcome = match reply {
            text if text.starts_with(&self.id) => Outcome::Delivered,
            text if text.starts_with("-BUSY") => Outcome::Bounced,
            text if text.starts_with('-') => Outcome::Errored,
            _ => Outcome::WrongValue,
        };
        checker.lock().hit_answered(&self.id, outcome, clock.now());
        outcome
    }

    /// Records with the checker that the client left without a reply.
    pub fn record_left(&self, checker: &SharedChecker, clock: Clock) {
        checker.lock().client_left(&self.id, false, clock.now());
    }
}
