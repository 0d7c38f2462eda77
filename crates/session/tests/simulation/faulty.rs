//! A store client that simulates the faults of one box.

use std::{sync::Arc, time::Duration};

use objects::{Error, Expect, Host, Object, Store, Watch, Write};
use parking_lot::Mutex;
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use standin::Memory;
use tokio::sync::watch;

/// Condition of a box.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Condition {
    Running,
    /// Suspended; it may resume.
    Frozen,
    /// Crashed; its tasks never continue.
    Dead,
}

/// Store client of one box.
pub struct FaultyStore {
    pub memory: Memory,
    pub state: watch::Sender<Condition>,
    pub is_disconnected: Mutex<bool>,
    /// Share of writes whose response is lost.
    pub loss_rate: f64,
    random: Mutex<ChaCha8Rng>,
}

impl FaultyStore {
    pub fn new(memory: Memory, loss_rate: f64, seed: u64) -> FaultyStore {
        FaultyStore {
            memory,
            state: watch::channel(Condition::Running).0,
            is_disconnected: Mutex::new(false),
            loss_rate,
            random: Mutex::new(ChaCha8Rng::seed_from_u64(seed)),
        }
    }

    /// Waits while the box is frozen, and forever once it is dead.
    pub async fn wait_running(&self) {
        let mut state = self.state.subscribe();
        let _ = state.wait_for(|now| *now == Condition::Running).await;
    }

    fn sample(&self) -> f64 {
        self.random.lock().random()
    }

    /// Simulates the latency of a call; fails if the box is disconnected.
    async fn connect(&self) -> Result<(), Error> {
        self.wait_running().await;
        let ms = 1 + (self.sample() * 20.0) as u64;
        tokio::time::sleep(Duration::from_millis(ms)).await;
        self.wait_running().await;
        match *self.is_disconnected.lock() {
            true => Err(Error::Unreachable { reason: "the box is disconnected".into() }),
            false => Ok(()),
        }
    }
}

#[async_trait::async_trait]
impl Store for FaultyStore {
    async fn get(&self, kind: &str, name: &str) -> Result<Option<Object>, Error> {
        self.connect().await?;
        self.memory.get(kind, name).await
    }

    async fn list(&self, kind: &str, prefix: &str) -> Result<Vec<Object>, Error> {
        self.connect().await?;
        self.memory.list(kind, prefix).await
    }

    async fn put(&self, kind: &str, name: &str, value: String, expect: Expect) -> Write {
        if self.connect().await.is_err() {
            return if self.sample() < 0.5 { Write::Failed } else { Write::Unknown };
        }
        let roll = self.sample();
        if roll < self.loss_rate / 2.0 {
            // The write takes effect late, after the writer got no response.
            let late = Duration::from_millis((self.sample() * 400.0) as u64);
            let (memory, kind, name) = (self.memory.clone(), kind.to_owned(), name.to_owned());
            tokio::spawn(async move {
                tokio::time::sleep(late).await;
                memory.put(&kind, &name, value, expect).await;
            });
            return Write::Unknown;
        }
        let write = self.memory.put(kind, name, value, expect).await;
        self.wait_running().await;
        if roll < self.loss_rate { Write::Unknown } else { write }
    }

    async fn delete(&self, kind: &str, name: &str, version: u64) -> Write {
        match self.connect().await {
            Ok(()) => self.memory.delete(kind, name, version).await,
            Err(_) => Write::Failed,
        }
    }

    async fn watch(&self, kinds: &[&str], from: u64) -> Result<Watch, Error> {
        self.memory.watch(kinds, from).await
    }

    async fn hosts(&self) -> Result<Vec<Host>, Error> {
        self.memory.hosts().await
    }
}

/// Shared handle to the store client of one box.
pub type StoreHandle = Arc<FaultyStore>;
