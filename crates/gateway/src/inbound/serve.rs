//! Listening sockets and the connections of callers, on `hyper`'s server, which is what lies
//! beneath `salvo`: an answer that breaks off must break its connection, and a caller that leaves
//! must end its request at once.

use std::{convert::Infallible, future::Future, net::SocketAddr, sync::Arc, time::Duration};

use http::{Request, Response};
use http_body::Body;
use hyper::{body::Incoming, server::conn::http1, service::service_fn};
use hyper_util::rt::{TokioIo, TokioTimer};
use tokio::{
    net::{TcpListener, TcpSocket, TcpStream},
    sync::{Semaphore, watch},
};
use tokio_util::task::TaskTracker;

use crate::{metrics::Metrics, proxy::bounds::Bounds};

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;
/// Pause after a connection could not be accepted, for example for want of descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Smallest buffer for a head that the library allows, in bytes.
const LEAST_HEAD: usize = 8_192;

/// Binds a listener; port 0 takes any free one.
pub fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = match address.is_ipv4() {
        true => TcpSocket::new_v4()?,
        false => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Accepts connections until its task is aborted; every connection is tracked in `tasks`, and has
/// the bounds of the moment at which it was accepted.
///
/// Once `closing` holds, each connection ends after the answer under way, or at once if it rests.
pub async fn accept<S, F, B>(
    listener: TcpListener,
    connections: usize,
    bounds: impl Fn() -> Bounds,
    tasks: TaskTracker,
    closing: watch::Receiver<bool>,
    metrics: Metrics,
    serve: S,
) where
    S: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    let places = Arc::new(Semaphore::new(connections));
    loop {
        let Ok(place) = places.clone().acquire_owned().await else { return };
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(error) => {
                tracing::warn!(event = "accept_failed", %error);
                tokio::time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let connection = connection(stream, bounds(), closing.clone(), serve.clone());
        let metrics = metrics.clone();
        tasks.spawn(async move {
            metrics.callers.inc();
            connection.await;
            metrics.callers.dec();
            drop(place);
        });
    }
}

/// Waits until connections are to end, or for ever if nobody can say so any more.
async fn closes(closing: &mut watch::Receiver<bool>) {
    let gone = closing.wait_for(|closing| *closing).await.is_err();
    if gone {
        std::future::pending::<()>().await;
    }
}

async fn connection<S, F, B>(
    stream: TcpStream,
    bounds: Bounds,
    mut closing: watch::Receiver<bool>,
    serve: S,
) where
    S: Fn(Request<Incoming>) -> F + Clone + Send + 'static,
    F: Future<Output = Response<B>> + Send + 'static,
    B: Body + Send + 'static,
    B::Data: Send,
    B::Error: Into<Box<dyn std::error::Error + Send + Sync>>,
{
    if let Err(error) = stream.set_nodelay(true) {
        tracing::debug!(event = "caller_gone", %error);
        return;
    }
    let service = service_fn(move |request| {
        let answer = serve(request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(bounds.head_timeout)
        .max_buf_size(bounds.max_head_bytes.max(LEAST_HEAD))
        .serve_connection(TokioIo::new(stream), service);
    let mut connection = std::pin::pin!(connection);
    let ended = tokio::select! {
        ended = connection.as_mut() => ended,
        () = closes(&mut closing) => {
            connection.as_mut().graceful_shutdown();
            connection.await
        }
    };
    // Callers that leave, answers that break off and heads that cannot be parsed end here; the
    // first two have log lines of their own.
    if let Err(error) = ended {
        tracing::debug!(event = "connection_ended", %error);
    }
}
