//! One connection to an endpoint.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::{net::TcpStream, sync::watch, task::AbortHandle, time::Instant};

use crate::{
    Dialer, Fault,
    detour::{Stream, Tunnel, Way},
    meter::{Meter, Metered},
    skip::Skipping,
    tag::{Carried, Tag},
};

/// Largest buffer for what arrives: of a head, or of a body whose caller reads slowly.
const MAX_BUFFER_BYTES: usize = 64 << 10;

/// A connection, idle or in use.
#[derive(Debug)]
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    task: AbortHandle,
    meter: Meter,
    carried: Carried,
    /// Way on which it was opened.
    pub way: Way,
    /// Whether the box that carries it is about to stop.
    closing: Option<watch::Receiver<bool>>,
    /// When it must not be reused any more, as the endpoint may close it for being idle.
    pub reusable_until: Instant,
}

impl Connection {
    /// Connects, without sending anything.
    pub async fn open(
        dialer: &Dialer,
        address: SocketAddr,
        connect_timeout: Duration,
        ack_timeout: Duration,
    ) -> Result<Connection, Fault> {
        let unsent = |reason: String| Fault::Unsent { reason };
        let stream = tokio::time::timeout(connect_timeout, dialer.dial(address))
            .await
            .map_err(|_| {
                unsent(format!("connecting timed out after {} ms", connect_timeout.as_millis()))
            })?
            .map_err(|error| unsent(error.to_string()))?;
        configure(&stream, ack_timeout).map_err(|error| unsent(error.to_string()))?;
        Connection::over(stream, Way::Direct, None).await
    }

    /// Uses a connection through another box, without sending anything.
    pub async fn over_tunnel(tunnel: Tunnel) -> Result<Connection, Fault> {
        Connection::over(tunnel.stream, Way::Detour, Some(tunnel.closing)).await
    }

    async fn over(
        stream: impl Stream + 'static,
        way: Way,
        closing: Option<watch::Receiver<bool>>,
    ) -> Result<Connection, Fault> {
        let meter = Meter::default();
        let carried = Carried::default();
        let stream = Skipping::new(Metered::new(stream, meter.clone()), carried.clone());
        let (sender, connection) = http1::Builder::new()
            .max_buf_size(MAX_BUFFER_BYTES)
            .handshake(TokioIo::new(stream))
            .await
            .map_err(|error| Fault::Unsent { reason: error.to_string() })?;
        // The pending request receives the error too, so it may be ignored here.
        let task = tokio::spawn(async move { drop(connection.await) }).abort_handle();
        let reusable_until = Instant::now();
        Ok(Connection { sender, task, meter, carried, way, closing, reusable_until })
    }

    /// Whether a request can be sent now, as no earlier one is still being sent.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Whether the connection is closed, or is to get no more requests.
    pub fn is_closed(&self) -> bool {
        let is_closing = self.closing.as_ref().is_some_and(|closing| *closing.borrow());
        is_closing || self.sender.is_closed()
    }

    /// A part of a response arrived.
    pub fn hear(&self) {
        self.meter.reset();
    }

    /// Requests that it has carried.
    pub fn carried(&self) -> &Carried {
        &self.carried
    }

    /// Sends a request and waits for the head of its response.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
        tag: &Tag,
    ) -> Result<Response<Incoming>, Fault> {
        self.meter.reset();
        self.carried.add(tag, Instant::now());
        self.sender.try_send_request(request).await.map_err(|mut failed| {
            let reason = failed.error().to_string();
            match failed.take_message() {
                Some(_) => Fault::Unsent { reason },
                None => Fault::Unknown { reason },
            }
        })
    }
}

/// Sets the options of a TCP connection to an endpoint.
pub fn configure(stream: &TcpStream, ack_timeout: Duration) -> std::io::Result<()> {
    stream.set_nodelay(true)?;
    SockRef::from(stream).set_tcp_user_timeout(Some(ack_timeout))
}

impl Drop for Connection {
    /// Closes the connection at once, so that the endpoint cancels the request on it.
    fn drop(&mut self) {
        self.task.abort();
    }
}
