//! Taking and settling claims of unrepeatable requests.

use std::{sync::Arc, time::Duration};

use claim::{Claim, Decision, State, object_name};
use objects::{Expect, Write};
use tokio::time::Instant;

use crate::shared::Shared;

/// Waits between attempts to settle a claim.
const AGAIN: Duration = Duration::from_millis(100);
/// Longest wait between attempts.
const AGAIN_MOST: Duration = Duration::from_secs(5);
/// First wait before looking whether another attempt has answered.
const LOOK: Duration = Duration::from_millis(40);
/// Longest such wait.
const LOOK_MOST: Duration = Duration::from_millis(640);
/// Attempts to take a claim before the platform counts as unreachable.
const TRIES: u32 = 6;

/// A claim that this box holds: it may run the request.
pub struct Held {
    shared: Arc<Shared>,
    claim: Claim,
    settled: bool,
}

/// Why a claim was not taken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Miss {
    /// The request ran before; this was the answer.
    Replay(claim::Answer),
    /// It may have run.
    Unknown,
    /// The key belongs to another request.
    Mismatch,
    /// The platform did not answer in time; this attempt never runs.
    Unreachable,
}

/// Takes the claim within `patience`; the write lands before this returns.
///
/// While another attempt holds the claim, its answer is waited for until `left` is over.
pub async fn take(
    shared: &Arc<Shared>,
    claim: Claim,
    patience: Duration,
    left: Duration,
) -> Result<Held, Miss> {
    let end = Instant::now() + left;
    loop {
        // Whatever happens to the caller, a claim that may have landed is settled by own word.
        let held = Held { shared: shared.clone(), claim: claim.clone(), settled: false };
        let miss = match tokio::time::timeout(patience, create(shared, &claim)).await {
            Ok(Ok(())) => return Ok(held),
            Ok(Err(Miss::Unreachable)) | Err(_) => return Err(Miss::Unreachable),
            Ok(Err(miss)) => miss,
        };
        held.abandon();
        if miss != Miss::Unknown {
            return Err(miss);
        }
        match tokio::time::timeout_at(end, follow(shared, &claim)).await {
            Ok(Some(miss)) => return Err(miss),
            Ok(None) => {}
            Err(_) => return Err(Miss::Unknown),
        }
    }
}

async fn read(shared: &Shared, name: &str) -> Result<Option<(Claim, u64)>, Miss> {
    let found = shared.store.get("claim", name).await.map_err(|_| {
        shared.health.record_failure();
        Miss::Unreachable
    })?;
    let Some(object) = found else { return Ok(None) };
    let claim = serde_json::from_str(&object.value).map_err(|_| Miss::Unknown)?;
    Ok(Some((claim, object.version)))
}

async fn create(shared: &Shared, mine: &Claim) -> Result<(), Miss> {
    let name = object_name(&mine.customer, &mine.key);
    let mut expect = Expect::Absent;
    for _ in 0..TRIES {
        let write = shared.store.put("claim", &name, mine.to_json(), expect).await;
        if let Write::Landed(_) = write {
            shared.health.record_success();
            return Ok(());
        }
        expect = match read(shared, &name).await? {
            None => Expect::Absent,
            Some((claim, version)) => match claim.decide(mine) {
                Decision::Own => return Ok(()),
                Decision::Take => Expect::Version(version),
                Decision::Replay(answer) => return Err(Miss::Replay(answer)),
                Decision::Unknown => return Err(Miss::Unknown),
                Decision::Mismatch => return Err(Miss::Mismatch),
            },
        };
    }
    Err(Miss::Unreachable)
}

/// Waits for the answer of another attempt; `None` once that attempt says that it did not run.
async fn follow(shared: &Shared, mine: &Claim) -> Option<Miss> {
    let name = object_name(&mine.customer, &mine.key);
    let mut wait = LOOK;
    loop {
        tokio::time::sleep(wait + shared.jitter(wait)).await;
        wait = (wait * 2).min(LOOK_MOST);
        let Ok(Some((claim, _))) = read(shared, &name).await else { continue };
        match claim.decide(mine) {
            Decision::Replay(answer) => return Some(Miss::Replay(answer)),
            Decision::Take => return None,
            Decision::Unknown | Decision::Own | Decision::Mismatch => {}
        }
    }
}

/// A claim for a ticket that runs without one: what became of it is recorded later.
pub fn later(shared: &Arc<Shared>, claim: Claim) -> Held {
    Held { shared: shared.clone(), claim, settled: false }
}

/// What is recorded of a request that this box may not run.
pub async fn recorded(shared: &Shared, claim: &Claim) -> Miss {
    match read(shared, &object_name(&claim.customer, &claim.key)).await {
        Ok(Some((found, _))) => match found.decide(claim) {
            Decision::Replay(answer) => Miss::Replay(answer),
            Decision::Mismatch => Miss::Mismatch,
            Decision::Own | Decision::Unknown | Decision::Take => Miss::Unknown,
        },
        Ok(None) | Err(_) => Miss::Unknown,
    }
}

impl Held {
    /// The claim was never ours: nothing to settle.
    fn abandon(mut self) {
        self.settled = true;
    }

    /// The request ran: the claim keeps its answer.
    pub fn answered(self, answer: claim::Answer) {
        self.settle(State::Done(answer));
    }

    /// The request was dispatched and nobody knows how it ended: the claim stays open.
    pub fn leave_open(self) {
        self.settle(State::Open);
    }

    fn settle(mut self, state: State) {
        self.settled = true;
        self.shared.tasks.spawn(settle(self.shared.clone(), self.claim.clone(), state));
    }
}

impl Drop for Held {
    /// Dropped without an outcome, the request was not dispatched: own word.
    fn drop(&mut self) {
        if !self.settled {
            let (shared, claim) = (self.shared.clone(), self.claim.clone());
            self.shared.tasks.spawn(settle(shared, claim, State::NotRun));
        }
    }
}

async fn settle(shared: Arc<Shared>, claim: Claim, state: State) {
    let name = object_name(&claim.customer, &claim.key);
    let text = claim.with(state.clone()).to_json();
    let mut wait = AGAIN;
    loop {
        match shared.store.get("claim", &name).await {
            Ok(Some(object)) => {
                let found: Option<Claim> = serde_json::from_str(&object.value).ok();
                let open = found.is_some_and(|found| found == claim);
                if !open || state == State::Open {
                    return;
                }
                let expect = Expect::Version(object.version);
                let write = shared.store.put("claim", &name, text.clone(), expect).await;
                if let Write::Landed(_) = write {
                    return;
                }
            }
            // A create that was never answered may still land: fence it off with own word.
            Ok(None) => {
                let write = shared.store.put("claim", &name, text.clone(), Expect::Absent).await;
                if let Write::Landed(_) = write {
                    return;
                }
            }
            Err(_) => shared.health.record_failure(),
        }
        tokio::select! {
            () = tokio::time::sleep(wait + shared.jitter(wait)) => {}
            () = shared.ended.cancelled() => return,
        }
        wait = (wait * 2).min(AGAIN_MOST);
    }
}
