//! Opens tunnels through one other box.

use std::{
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use bytes::Bytes;
use h2::{Ping, PingPong, client::SendRequest};
use http::{Method, Request};
use ledger::Incarnation;
use socket2::SockRef;
use tokio::sync::{Mutex, watch};

use super::{FROM, Refusal, Stream};
use crate::socket::{connect, limit_unacknowledged};

/// Bytes in flight on one tunnel, in each direction.
const WINDOW_BYTES: u32 = 256 << 10;
/// Bytes in flight on all tunnels of one connection.
const CONNECTION_WINDOW_BYTES: u32 = 4 << 20;
/// Interval of pings while a connection carries tunnels: answers may be due for seconds, and silence means nothing then.
const PING_INTERVAL: Duration = Duration::from_millis(500);
/// Time after which a ping without an answer closes the connection.
const PING_TIMEOUT: Duration = Duration::from_millis(1_000);
/// Pings after which a connection without tunnels is closed.
const MAX_IDLE_PINGS: u32 = 20;

#[derive(Clone, Debug)]
struct Connection {
    sender: SendRequest<Bytes>,
    /// Held by each open tunnel; says whether the other box is about to stop.
    closing: watch::Receiver<bool>,
}

/// Client for tunnels through one box, with a single connection that is opened on demand. Messages have another one, so
/// that bulk data does not delay them.
#[derive(Clone, Debug)]
pub struct Client {
    address: SocketAddr,
    source: IpAddr,
    connection: Arc<Mutex<Option<Connection>>>,
}

impl Client {
    /// Creates a client for the box at `address` that connects from the local address `source`; opens nothing yet.
    pub fn new(address: SocketAddr, source: IpAddr) -> Client {
        Client { address, source, connection: Arc::default() }
    }

    /// Opens a tunnel to `target`, on behalf of the box `from`.
    pub async fn open(
        &self,
        from: &Incarnation,
        target: SocketAddr,
        timeout: Duration,
    ) -> Result<Stream, Refusal> {
        let silent = |reason: String| Refusal::Silent { reason };
        match tokio::time::timeout(timeout, self.open_once(from, target)).await {
            Ok(Ok(opened)) => opened,
            Ok(Err(error)) => {
                self.connection.lock().await.take();
                Err(silent(error))
            }
            Err(_) => Err(silent(format!("no answer within {} ms", timeout.as_millis()))),
        }
    }

    /// The inner result is the answer of the other box, the outer one a failure of the connection.
    async fn open_once(
        &self,
        from: &Incarnation,
        target: SocketAddr,
    ) -> Result<Result<Stream, Refusal>, String> {
        let Connection { sender, closing } = self.connection().await?;
        let mut sender = sender.ready().await.map_err(|error| error.to_string())?;
        let request = Request::builder().method(Method::CONNECT).uri(target.to_string());
        let request = request.header(FROM, from.as_str()).body(());
        let request = request.map_err(|error| error.to_string())?;
        let sent = sender.send_request(request, false);
        let (response, outbound) = sent.map_err(|error| error.to_string())?;
        let response = response.await.map_err(|error| error.to_string())?;
        if !response.status().is_success() {
            return Ok(Err(Refusal::of_status(response.status())));
        }
        Ok(Ok(Stream::new(outbound, response.into_body(), Some(closing))))
    }

    async fn connection(&self) -> Result<Connection, String> {
        let mut open = self.connection.lock().await;
        let usable = open.as_ref().filter(|connection| !*connection.closing.borrow());
        if let Some(connection) = usable {
            return Ok(connection.clone());
        }
        let opened = self.connect().await?;
        *open = Some(opened.clone());
        Ok(opened)
    }

    async fn connect(&self) -> Result<Connection, String> {
        let stream = connect(self.address, self.source).await.map_err(|error| error.to_string())?;
        stream.set_nodelay(true).map_err(|error| error.to_string())?;
        limit_unacknowledged(SockRef::from(&stream));
        let mut builder = h2::client::Builder::new();
        builder
            .initial_window_size(WINDOW_BYTES)
            .initial_connection_window_size(CONNECTION_WINDOW_BYTES);
        let handshake = builder.handshake(stream).await;
        let (sender, mut driver) = handshake.map_err(|error| error.to_string())?;
        let pings = driver.ping_pong();
        let (close, closing) = watch::channel(false);
        let watched = sender.clone();
        tokio::spawn(async move {
            tokio::select! {
                ended = driver => {
                    if let Err(error) = ended {
                        tracing::debug!(event = "tunnels_ended", %error);
                    }
                }
                () = wait_unused(pings, watched, &close) => {}
            }
            close.send_replace(true);
        });
        Ok(Connection { sender, closing })
    }
}

/// Waits until the other box is silent, or the connection has carried no tunnel for a while. Sets `close` once the other box
/// announces that it stops.
async fn wait_unused(
    pings: Option<PingPong>,
    sender: SendRequest<Bytes>,
    close: &watch::Sender<bool>,
) {
    let mut pings = pings.expect("the first handle for pings");
    // The client holds one receiver.
    let is_used = || close.receiver_count() > 1;
    let mut idle_pings = 0;
    while idle_pings < MAX_IDLE_PINGS {
        tokio::time::sleep(PING_INTERVAL).await;
        idle_pings = if is_used() { 0 } else { idle_pings + 1 };
        let answer = tokio::time::timeout(PING_TIMEOUT, pings.ping(Ping::opaque())).await;
        let ready = tokio::time::timeout(Duration::ZERO, sender.clone().ready()).await;
        if matches!(ready, Ok(Err(_))) {
            close.send_replace(true);
        }
        if !matches!(answer, Ok(Ok(_))) {
            tracing::info!(event = "tunnels_silent");
            return;
        }
    }
}
