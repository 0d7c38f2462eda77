//! The far end of tunnels: connects to the address and passes bytes on.

use std::{any::Any, net::SocketAddr};

use bytes::Bytes;
use h2::{RecvStream, server::SendResponse};
use http::{Request, Response};
use ledger::Incarnation;
use tokio::net::TcpStream;

use super::{FROM, Refusal, Stream};

/// A connection to the address of a tunnel.
pub struct Exit {
    pub connection: TcpStream,
    /// Dropped when the tunnel has ended.
    pub guard: Box<dyn Any + Send>,
}

/// Serves one `CONNECT` request until its tunnel has ended. `dial` connects to the address for the box that asks.
pub async fn serve(
    request: Request<RecvStream>,
    mut respond: SendResponse<Bytes>,
    dial: impl AsyncFnOnce(Incarnation, SocketAddr) -> Result<Exit, Refusal>,
) {
    let dialed = tokio::select! {
        dialed = dial_target(&request, dial) => dialed,
        // The other box gave up.
        _ = std::future::poll_fn(|context| respond.poll_reset(context)) => return,
    };
    let (status, exit) = match dialed {
        Ok(exit) => (http::StatusCode::OK, Some(exit)),
        Err(refusal) => (refusal.status(), None),
    };
    let mut response = Response::new(());
    *response.status_mut() = status;
    let sent = respond.send_response(response, exit.is_none());
    let (Ok(outbound), Some(exit)) = (sent, exit) else { return };
    let mut stream = Stream::new(outbound, request.into_body(), None);
    let Exit { mut connection, guard } = exit;
    // Either end breaking ends both: the streams are dropped, which resets what has not ended.
    if let Err(error) = tokio::io::copy_bidirectional(&mut stream, &mut connection).await {
        tracing::debug!(event = "tunnel_broke", %error);
    }
    drop(guard);
}

async fn dial_target(
    request: &Request<RecvStream>,
    dial: impl AsyncFnOnce(Incarnation, SocketAddr) -> Result<Exit, Refusal>,
) -> Result<Exit, Refusal> {
    let from = request.headers().get(FROM).and_then(|from| from.to_str().ok());
    let from: Option<Incarnation> = from.map(Incarnation::from);
    let target = request.uri().authority().map(|authority| authority.as_str());
    let target: Option<SocketAddr> = target.and_then(|target| target.parse().ok());
    match (from, target) {
        (Some(from), Some(target)) => dial(from, target).await,
        _ => Err(Refusal::Declined),
    }
}
