//! A byte buffer that is appended to at its end and consumed at its front. Its capacity is charged before it grows,
//! so that the ledger knows what the buffer really allocates.

use crate::ledger::{BudgetExceeded, Charge, Ledger};
use crate::purpose::Purpose;
use std::ops::Range;

pub use crate::sizes::MIN_CAPACITY_BYTES;
/// A buffer becomes a block without a copy only if its unused capacity is at most its length divided by this.
const MAX_UNUSED_DIVISOR: usize = 8;

/// A byte buffer whose capacity is charged to one purpose.
pub struct Buffer {
    bytes: Vec<u8>,
    /// Number of bytes at the front that are consumed.
    consumed: usize,
    /// Bytes of the capacity that are charged with the owner of the buffer: small messages never wait for memory.
    prepaid: usize,
    charge: Charge,
}

impl Buffer {
    /// An empty buffer without capacity.
    pub fn new(ledger: &Ledger, purpose: Purpose) -> Self {
        Buffer { bytes: Vec::new(), consumed: 0, prepaid: 0, charge: ledger.empty_charge(purpose) }
    }

    /// An empty buffer whose first `MIN_CAPACITY_BYTES` are charged already, with the connection that owns it.
    pub fn with_prepaid(ledger: &Ledger, purpose: Purpose) -> Self {
        Buffer { prepaid: MIN_CAPACITY_BYTES, ..Buffer::new(ledger, purpose) }
    }

    /// The bytes that are not consumed yet.
    pub fn as_slice(&self) -> &[u8] {
        &self.bytes[self.consumed..]
    }

    /// Number of bytes that are not consumed yet.
    pub fn len(&self) -> usize {
        self.bytes.len() - self.consumed
    }

    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Bytes that are charged for it, besides the prepaid ones.
    pub fn charged_bytes(&self) -> usize {
        self.charge.bytes()
    }

    /// Bytes that can be appended without growing.
    pub fn spare_capacity(&self) -> usize {
        self.bytes.capacity() - self.len()
    }

    /// Ensures that `additional` bytes fit; on failure nothing changes.
    pub fn reserve(&mut self, additional: usize) -> Result<(), BudgetExceeded> {
        let required = self.len() + additional;
        if self.bytes.len() + additional <= self.bytes.capacity() {
            return Ok(());
        }
        if required > self.bytes.capacity() {
            // Doubles the capacity to limit copying; falls back to the required size if that is not available.
            let doubled = required.max(2 * self.bytes.capacity()).max(MIN_CAPACITY_BYTES);
            let doubled = self.charge.resize(doubled.saturating_sub(self.prepaid)).map(|()| doubled);
            let capacity = match doubled {
                Ok(doubled) => doubled,
                Err(_) => self.charge.resize(required.saturating_sub(self.prepaid)).map(|()| required)?,
            };
            let mut grown = Vec::with_capacity(capacity);
            grown.extend_from_slice(self.as_slice());
            self.bytes = grown;
        } else {
            self.bytes.drain(..self.consumed);
        }
        self.consumed = 0;
        Ok(())
    }

    /// Appends `bytes`; on failure nothing changes.
    pub fn extend(&mut self, bytes: &[u8]) -> Result<(), BudgetExceeded> {
        self.reserve(bytes.len())?;
        self.bytes.extend_from_slice(bytes);
        Ok(())
    }

    /// Removes `count` bytes at the front. If that empties the buffer, a capacity over `max_retained` bytes is
    /// released.
    pub fn consume(&mut self, count: usize, max_retained: usize) {
        self.consumed += count.min(self.len());
        if self.is_empty() {
            self.bytes.clear();
            self.consumed = 0;
            if self.bytes.capacity() > max_retained {
                self.release();
            }
        }
    }

    /// Removes the bytes in this range of those that are not consumed yet.
    pub fn remove(&mut self, range: Range<usize>) {
        let (start, end) = (range.start.min(self.len()), range.end.min(self.len()));
        self.bytes.drain(self.consumed + start..self.consumed + end.max(start));
        if self.is_empty() {
            self.consume(0, 0);
        }
    }

    /// Releases the capacity of an empty buffer; returns the number of bytes that were charged for it.
    pub fn release(&mut self) -> usize {
        if !self.is_empty() {
            return 0;
        }
        self.bytes = Vec::new();
        self.consumed = 0;
        let charged = self.charge.bytes();
        // Shrinking always succeeds.
        let _ = self.charge.resize(0);
        charged
    }

    /// Removes the first `length` bytes as a block that is charged to `to`; on failure nothing changes. A buffer
    /// that holds exactly these bytes and little unused capacity hands over its memory; otherwise they are copied, and
    /// charged twice while both copies exist.
    pub fn take_block(&mut self, length: usize, to: Purpose) -> Result<Block, BudgetExceeded> {
        self.take_block_with_extra(length, to, 0)
    }

    /// Like `take_block`, with `extra` bytes charged in addition, for what is kept along with the block.
    pub fn take_block_with_extra(
        &mut self, length: usize, to: Purpose, extra: usize,
    ) -> Result<Block, BudgetExceeded> {
        let length = length.min(self.len());
        let ledger = self.charge.ledger();
        let whole_buffer = length == self.len() && self.consumed == 0;
        if whole_buffer && self.bytes.capacity() - length <= length / MAX_UNUSED_DIVISOR {
            let (from, charged) = (self.charge.purpose(), self.charge.bytes());
            self.charge.transfer(to)?;
            if let Err(error) = self.charge.resize(self.bytes.capacity() + extra) {
                // Restores the charge at the old purpose with its old size.
                self.charge.resize(charged).and_then(|()| self.charge.transfer(from))?;
                return Err(error);
            }
            let charge = std::mem::replace(&mut self.charge, ledger.empty_charge(from));
            let bytes = std::mem::take(&mut self.bytes);
            return Ok(Block { range: 0..bytes.len(), bytes, charge });
        }
        let charge = ledger.charge(to, length + extra)?;
        let bytes = self.as_slice()[..length].to_vec();
        self.consume(length, MIN_CAPACITY_BYTES);
        Ok(Block { range: 0..length, bytes, charge })
    }
}

/// Immutable bytes with their charge.
pub struct Block {
    bytes: Vec<u8>,
    /// The part of `bytes` that is visible.
    range: Range<usize>,
    charge: Charge,
}

impl Block {
    /// A copy of `bytes`, if they can be charged to the purpose.
    pub fn copy(ledger: &Ledger, purpose: Purpose, bytes: &[u8]) -> Result<Self, BudgetExceeded> {
        let charge = ledger.charge(purpose, bytes.len())?;
        Ok(Block { bytes: bytes.to_vec(), range: 0..bytes.len(), charge })
    }

    /// The bytes of the current range; see [`Block::narrow`].
    pub fn as_slice(&self) -> &[u8] {
        &self.bytes[self.range.clone()]
    }

    /// Restricts the block to a range within its current one; the rest of its memory stays charged.
    pub fn narrow(&mut self, range: Range<usize>) {
        let (start, end) = (self.range.start, self.range.end);
        self.range = (start + range.start).min(end)..(start + range.end).min(end);
    }

    /// Moves the charge to another purpose; on failure it stays where it is.
    pub fn transfer(&mut self, to: Purpose) -> Result<(), BudgetExceeded> {
        self.charge.transfer(to)
    }

    /// Bytes that are charged for it.
    pub fn charged_bytes(&self) -> usize {
        self.charge.bytes()
    }
}
