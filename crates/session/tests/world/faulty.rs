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
pub struct Faulty {
    pub memory: Memory,
    pub condition: watch::Sender<Condition>,
    pub cut: Mutex<bool>,
    /// Share of writes whose response is lost.
    pub lossy: f64,
    random: Mutex<ChaCha8Rng>,
}

impl Faulty {
    pub fn new(memory: Memory, lossy: f64, seed: u64) -> Faulty {
        Faulty {
            memory,
            condition: watch::channel(Condition::Running).0,
            cut: Mutex::new(false),
            lossy,
            random: Mutex::new(ChaCha8Rng::seed_from_u64(seed)),
        }
    }

    /// Waits while the box is frozen, and forever once it is dead.
    pub async fn stand(&self) {
        let mut condition = self.condition.subscribe();
        let _ = condition.wait_for(|now| *now == Condition::Running).await;
    }

    fn draw(&self) -> f64 {
        self.random.lock().random()
    }

    async fn travel(&self) -> Result<(), Error> {
        self.stand().await;
        let ms = 1 + (self.draw() * 20.0) as u64;
        tokio::time::sleep(Duration::from_millis(ms)).await;
        self.stand().await;
        match *self.cut.lock() {
            true => Err(Error::Unreachable { reason: "cut".into() }),
            false => Ok(()),
        }
    }
}

#[async_trait::async_trait]
impl Store for Faulty {
    async fn get(&self, kind: &str, name: &str) -> Result<Option<Object>, Error> {
        self.travel().await?;
        self.memory.get(kind, name).await
    }

    async fn list(&self, kind: &str, prefix: &str) -> Result<Vec<Object>, Error> {
        self.travel().await?;
        self.memory.list(kind, prefix).await
    }

    async fn put(&self, kind: &str, name: &str, value: String, expect: Expect) -> Write {
        if self.travel().await.is_err() {
            return if self.draw() < 0.5 { Write::Failed } else { Write::Unknown };
        }
        let fate = self.draw();
        if fate < self.lossy / 2.0 {
            // The write takes effect late, after the writer got no response.
            let late = Duration::from_millis((self.draw() * 400.0) as u64);
            let (memory, kind, name) = (self.memory.clone(), kind.to_owned(), name.to_owned());
            tokio::spawn(async move {
                tokio::time::sleep(late).await;
                memory.put(&kind, &name, value, expect).await;
            });
            return Write::Unknown;
        }
        let write = self.memory.put(kind, name, value, expect).await;
        self.stand().await;
        if fate < self.lossy { Write::Unknown } else { write }
    }

    async fn delete(&self, kind: &str, name: &str, version: u64) -> Write {
        match self.travel().await {
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
pub type Way = Arc<Faulty>;
