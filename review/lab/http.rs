//! HTTP/1.1 messages over blocking streams.

use std::io::{self, Read, Write};
use std::net::TcpStream;

/// Bytes that were read from a stream beyond the last message.
#[derive(Default)]
pub struct Buffer {
    bytes: Vec<u8>,
}

#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub first_line: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self
            .headers
            .iter()
            .find(|(header, _)| header.eq_ignore_ascii_case(name));
        found.map(|(_, value)| value.as_str())
    }

    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }

    pub fn status(&self) -> u16 {
        let status = self.first_line.split(' ').nth(1);
        status.and_then(|text| text.parse().ok()).unwrap_or(0)
    }

    /// Returns a parameter of the query.
    pub fn query(&self, name: &str) -> Option<String> {
        let (_, query) = self.target().split_once('?')?;
        let pairs = query.split('&').filter_map(|pair| pair.split_once('='));
        let mut found = pairs.filter(|(key, _)| *key == name);
        found.next().map(|(_, value)| decode(value))
    }

    pub fn wants_close(&self) -> bool {
        self.header("connection")
            .is_some_and(|value| value.to_ascii_lowercase().contains("close"))
    }
}

fn decode(text: &str) -> String {
    let mut bytes = Vec::new();
    let raw = text.as_bytes();
    let mut at = 0;
    while at < raw.len() {
        let code = (raw[at] == b'%')
            .then(|| text.get(at + 1..at + 3))
            .flatten();
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(byte) => {
                bytes.push(byte);
                at += 3;
            }
            None => {
                bytes.push(raw[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&bytes).into_owned()
}

impl Buffer {
    fn fill(&mut self, stream: &mut impl Read) -> io::Result<usize> {
        let mut chunk = [0; 16 << 10];
        let read = stream.read(&mut chunk)?;
        self.bytes.extend(&chunk[..read]);
        Ok(read)
    }

    /// Reads a whole message. None at the end of the stream before its first byte.
    pub fn read(&mut self, stream: &mut impl Read) -> io::Result<Option<Message>> {
        let end = loop {
            if let Some(end) = find(&self.bytes, b"\r\n\r\n") {
                break end;
            }
            if self.fill(stream)? == 0 {
                return match self.bytes.is_empty() {
                    true => Ok(None),
                    false => Err(io::ErrorKind::UnexpectedEof.into()),
                };
            }
        };
        let head = String::from_utf8_lossy(&self.bytes[..end]).into_owned();
        self.bytes.drain(..end + 4);
        let mut lines = head.split("\r\n");
        let mut message = Message {
            first_line: lines.next().unwrap_or_default().to_owned(),
            ..Message::default()
        };
        for line in lines {
            let (name, value) = line.split_once(':').ok_or(io::ErrorKind::InvalidData)?;
            message
                .headers
                .push((name.trim().to_owned(), value.trim().to_owned()));
        }
        let chunked = message
            .header("transfer-encoding")
            .is_some_and(|value| value.contains("chunked"));
        if chunked {
            message.body = self.read_chunks(stream)?;
        } else if let Some(length) = message.header("content-length") {
            let length = length
                .parse()
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            message.body = self.take(stream, length)?;
        }
        Ok(Some(message))
    }

    fn take(&mut self, stream: &mut impl Read, length: usize) -> io::Result<Vec<u8>> {
        while self.bytes.len() < length {
            if self.fill(stream)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
        }
        Ok(self.bytes.drain(..length).collect())
    }

    fn read_chunks(&mut self, stream: &mut impl Read) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let end = loop {
                match find(&self.bytes, b"\r\n") {
                    Some(end) => break end,
                    None if self.fill(stream)? == 0 => {
                        return Err(io::ErrorKind::UnexpectedEof.into());
                    }
                    None => {}
                }
            };
            let line = String::from_utf8_lossy(&self.bytes[..end]).into_owned();
            self.bytes.drain(..end + 2);
            let size = line.split(';').next().unwrap_or_default().trim();
            let size = usize::from_str_radix(size, 16)
                .map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let chunk = self.take(stream, size + 2)?;
            if size == 0 {
                return Ok(body);
            }
            body.extend(&chunk[..size]);
        }
    }
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes
        .windows(pattern.len())
        .position(|window| window == pattern)
}

/// Writes a message; the length of the body is added.
pub fn write(
    stream: &mut TcpStream,
    first_line: &str,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut bytes = format!("{first_line}\r\n").into_bytes();
    for (name, value) in headers {
        bytes.extend(format!("{name}: {value}\r\n").bytes());
    }
    bytes.extend(format!("Content-Length: {}\r\n\r\n", body.len()).bytes());
    bytes.extend(body);
    stream.write_all(&bytes)
}
