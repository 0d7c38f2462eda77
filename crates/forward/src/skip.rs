//! Skips second responses to earlier requests that come where the response to the current one is due.
//!
//! An endpoint in trouble may send a response once more, after the next request has been sent on the connection. `hyper`
//! takes whatever comes next for the response to that. So the first bytes after a request are held back until its head is
//! there: a whole response with a length that names a request which this connection carried before, and not the current
//! one, is dropped, and the next one is looked at. Everything else passes as it comes, and is judged by its id above.

use std::{
    io::{self, IoSlice},
    pin::Pin,
    task::{Context, Poll, ready},
};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::{detour::Stream, tag::Carried};

/// Largest head that is held back; a larger one passes.
const MAX_HEAD_BYTES: usize = 64 << 10;
/// Headers of a head that is looked at; one with more passes.
const MAX_HEADERS: usize = 64;
/// Bytes that are read at a time while a head is not there.
const READ_BYTES: usize = 4 << 10;

/// What is done with bytes that arrive.
#[derive(Debug)]
enum State {
    /// They pass.
    Pass,
    /// They are held back until the head is there.
    Head,
    /// So many are dropped, then another head is due.
    Drop(usize),
}

/// A stream from which second responses to earlier requests are dropped.
#[derive(Debug)]
pub struct Skipping<S> {
    stream: S,
    carried: Carried,
    /// Number of requests at the last look.
    requests: u64,
    state: State,
    /// Bytes that were read and have not passed.
    held: Vec<u8>,
}

/// What a head says.
#[derive(Debug, PartialEq, Eq)]
enum Judged {
    Incomplete,
    Passes,
    /// A response to an earlier request, of so many bytes.
    Earlier(usize),
}

impl<S: Stream> Skipping<S> {
    /// `carried` learns of each request before it is sent.
    pub fn new(stream: S, carried: Carried) -> Skipping<S> {
        Skipping { stream, carried, requests: 0, state: State::Pass, held: Vec::new() }
    }

    /// Looks at the next head once a request is sent.
    fn notice_request(&mut self) {
        let requests = self.carried.count();
        // Nothing came before the first one.
        if requests != self.requests && requests > 1 {
            self.state = State::Head;
        }
        self.requests = requests;
    }

    /// Moves held bytes on; whether some are left for the reader.
    fn settle(&mut self) -> bool {
        loop {
            match self.state {
                State::Pass => return !self.held.is_empty(),
                State::Drop(left) if left > self.held.len() => {
                    self.state = State::Drop(left - self.held.len());
                    self.held.clear();
                    return false;
                }
                State::Drop(left) => {
                    self.held.drain(..left);
                    self.state = State::Head;
                }
                State::Head => match judge(&self.held, &self.carried) {
                    Judged::Incomplete if self.held.len() <= MAX_HEAD_BYTES => return false,
                    Judged::Incomplete | Judged::Passes => self.state = State::Pass,
                    Judged::Earlier(bytes) => {
                        tracing::info!(event = "response_skipped", bytes);
                        self.state = State::Drop(bytes);
                    }
                },
            }
        }
    }
}

fn judge(bytes: &[u8], carried: &Carried) -> Judged {
    if bytes.is_empty() {
        return Judged::Incomplete;
    }
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut response = httparse::Response::new(&mut headers);
    let head = match response.parse(bytes) {
        Ok(httparse::Status::Complete(head)) => head,
        Ok(httparse::Status::Partial) => return Judged::Incomplete,
        Err(_) => return Judged::Passes,
    };
    let is_final = response.code.is_some_and(|code| code >= 200);
    let names_earlier = response.headers.iter().any(|header| carried.is_earlier(header.value));
    let names_last = response.headers.iter().any(|header| carried.is_last(header.value));
    match length(response.headers) {
        Some(length) if is_final && names_earlier && !names_last => Judged::Earlier(head + length),
        _ => Judged::Passes,
    }
}

/// Length of a body, if nothing but a single `Content-Length` says it.
fn length(headers: &[httparse::Header]) -> Option<usize> {
    let is_named = |name: &'static str| {
        move |header: &&httparse::Header| header.name.eq_ignore_ascii_case(name)
    };
    let mut lengths = headers.iter().filter(is_named("content-length"));
    let (length, other) = (lengths.next()?, lengths.next());
    let coding = headers.iter().find(is_named("transfer-encoding"));
    let is_single = other.is_none() && coding.is_none();
    let text = std::str::from_utf8(length.value).ok().filter(|_| is_single)?;
    text.trim().parse().ok()
}

impl<S: Stream> AsyncRead for Skipping<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.notice_request();
        loop {
            if self.settle() {
                let count = self.held.len().min(buffer.remaining());
                buffer.put_slice(&self.held[..count]);
                self.held.drain(..count);
                return Poll::Ready(Ok(()));
            }
            if matches!(self.state, State::Pass) {
                return Pin::new(&mut self.stream).poll_read(context, buffer);
            }
            let mut bytes = [0; READ_BYTES];
            let mut read = ReadBuf::new(&mut bytes);
            ready!(Pin::new(&mut self.stream).poll_read(context, &mut read))?;
            if read.filled().is_empty() {
                // The end: what is held is all that comes.
                self.state = State::Pass;
                if self.held.is_empty() {
                    return Poll::Ready(Ok(()));
                }
                continue;
            }
            self.held.extend_from_slice(read.filled());
        }
    }
}

impl<S: Stream> AsyncWrite for Skipping<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(context, data)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(context, data)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
