//! Client side: requests to another box.

use std::{
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use h2::client::SendRequest;
use http::header;
use tokio::sync::Mutex;

use crate::{
    Error, MAX_MESSAGE_BYTES, Message, NEWEST_FORMAT, compression, decode, encode,
    server::read_all, socket::connect, tunnel,
};

/// Client for one peer, with a single connection that is opened on demand.
#[derive(Clone)]
pub struct Peer {
    address: SocketAddr,
    source: IpAddr,
    /// The open connection. No request waits for this lock: a dead one has to be dropped at once.
    connection: Arc<parking_lot::Mutex<Option<SendRequest<Bytes>>>>,
    /// Held by the request that opens a connection.
    opening: Arc<Mutex<()>>,
    tunnels: tunnel::Client,
    format: u16,
}

/// Bytes of a request and its answer on the wire.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Size {
    /// Request.
    pub sent: u64,
    /// Answer, as compressed.
    pub received: u64,
}

impl Peer {
    /// Creates a client for `address` that connects from the local address `source`; opens nothing
    /// yet.
    pub fn new(address: SocketAddr, source: IpAddr) -> Peer {
        let tunnels = tunnel::Client::new(address, source);
        Peer {
            address,
            source,
            connection: Arc::default(),
            opening: Arc::default(),
            tunnels,
            format: NEWEST_FORMAT,
        }
    }

    /// Uses a given format instead of the newest.
    pub fn with_format(self, format: u16) -> Peer {
        Peer { format, ..self }
    }

    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Client for tunnels through this peer.
    pub fn tunnels(&self) -> &tunnel::Client {
        &self.tunnels
    }

    /// Sends a request and waits for the answer.
    pub async fn ask(&self, message: &Message, timeout: Duration) -> Result<Message, Error> {
        self.ask_with_size(message, timeout).await.map(|(answer, _)| answer)
    }

    /// Sends a request and waits for the answer; also returns the size of both.
    pub async fn ask_with_size(
        &self,
        message: &Message,
        timeout: Duration,
    ) -> Result<(Message, Size), Error> {
        let bytes = encode(message, self.format)?;
        match tokio::time::timeout(timeout, self.exchange(bytes)).await {
            Ok(answer) => answer,
            Err(_) => {
                // The connection may be half-open after a network fault: the next request opens a
                // new one.
                self.connection.lock().take();
                Err(Error::Timeout)
            }
        }
    }

    async fn exchange(&self, bytes: Vec<u8>) -> Result<(Message, Size), Error> {
        let result = self.exchange_once(bytes).await;
        if let Err(Error::Unreachable { .. }) = &result {
            self.connection.lock().take();
        }
        result
    }

    async fn exchange_once(&self, bytes: Vec<u8>) -> Result<(Message, Size), Error> {
        let sent = bytes.len() as u64;
        let mut sender = self.sender().await?.ready().await.map_err(unreachable)?;
        let request = http::Request::post("http://peer/")
            .header(header::ACCEPT_ENCODING, compression::ENCODING)
            .body(())
            .expect("a valid request");
        let (response, mut stream) = sender.send_request(request, false).map_err(unreachable)?;
        stream.send_data(bytes.into(), true).map_err(unreachable)?;
        let response = response.await.map_err(unreachable)?;
        let status = response.status();
        let is_compressed = response.headers().contains_key(header::CONTENT_ENCODING);
        let body = read_all(response.into_body()).await?;
        let size = Size { sent, received: body.len() as u64 };
        let body = if is_compressed { compression::decompress(&body)? } else { body.to_vec() };
        if !status.is_success() {
            let reason = String::from_utf8_lossy(&body).into_owned();
            return Err(Error::Malformed { reason });
        }
        Ok((decode(&body)?.0, size))
    }

    async fn sender(&self) -> Result<SendRequest<Bytes>, Error> {
        if let Some(sender) = self.open_sender() {
            return Ok(sender);
        }
        let _opening = self.opening.lock().await;
        if let Some(sender) = self.open_sender() {
            return Ok(sender);
        }
        let stream = connect(self.address, self.source).await.map_err(unreachable)?;
        let _ = stream.set_nodelay(true);
        let mut builder = h2::client::Builder::new();
        builder
            .initial_window_size(MAX_MESSAGE_BYTES as u32)
            .initial_connection_window_size(4 << 20);
        let (sender, driver) = builder.handshake(stream).await.map_err(unreachable)?;
        tokio::spawn(async move {
            let _ = driver.await;
        });
        *self.connection.lock() = Some(sender.clone());
        Ok(sender)
    }

    fn open_sender(&self) -> Option<SendRequest<Bytes>> {
        self.connection.lock().clone()
    }
}

fn unreachable(error: impl std::fmt::Display) -> Error {
    Error::Unreachable { reason: error.to_string() }
}
