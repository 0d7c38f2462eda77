//! Requests on bare connections, and responses as their bytes tell: a client library does not show
//! how a response was framed and how its connection ended.

use std::{fmt, io, net::SocketAddr, time::Duration};

use http::StatusCode;
use platform::fixtures::CallerHead;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpStream,
};

/// Version of HTTP that a caller speaks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Version {
    Http10,
    Http11,
}

/// How a response looks to its caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Seen {
    /// Framed by a length or chunks, and whole by that.
    Framed,
    /// Ended by its connection in order, without a frame.
    Closed,
    /// Recognizably not whole.
    Broken { reason: String },
}

/// A response, as far as it came.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Response {
    /// `None` if not even a head came.
    pub status: Option<StatusCode>,
    pub body: String,
    pub seen: Seen,
}

/// Sends a request on a new connection and reads its response. `timeout` is the longest wait for
/// each of its parts.
pub async fn exchange(
    address: SocketAddr,
    version: Version,
    path: &str,
    head: &CallerHead,
    timeout: Duration,
) -> Response {
    let mut bytes = Vec::new();
    let end = read(address, version, path, head, timeout, &mut bytes).await;
    let (head, rest) = split(&bytes);
    let status = head.split_whitespace().nth(1).and_then(|status| status.parse().ok());
    let framed = framed_body(&bytes);
    let broken = |reason: &dyn fmt::Display| Seen::Broken { reason: reason.to_string() };
    let seen = match &end {
        Err(error) => broken(error),
        Ok(()) if framed.is_some() => Seen::Framed,
        Ok(()) if status.is_none() => broken(&"closed without a head"),
        Ok(()) if is_framed(&head) => broken(&"closed inside its frame"),
        Ok(()) => Seen::Closed,
    };
    let body = framed.unwrap_or_else(|| unframe(&head, &rest));
    Response { status, body, seen }
}

/// Reads until the response is whole by its frame or the connection is closed.
async fn read(
    address: SocketAddr,
    version: Version,
    path: &str,
    head: &CallerHead,
    timeout: Duration,
    bytes: &mut Vec<u8>,
) -> io::Result<()> {
    let timed_out = || io::Error::new(io::ErrorKind::TimedOut, "the deadline passed");
    let connect = TcpStream::connect(address);
    let mut stream = tokio::time::timeout(timeout, connect).await.map_err(|_| timed_out())??;
    let version = match version {
        Version::Http10 => "HTTP/1.0",
        Version::Http11 => "HTTP/1.1",
    };
    let mut request = format!("POST {path} {version}\r\nhost: desk.example\r\n");
    for (name, value) in head.headers() {
        request.push_str(&format!("{name}: {value}\r\n"));
    }
    request.push_str("content-length: 6\r\n\r\na body");
    stream.write_all(request.as_bytes()).await?;
    while framed_body(bytes).is_none() {
        let read = tokio::time::timeout(timeout, stream.read_buf(bytes));
        if read.await.map_err(|_| timed_out())?? == 0 {
            break;
        }
    }
    Ok(())
}

/// The head in lower case, empty if it is not whole, and the rest.
fn split(bytes: &[u8]) -> (String, String) {
    let text = String::from_utf8_lossy(bytes);
    let (head, body) = text.split_once("\r\n\r\n").unwrap_or_default();
    (head.to_lowercase(), body.to_owned())
}

fn header<'a>(head: &'a str, name: &str) -> Option<&'a str> {
    let mut headers = head.lines().skip(1).filter_map(|line| line.split_once(':'));
    headers.find(|(found, _)| *found == name).map(|(_, value)| value.trim())
}

fn is_framed(head: &str) -> bool {
    header(head, "content-length").is_some() || header(head, "transfer-encoding").is_some()
}

/// The body if it is whole by its length or chunks.
fn framed_body(bytes: &[u8]) -> Option<String> {
    let (head, body) = split(bytes);
    match header(&head, "content-length") {
        Some(length) => body.get(..length.parse().ok()?).map(str::to_owned),
        None => {
            header(&head, "transfer-encoding")?;
            let (whole, is_whole) = unchunk(&body);
            is_whole.then_some(whole)
        }
    }
}

/// The body as far as it came, without its frame.
fn unframe(head: &str, body: &str) -> String {
    match header(head, "transfer-encoding") {
        Some(_) => unchunk(body).0,
        None => body.to_owned(),
    }
}

/// What the chunks hold, as far as they are whole, and whether the last one came.
fn unchunk(body: &str) -> (String, bool) {
    let (mut rest, mut whole) = (body, String::new());
    while let Some((size, after)) = rest.split_once("\r\n") {
        let Ok(size) = usize::from_str_radix(size, 16) else { break };
        if size == 0 {
            return (whole, after.starts_with("\r\n"));
        }
        let (Some(chunk), Some(next)) = (after.get(..size), after.get(size + 2..)) else { break };
        whole.push_str(chunk);
        rest = next;
    }
    (whole, false)
}
