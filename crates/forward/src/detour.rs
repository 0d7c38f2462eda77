//! A detour to endpoints: through another box, for one whose own link does not reach them.

use std::{fmt, net::SocketAddr, sync::Arc};

use futures_util::future::BoxFuture;
use snafu::Snafu;
use tokio::{
    io::{AsyncRead, AsyncWrite},
    sync::watch,
};

/// A byte stream to an endpoint.
pub trait Stream: AsyncRead + AsyncWrite + Send + Unpin {}

impl<T: AsyncRead + AsyncWrite + Send + Unpin> Stream for T {}

/// A connection through another box.
pub struct Tunnel {
    pub stream: Box<dyn Stream>,
    /// Whether the other box is about to stop: the tunnel gets no new requests.
    pub closing: watch::Receiver<bool>,
}

/// The way on which a connection is opened.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Way {
    /// On the link of this box.
    Direct,
    /// Through another box.
    Detour,
}

impl Way {
    pub(crate) fn other(self) -> Way {
        match self {
            Way::Direct => Way::Detour,
            Way::Detour => Way::Direct,
        }
    }
}

/// Why an endpoint was not reached by the detour.
#[derive(Debug, Clone, PartialEq, Eq, Snafu)]
pub enum Unreached {
    /// There is no detour at present.
    #[snafu(display("no other box answers"))]
    NoWay,
    /// The port is closed, wherever it is looked at from.
    #[snafu(display("the port is closed for other boxes too"))]
    Closed,
    /// Others do not reach the endpoint either, or some do not know.
    #[snafu(display("no other box reaches it: {reason}"))]
    Unreachable { reason: String },
}

type Open = dyn Fn(SocketAddr) -> BoxFuture<'static, Result<Tunnel, Unreached>> + Send + Sync;

/// Opens connections to endpoints through other boxes; bounds its own time.
#[derive(Clone)]
pub struct Detour(Arc<Open>);

impl Detour {
    /// Opens connections as `open` does.
    pub fn new(
        open: impl Fn(SocketAddr) -> BoxFuture<'static, Result<Tunnel, Unreached>>
        + Send
        + Sync
        + 'static,
    ) -> Detour {
        Detour(Arc::new(open))
    }

    /// No detour.
    pub fn none() -> Detour {
        Detour::new(|_| Box::pin(std::future::ready(Err(Unreached::NoWay))))
    }

    /// Connects to an endpoint.
    pub async fn open(&self, address: SocketAddr) -> Result<Tunnel, Unreached> {
        (self.0)(address).await
    }
}

impl fmt::Debug for Detour {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Detour").finish_non_exhaustive()
    }
}
