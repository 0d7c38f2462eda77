//! Server side: answers to other boxes.

use std::{net::SocketAddr, os::fd::AsFd, pin::pin, sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use http::{Method, header};
use ledger::Incarnation;
use socket2::{SockRef, Socket};
use tokio::{
    net::{TcpListener, TcpStream},
    task::{JoinHandle, JoinSet},
};

use crate::{
    Error, MAX_MESSAGE_BYTES, Message, compression, decode, encode, socket::limit_unacknowledged,
    tunnel,
};

/// Concurrent streams on one connection.
const MAX_STREAMS: u32 = 256;
/// Longest time to receive one request.
const READ_TIMEOUT: Duration = Duration::from_secs(5);

/// Handler of requests.
#[async_trait::async_trait]
pub trait Answer: Send + Sync + 'static {
    async fn answer(&self, request: Message) -> Message;

    /// Connects to an address on behalf of another box, which does not reach it.
    async fn dial(
        &self,
        _from: &Incarnation,
        _target: SocketAddr,
    ) -> Result<tunnel::Exit, tunnel::Refusal> {
        Err(tunnel::Refusal::Declined)
    }

    /// Waits until this box opens no more tunnels, as it is about to stop.
    async fn wait_stopping(&self) {
        std::future::pending().await
    }
}

/// A running server for other boxes; it stops when dropped.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl Server {
    /// Binds an address and serves requests until dropped.
    pub async fn bind(address: SocketAddr, answer: Arc<dyn Answer>) -> std::io::Result<Server> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let task = tokio::spawn(accept(listener, answer));
        Ok(Server { address, task })
    }

    /// The bound address.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn accept(listener: TcpListener, answer: Arc<dyn Answer>) {
    let mut connections = JoinSet::new();
    loop {
        tokio::select! {
            accepted = listener.accept() => {
                if let Ok((stream, _)) = accepted {
                    connections.spawn(serve(stream, answer.clone()));
                }
            }
            Some(_) = connections.join_next() => {}
        }
    }
}

async fn serve(stream: TcpStream, answer: Arc<dyn Answer>) {
    let _ = stream.set_nodelay(true);
    // The connection itself moves into the handshake.
    let socket = match stream.as_fd().try_clone_to_owned() {
        Ok(socket) => Socket::from(socket),
        Err(error) => return tracing::warn!(event = "peer_not_served", %error),
    };
    let mut builder = h2::server::Builder::new();
    builder.max_concurrent_streams(MAX_STREAMS).max_header_list_size(4 << 10);
    builder.initial_window_size(MAX_MESSAGE_BYTES as u32).initial_connection_window_size(4 << 20);
    let Ok(mut connection) = builder.handshake::<_, Bytes>(stream).await else { return };
    let mut streams = JoinSet::new();
    let mut carries_tunnels = false;
    let stopping = answer.clone();
    let mut stopping = pin!(stopping.wait_stopping());
    let mut is_stopping = false;
    loop {
        let accepted = tokio::select! {
            accepted = connection.accept() => accepted,
            () = &mut stopping, if carries_tunnels && !is_stopping => {
                is_stopping = true;
                connection.graceful_shutdown();
                continue;
            }
        };
        let Some(Ok((request, respond))) = accepted else { return };
        if request.method() == Method::CONNECT {
            if !std::mem::replace(&mut carries_tunnels, true) {
                limit_unacknowledged(SockRef::from(&socket));
            }
            let answer = answer.clone();
            let dial = async move |from, target| answer.dial(&from, target).await;
            streams.spawn(tunnel::serve(request, respond, dial));
            continue;
        }
        let accepts_compression = request
            .headers()
            .get(header::ACCEPT_ENCODING)
            .is_some_and(|encoding| encoding == compression::ENCODING);
        streams.spawn(serve_stream(
            request.into_body(),
            respond,
            answer.clone(),
            accepts_compression,
        ));
        while streams.try_join_next().is_some() {}
    }
}

async fn serve_stream(
    body: h2::RecvStream,
    mut respond: h2::server::SendResponse<Bytes>,
    answer: Arc<dyn Answer>,
    accepts_compression: bool,
) {
    let read = tokio::time::timeout(READ_TIMEOUT, read_all(body)).await;
    let request = match read {
        Ok(Ok(bytes)) => decode(&bytes),
        Ok(Err(error)) => Err(error),
        Err(_) => Err(Error::Timeout),
    };
    let (status, body) = match request {
        Ok((message, format)) => match encode(&answer.answer(message).await, format) {
            Ok(bytes) => (200, bytes),
            Err(error) => (500, error.to_string().into_bytes()),
        },
        Err(error) => {
            tracing::debug!(%error, "rejected a message from a peer");
            (400, error.to_string().into_bytes())
        }
    };
    let response = http::Response::builder().status(status);
    let (response, body) = match accepts_compression.then(|| compression::compress(&body)).flatten()
    {
        Some(compressed) => {
            (response.header(header::CONTENT_ENCODING, compression::ENCODING), compressed)
        }
        None => (response, body),
    };
    let response = response.body(()).expect("a valid response");
    if let Ok(mut stream) = respond.send_response(response, false) {
        let _ = stream.send_data(body.into(), true);
    }
}

/// Reads a body; fails as soon as it exceeds [`MAX_MESSAGE_BYTES`].
pub(crate) async fn read_all(mut body: h2::RecvStream) -> Result<BytesMut, Error> {
    let mut bytes = BytesMut::new();
    while let Some(part) = body.data().await {
        let part = part.map_err(|error| Error::Unreachable { reason: error.to_string() })?;
        if bytes.len() + part.len() > MAX_MESSAGE_BYTES {
            return Err(Error::TooLarge { bytes: bytes.len() + part.len() });
        }
        let _ = body.flow_control().release_capacity(part.len());
        bytes.extend_from_slice(&part);
    }
    Ok(bytes)
}
