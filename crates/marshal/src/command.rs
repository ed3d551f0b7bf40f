//! Parsing of client commands, and encoding of forwarded commands and of replies.

use std::ops::Range;
use stonescale::settings::Effect;
use stonescale::time::Span;
use stonescale_budget::buffer::Block;
use stonescale_formats::resp::{self, Element, MessageLimits};
use stonescale_site::WireNames;

/// The protocol page allows 64 KiB for a value or body; the rest of a command is short.
pub const MAX_VALUE_BYTES: usize = 64 * 1024;
/// Limits on the size of a client command.
pub const COMMAND_LIMITS: MessageLimits = MessageLimits {
    max_elements: 16,
    max_bulk_bytes: MAX_VALUE_BYTES,
    max_line_bytes: 512,
    max_message_bytes: MAX_VALUE_BYTES + 4 * 1024,
};
/// Longest wait that a client may state, in milliseconds.
const MAX_WAIT_MS: u64 = 600_000;
/// Longest id; the protocol's have 16 characters.
const MAX_ID_BYTES: usize = 64;
/// Most items of an attribute list.
const MAX_ATTRIBUTES: usize = 64;

/// The parsed arguments of a hit's command, with the positions of those needed for forwarding.
pub struct HitRequest {
    /// The attribute list argument with its length header, and the range of the stated wait within the
    /// command.
    attributes: Element,
    wait_range: Range<usize>,
    /// Index of the path group.
    pub group: usize,
    /// Index of the tenant; zero where no tenants are configured.
    pub tenant: usize,
    /// The key as a number.
    pub key: u64,
    /// How long the client waits for the reply.
    pub client_wait: Span,
    /// Whether the hit may run more than once.
    pub repeatable: bool,
    /// Range of the id assigned by the client.
    id_range: Range<usize>,
}

/// A hit's command as received; only the stated wait changes between forwards.
pub struct Command {
    /// The bytes as received; their memory charge also covers the records of the hit.
    pub block: Block,
    /// The parsed command, with ranges that refer to `block`.
    pub request: HitRequest,
}

impl Command {
    /// The id by which clients, marshals and nodes know the hit.
    pub fn id(&self) -> std::borrow::Cow<'_, str> {
        String::from_utf8_lossy(self.id_bytes())
    }

    /// The id as received.
    pub fn id_bytes(&self) -> &[u8] {
        &self.block.as_slice()[self.request.id_range.clone()]
    }

    /// Passes the command to `write` as slices, with `wait` in place of the wait that the client stated.
    pub fn with_pieces<R>(&self, wait: Span, write: impl FnOnce(&[&[u8]]) -> R) -> R {
        let (bytes, HitRequest { attributes, wait_range, .. }) = (self.block.as_slice(), &self.request);
        let wait = (wait.as_nanos() / 1_000_000).max(1).to_string();
        let header = format!("${}\r\n", attributes.payload.len() - wait_range.len() + wait.len());
        write(&[
            &bytes[..attributes.encoded.start],
            header.as_bytes(),
            &bytes[attributes.payload.start..wait_range.start],
            wait.as_bytes(),
            &bytes[wait_range.end..],
        ])
    }
}

/// A parsed command.
pub enum Request {
    /// A hit, to be forwarded to a node.
    Hit(HitRequest),
    /// A command answered at once, with its reply.
    Immediate(Vec<u8>),
}

/// Maps a hit's key to a number: a hex number of up to 16 digits to its value, any other text to its hash.
/// Zero means no key.
fn key_to_u64(text: &[u8]) -> u64 {
    let number = str::from_utf8(text).ok().filter(|t| t.len() <= 16);
    let number = number.and_then(|t| u64::from_str_radix(t, 16).ok());
    // FNV-1a.
    let fnv_step = |hash: u64, byte: &u8| (hash ^ u64::from(*byte)).wrapping_mul(0x0100_0000_01b3);
    number.unwrap_or_else(|| text.iter().fold(0xcbf2_9ce4_8422_2325, fnv_step))
}

/// Parses a command; the error says what is wrong with it.
pub fn parse_command(bytes: &[u8], elements: &[Element], names: &WireNames) -> Result<Request, String> {
    let argument = |index: usize| elements.get(index).map(|e| &bytes[e.payload.clone()]).unwrap_or_default();
    let name = String::from_utf8_lossy(argument(0)).to_ascii_uppercase();
    let simple_string = |text: &str| {
        let mut reply = Vec::new();
        resp::write_simple_string(&mut reply, text);
        Ok(Request::Immediate(reply))
    };
    let repeatable = match name.as_str() {
        "PING" if elements.len() <= 1 => return simple_string("PONG"),
        "PING" => {
            let mut reply = Vec::new();
            resp::write_bulk_string(&mut reply, argument(1));
            return Ok(Request::Immediate(reply));
        }
        "CLIENT" | "SELECT" => return simple_string("OK"),
        "SVC.QUERY" if elements.len() == 4 => true,
        "SVC.SUBMIT" if elements.len() == 5 => false,
        "SVC.QUERY" | "SVC.SUBMIT" => return Err(format!("{name} with {} arguments", elements.len() - 1)),
        _ => return Err("unknown command".into()),
    };
    let request = parse_attributes(bytes, elements, names)?;
    if repeatable != request.repeatable {
        return Err(format!("{name} does not serve the class in c"));
    }
    Ok(Request::Hit(request))
}

/// The attributes of a hit that have been read so far; each may stand in the list once.
#[derive(Default)]
struct Attributes {
    group: Option<usize>,
    tenant: Option<usize>,
    /// The wait in milliseconds, and its range within the command.
    wait: Option<(u64, Range<usize>)>,
    tagged: bool,
}

impl Attributes {
    /// Reads an item `name=value` whose value stands at `value_range` of the command; unknown names are ignored.
    fn read(
        &mut self, name: &[u8], value: &[u8], value_range: Range<usize>, names: &WireNames,
    ) -> Result<(), &'static str> {
        let text = String::from_utf8_lossy(value);
        match name {
            b"c" if self.group.is_some() => return Err("c is repeated"),
            b"c" => {
                let group = names.groups.iter().position(|g| g.name == text);
                self.group = Some(group.ok_or("unknown class in c")?);
            }
            b"t" if names.tenants.is_empty() => {}
            b"t" if self.tenant.is_some() => return Err("t is repeated"),
            b"t" => {
                let tenant = names.tenants.iter().position(|t| *t == text);
                self.tenant = Some(tenant.ok_or("unknown tenant in t")?);
            }
            b"d" if self.wait.is_some() => return Err("d is repeated"),
            b"d" => {
                let all_digits = value.iter().all(u8::is_ascii_digit);
                let ms = text.parse().ok().filter(|ms| all_digits && *ms <= MAX_WAIT_MS);
                self.wait = Some((ms.ok_or("d is not a wait in milliseconds")?, value_range));
            }
            b"k" if self.tagged => return Err("k is repeated"),
            b"k" if value.is_empty() => return Err("k is empty"),
            b"k" => self.tagged = true,
            _ => {}
        }
        Ok(())
    }
}

/// Checks the id that the client gave a hit: nodes and logs know the hit by it.
fn check_id(id: &[u8]) -> Result<(), &'static str> {
    if id.is_empty() {
        Err("id is empty")
    } else if id.len() > MAX_ID_BYTES {
        Err("id is too long")
    } else if !id.iter().all(u8::is_ascii_graphic) {
        Err("id has characters that are not printable")
    } else {
        Ok(())
    }
}

/// Parses the id and the attribute list, the second and third argument: `c` the class (path group), `t` the tenant, `d`
/// the wait in milliseconds, `k` the tag by which nodes drop repeats; others are ignored. Works also on a command whose
/// body has not been received.
pub fn parse_attributes(bytes: &[u8], elements: &[Element], names: &WireNames) -> Result<HitRequest, String> {
    let argument = |index: usize| elements.get(index).map(|e| &bytes[e.payload.clone()]).unwrap_or_default();
    let list = elements.get(3).ok_or("attribute list is missing")?;
    check_id(argument(2))?;
    let mut attributes = Attributes::default();
    let mut start = list.payload.start;
    for (index, item) in argument(3).split(|b| *b == b',').enumerate() {
        if index == MAX_ATTRIBUTES {
            return Err("too many attributes".into());
        }
        let separator = item.iter().position(|b| *b == b'=').unwrap_or(item.len());
        let value_start = (separator + 1).min(item.len());
        let value_range = start + value_start..start + item.len();
        attributes.read(&item[..separator], &item[value_start..], value_range, names)?;
        start += item.len() + 1;
    }
    let Attributes { group, tenant, wait, tagged } = attributes;
    let group = group.ok_or("c is missing")?;
    let (wait_ms, wait_range) = wait.ok_or("d is missing")?;
    let tenant = if names.tenants.is_empty() { 0 } else { tenant.ok_or("t is missing")? };
    let effect = names.groups[group].effect;
    if matches!(effect, Effect::Tagged { .. }) && !tagged {
        return Err("k is missing".into());
    }
    Ok(HitRequest {
        id_range: elements.get(2).map_or(0..0, |p| p.payload.clone()),
        attributes: list.clone(),
        wait_range,
        group,
        tenant,
        key: key_to_u64(argument(1)),
        client_wait: Span::millis(wait_ms),
        repeatable: effect == Effect::Repeatable,
    })
}

/// Reply to a bounced hit; with a zero `retry_after` it states no retry-after time.
pub fn bounced_reply(retry_after: Span) -> Vec<u8> {
    let mut reply = Vec::new();
    match retry_after.as_nanos().div_ceil(1_000_000) {
        0 => resp::write_error(&mut reply, "BUSY"),
        ms => resp::write_error(&mut reply, &format!("BUSY {ms}")),
    }
    reply
}

/// Reply to an errored hit.
pub fn errored_reply() -> Vec<u8> {
    error_reply("failed")
}

/// Reply to an invalid command.
pub fn error_reply(message: &str) -> Vec<u8> {
    let mut reply = Vec::new();
    resp::write_error(&mut reply, &format!("ERR {message}"));
    reply
}
