//! HTTP/1.1 messages with a length, read and written on blocking sockets.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request or a response.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub first_line: String,
    /// Header fields, names in lower case.
    pub fields: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn field(&self, name: &str) -> Option<&str> {
        let found = self.fields.iter().find(|(field, _)| field == name);
        found.map(|(_, value)| value.as_str())
    }

    /// Returns the target of a request.
    pub fn target(&self) -> &str {
        self.first_line.split(' ').nth(1).unwrap_or_default()
    }

    /// Returns the status of a response; 0 if there is none.
    pub fn status(&self) -> u16 {
        let word = self.first_line.split(' ').nth(1);
        word.and_then(|word| word.parse().ok()).unwrap_or(0)
    }

    pub fn body_text(&self) -> String {
        String::from_utf8_lossy(&self.body).into_owned()
    }

    pub fn closes(&self) -> bool {
        let connection = self.field("connection").unwrap_or_default();
        connection.to_ascii_lowercase().contains("close")
    }
}

/// A connection with the bytes that were received and not used yet.
pub struct Connection {
    pub stream: TcpStream,
    buffered: Vec<u8>,
}

impl Connection {
    pub fn new(stream: TcpStream) -> io::Result<Self> {
        stream.set_nodelay(true)?;
        Ok(Self {
            stream,
            buffered: Vec::new(),
        })
    }

    pub fn connect(addr: SocketAddr, timeout: Duration) -> io::Result<Self> {
        Self::new(TcpStream::connect_timeout(&addr, timeout)?)
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut chunk = [0; 16 << 10];
        match self.stream.read(&mut chunk)? {
            0 => Err(io::ErrorKind::UnexpectedEof.into()),
            len => {
                self.buffered.extend_from_slice(&chunk[..len]);
                Ok(())
            }
        }
    }

    /// Reads a message whole. The error of a connection that ends before it has begun is
    /// of the same kind as that of one that ends within it.
    pub fn read(&mut self) -> io::Result<Message> {
        let head_len = loop {
            let end = self.buffered.windows(4).position(|w| w == b"\r\n\r\n");
            match end {
                Some(end) => break end + 4,
                None => self.fill()?,
            }
        };
        let head: Vec<u8> = self.buffered.drain(..head_len).collect();
        let head = String::from_utf8_lossy(&head).into_owned();
        let mut lines = head.split("\r\n");
        let mut message = Message {
            first_line: lines.next().unwrap_or_default().to_owned(),
            ..Message::default()
        };
        for line in lines.filter(|line| !line.is_empty()) {
            if let Some((name, value)) = line.split_once(':') {
                let name = name.trim().to_ascii_lowercase();
                message.fields.push((name, value.trim().to_owned()));
            }
        }
        if message.field("transfer-encoding").is_some() {
            message.body = self.read_chunked()?;
            return Ok(message);
        }
        let len = message.field("content-length").unwrap_or("0");
        let len: usize = len.parse().map_err(|_| io::ErrorKind::InvalidData)?;
        while self.buffered.len() < len {
            self.fill()?;
        }
        message.body = self.buffered.drain(..len).collect();
        Ok(message)
    }

    fn read_chunked(&mut self) -> io::Result<Vec<u8>> {
        let mut body = Vec::new();
        loop {
            let end = loop {
                match self.buffered.windows(2).position(|w| w == b"\r\n") {
                    Some(end) => break end,
                    None => self.fill()?,
                }
            };
            let line: Vec<u8> = self.buffered.drain(..end + 2).collect();
            let line = String::from_utf8_lossy(&line).into_owned();
            let len = usize::from_str_radix(line.trim(), 16);
            let len = len.map_err(|_| io::ErrorKind::InvalidData)?;
            while self.buffered.len() < len + 2 {
                self.fill()?;
            }
            body.extend(self.buffered.drain(..len));
            self.buffered.drain(..2);
            if len == 0 {
                return Ok(body);
            }
        }
    }

    pub fn write(&mut self, message: &Message) -> io::Result<()> {
        let mut bytes = format!("{}\r\n", message.first_line);
        for (name, value) in &message.fields {
            bytes += &format!("{name}: {value}\r\n");
        }
        bytes += &format!("content-length: {}\r\n\r\n", message.body.len());
        let mut bytes = bytes.into_bytes();
        bytes.extend_from_slice(&message.body);
        self.stream.write_all(&bytes)
    }
}

pub fn request(method: &str, target: &str, fields: &[(&str, &str)], body: &[u8]) -> Message {
    message(format!("{method} {target} HTTP/1.1"), fields, body)
}

pub fn response(status: u16, fields: &[(&str, &str)], body: &[u8]) -> Message {
    message(format!("HTTP/1.1 {status} Status"), fields, body)
}

fn message(first_line: String, fields: &[(&str, &str)], body: &[u8]) -> Message {
    let own = |(name, value): &(&str, &str)| ((*name).to_owned(), (*value).to_owned());
    Message {
        first_line,
        fields: fields.iter().map(own).collect(),
        body: body.to_vec(),
    }
}
