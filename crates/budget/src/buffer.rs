//! A buffer of bytes, appended at its end and consumed at its front. Its capacity is charged before it grows, so that
//! what it really occupies is what the ledger knows of.

use crate::ledger::{Charge, Ledger, Refused};
use crate::purpose::Purpose;
use std::ops::Range;

/// The smallest capacity: most commands and answers fit.
pub const LEAST: usize = 512;
/// One part in so many that a block may occupy beyond its length.
const ROUNDING: usize = 8;

pub struct Buffer {
    bytes: Vec<u8>,
    /// Bytes at the front that are consumed.
    head: usize,
    /// Bytes of its capacity that are charged with what it belongs to: small messages never wait for room.
    own: usize,
    charge: Charge,
}

impl Buffer {
    /// An empty buffer, which holds nothing yet.
    pub fn new(ledger: &Ledger, purpose: Purpose) -> Self {
        Buffer { bytes: Vec::new(), head: 0, own: 0, charge: ledger.open(purpose) }
    }

    /// One whose first `LEAST` bytes are charged already, with the connection that it belongs to.
    pub fn with_own(ledger: &Ledger, purpose: Purpose) -> Self {
        Buffer { own: LEAST, ..Buffer::new(ledger, purpose) }
    }

    pub fn as_slice(&self) -> &[u8] {
        &self.bytes[self.head..]
    }

    pub fn len(&self) -> usize {
        self.bytes.len() - self.head
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Bytes that it occupies beyond its own.
    pub fn occupies(&self) -> usize {
        self.charge.bytes()
    }

    /// Bytes that can be appended without growing.
    pub fn spare(&self) -> usize {
        self.bytes.capacity() - self.len()
    }

    /// Makes sure that `more` bytes fit; refused, nothing changes.
    pub fn reserve(&mut self, more: usize) -> Result<(), Refused> {
        let wanted = self.len() + more;
        if self.bytes.len() + more <= self.bytes.capacity() {
            return Ok(());
        }
        if wanted > self.bytes.capacity() {
            // Doubling keeps the copying down; where there is no room for that, just what is needed will do.
            let roomy = wanted.max(2 * self.bytes.capacity()).max(LEAST);
            let roomy = self.charge.resize(roomy.saturating_sub(self.own)).map(|()| roomy);
            let size = match roomy {
                Ok(roomy) => roomy,
                Err(_) => self.charge.resize(wanted.saturating_sub(self.own)).map(|()| wanted)?,
            };
            let mut grown = Vec::with_capacity(size);
            grown.extend_from_slice(self.as_slice());
            self.bytes = grown;
        } else {
            self.bytes.drain(..self.head);
        }
        self.head = 0;
        Ok(())
    }

    /// Appends; refused, nothing changes.
    pub fn extend(&mut self, bytes: &[u8]) -> Result<(), Refused> {
        self.reserve(bytes.len())?;
        self.bytes.extend_from_slice(bytes);
        Ok(())
    }

    /// Drops `taken` bytes at the front; emptied, it gives back what is over `keep` bytes.
    pub fn consume(&mut self, taken: usize, keep: usize) {
        self.head += taken.min(self.len());
        if self.is_empty() {
            self.bytes.clear();
            self.head = 0;
            if self.bytes.capacity() > keep {
                self.release();
            }
        }
    }

    /// Gives back what an empty buffer occupies; returns how many bytes that were.
    pub fn release(&mut self) -> usize {
        if !self.is_empty() {
            return 0;
        }
        self.bytes = Vec::new();
        self.head = 0;
        let held = self.charge.bytes();
        // Shrinking is never refused.
        let _ = self.charge.resize(0);
        held
    }

    /// Takes the first `length` bytes out as a block that is charged to `to`; refused, nothing changes. A buffer that
    /// holds just these hands over its own memory; else they are copied, and counted twice while they stand twice.
    pub fn take(&mut self, length: usize, to: Purpose) -> Result<Block, Refused> {
        self.take_with(length, to, 0)
    }

    /// The same, with `more` bytes charged besides, for what is kept along with the block.
    pub fn take_with(&mut self, length: usize, to: Purpose, more: usize) -> Result<Block, Refused> {
        let length = length.min(self.len());
        let ledger = self.charge.ledger();
        let alone = length == self.len() && self.head == 0;
        if alone && self.bytes.capacity() - length <= length / ROUNDING {
            let (from, size) = (self.charge.purpose(), self.charge.bytes());
            self.charge.shift(to)?;
            if let Err(refused) = self.charge.resize(self.bytes.capacity() + more) {
                // Back to where it came from, with what it held there.
                self.charge.resize(size).and_then(|()| self.charge.shift(from))?;
                return Err(refused);
            }
            let charge = std::mem::replace(&mut self.charge, ledger.open(from));
            let bytes = std::mem::take(&mut self.bytes);
            return Ok(Block { range: 0..bytes.len(), bytes, charge });
        }
        let charge = ledger.charge(to, length + more)?;
        let bytes = self.as_slice()[..length].to_vec();
        self.consume(length, LEAST);
        Ok(Block { range: 0..length, bytes, charge })
    }
}

/// Bytes that do not change any more, and what they are charged to.
pub struct Block {
    bytes: Vec<u8>,
    /// Those that matter.
    range: Range<usize>,
    charge: Charge,
}

impl Block {
    /// A copy of `bytes`, if there is room for it.
    pub fn copy(ledger: &Ledger, purpose: Purpose, bytes: &[u8]) -> Result<Self, Refused> {
        let charge = ledger.charge(purpose, bytes.len())?;
        Ok(Block { bytes: bytes.to_vec(), range: 0..bytes.len(), charge })
    }

    pub fn as_slice(&self) -> &[u8] {
        &self.bytes[self.range.clone()]
    }

    /// Only these bytes of it matter from now on; what lies outside is passed over.
    pub fn narrow(&mut self, range: Range<usize>) {
        let (start, end) = (self.range.start, self.range.end);
        self.range = (start + range.start).min(end)..(start + range.end).min(end);
    }

    /// It is held for another purpose from now on; refused, it stays where it is.
    pub fn shift(&mut self, to: Purpose) -> Result<(), Refused> {
        self.charge.shift(to)
    }

    pub fn occupies(&self) -> usize {
        self.charge.bytes()
    }
}
