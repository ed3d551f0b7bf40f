//! Reading and writing messages on the stand-ins' side.

use crate::stage::Stream;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::io;
use stonescale_formats::resp::{ElementKind, MessageLimits, Scanner, write_bulk_string};

/// As much as the protocol page allows, and some more: what is too much is for the other side to find.
const BOUNDS: MessageLimits = MessageLimits {
    max_elements: 32,
    max_bulk_bytes: 1 << 20,
    max_line_bytes: 4096,
    max_message_bytes: 2 << 20,
};

/// A message as it was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// An array of bulk strings; a null one is empty.
    Array(Vec<Vec<u8>>),
    Bulk(Vec<u8>),
    Null,
    /// A line with its sign.
    Line(String),
}

/// The messages that come on one connection.
pub struct Messages {
    held: Vec<u8>,
    scanner: Scanner,
    scratch: Box<[u8]>,
}

impl Default for Messages {
    fn default() -> Self {
        Messages { held: Vec::new(), scanner: Scanner::new(BOUNDS), scratch: vec![0; 16 * 1024].into() }
    }
}

impl Messages {
    /// The next message; none at the connection's end, an error where it broke or its framing is lost.
    pub async fn next(&mut self, stream: &mut &Stream) -> io::Result<Option<Message>> {
        loop {
            if let Some(message) = self.whole()? {
                return Ok(Some(message));
            }
            match stream.read(&mut self.scratch).await? {
                0 => return Ok(None),
                n => self.held.extend_from_slice(&self.scratch[..n]),
            }
        }
    }

    /// A message that has come already.
    pub fn whole(&mut self) -> io::Result<Option<Message>> {
        if self.held.is_empty() {
            return Ok(None);
        }
        let bad = |why| io::Error::new(io::ErrorKind::InvalidData, why);
        let Some(length) = self.scanner.scan(&self.held).map_err(bad)? else { return Ok(None) };
        let text = |part: &stonescale_formats::resp::Element| self.held[part.payload.clone()].to_vec();
        let message = match (self.scanner.is_array, self.scanner.elements.first()) {
            (true, _) => Message::Array(self.scanner.elements.iter().map(text).collect()),
            (false, Some(part)) => match part.kind {
                ElementKind::BulkString => Message::Bulk(text(part)),
                ElementKind::Null => Message::Null,
                _ => Message::Line(String::from_utf8_lossy(&self.held[..length]).trim_end().to_owned()),
            },
            (false, None) => Message::Null,
        };
        self.scanner.reset();
        self.held.drain(..length);
        Ok(Some(message))
    }
}

/// A command of bulk strings.
pub fn command(words: &[&[u8]]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", words.len()).into_bytes();
    words.iter().for_each(|word| write_bulk_string(&mut out, word));
    out
}

/// Writes all of it.
pub async fn write(stream: &mut &Stream, bytes: &[u8]) -> io::Result<()> {
    stream.write_all(bytes).await
}

/// A value of the list `c=read,t=acme,d=480`.
pub fn field<'a>(list: &'a str, name: &str) -> Option<&'a str> {
    list.split(',').find_map(|item| item.split_once('=').filter(|(n, _)| *n == name).map(|(_, value)| value))
}
