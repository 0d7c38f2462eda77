//! A TCP forwarder that can simulate a network partition: bytes stop, connections stay open.

use std::{
    collections::HashSet,
    net::{IpAddr, SocketAddr},
    sync::Arc,
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinHandle,
};

/// Size of a copy buffer, in bytes.
const BUFFER_BYTES: usize = 16 << 10;

/// What a link forwards.
#[derive(Debug, Clone, Default)]
struct Filter {
    cut: bool,
    blocked: HashSet<IpAddr>,
    target: Option<SocketAddr>,
    /// Calls of `stall_open_connections` so far; connections opened at a lower count are stalled.
    stall_count: u64,
    /// Calls of `close_open_connections` so far; connections opened at a lower count are closed.
    close_count: u64,
}

impl Filter {
    fn passes(&self, source: IpAddr, opened_at_count: u64) -> bool {
        let open = !self.cut && !self.blocked.contains(&source) && self.target.is_some();
        open && opened_at_count >= self.stall_count
    }
}

/// A forwarder from a loopback port to a target.
#[derive(Debug)]
pub struct Link {
    address: SocketAddr,
    filter: Arc<watch::Sender<Filter>>,
    task: JoinHandle<()>,
}

impl Link {
    /// Binds a free loopback port that forwards to `target` with a delay.
    pub async fn bind(target: SocketAddr, delay: Duration) -> std::io::Result<Link> {
        let link = Link::bind_at(([127, 0, 0, 1], 0).into(), delay).await?;
        link.set_target(target);
        Ok(link)
    }

    /// Binds a loopback address. Connections wait until a target is set.
    pub async fn bind_at(address: SocketAddr, delay: Duration) -> std::io::Result<Link> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (filter, state) = watch::channel(Filter::default());
        let task = tokio::spawn(async move {
            while let Ok((stream, source)) = listener.accept().await {
                tokio::spawn(forward(stream, source.ip(), delay, state.clone()));
            }
        });
        Ok(Link { address, filter: Arc::new(filter), task })
    }

    /// Address that the link listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the target of new connections.
    pub fn set_target(&self, target: SocketAddr) {
        self.filter.send_modify(|filter| filter.target = Some(target));
    }

    /// Stops or resumes forwarding of all connections in both directions.
    pub fn set_cut(&self, cut: bool) {
        self.filter.send_modify(|filter| filter.cut = cut);
    }

    /// Stops forwarding of the connections that are open now, for ever; new ones work.
    pub fn stall_open_connections(&self) {
        self.filter.send_modify(|filter| filter.stall_count += 1);
    }

    /// Closes the connections that are open now; new ones work.
    pub fn close_open_connections(&self) {
        self.filter.send_modify(|filter| filter.close_count += 1);
    }

    /// Stops or resumes forwarding of connections from one source address.
    pub fn set_blocked(&self, source: IpAddr, blocked: bool) {
        self.filter.send_modify(|filter| {
            match blocked {
                true => filter.blocked.insert(source),
                false => filter.blocked.remove(&source),
            };
        });
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn forward(
    client: TcpStream,
    source: IpAddr,
    delay: Duration,
    mut filter: watch::Receiver<Filter>,
) {
    let (opened_at_count, close_count) = {
        let filter = filter.borrow();
        (filter.stall_count, filter.close_count)
    };
    let mut closes = filter.clone();
    let passed = filter.wait_for(|filter| filter.passes(source, opened_at_count)).await;
    let Ok(target) = passed.map(|filter| filter.target) else { return };
    let Some(target) = target else { return };
    let Ok(server) = TcpStream::connect(target).await else { return };
    let _ = (client.set_nodelay(true), server.set_nodelay(true));
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let upstream = copy(client_read, server_write, delay, source, opened_at_count, filter.clone());
    let downstream = copy(server_read, client_write, delay, source, opened_at_count, filter);
    tokio::select! {
        _ = async { tokio::join!(upstream, downstream) } => {}
        _ = closes.wait_for(|filter| filter.close_count > close_count) => {}
    }
}

async fn copy(
    mut from: impl AsyncReadExt + Unpin,
    mut to: impl AsyncWriteExt + Unpin,
    delay: Duration,
    source: IpAddr,
    opened_at_count: u64,
    mut filter: watch::Receiver<Filter>,
) {
    let mut buffer = vec![0; BUFFER_BYTES];
    while let Ok(read) = from.read(&mut buffer).await {
        if read == 0 {
            break;
        }
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        let _ = filter.wait_for(|filter| filter.passes(source, opened_at_count)).await;
        if to.write_all(&buffer[..read]).await.is_err() {
            break;
        }
    }
    let _ = to.shutdown().await;
}
