//! Cuts one box off from all endpoints; the store and the other boxes stay within its reach.

use std::{
    collections::HashMap,
    io::{Error, ErrorKind},
    net::SocketAddr,
    sync::Arc,
    time::Duration,
};

use forward::Dialer;
use parking_lot::Mutex;
use standin::Link;
use tokio::net::TcpStream;

/// What a cut does to connections.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Cut {
    /// Open connections are closed, and new ones refused.
    Reset,
    /// Open connections work on, and new ones are refused.
    Refuse,
    /// Open connections carry nothing any more, and new ones get no answer.
    Silent,
}

#[derive(Default)]
struct State {
    cut: Option<Cut>,
    /// Links to endpoints, by the address of the endpoint.
    links: HashMap<SocketAddr, Link>,
}

/// The connections of one box to endpoints, which can be cut.
#[derive(Clone, Default)]
pub struct EndpointCut(Arc<Mutex<State>>);

impl EndpointCut {
    /// Opens the connections of the box.
    pub fn dialer(&self) -> Dialer {
        let cut = self.clone();
        Dialer::new(move |address| {
            let cut = cut.clone();
            Box::pin(async move { cut.dial(address).await })
        })
    }

    async fn dial(&self, address: SocketAddr) -> Result<TcpStream, Error> {
        let cut = self.0.lock().cut;
        match cut {
            Some(Cut::Reset | Cut::Refuse) => return Err(ErrorKind::ConnectionRefused.into()),
            Some(Cut::Silent) => std::future::pending().await,
            None => {}
        }
        // A closed port is to be refused, which a link would accept.
        drop(TcpStream::connect(address).await?);
        let known = self.0.lock().links.get(&address).map(Link::address);
        let link = match known {
            Some(link) => link,
            None => {
                let link = Link::bind(address, Duration::ZERO).await?;
                let link_address = link.address();
                self.0.lock().links.insert(address, link);
                link_address
            }
        };
        TcpStream::connect(link).await
    }

    /// Cuts the box off.
    pub fn begin(&self, cut: Cut) {
        let mut state = self.0.lock();
        state.cut = Some(cut);
        for link in state.links.values() {
            match cut {
                Cut::Reset => link.close_open_connections(),
                Cut::Silent => link.set_cut(true),
                Cut::Refuse => {}
            }
        }
    }

    /// Ends the cut.
    pub fn end(&self) {
        let mut state = self.0.lock();
        state.cut = None;
        state.links.values().for_each(|link| link.set_cut(false));
    }
}
