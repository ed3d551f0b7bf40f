//! Incremental parser of an HTTP/1.1 response (RFC 9112): status line, header fields, and a body that is chunked,
//! of a given Content-Length, or delimited by the close of the connection.

/// Longest status line, header field line, chunk-size line or trailer field line, including its line end.
const MAX_LINE_BYTES: usize = 4 * 1024;
const MAX_HEADER_FIELDS: usize = 64;
const MAX_CHUNK_BYTES: u64 = 1 << 30;

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ParserState {
    StatusLine,
    HeaderField,
    ChunkSize,
    /// Inside the data of a chunk, with the number of remaining bytes.
    ChunkData(u64),
    /// At the line end behind the data of a chunk.
    ChunkDataEnd,
    /// In the trailer section, whose fields are ignored.
    Trailer,
    /// Inside a body with a Content-Length, with the number of remaining bytes.
    FixedLengthBody(u64),
    CloseDelimitedBody,
    Complete,
}

/// Parses one response from the bytes of a connection as they arrive.
#[derive(Debug)]
pub struct ResponseParser {
    state: ParserState,
    /// Start of a line whose end has not arrived yet.
    partial_line: Vec<u8>,
    header_fields: usize,
    content_length: Option<u64>,
    chunked: bool,
    /// Status code; 0 until the status line has been parsed.
    pub status: u16,
}

impl Default for ResponseParser {
    fn default() -> Self {
        let (state, partial_line) = (ParserState::StatusLine, Vec::new());
        ResponseParser {
            state,
            partial_line,
            header_fields: 0,
            content_length: None,
            chunked: false,
            status: 0,
        }
    }
}

impl ResponseParser {
    /// Returns whether the whole response has been parsed; never true for a body delimited by the close.
    pub fn is_complete(&self) -> bool {
        self.state == ParserState::Complete
    }

    /// Returns whether the body ends where the connection is closed.
    pub fn is_close_delimited(&self) -> bool {
        self.state == ParserState::CloseDelimitedBody
    }

    /// Parses the next bytes of the connection and appends the body data among them to `body`, with chunked
    /// transfer coding removed.
    pub fn feed(&mut self, mut bytes: &[u8], body: &mut Vec<u8>) -> Result<(), &'static str> {
        while !bytes.is_empty() {
            match self.state {
                ParserState::Complete => return Err("data after the end of the response"),
                ParserState::CloseDelimitedBody => {
                    body.extend_from_slice(bytes);
                    return Ok(());
                }
                ParserState::ChunkData(remaining) | ParserState::FixedLengthBody(remaining) => {
                    let taken = bytes.len().min(usize::try_from(remaining).unwrap_or(usize::MAX));
                    body.extend_from_slice(&bytes[..taken]);
                    bytes = &bytes[taken..];
                    let remaining = remaining - taken as u64;
                    self.state = match self.state {
                        ParserState::ChunkData(_) if remaining == 0 => ParserState::ChunkDataEnd,
                        ParserState::ChunkData(_) => ParserState::ChunkData(remaining),
                        _ if remaining == 0 => ParserState::Complete,
                        _ => ParserState::FixedLengthBody(remaining),
                    };
                }
                _ => {
                    let end = bytes.iter().position(|byte| *byte == b'\n');
                    let (line_part, rest) = bytes.split_at(end.map_or(bytes.len(), |lf| lf + 1));
                    bytes = rest;
                    self.partial_line.extend_from_slice(line_part);
                    if self.partial_line.len() > MAX_LINE_BYTES {
                        return Err("line too long");
                    }
                    if end.is_some() {
                        let line = std::mem::take(&mut self.partial_line);
                        self.state = self.parse_line(line.trim_ascii())?;
                    }
                }
            }
        }
        Ok(())
    }

    /// Parses a line without its line end and returns the state for what follows it.
    fn parse_line(&mut self, line: &[u8]) -> Result<ParserState, &'static str> {
        let text = str::from_utf8(line).map_err(|_| "line is not UTF-8")?;
        match self.state {
            ParserState::StatusLine => {
                let mut words = text.split(' ');
                if !words.next().is_some_and(|word| word.starts_with("HTTP/1.")) {
                    return Err("not an HTTP/1.x response");
                }
                self.status =
                    words.next().and_then(|word| word.parse().ok()).ok_or("status code is not a number")?;
                Ok(ParserState::HeaderField)
            }
            ParserState::HeaderField if text.is_empty() => Ok(match (self.chunked, self.content_length) {
                (true, _) => ParserState::ChunkSize,
                (false, Some(0)) => ParserState::Complete,
                (false, Some(length)) => ParserState::FixedLengthBody(length),
                (false, None) => ParserState::CloseDelimitedBody,
            }),
            ParserState::HeaderField => {
                self.header_fields += 1;
                let (name, value) = text.split_once(':').ok_or("header field without a colon")?;
                let value = value.trim();
                if self.header_fields > MAX_HEADER_FIELDS {
                    return Err("too many header fields");
                } else if name.eq_ignore_ascii_case("transfer-encoding") {
                    self.chunked = value.to_ascii_lowercase().ends_with("chunked");
                } else if name.eq_ignore_ascii_case("content-length") {
                    self.content_length = Some(value.parse().map_err(|_| "Content-Length is not a number")?);
                }
                Ok(ParserState::HeaderField)
            }
            ParserState::ChunkSize => {
                // Chunk extensions follow a semicolon and are ignored.
                let digits = text.split(';').next().unwrap_or_default().trim();
                let size = u64::from_str_radix(digits, 16).map_err(|_| "chunk size is not a number")?;
                match size {
                    0 => Ok(ParserState::Trailer),
                    1..=MAX_CHUNK_BYTES => Ok(ParserState::ChunkData(size)),
                    _ => Err("chunk too long"),
                }
            }
            ParserState::ChunkDataEnd if text.is_empty() => Ok(ParserState::ChunkSize),
            ParserState::ChunkDataEnd => Err("chunk data longer than its chunk size"),
            _ if text.is_empty() => Ok(ParserState::Complete),
            _ => Ok(ParserState::Trailer),
        }
    }
}
