//! The platform, reached directly or through a peer that can reach it.
//!
//! A box that cannot connect to the platform keeps full service while it reaches a peer that can:
//! the peer makes the calls. The peer only forwards and keeps no state. As on the direct
//! connection, a write without an answer is *unknown*.

use std::{
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use objects::{Error, Expect, Host, Object, Store, Watch, Write};
use wire::{Frame, PlatformCall};

use crate::peers::Peers;

/// Consecutive failed direct calls after which peers are used.
const MAX_FAILURES: u32 = 2;
/// While the direct connection counts as broken, one call in this many still tries it.
const CALLS_PER_DIRECT_TRY: u32 = 16;

/// A store client that falls back to peers.
pub struct Fallback {
    direct: Arc<dyn Store>,
    peers: Peers,
    failures: AtomicU32,
    calls: AtomicU32,
}

impl Fallback {
    /// Uses `direct` while it works.
    pub fn new(direct: Arc<dyn Store>, peers: Peers) -> Fallback {
        Fallback { direct, peers, failures: AtomicU32::new(0), calls: AtomicU32::new(0) }
    }

    /// Whether the direct connection works, judged by the last calls.
    pub fn is_direct(&self) -> bool {
        self.failures.load(Ordering::Relaxed) < MAX_FAILURES
    }

    fn use_direct(&self) -> bool {
        let nth = self.calls.fetch_add(1, Ordering::Relaxed);
        self.is_direct()
            || nth.is_multiple_of(CALLS_PER_DIRECT_TRY)
            || !self.peers.reaches_platform()
    }

    fn record_result(&self, reached: bool) {
        match reached {
            true => self.failures.store(0, Ordering::Relaxed),
            false => drop(self.failures.fetch_add(1, Ordering::Relaxed)),
        }
    }

    /// Probes the direct connection while it counts as broken. Never returns.
    pub async fn probe(&self, interval: Duration) {
        loop {
            tokio::time::sleep(interval).await;
            if !self.is_direct() {
                let answer = self.direct.get("member", "probe").await;
                self.record_result(!matches!(answer, Err(Error::Unreachable { .. })));
            }
        }
    }

    async fn relay_read(&self, request: PlatformCall) -> Result<Vec<Object>, Error> {
        match self.peers.call(request).await {
            Some(Frame::Found { objects: Some(objects) }) => {
                Ok(objects.into_iter().map(object).collect())
            }
            _ => Err(Error::Unreachable { reason: "no peer reaches the platform".into() }),
        }
    }

    async fn relay_write(&self, request: PlatformCall) -> Write {
        match self.peers.call(request).await {
            Some(Frame::Written(write)) => match write {
                wire::Write::Landed(version) => Write::Landed(version),
                wire::Write::Refused => Write::Refused,
                wire::Write::Failed => Write::Failed,
                wire::Write::Unknown => Write::Unknown,
            },
            _ => Write::Unknown,
        }
    }
}

fn object(value: wire::Value) -> Object {
    let wire::Value { kind, name, version, value } = value;
    Object { kind, name, version, value }
}

#[async_trait::async_trait]
impl Store for Fallback {
    async fn get(&self, kind: &str, name: &str) -> Result<Option<Object>, Error> {
        if self.use_direct() {
            let answer = self.direct.get(kind, name).await;
            self.record_result(!matches!(answer, Err(Error::Unreachable { .. })));
            return answer;
        }
        let request = PlatformCall::Get { kind: kind.into(), name: name.into() };
        Ok(self.relay_read(request).await?.into_iter().next())
    }

    async fn list(&self, kind: &str, prefix: &str) -> Result<Vec<Object>, Error> {
        if self.use_direct() {
            let answer = self.direct.list(kind, prefix).await;
            self.record_result(!matches!(answer, Err(Error::Unreachable { .. })));
            return answer;
        }
        self.relay_read(PlatformCall::List { kind: kind.into(), prefix: prefix.into() }).await
    }

    async fn put(&self, kind: &str, name: &str, value: String, expect: Expect) -> Write {
        if self.use_direct() {
            let write = self.direct.put(kind, name, value, expect).await;
            self.record_result(matches!(write, Write::Landed(_) | Write::Refused));
            return write;
        }
        let version = match expect {
            Expect::Absent => 0,
            Expect::Version(version) => version,
        };
        self.relay_write(PlatformCall::Put { kind: kind.into(), name: name.into(), value, version })
            .await
    }

    async fn delete(&self, kind: &str, name: &str, version: u64) -> Write {
        if self.use_direct() {
            return self.direct.delete(kind, name, version).await;
        }
        self.relay_write(PlatformCall::Delete { kind: kind.into(), name: name.into(), version })
            .await
    }

    async fn watch(&self, kinds: &[&str], from: u64) -> Result<Watch, Error> {
        // Never relayed: status exchanges with peers bring new configuration.
        let answer = self.direct.watch(kinds, from).await;
        self.record_result(!matches!(answer, Err(Error::Unreachable { .. })));
        answer
    }

    async fn hosts(&self) -> Result<Vec<Host>, Error> {
        self.direct.hosts().await
    }
}
