//! Runs one call: admission, token reservation, claim, dispatch and answer.

use std::{sync::Arc, time::Duration};

use claim::Claim;
use ledger::{Part, Record};
use session::{Hold, Rejection};
use timeline::EventKind;
use wire::Location;

use crate::{
    admission,
    answer::Answer,
    call::{Call, Payload},
    claims::{self, NotAcquired},
    endpoints::Target,
    in_flight::{InFlight, Prepared, RETRY_DELAY, no_endpoint},
    metrics::RequestLabels,
    outcome::{Reason, Refusal, Unknown},
    relay,
    requests::{Driver, Progress},
    service,
    shared::Shared,
    tickets::Kind,
};

/// Interval for looking up a run that another box is about to start.
const LOOKUP_INTERVAL: Duration = Duration::from_millis(20);

/// Runs a call to its end and publishes its progress to its followers.
pub async fn drive(shared: Arc<Shared>, call: Call, driver: Driver) {
    shared.metrics.in_flight.inc();
    let progress = run(&shared, &call, &driver).await;
    record_outcome(&shared, &call, &progress);
    driver.end(progress);
    shared.metrics.in_flight.dec();
}

async fn run(shared: &Arc<Shared>, call: &Call, driver: &Driver) -> Progress {
    shared.log.add_for_request(&call.key, &call.caller.budget, EventKind::Received);
    if let Some(progress) = attach_to_other_run(shared, call, driver).await {
        return progress;
    }
    let _admission = match admission::acquire(shared, call).await {
        Ok(admission) => admission,
        Err(refusal) => return Progress::Refused(refusal),
    };
    let Some(in_flight) = InFlight::start(shared, call, &[]) else {
        return Progress::Refused(no_endpoint());
    };
    let prepared = match prepare(shared, call, &in_flight.target).await {
        Ok(prepared) => prepared,
        Err(progress) => return progress,
    };
    match &call.payload {
        Payload::Chat { .. } => relay::chat(shared, call, driver, prepared, in_flight).await,
        Payload::Service { .. } => service::serve(shared, call, prepared, in_flight).await,
    }
}

/// Attaches to a run of the same request started by another box, if its engine still has it.
async fn attach_to_other_run(
    shared: &Arc<Shared>,
    call: &Call,
    driver: &Driver,
) -> Option<Progress> {
    let is_chat = matches!(call.payload, Payload::Chat { .. });
    if !call.has_caller_key || !is_chat || !call.route.repeatable {
        return None;
    }
    loop {
        match shared.find_place(&call.caller.customer, &call.key).await {
            Location::Nowhere => return None,
            Location::Place(place) => return relay::attach(shared, call, driver, &place).await,
            Location::Pending if call.time_left() < LOOKUP_INTERVAL => return None,
            Location::Pending => tokio::time::sleep(LOOKUP_INTERVAL).await,
        }
    }
}

async fn prepare(shared: &Arc<Shared>, call: &Call, target: &Target) -> Result<Prepared, Progress> {
    if call.route.repeatable {
        let hold = hold(shared, call, target).await.map_err(Progress::Refused)?;
        return Ok(Prepared { hold, claim: None });
    }
    let claim = Claim {
        customer: call.caller.customer.clone(),
        key: call.key.clone(),
        by: shared.me(),
        attempt: shared.random_u64(),
        fingerprint: call.fingerprint,
        state: claim::State::Open,
    };
    match shared.tickets.kind(&call.caller.customer, &call.key) {
        Kind::Plain if !shared.health.is_up() => {
            return Err(Progress::Refused(claim_unreachable()));
        }
        Kind::Plain => {}
        Kind::Unused => return prepare_ticket(shared, call, target, claim).await,
        Kind::Used | Kind::Foreign => {
            return Err(not_acquired(claims::read_outcome(shared, &claim).await));
        }
    }
    let platform_timeout = platform_timeout(shared, call);
    let acquiring = claims::acquire(shared, claim, platform_timeout, call.time_left());
    let (guard, hold) = tokio::join!(acquiring, hold(shared, call, target));
    // If one of the two failed, dropping the other records that the request did not run.
    let guard = guard.map_err(not_acquired)?;
    let hold = hold.map_err(Progress::Refused)?;
    Ok(Prepared { hold, claim: Some(guard) })
}

/// A ticket issued by this box needs no claim before the run: only this process may use it, once.
async fn prepare_ticket(
    shared: &Arc<Shared>,
    call: &Call,
    target: &Target,
    claim: Claim,
) -> Result<Prepared, Progress> {
    let customer = &call.caller.customer;
    if !shared.tickets.consume(customer, &call.key) {
        return Err(not_acquired(claims::read_outcome(shared, &claim).await));
    }
    match hold(shared, call, target).await {
        Ok(hold) => Ok(Prepared { hold, claim: Some(claims::deferred(shared, claim)) }),
        Err(refusal) => {
            shared.tickets.restore(customer, &call.key);
            Err(Progress::Refused(refusal))
        }
    }
}

fn claim_unreachable() -> Refusal {
    let message = "the platform is unreachable, and this call must not run twice";
    Reason::ClaimUnreachable.after(message, RETRY_DELAY)
}

fn not_acquired(error: NotAcquired) -> Progress {
    match error {
        NotAcquired::Unknown => Progress::Unknown(Unknown::Claimed),
        NotAcquired::Mismatch => Progress::Refused(
            Reason::KeyReused.with("the key was already used for another request"),
        ),
        NotAcquired::Unreachable => Progress::Refused(claim_unreachable()),
        NotAcquired::Replay(claim::Answer { body: None, .. }) => {
            Progress::Unknown(Unknown::NotStored)
        }
        NotAcquired::Replay(answer) => {
            let mut headers = http::HeaderMap::new();
            if let Ok(value) = answer.content_type.parse() {
                headers.insert(http::header::CONTENT_TYPE, value);
            }
            let body = answer.body.unwrap_or_default().as_bytes().to_vec().into();
            Progress::Answered(Arc::new(Answer { status: answer.status, headers, body }))
        }
    }
}

fn platform_timeout(shared: &Shared, call: &Call) -> Duration {
    Duration::from_millis(shared.settings.money.patience_ms).min(call.time_left())
}

async fn hold(shared: &Arc<Shared>, call: &Call, target: &Target) -> Result<Hold, Refusal> {
    let record = Record {
        n: 0,
        budget: call.caller.budget.clone(),
        customer: call.caller.customer.clone(),
        key: call.key.clone(),
        part: Part::Online,
        reserved: call.worst_case,
        endpoint: target.name.clone(),
        outcome: None,
    };
    let hold =
        shared.sessions.hold(record, platform_timeout(shared, call)).await.map_err(refused)?;
    log_reservation(shared, call, &hold);
    Ok(hold)
}

fn refused(rejection: Rejection) -> Refusal {
    let message = rejection.to_string();
    match rejection {
        Rejection::Exhausted | Rejection::Missing => Reason::BudgetExhausted.with(message),
        Rejection::OfflineExhausted => Reason::OfflineExhausted.after(message, RETRY_DELAY),
        Rejection::Replaced => Reason::Replaced.after(message, RETRY_DELAY),
    }
}

fn log_reservation(shared: &Shared, call: &Call, hold: &Hold) {
    let (tokens, offline) = (hold.record().reserved, hold.is_offline());
    let budget = &call.caller.budget;
    shared.log.add_for_request(&call.key, budget, EventKind::Reserved { tokens, offline });
    match offline {
        true => drop(shared.metrics.offline.inc()),
        false => shared.log.add_for_request(&call.key, budget, EventKind::Recorded),
    }
}

fn record_outcome(shared: &Shared, call: &Call, progress: &Progress) {
    let (outcome, reason) = match progress {
        Progress::Refused(refusal) => ("not-run", refusal.reason.as_str()),
        Progress::Unknown(unknown) => ("unknown", unknown.as_str()),
        Progress::Waiting | Progress::Streaming(_) | Progress::Answered(_) => ("answered", ""),
    };
    let class = call.class().as_str();
    shared.metrics.requests.get_or_create(&RequestLabels { class, outcome, reason }).inc();
    let event = match progress {
        Progress::Refused(_) => EventKind::Refused { reason: reason.into() },
        Progress::Unknown(_) => EventKind::Unknown { reason: reason.into() },
        Progress::Waiting | Progress::Streaming(_) | Progress::Answered(_) => return,
    };
    shared.log.add_for_request(&call.key, &call.caller.budget, event);
}
