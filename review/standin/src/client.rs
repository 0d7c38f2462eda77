//! Clients.

use std::{
    io::{BufReader, Write},
    net::{SocketAddr, TcpStream},
    time::Duration,
};

use crate::http;

/// Requests that a client sends.
#[derive(Debug, Clone)]
pub struct Request {
    pub method: &'static str,
    pub path: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
    /// How long the client waits.
    pub deadline: Duration,
}

/// What a client saw.
#[derive(Debug, Clone, Default)]
pub struct Seen {
    /// 0 if no head of a response arrived.
    pub status: u16,
    pub sealed: bool,
    pub retry_after: Option<String>,
    pub body: Vec<u8>,
    /// Whether the whole response arrived.
    pub is_whole: bool,
    pub error: String,
}

/// The host in all requests of the cases.
pub const HOST: &str = "clinic.example";

/// Sends a request on a new connection and reads the response.
pub fn send(to: SocketAddr, request: &Request) -> Seen {
    let mut seen = Seen::default();
    if let Err(error) = try_send(to, request, &mut seen) {
        seen.error = error.to_string();
    }
    seen
}

fn try_send(to: SocketAddr, request: &Request, seen: &mut Seen) -> std::io::Result<()> {
    let mut stream = TcpStream::connect_timeout(&to, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(request.deadline))?;
    let Request { method, path, headers, body, deadline } = request;
    let mut head = format!("{method} {path} HTTP/1.1\r\nHost: {HOST}\r\n");
    head += &format!("Deadline-Ms: {}\r\n", deadline.as_millis());
    for (name, value) in headers {
        head += &format!("{name}: {value}\r\n");
    }
    if !body.is_empty() {
        head += &format!("Content-Length: {}\r\n", body.len());
    }
    head += "\r\n";
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    let mut reader = BufReader::new(stream);
    let Some(head) = http::read_head(&mut reader)? else {
        return Err(std::io::ErrorKind::UnexpectedEof.into());
    };
    seen.status = head.status();
    seen.sealed = head.get("response-seal").is_some();
    seen.retry_after = head.get("retry-after").map(str::to_owned);
    if head.get("transfer-encoding").is_some() {
        while let Some(chunk) = http::read_chunk(&mut reader)? {
            seen.body.extend(chunk);
        }
    } else {
        seen.body = http::read_body(&mut reader, &head)?;
    }
    seen.is_whole = true;
    Ok(())
}

/// Status of a `GET`.
pub fn get(to: SocketAddr, path: &str) -> Option<u16> {
    let request = Request {
        method: "GET",
        path: path.into(),
        headers: Vec::new(),
        body: Vec::new(),
        deadline: Duration::from_secs(1),
    };
    Some(send(to, &request).status).filter(|status| *status != 0)
}

/// Sends a write to the store, as an endpoint does; returns its status.
pub fn write(to: SocketAddr, method: &'static str, path: &str, body: &str) -> u16 {
    let request = Request {
        method,
        path: path.into(),
        headers: vec![("Content-Type".into(), "application/json".into())],
        body: body.as_bytes().to_vec(),
        deadline: Duration::from_secs(1),
    };
    send(to, &request).status
}
