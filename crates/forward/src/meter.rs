//! Bounds the bytes on a connection that are no part of a response.
//!
//! An endpoint in trouble may send empty lines, interim responses or zeros of a chunk's size without end.
//! `hyper` reads over them, however many there are: they take no memory, but the link and the processor, until
//! the deadline of the request. So the bytes are counted that arrived since the last part of a response, and the
//! connection fails beyond [`MAX_BYTES`].

use std::{
    io::{self, IoSlice},
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    task::{Context, Poll, ready},
};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

use crate::detour::Stream;

/// Bytes of a head, or between two parts of a body. Several times what is read ahead of them.
const MAX_BYTES: u64 = 512 << 10;

/// Bytes that arrived since the last part of a response.
#[derive(Debug, Clone, Default)]
pub struct Meter(Arc<AtomicU64>);

impl Meter {
    /// A part of a response arrived, or a request begins.
    pub fn reset(&self) {
        self.0.store(0, Ordering::Relaxed);
    }

    fn add(&self, bytes: usize) -> io::Result<()> {
        let before = self.0.fetch_add(bytes as u64, Ordering::Relaxed);
        match before + bytes as u64 > MAX_BYTES {
            false => Ok(()),
            true => {
                let reason =
                    format!("over {MAX_BYTES} bytes arrived that are no part of a response");
                Err(io::Error::new(io::ErrorKind::InvalidData, reason))
            }
        }
    }
}

/// A stream whose incoming bytes are counted.
#[derive(Debug)]
pub struct Metered<S> {
    stream: S,
    meter: Meter,
}

impl<S: Stream> Metered<S> {
    pub fn new(stream: S, meter: Meter) -> Metered<S> {
        Metered { stream, meter }
    }
}

impl<S: Stream> AsyncRead for Metered<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buffer.filled().len();
        ready!(Pin::new(&mut self.stream).poll_read(context, buffer))?;
        Poll::Ready(self.meter.add(buffer.filled().len() - before))
    }
}

impl<S: Stream> AsyncWrite for Metered<S> {
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
