//! Settles runs whose complete answer nobody received.

use std::{sync::Arc, time::Duration};

use ledger::Ended;
use resource::UnresolvedPolicy;
use serde::Deserialize;
use session::Hold;

use crate::{in_flight::InFlight, shared::Shared};

/// First delay between requests for a run's state; it doubles.
const POLL_DELAY: Duration = Duration::from_millis(50);
/// Longest delay between such requests.
const MAX_POLL_DELAY: Duration = Duration::from_secs(2);

#[derive(Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
enum Report {
    Running,
    Ended { prompt_tokens: u64, output_tokens: u64 },
    Unknown,
}

/// Asks an engine for the state of a run; `None` without an answer.
async fn ask(shared: &Shared, address: &str, attempt_id: &str) -> Option<Report> {
    let url = format!("http://{address}/runs/{attempt_id}");
    let timeout = Duration::from_millis(shared.settings.limits.connect_ms);
    let answer = shared.http.get(url).timeout(timeout).send().await.ok()?;
    answer.json().await.ok()
}

/// Tokens used by the run of `attempt_id`, if an engine of the pool reports that it ended.
pub async fn reported_usage(shared: &Shared, endpoint: &str, attempt_id: &str) -> Option<u64> {
    for address in shared.endpoints.pool_engines(endpoint) {
        if let Some(Report::Ended { prompt_tokens, output_tokens }) =
            ask(shared, &address, attempt_id).await
        {
            return Some(prompt_tokens + output_tokens);
        }
    }
    None
}

/// Cancels a run at its engine.
pub fn cancel(
    shared: Arc<Shared>,
    in_flight: &InFlight,
    hold: &Hold,
) -> impl Future<Output = ()> + Send + use<> {
    let url = format!("http://{}/runs/{}/cancel", in_flight.target.address, hold.attempt_id());
    async move {
        let timeout = Duration::from_millis(shared.settings.limits.connect_ms);
        let _ = shared.http.post(url).timeout(timeout).send().await;
    }
}

/// Cancels a run and keeps its tokens reserved until its end is known or the declared rule
/// decides.
pub fn poll_until_ended(
    shared: Arc<Shared>,
    hold: Hold,
    in_flight: &InFlight,
) -> impl Future<Output = ()> + Send + use<> {
    let address = in_flight.target.address.clone();
    let cancel = cancel(shared.clone(), in_flight, &hold);
    async move {
        cancel.await;
        let attempt_id = hold.attempt_id();
        let deadline = tokio::time::Instant::now()
            + Duration::from_millis(shared.settings.money.resolve_after_ms);
        let mut delay = POLL_DELAY;
        while tokio::time::Instant::now() < deadline {
            if let Some(Report::Ended { prompt_tokens, output_tokens }) =
                ask(&shared, &address, &attempt_id).await
            {
                hold.finish(prompt_tokens + output_tokens, Ended::Broken);
                return;
            }
            tokio::time::sleep(delay + shared.jitter(delay)).await;
            delay = (delay * 2).min(MAX_POLL_DELAY);
        }
        settle_by_rule(&shared, hold);
    }
}

/// Ends a request with unknown usage by the rule declared for its budget.
pub fn settle_by_rule(shared: &Shared, hold: Hold) {
    let ended = outcome_by_rule(shared, &hold.record().budget);
    let reserved = hold.record().reserved;
    hold.finish(reserved, ended);
}

/// How the rule declared for a budget ends a request with unknown usage.
pub fn outcome_by_rule(shared: &Shared, budget: &str) -> Ended {
    let snapshot = shared.config.borrow().clone();
    match snapshot.budgets.get(budget).map(|spec| spec.unresolved) {
        Some(UnresolvedPolicy::BillNothing) => Ended::Waived,
        Some(UnresolvedPolicy::ChargeReserved) | None => Ended::Broken,
    }
}
