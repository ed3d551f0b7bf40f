//! Commands of clients: what a whole one asks for, and how it is passed on.

use std::ops::Range;
use stonescale::settings::Effect;
use stonescale::time::Span;
use stonescale_budget::buffer::Block;
use stonescale_formats::resp::{self, Element, MessageLimits};
use stonescale_site::WireNames;

/// A value or body holds at most 64 KiB, by the protocol page; the rest of a command is short.
pub const VALUE: usize = 64 * 1024;
pub const BOUNDS: MessageLimits = MessageLimits {
    max_elements: 16,
    max_bulk_bytes: VALUE,
    max_line_bytes: 512,
    max_message_bytes: VALUE + 4 * 1024,
};
/// No client waits longer than this.
const LONGEST_WAIT_MS: u64 = 600_000;

/// What a hit's command says, and where in it that stands.
pub struct Ask {
    /// The list of names and values, with its header, and where in it the wait stands.
    list: Element,
    wait: Range<usize>,
    pub group: usize,
    pub tenant: usize,
    pub key: u64,
    pub patience: Span,
    /// Where the id that the client gave it stands.
    id: Range<usize>,
}

/// A hit's command as it came; only the wait that it states changes from forward to forward.
pub struct Command {
    pub block: Block,
    pub ask: Ask,
}

impl Command {
    /// The id by which client, marshals and nodes know it.
    pub fn id(&self) -> std::borrow::Cow<'_, str> {
        String::from_utf8_lossy(&self.block.as_slice()[self.ask.id.clone()])
    }

    /// Hands the command to `write` in pieces, with `wait` as its stated wait.
    pub fn pieces<R>(&self, wait: Span, write: impl FnOnce(&[&[u8]]) -> R) -> R {
        let (bytes, Ask { list, wait: place, .. }) = (self.block.as_slice(), &self.ask);
        let wait = (wait.as_nanos() / 1_000_000).max(1).to_string();
        let header = format!("${}\r\n", list.payload.len() - place.len() + wait.len());
        write(&[
            &bytes[..list.encoded.start],
            header.as_bytes(),
            &bytes[list.payload.start..place.start],
            wait.as_bytes(),
            &bytes[place.end..],
        ])
    }
}

pub enum Request {
    Hit(Ask),
    /// It is answered at once.
    Other(Vec<u8>),
}

/// A hit's key as a number: as it stands where it is one, else mixed from its bytes; zero stands for none.
fn key_number(text: &[u8]) -> u64 {
    let number = str::from_utf8(text).ok().filter(|t| t.len() <= 16);
    let number = number.and_then(|t| u64::from_str_radix(t, 16).ok());
    // FNV-1a.
    let mix = |h: u64, b: &u8| (h ^ u64::from(*b)).wrapping_mul(0x0100_0000_01b3);
    number.unwrap_or_else(|| text.iter().fold(0xcbf2_9ce4_8422_2325, mix))
}

/// What a command asks for; an error says what is wrong with it.
pub fn understand(bytes: &[u8], parts: &[Element], names: &WireNames) -> Result<Request, String> {
    let word = |at: usize| parts.get(at).map(|p| &bytes[p.payload.clone()]).unwrap_or_default();
    let name = String::from_utf8_lossy(word(0)).to_ascii_uppercase();
    let plain = |text: &str| {
        let mut out = Vec::new();
        resp::write_simple_string(&mut out, text);
        Ok(Request::Other(out))
    };
    let repeatable = match name.as_str() {
        "PING" if parts.len() <= 1 => return plain("PONG"),
        "PING" => {
            let mut out = Vec::new();
            resp::write_bulk_string(&mut out, word(1));
            return Ok(Request::Other(out));
        }
        "CLIENT" | "SELECT" => return plain("OK"),
        "SVC.QUERY" if parts.len() == 4 => true,
        "SVC.SUBMIT" if parts.len() == 5 => false,
        "SVC.QUERY" | "SVC.SUBMIT" => return Err(format!("{name} with {} arguments", parts.len() - 1)),
        _ => return Err("unknown command".into()),
    };
    let ask = read_list(bytes, parts, names)?;
    let effect = names.groups[ask.group].effect;
    if repeatable != (effect == Effect::Repeatable) {
        return Err(format!("{name} does not serve the class in c"));
    }
    Ok(Request::Hit(ask))
}

/// What the third argument says; also of a command whose body has not come.
pub fn read_list(bytes: &[u8], parts: &[Element], names: &WireNames) -> Result<Ask, String> {
    let word = |at: usize| parts.get(at).map(|p| &bytes[p.payload.clone()]).unwrap_or_default();
    let list = parts.get(3).ok_or("no list of names and values")?;
    let (mut group, mut tenant, mut wait, mut tagged) = (None, None, None, false);
    let mut start = list.payload.start;
    for item in word(3).split(|b| *b == b',') {
        let (at, split) = (start, item.iter().position(|b| *b == b'=').unwrap_or(item.len()));
        start += item.len() + 1;
        let value = item.get(split + 1..).unwrap_or_default();
        let text = String::from_utf8_lossy(value);
        match &item[..split] {
            b"c" => {
                group = Some(names.groups.iter().position(|g| g.name == text).ok_or("unknown class in c")?)
            }
            b"t" if names.tenants.is_empty() => {}
            b"t" => {
                tenant = Some(names.tenants.iter().position(|t| *t == text).ok_or("unknown tenant in t")?)
            }
            b"d" => {
                let digits = value.iter().all(u8::is_ascii_digit);
                let ms = text.parse().ok().filter(|ms| digits && *ms <= LONGEST_WAIT_MS);
                wait = Some((ms.ok_or("d is not a wait in milliseconds")?, at + split + 1..at + item.len()));
            }
            b"k" if value.is_empty() => return Err("k is empty".into()),
            b"k" => tagged = true,
            _ => {}
        }
    }
    let group = group.ok_or("c is missing")?;
    let (ms, wait) = wait.ok_or("d is missing")?;
    let tenant = if names.tenants.is_empty() { 0 } else { tenant.ok_or("t is missing")? };
    if matches!(names.groups[group].effect, Effect::Tagged { .. }) && !tagged {
        return Err("k is missing".into());
    }
    let id = parts.get(2).map_or(0..0, |p| p.payload.clone());
    Ok(Ask {
        id,
        list: list.clone(),
        wait,
        group,
        tenant,
        key: key_number(word(1)),
        patience: Span::millis(ms),
    })
}

/// The answer to a bounced hit; `retry_in` is zero where no wait is named.
pub fn bounced(retry_in: Span) -> Vec<u8> {
    let mut answer = Vec::new();
    match retry_in.as_nanos().div_ceil(1_000_000) {
        0 => resp::write_error(&mut answer, "BUSY"),
        ms => resp::write_error(&mut answer, &format!("BUSY {ms}")),
    }
    answer
}

/// The answer to an errored hit.
pub fn errored() -> Vec<u8> {
    faulty("failed")
}

/// The answer to what is no lawful command.
pub fn faulty(why: &str) -> Vec<u8> {
    let mut answer = Vec::new();
    resp::write_error(&mut answer, &format!("ERR {why}"));
    answer
}
