//! How a run ended of which nobody got the whole answer.

use std::{sync::Arc, time::Duration};

use ledger::Ended;
use resource::UnresolvedPolicy;
use serde::Deserialize;
use session::Hold;

use crate::{flight::Flight, shared::Shared};

/// First wait between questions for how a run ended.
const ASK_AGAIN: Duration = Duration::from_millis(50);
/// Longest wait between such questions.
const ASK_MOST: Duration = Duration::from_secs(2);

#[derive(Deserialize)]
#[serde(tag = "state", rename_all = "snake_case")]
enum Report {
    Running,
    Ended { prompt_tokens: u64, output_tokens: u64 },
    Unknown,
}

/// Asks an engine how a run stands; `None` without an answer.
async fn ask(shared: &Shared, address: &str, dispatch: &str) -> Option<Report> {
    let url = format!("http://{address}/runs/{dispatch}");
    let limit = Duration::from_millis(shared.settings.limits.connect_ms);
    let answer = shared.http.get(url).timeout(limit).send().await.ok()?;
    answer.json().await.ok()
}

/// Tokens used by a run of `dispatch`, once one of the endpoints says that it ended.
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

/// Tells an engine that nobody wants a run any more.
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

/// Cancels a run that nobody follows, and keeps its tokens held until its end is known.
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

/// Ends a request that nobody can account for, by its budget's declared rule.
pub fn rule(shared: &Shared, hold: Hold) {
    let ended = ruled(shared, &hold.record().budget);
    let reserved = hold.record().reserved;
    hold.finish(reserved, ended);
}

/// How the declared rule of a budget ends a request.
pub fn ruled(shared: &Shared, budget: &str) -> Ended {
    let snapshot = shared.config.borrow().clone();
    match snapshot.budgets.get(budget).map(|spec| spec.unresolved) {
        Some(UnresolvedPolicy::BillNothing) => Ended::Waived,
        Some(UnresolvedPolicy::ChargeReserved) | None => Ended::Broken,
    }
}
