//! What a whole message of a node says of the forward that it answers.

use crate::endings::EndReason;
use std::ops::Range;
use stonescale_formats::resp::{ElementKind, Scanner};
use tracing::warn;

/// Maps the message that `scanner` has scanned in `bytes` to the end of its forward, with the range of the encoded value
/// if there is one. An error says why it is no reply of the protocol.
pub fn classify(scanner: &Scanner, bytes: &[u8]) -> Result<(EndReason, Range<usize>), &'static str> {
    let first = scanner.elements.first().ok_or("empty array")?;
    let payload = &bytes[first.payload.clone()];
    let reason = match (scanner.is_array, first.kind) {
        // The load report and the null that may follow are skipped.
        (true, ElementKind::BulkString) => EndReason::Served,
        (false, ElementKind::Error) if !is_known_error(payload) => return Err("unrecognized error line"),
        (false, ElementKind::Error) if payload.starts_with(b"BUSY") => EndReason::SaidBusy,
        (false, ElementKind::Error) => EndReason::SaidFailed,
        _ => return Err("neither a value nor an error"),
    };
    if reason == EndReason::SaidFailed && payload.starts_with(b"SYNTAX") {
        warn!("node rejected a forward as malformed");
    }
    Ok((reason, first.encoded.clone()))
}

/// Whether an error line has one of the protocol's forms: `ERR failed`, `BUSY` or `BUSY MS`, each with an optional load
/// report, or `SYNTAX`. A line that lost its terminator runs on into what follows; taken for an error, it would hide
/// that. Nodes that word their errors differently are harmed by this check: each such error costs a connection, and
/// counts as a failed one.
fn is_known_error(line: &[u8]) -> bool {
    let mut words = line.split(|b| *b == b' ');
    let head = match words.next() {
        Some(b"ERR") => words.next() == Some(b"failed"),
        Some(b"BUSY") => true,
        Some(b"SYNTAX") => return true,
        _ => false,
    };
    // `inflight=7,queue=2,util=0.61`, or a number.
    let is_plain = |b: &u8| b.is_ascii_alphanumeric() || b"._-".contains(b);
    let is_item = |item: &[u8]| {
        let mut sides = item.split(|b| *b == b'=');
        sides.clone().count() <= 2 && sides.all(|side| !side.is_empty() && side.iter().all(is_plain))
    };
    let is_number_or_load = |word: &[u8]| word.contains(&b'=') || word.iter().all(u8::is_ascii_digit);
    head && words.all(|word| is_number_or_load(word) && word.split(|b| *b == b',').all(is_item))
}
