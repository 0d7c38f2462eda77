//! Background tasks: heartbeat, probing the platform, folding outcomes, renewing sessions.

use std::{sync::Arc, time::Duration};

use ledger::Incarnation;
use member::Member;
use objects::{Expect, Write};
use session::Session;

use crate::shared::Shared;

/// Tokens expected of the first request to a budget that this box has not served yet.
const EXPECTED: u64 = 1_024;
/// Shortest interval between heartbeats when configuration changes.
const HURRY: Duration = Duration::from_millis(150);
/// First delay between probes of an unreachable platform; it doubles.
const PROBE: Duration = Duration::from_millis(200);
/// Longest delay between probes.
const PROBE_MOST: Duration = Duration::from_secs(5);
/// Heartbeats per second of the whole fleet, whatever its size.
const BEATS_PER_S: u64 = 20;

/// Writes this incarnation's member object: a heartbeat with the applied configuration version.
pub async fn beat(shared: Arc<Shared>) {
    let mut version = 0;
    let mut whose = shared.me();
    let mut count = 0;
    let mut config = shared.config.subscribe();
    loop {
        if whose != shared.me() {
            whose = shared.me();
            version = 0;
        }
        count += 1;
        let member = Member {
            incarnation: whose.clone(),
            zone: shared.settings.zone.clone(),
            region: shared.settings.region.clone(),
            peer: shared.advertised.lock().clone(),
            watched: *shared.watched.borrow(),
            beat: count,
            stopping: *shared.stopping.borrow(),
        };
        version = write_member(&shared, &member, version).await;
        let least = Duration::from_millis(shared.boxes() * 1_000 / BEATS_PER_S);
        let every = Duration::from_millis(shared.settings.money.beat_ms).max(least);
        tokio::time::sleep(HURRY.min(every)).await;
        tokio::select! {
            () = tokio::time::sleep(every.saturating_sub(HURRY)) => {}
            // Only new configuration is reported early.
            _ = config.changed() => {}
            () = shared.ended.cancelled() => return,
        }
    }
}

async fn write_member(shared: &Shared, member: &Member, version: u64) -> u64 {
    let name = member.incarnation.as_str();
    let expect = if version == 0 { Expect::Absent } else { Expect::Version(version) };
    match shared.store.put("member", name, member.to_json(), expect).await {
        Write::Landed(version) => {
            shared.health.record_success();
            version
        }
        Write::Refused | Write::Unknown => match shared.store.get("member", name).await {
            Ok(Some(object)) => object.version,
            Ok(None) => 0,
            Err(_) => {
                shared.health.record_failure();
                version
            }
        },
        Write::Failed => {
            shared.health.record_failure();
            version
        }
    }
}

/// Probes the platform while it is unreachable, with exponential delays.
pub async fn probe(shared: Arc<Shared>) {
    loop {
        shared.health.wait_down().await;
        let mut wait = PROBE;
        while !shared.health.is_up() {
            tokio::time::sleep(wait + shared.jitter(wait)).await;
            if shared.store.get("member", shared.me().as_str()).await.is_ok() {
                shared.health.record_success();
            }
            wait = (wait * 2).min(PROBE_MOST);
        }
    }
}

/// Periodically folds recorded outcomes into the ledgers, tops up grants and returns unused tokens.
pub async fn fold(shared: Arc<Shared>) {
    let every = Duration::from_millis(shared.settings.money.fold_ms);
    loop {
        tokio::time::sleep(every / 2 + shared.jitter(every)).await;
        shared.health.wait_up().await;
        let session = shared.sessions.current();
        session.funds.set_boxes(shared.boxes());
        get_ready(&shared, &session);
        for incarnation in shared.sessions.maintain().await {
            remove(&shared, &incarnation).await;
        }
    }
}

fn get_ready(shared: &Shared, session: &Session) {
    let snapshot = shared.config.borrow().clone();
    if snapshot.budgets.len() <= shared.settings.money.ready_budgets {
        for budget in snapshot.budgets.keys() {
            session.funds.prepare(budget, EXPECTED);
        }
    }
}

/// Deletes the journal and the member object of an incarnation that has nothing left to settle.
pub async fn remove(shared: &Shared, incarnation: &Incarnation) {
    for kind in ["journal", "member"] {
        if let Ok(Some(object)) = shared.store.get(kind, incarnation.as_str()).await {
            shared.store.delete(kind, incarnation.as_str(), object.version).await;
        }
    }
}

/// Opens a new session whenever another box has sealed the current one's journal.
pub async fn renew(shared: Arc<Shared>) {
    loop {
        let session = shared.sessions.current();
        session.recorder.wait_sealed().await;
        if shared.sessions.renew(session.incarnation()) {
            shared.metrics.renewed.inc();
        }
        shared.peers.rename(shared.me());
    }
}

/// Ends all sessions on shutdown: folds outcomes, returns all tokens, closes and deletes the journals.
pub async fn leave(shared: &Shared) {
    for incarnation in shared.sessions.leave().await {
        remove(shared, &incarnation).await;
    }
}
