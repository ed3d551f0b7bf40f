//! Splits a byte stream into lines of bounded length.

use std::collections::VecDeque;

/// Buffers received bytes and returns them line by line.
#[derive(Debug)]
pub struct LineBuffer {
    max_line_bytes: usize,
    buffered: VecDeque<u8>,
    /// Length of the prefix of `buffered` that is known to contain no LF.
    searched_bytes: usize,
}

impl LineBuffer {
    /// Creates an empty buffer; a line may have `max_line_bytes`, including a CR but not the LF.
    pub fn new(max_line_bytes: usize) -> Self {
        LineBuffer { max_line_bytes, buffered: VecDeque::new(), searched_bytes: 0 }
    }

    /// Heap memory in use, in bytes.
    pub fn allocated_bytes(&self) -> usize {
        self.buffered.capacity()
    }

    /// Appends received bytes.
    pub fn feed(&mut self, bytes: &[u8]) {
        self.buffered.extend(bytes);
    }

    /// Stores the next complete line, without its LF or CR LF, in `line`. Returns false if no complete line is
    /// buffered, and an error once a line exceeds the limit.
    pub fn next_line(&mut self, line: &mut Vec<u8>) -> Result<bool, &'static str> {
        line.clear();
        let end = self
            .buffered
            .iter()
            .skip(self.searched_bytes)
            .position(|byte| *byte == b'\n')
            .map(|offset| offset + self.searched_bytes);
        if end.unwrap_or(self.buffered.len()) > self.max_line_bytes {
            return Err("line too long");
        }
        let Some(end) = end else {
            self.searched_bytes = self.buffered.len();
            return Ok(false);
        };
        line.extend(self.buffered.drain(..=end));
        line.pop();
        if line.last() == Some(&b'\r') {
            line.pop();
        }
        self.searched_bytes = 0;
        // Releases the memory of a long line, so that it isn't kept for the short lines that follow.
        if self.buffered.len() < self.buffered.capacity() / 8 {
            self.buffered.shrink_to(4096);
        }
        Ok(true)
    }
}
