//! An HTTP/1.1 response as it comes in: status, headers, and a body that is chunked, of a stated length, or
//! ends with the connection.

/// Longest status, header or chunk-size line.
const LINE: usize = 4 * 1024;
const HEADERS: usize = 64;
const LONGEST_CHUNK: u64 = 1 << 30;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    Status,
    Header,
    ChunkSize,
    Chunk(u64),
    ChunkEnd,
    Trailer,
    Counted(u64),
    ToTheEnd,
    Done,
}

#[derive(Debug)]
pub struct ResponseParser {
    stage: Stage,
    line: Vec<u8>,
    headers: usize,
    length: Option<u64>,
    chunked: bool,
    pub status: u16,
}

impl Default for ResponseParser {
    fn default() -> Self {
        let (stage, line) = (Stage::Status, Vec::new());
        ResponseParser { stage, line, headers: 0, length: None, chunked: false, status: 0 }
    }
}

impl ResponseParser {
    pub fn is_complete(&self) -> bool {
        self.stage == Stage::Done
    }

    /// The connection's end is the body's end.
    pub fn is_close_delimited(&self) -> bool {
        self.stage == Stage::ToTheEnd
    }

    /// Takes the next bytes; what they hold of the body is added to `body`.
    pub fn feed(&mut self, mut bytes: &[u8], body: &mut Vec<u8>) -> Result<(), &'static str> {
        while !bytes.is_empty() {
            match self.stage {
                Stage::Done => return Err("bytes after the answer's end"),
                Stage::ToTheEnd => {
                    body.extend_from_slice(bytes);
                    return Ok(());
                }
                Stage::Chunk(left) | Stage::Counted(left) => {
                    let taken = bytes.len().min(usize::try_from(left).unwrap_or(usize::MAX));
                    body.extend_from_slice(&bytes[..taken]);
                    bytes = &bytes[taken..];
                    let left = left - taken as u64;
                    self.stage = match self.stage {
                        Stage::Chunk(_) if left == 0 => Stage::ChunkEnd,
                        Stage::Chunk(_) => Stage::Chunk(left),
                        _ if left == 0 => Stage::Done,
                        _ => Stage::Counted(left),
                    };
                }
                _ => {
                    let end = bytes.iter().position(|b| *b == b'\n');
                    let (part, rest) = bytes.split_at(end.map_or(bytes.len(), |at| at + 1));
                    bytes = rest;
                    self.line.extend_from_slice(part);
                    if self.line.len() > LINE {
                        return Err("line too long");
                    }
                    if end.is_some() {
                        let line = std::mem::take(&mut self.line);
                        self.stage = self.after(line.trim_ascii())?;
                    }
                }
            }
        }
        Ok(())
    }

    fn after(&mut self, line: &[u8]) -> Result<Stage, &'static str> {
        let text = str::from_utf8(line).map_err(|_| "line is not text")?;
        match self.stage {
            Stage::Status => {
                let mut words = text.split(' ');
                if !words.next().is_some_and(|w| w.starts_with("HTTP/1.")) {
                    return Err("not an HTTP/1 answer");
                }
                self.status = words.next().and_then(|w| w.parse().ok()).ok_or("status is not a number")?;
                Ok(Stage::Header)
            }
            Stage::Header if text.is_empty() => Ok(match (self.chunked, self.length) {
                (true, _) => Stage::ChunkSize,
                (false, Some(0)) => Stage::Done,
                (false, Some(length)) => Stage::Counted(length),
                (false, None) => Stage::ToTheEnd,
            }),
            Stage::Header => {
                self.headers += 1;
                let (name, value) = text.split_once(':').ok_or("header without a colon")?;
                let value = value.trim();
                if self.headers > HEADERS {
                    return Err("too many headers");
                } else if name.eq_ignore_ascii_case("transfer-encoding") {
                    self.chunked = value.to_ascii_lowercase().ends_with("chunked");
                } else if name.eq_ignore_ascii_case("content-length") {
                    self.length = Some(value.parse().map_err(|_| "content length is not a number")?);
                }
                Ok(Stage::Header)
            }
            Stage::ChunkSize => {
                let digits = text.split(';').next().unwrap_or_default().trim();
                let size = u64::from_str_radix(digits, 16).map_err(|_| "chunk size is not a number")?;
                match size {
                    0 => Ok(Stage::Trailer),
                    1..=LONGEST_CHUNK => Ok(Stage::Chunk(size)),
                    _ => Err("chunk too long"),
                }
            }
            Stage::ChunkEnd if text.is_empty() => Ok(Stage::ChunkSize),
            Stage::ChunkEnd => Err("chunk longer than stated"),
            _ if text.is_empty() => Ok(Stage::Done),
            _ => Ok(Stage::Trailer),
        }
    }
}
