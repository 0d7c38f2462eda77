//! Opens connections to endpoints, directly or by the detour.
//!
//! Both ways are raced, the one that is expected to work with a head start. So no evidence is needed before the first
//! request takes the detour, and a way that hangs costs the head start. If the detour works where the direct way
//! failed or hangs, the box is cut off from the endpoint; an endpoint that neither way reaches is down.

use std::{io::ErrorKind, net::SocketAddr, pin::Pin, sync::Arc, time::Duration};

use futures_util::future::{Either, select};
use tokio::time::timeout;

use crate::{
    Dialer, Fault,
    connection::Connection,
    detour::{Detour, Unreached, Way},
    options::Options,
};

/// Head start of the way that is expected to work: a few round trips between regions.
const HEAD_START: Duration = Duration::from_millis(100);

/// An opened connection.
#[derive(Debug)]
pub struct Opened {
    pub connection: Connection,
    /// The direct way hangs, so connections that were opened on it are dead too.
    pub direct_hangs: bool,
}

/// What a probe of an endpoint's port shows.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Probe {
    pub port: Port,
    /// Only the detour reaches the port.
    pub is_cut_off: bool,
}

/// What the port of an endpoint does.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Port {
    /// It accepts connections.
    Open,
    /// It refuses connections, those of other boxes too.
    Closed,
    /// It does not answer, or only this box is refused.
    Unknown,
}

type Opening = Pin<Box<dyn Future<Output = Result<Connection, Fault>> + Send>>;

/// Opens connections.
#[derive(Debug, Clone)]
pub struct Opener {
    pub options: Arc<Options>,
    pub dialer: Dialer,
    pub detour: Detour,
}

impl Opener {
    /// Opens a connection, by the way that is expected to work or by the other one.
    pub async fn open(&self, address: SocketAddr, expected: Way) -> Result<Opened, Fault> {
        let mut first = self.begin(address, expected);
        let early = timeout(HEAD_START, &mut first).await;
        let hangs = early.is_err();
        let connection = match early {
            Ok(Ok(connection)) => connection,
            Ok(Err(fault)) => self.begin(address, expected.other()).await.map_err(|_| fault)?,
            Err(_) => match select(first, self.begin(address, expected.other())).await {
                Either::Left((Ok(connection), _)) | Either::Right((Ok(connection), _)) => {
                    connection
                }
                Either::Left((Err(fault), second)) => second.await.map_err(|_| fault)?,
                Either::Right((Err(_), first)) => first.await?,
            },
        };
        let direct_hangs = hangs && expected == Way::Direct && connection.way == Way::Detour;
        Ok(Opened { connection, direct_hangs })
    }

    /// Opens a connection by the direct way only.
    pub async fn open_directly(&self, address: SocketAddr) -> Result<Opened, Fault> {
        let connection = self.begin(address, Way::Direct).await?;
        Ok(Opened { connection, direct_hangs: false })
    }

    /// Begins to open a connection on one way.
    pub fn begin(&self, address: SocketAddr, way: Way) -> Opening {
        let Opener { options, dialer, detour } = self.clone();
        Box::pin(async move {
            match way {
                Way::Direct => {
                    let Options { connect_timeout, ack_timeout, .. } = *options;
                    Connection::open(&dialer, address, connect_timeout, ack_timeout).await
                }
                Way::Detour => {
                    let tunnel = detour.open(address).await;
                    let tunnel =
                        tunnel.map_err(|error| Fault::Unsent { reason: error.to_string() })?;
                    Connection::over_tunnel(tunnel).await
                }
            }
        })
    }

    /// Looks at the port of an endpoint, from here and, if it is closed, from other boxes.
    pub async fn probe(&self, address: SocketAddr) -> Probe {
        let found = |port| Probe { port, is_cut_off: false };
        match timeout(self.options.connect_timeout, self.dialer.dial(address)).await {
            Ok(Ok(_)) => return found(Port::Open),
            Ok(Err(error)) if error.kind() == ErrorKind::ConnectionRefused => {}
            Ok(Err(_)) | Err(_) => return found(Port::Unknown),
        }
        match self.detour.open(address).await {
            Ok(_) => Probe { port: Port::Open, is_cut_off: true },
            Err(Unreached::Closed | Unreached::NoWay) => found(Port::Closed),
            Err(Unreached::Unreachable { .. }) => found(Port::Unknown),
        }
    }
}
