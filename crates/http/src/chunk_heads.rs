//! Bounds the heads of chunks, for a parser that does not.
//!
//! A chunk begins with its size and any extensions, up to a line end (RFC 9112,
//! section 7.1). The HTTP library of `ibiscove node` keeps a head that is incomplete
//! and parses all of it again after each read: one without end takes a whole processor
//! and memory without limit.

use std::io;

/// Longest head of a chunk, in bytes. Parsers commonly allow 4 to 16 KiB.
pub const MAX_CHUNK_HEAD_BYTES: usize = 4 << 10;
/// Bytes of a header line that are kept: more than the fields that matter have.
const MAX_LINE_BYTES: usize = 64;

/// Follows the messages of one direction of a connection. Only their framing is looked
/// at; whether they are valid is for the parser to say.
#[derive(Debug, Default)]
pub struct ChunkHeadWatch {
    state: State,
    complete_messages: u64,
}

#[derive(Debug)]
enum State {
    /// The head of a message.
    Head(Head),
    /// Bytes of a body or a chunk that are still to come.
    Content { left: u64, is_chunk: bool },
    /// The head of a chunk: its size so far, and how long it is.
    ChunkHead {
        size: u64,
        is_size: bool,
        len: usize,
    },
    /// A response that ends with its connection, or has no body.
    Unframed,
}

#[derive(Debug, Default)]
struct Head {
    /// The beginning of the present line, in lower case.
    line: Vec<u8>,
    has_lines: bool,
    is_final_response: bool,
    is_chunked: bool,
    length: Option<u64>,
}

impl Default for State {
    fn default() -> Self {
        Self::Head(Head::default())
    }
}

/// A chunk's head that is too long.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("the head of a chunk exceeds {MAX_CHUNK_HEAD_BYTES} bytes")]
pub struct ChunkHeadTooLong;

impl From<ChunkHeadTooLong> for io::Error {
    fn from(err: ChunkHeadTooLong) -> Self {
        io::Error::new(io::ErrorKind::InvalidData, err)
    }
}

impl ChunkHeadWatch {
    /// Expects a new message next, whatever there was of the last one.
    pub fn expect_head(&mut self) {
        self.state = State::default();
    }

    /// Returns the number of messages that have been read to their end.
    pub fn complete_messages(&self) -> u64 {
        self.complete_messages
    }

    /// Reads bytes of the connection; fails within a chunk's head that is too long.
    pub fn read(&mut self, mut bytes: &[u8]) -> Result<(), ChunkHeadTooLong> {
        while let Some((byte, rest)) = bytes.split_first() {
            match &mut self.state {
                State::Unframed => return Ok(()),
                State::Content { left, is_chunk } => {
                    let len = usize::try_from(*left).map_or(bytes.len(), |l| l.min(bytes.len()));
                    *left -= len as u64;
                    bytes = &bytes[len..];
                    if *left == 0 {
                        match is_chunk {
                            true => self.state = State::chunk_head(),
                            false => self.end_message(),
                        }
                    }
                    continue;
                }
                State::ChunkHead { size, is_size, len } => {
                    *len += 1;
                    if *len > MAX_CHUNK_HEAD_BYTES {
                        return Err(ChunkHeadTooLong);
                    }
                    let digit = char::from(*byte).to_digit(16);
                    match (byte, digit) {
                        (b'\n', _) => self.state = State::after_chunk_head(*size),
                        (_, Some(digit)) if *is_size => {
                            *size = size.saturating_mul(16).saturating_add(digit.into());
                        }
                        _ => *is_size = false,
                    }
                }
                State::Head(head) => {
                    if head.read(*byte) {
                        match head.content() {
                            Some(content) => self.state = content,
                            None => self.end_message(),
                        }
                    }
                }
            }
            bytes = rest;
        }
        Ok(())
    }

    fn end_message(&mut self) {
        self.state = State::default();
        self.complete_messages += 1;
    }
}

impl State {
    fn chunk_head() -> Self {
        Self::ChunkHead {
            size: 0,
            is_size: true,
            len: 0,
        }
    }

    /// The last chunk has no content; a line end follows all of them.
    fn after_chunk_head(size: u64) -> Self {
        Self::Content {
            left: size.saturating_add(2),
            is_chunk: size > 0,
        }
    }
}

impl Head {
    /// Reads a byte. Returns whether the head is complete.
    fn read(&mut self, byte: u8) -> bool {
        match byte {
            b'\r' => {}
            b'\n' if !self.line.is_empty() => self.end_line(),
            // Parsers skip empty lines before a message.
            b'\n' => return self.has_lines,
            _ if self.line.len() < MAX_LINE_BYTES => self.line.push(byte.to_ascii_lowercase()),
            _ => {}
        }
        false
    }

    fn end_line(&mut self) {
        let line = std::mem::take(&mut self.line);
        if !std::mem::replace(&mut self.has_lines, true) {
            let status = line.strip_prefix(b"http/1.").and_then(|rest| rest.get(2..));
            self.is_final_response = status.is_some_and(|status| !status.starts_with(b"1"));
        }
        if let Some(coding) = line.strip_prefix(b"transfer-encoding:") {
            self.is_chunked |= coding.trim_ascii().ends_with(b"chunked");
        }
        if let Some(length) = line.strip_prefix(b"content-length:") {
            let length = std::str::from_utf8(length.trim_ascii()).ok();
            self.length = length.and_then(|text| text.parse().ok());
        }
    }

    /// Returns the state that follows the head; none if that ends the message.
    fn content(&self) -> Option<State> {
        match (self.is_chunked, self.length) {
            (true, _) => Some(State::chunk_head()),
            (false, None) if self.is_final_response => Some(State::Unframed),
            (false, None | Some(0)) => None,
            (false, Some(left)) => Some(State::Content {
                left,
                is_chunk: false,
            }),
        }
    }
}
