//! Decoder of the simulator's batches: a header, then records, each with a code, a length and fields.

use std::io::{ErrorKind, Read};
use stonescale::time::Time;

const HEADER_BYTES: usize = 16;
const RECORD_HEADER_BYTES: usize = 6;
/// A longer batch is rejected as corrupt.
const MAX_BATCH_BYTES: usize = 1 << 30;

/// Reads the records of the next batch into `body` and returns their number and the simulated time; `None` if the
/// input ends between two batches. Errors name the part of the batch that cannot be read.
pub fn read_batch(input: &mut impl Read, body: &mut Vec<u8>) -> Result<Option<(u32, Time)>, String> {
    let mut header = [0; HEADER_BYTES];
    let mut received = 0;
    while received < HEADER_BYTES {
        match input.read(&mut header[received..]) {
            Ok(0) if received == 0 => return Ok(None),
            Ok(0) => return Err(format!("batch: header cut off after {received} of {HEADER_BYTES} bytes")),
            Ok(n) => received += n,
            Err(e) if e.kind() == ErrorKind::Interrupted => {}
            Err(e) => return Err(format!("batch: header: {e}")),
        }
    }
    let mut fields = Fields::new(&header);
    fields.set_record_name("batch");
    let count = fields.u32("record count")?;
    let length = fields.u32("length")? as usize;
    let now = Time::at(fields.u64("clock")?);
    if !(HEADER_BYTES..=MAX_BATCH_BYTES).contains(&length) {
        return Err(format!("batch: length: {length} bytes is not a valid batch length"));
    }
    body.clear();
    let expected = (length - HEADER_BYTES) as u64;
    let received = input.take(expected).read_to_end(body).map_err(|e| format!("batch: records: {e}"))? as u64;
    if received < expected {
        return Err(format!("batch: records: cut off after {received} of {expected} bytes"));
    }
    Ok(Some((count, now)))
}

/// Iterator over the records of a batch, as code and fields. It ends after the first malformed record.
pub struct Batch<'a> {
    remaining: u32,
    rest: &'a [u8],
}

impl<'a> Batch<'a> {
    pub fn new(count: u32, rest: &'a [u8]) -> Self {
        Batch { remaining: count, rest }
    }
}

impl<'a> Iterator for Batch<'a> {
    type Item = Result<(u16, Fields<'a>), String>;

    fn next(&mut self) -> Option<Self::Item> {
        self.remaining = self.remaining.checked_sub(1)?;
        let mut header = Fields::new(self.rest);
        header.set_record_name("record");
        let mut read = || {
            let code = header.u16("code")?;
            let length = header.u32("length")? as usize;
            let fields = header.bytes("fields", length)?;
            Ok((code, fields))
        };
        Some(match read() {
            Ok((code, fields)) => {
                self.rest = &self.rest[RECORD_HEADER_BYTES + fields.len()..];
                Ok((code, Fields::new(fields)))
            }
            Err(error) => {
                self.remaining = 0;
                Err(error)
            }
        })
    }
}

/// Reads the fields of one record in order; numbers are little-endian. Bytes after the last field read are skipped, so
/// that records may grow. Errors name the record and the field.
pub struct Fields<'a> {
    pub record_name: &'static str,
    rest: &'a [u8],
}

impl<'a> Fields<'a> {
    pub fn new(rest: &'a [u8]) -> Self {
        Fields { record_name: "record", rest }
    }

    pub fn set_record_name(&mut self, record_name: &'static str) {
        self.record_name = record_name;
    }

    pub fn bytes(&mut self, field: &str, length: usize) -> Result<&'a [u8], String> {
        let (taken, rest) = self.rest.split_at_checked(length).ok_or_else(|| {
            format!(
                "{}: {field}: needs {length} bytes, the record has {} left",
                self.record_name,
                self.rest.len()
            )
        })?;
        self.rest = rest;
        Ok(taken)
    }

    fn array<const N: usize>(&mut self, field: &str) -> Result<[u8; N], String> {
        let mut array = [0; N];
        array.copy_from_slice(self.bytes(field, N)?);
        Ok(array)
    }

    pub fn u8(&mut self, field: &str) -> Result<u8, String> {
        self.array::<1>(field).map(|[byte]| byte)
    }

    pub fn u16(&mut self, field: &str) -> Result<u16, String> {
        self.array(field).map(u16::from_le_bytes)
    }

    pub fn u32(&mut self, field: &str) -> Result<u32, String> {
        self.array(field).map(u32::from_le_bytes)
    }

    pub fn u64(&mut self, field: &str) -> Result<u64, String> {
        self.array(field).map(u64::from_le_bytes)
    }

    pub fn f32(&mut self, field: &str) -> Result<f32, String> {
        self.array(field).map(f32::from_le_bytes)
    }

    /// Reads a node id: four bytes of address and two of port, taken as one little-endian number.
    pub fn node(&mut self, field: &str) -> Result<u64, String> {
        let [a, b, c, d, e, f] = self.array(field)?;
        Ok(u64::from_le_bytes([a, b, c, d, e, f, 0, 0]))
    }
}
