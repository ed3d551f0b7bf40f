//! RESP2 scanner and writers.
//!
//! The scanner handles one message at a time: a single element or an array of elements that are not arrays. It
//! copies nothing and reports where the elements are in the received bytes, so that a caller can forward those
//! bytes unchanged.

use std::ops::Range;

/// Longest line with a length, an element count or an integer; a longer one is not RESP. Counts the type byte and
/// the CR.
const MAX_NUMBER_LINE_BYTES: usize = 24;

/// Limits for one message.
#[derive(Clone, Copy, Debug)]
pub struct MessageLimits {
    /// Number of elements of an array; a larger count is an error as soon as the array's header has arrived.
    pub max_elements: usize,
    /// Length of the data of a bulk string.
    pub max_bulk_bytes: usize,
    /// Length of the line of a simple string or error, including the type byte and the CR.
    pub max_line_bytes: usize,
    /// Length of the whole encoded message.
    pub max_message_bytes: usize,
}

/// RESP2 type of an element.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ElementKind {
    /// String with a length prefix, `$`, which may contain any bytes.
    BulkString,
    /// Null bulk string, `$-1`.
    Null,
    /// Line of text, `+`.
    SimpleString,
    /// Line of text, `-`.
    Error,
    /// Line with a number, `:`. The scanner does not check its digits.
    Integer,
}

/// One element, as ranges of the scanned bytes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Element {
    pub kind: ElementKind,
    /// The whole encoding, from the type byte to the final CR LF.
    pub encoded: Range<usize>,
    /// The data of a bulk string, or the text of a line between its type byte and its CR LF.
    pub payload: Range<usize>,
}

/// Scans the message that starts at the first byte, over as many calls as it takes to arrive.
#[derive(Debug)]
pub struct Scanner {
    limits: MessageLimits,
    /// Offset of the first byte that has not been scanned.
    position: usize,
    /// Elements still to be scanned; `None` until the first array header or element has been scanned.
    remaining_elements: Option<usize>,
    /// Offset just past the CR LF of the bulk string whose data is incomplete.
    incomplete_bulk_end: Option<usize>,
    /// Whether the message is an array; known once its first line has been scanned.
    pub is_array: bool,
    /// The elements scanned so far.
    pub elements: Vec<Element>,
}

impl Scanner {
    /// Creates a scanner at the start of a message.
    pub fn new(limits: MessageLimits) -> Self {
        Scanner {
            limits,
            position: 0,
            remaining_elements: None,
            incomplete_bulk_end: None,
            is_array: false,
            elements: Vec::new(),
        }
    }

    /// Prepares for the next message, whose first byte then is at offset 0.
    pub fn reset(&mut self) {
        (self.position, self.remaining_elements, self.incomplete_bulk_end, self.is_array) =
            (0, None, None, false);
        self.elements.clear();
    }

    /// Returns whether nothing of the message has been scanned yet.
    pub fn is_at_message_start(&self) -> bool {
        self.position == 0
    }

    /// While a bulk string is incomplete, returns the length of the message up to that string's end, in bytes, and
    /// whether the message ends there.
    pub fn required_length(&self) -> Option<(usize, bool)> {
        self.incomplete_bulk_end.map(|end| (end, self.remaining_elements.unwrap_or(1) == 1))
    }

    /// Returns the length of the message in bytes once it is complete, `None` before. `bytes` is everything received
    /// since the start of the message.
    pub fn scan(&mut self, bytes: &[u8]) -> Result<Option<usize>, &'static str> {
        while self.remaining_elements != Some(0) {
            if !self.scan_next(bytes)? {
                return if bytes.len() > self.limits.max_message_bytes {
                    Err("message too long")
                } else {
                    Ok(None)
                };
            }
        }
        if self.position > self.limits.max_message_bytes {
            Err("message too long")
        } else {
            Ok(Some(self.position))
        }
    }

    /// Scans one array header or one element; returns false if its bytes are incomplete.
    fn scan_next(&mut self, bytes: &[u8]) -> Result<bool, &'static str> {
        let rest = bytes.get(self.position..).unwrap_or_default();
        let Some(&type_byte) = rest.first() else { return Ok(false) };
        let max_line_bytes = match type_byte {
            b'+' | b'-' => self.limits.max_line_bytes,
            b'$' | b'*' | b':' => MAX_NUMBER_LINE_BYTES,
            _ => return Err("unknown RESP type"),
        };
        let Some(cr) = rest.iter().take(max_line_bytes).position(|byte| *byte == b'\r') else {
            return if rest.len() >= max_line_bytes { Err("line too long") } else { Ok(false) };
        };
        match rest.get(cr + 1) {
            None => return Ok(false),
            Some(b'\n') => {}
            Some(_) => return Err("line not terminated by CR LF"),
        }
        let (text, after) = (self.position + 1..self.position + cr, self.position + cr + 2);
        match type_byte {
            b'*' if self.remaining_elements.is_some() => return Err("nested array"),
            b'*' => {
                let count = parse_length(&bytes[text])?.ok_or("null array")?;
                if count > self.limits.max_elements {
                    return Err("too many array elements");
                }
                (self.remaining_elements, self.is_array, self.position) = (Some(count), true, after);
                return Ok(true);
            }
            b'$' => match parse_length(&bytes[text.clone()])? {
                None => self.push_element(ElementKind::Null, text, after),
                Some(size) if size > self.limits.max_bulk_bytes => return Err("bulk string too long"),
                Some(size) => {
                    let (data, after) = (after..after + size, after + size + 2);
                    match bytes.get(data.end..after) {
                        None => {
                            self.incomplete_bulk_end = Some(after);
                            return Ok(false);
                        }
                        Some(b"\r\n") => self.push_element(ElementKind::BulkString, data, after),
                        Some(_) => return Err("bulk string not terminated by CR LF"),
                    }
                }
            },
            b'+' => self.push_element(ElementKind::SimpleString, text, after),
            b'-' => self.push_element(ElementKind::Error, text, after),
            _ => self.push_element(ElementKind::Integer, text, after),
        }
        Ok(true)
    }

    /// Adds an element that starts at the current position and ends at `after`.
    fn push_element(&mut self, kind: ElementKind, payload: Range<usize>, after: usize) {
        self.elements.push(Element { kind, encoded: self.position..after, payload });
        (self.position, self.incomplete_bulk_end) = (after, None);
        self.remaining_elements = Some(self.remaining_elements.unwrap_or(1).saturating_sub(1));
    }
}

/// Parses the length of a bulk string or the element count of an array; `None` for -1, which denotes null.
fn parse_length(text: &[u8]) -> Result<Option<usize>, &'static str> {
    if text == b"-1" {
        return Ok(None);
    }
    let is_number = !text.is_empty() && text.len() <= 9 && text.iter().all(u8::is_ascii_digit);
    let digits = str::from_utf8(text).ok().filter(|_| is_number);
    digits.and_then(|digits| digits.parse().ok()).map(Some).ok_or("length is not a valid number")
}

/// Appends a bulk string.
pub fn write_bulk_string(out: &mut Vec<u8>, data: &[u8]) {
    out.extend_from_slice(format!("${}\r\n", data.len()).as_bytes());
    out.extend_from_slice(data);
    out.extend_from_slice(b"\r\n");
}

/// Appends a simple string; control characters in `text` become spaces.
pub fn write_simple_string(out: &mut Vec<u8>, text: &str) {
    write_line(out, b'+', text);
}

/// Appends an error; control characters in `text` become spaces.
pub fn write_error(out: &mut Vec<u8>, text: &str) {
    write_line(out, b'-', text);
}

/// Replaces control characters, as a line end within the text would end the reply early.
fn write_line(out: &mut Vec<u8>, type_byte: u8, text: &str) {
    out.push(type_byte);
    out.extend(text.bytes().map(|byte| if byte.is_ascii_control() { b' ' } else { byte }));
    out.extend_from_slice(b"\r\n");
}
