//! Sealing the journals of incarnations that seem dead, and resolving what they left open.
//!
//! Any box may do this at any time and more than one may do it at once: every step is a
//! conditional update that changes nothing when it is repeated. The home of an incarnation goes
//! first and the next boxes follow later, which saves conflicts and nothing else.

use std::{collections::HashMap, sync::Arc, time::Duration};

use ledger::{Closing, Ended, Evidence, Incarnation, Journal, Ledger, Record};
use platform::{Expect, Write};
use timeline::What;

use crate::{keeper::remove, relay, shared::Shared};

/// Looks between one silent incarnation's seal and the next look at it.
const LOOK: Duration = Duration::from_millis(250);
/// Most time between looks at an incarnation that still holds something.
const LOOK_MOST: u64 = 10_000;
/// Conflicts after which a step is left for the next look.
const TRIES: u32 = 6;

/// What is known of an incarnation that is being wound up.
struct Case {
    sealed_at: u64,
    next_look: u64,
    wait: u64,
}

/// Winds up silent incarnations for as long as the router runs.
pub async fn wind_up(shared: Arc<Shared>) {
    let mut cases: HashMap<Incarnation, Case> = HashMap::new();
    loop {
        tokio::time::sleep(LOOK / 2 + shared.jitter(LOOK)).await;
        if !shared.health.is_up() {
            continue;
        }
        let silent = silent(&shared);
        cases.retain(|name, _| silent.contains(name));
        for name in silent {
            let now = shared.now();
            let case = cases.entry(name.clone()).or_insert(Case {
                sealed_at: now,
                next_look: now,
                wait: LOOK.as_millis() as u64,
            });
            if now >= case.next_look {
                wind_up_one(&shared, &name, case).await;
                case.wait = (case.wait * 2).min(LOOK_MOST);
                case.next_look = shared.now() + case.wait;
            }
        }
    }
}

fn silent(shared: &Shared) -> Vec<Incarnation> {
    let (now, after) = (shared.now(), shared.settings.money.seal_after_ms);
    let me = shared.me();
    let former: Vec<Incarnation> =
        shared.former().iter().map(|session| session.incarnation().clone()).collect();
    let members = shared.members.lock();
    let silent = members.silent(&me, now, after);
    let mine = |name: &Incarnation| former.contains(name);
    let turn = |name: &Incarnation| {
        let rank = members.rank(name.as_str(), &me, now, after) as u64;
        members.silent(&me, now, after + rank * after / 2).contains(name)
    };
    silent.into_iter().filter(|name| !mine(name) && turn(name)).collect()
}

async fn wind_up_one(shared: &Arc<Shared>, name: &Incarnation, case: &mut Case) {
    let Some(journal) = sealed(shared, name).await else { return };
    let waited = Duration::from_millis(shared.now().saturating_sub(case.sealed_at));
    let ruled = waited >= Duration::from_millis(shared.settings.money.resolve_after_ms);
    let Some(journal) = resolve(shared, journal, ruled).await else { return };
    let mut budgets: Vec<Arc<str>> = journal.drawn.iter().cloned().collect();
    budgets.extend(journal.records.iter().map(|record| record.budget.clone()));
    budgets.sort();
    budgets.dedup();
    let mut done = journal.open_records().next().is_none();
    for budget in budgets {
        done &= close_grant(shared, &budget, &journal).await;
    }
    if done {
        remove(shared, name).await;
    }
}

/// The journal of `name` after it was sealed by whoever was first.
async fn sealed(shared: &Shared, name: &Incarnation) -> Option<Journal> {
    for _ in 0..TRIES {
        let Some(object) = shared.store.get("journal", name.as_str()).await.ok()? else {
            // It never recorded anything, or was wound up: only its member object is left.
            remove(shared, name).await;
            return None;
        };
        let mut journal: Journal = serde_json::from_str(&object.value).ok()?;
        if !journal.seal(&shared.me()) {
            return Some(journal);
        }
        let expect = Expect::Version(object.version);
        let write = shared.store.put("journal", name.as_str(), journal.to_json(), expect).await;
        if let Write::Landed(_) = write {
            shared.metrics.sealed.inc();
            shared.log.add(What::Sealed { incarnation: name.as_str().into() });
            return Some(journal);
        }
    }
    None
}

/// Gives open records an outcome where an endpoint reports one, or where the rule is due.
async fn resolve(shared: &Shared, journal: Journal, ruled: bool) -> Option<Journal> {
    let open: Vec<Record> = journal.open_records().cloned().collect();
    let mut known = Vec::new();
    for record in open {
        let dispatch = format!("{}-{}", journal.incarnation, record.n);
        match relay::ended_run(shared, &record.endpoint, &dispatch).await {
            Some(tokens) => {
                let charged = tokens.min(record.reserved);
                known.push((record.n, charged, Ended::Broken, Evidence::Reported));
            }
            None if ruled => {
                let ended = relay::ruled(shared, &record.budget);
                known.push((record.n, record.reserved, ended, Evidence::Ruled));
            }
            None => {}
        }
    }
    if known.is_empty() {
        return Some(journal);
    }
    let name = journal.incarnation.clone();
    for _ in 0..TRIES {
        let object = shared.store.get("journal", name.as_str()).await.ok()??;
        let mut journal: Journal = serde_json::from_str(&object.value).ok()?;
        for (n, charged, ended, evidence) in &known {
            let fresh = journal.finish(*n, *charged, *ended, *evidence);
            if fresh == Ok(true) {
                let incarnation = name.as_str().into();
                shared.log.add(What::Resolved { incarnation, tokens: *charged });
            }
        }
        let expect = Expect::Version(object.version);
        let write = shared.store.put("journal", name.as_str(), journal.to_json(), expect).await;
        if let Write::Landed(_) = write {
            return Some(journal);
        }
    }
    None
}

/// Folds a sealed journal into one ledger and frees what its holder can no longer use.
///
/// True once the ledger holds nothing for that incarnation.
async fn close_grant(shared: &Shared, budget: &Arc<str>, journal: &Journal) -> bool {
    let holder = &journal.incarnation;
    let destroyed = shared.config.borrow().is_destroyed(holder.as_str());
    let closing = if destroyed { Closing::Destroyed } else { Closing::Sealed };
    for _ in 0..TRIES {
        let Ok(found) = shared.store.get("ledger", budget).await else { return false };
        let Some(object) = found else { return true };
        let Ok(ledger) = serde_json::from_str::<Ledger>(&object.value) else { return false };
        if !ledger.grants.contains_key(holder) {
            return true;
        }
        let mut next = ledger.clone();
        if let Err(error) = next.fold(budget, journal) {
            tracing::error!(%budget, %holder, %error, "an outcome does not fit its grant");
            return false;
        }
        next.close(budget, journal, closing);
        let empty = next.forget(holder);
        if next == ledger {
            return empty;
        }
        let expect = Expect::Version(object.version);
        if let Write::Landed(_) = shared.store.put("ledger", budget, next.to_json(), expect).await {
            return empty;
        }
    }
    false
}
