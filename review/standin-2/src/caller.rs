//! Callers.

use std::{
    io::{self, ErrorKind},
    net::{SocketAddr, TcpStream},
    time::{Duration, Instant},
};

use crate::http::{Connection, Head};

/// How a try ended, as its caller saw it.
#[derive(Debug, Clone)]
pub enum End {
    /// A whole answer.
    Answered { status: u16, retry_after: Option<f64> },
    /// The connection ended after the request was sent, before an answer began.
    ClosedWithoutAnswer,
    /// The connection ended inside the answer.
    Broken,
    /// No connection, or it ended before all of the request was sent.
    NotSent,
    /// The deadline passed.
    TimedOut,
}

/// A request of a caller.
pub struct Request<'a> {
    pub method: &'a str,
    pub path: &'a str,
    pub host: &'a str,
    pub id: &'a str,
    pub key: &'a str,
    pub deadline: Duration,
    /// Further headers, each with its line end.
    pub more: &'a str,
    pub body: Body<'a>,
}

/// How a body is sent.
#[derive(Clone, Copy)]
pub enum Body<'a> {
    Sized(&'a [u8]),
    /// In chunks of `chunk` bytes, evenly over `over`.
    Chunked {
        bytes: &'a [u8],
        chunk: usize,
        over: Duration,
    },
}

/// Opens a connection as a caller does: it gets a second to come up.
pub fn connect(address: SocketAddr) -> io::Result<Connection> {
    let stream = TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    Ok(Connection::new(stream))
}

/// Sends a request on a connection and reads its answer.
pub fn exchange(connection: &mut Connection, request: &Request) -> End {
    let until = Instant::now() + request.deadline;
    let _ = connection.stream.set_write_timeout(Some(request.deadline));
    if send(connection, request, until).is_err() {
        return End::NotSent;
    }
    let left = until.saturating_duration_since(Instant::now()).max(Duration::from_millis(1));
    let _ = connection.stream.set_read_timeout(Some(left));
    let head = match connection.read_head() {
        Ok(Some(head)) => head,
        Ok(None) => return End::ClosedWithoutAnswer,
        Err(error) if is_timeout(&error) => return End::TimedOut,
        Err(_) => return End::ClosedWithoutAnswer,
    };
    match connection.read_body(&head) {
        Ok(_) => answered(&head),
        Err(error) if is_timeout(&error) => End::TimedOut,
        Err(_) => End::Broken,
    }
}

fn answered(head: &Head) -> End {
    let retry_after = head.get("retry-after").and_then(|text| text.parse().ok());
    End::Answered { status: head.status(), retry_after }
}

fn is_timeout(error: &io::Error) -> bool {
    matches!(error.kind(), ErrorKind::WouldBlock | ErrorKind::TimedOut)
}

fn send(connection: &mut Connection, request: &Request, until: Instant) -> io::Result<()> {
    let Request { method, path, host, id, key, deadline, more, body } = request;
    let mut head = format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\nAttempt-Id: {id}\r\nApi-Key: {key}\r\nDeadline-Ms: {}\r\n{more}",
        deadline.as_millis()
    );
    match body {
        Body::Sized(bytes) => head += &format!("Content-Length: {}\r\n", bytes.len()),
        Body::Chunked { .. } => head += "Transfer-Encoding: chunked\r\n",
    }
    head += "\r\n";
    connection.write(head.as_bytes())?;
    match body {
        Body::Sized(bytes) => connection.write(bytes),
        Body::Chunked { bytes, chunk, over } => {
            let began = Instant::now();
            for (number, part) in bytes.chunks(*chunk).enumerate() {
                let due = over.mul_f64((number * chunk) as f64 / bytes.len() as f64);
                std::thread::sleep((began + due).saturating_duration_since(Instant::now()));
                if Instant::now() > until {
                    return Err(ErrorKind::TimedOut.into());
                }
                let mut piece = format!("{:x}\r\n", part.len()).into_bytes();
                piece.extend_from_slice(part);
                piece.extend_from_slice(b"\r\n");
                connection.write(&piece)?;
            }
            connection.write(b"0\r\n\r\n")
        }
    }
}
