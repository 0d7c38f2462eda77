//! How connections to endpoints are opened.

use std::{fmt, io, net::SocketAddr, sync::Arc};

use futures_util::future::BoxFuture;
use tokio::net::TcpStream;

type Open = dyn Fn(SocketAddr) -> BoxFuture<'static, io::Result<TcpStream>> + Send + Sync;

/// Opens TCP connections to endpoints.
#[derive(Clone)]
pub struct Dialer(Arc<Open>);

impl Dialer {
    /// Opens connections over the network of this box.
    pub fn system() -> Dialer {
        Dialer::new(|address| Box::pin(TcpStream::connect(address)))
    }

    /// Opens connections as `open` does.
    pub fn new(
        open: impl Fn(SocketAddr) -> BoxFuture<'static, io::Result<TcpStream>> + Send + Sync + 'static,
    ) -> Dialer {
        Dialer(Arc::new(open))
    }

    /// Connects to an endpoint; without a timeout.
    pub async fn dial(&self, address: SocketAddr) -> io::Result<TcpStream> {
        (self.0)(address).await
    }
}

impl fmt::Debug for Dialer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Dialer").finish_non_exhaustive()
    }
}
