//! Recovery of incarnations presumed dead: seals their journals, resolves open records and releases
//! their grants.
//!
//! The steps are in `session::recovery`; this module decides when and by which box. The box ranked
//! first for an incarnation starts and the next ones follow later. This only avoids write
//! conflicts: every step is safe if several boxes take it.

use std::{collections::HashMap, sync::Arc, time::Duration};

use ledger::{Closing, Ended, Evidence, Incarnation, Journal};
use session::recovery::{self, Finding, Sealed};
use timeline::EventKind;

use crate::{background::delete_incarnation, runs, shared::Shared};

/// Interval of the check for silent incarnations, and first delay between attempts on one of them.
const CHECK_INTERVAL: Duration = Duration::from_millis(250);
/// Longest delay between attempts to recover one incarnation, in milliseconds.
const MAX_DELAY_MS: u64 = 10_000;

/// State of the recovery of one incarnation. Times in milliseconds.
struct RecoveryState {
    sealed_at: u64,
    next_attempt: u64,
    delay: u64,
}

/// Recovers incarnations without a heartbeat, for as long as the router runs.
pub async fn recover_silent(shared: Arc<Shared>) {
    let mut states: HashMap<Incarnation, RecoveryState> = HashMap::new();
    loop {
        tokio::time::sleep(CHECK_INTERVAL / 2 + shared.jitter(CHECK_INTERVAL)).await;
        if !shared.health.is_up() {
            continue;
        }
        let silent = silent(&shared);
        states.retain(|name, _| silent.contains(name));
        for name in silent {
            let now = shared.now();
            let state = states.entry(name.clone()).or_insert(RecoveryState {
                sealed_at: now,
                next_attempt: now,
                delay: CHECK_INTERVAL.as_millis() as u64,
            });
            if now >= state.next_attempt {
                recover(&shared, &name, state).await;
                state.delay = (state.delay * 2).min(MAX_DELAY_MS);
                state.next_attempt = shared.now() + state.delay;
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
    let is_own = |name: &Incarnation| former.contains(name);
    let is_due = |name: &Incarnation| {
        let rank = members.rank(name.as_str(), &me, now, after) as u64;
        members.silent(&me, now, after + rank * after / 2).contains(name)
    };
    silent.into_iter().filter(|name| !is_own(name) && is_due(name)).collect()
}

async fn recover(shared: &Arc<Shared>, name: &Incarnation, state: &mut RecoveryState) {
    let store = &*shared.store;
    let journal = match recovery::seal(store, name, &shared.me()).await {
        Sealed::Now(journal) => {
            shared.metrics.sealed.inc();
            shared.log.add(EventKind::Sealed { incarnation: name.as_str().into() });
            journal
        }
        Sealed::Before(journal) => journal,
        // It never recorded anything, or is recovered: only its member object may be left.
        Sealed::Missing => return delete_incarnation(shared, name).await,
        Sealed::Unknown => return,
    };
    let waited = Duration::from_millis(shared.now().saturating_sub(state.sealed_at));
    let rule_applies = waited >= Duration::from_millis(shared.settings.money.resolve_after_ms);
    let findings = findings(shared, &journal, rule_applies).await;
    let Some((journal, _)) = recovery::add_findings(store, journal, &findings).await else {
        return;
    };
    log_resolved(shared, name, &findings);
    let destroyed = shared.config.borrow().is_destroyed(name.as_str());
    let closing = if destroyed { Closing::Destroyed } else { Closing::Sealed };
    let mut done = journal.open_records().next().is_none();
    for budget in recovery::budgets(&journal) {
        done &= recovery::close_grant(store, &budget, &journal, closing).await;
    }
    // A delayed write of the incarnation may still land until `resolve_after_ms` has passed.
    if done && rule_applies {
        delete_incarnation(shared, name).await;
        for budget in recovery::budgets(&journal) {
            recovery::forget_grant(store, &budget, name).await;
        }
    }
}

/// Outcomes of open records: as an engine reports them or, if `rule_applies`, by the declared
/// rule.
///
/// An engine that does not know a run proves nothing: a suspended sender may still dispatch it.
async fn findings(shared: &Shared, journal: &Journal, rule_applies: bool) -> Vec<Finding> {
    let mut found = Vec::new();
    for record in journal.open_records() {
        let attempt_id = format!("{}-{}", journal.incarnation, record.n);
        let reported = runs::reported_usage(shared, &record.endpoint, &attempt_id).await;
        let (charged, ended, evidence) = match reported {
            Some(tokens) => (tokens.min(record.reserved), Ended::Broken, Evidence::Reported),
            None if rule_applies => {
                (record.reserved, runs::outcome_by_rule(shared, &record.budget), Evidence::Ruled)
            }
            None => continue,
        };
        found.push(Finding { n: record.n, charged, ended, evidence });
    }
    found
}

fn log_resolved(shared: &Shared, name: &Incarnation, findings: &[Finding]) {
    for finding in findings {
        let incarnation = name.as_str().into();
        shared.log.add(EventKind::Resolved { incarnation, tokens: finding.charged });
    }
}
