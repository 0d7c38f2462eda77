//! A TCP link that can be cut: bytes stop, connections stay, as in a real partition.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinHandle,
};

/// Bytes copied at once.
const CHUNK: usize = 16 << 10;

/// A forwarder from its own loopback port to a target.
#[derive(Debug)]
pub struct Link {
    address: SocketAddr,
    cut: Arc<watch::Sender<bool>>,
    task: JoinHandle<()>,
}

impl Link {
    /// Binds a free loopback port that forwards to `target`, each byte after `delay`.
    pub async fn bind(target: SocketAddr, delay: Duration) -> std::io::Result<Link> {
        let listener = TcpListener::bind("127.0.0.1:0").await?;
        let address = listener.local_addr()?;
        let (cut, state) = watch::channel(false);
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(forward(stream, target, delay, state.clone()));
            }
        });
        Ok(Link { address, cut: Arc::new(cut), task })
    }

    /// Where callers connect.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Stops all bytes in both directions, or lets them pass again.
    pub fn set_cut(&self, cut: bool) {
        self.cut.send_replace(cut);
    }
}

impl Drop for Link {
    fn drop(&mut self) {
        self.task.abort();
    }
}

async fn forward(near: TcpStream, target: SocketAddr, delay: Duration, cut: watch::Receiver<bool>) {
    passable(&mut cut.clone()).await;
    let Ok(far) = TcpStream::connect(target).await else { return };
    let _ = (near.set_nodelay(true), far.set_nodelay(true));
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let there = copy(near_read, far_write, delay, cut.clone());
    let back = copy(far_read, near_write, delay, cut);
    tokio::join!(there, back);
}

async fn copy(
    mut from: impl AsyncReadExt + Unpin,
    mut to: impl AsyncWriteExt + Unpin,
    delay: Duration,
    mut cut: watch::Receiver<bool>,
) {
    let mut buffer = vec![0; CHUNK];
    while let Ok(read) = from.read(&mut buffer).await {
        if read == 0 {
            break;
        }
        if !delay.is_zero() {
            tokio::time::sleep(delay).await;
        }
        passable(&mut cut).await;
        if to.write_all(&buffer[..read]).await.is_err() {
            break;
        }
    }
    let _ = to.shutdown().await;
}

async fn passable(cut: &mut watch::Receiver<bool>) {
    let _ = cut.wait_for(|cut| !*cut).await;
}
