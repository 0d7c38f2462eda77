//! Settles runs whose complete answer nobody received.

use std::{sync::Arc, time::Duration};

use ledger::Ended;
use resource::UnresolvedPolicy;
use serde::Deserialize;
use session::Hold;

use crate::{flight::Flight, shared::Shared};

/// First delay between requests for a run's state; it doubles.
const ASK_AGAIN: Duration = Duration::from_millis(50);
/// Longest delay between such requests.
const ASK_MOST: Duration = Duration::from_secs(2);

#[derive(Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
enum Report {
    Running,
    Ended { prompt_tokens: u64, output_tokens: u64 },
    Unknown,
}

/// Asks an engine for the state of a run; `None` without an answer.
async fn ask(shared: &Shared, address: &str, dispatch: &str) -> Option<Report> {
    let url = format!("http://{address}/runs/{dispatch}");
    let limit = Duration::from_millis(shared.settings.limits.connect_ms);
    let answer = shared.http.get(url).timeout(limit).send().await.ok()?;
    answer.json().await.ok()
}

/// Tokens used by the run of `dispatch`, if an engine of the pool reports that it ended.
pub async fn ended_run(shared: &Shared, endpoint: &str, dispatch: &str) -> Option<u64> {
    for address in shared.endpoints.engines_beside(endpoint) {
        if let Some(Report::Ended { prompt_tokens, output_tokens }) =
            ask(shared, &address, dispatch).await
        {
            return Some(prompt_tokens + output_tokens);
        }
    }
    None
}

/// Cancels a run at its engine.
pub fn cancel(
    shared: Arc<Shared>,
    flight: &Flight,
    hold: &Hold,
) -> impl Future<Output = ()> + Send + use<> {
    let url = format!("http://{}/runs/{}/cancel", flight.target.address, hold.attempt_id());
    async move {
        let limit = Duration::from_millis(shared.settings.limits.connect_ms);
        let _ = shared.http.post(url).timeout(limit).send().await;
    }
}

/// Cancels a run and keeps its tokens reserved until its end is known, or the declared rule decides.
pub fn ask_until_ended(
    shared: Arc<Shared>,
    hold: Hold,
    flight: &Flight,
) -> impl Future<Output = ()> + Send + use<> {
    let address = flight.target.address.clone();
    let cancel = cancel(shared.clone(), flight, &hold);
    async move {
        cancel.await;
        let dispatch = hold.attempt_id();
        let end = tokio::time::Instant::now()
            + Duration::from_millis(shared.settings.money.resolve_after_ms);
        let mut wait = ASK_AGAIN;
        while tokio::time::Instant::now() < end {
            if let Some(Report::Ended { prompt_tokens, output_tokens }) =
                ask(&shared, &address, &dispatch).await
            {
                hold.finish(prompt_tokens + output_tokens, Ended::Broken);
                return;
            }
            tokio::time::sleep(wait + shared.jitter(wait)).await;
            wait = (wait * 2).min(ASK_MOST);
        }
        rule(&shared, hold);
    }
}

/// Ends a request with unknown usage by the rule declared for its budget.
pub fn rule(shared: &Shared, hold: Hold) {
    let ended = ruled(shared, &hold.record().budget);
    let reserved = hold.record().reserved;
    hold.finish(reserved, ended);
}

/// How the rule declared for a budget ends a request with unknown usage.
pub fn ruled(shared: &Shared, budget: &str) -> Ended {
    let snapshot = shared.config.borrow().clone();
    match snapshot.budgets.get(budget).map(|spec| spec.unresolved) {
        Some(UnresolvedPolicy::BillNothing) => Ended::Waived,
        Some(UnresolvedPolicy::ChargeReserved) | None => Ended::Broken,
    }
}
