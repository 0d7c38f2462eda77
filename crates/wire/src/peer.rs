//! Asking another box.

use std::{
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use h2::client::SendRequest;
use http::header;
use tokio::{
    net::{TcpSocket, TcpStream},
    sync::Mutex,
};

use crate::{
    Error, MAX_MESSAGE_BYTES, Message, NEWEST_FORMAT, decode, encode, packed, server::read_all,
};

/// A peer that is asked over one connection, opened when it is needed.
#[derive(Clone)]
pub struct Peer {
    address: SocketAddr,
    source: IpAddr,
    connection: Arc<Mutex<Option<SendRequest<Bytes>>>>,
    format: u16,
}

/// Bytes of a question and its answer, as they went over the link.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Size {
    /// Of the question.
    pub sent: u64,
    /// Of the answer.
    pub received: u64,
}

impl Peer {
    /// A peer at an address, reached from this box's own IP number; nothing is sent yet.
    pub fn new(address: SocketAddr, source: IpAddr) -> Peer {
        Peer { address, source, connection: Arc::default(), format: NEWEST_FORMAT }
    }

    /// The same peer, spoken to in a given format.
    pub fn speaking(self, format: u16) -> Peer {
        Peer { format, ..self }
    }

    /// Where it is.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Asks and waits for the answer.
    pub async fn ask(&self, question: &Message, within: Duration) -> Result<Message, Error> {
        self.ask_counted(question, within).await.map(|(answer, _)| answer)
    }

    /// Asks and waits for the answer; says what both took.
    pub async fn ask_counted(
        &self,
        question: &Message,
        within: Duration,
    ) -> Result<(Message, Size), Error> {
        let bytes = encode(question, self.format)?;
        match tokio::time::timeout(within, self.exchange(bytes)).await {
            Ok(answer) => answer,
            Err(_) => {
                // A connection that does not answer may be one end of a cut link.
                self.connection.lock().await.take();
                Err(Error::Timeout)
            }
        }
    }

    async fn exchange(&self, bytes: Vec<u8>) -> Result<(Message, Size), Error> {
        let result = self.exchange_once(bytes).await;
        if let Err(Error::Unreachable { .. }) = &result {
            self.connection.lock().await.take();
        }
        result
    }

    async fn exchange_once(&self, bytes: Vec<u8>) -> Result<(Message, Size), Error> {
        let sent = bytes.len() as u64;
        let mut sender = self.sender().await?.ready().await.map_err(unreachable)?;
        let request = http::Request::post("http://peer/")
            .header(header::ACCEPT_ENCODING, packed::ENCODING)
            .body(())
            .expect("a plain request");
        let (response, mut stream) = sender.send_request(request, false).map_err(unreachable)?;
        stream.send_data(bytes.into(), true).map_err(unreachable)?;
        let response = response.await.map_err(unreachable)?;
        let status = response.status();
        let is_packed = response.headers().contains_key(header::CONTENT_ENCODING);
        let body = read_all(response.into_body()).await?;
        let size = Size { sent, received: body.len() as u64 };
        let body = if is_packed { packed::unpack(&body)? } else { body.to_vec() };
        if !status.is_success() {
            let reason = String::from_utf8_lossy(&body).into_owned();
            return Err(Error::Malformed { reason });
        }
        Ok((decode(&body)?.0, size))
    }

    async fn connect(&self) -> std::io::Result<TcpStream> {
        let socket = match self.address.is_ipv4() {
            true => TcpSocket::new_v4()?,
            false => TcpSocket::new_v6()?,
        };
        socket.bind((self.source, 0).into())?;
        socket.connect(self.address).await
    }

    async fn sender(&self) -> Result<SendRequest<Bytes>, Error> {
        let mut connection = self.connection.lock().await;
        if let Some(sender) = &*connection {
            return Ok(sender.clone());
        }
        let stream = self.connect().await.map_err(unreachable)?;
        let _ = stream.set_nodelay(true);
        let mut builder = h2::client::Builder::new();
        builder
            .initial_window_size(MAX_MESSAGE_BYTES as u32)
            .initial_connection_window_size(4 << 20);
        let (sender, driver) = builder.handshake(stream).await.map_err(unreachable)?;
        tokio::spawn(async move {
            let _ = driver.await;
        });
        *connection = Some(sender.clone());
        Ok(sender)
    }
}

fn unreachable(error: impl std::fmt::Display) -> Error {
    Error::Unreachable { reason: error.to_string() }
}
