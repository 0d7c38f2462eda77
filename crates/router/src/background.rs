//! Background tasks: heartbeat, probing the platform, folding outcomes, renewing sessions.

use std::{sync::Arc, time::Duration};

use ledger::Incarnation;
use member::Member;
use objects::{Expect, Write};
use session::Session;

use crate::shared::Shared;

/// Tokens expected of the first request to a budget that this box has not served yet.
const EXPECTED_TOKENS: u64 = 1_024;
/// Shortest interval between heartbeats when configuration changes.
const MIN_HEARTBEAT_INTERVAL: Duration = Duration::from_millis(150);
/// First delay between probes of an unreachable platform; it doubles.
const PROBE_DELAY: Duration = Duration::from_millis(200);
/// Longest delay between probes.
const MAX_PROBE_DELAY: Duration = Duration::from_secs(5);
/// Heartbeats per second of the whole fleet, whatever its size.
const FLEET_HEARTBEATS_PER_S: u64 = 20;

/// Writes this incarnation's member object: a heartbeat with the applied configuration version.
pub async fn send_heartbeats(shared: Arc<Shared>) {
    let mut version = 0;
    let mut incarnation = shared.me();
    let mut count = 0;
    let mut config = shared.config.subscribe();
    loop {
        if incarnation != shared.me() {
            incarnation = shared.me();
            version = 0;
        }
        count += 1;
        let member = Member {
            incarnation: incarnation.clone(),
            zone: shared.settings.zone.clone(),
            region: shared.settings.region.clone(),
            peer: shared.advertised.lock().clone(),
            watched: *shared.watched.borrow(),
            beat: count,
            stopping: *shared.stopping.borrow(),
        };
        version = write_member(&shared, &member, version).await;
        let min_interval = Duration::from_millis(shared.boxes() * 1_000 / FLEET_HEARTBEATS_PER_S);
        let interval = Duration::from_millis(shared.settings.money.beat_ms).max(min_interval);
        tokio::time::sleep(MIN_HEARTBEAT_INTERVAL.min(interval)).await;
        tokio::select! {
            () = tokio::time::sleep(interval.saturating_sub(MIN_HEARTBEAT_INTERVAL)) => {}
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
pub async fn probe_platform(shared: Arc<Shared>) {
    loop {
        shared.health.wait_down().await;
        let mut delay = PROBE_DELAY;
        while !shared.health.is_up() {
            tokio::time::sleep(delay + shared.jitter(delay)).await;
            if shared.store.get("member", shared.me().as_str()).await.is_ok() {
                shared.health.record_success();
            }
            delay = (delay * 2).min(MAX_PROBE_DELAY);
        }
    }
}

/// Periodically folds recorded outcomes into the ledgers, tops up grants and returns unused tokens.
pub async fn fold_outcomes(shared: Arc<Shared>) {
    let interval = Duration::from_millis(shared.settings.money.fold_ms);
    loop {
        tokio::time::sleep(interval / 2 + shared.jitter(interval)).await;
        shared.health.wait_up().await;
        let session = shared.sessions.current();
        session.funds.set_boxes(shared.boxes());
        prepare_budgets(&shared, &session);
        for incarnation in shared.sessions.maintain().await {
            delete_incarnation(&shared, &incarnation).await;
        }
    }
}

fn prepare_budgets(shared: &Shared, session: &Session) {
    let snapshot = shared.config.borrow().clone();
    if snapshot.budgets.len() <= shared.settings.money.ready_budgets {
        for budget in snapshot.budgets.keys() {
            session.funds.prepare(budget, EXPECTED_TOKENS);
        }
    }
}

/// Deletes the journal and the member object of an incarnation that has nothing left to settle.
pub async fn delete_incarnation(shared: &Shared, incarnation: &Incarnation) {
    for kind in ["journal", "member"] {
        if let Ok(Some(object)) = shared.store.get(kind, incarnation.as_str()).await {
            shared.store.delete(kind, incarnation.as_str(), object.version).await;
        }
    }
}

/// Opens a new session whenever another box has sealed the current one's journal.
pub async fn renew_sessions(shared: Arc<Shared>) {
    loop {
        let session = shared.sessions.current();
        session.recorder.wait_sealed().await;
        if shared.sessions.renew(session.incarnation()) {
            shared.metrics.renewed.inc();
        }
        shared.peers.set_incarnation(shared.me());
    }
}

/// Ends all sessions on shutdown: folds outcomes, returns all tokens, deletes the journals.
pub async fn close_sessions(shared: &Shared) {
    for incarnation in shared.sessions.leave().await {
        delete_incarnation(shared, &incarnation).await;
    }
}
