//! Listening sockets of a box.

use std::{net::SocketAddr, sync::Arc};

use snafu::{ResultExt, Snafu};
use tokio::net::TcpListener;

use crate::{
    fleet::peers::Peers,
    inbound::{peer_service::PeerService, serve},
    proxy::bounds::Bounds,
    settings::Listen,
};

/// Why a box did not start.
#[derive(Debug, Snafu)]
pub enum Error {
    /// An address could not be bound.
    #[snafu(display("cannot listen on {address}: {source}"))]
    Bind { address: SocketAddr, source: std::io::Error },
}

/// The sockets of a box, except the one for other boxes.
pub struct Sockets {
    pub callers: TcpListener,
    pub ready: TcpListener,
    pub operators: TcpListener,
}

impl Sockets {
    pub fn bind(listen: &Listen) -> Result<Sockets, Error> {
        let bind = |address| serve::bind(address).context(BindSnafu { address });
        Ok(Sockets {
            callers: bind(listen.callers)?,
            ready: bind(listen.ready)?,
            operators: bind(listen.operators)?,
        })
    }

    /// Addresses for callers, for readiness checks and for metrics, in this order.
    pub fn addresses(&self) -> [SocketAddr; 3] {
        [&self.callers, &self.ready, &self.operators]
            .map(|socket| socket.local_addr().expect("a bound socket has an address"))
    }
}

/// Starts the server for other boxes, if one is configured.
pub async fn bind_peers(
    address: Option<SocketAddr>,
    peer_service: PeerService,
    peers: &Peers,
) -> Result<Option<wire::Server>, Error> {
    let Some(address) = address else { return Ok(None) };
    let server = wire::Server::bind(address, Arc::new(peer_service)).await;
    let server = server.context(BindSnafu { address })?;
    peers.set_address(server.address());
    Ok(Some(server))
}

/// Bounds on connections of the balancer and of scrapers: the platform's defaults.
pub fn admin_bounds() -> Bounds {
    Bounds::of(&platform::config::Limits::default())
}
