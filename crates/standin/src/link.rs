//! A TCP link that can be cut: bytes stop, connections stay, as in a real partition.

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

/// Bytes copied at once.
const CHUNK: usize = 16 << 10;

/// What a link lets through.
#[derive(Debug, Clone, Default)]
struct Gate {
    cut: bool,
    blocked: HashSet<IpAddr>,
    target: Option<SocketAddr>,
    /// Connections opened before this count was reached carry nothing more.
    lost: u64,
}

impl Gate {
    fn passes(&self, source: IpAddr, opened: u64) -> bool {
        let open = !self.cut && !self.blocked.contains(&source) && self.target.is_some();
        open && opened >= self.lost
    }
}

/// A forwarder from its own loopback port to a target.
#[derive(Debug)]
pub struct Link {
    address: SocketAddr,
    gate: Arc<watch::Sender<Gate>>,
    task: JoinHandle<()>,
}

impl Link {
    /// Binds a free loopback port that forwards to `target`, each byte after `delay`.
    pub async fn bind(target: SocketAddr, delay: Duration) -> std::io::Result<Link> {
        let link = Link::bind_at(([127, 0, 0, 1], 0).into(), delay).await?;
        link.set_target(target);
        Ok(link)
    }

    /// Binds a loopback address whose target is set later.
    pub async fn bind_at(address: SocketAddr, delay: Duration) -> std::io::Result<Link> {
        let listener = TcpListener::bind(address).await?;
        let address = listener.local_addr()?;
        let (gate, state) = watch::channel(Gate::default());
        let task = tokio::spawn(async move {
            while let Ok((stream, source)) = listener.accept().await {
                tokio::spawn(forward(stream, source.ip(), delay, state.clone()));
            }
        });
        Ok(Link { address, gate: Arc::new(gate), task })
    }

    /// Where callers connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Forwards new connections to this address from now on.
    pub fn set_target(&self, target: SocketAddr) {
        self.gate.send_modify(|gate| gate.target = Some(target));
    }

    /// Stops all bytes in both directions, or lets them pass again.
    pub fn set_cut(&self, cut: bool) {
        self.gate.send_modify(|gate| gate.cut = cut);
    }

    /// Lets the connections that are open now hang for ever; new ones work.
    pub fn stall_open_connections(&self) {
        self.gate.send_modify(|gate| gate.lost += 1);
    }

    /// Stops all bytes of connections from one IP number, or lets them pass again.
    pub fn set_blocked(&self, source: IpAddr, blocked: bool) {
        self.gate.send_modify(|gate| {
            match blocked {
                true => gate.blocked.insert(source),
                false => gate.blocked.remove(&source),
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
    near: TcpStream,
    source: IpAddr,
    delay: Duration,
    mut gate: watch::Receiver<Gate>,
) {
    let opened = gate.borrow().lost;
    let passed = gate.wait_for(|gate| gate.passes(source, opened)).await;
    let Ok(target) = passed.map(|gate| gate.target) else { return };
    let Some(target) = target else { return };
    let Ok(far) = TcpStream::connect(target).await else { return };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let there = copy(near_read, far_write, delay, source, opened, gate.clone());
    let back = copy(far_read, near_write, delay, source, opened, gate);
    tokio::join!(there, back);
}

async fn copy(
    mut from: impl AsyncReadExt + Unpin,
    mut to: impl AsyncWriteExt + Unpin,
    delay: Duration,
    source: IpAddr,
    opened: u64,
    mut gate: watch::Receiver<Gate>,
) {
    let mut buffer = vec![0; CHUNK];
    while let Ok(read) = from.read(&mut buffer).await {
        if read == 0 {
            break;
        }
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        let _ = gate.wait_for(|gate| gate.passes(source, opened)).await;
        if to.write_all(&buffer[..read]).await.is_err() {
            break;
        }
    }
    let _ = to.shutdown().await;
}
