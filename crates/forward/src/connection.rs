//! One connection to an endpoint.

use std::{net::SocketAddr, time::Duration};

use bytes::Bytes;
use http::{Request, Response};
use http_body_util::Full;
use hyper::{body::Incoming, client::conn::http1};
use hyper_util::rt::TokioIo;
use socket2::SockRef;
use tokio::{task::AbortHandle, time::Instant};

use crate::{Dialer, Fault};

/// A connection, idle or in use.
#[derive(Debug)]
pub struct Connection {
    sender: http1::SendRequest<Full<Bytes>>,
    task: AbortHandle,
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
        stream.set_nodelay(true).map_err(|error| unsent(error.to_string()))?;
        SockRef::from(&stream)
            .set_tcp_user_timeout(Some(ack_timeout))
            .map_err(|error| unsent(error.to_string()))?;
        let (sender, connection) = http1::handshake(TokioIo::new(stream))
            .await
            .map_err(|error| unsent(error.to_string()))?;
        // The pending request receives the error too, so it may be ignored here.
        let task = tokio::spawn(async move { drop(connection.await) }).abort_handle();
        Ok(Connection { sender, task, reusable_until: Instant::now() })
    }

    /// Whether a request can be sent now, as no earlier one is still being sent.
    pub fn is_ready(&self) -> bool {
        self.sender.is_ready()
    }

    /// Whether the connection is closed.
    pub fn is_closed(&self) -> bool {
        self.sender.is_closed()
    }

    /// Sends a request and waits for the head of its response.
    pub async fn send(
        &mut self,
        request: Request<Full<Bytes>>,
    ) -> Result<Response<Incoming>, Fault> {
        self.sender.try_send_request(request).await.map_err(|mut failed| {
            let reason = failed.error().to_string();
            match failed.take_message() {
                Some(_) => Fault::Unsent { reason },
                None => Fault::Unknown { reason },
            }
        })
    }
}

impl Drop for Connection {
    /// Closes the connection at once, so that the endpoint cancels the request on it.
    fn drop(&mut self) {
        self.task.abort();
    }
}
