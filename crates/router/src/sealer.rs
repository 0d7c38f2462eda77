//! Sealing the journals of incarnations that seem dead, and resolving what they left open.
//!
//! The steps are in the `session` library; this decides when and by whom. The home of an
//! incarnation goes first and the next boxes follow later, which saves conflicts, nothing else.

use std::{collections::HashMap, sync::Arc, time::Duration};

use ledger::{Closing, Ended, Evidence, Incarnation, Journal};
use session::recovery::{self, Finding, Sealed};
use timeline::EventKind;

use crate::{keeper::remove, runs, shared::Shared};

/// Looks between one silent incarnation's seal and the next look at it.
const LOOK: Duration = Duration::from_millis(250);
/// Most time between looks at an incarnation that still holds something.
const LOOK_MOST: u64 = 10_000;

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
        shared.sessions.former().iter().map(|session| session.incarnation().clone()).collect();
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
    let store = &*shared.store;
    let journal = match recovery::seal(store, name, &shared.me()).await {
        Sealed::Now(journal) => {
            shared.metrics.sealed.inc();
            shared.log.add(EventKind::Sealed { incarnation: name.as_str().into() });
            journal
        }
        Sealed::Before(journal) => journal,
        // It never recorded anything, or was wound up: only its member object is left.
        Sealed::Missing => return remove(shared, name).await,
        Sealed::Unknown => return,
    };
    let waited = Duration::from_millis(shared.now().saturating_sub(case.sealed_at));
    let ruled = waited >= Duration::from_millis(shared.settings.money.resolve_after_ms);
    let findings = findings(shared, &journal, ruled).await;
    let Some((journal, _)) = recovery::add_findings(store, journal, &findings).await else {
        return;
    };
    note_resolved(shared, name, &findings);
    let destroyed = shared.config.borrow().is_destroyed(name.as_str());
    let closing = if destroyed { Closing::Destroyed } else { Closing::Sealed };
    let mut done = journal.open_records().next().is_none();
    for budget in recovery::budgets(&journal) {
        done &= recovery::close_grant(store, &budget, &journal, closing).await;
    }
    // A write of the dead that was on its way may still land: look again before forgetting it.
    if done && ruled {
        remove(shared, name).await;
        for budget in recovery::budgets(&journal) {
            recovery::forget_grant(store, &budget, name).await;
        }
    }
}

/// Outcomes of open records that an endpoint reports, or that the declared rule gives.
///
/// An endpoint that never saw a run proves nothing: its sender may still wake up.
async fn findings(shared: &Shared, journal: &Journal, ruled: bool) -> Vec<Finding> {
    let mut found = Vec::new();
    for record in journal.open_records() {
        let dispatch = format!("{}-{}", journal.incarnation, record.n);
        let reported = runs::ended_run(shared, &record.endpoint, &dispatch).await;
        let (charged, ended, evidence) = match reported {
            Some(tokens) => (tokens.min(record.reserved), Ended::Broken, Evidence::Reported),
            None if ruled => {
                (record.reserved, runs::ruled(shared, &record.budget), Evidence::Ruled)
            }
            None => continue,
        };
        found.push(Finding { n: record.n, charged, ended, evidence });
    }
    found
}

fn note_resolved(shared: &Shared, name: &Incarnation, findings: &[Finding]) {
    for finding in findings {
        let incarnation = name.as_str().into();
        shared.log.add(EventKind::Resolved { incarnation, tokens: finding.charged });
    }
}
