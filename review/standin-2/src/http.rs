//! HTTP/1.1 over blocking sockets: heads, bodies with a length or in chunks.

use std::{
    io::{self, ErrorKind, Read, Write},
    net::TcpStream,
};

/// Headers in the order in which they came, names in lower case.
pub type Headers = Vec<(String, String)>;

/// The head of a request or a response.
#[derive(Debug, Clone, Default)]
pub struct Head {
    /// The words of the first line.
    pub first: Vec<String>,
    pub headers: Headers,
}

impl Head {
    pub fn get(&self, name: &str) -> Option<&str> {
        self.headers.iter().find(|(key, _)| key == name).map(|(_, value)| value.as_str())
    }

    pub fn number(&self, name: &str) -> Option<u64> {
        self.get(name)?.trim().parse().ok()
    }

    /// Status code of a response.
    pub fn status(&self) -> u16 {
        self.first.get(1).and_then(|code| code.parse().ok()).unwrap_or(0)
    }

    pub fn has_token(&self, name: &str, token: &str) -> bool {
        let of_name = self.headers.iter().filter(|(key, _)| key == name);
        of_name
            .flat_map(|(_, value)| value.split(','))
            .any(|it| it.trim().eq_ignore_ascii_case(token))
    }
}

/// A connection with the bytes that were read and not used yet.
pub struct Connection {
    pub stream: TcpStream,
    buffer: Vec<u8>,
}

fn closed(what: &str) -> io::Error {
    io::Error::new(ErrorKind::UnexpectedEof, what.to_owned())
}

impl Connection {
    pub fn new(stream: TcpStream) -> Connection {
        let _ = stream.set_nodelay(true);
        Connection { stream, buffer: Vec::new() }
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut bytes = [0; 16 << 10];
        let count = self.stream.read(&mut bytes)?;
        self.buffer.extend_from_slice(&bytes[..count]);
        Ok(count)
    }

    /// Reads a head; `None` if the connection ends before one begins.
    pub fn read_head(&mut self) -> io::Result<Option<Head>> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n\r\n") {
                let text = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 4);
                return Ok(Some(parse_head(&text)));
            }
            if self.fill()? == 0 {
                return if self.buffer.is_empty() {
                    Ok(None)
                } else {
                    Err(closed("inside a head"))
                };
            }
        }
    }

    fn take(&mut self, count: usize) -> io::Result<Vec<u8>> {
        while self.buffer.len() < count {
            if self.fill()? == 0 {
                return Err(closed("inside a body"));
            }
        }
        Ok(self.buffer.drain(..count).collect())
    }

    fn read_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = find(&self.buffer, b"\r\n") {
                let line = String::from_utf8_lossy(&self.buffer[..end]).into_owned();
                self.buffer.drain(..end + 2);
                return Ok(line);
            }
            if self.fill()? == 0 {
                return Err(closed("inside a line"));
            }
        }
    }

    /// Reads the body that belongs to a head; one that only ends with the connection counts as broken.
    pub fn read_body(&mut self, head: &Head) -> io::Result<Vec<u8>> {
        if head.has_token("transfer-encoding", "chunked") {
            let mut body = Vec::new();
            loop {
                let line = self.read_line()?;
                let size = usize::from_str_radix(line.split(';').next().unwrap_or("").trim(), 16)
                    .map_err(|_| io::Error::new(ErrorKind::InvalidData, "no chunk size"))?;
                if size == 0 {
                    while !self.read_line()?.is_empty() {}
                    return Ok(body);
                }
                body.extend(self.take(size)?);
                self.take(2)?;
            }
        }
        match head.number("content-length") {
            Some(length) => self.take(length as usize),
            None => Ok(Vec::new()),
        }
    }

    pub fn write(&mut self, bytes: &[u8]) -> io::Result<()> {
        self.stream.write_all(bytes)
    }

    /// Whether the other side has closed the connection; whatever else it sent is kept.
    pub fn is_closed(&mut self) -> bool {
        let _ = self.stream.set_nonblocking(true);
        let seen = self.stream.peek(&mut [0; 1]);
        let _ = self.stream.set_nonblocking(false);
        match seen {
            Ok(count) => count == 0,
            Err(error) => error.kind() != ErrorKind::WouldBlock,
        }
    }
}

fn find(bytes: &[u8], pattern: &[u8]) -> Option<usize> {
    bytes.windows(pattern.len()).position(|window| window == pattern)
}

fn parse_head(text: &str) -> Head {
    let mut lines = text.split("\r\n");
    let first = lines.next().unwrap_or("").split(' ').map(str::to_owned).collect();
    let headers = lines.filter_map(|line| line.split_once(':'));
    let headers =
        headers.map(|(name, value)| (name.trim().to_ascii_lowercase(), value.trim().to_owned()));
    Head { first, headers: headers.collect() }
}
