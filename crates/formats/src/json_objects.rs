//! Puts together JSON objects that come one to a line or indented over several lines, with empty lines between them.

/// What a line brought.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Progress {
    /// Nothing: it is empty, and no object has begun.
    Empty,
    /// A part of an object that goes on.
    Partial,
    /// The end of an object, whose text is in [`ObjectAssembler::text`].
    Complete,
}

/// Collects the lines of an object until its brackets are closed. Whether the text is sound is left to the parser: what
/// does not begin with a bracket is complete at the end of its line.
#[derive(Debug, Default)]
pub struct ObjectAssembler {
    max_bytes: usize,
    text: Vec<u8>,
    /// The text is complete: the next line begins another object.
    complete: bool,
    /// Brackets that are open.
    depth: usize,
}

impl ObjectAssembler {
    /// An object may have `max_bytes` without line ends.
    pub fn new(max_bytes: usize) -> Self {
        ObjectAssembler { max_bytes, ..ObjectAssembler::default() }
    }

    /// The lines of the object collected so far, without their line ends.
    pub fn text(&self) -> &[u8] {
        &self.text
    }

    /// Heap memory in use, in bytes.
    pub fn allocated_bytes(&self) -> usize {
        self.text.capacity()
    }

    /// Frees the memory of a complete object of more than `kept_bytes`.
    pub fn release_complete(&mut self, kept_bytes: usize) {
        if self.complete && self.text.capacity() > kept_bytes {
            (self.text, self.complete) = (Vec::new(), false);
        }
    }

    /// Adds a line without its line end, and takes its buffer where it can. An error says why the text can't become an object: an empty line within one
    /// shows that its end was lost.
    pub fn push_line(&mut self, line: &mut Vec<u8>) -> Result<Progress, &'static str> {
        if std::mem::take(&mut self.complete) {
            self.text.clear();
        }
        if line.trim_ascii().is_empty() {
            return if self.text.is_empty() {
                Ok(Progress::Empty)
            } else {
                Err("empty line within an object")
            };
        }
        if self.text.len() + line.len() > self.max_bytes {
            return Err("object too long");
        }
        self.scan(line)?;
        if self.text.is_empty() {
            std::mem::swap(&mut self.text, line);
        } else {
            self.text.extend_from_slice(line);
        }
        self.complete = self.depth == 0;
        Ok(if self.complete { Progress::Complete } else { Progress::Partial })
    }

    /// Counts the brackets of a line that stand outside strings.
    fn scan(&mut self, line: &[u8]) -> Result<(), &'static str> {
        let (mut in_string, mut escaped) = (false, false);
        for byte in line {
            match byte {
                _ if std::mem::take(&mut escaped) => {}
                b'\\' if in_string => escaped = true,
                b'"' => in_string = !in_string,
                _ if in_string => {}
                b'{' | b'[' => self.depth += 1,
                b'}' | b']' => {
                    self.depth = self.depth.checked_sub(1).ok_or("bracket closed that was not opened")?
                }
                _ => {}
            }
        }
        if in_string { Err("line ends within a string") } else { Ok(()) }
    }
}
