//! Reads and writes RESP messages for the stand-ins.

use crate::runtime::Stream;
use futures_lite::{AsyncReadExt, AsyncWriteExt};
use std::io;
use stonescale_formats::resp::{ElementKind, MessageLimits, Scanner, write_bulk_string};

/// Larger than the limits of the protocol page, so that the marshal is the one to reject a message that is too large.
const READ_LIMITS: MessageLimits = MessageLimits {
    max_elements: 32,
    max_bulk_bytes: 1 << 20,
    max_line_bytes: 4096,
    max_message_bytes: 2 << 20,
};

/// A message as received.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Message {
    /// An array of bulk strings; a null string is empty.
    Array(Vec<Vec<u8>>),
    /// A bulk string that is not part of an array.
    Bulk(Vec<u8>),
    /// A null bulk string that is not part of an array.
    Null,
    /// A simple string or an error line, with its leading sign.
    Line(String),
}

/// Reads the messages of one connection.
pub struct MessageReader {
    buffer: Vec<u8>,
    scanner: Scanner,
    scratch: Box<[u8]>,
}

impl Default for MessageReader {
    fn default() -> Self {
        MessageReader {
            buffer: Vec::new(),
            scanner: Scanner::new(READ_LIMITS),
            scratch: vec![0; 16 * 1024].into(),
        }
    }
}

impl MessageReader {
    /// The next message; none at the end of the connection, an error if the connection or its framing is broken.
    pub async fn next(&mut self, stream: &mut &Stream) -> io::Result<Option<Message>> {
        loop {
            if let Some(message) = self.parse_buffered()? {
                return Ok(Some(message));
            }
            match stream.read(&mut self.scratch).await? {
                0 => return Ok(None),
                count => self.buffer.extend_from_slice(&self.scratch[..count]),
            }
        }
    }

    /// A message that is already whole in the buffer, if there is one.
    pub fn parse_buffered(&mut self) -> io::Result<Option<Message>> {
        if self.buffer.is_empty() {
            return Ok(None);
        }
        let invalid = |error| io::Error::new(io::ErrorKind::InvalidData, error);
        let Some(length) = self.scanner.scan(&self.buffer).map_err(invalid)? else { return Ok(None) };
        let payload =
            |element: &stonescale_formats::resp::Element| self.buffer[element.payload.clone()].to_vec();
        let message = match (self.scanner.is_array, self.scanner.elements.first()) {
            (true, _) => Message::Array(self.scanner.elements.iter().map(payload).collect()),
            (false, Some(element)) => match element.kind {
                ElementKind::BulkString => Message::Bulk(payload(element)),
                ElementKind::Null => Message::Null,
                _ => Message::Line(String::from_utf8_lossy(&self.buffer[..length]).trim_end().to_owned()),
            },
            (false, None) => Message::Null,
        };
        self.scanner.reset();
        self.buffer.drain(..length);
        Ok(Some(message))
    }
}

/// Encodes a command as an array of bulk strings.
pub fn encode_command(arguments: &[&[u8]]) -> Vec<u8> {
    let mut out = format!("*{}\r\n", arguments.len()).into_bytes();
    arguments.iter().for_each(|argument| write_bulk_string(&mut out, argument));
    out
}

/// Writes all bytes.
pub async fn write(stream: &mut &Stream, bytes: &[u8]) -> io::Result<()> {
    stream.write_all(bytes).await
}

/// Value of a field in a list such as `c=read,t=acme,d=480`.
pub fn list_value<'a>(list: &'a str, name: &str) -> Option<&'a str> {
    list.split(',').find_map(|item| item.split_once('=').filter(|(n, _)| *n == name).map(|(_, value)| value))
}
