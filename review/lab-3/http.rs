//! HTTP/1.1 over blocking streams: just what the stand-ins need.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::{Duration, Instant};

/// The head of a message and its body.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// The first line.
    pub start: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter();
        let mut found = found.filter(|(n, _)| n.eq_ignore_ascii_case(name));
        found.next().map(|(_, value)| value.as_str())
    }

    /// The method and the path with query of a request.
    pub fn target(&self) -> (&str, &str) {
        let mut words = self.start.split(' ');
        (words.next().unwrap_or(""), words.next().unwrap_or(""))
    }

    pub fn status(&self) -> u16 {
        let word = self.start.split(' ').nth(1).unwrap_or("");
        word.parse().unwrap_or(0)
    }
}

/// Reads messages from a stream one after the other.
pub struct Reader<S> {
    pub stream: S,
    buf: Vec<u8>,
    /// When to give up.
    pub until: Option<Instant>,
}

impl<S: Read> Reader<S> {
    pub fn new(stream: S) -> Self {
        Self {
            stream,
            buf: Vec::new(),
            until: None,
        }
    }

    fn fill(&mut self) -> io::Result<()> {
        if self.until.is_some_and(|until| Instant::now() > until) {
            return Err(io::ErrorKind::TimedOut.into());
        }
        let mut chunk = vec![0; 16 << 10];
        let len = self.stream.read(&mut chunk)?;
        if len == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.buf.extend_from_slice(&chunk[..len]);
        Ok(())
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.buf.iter().position(|b| *b == b'\n') {
                let line: Vec<u8> = self.buf.drain(..=end).collect();
                return Ok(String::from_utf8_lossy(&line).trim_end().to_owned());
            }
            self.fill()?;
        }
    }

    fn exact(&mut self, len: usize) -> io::Result<Vec<u8>> {
        while self.buf.len() < len {
            self.fill()?;
        }
        Ok(self.buf.drain(..len).collect())
    }

    /// Reads a message whose body has a length or comes in chunks.
    pub fn message(&mut self) -> io::Result<Message> {
        let mut message = Message {
            start: self.line()?,
            ..Message::default()
        };
        loop {
            let line = self.line()?;
            let Some((name, value)) = line.split_once(':') else {
                break;
            };
            let header = (name.trim().to_owned(), value.trim().to_owned());
            message.headers.push(header);
        }
        let is_chunked = message
            .header("transfer-encoding")
            .is_some_and(|value| value.eq_ignore_ascii_case("chunked"));
        if is_chunked {
            loop {
                let len = self.line()?;
                let len = usize::from_str_radix(len.trim(), 16).map_err(io::Error::other)?;
                message.body.extend(self.exact(len)?);
                self.line()?;
                if len == 0 {
                    return Ok(message);
                }
            }
        }
        let len = message.header("content-length").unwrap_or("0");
        let len = len.parse().map_err(io::Error::other)?;
        message.body = self.exact(len)?;
        Ok(message)
    }
}

/// Writes a response with a body of stated length.
pub fn respond(
    stream: &mut impl Write,
    status: u16,
    headers: &[(&str, &str)],
    body: &[u8],
) -> io::Result<()> {
    let mut head = format!("HTTP/1.1 {status} X\r\nContent-Length: {}\r\n", body.len());
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)
}

/// Makes one call on a connection of its own.
pub fn call(
    addr: SocketAddr,
    method: &str,
    path: &str,
    headers: &[(&str, &str)],
    body: &[u8],
    timeout: Duration,
) -> io::Result<Message> {
    let mut stream = TcpStream::connect_timeout(&addr, timeout)?;
    stream.set_read_timeout(Some(timeout))?;
    let request = request(method, path, headers, body);
    stream.write_all(&request)?;
    Reader::new(stream).message()
}

/// Returns the bytes of a request.
pub fn request(method: &str, path: &str, headers: &[(&str, &str)], body: &[u8]) -> Vec<u8> {
    let mut head = format!("{method} {path} HTTP/1.1\r\n");
    for (name, value) in headers {
        head.push_str(&format!("{name}: {value}\r\n"));
    }
    if !body.is_empty() {
        head.push_str(&format!("Content-Length: {}\r\n", body.len()));
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    bytes
}
