//! An HTTP server on loopback.

use std::net::SocketAddr;

use salvo::{Router, conn::tcp::TcpAcceptor};
use tokio::{net::TcpSocket, task::JoinHandle};

/// A running HTTP server on loopback; it stops when dropped.
#[derive(Debug)]
pub struct Server {
    address: SocketAddr,
    task: JoinHandle<()>,
}

impl Server {
    /// Binds a free loopback port and serves `router` on it.
    pub async fn spawn(router: Router) -> Server {
        Server::spawn_at(router, "127.0.0.1:0").await
    }

    /// Binds `address` and serves `router` on it.
    pub async fn spawn_at(router: Router, address: &str) -> Server {
        let address = address.parse().expect("a loopback address");
        let acceptor = listen(address).expect("loopback has free ports");
        let address = acceptor.local_addr().expect("a bound socket has an address");
        let server = salvo::Server::new(acceptor).disable_fuse();
        let task = tokio::spawn(async move { server.serve(router).await });
        Server { address, task }
    }

    /// Address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }
}

impl Drop for Server {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Disables Nagle's algorithm on the listener; accepted connections inherit that.
fn listen(address: SocketAddr) -> std::io::Result<TcpAcceptor> {
    let socket = TcpSocket::new_v4()?;
    socket.set_nodelay(true)?;
    socket.bind(address)?;
    TcpAcceptor::try_from(socket.listen(1_024)?).map_err(std::io::Error::other)
}
