//! The reply to a batch: the decision module's calls, encoded as records.

use stonescale::host::{Host, Verdict};
use stonescale::time::Span;

const HEADER_BYTES: usize = 8;
/// Longest timer that the simulator accepts: 71 minutes.
const MAX_TIMER: Span = Span::millis(71 * 60 * 1_000);

/// A reply under construction.
#[derive(Default)]
pub struct Reply {
    /// The instance whose calls are being recorded.
    pub marshal_id: u32,
    record_count: u32,
    bytes: Vec<u8>,
}

impl Reply {
    /// Starts a new reply with room for its header; required before the first one too.
    pub fn clear(&mut self) {
        self.record_count = 0;
        self.bytes.clear();
        self.bytes.extend([0; HEADER_BYTES]);
    }

    /// Fills in the header and returns the bytes of the whole reply.
    pub fn finish(&mut self) -> &[u8] {
        let length = self.bytes.len() as u32;
        self.bytes[..4].copy_from_slice(&length.to_le_bytes());
        self.bytes[4..HEADER_BYTES].copy_from_slice(&self.record_count.to_le_bytes());
        &self.bytes
    }

    /// Appends a record with the instance id and the given fields.
    fn record(&mut self, code: u16, fields: &[&[u8]]) {
        self.record_count += 1;
        let length = 4 + fields.iter().map(|field| field.len()).sum::<usize>();
        self.bytes.extend(code.to_le_bytes());
        self.bytes.extend((length as u32).to_le_bytes());
        self.bytes.extend(self.marshal_id.to_le_bytes());
        for field in fields {
            self.bytes.extend_from_slice(field);
        }
    }
}

impl Host for Reply {
    fn forward(&mut self, hit: u32, node: u64, timeout: Span) {
        let timeout_ns = timeout.as_nanos().max(1).to_le_bytes();
        self.record(1000, &[&hit.to_le_bytes(), &node.to_le_bytes()[..6], &timeout_ns]);
    }

    fn bounce(&mut self, hit: u32, retry_after: Span) {
        self.record(1010, &[&hit.to_le_bytes(), &retry_after.as_nanos().to_le_bytes()]);
    }

    fn error(&mut self, hit: u32) {
        self.record(1020, &[&hit.to_le_bytes()]);
    }

    fn cancel(&mut self, hit: u32, hop: u8) {
        self.record(1030, &[&hit.to_le_bytes(), &[hop]]);
    }

    fn vote(&mut self, build: u16, stage: u8, verdict: Verdict) {
        let mark = match verdict {
            Verdict::None => 0,
            Verdict::On => 1,
            Verdict::Hold => 2,
            Verdict::Back => 3,
        };
        self.record(1120, &[&build.to_le_bytes(), &[stage, mark]]);
    }

    fn watch(&mut self, on: bool) {
        self.record(1100, &[&[u8::from(on)]]);
    }

    fn set_timer(&mut self, delay: Span, token: u64) {
        let delay_ns = delay.min(MAX_TIMER).as_nanos();
        self.record(1040, &[&delay_ns.to_le_bytes(), &token.to_le_bytes()]);
    }

    fn log(&mut self, text: &str) {
        let end = text.floor_char_boundary(text.len().min(usize::from(u16::MAX)));
        self.record(1080, &[&(end as u16).to_le_bytes(), &text.as_bytes()[..end]]);
    }
}
