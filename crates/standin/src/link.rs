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
const CHUNK: usize = 16 << 10;

/// What a link forwards.
#[derive(Debug, Clone, Default)]
struct Gate {
    cut: bool,
    blocked: HashSet<IpAddr>,
    target: Option<SocketAddr>,
    /// Number of calls of `stall_open_connections`; connections opened at a lower count are stalled.
    lost: u64,
}

impl Gate {
    fn passes(&self, source: IpAddr, opened: u64) -> bool {
        let open = !self.cut && !self.blocked.contains(&source) && self.target.is_some();
        open && opened >= self.lost
    }
}

/// A forwarder from a loopback port to a target.
#[derive(Debug)]
pub struct Link {
    address: SocketAddr,
    gate: Arc<watch::Sender<Gate>>,
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
        let (gate, state) = watch::channel(Gate::default());
        let task = tokio::spawn(async move {
            while let Ok((stream, source)) = listener.accept().await {
                tokio::spawn(forward(stream, source.ip(), delay, state.clone()));
            }
        });
        Ok(Link { address, gate: Arc::new(gate), task })
    }

    /// Address that the link listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets the target of new connections.
    pub fn set_target(&self, target: SocketAddr) {
        self.gate.send_modify(|gate| gate.target = Some(target));
    }

    /// Stops or resumes forwarding of all connections in both directions.
    pub fn set_cut(&self, cut: bool) {
        self.gate.send_modify(|gate| gate.cut = cut);
    }

    /// Stops forwarding of the connections that are open now, for ever; new ones work.
    pub fn stall_open_connections(&self) {
        self.gate.send_modify(|gate| gate.lost += 1);
    }

    /// Stops or resumes forwarding of connections from one source address.
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
