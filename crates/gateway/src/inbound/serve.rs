//! Listeners and connections of callers.
//!
//! Built directly on `hyper`: an answer that breaks off must close its connection, and a caller
//! that disconnects must cancel its request at once.

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

use crate::{
    inbound::caller_stream::{self, CallerStream},
    metrics::Metrics,
    proxy::bounds::Bounds,
};

/// Connections that may wait to be accepted.
const BACKLOG: u32 = 1_024;
/// Pause after a failed `accept`, such as for lack of file descriptors.
const ACCEPT_PAUSE: Duration = Duration::from_millis(20);
/// Smallest head buffer that `hyper` allows, in bytes.
const MIN_HEAD_BYTES: usize = 8_192;

/// Binds a listener; port 0 takes any free port.
pub fn bind(address: SocketAddr) -> std::io::Result<TcpListener> {
    let socket = match address.is_ipv4() {
        true => TcpSocket::new_v4()?,
        false => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.bind(address)?;
    socket.listen(BACKLOG)
}

/// Accepts connections until its task is aborted. Each connection is tracked in `tasks` and keeps
/// the bounds in force when it was accepted.
///
/// Once `closing` is true, each connection closes after its current answer, or at once if it is
/// idle.
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
    let slots = Arc::new(Semaphore::new(connections));
    loop {
        let Ok(slot) = slots.clone().acquire_owned().await else { return };
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
            drop(slot);
        });
    }
}

/// Waits until connections have to close; forever if the sender is gone.
async fn wait_closing(closing: &mut watch::Receiver<bool>) {
    let is_sender_gone = closing.wait_for(|closing| *closing).await.is_err();
    if is_sender_gone {
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
    let stream = CallerStream::new(stream);
    let close = stream.close();
    let closed = close.clone();
    let service = service_fn(move |mut request: Request<Incoming>| {
        request.extensions_mut().insert(close.clone());
        let answer = serve(request);
        async move { Ok::<_, Infallible>(answer.await) }
    });
    let connection = http1::Builder::new()
        .timer(TokioTimer::new())
        .header_read_timeout(bounds.head_timeout)
        .max_buf_size(bounds.max_head_bytes.max(MIN_HEAD_BYTES))
        .serve_connection(TokioIo::new(stream), service);
    let serving = async {
        let mut connection = std::pin::pin!(connection);
        tokio::select! {
            ended = connection.as_mut() => ended,
            () = wait_closing(&mut closing) => {
                connection.as_mut().graceful_shutdown();
                connection.await
            }
        }
    };
    let ended = tokio::select! {
        ended = serving => ended.map_err(|error| error.to_string()),
        () = closed.overdue() => Err("the caller did not read the response by its deadline".into()),
    };
    // Callers that disconnect, answers that break off and heads that cannot be parsed end here; the
    // first two have log lines of their own.
    if let Err(error) = ended {
        tracing::debug!(event = "connection_ended", error);
        caller_stream::reset(closed).await;
    }
}
