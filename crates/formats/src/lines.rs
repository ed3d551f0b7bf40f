//! LineBuffer out of a stream of bytes, each at most so long.

use std::collections::VecDeque;

#[derive(Debug)]
pub struct LineBuffer {
    most: usize,
    held: VecDeque<u8>,
    /// Bytes known to hold no line end.
    searched: usize,
}

impl LineBuffer {
    pub fn new(most: usize) -> Self {
        LineBuffer { most, held: VecDeque::new(), searched: 0 }
    }

    /// Bytes that it occupies.
    pub fn allocated_bytes(&self) -> usize {
        self.held.capacity()
    }

    pub fn feed(&mut self, bytes: &[u8]) {
        self.held.extend(bytes);
    }

    /// The next whole line without its end; an error once one is longer than allowed.
    pub fn next_line(&mut self, line: &mut Vec<u8>) -> Result<bool, &'static str> {
        line.clear();
        let end = self.held.iter().skip(self.searched).position(|b| *b == b'\n').map(|at| at + self.searched);
        if end.unwrap_or(self.held.len()) > self.most {
            return Err("line too long");
        }
        let Some(end) = end else {
            self.searched = self.held.len();
            return Ok(false);
        };
        line.extend(self.held.drain(..=end));
        line.pop();
        if line.last() == Some(&b'\r') {
            line.pop();
        }
        self.searched = 0;
        // A long line must not be paid for by all the short ones after it.
        if self.held.len() < self.held.capacity() / 8 {
            self.held.shrink_to(4096);
        }
        Ok(true)
    }
}
