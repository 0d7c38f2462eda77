//! The connection of a caller.
//!
//! Some responses end with their connection. A connection that is just dropped, as when the process dies, ends in the same
//! way, so while such a response is under way, closing the connection resets it. Only once all of the response has been
//! sent is the connection closed in order.

use std::{
    io,
    os::fd::{AsFd, OwnedFd},
    pin::Pin,
    task::{Context, Poll},
    time::Duration,
};

use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
    time::timeout,
};

use crate::proxy::caller_close::{CallerClose, Meaning};

/// Linger time at which closing a connection resets it.
const RESET_ON_CLOSE: Option<Duration> = Some(Duration::ZERO);

/// Longest wait for a caller to read what was sent before a break, after which the connection is reset; a reset drops what
/// has not left this box.
const DRAIN_TIMEOUT: Duration = Duration::from_secs(5);
/// Number of unsent bytes below which a connection counts as writable while it is drained.
const DRAINED_BELOW_BYTES: u32 = 1;

/// The connection of a caller.
#[derive(Debug)]
pub struct CallerStream {
    tcp: TcpStream,
    close: CallerClose,
    /// Whether closing resets the connection.
    resets: bool,
}

impl CallerStream {
    /// Takes over a connection.
    pub fn new(tcp: TcpStream) -> CallerStream {
        CallerStream { tcp, close: CallerClose::default(), resets: false }
    }

    /// What its close says of the response on it.
    pub fn close(&self) -> CallerClose {
        self.close.clone()
    }

    /// Sets the connection to be reset before the first byte of a response that ends with it.
    fn prepare_write(&mut self) -> io::Result<()> {
        if !self.resets && self.close.meaning() != Meaning::Nothing {
            SockRef::from(&self.tcp).set_linger(RESET_ON_CLOSE)?;
            self.close.keep_socket(self.tcp.as_fd().try_clone_to_owned()?);
            self.resets = true;
        }
        Ok(())
    }
}

impl AsyncRead for CallerStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.tcp).poll_read(context, buffer)
    }
}

impl AsyncWrite for CallerStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.prepare_write()?;
        Pin::new(&mut self.tcp).poll_write(context, data)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.prepare_write()?;
        Pin::new(&mut self.tcp).poll_write_vectored(context, data)
    }

    fn is_write_vectored(&self) -> bool {
        self.tcp.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        // Called once the buffer before this connection is empty.
        self.close.mark_sent();
        Pin::new(&mut self.tcp).poll_flush(context)
    }

    /// Closes the connection for writing, after all bytes of the last response; does nothing if that response is not
    /// whole.
    fn poll_shutdown(mut self: Pin<&mut Self>, context: &mut Context<'_>) -> Poll<io::Result<()>> {
        match self.close.meaning() {
            Meaning::Early => return Poll::Ready(Ok(())),
            _ if self.resets => {
                SockRef::from(&self.tcp).set_linger(None)?;
                self.resets = false;
            }
            _ => {}
        }
        Pin::new(&mut self.tcp).poll_shutdown(context)
    }
}

/// Resets a connection whose response broke off, once all that was sent before has left this box.
pub async fn reset(close: CallerClose) {
    let socket = (close.meaning() == Meaning::Early).then(|| close.take_socket()).flatten();
    let Some(socket) = socket else { return };
    match timeout(DRAIN_TIMEOUT, drain(socket)).await {
        Ok(Ok(())) => {}
        Ok(Err(error)) => tracing::debug!(event = "caller_not_drained", %error),
        Err(_) => tracing::info!(event = "caller_not_drained", error = "timeout"),
    }
}

/// Waits until a connection has no unsent bytes, then closes it.
async fn drain(socket: OwnedFd) -> io::Result<()> {
    SockRef::from(&socket).set_tcp_notsent_lowat(DRAINED_BELOW_BYTES)?;
    // Registered anew, which reports what is so now; the first registration reports changes only.
    TcpStream::from_std(socket.into())?.writable().await
}
