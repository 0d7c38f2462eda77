//! How connections to endpoints are opened.

use std::{
    fmt, io,
    net::{IpAddr, SocketAddr},
    sync::Arc,
};

use futures_util::future::BoxFuture;
use tokio::net::{TcpSocket, TcpStream};

type Open = dyn Fn(SocketAddr) -> BoxFuture<'static, io::Result<TcpStream>> + Send + Sync;

/// Opens TCP connections to endpoints.
#[derive(Clone)]
pub struct Dialer(Arc<Open>);

impl Dialer {
    /// Opens connections over the network of this box, from this local address if there is one.
    pub fn system(source: Option<IpAddr>) -> Dialer {
        Dialer::new(move |address| Box::pin(connect(address, source)))
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

async fn connect(address: SocketAddr, source: Option<IpAddr>) -> io::Result<TcpStream> {
    let socket = match address.is_ipv4() {
        true => TcpSocket::new_v4()?,
        false => TcpSocket::new_v6()?,
    };
    if let Some(source) = source.filter(|source| source.is_ipv4() == address.is_ipv4()) {
        socket.bind((source, 0).into())?;
    }
    socket.connect(address).await
}

impl fmt::Debug for Dialer {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Dialer").finish_non_exhaustive()
    }
}
