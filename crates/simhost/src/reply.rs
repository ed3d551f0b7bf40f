//! The reply to a batch: the module's calls, written as records.

use stonescale::host::{Host, Verdict};
use stonescale::time::Span;

const HEADER: usize = 8;
/// The wire takes no longer timer than this: 71 minutes.
const LONGEST_WAIT: Span = Span::millis(71 * 60 * 1_000);

/// One reply in the making, and whose calls go into it now.
#[derive(Default)]
pub struct Reply {
    pub marshal: u32,
    records: u32,
    bytes: Vec<u8>,
}

impl Reply {
    pub fn clear(&mut self) {
        self.records = 0;
        self.bytes.clear();
        self.bytes.extend([0; HEADER]);
    }

    pub fn finish(&mut self) -> &[u8] {
        let length = self.bytes.len() as u32;
        self.bytes[..4].copy_from_slice(&length.to_le_bytes());
        self.bytes[4..HEADER].copy_from_slice(&self.records.to_le_bytes());
        &self.bytes
    }

    fn record(&mut self, code: u16, fields: &[&[u8]]) {
        self.records += 1;
        let length = 4 + fields.iter().map(|f| f.len()).sum::<usize>();
        self.bytes.extend(code.to_le_bytes());
        self.bytes.extend((length as u32).to_le_bytes());
        self.bytes.extend(self.marshal.to_le_bytes());
        for field in fields {
            self.bytes.extend_from_slice(field);
        }
    }
}

impl Host for Reply {
    fn forward(&mut self, hit: u32, node: u64, timeout: Span) {
        let wait = timeout.as_nanos().max(1).to_le_bytes();
        self.record(1000, &[&hit.to_le_bytes(), &node.to_le_bytes()[..6], &wait]);
    }

    fn bounce(&mut self, hit: u32, retry_in: Span) {
        self.record(1010, &[&hit.to_le_bytes(), &retry_in.as_nanos().to_le_bytes()]);
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

    fn fetch(&mut self) {
        self.record(1110, &[]);
    }

    fn set_timer(&mut self, wait: Span, token: u64) {
        let wait = wait.min(LONGEST_WAIT).as_nanos();
        self.record(1040, &[&wait.to_le_bytes(), &token.to_le_bytes()]);
    }

    fn log(&mut self, text: &str) {
        let end = text.floor_char_boundary(text.len().min(usize::from(u16::MAX)));
        self.record(1080, &[&(end as u16).to_le_bytes(), &text.as_bytes()[..end]]);
    }
}
