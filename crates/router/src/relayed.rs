//! The platform, reached directly or through a peer that reaches it.
//!
//! A box whose own way to the platform is cut, but that reaches any peer that is not, keeps full
//! service: the peer makes its calls. The peer agrees on nothing and keeps nothing; a write whose
//! answer does not come back is *not known*, as always.

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

/// Failed direct calls in a row after which peers are asked.
const CUT_AFTER: u32 = 2;
/// One call in this many still goes the direct way while it is taken for cut.
const TRY_DIRECT: u32 = 16;

/// A store with a way round a cut.
pub struct Relayed {
    direct: Arc<dyn Store>,
    peers: Peers,
    failures: AtomicU32,
    calls: AtomicU32,
}

impl Relayed {
    /// Goes the direct way while it works.
    pub fn new(direct: Arc<dyn Store>, peers: Peers) -> Relayed {
        Relayed { direct, peers, failures: AtomicU32::new(0), calls: AtomicU32::new(0) }
    }

    /// Whether this box itself reaches the platform, as far as it knows.
    pub fn is_direct(&self) -> bool {
        self.failures.load(Ordering::Relaxed) < CUT_AFTER
    }

    fn goes_direct(&self) -> bool {
        let nth = self.calls.fetch_add(1, Ordering::Relaxed);
        self.is_direct() || nth.is_multiple_of(TRY_DIRECT) || !self.peers.reaches_platform()
    }

    fn note(&self, reached: bool) {
        match reached {
            true => self.failures.store(0, Ordering::Relaxed),
            false => drop(self.failures.fetch_add(1, Ordering::Relaxed)),
        }
    }

    /// Finds out in the background whether the direct way works again.
    pub async fn probe(&self, every: Duration) {
        loop {
            tokio::time::sleep(every).await;
            if !self.is_direct() {
                let answer = self.direct.get("member", "probe").await;
                self.note(!matches!(answer, Err(Error::Unreachable { .. })));
            }
        }
    }

    async fn objects(&self, question: PlatformCall) -> Result<Vec<Object>, Error> {
        match self.peers.call(question).await {
            Some(Frame::Found { objects: Some(objects) }) => {
                Ok(objects.into_iter().map(object).collect())
            }
            _ => Err(Error::Unreachable { reason: "no peer reaches the platform".into() }),
        }
    }

    async fn written(&self, question: PlatformCall) -> Write {
        match self.peers.call(question).await {
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
impl Store for Relayed {
    async fn get(&self, kind: &str, name: &str) -> Result<Option<Object>, Error> {
        if self.goes_direct() {
            let answer = self.direct.get(kind, name).await;
            self.note(!matches!(answer, Err(Error::Unreachable { .. })));
            return answer;
        }
        let question = PlatformCall::Get { kind: kind.into(), name: name.into() };
        Ok(self.objects(question).await?.into_iter().next())
    }

    async fn list(&self, kind: &str, prefix: &str) -> Result<Vec<Object>, Error> {
        if self.goes_direct() {
            let answer = self.direct.list(kind, prefix).await;
            self.note(!matches!(answer, Err(Error::Unreachable { .. })));
            return answer;
        }
        self.objects(PlatformCall::List { kind: kind.into(), prefix: prefix.into() }).await
    }

    async fn put(&self, kind: &str, name: &str, value: String, expect: Expect) -> Write {
        if self.goes_direct() {
            let write = self.direct.put(kind, name, value, expect).await;
            self.note(matches!(write, Write::Landed(_) | Write::Refused));
            return write;
        }
        let version = match expect {
            Expect::Absent => 0,
            Expect::Version(version) => version,
        };
        self.written(PlatformCall::Put { kind: kind.into(), name: name.into(), value, version })
            .await
    }

    async fn delete(&self, kind: &str, name: &str, version: u64) -> Write {
        if self.goes_direct() {
            return self.direct.delete(kind, name, version).await;
        }
        self.written(PlatformCall::Delete { kind: kind.into(), name: name.into(), version }).await
    }

    async fn watch(&self, kinds: &[&str], from: u64) -> Result<Watch, Error> {
        // Configuration comes from peers meanwhile, so a watch is never relayed.
        let answer = self.direct.watch(kinds, from).await;
        self.note(!matches!(answer, Err(Error::Unreachable { .. })));
        answer
    }

    async fn hosts(&self) -> Result<Vec<Host>, Error> {
        self.direct.hosts().await
    }
}
