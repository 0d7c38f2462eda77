//! The platform's balancer: asks each box every second whether it is ready, and gives callers a box.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    thread,
    time::Duration,
};

use crate::http::Connection;

/// A box as the balancer knows it.
#[derive(Debug, Clone)]
struct Node {
    zone: String,
    callers: SocketAddr,
    ready: SocketAddr,
    misses: u32,
}

#[derive(Clone, Default)]
pub struct Balancer(Arc<Mutex<Vec<Node>>>);

impl Balancer {
    pub fn add(&self, zone: &str, callers: SocketAddr, ready: SocketAddr) {
        let node = Node { zone: zone.into(), callers, ready, misses: 0 };
        self.0.lock().unwrap().push(node);
    }

    /// Forgets a box that is lost for good.
    pub fn remove(&self, callers: SocketAddr) {
        self.0.lock().unwrap().retain(|node| node.callers != callers);
    }

    /// Asks the boxes until the process ends.
    pub fn run(&self) {
        let this = self.clone();
        thread::spawn(move || {
            loop {
                let nodes = this.0.lock().unwrap().clone();
                for Node { callers, ready, .. } in nodes {
                    let is_ready = ask(ready);
                    let mut nodes = this.0.lock().unwrap();
                    if let Some(node) = nodes.iter_mut().find(|node| node.callers == callers) {
                        node.misses = if is_ready { 0 } else { node.misses + 1 };
                    }
                }
                thread::sleep(Duration::from_secs(1));
            }
        });
    }

    /// The address for a new connection of a caller: a box of its zone, or of another one if none of them is in.
    pub fn pick(&self, zone: &str, hash: usize) -> SocketAddr {
        let nodes = self.0.lock().unwrap();
        let all: Vec<&Node> = nodes.iter().collect();
        let is_in = |node: &&&Node| node.misses < 2;
        let near: Vec<&Node> = all.iter().filter(|node| node.zone == zone).copied().collect();
        let near_in: Vec<&Node> = near.iter().filter(is_in).copied().collect();
        let all_in: Vec<&Node> = all.iter().filter(is_in).copied().collect();
        let from = match (near_in.is_empty(), all_in.is_empty()) {
            (false, _) if 2 * near_in.len() < near.len() => near,
            (false, _) => near_in,
            (true, false) => all_in,
            (true, true) => all,
        };
        from[hash % from.len()].callers
    }
}

fn ask(ready: SocketAddr) -> bool {
    let limit = Duration::from_millis(500);
    let Ok(stream) = std::net::TcpStream::connect_timeout(&ready, limit) else { return false };
    let _ = stream.set_read_timeout(Some(limit));
    let mut connection = Connection::new(stream);
    let asked = connection.write(b"GET /ready HTTP/1.1\r\nHost: box\r\nConnection: close\r\n\r\n");
    asked.is_ok() && matches!(connection.read_head(), Ok(Some(head)) if head.status() == 200)
}
