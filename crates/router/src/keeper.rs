//! What a router does in the background: sign of life, folding, renewing, handing in.

use std::{sync::Arc, time::Duration};

use ledger::Incarnation;
use member::Member;
use objects::{Expect, Write};
use session::Session;

use crate::shared::Shared;

/// Tokens that a box expects of a request to a budget it has not served yet.
const EXPECTED: u64 = 1_024;
/// Shortest time between two signs of life when configuration changes.
const HURRY: Duration = Duration::from_millis(150);
/// First wait between probes of an unreachable platform.
const PROBE: Duration = Duration::from_millis(200);
/// Longest wait between probes.
const PROBE_MOST: Duration = Duration::from_secs(5);
/// Signs of life a second over the whole fleet, whatever its size.
const BEATS_PER_S: u64 = 20;

/// Shows that this incarnation lives and which configuration it has in force.
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
            // Others' signs of life move the watch too: only configuration is worth hurrying.
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

/// Asks an unreachable platform now and then, one question at a time.
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

/// Folds, tops up and returns, for every budget in turn.
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

/// Removes the journal and the member object of an incarnation that owes and holds nothing.
pub async fn remove(shared: &Shared, incarnation: &Incarnation) {
    for kind in ["journal", "member"] {
        if let Ok(Some(object)) = shared.store.get(kind, incarnation.as_str()).await {
            shared.store.delete(kind, incarnation.as_str(), object.version).await;
        }
    }
}

/// Opens another session whenever the current one finds its journal sealed.
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

/// Ends everything at a planned stop: folds, returns all tokens, closes and removes the journal.
pub async fn leave(shared: &Shared) {
    for incarnation in shared.sessions.leave().await {
        remove(shared, &incarnation).await;
    }
}
