//! Acquires and settles claims of requests that must not run twice.

use std::{sync::Arc, time::Duration};

use claim::{Claim, Decision, State, object_name};
use objects::{Expect, Write};
use tokio::time::Instant;

use crate::shared::Shared;

/// First delay between attempts to settle a claim; it doubles.
const SETTLE_DELAY: Duration = Duration::from_millis(100);
/// Longest delay between attempts to settle a claim.
const MAX_SETTLE_DELAY: Duration = Duration::from_secs(5);
/// First delay between reads of a claim that another attempt holds; it doubles.
const POLL_DELAY: Duration = Duration::from_millis(40);
/// Longest delay between such reads.
const MAX_POLL_DELAY: Duration = Duration::from_millis(640);
/// Writes tried for a claim before the platform counts as unreachable.
const MAX_WRITES: u32 = 6;

/// A claim held by this box: it may run the request. Dropped before a dispatch, it records that the
/// request did not run.
pub struct Guard {
    shared: Arc<Shared>,
    claim: Claim,
    settled: bool,
}

/// Why a claim was not acquired.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum NotAcquired {
    /// The request ran before; its stored answer.
    Replay(claim::Answer),
    /// It may have run.
    Unknown,
    /// The key belongs to another request.
    Mismatch,
    /// The platform did not answer in time; this attempt does not run.
    Unreachable,
}

/// Acquires the claim within `timeout`; its write has landed when this returns it.
///
/// While another attempt holds the claim, waits up to `time_left` for that attempt's answer.
pub async fn acquire(
    shared: &Arc<Shared>,
    claim: Claim,
    timeout: Duration,
    time_left: Duration,
) -> Result<Guard, NotAcquired> {
    let deadline = Instant::now() + time_left;
    loop {
        // Created before the write: if this future is cancelled, dropping it settles a claim that
        // may have landed.
        let guard = Guard { shared: shared.clone(), claim: claim.clone(), settled: false };
        let error = match tokio::time::timeout(timeout, create(shared, &claim)).await {
            Ok(Ok(())) => return Ok(guard),
            Ok(Err(NotAcquired::Unreachable)) | Err(_) => return Err(NotAcquired::Unreachable),
            Ok(Err(error)) => error,
        };
        guard.discard();
        if error != NotAcquired::Unknown {
            return Err(error);
        }
        match tokio::time::timeout_at(deadline, wait_for_answer(shared, &claim)).await {
            Ok(Some(error)) => return Err(error),
            Ok(None) => {}
            Err(_) => return Err(NotAcquired::Unknown),
        }
    }
}

async fn read(shared: &Shared, name: &str) -> Result<Option<(Claim, u64)>, NotAcquired> {
    let found = shared.store.get("claim", name).await.map_err(|_| {
        shared.health.record_failure();
        NotAcquired::Unreachable
    })?;
    let Some(object) = found else { return Ok(None) };
    let claim = serde_json::from_str(&object.value).map_err(|_| NotAcquired::Unknown)?;
    Ok(Some((claim, object.version)))
}

async fn create(shared: &Shared, mine: &Claim) -> Result<(), NotAcquired> {
    let name = object_name(&mine.customer, &mine.key);
    let mut expect = Expect::Absent;
    for _ in 0..MAX_WRITES {
        let write = shared.store.put("claim", &name, mine.to_json(), expect).await;
        if let Write::Landed(_) = write {
            shared.health.record_success();
            return Ok(());
        }
        expect = match read(shared, &name).await? {
            None => Expect::Absent,
            Some((claim, version)) => match claim.decide(mine) {
                Decision::Own => return Ok(()),
                Decision::TakeOver => Expect::Version(version),
                Decision::Replay(answer) => return Err(NotAcquired::Replay(answer)),
                Decision::Unknown => return Err(NotAcquired::Unknown),
                Decision::Mismatch => return Err(NotAcquired::Mismatch),
            },
        };
    }
    Err(NotAcquired::Unreachable)
}

/// Waits for the answer of another attempt; `None` once that attempt records that it did not run.
async fn wait_for_answer(shared: &Shared, mine: &Claim) -> Option<NotAcquired> {
    let name = object_name(&mine.customer, &mine.key);
    let mut delay = POLL_DELAY;
    loop {
        tokio::time::sleep(delay + shared.jitter(delay)).await;
        delay = (delay * 2).min(MAX_POLL_DELAY);
        let Ok(Some((claim, _))) = read(shared, &name).await else { continue };
        match claim.decide(mine) {
            Decision::Replay(answer) => return Some(NotAcquired::Replay(answer)),
            Decision::TakeOver => return None,
            Decision::Unknown | Decision::Own | Decision::Mismatch => {}
        }
    }
}

/// A claim for a ticket. The request runs before its claim is written: settling the claim creates
/// its object.
pub fn deferred(shared: &Arc<Shared>, claim: Claim) -> Guard {
    Guard { shared: shared.clone(), claim, settled: false }
}

/// Reads what is recorded of a request that this box may not run.
pub async fn read_outcome(shared: &Shared, claim: &Claim) -> NotAcquired {
    match read(shared, &object_name(&claim.customer, &claim.key)).await {
        Ok(Some((found, _))) => match found.decide(claim) {
            Decision::Replay(answer) => NotAcquired::Replay(answer),
            Decision::Mismatch => NotAcquired::Mismatch,
            Decision::Own | Decision::Unknown | Decision::TakeOver => NotAcquired::Unknown,
        },
        Ok(None) | Err(_) => NotAcquired::Unknown,
    }
}

impl Guard {
    /// Drops the claim without settling it: another attempt owns it.
    fn discard(mut self) {
        self.settled = true;
    }

    /// Records the answer of the request.
    pub fn answered(self, answer: claim::Answer) {
        self.settle(State::Done(answer));
    }

    /// Leaves the claim open: the request was dispatched and its end is unknown.
    pub fn leave_open(self) {
        self.settle(State::Open);
    }

    fn settle(mut self, state: State) {
        self.settled = true;
        self.shared.tasks.spawn(settle(self.shared.clone(), self.claim.clone(), state));
    }
}

impl Drop for Guard {
    /// Records that the request did not run: a claim dropped unsettled was not dispatched.
    fn drop(&mut self) {
        if !self.settled {
            let (shared, claim) = (self.shared.clone(), self.claim.clone());
            self.shared.tasks.spawn(settle(shared, claim, State::NotRun));
        }
    }
}

async fn settle(shared: Arc<Shared>, claim: Claim, state: State) {
    let name = object_name(&claim.customer, &claim.key);
    let text = claim.with_state(state.clone()).to_json();
    let mut delay = SETTLE_DELAY;
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
            // An unanswered create may still land: an object with the final state makes it fail.
            Ok(None) => {
                let write = shared.store.put("claim", &name, text.clone(), Expect::Absent).await;
                if let Write::Landed(_) = write {
                    return;
                }
            }
            Err(_) => shared.health.record_failure(),
        }
        tokio::select! {
            () = tokio::time::sleep(delay + shared.jitter(delay)) => {}
            () = shared.ended.cancelled() => return,
        }
        delay = (delay * 2).min(MAX_SETTLE_DELAY);
    }
}
