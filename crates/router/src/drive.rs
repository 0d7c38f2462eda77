//! Taking one call through claim, money and dispatch.

use std::{sync::Arc, time::Duration};

use claim::Claim;
use ledger::{Part, Record};
use session::{Hold, Rejection};
use timeline::EventKind;
use wire::Location;

use crate::{
    answer::Answer,
    call::{Call, Payload},
    claims::{self, Miss},
    endpoints::Target,
    flight::{Flight, SOON, Secured, no_endpoint},
    metrics::Finished,
    outcome::{Reason, Refusal, Unknown},
    relay,
    requests::{Driver, Progress},
    service,
    shared::Shared,
    tickets::Kind,
    turn,
};

/// Wait before asking again for a run that another box is about to start.
const WAIT_SOON: Duration = Duration::from_millis(20);

/// Drives a call to its end and tells its followers.
pub async fn drive(shared: Arc<Shared>, call: Call, driver: Driver) {
    shared.metrics.under_way.inc();
    let progress = run(&shared, &call, &driver).await;
    note(&shared, &call, &progress);
    driver.end(progress);
    shared.metrics.under_way.dec();
}

async fn run(shared: &Arc<Shared>, call: &Call, driver: &Driver) -> Progress {
    shared.log.add_for_request(&call.key, &call.caller.budget, EventKind::Received);
    if let Some(progress) = elsewhere(shared, call, driver).await {
        return progress;
    }
    let _permit = match turn::enter(shared, call).await {
        Ok(permit) => permit,
        Err(refusal) => return Progress::Refused(refusal),
    };
    let Some(flight) = Flight::start(shared, call, &[]) else {
        return Progress::Refused(no_endpoint());
    };
    let secured = match secure(shared, call, &flight.target).await {
        Ok(secured) => secured,
        Err(progress) => return progress,
    };
    match &call.payload {
        Payload::Chat { .. } => relay::chat(shared, call, driver, secured, flight).await,
        Payload::Service { .. } => service::serve(shared, call, secured, flight).await,
    }
}

/// Follows a run of the same request that another box started, if its engine still has it.
async fn elsewhere(shared: &Arc<Shared>, call: &Call, driver: &Driver) -> Option<Progress> {
    let is_chat = matches!(call.payload, Payload::Chat { .. });
    if !call.keyed || !is_chat || !call.route.repeatable {
        return None;
    }
    loop {
        match shared.find_place(&call.caller.customer, &call.key).await {
            Location::Nowhere => return None,
            Location::Place(place) => return relay::attach(shared, call, driver, &place).await,
            Location::Soon if call.left() < WAIT_SOON => return None,
            Location::Soon => tokio::time::sleep(WAIT_SOON).await,
        }
    }
}

async fn secure(shared: &Arc<Shared>, call: &Call, target: &Target) -> Result<Secured, Progress> {
    if call.route.repeatable {
        let hold = hold(shared, call, target).await.map_err(Progress::Refused)?;
        return Ok(Secured { hold, claim: None });
    }
    let claim = Claim {
        customer: call.caller.customer.clone(),
        key: call.key.clone(),
        by: shared.me(),
        attempt: shared.fresh(),
        fingerprint: call.fingerprint,
        state: claim::State::Open,
    };
    match shared.tickets.kind(&call.caller.customer, &call.key) {
        Kind::Plain if !shared.health.is_up() => {
            return Err(Progress::Refused(claim_unreachable()));
        }
        Kind::Plain => {}
        Kind::Fresh => return secure_ticket(shared, call, target, claim).await,
        Kind::Used | Kind::Foreign => {
            return Err(missed(claims::recorded(shared, &claim).await));
        }
    }
    let patience = patience(shared, call);
    let taking = claims::take(shared, claim, patience, call.left());
    let (held, hold) = tokio::join!(taking, hold(shared, call, target));
    // Whichever is dropped here says "not run" by itself.
    let held = held.map_err(missed)?;
    let hold = hold.map_err(Progress::Refused)?;
    Ok(Secured { hold, claim: Some(held) })
}

/// A ticket of this box needs no claim: only this process may run it, once.
async fn secure_ticket(
    shared: &Arc<Shared>,
    call: &Call,
    target: &Target,
    claim: Claim,
) -> Result<Secured, Progress> {
    let customer = &call.caller.customer;
    if !shared.tickets.use_up(customer, &call.key) {
        return Err(missed(claims::recorded(shared, &claim).await));
    }
    match hold(shared, call, target).await {
        Ok(hold) => Ok(Secured { hold, claim: Some(claims::later(shared, claim)) }),
        Err(refusal) => {
            shared.tickets.give_back(customer, &call.key);
            Err(Progress::Refused(refusal))
        }
    }
}

fn claim_unreachable() -> Refusal {
    let message = "the platform is out of reach, and this call must not run twice";
    Reason::ClaimUnreachable.after(message, SOON)
}

fn missed(miss: Miss) -> Progress {
    match miss {
        Miss::Unknown => Progress::Unknown(Unknown::Claimed),
        Miss::Mismatch => {
            Progress::Refused(Reason::KeyReused.with("the key was used for another request"))
        }
        Miss::Unreachable => Progress::Refused(claim_unreachable()),
        Miss::Replay(claim::Answer { body: None, .. }) => Progress::Unknown(Unknown::NotKept),
        Miss::Replay(answer) => {
            let mut headers = http::HeaderMap::new();
            if let Ok(value) = answer.content_type.parse() {
                headers.insert(http::header::CONTENT_TYPE, value);
            }
            let body = answer.body.unwrap_or_default().as_bytes().to_vec().into();
            Progress::Answered(Arc::new(Answer { status: answer.status, headers, body }))
        }
    }
}

fn patience(shared: &Shared, call: &Call) -> Duration {
    Duration::from_millis(shared.settings.money.patience_ms).min(call.left())
}

async fn hold(shared: &Arc<Shared>, call: &Call, target: &Target) -> Result<Hold, Refusal> {
    let record = Record {
        n: 0,
        budget: call.caller.budget.clone(),
        customer: call.caller.customer.clone(),
        key: call.key.clone(),
        part: Part::Online,
        reserved: call.worst,
        endpoint: target.name.clone(),
        outcome: None,
    };
    let hold = shared.sessions.hold(record, patience(shared, call)).await.map_err(refused)?;
    note_held(shared, call, &hold);
    Ok(hold)
}

fn refused(denied: Rejection) -> Refusal {
    let message = denied.to_string();
    match denied {
        Rejection::Exhausted | Rejection::Missing => Reason::BudgetExhausted.with(message),
        Rejection::OfflineExhausted => Reason::OfflineExhausted.after(message, SOON),
        Rejection::Replaced => Reason::Replaced.after(message, SOON),
    }
}

fn note_held(shared: &Shared, call: &Call, hold: &Hold) {
    let (tokens, offline) = (hold.record().reserved, hold.is_offline());
    let budget = &call.caller.budget;
    shared.log.add_for_request(&call.key, budget, EventKind::Reserved { tokens, offline });
    match offline {
        true => drop(shared.metrics.offline.inc()),
        false => shared.log.add_for_request(&call.key, budget, EventKind::Recorded),
    }
}

fn note(shared: &Shared, call: &Call, progress: &Progress) {
    let (outcome, reason) = match progress {
        Progress::Refused(refusal) => ("not-run", refusal.reason.as_str()),
        Progress::Unknown(unknown) => ("unknown", unknown.as_str()),
        Progress::Waiting | Progress::Streaming(_) | Progress::Answered(_) => ("answered", ""),
    };
    let class = call.class().as_str();
    shared.metrics.requests.get_or_create(&Finished { class, outcome, reason }).inc();
    let what = match progress {
        Progress::Refused(_) => EventKind::Refused { reason: reason.into() },
        Progress::Unknown(_) => EventKind::Unknown { reason: reason.into() },
        Progress::Waiting | Progress::Streaming(_) | Progress::Answered(_) => return,
    };
    shared.log.add_for_request(&call.key, &call.caller.budget, what);
}
