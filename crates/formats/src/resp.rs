//! RESP2: one message at a time, an array of flat parts or a single part, found where it lies in the
//! bytes that came. Nothing is copied; what goes on unchanged is taken from those bytes.

use std::ops::Range;

/// Lines that state a kind and a number are short; longer ones are not RESP.
const HEADER: usize = 24;

/// How much one message may be.
#[derive(Clone, Copy, Debug)]
pub struct MessageLimits {
    pub max_elements: usize,
    pub max_bulk_bytes: usize,
    pub max_line_bytes: usize,
    pub max_message_bytes: usize,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ElementKind {
    BulkString,
    Null,
    SimpleString,
    Error,
    Integer,
}

/// One part: what it is, where all its bytes lie, and where its text does.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Element {
    pub kind: ElementKind,
    pub encoded: Range<usize>,
    pub payload: Range<usize>,
}

/// Finds the message that starts at the first byte, in as many calls as it takes to come.
#[derive(Debug)]
pub struct Scanner {
    bounds: MessageLimits,
    at: usize,
    /// Parts still to come; none before the first line was read.
    left: Option<usize>,
    /// Where the bulk string ends that is not whole yet.
    bulk_end: Option<usize>,
    pub is_array: bool,
    pub elements: Vec<Element>,
}

impl Scanner {
    pub fn new(bounds: MessageLimits) -> Self {
        Scanner { bounds, at: 0, left: None, bulk_end: None, is_array: false, elements: Vec::new() }
    }

    /// Makes ready for the next message.
    pub fn reset(&mut self) {
        (self.at, self.left, self.bulk_end, self.is_array) = (0, None, None, false);
        self.elements.clear();
    }

    /// Nothing of a message has been read yet.
    pub fn is_at_message_start(&self) -> bool {
        self.at == 0
    }

    /// How long the message must be at least, as far as a bulk string that is not whole yet tells, and whether it
    /// ends there.
    pub fn required_length(&self) -> Option<(usize, bool)> {
        self.bulk_end.map(|end| (end, self.left.unwrap_or(1) == 1))
    }

    /// The length of the message once it is whole; `bytes` are all that came since its start.
    pub fn scan(&mut self, bytes: &[u8]) -> Result<Option<usize>, &'static str> {
        while self.left != Some(0) {
            if !self.step(bytes)? {
                return if bytes.len() > self.bounds.max_message_bytes {
                    Err("message too long")
                } else {
                    Ok(None)
                };
            }
        }
        if self.at > self.bounds.max_message_bytes { Err("message too long") } else { Ok(Some(self.at)) }
    }

    /// Reads one line, with the bulk string that it heads; false where it is not whole yet.
    fn step(&mut self, bytes: &[u8]) -> Result<bool, &'static str> {
        let rest = bytes.get(self.at..).unwrap_or_default();
        let Some(&sign) = rest.first() else { return Ok(false) };
        let most = match sign {
            b'+' | b'-' => self.bounds.max_line_bytes,
            b'$' | b'*' | b':' => HEADER,
            _ => return Err("not a RESP type"),
        };
        let Some(end) = rest.iter().take(most).position(|b| *b == b'\r') else {
            return if rest.len() >= most { Err("line too long") } else { Ok(false) };
        };
        match rest.get(end + 1) {
            None => return Ok(false),
            Some(b'\n') => {}
            Some(_) => return Err("line not ended by CR LF"),
        }
        let (text, after) = (self.at + 1..self.at + end, self.at + end + 2);
        match sign {
            b'*' if self.left.is_some() => return Err("nested array"),
            b'*' => {
                let count = length(&bytes[text])?.ok_or("null array")?;
                if count > self.bounds.max_elements {
                    return Err("too many parts");
                }
                (self.left, self.is_array, self.at) = (Some(count), true, after);
                return Ok(true);
            }
            b'$' => match length(&bytes[text.clone()])? {
                None => self.part(ElementKind::Null, text, after),
                Some(size) if size > self.bounds.max_bulk_bytes => return Err("bulk string too long"),
                Some(size) => {
                    let (text, after) = (after..after + size, after + size + 2);
                    match bytes.get(text.end..after) {
                        None => {
                            self.bulk_end = Some(after);
                            return Ok(false);
                        }
                        Some(b"\r\n") => self.part(ElementKind::BulkString, text, after),
                        Some(_) => return Err("bulk string not ended by CR LF"),
                    }
                }
            },
            b'+' => self.part(ElementKind::SimpleString, text, after),
            b'-' => self.part(ElementKind::Error, text, after),
            _ => self.part(ElementKind::Integer, text, after),
        }
        Ok(true)
    }

    fn part(&mut self, kind: ElementKind, text: Range<usize>, after: usize) {
        self.elements.push(Element { kind, encoded: self.at..after, payload: text });
        (self.at, self.bulk_end) = (after, None);
        self.left = Some(self.left.unwrap_or(1).saturating_sub(1));
    }
}

/// A stated length; none for -1, which stands for null.
fn length(text: &[u8]) -> Result<Option<usize>, &'static str> {
    if text == b"-1" {
        return Ok(None);
    }
    let digits = !text.is_empty() && text.len() <= 9 && text.iter().all(u8::is_ascii_digit);
    let text = str::from_utf8(text).ok().filter(|_| digits);
    text.and_then(|t| t.parse().ok()).map(Some).ok_or("length is not a number")
}

pub fn write_bulk_string(out: &mut Vec<u8>, text: &[u8]) {
    out.extend_from_slice(format!("${}\r\n", text.len()).as_bytes());
    out.extend_from_slice(text);
    out.extend_from_slice(b"\r\n");
}

pub fn write_simple_string(out: &mut Vec<u8>, text: &str) {
    write_line(out, b'+', text);
}

pub fn write_error(out: &mut Vec<u8>, text: &str) {
    write_line(out, b'-', text);
}

/// Line ends within the text would end the answer early.
fn write_line(out: &mut Vec<u8>, sign: u8, text: &str) {
    out.push(sign);
    out.extend(text.bytes().map(|b| if b.is_ascii_control() { b' ' } else { b }));
    out.extend_from_slice(b"\r\n");
}
