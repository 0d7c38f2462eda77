//! An `h2` stream as a byte stream.

use std::{
    io,
    pin::Pin,
    task::{Context, Poll, ready},
};

use bytes::{Buf, Bytes};
use h2::{RecvStream, SendStream};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    sync::watch,
};

/// One end of a tunnel. Dropping it resets the tunnel unless both directions have ended.
#[derive(Debug)]
pub struct Stream {
    outbound: SendStream<Bytes>,
    inbound: RecvStream,
    /// Received and not yet read.
    unread: Bytes,
    /// Whether the box at the far end is about to stop; `None` at the far end.
    closing: Option<watch::Receiver<bool>>,
}

impl Stream {
    pub(super) fn new(
        outbound: SendStream<Bytes>,
        inbound: RecvStream,
        closing: Option<watch::Receiver<bool>>,
    ) -> Stream {
        Stream { outbound, inbound, unread: Bytes::new(), closing }
    }

    /// Whether the box at the far end is about to stop.
    pub fn closing(&self) -> watch::Receiver<bool> {
        self.closing.clone().unwrap_or_else(|| watch::channel(false).1)
    }
}

fn reset(error: h2::Error) -> io::Error {
    io::Error::new(io::ErrorKind::ConnectionReset, error)
}

impl AsyncRead for Stream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        while self.unread.is_empty() {
            match ready!(self.inbound.poll_data(context)) {
                None => return Poll::Ready(Ok(())),
                Some(Err(error)) => return Poll::Ready(Err(reset(error))),
                Some(Ok(data)) => {
                    let released = self.inbound.flow_control().release_capacity(data.len());
                    released.map_err(reset)?;
                    self.unread = data;
                }
            }
        }
        let count = self.unread.len().min(buffer.remaining());
        buffer.put_slice(&self.unread[..count]);
        self.unread.advance(count);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        context: &mut Context<'_>,
        data: &[u8],
    ) -> Poll<io::Result<usize>> {
        if data.is_empty() {
            return Poll::Ready(Ok(0));
        }
        self.outbound.reserve_capacity(data.len());
        while self.outbound.capacity() == 0 {
            match ready!(self.outbound.poll_capacity(context)) {
                None => return Poll::Ready(Err(io::ErrorKind::BrokenPipe.into())),
                Some(Err(error)) => return Poll::Ready(Err(reset(error))),
                Some(Ok(_)) => {}
            }
        }
        let count = self.outbound.capacity().min(data.len());
        let sent = self.outbound.send_data(Bytes::copy_from_slice(&data[..count]), false);
        Poll::Ready(sent.map(|()| count).map_err(reset))
    }

    fn poll_flush(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(Ok(()))
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<io::Result<()>> {
        Poll::Ready(self.outbound.send_data(Bytes::new(), true).map_err(reset))
    }
}
